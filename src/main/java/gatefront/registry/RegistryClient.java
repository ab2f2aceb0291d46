package gatefront.registry;

import gatefront.registry.follower.Follower;
import gatefront.registry.follower.KeyChange;
import gatefront.registry.follower.KeyEntry;
import gatefront.transport.Transport;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A follower with its calls, on one loop. */
public final class RegistryClient {
    /** What it tells. */
    public interface Listener {
        /**
         * The keys have changed.
         *
         * @param full whether by a full read
         * @param changes what has changed
         * @param all the keys as they are now
         */
        void changed(boolean full, List<KeyChange> changes, Map<String, KeyEntry> all);

        /** The registry has not confirmed the keys for too long, or does so again. */
        default void stale(boolean now) {}
    }

    private final Transport transport;
    private final Follower follower;
    private final RegistryConnector calls;

    /**
     * A client that asks nothing yet.
     *
     * @param transport its loop, clock and network
     * @param settings which registry
     * @param seed for its jitter; agents must not share it
     * @param listener told on the loop
     */
    public RegistryClient(Transport transport, RegistrySettings settings, long seed, Listener listener) {
        this.transport = transport;
        this.follower = new Follower(settings.bounds(), seed, new Follower.Actions() {
            @Override
            public void list(long call, boolean quorum) {
                calls.list(call, quorum);
            }

            @Override
            public void watch(long call, long revision) {
                calls.watch(call, revision);
            }

            @Override
            public void ask(long call) {
                calls.ask(call);
            }

            @Override
            public void drop(boolean failed) {
                calls.drop(failed);
            }

            @Override
            public void timer(long delay) {
                transport.loop().schedule(() -> follower.timer(now()), delay, TimeUnit.MICROSECONDS);
            }

            @Override
            public void changed(boolean full, List<KeyChange> changes) {
                listener.changed(full, changes, follower.entries());
            }

            @Override
            public void stale(boolean now) {
                listener.stale(now);
            }

            @Override
            public void log(String line) {
                transport.log("registry: " + line);
            }
        });
        RegistryMembers members = new RegistryMembers(settings.endpoints(), seed);
        this.calls = settings.kind() == RegistrySettings.Kind.CONSUL
                ? new ConsulConnector(transport, settings, members, follower)
                : new EtcdConnector(transport, settings, members, follower);
    }

    /** Begins to follow. */
    public void start() {
        follower.start(now());
    }

    /** Goes on from a state kept earlier; before {@link #start}. */
    public void restore(long history, long revision, List<KeyEntry> entries) {
        follower.restore(history, revision, entries);
    }

    /** Ends: nothing is open any more. */
    public void close() {
        follower.close();
        calls.drop(true);
    }

    /** What it knows. */
    public Follower follower() {
        return follower;
    }

    private long now() {
        return transport.nanos() / 1000;
    }
}
