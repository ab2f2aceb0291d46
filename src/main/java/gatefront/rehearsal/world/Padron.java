package gatefront.rehearsal.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The padrón de nodos: a versioned server list. It keeps the last {@link #MAX_CHANGES} changes; a request from an
 * older version gets the complete list.
 */
public final class Padron {
    /** Maximum number of changes kept. */
    static final int MAX_CHANGES = 1_000;

    /** The status of a nodo in the list. */
    public enum Status {
        /** Accepts requests. */
        READY("Ready"),
        /** Completes its requests and accepts no new ones. */
        TERMINATING("Terminating"),
        /** Has been removed from the list. */
        GONE("Gone");

        private final String wireName;

        Status(String word) {
            this.wireName = word;
        }

        /** Returns the name used on the wire. */
        public String wireName() {
            return wireName;
        }
    }

    /**
     * An entry of the list; {@code sinceMillis} is the time of the last start in milliseconds since 1970, or 0 if it
     * started long ago.
     */
    public record Entry(
            String name,
            String address,
            int zone,
            String kind,
            int cell,
            Status status,
            double weight,
            long sinceMillis) {
        Entry withStatus(Status other) {
            return new Entry(name, address, zone, kind, cell, other, weight, sinceMillis);
        }
    }

    /** A response: the complete list, or the changes since a version. */
    public record Listing(long index, boolean complete, List<Entry> entries) {}

    private record Change(long index, Entry entry) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long index = 1;

    /** Adds or replaces an entry. */
    public void put(Entry entry) {
        if (entry.status == Status.GONE) {
            entries.remove(entry.name);
        } else {
            entries.put(entry.name, entry);
        }
        changes.add(new Change(++index, entry));
        if (changes.size() > MAX_CHANGES) {
            changes.remove(0);
        }
    }

    /** Changes the status of an entry; does nothing if the nodo is not listed. */
    public void put(String name, Status status) {
        Entry entry = entries.get(name);
        if (entry != null) {
            put(entry.withStatus(status));
        }
    }

    /** Returns the latest version. */
    public long index() {
        return index;
    }

    /** Returns the complete list. */
    public Listing snapshot() {
        return new Listing(index, true, List.copyOf(entries.values()));
    }

    /**
     * Returns what has changed since a version, each nodo once; the complete list if the version is too old or
     * unknown.
     */
    public Listing changesSince(long version) {
        if (version > index || version < index - changes.size()) {
            return snapshot();
        }
        Map<String, Entry> latest = new LinkedHashMap<>();
        for (Change change : changes) {
            if (change.index > version) {
                latest.remove(change.entry.name);
                latest.put(change.entry.name, change.entry);
            }
        }
        return new Listing(index, false, List.copyOf(latest.values()));
    }
}
