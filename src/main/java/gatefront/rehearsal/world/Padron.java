package gatefront.rehearsal.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The padrón de nodos: what it lists, in versions. It keeps the last {@link #KEPT} changes; whoever asks from
 * before gets the whole list.
 */
public final class Padron {
    /** Changes kept. */
    static final int KEPT = 1_000;

    /** What it says of a nodo. */
    public enum Status {
        /** Takes requests. */
        READY("Ready"),
        /** Finishes what it has. */
        TERMINATING("Terminating"),
        /** Has left. */
        GONE("Gone");

        private final String word;

        Status(String word) {
            this.word = word;
        }

        /** As it stands on the wire. */
        public String word() {
            return word;
        }
    }

    /** One line of the list; {@code sinceMillis} is 0 for long ago. */
    public record Entry(
            String name,
            String address,
            int zone,
            String kind,
            int cell,
            Status status,
            double weight,
            long sinceMillis) {
        Entry as(Status other) {
            return new Entry(name, address, zone, kind, cell, other, weight, sinceMillis);
        }
    }

    /** An answer. */
    public record Listing(long index, boolean whole, List<Entry> entries) {}

    private record Change(long index, Entry entry) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long index = 1;

    /** A new or changed line. */
    public void put(Entry entry) {
        if (entry.status == Status.GONE) {
            entries.remove(entry.name);
        } else {
            entries.put(entry.name, entry);
        }
        changes.add(new Change(++index, entry));
        if (changes.size() > KEPT) {
            changes.remove(0);
        }
    }

    /** A line that changes its status only; one that is not listed stays so. */
    public void put(String name, Status status) {
        Entry entry = entries.get(name);
        if (entry != null) {
            put(entry.as(status));
        }
    }

    /** The newest version. */
    public long index() {
        return index;
    }

    /** Everything there is. */
    public Listing whole() {
        return new Listing(index, true, List.copyOf(entries.values()));
    }

    /** What has changed since a version, each nodo once; everything if that is too long ago or unknown. */
    public Listing since(long version) {
        if (version > index || version < index - changes.size()) {
            return whole();
        }
        Map<String, Entry> latest = new LinkedHashMap<>();
        for (Change each : changes) {
            if (each.index > version) {
                latest.remove(each.entry.name);
                latest.put(each.entry.name, each.entry);
            }
        }
        return new Listing(index, false, List.copyOf(latest.values()));
    }
}
