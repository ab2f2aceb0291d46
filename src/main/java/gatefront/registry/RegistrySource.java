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

/** A registry as a source of the server list; keeps its last state on disk where that is configured. */
public final class RegistrySource {
    /** What is written in a burst is written once. */
    private static final long SAVE_AFTER_MS = 1_000;

    /** What it tells, on the loop. */
    public interface Listener {
        /** Servers that the registry lists: all of them, all as they were on the disk, or changes. */
        void list(ListKind kind, List<Endpoint> endpoints);

        /** All policies, by the server's name and the zone's number. */
        void policies(Map<String, ServerOverride> servers, Map<Integer, ServerOverride> zones);

        /** How many calls of a class may be in progress, by its index: all limits that there are. */
        void limits(Map<Integer, Integer> classes);
    }

    private final Transport transport;
    private final RegistrySettings settings;
    private final Listener listener;
    private final RegistryClient client;
    private final RegistryView values;
    private final ResourceAccount held;
    /** Writes the state, since the loop must not wait for a disk; null where none is kept. */
    private final ExecutorService disk;

    private boolean saving;

    /**
     * A feed that follows nothing yet.
     *
     * @param transport its loop, clock and network
     * @param config knows zones and kinds, and the seed of this agent
     * @param settings which registry
     * @param held what the keys count as
     * @param listener told on the loop
     */
    public RegistrySource(
            Transport transport, Config config, RegistrySettings settings, ResourceAccount held, Listener listener) {
        this.held = held;
        this.transport = transport;
        this.settings = settings;
        this.listener = listener;
        this.values = new RegistryView(config, settings.prefix(), transport::log);
        this.client = new RegistryClient(transport, settings, config.seed(), new RegistryClient.Listener() {
            @Override
            public void changed(boolean full, List<KeyChange> changes, Map<String, KeyEntry> all) {
                held.set(all.size(), 0);
                tell(full ? ListKind.FULL : ListKind.DELTA, changes);
                save();
            }

            @Override
            public void stale(boolean now) {
                transport.log(
                        now
                                ? "registry: its list is stale and goes on being used"
                                : "registry: its list is confirmed again");
            }
        });
        this.disk = settings.stateFile() == null
                ? null
                : Executors.newSingleThreadExecutor(new DefaultThreadFactory("registry-state", true));
    }

    /** Begins: with what is on the disk, if anything is, and then with the registry. */
    public void start() {
        if (settings.stateFile() != null) {
            try {
                RegistryStateFile.Kept kept = RegistryStateFile.read(settings.stateFile());
                if (kept != null) {
                    client.restore(kept.history(), kept.revision(), kept.entries());
                    transport.log("registry: begins with revision " + kept.revision() + ", kept "
                            + Math.max(0, transport.wallMicros() / 1_000_000 - kept.savedAt() / 1_000) + " s ago in "
                            + settings.stateFile());
                    tell(
                            ListKind.CACHED,
                            kept.entries().stream().map(KeyChange::put).toList());
                }
            } catch (IOException e) {
                transport.log("registry: the state kept cannot be used: " + e.getMessage());
            }
        }
        client.start();
    }

    /** Ends; what is being written is still written. */
    public void close() {
        client.close();
        if (disk != null) {
            disk.shutdown();
        }
    }

    /** Where it stands. */
    public Follower follower() {
        return client.follower();
    }

    private void tell(ListKind kind, List<KeyChange> changes) {
        RegistryView.News news = values.changed(changes);
        if (news.policies()) {
            listener.policies(values.ofServers(), values.ofZones());
        }
        if (news.limits()) {
            listener.limits(values.ofClasses());
        }
        if (kind != ListKind.DELTA || !news.servers().isEmpty()) {
            listener.list(kind, kind == ListKind.DELTA ? news.servers() : values.endpoints());
        }
    }

    private void save() {
        if (disk != null && !saving) {
            saving = true;
            transport
                    .loop()
                    .schedule(
                            () -> {
                                saving = false;
                                Follower follower = client.follower();
                                RegistryStateFile.Kept kept = new RegistryStateFile.Kept(
                                        follower.history(),
                                        follower.revision(),
                                        transport.wallMicros() / 1_000,
                                        List.copyOf(follower.entries().values()));
                                if (!disk.isShutdown()) {
                                    disk.execute(() -> write(kept));
                                }
                            },
                            SAVE_AFTER_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void write(RegistryStateFile.Kept kept) {
        try {
            RegistryStateFile.write(settings.stateFile(), kept);
        } catch (IOException e) {
            transport.log("registry: its state cannot be kept: " + e);
        }
    }
}
