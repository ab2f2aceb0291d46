package gatefront.membership;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Phase;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Manual drains: servers that operators have taken out of service, applied on top of the server list whatever the list
 * says. A drained server is listed as {@link Phase#DRAINING}. A server that is put back counts as started at that time.
 * For each server the entry with the later time wins, so entries of several processes can be merged in any order.
 *
 * <p>State: the most recent server list, and one entry for each server that was drained or put back. The entry of a
 * server that was put back is removed once the server is no longer listed and
 * {@link #READMITTED_RETENTION_MICROS} has passed; the entry of a drained server stays until the server is put back.
 * At most {@link #MAX_ENTRIES} entries are held.
 */
public final class ServerBans {
    /** The maximum number of entries; drains beyond it are refused. */
    public static final int MAX_ENTRIES = 10_000;
    /**
     * How long the entry of a server that was put back is kept after the server has left the list, so that the other
     * process of this agent learns of it.
     */
    static final long READMITTED_RETENTION_MICROS = 60_000_000;

    /**
     * The last manual change of a server.
     *
     * @param drained whether the server is drained; false if it was put back
     * @param changedAtMicros when that was changed, in microseconds of the time of day
     */
    public record Entry(boolean drained, long changedAtMicros) {
        boolean supersedes(Entry other) {
            return other == null
                    || changedAtMicros > other.changedAtMicros
                    || changedAtMicros == other.changedAtMicros && drained && !other.drained;
        }
    }

    /** The result of a manual drain or of putting a server back. */
    public enum Outcome {
        /** The server is in the requested state, possibly since before. */
        APPLIED,
        /** No server of this name is listed or has an entry. */
        UNKNOWN_SERVER,
        /** The maximum number of entries is reached. */
        TOO_MANY
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Endpoint> listed = new LinkedHashMap<>();
    private boolean changed;

    /** Applies an update of the server list; returns the same servers with manual drains applied, for the engine. */
    public List<Endpoint> update(ListKind kind, List<Endpoint> endpoints) {
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            listed.clear();
        }
        List<Endpoint> effective = new ArrayList<>(endpoints.size());
        for (Endpoint endpoint : endpoints) {
            if (endpoint.server().phase() == Phase.GONE) {
                listed.remove(endpoint.name());
            } else {
                listed.put(endpoint.name(), endpoint);
            }
            effective.add(applyBan(endpoint));
        }
        return effective;
    }

    /** Drains a server manually ({@code drained}) or puts it back. */
    public Outcome setDrained(String name, boolean drained, long now) {
        Entry before = entries.get(name);
        if (before == null && !listed.containsKey(name)) {
            return Outcome.UNKNOWN_SERVER;
        }
        if ((before != null && before.drained) == drained) {
            return Outcome.APPLIED; // drains are not counted: one call puts the server back
        }
        evictExpired(now);
        if (before == null && entries.size() >= MAX_ENTRIES) {
            return Outcome.TOO_MANY;
        }
        entries.put(name, new Entry(drained, before == null ? now : Math.max(now, before.changedAtMicros + 1)));
        changed = true;
        return Outcome.APPLIED;
    }

    /** Merges the entries of another process; returns the listed servers that change by it. */
    public List<Endpoint> merge(Map<String, Entry> others) {
        Set<String> touched = new HashSet<>();
        others.forEach((name, entry) -> {
            if (entry.supersedes(entries.get(name)) && (entries.containsKey(name) || entries.size() < MAX_ENTRIES)) {
                entries.put(name, entry);
                touched.add(name);
            }
        });
        changed |= !touched.isEmpty();
        List<Endpoint> effective = new ArrayList<>();
        touched.forEach(name -> effective.addAll(effectiveEndpoint(name)));
        return effective;
    }

    /** Returns a server as listed, with its manual drain applied; empty if it is not listed. */
    public List<Endpoint> effectiveEndpoint(String name) {
        Endpoint endpoint = listed.get(name);
        return endpoint == null ? List.of() : List.of(applyBan(endpoint));
    }

    /** Returns all entries, for other processes. */
    public Map<String, Entry> entries() {
        return Map.copyOf(entries);
    }

    /** Returns whether entries have changed since the last call. */
    public boolean takeChanged() {
        boolean result = changed;
        changed = false;
        return result;
    }

    /** Returns whether a server is manually drained, listed or not. */
    public boolean isDrained(String name) {
        Entry entry = entries.get(name);
        return entry != null && entry.drained;
    }

    /** Returns the number of listed servers that are manually drained. */
    public int drainedCount() {
        int count = 0;
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
            count += entry.getValue().drained && listed.containsKey(entry.getKey()) ? 1 : 0;
        }
        return count;
    }

    private void evictExpired(long now) {
        entries.entrySet()
                .removeIf(entry -> !entry.getValue().drained
                        && !listed.containsKey(entry.getKey())
                        && now - entry.getValue().changedAtMicros > READMITTED_RETENTION_MICROS);
    }

    private Endpoint applyBan(Endpoint endpoint) {
        Entry entry = entries.get(endpoint.name());
        if (entry == null || endpoint.server().phase() == Phase.GONE) {
            return endpoint;
        }
        return entry.drained
                ? endpoint.with(
                        Phase.DRAINING,
                        endpoint.server().weight(),
                        endpoint.server().startedAt())
                // Put back: operators may have restarted the server, which the list may report late or never.
                : endpoint.with(
                        endpoint.server().phase(),
                        endpoint.server().weight(),
                        Math.max(endpoint.server().startedAt(), entry.changedAtMicros));
    }
}
