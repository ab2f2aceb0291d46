package gatefront.registry;

import gatefront.registry.follower.Follower;
import gatefront.registry.follower.KeyChange;
import gatefront.registry.follower.KeyEntry;
import gatefront.transport.Transport;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Follows a registry: a {@link Follower} together with the connector that makes its calls, on one event loop. */
public final class RegistryClient {
    /** Receives the results. */
    public interface Listener {
        /**
         * Reports that the entries have changed.
         *
         * @param full whether a full read caused the changes
         * @param changes the changes
         * @param entries all entries as they are now
         */
        void changed(boolean full, List<KeyChange> changes, Map<String, KeyEntry> entries);

        /** Reports that the entries have not been confirmed for too long, or that they are confirmed again. */
        default void staleChanged(boolean isStale) {}
    }

    private final Transport transport;
    private final Follower follower;
    private final RegistryConnector connector;

    /**
     * Creates a client that has not started.
     *
     * @param transport provides the event loop, the clock and the network
     * @param settings the registry to follow
     * @param seed the seed of the jitter; agents must not share it
     * @param listener called on the event loop
     */
    public RegistryClient(Transport transport, RegistrySettings settings, long seed, Listener listener) {
        this.transport = transport;
        this.follower = new Follower(settings.limits(), seed, new Follower.Actions() {
            @Override
            public void list(long call, boolean quorum) {
                connector.list(call, quorum);
            }

            @Override
            public void watch(long call, long revision) {
                connector.watch(call, revision);
            }

            @Override
            public void requestProgress(long call) {
                connector.requestProgress(call);
            }

            @Override
            public void endCall(boolean failed) {
                connector.endCall(failed);
            }

            @Override
            public void scheduleTimer(long delayMicros) {
                transport.loop().schedule(() -> follower.timerFired(nowMicros()), delayMicros, TimeUnit.MICROSECONDS);
            }

            @Override
            public void changed(boolean full, List<KeyChange> changes) {
                listener.changed(full, changes, follower.entries());
            }

            @Override
            public void staleChanged(boolean isStale) {
                listener.staleChanged(isStale);
            }

            @Override
            public void log(String line) {
                transport.log("registry: " + line);
            }
        });
        RegistryMembers members = new RegistryMembers(settings.endpoints(), seed);
        this.connector = settings.kind() == RegistrySettings.Kind.CONSUL
                ? new ConsulConnector(transport, settings, members, follower)
                : new EtcdConnector(transport, settings, members, follower);
    }

    /** Starts to follow the registry. */
    public void start() {
        follower.start(nowMicros());
    }

    /** Restores entries that were stored earlier; must be called before {@link #start}. */
    public void restore(long history, long revision, List<KeyEntry> entries) {
        follower.restore(history, revision, entries);
    }

    /** Stops following and closes the connection. */
    public void close() {
        follower.close();
        connector.endCall(true);
    }

    /** Returns the follower, which holds the entries. */
    public Follower follower() {
        return follower;
    }

    private long nowMicros() {
        return transport.nanos() / 1000;
    }
}
