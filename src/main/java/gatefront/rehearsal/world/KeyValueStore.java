package gatefront.rehearsal.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state of a key-value registry. Each transaction creates one revision; earlier revisions can be read and
 * followed until they are compacted. Memory is bounded only by compaction, which the user of this class requests.
 */
public final class KeyValueStore {
    /** A key and its value as of a revision. */
    public record KeyValue(String key, String value, long createRevision, long modRevision) {}

    /** A change of a key; {@code before} is null if the key did not exist, {@code after} is null if it was deleted. */
    public record Event(long revision, String key, KeyValue before, KeyValue after) {}

    private final TreeMap<String, KeyValue> current = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long clusterId;
    private long revision = 1;
    private long compactedRevision;

    /** Creates an empty store with the given cluster id. */
    public KeyValueStore(long clusterId) {
        this.clusterId = clusterId;
    }

    private KeyValueStore(KeyValueStore original) {
        current.putAll(original.current);
        events.addAll(original.events);
        clusterId = original.clusterId;
        revision = original.revision;
        compactedRevision = original.compactedRevision;
    }

    /** Returns a copy of the current state, which can be restored later. */
    public KeyValueStore backup() {
        return new KeyValueStore(this);
    }

    /** Commits one transaction, in which a null value deletes its key. Returns whether a revision was created. */
    public boolean commit(Map<String, String> changes) {
        long nextRevision = revision + 1;
        List<Event> newEvents = new ArrayList<>();
        new TreeMap<>(changes).forEach((key, value) -> {
            KeyValue before = current.get(key);
            if (value != null) {
                long created = before == null ? nextRevision : before.createRevision;
                newEvents.add(new Event(nextRevision, key, before, new KeyValue(key, value, created, nextRevision)));
            } else if (before != null) {
                newEvents.add(new Event(nextRevision, key, before, null));
            }
        });
        for (Event event : newEvents) {
            if (event.after == null) {
                current.remove(event.key);
            } else {
                current.put(event.key, event.after);
            }
        }
        events.addAll(newEvents);
        revision = newEvents.isEmpty() ? revision : nextRevision;
        return !newEvents.isEmpty();
    }

    /** Sets one key. */
    public void put(String key, String value) {
        commit(Map.of(key, value));
    }

    /** Deletes one key, as the expiry of its lease does. */
    public void delete(String key) {
        Map<String, String> deletion = new TreeMap<>();
        deletion.put(key, null);
        commit(deletion);
    }

    /** Changes the cluster id, as happens when a backup is restored as a new cluster. */
    public void changeClusterId(long newClusterId) {
        clusterId = newClusterId;
    }

    /** Returns the id of the cluster that the revisions belong to. */
    public long clusterId() {
        return clusterId;
    }

    /** Returns the latest revision. */
    public long revision() {
        return revision;
    }

    /** Returns the first revision whose changes are still known. */
    public long oldestRevision() {
        return compactedRevision + 1;
    }

    /** Discards the changes up to and including a revision. */
    public void compact(long upToRevision) {
        compactedRevision = Math.max(compactedRevision, Math.min(upToRevision, revision));
        events.removeIf(event -> event.revision <= compactedRevision);
    }

    /** Whether the state as of a revision can be read. */
    public boolean isReadable(long atRevision) {
        return atRevision >= compactedRevision && atRevision <= revision;
    }

    /** Returns the first key after all keys that begin with a prefix. */
    public static String prefixEnd(String prefix) {
        int lastIndex = prefix.length() - 1;
        return prefix.substring(0, lastIndex) + (char) (prefix.charAt(lastIndex) + 1);
    }

    /** Returns the keys from {@code from} (inclusive) to {@code to} (exclusive) as of a revision that exists. */
    public List<KeyValue> range(String from, String to, long atRevision) {
        TreeMap<String, KeyValue> state = new TreeMap<>(current);
        for (int i = events.size() - 1; i >= 0 && events.get(i).revision > atRevision; i--) {
            Event event = events.get(i);
            if (event.before == null) {
                state.remove(event.key);
            } else {
                state.put(event.key, event.before);
            }
        }
        return List.copyOf(state.subMap(from, to).values());
    }

    /**
     * Returns the changes after a revision to keys from {@code from} (inclusive) to {@code to} (exclusive), or null
     * if that revision has been compacted.
     */
    public List<Event> changesAfter(String from, String to, long afterRevision) {
        if (afterRevision < compactedRevision) {
            return null;
        }
        int first = events.size();
        while (first > 0 && events.get(first - 1).revision > afterRevision) {
            first--;
        }
        return events.subList(first, events.size()).stream()
                .filter(event -> event.key.compareTo(from) >= 0 && event.key.compareTo(to) < 0)
                .toList();
    }
}
