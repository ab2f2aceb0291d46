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
    /** Entries at the most; calls beyond are answered with a no. */
    public static final int MAX_ENTRIES = 10_000;
    /** A server put back that is listed no more is remembered for this long, for the other process to hear of it. */
    static final long READMITTED_RETENTION_MICROS = 60_000_000;

    /** Whether a server is out, and since when that holds, in microseconds of the time of day. */
    public record Entry(boolean drained, long changedAtMicros) {
        boolean supersedes(Entry other) {
            return other == null
                    || changedAtMicros > other.changedAtMicros
                    || changedAtMicros == other.changedAtMicros && drained && !other.drained;
        }
    }

    /** What a call has come to. */
    public enum Outcome {
        /** Done, or so already. */
        APPLIED,
        /** Nobody has this id. */
        UNKNOWN_SERVER,
        /** Too many. */
        TOO_MANY
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Endpoint> listed = new LinkedHashMap<>();
    private boolean changed;

    /** The list has changed; what of it goes on to the engine. */
    public List<Endpoint> update(ListKind kind, List<Endpoint> endpoints) {
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            listed.clear();
        }
        List<Endpoint> laid = new ArrayList<>(endpoints.size());
        for (Endpoint each : endpoints) {
            if (each.server().phase() == Phase.GONE) {
                listed.remove(each.name());
            } else {
                listed.put(each.name(), each);
            }
            laid.add(applyBan(each));
        }
        return laid;
    }

    /** An operator's call. */
    public Outcome setDrained(String name, boolean out, long now) {
        Entry before = entries.get(name);
        if (before == null && !listed.containsKey(name)) {
            return Outcome.UNKNOWN_SERVER;
        }
        if ((before != null && before.drained) == out) {
            return Outcome.APPLIED; // two calls out need one call back
        }
        evictExpired(now);
        if (before == null && entries.size() >= MAX_ENTRIES) {
            return Outcome.TOO_MANY;
        }
        entries.put(name, new Entry(out, before == null ? now : Math.max(now, before.changedAtMicros + 1)));
        changed = true;
        return Outcome.APPLIED;
    }

    /** What another process has; the lines of the list that are to be told anew. */
    public List<Endpoint> merge(Map<String, Entry> others) {
        Set<String> touched = new HashSet<>();
        others.forEach((name, entry) -> {
            if (entry.supersedes(entries.get(name)) && (entries.containsKey(name) || entries.size() < MAX_ENTRIES)) {
                entries.put(name, entry);
                touched.add(name);
            }
        });
        changed |= !touched.isEmpty();
        List<Endpoint> laid = new ArrayList<>();
        touched.forEach(name -> laid.addAll(effectiveEndpoint(name)));
        return laid;
    }

    /** The line of one server as it is to be told now; none if it is not listed. */
    public List<Endpoint> effectiveEndpoint(String name) {
        Endpoint endpoint = listed.get(name);
        return endpoint == null ? List.of() : List.of(applyBan(endpoint));
    }

    /** All entries, as other processes are to know them. */
    public Map<String, Entry> entries() {
        return Map.copyOf(entries);
    }

    /** Whether entries have changed since this was last asked. */
    public boolean takeChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** Whether a server is out, listed or not. */
    public boolean isDrained(String name) {
        Entry entry = entries.get(name);
        return entry != null && entry.drained;
    }

    /** How many listed servers are out. */
    public int drainedCount() {
        int out = 0;
        for (Map.Entry<String, Entry> each : entries.entrySet()) {
            out += each.getValue().drained && listed.containsKey(each.getKey()) ? 1 : 0;
        }
        return out;
    }

    private void evictExpired(long now) {
        entries.entrySet()
                .removeIf(each -> !each.getValue().drained
                        && !listed.containsKey(each.getKey())
                        && now - each.getValue().changedAtMicros > READMITTED_RETENTION_MICROS);
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
                // Put back: operators have restarted it meanwhile, and the list may not say so, or later.
                : endpoint.with(
                        endpoint.server().phase(),
                        endpoint.server().weight(),
                        Math.max(endpoint.server().startedAt(), entry.changedAtMicros));
    }
}
