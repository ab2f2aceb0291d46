package gatefront.agent;

import gatefront.budget.ResourceAccount;
import gatefront.config.Config;
import gatefront.engine.Engine;
import gatefront.membership.Endpoint;
import gatefront.membership.Membership;
import gatefront.membership.ServerOverride;
import gatefront.policy.Balancer.ListKind;
import gatefront.registry.RegistrySettings;
import gatefront.registry.RegistrySource;
import gatefront.transport.Transport;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

/** Makes one list for the engine where there are more sources than the padrón; not loaded where there are none. */
final class MembershipSources {
    private static final int PADRON = 0;

    private final BiConsumer<ListKind, List<Endpoint>> servers;
    private final Membership membership;
    private final RegistrySource registry;
    private final boolean padron;
    private final Runnable listed;

    /**
     * Sources that are not yet followed.
     *
     * @param held what the registry's keys count as
     * @param servers is told of the one list
     * @param listed told when one of them has said what there is
     */
    MembershipSources(
            Transport transport,
            Config config,
            RegistrySettings settings,
            ResourceAccount held,
            Engine engine,
            BiConsumer<ListKind, List<Endpoint>> servers,
            Runnable listed) {
        this.servers = servers;
        this.listed = listed;
        this.padron = !settings.replacesPadron();
        this.membership = new Membership(padron ? List.of("padrón", "registry") : List.of("registry"), transport::log);
        int place = padron ? PADRON + 1 : 0;
        this.registry = new RegistrySource(transport, config, settings, held, new RegistrySource.Listener() {
            @Override
            public void list(ListKind kind, List<Endpoint> endpoints) {
                told(place, kind, endpoints);
            }

            @Override
            public void policies(Map<String, ServerOverride> servers, Map<Integer, ServerOverride> zones) {
                changed(membership.setOverrides(servers, zones));
            }

            @Override
            public void limits(Map<Integer, Integer> classes) {
                engine.setClassLimits(classes);
                transport.log("limits: in progress at once at most "
                        + (classes.isEmpty()
                                ? "any"
                                : classes.entrySet().stream()
                                        .map(each -> each.getValue() + " of "
                                                + config.classes().get(each.getKey()))
                                        .sorted()
                                        .collect(Collectors.joining(", "))));
            }
        });
    }

    /** Whether the padrón is one of them. */
    boolean padron() {
        return padron;
    }

    /** Begins to follow the registry; what is known from elsewhere has been told before. */
    void start() {
        registry.start();
    }

    void close() {
        registry.close();
    }

    /**
     * The padrón has told something, or the configuration has what it told once. Where the registry stands instead of
     * it, that is what the registry's first list replaces.
     */
    void padron(ListKind kind, List<Endpoint> endpoints) {
        if (kind == ListKind.FAILED) {
            servers.accept(kind, endpoints);
        } else {
            told(PADRON, kind, endpoints);
        }
    }

    private void told(int source, ListKind kind, List<Endpoint> endpoints) {
        List<Endpoint> changed = membership.update(source, kind, endpoints);
        if (kind == ListKind.DELTA) {
            changed(changed);
        } else {
            servers.accept(kind, membership.endpoints());
        }
        if (kind != ListKind.CACHED) {
            listed.run();
        }
    }

    private void changed(List<Endpoint> endpoints) {
        if (!endpoints.isEmpty()) {
            servers.accept(ListKind.DELTA, endpoints);
        }
    }
}
