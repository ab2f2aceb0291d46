package gatefront.rehearsal;

import gatefront.rehearsal.check.ManualDrainChecker;
import gatefront.rehearsal.processes.EventHistory;
import gatefront.rehearsal.processes.LinkConditions;
import gatefront.rehearsal.processes.LoopLateness;
import gatefront.rehearsal.processes.ProcessFault.Direction;
import gatefront.rehearsal.processes.ProcessFault.Links;
import gatefront.rehearsal.processes.Relay;
import gatefront.rehearsal.processes.Relay.Flow;
import gatefront.rehearsal.processes.StartTimeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Routes each link of each agent over a {@link Relay} of its own, and applies the faults of links. Owned by the event
 * loop of the rehearsal. Relays are created when a link is first used, one for each agent, kind of link and
 * destination, and are closed with the rehearsal.
 */
final class RelayNetwork extends RealTimeRig {
    /** Time after the end of a fault by which all bytes that it held back have arrived, in microseconds. */
    private static final long CATCH_UP_MICROS = 500_000;

    /** Identifies a link: the agent, the kind of link and the destination. */
    private record LinkKey(int agent, Links kind, InetSocketAddress to) {}

    /** The latest period in which a link was disturbed or a process was stopped, in microseconds. */
    private static final class Interval {
        private long from = Long.MIN_VALUE / 2;
        private long until = Long.MIN_VALUE / 2;

        void start(long now) {
            from = now;
            until = Long.MAX_VALUE / 2;
        }

        void end(long now) {
            until = now;
        }

        boolean overlaps(long since, long to) {
            return until >= since && from <= to;
        }
    }

    private final EventLoopGroup loops;
    private final InetAddress host;
    private final ManualDrainChecker drainChecker;
    private final EventHistory history;
    private final StartTimeline timeline;
    private final Map<LinkKey, Relay> relays = new HashMap<>();
    /** Conditions by agent, kind of link and flow; clear ones have no entry. */
    private final Map<String, LinkConditions> conditions = new HashMap<>();

    /** The latest stop of each agent's process. */
    private final Map<Integer, Interval> pauses = new HashMap<>();

    /** Short suspensions of agents, within what the platform allows; the number is that of the plan's signals. */
    private final List<Interval> suspensions = new ArrayList<>();

    /** The latest fault of each agent's links by kind. */
    private final Map<String, Interval> disruptions = new HashMap<>();

    RelayNetwork(
            RunContext context,
            LoopLateness lateness,
            EventLoopGroup loops,
            InetAddress host,
            ManualDrainChecker drainChecker,
            EventHistory history,
            StartTimeline timeline) {
        super(context, lateness);
        this.loops = loops;
        this.host = host;
        this.drainChecker = drainChecker;
        this.history = history;
        this.timeline = timeline;
    }

    private static String key(int agent, Links kind) {
        return kind + " " + agent;
    }

    private static String key(int agent, Links kind, Flow flow) {
        return key(agent, kind) + " " + flow;
    }

