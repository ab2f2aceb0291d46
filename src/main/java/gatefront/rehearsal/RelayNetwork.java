package gatefront.rehearsal;

import gatefront.rehearsal.check.ManualDrainChecker;
import gatefront.rehearsal.processes.EventHistory;
import gatefront.rehearsal.processes.LinkConditions;
import gatefront.rehearsal.processes.LoopLateness;
import gatefront.rehearsal.processes.ProcessFault.Direction;
import gatefront.rehearsal.processes.ProcessFault.Links;
import gatefront.rehearsal.processes.Relay;
import gatefront.rehearsal.processes.Relay.Way;
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
    private static final long CATCHING_UP = 500_000;

    /** A link: whose, which kind, where it leads. */
    private record Key(int agent, Links kind, InetSocketAddress to) {}

    /** When something stood in a link's way, or a process did not run. */
    private static final class Span {
        private long from = Long.MIN_VALUE / 2;
        private long until = Long.MIN_VALUE / 2;

        void begins(long now) {
            from = now;
            until = Long.MAX_VALUE / 2;
        }

        void ends(long now) {
            until = now;
        }

        boolean meets(long since, long to) {
            return until >= since && from <= to;
        }
    }

    private final EventLoopGroup loops;
    private final InetAddress host;
    private final ManualDrainChecker hand;
    private final EventHistory chronicle;
    private final StartTimeline timeline;
    private final Map<Key, Relay> relays = new HashMap<>();
    /** By agent, kind and direction; one that is clear has none. */
    private final Map<String, LinkConditions> shapes = new HashMap<>();

    private final Map<Integer, Span> stopped = new HashMap<>();
    private final Map<String, Span> troubled = new HashMap<>();

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
        this.hand = hand;
        this.chronicle = chronicle;
        this.timeline = timeline;
    }

    private static String at(int agent, Links kind) {
        return kind + " " + agent;
    }

    private static String at(int agent, Links kind, Way way) {
        return at(agent, kind) + " " + way;
    }

    /** The relay of a link, which is made if need be. */
    Relay relay(int agent, Links kind, InetSocketAddress to) {
        return relays.computeIfAbsent(new Key(agent, kind, to), key -> {
            try {
                EventLoop loop = loops.next();
                Relay made = new Relay(loop, host, to);
                for (Way way : Way.values()) {
                    LinkConditions shape = shapes.get(at(agent, kind, way));
                    if (shape != null) {
                        made.shape(way, shape);
                    }
                }
                return made;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private List<Relay> of(int agent, Links kind) {
        List<Relay> those = new ArrayList<>();
        relays.forEach((key, relay) -> {
            if (key.agent == agent && key.kind == kind) {
                those.add(relay);
            }
        });
        return those;
    }

    private static List<Links> kinds(Links links) {
        return links == Links.ALL ? List.of(Links.NODOS, Links.PADRON, Links.CALLERS, Links.DOOR) : List.of(links);
    }

    /** The ways of a link that a direction, as the agent sees it, means. */
    private static List<Way> ways(Links kind, Direction direction) {
        if (direction == Direction.BOTH) {
            return List.of(Way.values());
        }
        boolean dials = kind == Links.NODOS || kind == Links.PADRON;
        return List.of(dials == (direction == Direction.OUT) ? Way.FORTH : Way.BACK);
    }

    /** Shapes links of an agent, or heals them. */
    void shape(int agent, Links links, Direction direction, LinkConditions shape) {
        for (Links kind : kinds(links)) {
            Span span = troubled.computeIfAbsent(at(agent, kind), key -> new Span());
            for (Way way : ways(kind, direction)) {
                if (shape == LinkConditions.CLEAR) {
                    shapes.remove(at(agent, kind, way));
                } else {
                    shapes.put(at(agent, kind, way), shape);
                }
                of(agent, kind).forEach(each -> each.shape(way, shape));
            }
            if (shape == LinkConditions.CLEAR) {
                span.ends(context.now());
            } else {
                span.begins(context.now());
            }
        }
    }

    /** Resets the connections of links, or ends their far ends alone. */
    void breaks(int agent, Links links, boolean halfOpen) {
        for (Links kind : kinds(links)) {
            Span span = troubled.computeIfAbsent(at(agent, kind), key -> new Span());
            if (!span.meets(context.now(), context.now())) {
                span.begins(context.now());
                span.ends(context.now());
            }
            of(agent, kind).forEach(halfOpen ? Relay::halfOpen : Relay::reset);
        }
    }

    /** A process stands still, or goes on. */
    void stopped(int agent, boolean now) {
        Span span = stopped.computeIfAbsent(agent, key -> new Span());
        if (now) {
            span.begins(context.now());
        } else {
            span.ends(context.now());
        }
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
        Span span = troubled.get(at(agent, Links.PADRON));
        return span == null || !span.meets(context.now() - CATCHING_UP, context.now());
    }

    @Override
    public long earliestSendMicros(int agent, long now) {
        Span span = troubled.get(at(agent, Links.NODOS));
        return span != null && span.meets(now - CATCHING_UP, now) ? Math.min(now, span.from) : now;
    }

    @Override
    public boolean reachableThroughout(int agent, long from, long until) {
        Span stop = stopped.get(agent);
        Span link = troubled.get(at(agent, Links.CALLERS));
        return (stop == null || !stop.meets(from, until)) && (link == null || !link.meets(from, until));
    }

    @Override
    public void requestServed(long now, int agent) {
        timeline.reached(agent, StartTimeline.Mark.SERVES, now);
    }

    @Override
    public void attemptStarted(long now, int agent, int nodo) {
        hand.attemptStarted(now, agent, nodo);
    }

    @Override
    public void requestEvent(long at, String request, String what) {
        chronicle.request(at, request, what);
    }
}
