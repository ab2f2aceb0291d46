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
 * Every link of every agent goes over a relay of its own. Owned by the day's loop; relays are made as links are first
 * asked for, one for each agent, kind of link and other side, and end with the day.
 */
final class RelayNetwork extends RealTimeRig {
    /** After this all that had been held back has arrived. */
    private static final long CATCH_UP_MICROS = 500_000;

    /** A link: whose, which kind, where it leads. */
    private record LinkKey(int agent, Links kind, InetSocketAddress to) {}

    /** When something stood in a link's way, or a process did not run. */
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
    /** By agent, kind and direction; one that is clear has none. */
    private final Map<String, LinkConditions> conditions = new HashMap<>();

    private final Map<Integer, Interval> pauses = new HashMap<>();
    private final Map<String, Interval> disruptions = new HashMap<>();

    RelayNetwork(
            RunContext day,
            LoopLateness lateness,
            EventLoopGroup loops,
            InetAddress host,
            ManualDrainChecker hand,
            EventHistory chronicle,
            StartTimeline timeline) {
        super(day, lateness);
        this.loops = loops;
        this.host = host;
        this.drainChecker = hand;
        this.history = chronicle;
        this.timeline = timeline;
    }

    private static String key(int agent, Links kind) {
        return kind + " " + agent;
    }

    private static String key(int agent, Links kind, Flow way) {
        return key(agent, kind) + " " + way;
    }

    /** The relay of a link, which is made if need be. */
    Relay relay(int agent, Links kind, InetSocketAddress to) {
        return relays.computeIfAbsent(new LinkKey(agent, kind, to), key -> {
            try {
                EventLoop loop = loops.next();
                Relay made = new Relay(loop, host, to);
                for (Flow way : Flow.values()) {
                    LinkConditions shape = conditions.get(key(agent, kind, way));
                    if (shape != null) {
                        made.setConditions(way, shape);
                    }
                }
                return made;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private List<Relay> relaysOf(int agent, Links kind) {
        List<Relay> those = new ArrayList<>();
        relays.forEach((key, relay) -> {
            if (key.agent == agent && key.kind == kind) {
                those.add(relay);
            }
        });
        return those;
    }

    private static List<Links> expand(Links links) {
        return links == Links.ALL ? List.of(Links.NODOS, Links.PADRON, Links.CALLERS, Links.DOOR) : List.of(links);
    }

    /** The ways of a link that a direction, as the agent sees it, means. */
    private static List<Flow> flows(Links kind, Direction direction) {
        if (direction == Direction.BOTH) {
            return List.of(Flow.values());
        }
        boolean dials = kind == Links.NODOS || kind == Links.PADRON;
        return List.of(dials == (direction == Direction.OUT) ? Flow.UPSTREAM : Flow.DOWNSTREAM);
    }

    /** Shapes links of an agent, or heals them. */
    void setConditions(int agent, Links links, Direction direction, LinkConditions shape) {
        for (Links kind : expand(links)) {
            Interval span = disruptions.computeIfAbsent(key(agent, kind), key -> new Interval());
            for (Flow way : flows(kind, direction)) {
                if (shape == LinkConditions.CLEAR) {
                    conditions.remove(key(agent, kind, way));
                } else {
                    conditions.put(key(agent, kind, way), shape);
                }
                relaysOf(agent, kind).forEach(each -> each.setConditions(way, shape));
            }
            if (shape == LinkConditions.CLEAR) {
                span.end(day.now());
            } else {
                span.start(day.now());
            }
        }
    }

    /** Resets the connections of links, or ends their far ends alone. */
    void breakConnections(int agent, Links links, boolean halfOpen) {
        for (Links kind : expand(links)) {
            Interval span = disruptions.computeIfAbsent(key(agent, kind), key -> new Interval());
            if (!span.overlaps(day.now(), day.now())) {
                span.start(day.now());
                span.end(day.now());
            }
            relaysOf(agent, kind).forEach(halfOpen ? Relay::halfOpen : Relay::reset);
        }
    }

    /** A process stands still, or goes on. */
    void setPaused(int agent, boolean now) {
        Interval span = pauses.computeIfAbsent(agent, key -> new Interval());
        if (now) {
            span.start(day.now());
        } else {
            span.end(day.now());
        }
    }

    void close() {
        relays.values().forEach(Relay::close);
    }

    @Override
    public InetSocketAddress nodo(int agent, InetSocketAddress at) {
        return relay(agent, Links.NODOS, at).address();
    }

    @Override
    public InetSocketAddress padron(int agent, InetSocketAddress at) {
        return relay(agent, Links.PADRON, at).address();
    }

    @Override
    public boolean heard(int agent) {
        Interval span = disruptions.get(key(agent, Links.PADRON));
        return span == null || !span.overlaps(day.now() - CATCH_UP_MICROS, day.now());
    }

    @Override
    public long sentAt(int agent, long now) {
        Interval span = disruptions.get(key(agent, Links.NODOS));
        return span != null && span.overlaps(now - CATCH_UP_MICROS, now) ? Math.min(now, span.from) : now;
    }

    @Override
    public boolean owes(int agent, long from, long until) {
        Interval stop = pauses.get(agent);
        Interval link = disruptions.get(key(agent, Links.CALLERS));
        return (stop == null || !stop.overlaps(from, until)) && (link == null || !link.overlaps(from, until));
    }

    @Override
    public void served(long now, int agent) {
        timeline.reached(agent, StartTimeline.Mark.SERVES, now);
    }

    @Override
    public void begun(long now, int agent, int nodo) {
        drainChecker.begun(now, agent, nodo);
    }

    @Override
    public void note(long at, String request, String what) {
        history.request(at, request, what);
    }
}
