package gatefront.rehearsal.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state of a key-value registry: each transaction makes one revision, and earlier ones can be read and followed
 * until they are compacted. Bounded by its compactions, which are the user's to ask for.
 */
public final class KeyValueStore {
    /** A key as of a revision. */
    public record Kv(String key, String value, long created, long modified) {}

    /** A change; {@code before} is null for a key that was not there, {@code after} for one that is gone. */
    public record Event(long revision, String key, Kv before, Kv after) {}

    private final TreeMap<String, Kv> now = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long history;
    private long revision = 1;
    private long compacted;

    /** An empty one, whose revisions are those of a history of this number. */
    public KeyValueStore(long history) {
        this.history = history;
    }

    private KeyValueStore(KeyValueStore of) {
        now.putAll(of.now);
        events.addAll(of.events);
        history = of.history;
        revision = of.revision;
        compacted = of.compacted;
    }

    /** As it stands now, to be restored from later. */
    public KeyValueStore backup() {
        return new KeyValueStore(this);
    }

    /** One transaction; a null value deletes. Returns whether it made a revision. */
    public boolean commit(Map<String, String> changes) {
        long next = revision + 1;
        List<Event> made = new ArrayList<>();
        new TreeMap<>(changes).forEach((key, value) -> {
            Kv before = now.get(key);
            if (value != null) {
                long created = before == null ? next : before.created;
                made.add(new Event(next, key, before, new Kv(key, value, created, next)));
            } else if (before != null) {
                made.add(new Event(next, key, before, null));
            }
        });
        for (Event each : made) {
            if (each.after == null) {
                now.remove(each.key);
            } else {
                now.put(each.key, each.after);
            }
        }
        events.addAll(made);
        revision = made.isEmpty() ? revision : next;
        return !made.isEmpty();
    }

    /** Sets one key. */
    public void put(String key, String value) {
        commit(Map.of(key, value));
    }

    /** Deletes one key, as the end of its lease does. */
    public void delete(String key) {
        Map<String, String> gone = new TreeMap<>();
        gone.put(key, null);
        commit(gone);
    }

    /** From now on its revisions are those of another history, as after a backup was restored under a new name. */
    public void rename(long other) {
        history = other;
    }

    /** Whose revisions these are. */
    public long history() {
        return history;
    }

    /** The newest revision. */
    public long revision() {
        return revision;
    }

    /** The first revision from which on changes are still known. */
    public long oldest() {
        return compacted + 1;
    }

    /** Forgets what changed up to a revision. */
    public void compact(long upTo) {
        compacted = Math.max(compacted, Math.min(upTo, revision));
        events.removeIf(each -> each.revision <= compacted);
    }

    /** Whether the state as of a revision can be read. */
    public boolean has(long atRevision) {
        return atRevision >= compacted && atRevision <= revision;
    }

    /** The first key behind all that begin with a prefix. */
    public static String behind(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    /** The keys from one on and before another, as of a revision that there is. */
    public List<Kv> range(String from, String to, long atRevision) {
        TreeMap<String, Kv> then = new TreeMap<>(now);
        for (int i = events.size() - 1; i >= 0 && events.get(i).revision > atRevision; i--) {
            Event each = events.get(i);
            if (each.before == null) {
                then.remove(each.key);
            } else {
                then.put(each.key, each.before);
            }
        }
        return List.copyOf(then.subMap(from, to).values());
    }

    /** What has changed behind a revision, of keys from one on and before another; null if that is no longer known. */
    public List<Event> since(String from, String to, long behind) {
        if (behind < compacted) {
            return null;
        }
        int first = events.size();
        while (first > 0 && events.get(first - 1).revision > behind) {
            first--;
        }
        return events.subList(first, events.size()).stream()
                .filter(each -> each.key.compareTo(from) >= 0 && each.key.compareTo(to) < 0)
                .toList();
    }
}
