package gatefront.agent;

import gatefront.engine.Engine;
import gatefront.engine.RequestCounters;
import gatefront.management.ManagementEndpoint;
import gatefront.membership.Endpoint;
import gatefront.membership.ServerBans;
import gatefront.policy.Balancer.ListKind;
import gatefront.transport.Transport;
import gatefront.upgrade.ProcessHandover;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Operators' control of an agent: the management endpoint, the manual drains applied to the server list, and their
 * exchange with another process of the same agent. Loaded only if a management endpoint is configured. Runs on the
 * agent's loop.
 */
final class OperatorControls implements ManagementEndpoint.Agent {
    /**
     * Interval at which the other process is polled, in milliseconds. A drain received by its endpoint must take effect
     * here within the drain grace.
     */
    private static final long POLL_MS = 100;
    /**
     * Delay between the confirmation of a return and the first request to the server, in milliseconds, so that the
     * confirmation arrives first.
     */
    private static final long RETURN_DELAY_MS = 50;

    /** The agent as seen by its operator controls. */
    interface AgentControl {
        /** Returns whether the process is ready to serve. */
        boolean ready();

        /** Returns the names of the classes by number, including dropped ones. */
        List<String> classes();

        /** Called when the process that served before this one has ended. */
        void onPredecessorEnded();
    }

    private final Transport transport;
    private final AgentControl agent;
    private final Engine engine;
    private final ManagementEndpoint endpoint;
    private final ServerBans bans = new ServerBans();
    /** The other process of the agent; null if no directory is shared. */
    private final ProcessHandover peer;
    /** Scheduled returns of drained servers, by name; each runs after {@link #RETURN_DELAY_MS}. */
    private final Map<String, Future<?>> pendingReturns = new HashMap<>();

    private Future<?> pollTask;
    /** State that survives a restart; null if none is stored. */
    private StateRecovery stateRecovery;

    /** Whether another process serves and this one is to take over from it. */
    private boolean successor;

    private long appliedReloads;
    private long rejectedReloads;

    OperatorControls(
            Transport transport, InetSocketAddress listen, ProcessHandover peer, Engine engine, AgentControl agent) {
        this.transport = transport;
        this.agent = agent;
        this.engine = engine;
        this.peer = peer;
        this.successor = peer != null && peer.isSuccessor();
        this.endpoint = new ManagementEndpoint(transport, listen, this);
    }

    ChannelFuture listen() {
        return endpoint.listen();
    }

    InetSocketAddress address() {
        return endpoint.address();
    }

    /** Returns whether another process serves and this one is to take over from it. */
    boolean isSuccessor() {
        return successor;
    }

    /** Returns whether another process is about to take over from this one. */
    boolean hasSuccessor() {
        return peer != null && peer.hasSuccessor();
    }

