package gatefront.registry;

import gatefront.budget.ResourceAccount;
import gatefront.config.Config;
import gatefront.membership.Endpoint;
import gatefront.membership.ServerOverride;
import gatefront.policy.Balancer.ListKind;
import gatefront.registry.follower.Follower;
import gatefront.registry.follower.KeyChange;
import gatefront.registry.follower.KeyEntry;
import gatefront.transport.Transport;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A registry as a source of the server list. Stores its last state on disk if a state file is configured. */
public final class RegistrySource {
    /** Delay of a save after a change, so that a burst of changes is written once. */
    private static final long SAVE_DELAY_MS = 1_000;

    /** Receives the results, on the event loop. */
    public interface Listener {
        /** Reports servers of the registry: all of them, all of them from the state file, or changes. */
        void list(ListKind kind, List<Endpoint> endpoints);

        /** Reports all policies, by server name and by zone number. */
        void policies(Map<String, ServerOverride> servers, Map<Integer, ServerOverride> zones);

        /** Reports all limits of requests in progress, by class index. */
        void limits(Map<Integer, Integer> classes);
    }

    private final Transport transport;
    private final RegistrySettings settings;
    private final Listener listener;
    private final RegistryClient client;
    private final RegistryView view;
    private final ResourceAccount account;
    /** Writes the state file, since the event loop must not wait for a disk; null where none is configured. */
    private final ExecutorService writer;

    private boolean saveScheduled;

    /**
     * Creates a source that has not started.
     *
     * @param transport provides the event loop, the clock and the network
     * @param config provides the zones, kinds and classes, and the seed of this agent
     * @param settings the registry to follow
     * @param account the account that the keys are charged to
     * @param listener called on the event loop
     */
    public RegistrySource(
            Transport transport, Config config, RegistrySettings settings, ResourceAccount account, Listener listener) {
        this.account = account;
        this.transport = transport;
        this.settings = settings;
        this.listener = listener;
        this.view = new RegistryView(config, settings.prefix(), transport::log);
        this.client = new RegistryClient(transport, settings, config.seed(), new RegistryClient.Listener() {
            @Override
            public void changed(boolean full, List<KeyChange> changes, Map<String, KeyEntry> entries) {
                account.set(entries.size(), 0);
                publish(full ? ListKind.FULL : ListKind.DELTA, changes);
                scheduleSave();
            }

            @Override
            public void staleChanged(boolean isStale) {
                transport.log(
                        isStale
                                ? "registry: its list is stale and goes on being used"
                                : "registry: its list is confirmed again");
            }
        });
        this.writer = settings.stateFile() == null
                ? null
                : Executors.newSingleThreadExecutor(new DefaultThreadFactory("registry-state", true));
    }

    /** Starts with the state file, if there is one, and then follows the registry. */
    public void start() {
        if (settings.stateFile() != null) {
            try {
                RegistryStateFile.StoredState stored = RegistryStateFile.read(settings.stateFile());
                if (stored != null) {
                    client.restore(stored.history(), stored.revision(), stored.entries());
                    transport.log("registry: begins with revision " + stored.revision() + ", kept "
                            + Math.max(0, transport.wallMicros() / 1_000_000 - stored.savedAtMillis() / 1_000)
                            + " s ago in "
                            + settings.stateFile());
                    publish(
                            ListKind.CACHED,
                            stored.entries().stream().map(KeyChange::put).toList());
                }
            } catch (IOException e) {
                transport.log("registry: the state kept cannot be used: " + e.getMessage());
            }
        }
        client.start();
    }

    /** Stops following; a write in progress is completed. */
    public void close() {
        client.close();
        if (writer != null) {
            writer.shutdown();
        }
    }

    /** Returns the follower. */
    public Follower follower() {
        return client.follower();
    }

    private void publish(ListKind kind, List<KeyChange> changes) {
        RegistryView.Update update = view.apply(changes);
        if (update.policiesChanged()) {
            listener.policies(view.serverPolicies(), view.zonePolicies());
        }
        if (update.limitsChanged()) {
            listener.limits(view.classLimits());
        }
        if (kind != ListKind.DELTA || !update.servers().isEmpty()) {
            listener.list(kind, kind == ListKind.DELTA ? update.servers() : view.endpoints());
        }
    }

    private void scheduleSave() {
        if (writer != null && !saveScheduled) {
            saveScheduled = true;
            transport
                    .loop()
                    .schedule(
                            () -> {
                                saveScheduled = false;
                                Follower follower = client.follower();
                                RegistryStateFile.StoredState stored = new RegistryStateFile.StoredState(
                                        follower.history(),
                                        follower.revision(),
                                        transport.wallMicros() / 1_000,
                                        List.copyOf(follower.entries().values()));
                                if (!writer.isShutdown()) {
                                    writer.execute(() -> write(stored));
                                }
                            },
                            SAVE_DELAY_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void write(RegistryStateFile.StoredState state) {
        try {
            RegistryStateFile.write(settings.stateFile(), state);
        } catch (IOException e) {
            transport.log("registry: its state cannot be kept: " + e);
        }
    }
}
