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
    private final List<String> sourceNames;
    private final Consumer<String> log;
    private final Map<String, SourceViews> servers = new LinkedHashMap<>();
    private Map<String, ServerOverride> serverOverrides = Map.of();
    private Map<Integer, ServerOverride> zoneOverrides = Map.of();

    /** What is said of one server. */
    private static final class SourceViews {
        final Endpoint[] bySource;
        /** Which sources have listed it and do so no longer; and the latest start that was known then. */
        final boolean[] withdrawn;

        long latestKnownStart;
        boolean addressConflict;

        SourceViews(int sources) {
            bySource = new Endpoint[sources];
            withdrawn = new boolean[sources];
        }

        boolean isListed() {
            for (Endpoint each : bySource) {
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
        this.sourceNames = List.copyOf(sources);
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
    public List<Endpoint> update(int source, ListKind kind, List<Endpoint> endpoints) {
        Set<String> touched = new LinkedHashSet<>();
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            servers.forEach((name, told) -> {
                if (told.bySource[source] != null) {
                    touched.add(name);
                }
            });
            endpoints.forEach(each -> touched.remove(each.name()));
        }
        Map<String, Endpoint> before = new LinkedHashMap<>();
        touched.forEach(name -> before.put(name, merged(servers.get(name))));
        touched.forEach(name -> withdraw(source, servers.get(name)));
        for (Endpoint each : endpoints) {
            SourceViews told = servers.computeIfAbsent(each.name(), name -> new SourceViews(sourceNames.size()));
            if (touched.add(each.name())) {
                before.put(each.name(), merged(told));
            }
            if (each.server().phase() == Phase.GONE) {
                withdraw(source, told);
            } else {
                record(source, told, each);
            }
        }
        List<Endpoint> changed = new ArrayList<>();
        for (String name : touched) {
            SourceViews told = servers.get(name);
            Endpoint now = merged(told);
            Endpoint was = before.get(name);
            if (now != null && !now.equals(was)) {
                changed.add(now);
            } else if (now == null && was != null) {
                changed.add(was.asGone());
            }
            if (!told.isListed()) {
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
    public List<Endpoint> setOverrides(Map<String, ServerOverride> servers, Map<Integer, ServerOverride> zones) {
        List<Endpoint> before = endpoints();
        serverOverrides = Map.copyOf(servers);
        zoneOverrides = Map.copyOf(zones);
        List<Endpoint> changed = new ArrayList<>(endpoints()); // a policy makes none come or go
        changed.removeAll(Set.copyOf(before));
        return changed;
    }

    /** The one list, without what is gone. */
    public List<Endpoint> endpoints() {
        List<Endpoint> all = new ArrayList<>();
        for (SourceViews each : servers.values()) {
            Endpoint merged = merged(each);
            if (merged != null) {
                all.add(merged);
            }
        }
        return all;
    }

    private void withdraw(int source, SourceViews told) {
        if (told.bySource[source] != null) {
            for (Endpoint each : told.bySource) {
                told.latestKnownStart = each == null
                        ? told.latestKnownStart
                        : Math.max(told.latestKnownStart, each.server().startedAt());
            }
            told.bySource[source] = null;
            told.withdrawn[source] = true;
        }
    }

    private void record(int source, SourceViews told, Endpoint endpoint) {
        told.bySource[source] = endpoint;
        told.withdrawn[source] = false;
        if (endpoint.server().startedAt() > told.latestKnownStart) {
            for (int i = 0; i < told.withdrawn.length; i++) {
                told.withdrawn[i] = false; // it has started anew since, which the one that withdrew it may not know yet
            }
        }
        Endpoint first = firstListed(told);
        boolean differs = !first.address().equals(endpoint.address());
        if (differs && !told.addressConflict) {
            log.accept("membership: " + sourceNames.get(source) + " has " + endpoint.name() + " at "
                    + endpoint.address() + ", which is at " + first.address() + " by an earlier source; that is used");
        }
        told.addressConflict = differs;
    }

    private static Endpoint firstListed(SourceViews told) {
        for (Endpoint each : told.bySource) {
            if (each != null) {
                return each;
            }
        }
        return null;
    }

    /** What all say together; null if it is not listed, or gone by one of them. */
    private Endpoint merged(SourceViews told) {
        Endpoint first = firstListed(told);
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
        for (Endpoint each : told.bySource) {
            if (each != null) {
                phase = each.server().phase() == Phase.DRAINING ? Phase.DRAINING : phase;
                since = Math.max(since, each.server().startedAt());
            }
        }
        ServerOverride policy = serverOverrides
                .getOrDefault(first.name(), ServerOverride.NONE)
                .combine(zoneOverrides.getOrDefault(first.server().zone(), ServerOverride.NONE));
        return first.with(
                policy.drain() ? Phase.DRAINING : phase, first.server().weight() * policy.weightFactor(), since);
    }
}
