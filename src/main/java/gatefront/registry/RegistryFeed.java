package gatefront.registry;

import gatefront.budget.Account;
import gatefront.config.Config;
import gatefront.membership.Endpoint;
import gatefront.membership.Policy;
import gatefront.policy.Balancer.ListKind;
import gatefront.registry.follower.Change;
import gatefront.registry.follower.Entry;
import gatefront.registry.follower.Follower;
import gatefront.transport.Transport;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A registry as a source of the server list; keeps its last state on disk where that is configured. */
public final class RegistryFeed {
    /** What is written in a burst is written once. */
    private static final long SAVE_AFTER_MS = 1_000;

    /** What it tells, on the loop. */
    public interface Listener {
        /** Servers that the registry lists: all of them, all as they were on the disk, or changes. */
        void list(ListKind kind, List<Endpoint> endpoints);

        /** All policies, by the server's name and the zone's number. */
        void policies(Map<String, Policy> servers, Map<Integer, Policy> zones);

        /** How many calls of a class may be in progress, by its index: all limits that there are. */
        void limits(Map<Integer, Integer> classes);
    }

    private final Transport transport;
    private final RegistrySettings settings;
    private final Listener listener;
    private final RegistryClient client;
    private final NodoValues values;
    private final Account held;
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
    public RegistryFeed(
            Transport transport, Config config, RegistrySettings settings, Account held, Listener listener) {
        this.held = held;
        this.transport = transport;
        this.settings = settings;
        this.listener = listener;
        this.values = new NodoValues(config, settings.prefix(), transport::log);
        this.client = new RegistryClient(transport, settings, config.seed(), new RegistryClient.Listener() {
            @Override
            public void changed(boolean full, List<Change> changes, Map<String, Entry> all) {
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
                StateFile.Kept kept = StateFile.read(settings.stateFile());
                if (kept != null) {
                    client.restore(kept.history(), kept.revision(), kept.entries());
                    transport.log("registry: begins with revision " + kept.revision() + ", kept "
                            + Math.max(0, transport.wallMicros() / 1_000_000 - kept.savedAt() / 1_000) + " s ago in "
                            + settings.stateFile());
                    tell(
                            ListKind.CACHED,
                            kept.entries().stream().map(Change::put).toList());
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

    private void tell(ListKind kind, List<Change> changes) {
        NodoValues.News news = values.changed(changes);
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
                                StateFile.Kept kept = new StateFile.Kept(
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

    private void write(StateFile.Kept kept) {
        try {
            StateFile.write(settings.stateFile(), kept);
        } catch (IOException e) {
            transport.log("registry: its state cannot be kept: " + e);
        }
    }
}
