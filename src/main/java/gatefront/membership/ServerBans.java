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
 * Servers that operators have taken out by hand, laid over the list whatever it says. Out is a drain; put back is a
 * start at that time. The later entry for a server wins, so entries of several processes merge in any order.
 *
 * <p>State: the list as last told, bounded as that is; an entry for each server taken out or put back. One put back
 * goes when the list has dropped the server and {@link #KEPT} has passed; one out stays until the call back, and no
 * more than {@link #MOST} are taken.
 */
public final class ServerBans {
    /** Entries at the most; calls beyond are answered with a no. */
    public static final int MOST = 10_000;
    /** A server put back that is listed no more is remembered for this long, for the other process to hear of it. */
    static final long KEPT = 60_000_000;

    /** Whether a server is out, and since when that holds, in microseconds of the time of day. */
    public record Entry(boolean out, long at) {
        boolean later(Entry other) {
            return other == null || at > other.at || at == other.at && out && !other.out;
        }
    }

    /** What a call has come to. */
    public enum Answer {
        /** Done, or so already. */
        YES,
        /** Nobody has this id. */
        UNKNOWN,
        /** Too many. */
        FULL
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Endpoint> listed = new LinkedHashMap<>();
    private boolean changed;

    /** The list has changed; what of it goes on to the engine. */
    public List<Endpoint> told(ListKind kind, List<Endpoint> endpoints) {
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
            laid.add(laid(each));
        }
        return laid;
    }

    /** An operator's call. */
    public Answer call(String name, boolean out, long now) {
        Entry before = entries.get(name);
        if (before == null && !listed.containsKey(name)) {
            return Answer.UNKNOWN;
        }
        if ((before != null && before.out) == out) {
            return Answer.YES; // two calls out need one call back
        }
        forget(now);
        if (before == null && entries.size() >= MOST) {
            return Answer.FULL;
        }
        entries.put(name, new Entry(out, before == null ? now : Math.max(now, before.at + 1)));
        changed = true;
        return Answer.YES;
    }

    /** What another process has; the lines of the list that are to be told anew. */
    public List<Endpoint> merge(Map<String, Entry> others) {
        Set<String> touched = new HashSet<>();
        others.forEach((name, entry) -> {
            if (entry.later(entries.get(name)) && (entries.containsKey(name) || entries.size() < MOST)) {
                entries.put(name, entry);
                touched.add(name);
            }
        });
        changed |= !touched.isEmpty();
        List<Endpoint> laid = new ArrayList<>();
        touched.forEach(name -> laid.addAll(line(name)));
        return laid;
    }

    /** The line of one server as it is to be told now; none if it is not listed. */
    public List<Endpoint> line(String name) {
        Endpoint endpoint = listed.get(name);
        return endpoint == null ? List.of() : List.of(laid(endpoint));
    }

    /** All entries, as other processes are to know them. */
    public Map<String, Entry> entries() {
        return Map.copyOf(entries);
    }

    /** Whether entries have changed since this was last asked. */
    public boolean changed() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** Whether a server is out, listed or not. */
    public boolean isOut(String name) {
        Entry entry = entries.get(name);
        return entry != null && entry.out;
    }

    /** How many listed servers are out. */
    public int out() {
        int out = 0;
        for (Map.Entry<String, Entry> each : entries.entrySet()) {
            out += each.getValue().out && listed.containsKey(each.getKey()) ? 1 : 0;
        }
        return out;
    }

    private void forget(long now) {
        entries.entrySet()
                .removeIf(each ->
                        !each.getValue().out && !listed.containsKey(each.getKey()) && now - each.getValue().at > KEPT);
    }

    private Endpoint laid(Endpoint endpoint) {
        Entry entry = entries.get(endpoint.name());
        if (entry == null || endpoint.server().phase() == Phase.GONE) {
            return endpoint;
        }
        return entry.out
                ? endpoint.with(
                        Phase.DRAINING,
                        endpoint.server().weight(),
                        endpoint.server().startedAt())
                // Put back: operators have restarted it meanwhile, and the list may not say so, or later.
                : endpoint.with(
                        endpoint.server().phase(),
                        endpoint.server().weight(),
                        Math.max(endpoint.server().startedAt(), entry.at));
    }
}