    /** Returns the relay of a link, and creates it if it does not exist yet. */
    Relay relay(int agent, Links kind, InetSocketAddress to) {
        return relays.computeIfAbsent(new LinkKey(agent, kind, to), link -> {
            try {
                EventLoop loop = loops.next();
                Relay relay = new Relay(loop, host, to);
                for (Flow flow : Flow.values()) {
                    LinkConditions flowConditions = conditions.get(key(agent, kind, flow));
                    if (flowConditions != null) {
                        relay.setConditions(flow, flowConditions);
                    }
                }
                return relay;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private List<Relay> relaysOf(int agent, Links kind) {
        List<Relay> matching = new ArrayList<>();
        relays.forEach((link, relay) -> {
            if (link.agent == agent && link.kind == kind) {
                matching.add(relay);
            }
        });
        return matching;
    }

    private static List<Links> expand(Links links) {
        return links == Links.ALL ? List.of(Links.NODOS, Links.PADRON, Links.CALLERS, Links.DOOR) : List.of(links);
    }

    /** Returns the flows of a link that correspond to a direction as the agent sees it. */
    private static List<Flow> flows(Links kind, Direction direction) {
        if (direction == Direction.BOTH) {
            return List.of(Flow.values());
        }
        boolean agentConnects = kind == Links.NODOS || kind == Links.PADRON;
        return List.of(agentConnects == (direction == Direction.OUT) ? Flow.UPSTREAM : Flow.DOWNSTREAM);
    }

    /** Sets the conditions of an agent's links; {@link LinkConditions#CLEAR} restores them. */
    void setConditions(int agent, Links links, Direction direction, LinkConditions newConditions) {
        for (Links kind : expand(links)) {
            Interval interval = disruptions.computeIfAbsent(key(agent, kind), absent -> new Interval());
            for (Flow flow : flows(kind, direction)) {
                if (newConditions == LinkConditions.CLEAR) {
                    conditions.remove(key(agent, kind, flow));
                } else {
                    conditions.put(key(agent, kind, flow), newConditions);
                }
                relaysOf(agent, kind).forEach(relay -> relay.setConditions(flow, newConditions));
            }
            if (newConditions == LinkConditions.CLEAR) {
                interval.end(context.now());
            } else {
                interval.start(context.now());
            }
        }
    }

    /** Resets the connections of an agent's links, or closes only their far ends. */
    void breakConnections(int agent, Links links, boolean halfOpen) {
        for (Links kind : expand(links)) {
            Interval interval = disruptions.computeIfAbsent(key(agent, kind), absent -> new Interval());
            if (!interval.overlaps(context.now(), context.now())) {
                interval.start(context.now());
                interval.end(context.now());
            }
            relaysOf(agent, kind).forEach(halfOpen ? Relay::halfOpen : Relay::reset);
        }
    }

    /** Records that an agent's process was stopped or resumed. */
    void setPaused(int agent, boolean paused) {
        Interval interval = pauses.computeIfAbsent(agent, absent -> new Interval());
        if (paused) {
            interval.start(context.now());
        } else {
            interval.end(context.now());
        }
    }

    /**
     * Records a short suspension of an agent. Responses may be late by its length, and nothing else is excused.
     */
    void recordSuspension(long from, long until) {
        Interval interval = new Interval();
        interval.start(from);
        interval.end(until);
        suspensions.add(interval);
    }

    @Override
    public long maxStallMicros(long from, long until) {
        long longest = super.maxStallMicros(from, until);
        for (Interval suspension : suspensions) {
            if (suspension.overlaps(from, until)) {
                longest = Math.max(longest, suspension.until - suspension.from);
            }
        }
        return longest;
    }

    @Override
    public long maxCloseDelayMicros(int agent, long from, long until) {
        Interval disruption = disruptions.get(key(agent, Links.CALLERS));
        boolean heldBack = disruption != null && disruption.overlaps(from, until + CATCH_UP_MICROS);
        return heldBack ? until - from : super.maxStallMicros(from, until);
    }

    void close() {
        relays.values().forEach(Relay::close);
    }

    @Override
    public InetSocketAddress nodoAddress(int agent, InetSocketAddress at) {
        return relay(agent, Links.NODOS, at).address();
    }

    @Override
    public InetSocketAddress padronAddress(int agent, InetSocketAddress at) {
        return relay(agent, Links.PADRON, at).address();
    }

    @Override
    public boolean padronReaches(int agent) {
        Interval interval = disruptions.get(key(agent, Links.PADRON));
        return interval == null || !interval.overlaps(context.now() - CATCH_UP_MICROS, context.now());
    }

    @Override
    public long earliestSendMicros(int agent, long now) {
        Interval interval = disruptions.get(key(agent, Links.NODOS));
        return interval != null && interval.overlaps(now - CATCH_UP_MICROS, now) ? Math.min(now, interval.from) : now;
    }

    @Override
    public boolean reachableThroughout(int agent, long from, long until) {
        Interval pause = pauses.get(agent);
        Interval disruption = disruptions.get(key(agent, Links.CALLERS));
        return (pause == null || !pause.overlaps(from, until))
                && (disruption == null || !disruption.overlaps(from, until));
    }

    @Override
    public void requestServed(long now, int agent) {
        timeline.reached(agent, StartTimeline.Mark.SERVES, now);
    }

    @Override
    public void attemptStarted(long now, int agent, int nodo) {
        drainChecker.attemptStarted(now, agent, nodo);
    }

    @Override
    public void requestEvent(long at, String request, String what) {
        history.request(at, request, what);
    }
}
