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
 * What operators do with an agent, put together: the door, bans laid over the list, and what another process of the
 * same agent is told of them. Not loaded where there is no door. All of it runs on the agent's loop.
 */
final class OperatorControls implements ManagementEndpoint.Agent {
    /** How often the other process is looked for: a ban at its door is to hold here within the grace of a drain. */
    private static final long LOOK_MS = 100;
    /** A server is back so long after the yes has been written: time for that to arrive. */
    private static final long RETURN_MS = 50;

    /** What it asks of the agent. */
    interface Host {
        /** Whether the process is ready to serve. */
        boolean ready();

        /** Names of the classes by their numbers, dropped ones too. */
        List<String> classes();

        /** The process that served has ended. */
        void alone();
    }

    private final Transport transport;
    private final Host host;
    private final Engine engine;
    private final ManagementEndpoint door;
    private final ServerBans bans = new ServerBans();
    /** Null where nothing is shared. */
    private final ProcessHandover neighbour;
    /** Servers that are about to be put back; each goes after {@link #RETURN_MS}. */
    private final Map<String, Future<?>> returning = new HashMap<>();

    private Future<?> looking;
    /** What is known over a death; null where nothing is kept. */
    private StateRecovery recovering;

    private boolean follows;
    private long applied;
    private long rejected;

    OperatorControls(
            Transport transport, InetSocketAddress listen, ProcessHandover neighbour, Engine engine, Host host) {
        this.transport = transport;
        this.host = host;
        this.engine = engine;
        this.neighbour = neighbour;
        this.follows = neighbour != null && neighbour.isSuccessor();
        this.door = new ManagementEndpoint(transport, listen, this);
    }

    ChannelFuture listen() {
        return door.listen();
    }

    InetSocketAddress address() {
        return door.address();
    }

    /** Whether another process serves, and this one is to take over from it. */
    boolean follows() {
        return follows;
    }

    /** Whether another process is there to take over from this one. */
    boolean followed() {
        return neighbour != null && neighbour.hasSuccessor();
    }

    /**
     * Hears of what the other process has told so far, and from now on of the rest; before the first list.
     *
     * @param before what this instance knows over its death; null where it keeps nothing
     */
    void start(StateRecovery before) {
        recovering = before;
        if (before != null) {
            bans.merge(before.bans());
            bans.takeChanged();
            if (neighbour != null && !before.guards(RecoverySettings.Guard.KEPT_BANS)) {
                neighbour.poll();
            }
            if (neighbour != null && !bans.entries().isEmpty()) {
                neighbour.publishBans(bans.entries());
            }
        }
        if (neighbour != null) {
            look();
            looking = transport.loop().scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    void close() {
        door.close();
        if (looking != null) {
            looking.cancel(false);
        }
        if (neighbour != null) {
            neighbour.close();
        }
    }

    /** The list with what is out by hand. */
    List<Endpoint> told(ListKind kind, List<Endpoint> endpoints) {
        return bans.update(kind, endpoints);
    }

    /** A file of settings was taken, or turned down. */
    void reloaded(boolean taken) {
        applied += taken ? 1 : 0;
        rejected += taken ? 0 : 1;
    }

    private void look() {
        List<Endpoint> lines = bans.merge(neighbour.poll());
        boolean news = bans.takeChanged();
        if (news) {
            neighbour.publishBans(bans.entries());
            keep(bans.entries(), kept -> {});
        }
        if (!lines.isEmpty()) {
            engine.updateServers(ListKind.DELTA, lines);
        }
        if (!neighbour.isSuccessor() && neighbour.hasOtherFiles() && !neighbour.hasSuccessor()) {
            neighbour.deleteOtherFiles();
        }
        if (follows && !neighbour.isSuccessor()) {
            follows = false;
            host.alone();
        }
    }

    @Override
    public boolean ready() {
        return host.ready();
    }

    @Override
    public void setDrained(String backend, boolean out, BiConsumer<ServerBans.Outcome, Boolean> then) {
        if (neighbour != null) {
            look(); // a call at the other door may have come just before
        }
        Future<?> earlier = returning.remove(backend);
        if (earlier != null) {
            earlier.cancel(false);
        }
        if (!out && bans.isDrained(backend)) {
            // Guards against a request that is there before the operator has the yes: what is held goes out at once.
            Map<String, ServerBans.Entry> soon = new HashMap<>(bans.entries());
            soon.put(
                    backend,
                    new ServerBans.Entry(
                            false,
                            Math.max(transport.wallMicros(), soon.get(backend).changedAtMicros() + 1)));
            keep(soon, kept -> {
                then.accept(ServerBans.Outcome.APPLIED, kept);
                // A call that came meanwhile has the last word.
                if (bans.isDrained(backend) && !returning.containsKey(backend)) {
                    returning.put(
                            backend,
                            transport
                                    .loop()
                                    .schedule(
                                            () -> {
                                                returning.remove(backend);
                                                apply(backend, false);
                                                keep(bans.entries(), again -> {});
                                            },
                                            RETURN_MS,
                                            TimeUnit.MILLISECONDS));
                }
            });
            return;
        }
        ServerBans.Outcome answer = apply(backend, out);
        keep(bans.entries(), kept -> then.accept(answer, kept));
    }

    /** Keeps calls by hand where anything is kept; where nothing is, nobody expects it. */
    private void keep(Map<String, ServerBans.Entry> entries, Consumer<Boolean> then) {
        if (recovering == null) {
            then.accept(true);
        } else {
            recovering.keep(entries, then);
        }
    }

    private ServerBans.Outcome apply(String backend, boolean out) {
        ServerBans.Outcome answer = bans.setDrained(backend, out, transport.wallMicros());
        if (bans.takeChanged()) {
            transport.log("server " + backend + (out ? " taken out by hand" : " put back by hand"));
            if (neighbour != null) {
                neighbour.publishBans(bans.entries());
            }
            List<Endpoint> line = bans.effectiveEndpoint(backend);
            if (!line.isEmpty()) {
                engine.updateServers(ListKind.DELTA, line);
            }
        }
        return answer;
    }

    @Override
    public Map<String, String> textFigures() {
        return recovering == null ? Map.of() : recovering.words();
    }

    @Override
    public Map<String, Long> figures() {
        Map<String, Long> figures = new LinkedHashMap<>();
        RequestCounters tally = engine.counters();
        List<String> classes = host.classes();
        for (int i = 0; i < classes.size(); i++) {
            figures.put("ok." + classes.get(i), tally.ok(i));
            figures.put("shed." + classes.get(i), tally.shed(i));
            figures.put("errors." + classes.get(i), tally.errors(i));
        }
        figures.put("tries", tally.attempts());
        figures.put("active", tally.active());
        figures.put("pool_size", (long) engine.listedServers());
        figures.put("pool_ejected", (long) bans.drainedCount() + engine.avoidedServers());
        figures.put("config_applied", applied);
        figures.put("config_rejected", rejected);
        return figures;
    }
}
