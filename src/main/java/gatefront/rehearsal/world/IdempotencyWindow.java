package gatefront.rehearsal.world;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a group of nodos remembers of keyed requests: within the window of the first that came, the effect
 * happens once, whichever of them runs first. An entry goes when its window is over, at the next look; there are
 * no more than the requests of one window.
 */
public final class IdempotencyWindow {
    /** One key in its window. */
    public static final class Entry {
        private final long until;
        private boolean happened;

        private Entry(long until) {
            this.until = until;
        }

        /** Whether the effect is yet to happen; from now on it has. */
        public boolean first() {
            boolean first = !happened;
            happened = true;
            return first;
        }

        /** Whether the effect has happened. */
        public boolean happened() {
            return happened;
        }
    }

    private final long window;
    private final Map<String, Entry> seen = new LinkedHashMap<>();

    /** Remembers for so many microseconds. */
    public IdempotencyWindow(long window) {
        this.window = window;
    }

    /**
     * A request has come to the group.
     *
     * @param now the time
     * @param key its key
     * @return what is known of the key; a new entry if its window is over, or there was none
     */
    public Entry arrive(long now, String key) {
        for (Iterator<Entry> old = seen.values().iterator(); old.hasNext() && old.next().until <= now; ) {
            old.remove();
        }
        return seen.computeIfAbsent(key, each -> new Entry(now + window));
    }

    /** How many keys are remembered. */
    public int size() {
        return seen.size();
    }
}
