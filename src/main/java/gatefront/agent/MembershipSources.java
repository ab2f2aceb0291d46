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

/** Merges the padrón and a registry into one server list for the engine. Loaded only if a registry is configured. */
final class MembershipSources {
    /** Index of the padrón among the sources of {@link Membership}. */
    private static final int PADRON = 0;

    private final BiConsumer<ListKind, List<Endpoint>> listListener;
    private final Membership membership;
    private final RegistrySource registry;
    private final boolean usesPadron;
    private final Runnable onCurrentList;

    /**
     * Creates the sources without following them yet.
     *
     * @param account the account that the registry's keys are charged to
     * @param listListener receives the merged list
     * @param onCurrentList runs when a source has delivered a current list
     */
    MembershipSources(
            Transport transport,
            Config config,
            RegistrySettings settings,
            ResourceAccount account,
            Engine engine,
            BiConsumer<ListKind, List<Endpoint>> listListener,
            Runnable onCurrentList) {
        this.listListener = listListener;
        this.onCurrentList = onCurrentList;
        this.usesPadron = !settings.replacesPadron();
        this.membership =
                new Membership(usesPadron ? List.of("padrón", "registry") : List.of("registry"), transport::log);
        int registryIndex = usesPadron ? PADRON + 1 : 0;
        this.registry = new RegistrySource(transport, config, settings, account, new RegistrySource.Listener() {
            @Override
            public void list(ListKind kind, List<Endpoint> endpoints) {
                onList(registryIndex, kind, endpoints);
            }

            @Override
            public void policies(Map<String, ServerOverride> servers, Map<Integer, ServerOverride> zones) {
                applyChanges(membership.setOverrides(servers, zones));
            }

            @Override
            public void limits(Map<Integer, Integer> classes) {
                engine.setClassLimits(classes);
                transport.log("limits: in progress at once at most "
                        + (classes.isEmpty()
                                ? "any"
                                : classes.entrySet().stream()
                                        .map(limit -> limit.getValue() + " of "
                                                + config.classes().get(limit.getKey()))
                                        .sorted()
                                        .collect(Collectors.joining(", "))));
            }
        });
    }

    /** Returns whether the padrón is one of the sources. */
    boolean usesPadron() {
        return usesPadron;
    }

    /** Begins to follow the registry. The known list must have been passed to {@link #onPadronList} before. */
    void start() {
        registry.start();
    }

    void close() {
        registry.close();
    }

    /**
     * Receives a list from the padrón, or the known list of the configuration. If the registry is used instead of the
     * padrón, its first list replaces this one.
     */
    void onPadronList(ListKind kind, List<Endpoint> endpoints) {
        if (kind == ListKind.FAILED) {
            listListener.accept(kind, endpoints);
        } else {
            onList(PADRON, kind, endpoints);
        }
    }

    private void onList(int source, ListKind kind, List<Endpoint> endpoints) {
        List<Endpoint> changes = membership.update(source, kind, endpoints);
        if (kind == ListKind.DELTA) {
            applyChanges(changes);
        } else {
            listListener.accept(kind, membership.endpoints());
        }
        if (kind != ListKind.CACHED) {
            onCurrentList.run();
        }
    }

    private void applyChanges(List<Endpoint> changes) {
        if (!changes.isEmpty()) {
            listListener.accept(ListKind.DELTA, changes);
        }
    }
}
