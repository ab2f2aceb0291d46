package gatefront.rehearsal.world;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The keyed requests that a group of nodos remembers. Within the window that starts with the first request of a key,
 * the effect is applied once, by whichever request runs first. Entries are removed at the next call after their
 * window has ended, so there are no more entries than requests in one window.
 */
public final class IdempotencyWindow {
    /** A key within its window. */
    public static final class Entry {
        private final long expiresAt;
        private boolean applied;

        private Entry(long until) {
            this.expiresAt = until;
        }

        /** Marks the effect as applied and returns whether it had not been applied before. */
        public boolean markApplied() {
            boolean first = !applied;
            applied = true;
            return first;
        }

        /** Whether the effect has been applied. */
        public boolean applied() {
            return applied;
        }
    }

    private final long windowMicros;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Creates an empty window of {@code windowMicros} microseconds. */
    public IdempotencyWindow(long windowMicros) {
        this.windowMicros = windowMicros;
    }

    /**
     * Registers a request that has arrived at the group.
     *
     * @param now the time, in microseconds
     * @param key the request's idempotency key
     * @return the entry of the key; a new one if there was none or its window has ended
     */
    public Entry register(long now, String key) {
        for (Iterator<Entry> iterator = entries.values().iterator();
                iterator.hasNext() && iterator.next().expiresAt <= now; ) {
            iterator.remove();
        }
        return entries.computeIfAbsent(key, absentKey -> new Entry(now + windowMicros));
    }

    /** Returns the number of keys remembered. */
    public int size() {
        return entries.size();
    }
}