    /**
     * Reads the manual drains of the other process and begins to poll it; must be called before the first server list.
     *
     * @param restored the state restored from before the restart, or null if none is stored
     */
    void start(StateRecovery restored) {
        stateRecovery = restored;
        if (restored != null) {
            bans.merge(restored.restoredBans());
            bans.takeChanged();
            if (peer != null && !restored.isEnabled(RecoverySettings.Guard.KEPT_BANS)) {
                peer.poll();
            }
            if (peer != null && !bans.entries().isEmpty()) {
                peer.publishBans(bans.entries());
            }
        }
        if (peer != null) {
            pollPeer();
            pollTask = transport.loop().scheduleWithFixedDelay(this::pollPeer, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    void close() {
        endpoint.close();
        if (pollTask != null) {
            pollTask.cancel(false);
        }
        if (peer != null) {
            peer.close();
        }
    }

    /** Returns the server list with the manual drains applied. */
    List<Endpoint> applyOverrides(ListKind kind, List<Endpoint> endpoints) {
        return bans.update(kind, endpoints);
    }

    /** Counts a reload that was applied or rejected. */
    void recordReload(boolean success) {
        appliedReloads += success ? 1 : 0;
        rejectedReloads += success ? 0 : 1;
    }

    private void pollPeer() {
        List<Endpoint> changes = bans.merge(peer.poll());
        boolean changed = bans.takeChanged();
        if (changed) {
            peer.publishBans(bans.entries());
            persist(bans.entries(), stored -> {});
        }
        if (!changes.isEmpty()) {
            engine.updateServers(ListKind.DELTA, changes);
        }
        if (!peer.isSuccessor() && peer.hasOtherFiles() && !peer.hasSuccessor()) {
            peer.deleteOtherFiles();
        }
        if (successor && !peer.isSuccessor()) {
            successor = false;
            agent.onPredecessorEnded();
        }
    }

    @Override
    public boolean ready() {
        return agent.ready();
    }

    @Override
    public void setDrained(String server, boolean drained, BiConsumer<ServerBans.Outcome, Boolean> callback) {
        if (peer != null) {
            pollPeer(); // the other endpoint may have received a call just before
        }
        Future<?> scheduledReturn = pendingReturns.remove(server);
        if (scheduledReturn != null) {
            scheduledReturn.cancel(false);
        }
        if (!drained && bans.isDrained(server)) {
            // Guards against a request reaching the server before the operator has the confirmation: once the server is
            // back, requests that wait are sent to it at once. So the return is stored and confirmed first.
            Map<String, ServerBans.Entry> entries = new HashMap<>(bans.entries());
            entries.put(
                    server,
                    new ServerBans.Entry(
                            false,
                            Math.max(transport.wallMicros(), entries.get(server).changedAtMicros() + 1)));
            persist(entries, stored -> {
                callback.accept(ServerBans.Outcome.APPLIED, stored);
                // A call that arrived in the meantime takes precedence.
                if (bans.isDrained(server) && !pendingReturns.containsKey(server)) {
                    pendingReturns.put(
                            server,
                            transport
                                    .loop()
                                    .schedule(
                                            () -> {
                                                pendingReturns.remove(server);
                                                apply(server, false);
                                                persist(bans.entries(), ignored -> {});
                                            },
                                            RETURN_DELAY_MS,
                                            TimeUnit.MILLISECONDS));
                }
            });
            return;
        }
        ServerBans.Outcome outcome = apply(server, drained);
        persist(bans.entries(), stored -> callback.accept(outcome, stored));
    }

    /** Stores the manual drains if state is stored at all; otherwise reports success. */
    private void persist(Map<String, ServerBans.Entry> entries, Consumer<Boolean> callback) {
        if (stateRecovery == null) {
            callback.accept(true);
        } else {
            stateRecovery.persistBans(entries, callback);
        }
    }

    private ServerBans.Outcome apply(String server, boolean drained) {
        ServerBans.Outcome outcome = bans.setDrained(server, drained, transport.wallMicros());
        if (bans.takeChanged()) {
            transport.log("server " + server + (drained ? " taken out by hand" : " put back by hand"));
            if (peer != null) {
                peer.publishBans(bans.entries());
            }
            List<Endpoint> change = bans.effectiveEndpoint(server);
            if (!change.isEmpty()) {
                engine.updateServers(ListKind.DELTA, change);
            }
        }
        return outcome;
    }

    @Override
    public Map<String, String> textStatistics() {
        return stateRecovery == null ? Map.of() : stateRecovery.statusFields();
    }

    @Override
    public Map<String, Long> statistics() {
        Map<String, Long> statistics = new LinkedHashMap<>();
        RequestCounters counters = engine.counters();
        List<String> classes = agent.classes();
        for (int i = 0; i < classes.size(); i++) {
            statistics.put("ok." + classes.get(i), counters.ok(i));
            statistics.put("shed." + classes.get(i), counters.shed(i));
            statistics.put("errors." + classes.get(i), counters.errors(i));
        }
        statistics.put("tries", counters.attempts());
        statistics.put("active", counters.active());
        statistics.put("pool_size", (long) engine.listedServers());
        statistics.put("pool_ejected", (long) bans.drainedCount() + engine.avoidedServers());
        statistics.put("config_applied", appliedReloads);
        statistics.put("config_rejected", rejectedReloads);
        return statistics;
    }
}
