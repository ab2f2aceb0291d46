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
 * Merges the server lists of several sources into one. Sources are ordered by precedence: address, zone and weight of a
 * server are those of the first source that lists it. For the phase, the most restrictive report wins: a server is
 * draining if any source reports a drain, and gone once a source that listed it no longer does, even if other sources
 * still list it. It returns when that source lists it again, or when another source reports a later start than any that
 * was known when it was withdrawn. Overrides are applied to the merged list.
 *
 * <p>State: an entry for each server that at least one source lists, and the most recent overrides.
 */
public final class Membership {
    private final List<String> sourceNames;
    private final Consumer<String> log;
    private final Map<String, SourceViews> servers = new LinkedHashMap<>();
    private Map<String, ServerOverride> serverOverrides = Map.of();
    private Map<Integer, ServerOverride> zoneOverrides = Map.of();

    /** What each source reports about one server. */
    private static final class SourceViews {
        /** The server as each source lists it; null where a source does not. */
        final Endpoint[] bySource;
        /** Whether each source listed the server earlier and no longer does. */
        final boolean[] withdrawn;

        /** The latest start that any source had reported when the server was last withdrawn. */
        long latestKnownStart;

        boolean addressConflict;

        SourceViews(int sourceCount) {
            bySource = new Endpoint[sourceCount];
            withdrawn = new boolean[sourceCount];
        }

        boolean isListed() {
            for (Endpoint endpoint : bySource) {
                if (endpoint != null) {
                    return true;
                }
            }
            return false;
        }
    }

    /**
     * Creates an empty list.
     *
     * @param sourceNames the names of the sources, in order of precedence
     * @param log receives a line for each server for which sources begin to report different addresses
     */
    public Membership(List<String> sourceNames, Consumer<String> log) {
        this.sourceNames = List.copyOf(sourceNames);
        this.log = log;
    }

    /**
     * Applies a report of one source.
     *
     * @param source the index of the source in the order of precedence
     * @param kind whether the report is the source's whole list or only changes
     * @param endpoints the servers reported; those in phase {@link Phase#GONE} are withdrawn
     * @return the resulting changes of the merged list; servers that have left it are in phase {@link Phase#GONE}
     */
    public List<Endpoint> update(int source, ListKind kind, List<Endpoint> endpoints) {
        Set<String> touched = new LinkedHashSet<>();
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            servers.forEach((name, views) -> {
                if (views.bySource[source] != null) {
                    touched.add(name);
                }
            });
            endpoints.forEach(endpoint -> touched.remove(endpoint.name()));
        }
        Map<String, Endpoint> before = new LinkedHashMap<>();
        touched.forEach(name -> before.put(name, merged(servers.get(name))));
        touched.forEach(name -> withdraw(source, servers.get(name)));
        for (Endpoint endpoint : endpoints) {
            SourceViews views = servers.computeIfAbsent(endpoint.name(), name -> new SourceViews(sourceNames.size()));
            if (touched.add(endpoint.name())) {
                before.put(endpoint.name(), merged(views));
            }
            if (endpoint.server().phase() == Phase.GONE) {
                withdraw(source, views);
            } else {
                markListed(source, views, endpoint);
            }
        }
        List<Endpoint> changed = new ArrayList<>();
        for (String name : touched) {
            SourceViews views = servers.get(name);
            Endpoint current = merged(views);
            Endpoint previous = before.get(name);
            if (current != null && !current.equals(previous)) {
                changed.add(current);
            } else if (current == null && previous != null) {
                changed.add(previous.asGone());
            }
            if (!views.isListed()) {
                servers.remove(name);
            }
        }
        return changed;
    }

    /**
     * Replaces all overrides.
     *
     * @param servers the overrides of single servers, by name
     * @param zones the overrides of zones, by number
     * @return the resulting changes of the merged list
     */
    public List<Endpoint> setOverrides(Map<String, ServerOverride> servers, Map<Integer, ServerOverride> zones) {
        List<Endpoint> before = endpoints();
        serverOverrides = Map.copyOf(servers);
        zoneOverrides = Map.copyOf(zones);
        List<Endpoint> changed = new ArrayList<>(endpoints()); // an override neither adds nor removes a server
        changed.removeAll(Set.copyOf(before));
        return changed;
    }

    /** Returns the merged list, without servers that are gone. */
    public List<Endpoint> endpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (SourceViews views : servers.values()) {
            Endpoint merged = merged(views);
            if (merged != null) {
                endpoints.add(merged);
            }
        }
        return endpoints;
    }

    private void withdraw(int source, SourceViews views) {
        if (views.bySource[source] != null) {
            for (Endpoint endpoint : views.bySource) {
                views.latestKnownStart = endpoint == null
                        ? views.latestKnownStart
                        : Math.max(views.latestKnownStart, endpoint.server().startedAt());
            }
            views.bySource[source] = null;
            views.withdrawn[source] = true;
        }
    }

    private void markListed(int source, SourceViews views, Endpoint endpoint) {
        views.bySource[source] = endpoint;
        views.withdrawn[source] = false;
        if (endpoint.server().startedAt() > views.latestKnownStart) {
            // The server has restarted since; the source that withdrew it may not know this yet.
            for (int i = 0; i < views.withdrawn.length; i++) {
                views.withdrawn[i] = false;
            }
        }
        Endpoint first = firstListed(views);
        boolean conflict = !first.address().equals(endpoint.address());
        if (conflict && !views.addressConflict) {
            log.accept("membership: " + sourceNames.get(source) + " has " + endpoint.name() + " at "
                    + endpoint.address() + ", which is at " + first.address()
                    + " by an earlier source; that is used");
        }
        views.addressConflict = conflict;
    }

    private static Endpoint firstListed(SourceViews views) {
        for (Endpoint endpoint : views.bySource) {
            if (endpoint != null) {
                return endpoint;
            }
        }
        return null;
    }

    /** Returns the merged view of a server; null if no source lists it or one has withdrawn it. */
    private Endpoint merged(SourceViews views) {
        Endpoint first = firstListed(views);
        if (first == null) {
            return null;
        }
        for (boolean withdrawn : views.withdrawn) {
            if (withdrawn) {
                return null;
            }
        }
        Phase phase = first.server().phase();
        long startedAt = first.server().startedAt();
        for (Endpoint endpoint : views.bySource) {
            if (endpoint != null) {
                phase = endpoint.server().phase() == Phase.DRAINING ? Phase.DRAINING : phase;
                startedAt = Math.max(startedAt, endpoint.server().startedAt());
            }
        }
        ServerOverride override = serverOverrides
                .getOrDefault(first.name(), ServerOverride.NONE)
                .combine(zoneOverrides.getOrDefault(first.server().zone(), ServerOverride.NONE));
        return first.with(
                override.drain() ? Phase.DRAINING : phase,
                first.server().weight() * override.weightFactor(),
                startedAt);
    }
}
