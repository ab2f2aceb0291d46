package gatefront.membership;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Phase;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Makes one list of what several sources say. Sources are in order: where they differ in an address, a zone or a
 * weight, the first that lists the server is heeded. Where they differ in its state, the worst of them is: a drain told
 * by one holds, and one that no longer lists what it has listed makes it gone, whatever others say. It is back when
 * that source lists it again, or another tells a later start than was known then. Policies lie over all of it.
 *
 * <p>State: a server for each name that a source lists, dropped when none does; the policies last told.
 */
public final class Membership {
    private final List<String> sources;
    private final Consumer<String> log;
    private final Map<String, Told> servers = new LinkedHashMap<>();
    private Map<String, ServerOverride> ofServers = Map.of();
    private Map<Integer, ServerOverride> ofZones = Map.of();

    /** What is said of one server. */
    private static final class Told {
        final Endpoint[] by;
        /** Which sources have listed it and do so no longer; and the latest start that was known then. */
        final boolean[] withdrawn;

        long since;
        boolean differs;

        Told(int sources) {
            by = new Endpoint[sources];
            withdrawn = new boolean[sources];
        }

        boolean listed() {
            for (Endpoint each : by) {
                if (each != null) {
                    return true;
                }
            }
            return false;
        }
    }

    /**
     * A list without servers.
     *
     * @param sources their names, the first the one to heed
     * @param log gets a line for each server about whose address sources begin to differ
     */
    public Membership(List<String> sources, Consumer<String> log) {
        this.sources = List.copyOf(sources);
        this.log = log;
    }

    /**
     * A source has told something.
     *
     * @param source its place in the order
     * @param kind whether it has told all it lists, or changes
     * @param endpoints what it lists; those that are gone are withdrawn
     * @return what has changed by it in the one list; servers that have left it are gone there
     */
    public List<Endpoint> told(int source, ListKind kind, List<Endpoint> endpoints) {
        Set<String> touched = new LinkedHashSet<>();
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            servers.forEach((name, told) -> {
                if (told.by[source] != null) {
                    touched.add(name);
                }
            });
            endpoints.forEach(each -> touched.remove(each.name()));
        }
        Map<String, Endpoint> before = new LinkedHashMap<>();
        touched.forEach(name -> before.put(name, merged(servers.get(name))));
        touched.forEach(name -> withdraw(source, servers.get(name)));
        for (Endpoint each : endpoints) {
            Told told = servers.computeIfAbsent(each.name(), name -> new Told(sources.size()));
            if (touched.add(each.name())) {
                before.put(each.name(), merged(told));
            }
            if (each.server().phase() == Phase.GONE) {
                withdraw(source, told);
            } else {
                list(source, told, each);
            }
        }
        List<Endpoint> changed = new ArrayList<>();
        for (String name : touched) {
            Told told = servers.get(name);
            Endpoint now = merged(told);
            Endpoint was = before.get(name);
            if (now != null && !now.equals(was)) {
                changed.add(now);
            } else if (now == null && was != null) {
                changed.add(was.gone());
            }
            if (!told.listed()) {
                servers.remove(name);
            }
        }
        return changed;
    }

    /**
     * Policies have changed.
     *
     * @param servers all that there are for one server, by its name
     * @param zones all that there are for a zone, by its number
     * @return what has changed by it in the one list
     */
    public List<Endpoint> policies(Map<String, ServerOverride> servers, Map<Integer, ServerOverride> zones) {
        List<Endpoint> before = all();
        ofServers = Map.copyOf(servers);
        ofZones = Map.copyOf(zones);
        List<Endpoint> changed = new ArrayList<>(all()); // a policy makes none come or go
        changed.removeAll(Set.copyOf(before));
        return changed;
    }

    /** The one list, without what is gone. */
    public List<Endpoint> all() {
        List<Endpoint> all = new ArrayList<>();
        for (Told each : servers.values()) {
            Endpoint merged = merged(each);
            if (merged != null) {
                all.add(merged);
            }
        }
        return all;
    }

    private void withdraw(int source, Told told) {
        if (told.by[source] != null) {
            for (Endpoint each : told.by) {
                told.since = each == null
                        ? told.since
                        : Math.max(told.since, each.server().startedAt());
            }
            told.by[source] = null;
            told.withdrawn[source] = true;
        }
    }

    private void list(int source, Told told, Endpoint endpoint) {
        told.by[source] = endpoint;
        told.withdrawn[source] = false;
        if (endpoint.server().startedAt() > told.since) {
            for (int i = 0; i < told.withdrawn.length; i++) {
                told.withdrawn[i] = false; // it has started anew since, which the one that withdrew it may not know yet
            }
        }
        Endpoint first = first(told);
        boolean differs = !first.address().equals(endpoint.address());
        if (differs && !told.differs) {
            log.accept("membership: " + sources.get(source) + " has " + endpoint.name() + " at " + endpoint.address()
                    + ", which is at " + first.address() + " by an earlier source; that is used");
        }
        told.differs = differs;
    }

    private static Endpoint first(Told told) {
        for (Endpoint each : told.by) {
            if (each != null) {
                return each;
            }
        }
        return null;
    }

    /** What all say together; null if it is not listed, or gone by one of them. */
    private Endpoint merged(Told told) {
        Endpoint first = first(told);
        if (first == null) {
            return null;
        }
        for (boolean each : told.withdrawn) {
            if (each) {
                return null;
            }
        }
        Phase phase = first.server().phase();
        long since = first.server().startedAt();
        for (Endpoint each : told.by) {
            if (each != null) {
                phase = each.server().phase() == Phase.DRAINING ? Phase.DRAINING : phase;
                since = Math.max(since, each.server().startedAt());
            }
        }
        ServerOverride policy = ofServers
                .getOrDefault(first.name(), ServerOverride.NONE)
                .and(ofZones.getOrDefault(first.server().zone(), ServerOverride.NONE));
        return first.with(
                policy.drain() ? Phase.DRAINING : phase, first.server().weight() * policy.factor(), since);
    }
}
