package gatefront.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.config.Config;
import gatefront.registry.RegistrySettings;
import gatefront.registry.follower.FollowerLimits;
import gatefront.rehearsal.net.Machine;
import gatefront.rehearsal.registry.ConsulStandIn;
import gatefront.rehearsal.registry.EtcdStandIn;
import gatefront.rehearsal.registry.RegistryStandIn;
import gatefront.rehearsal.world.KeyValueStore;
import gatefront.rehearsal.world.Padron;
import gatefront.rehearsal.world.RandomStream;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The padrón over the platform's protocol: the whole list, and watches that wait for news. Each agent has an address
 * of its own to ask at, which tells who asks.
 */
final class PadronStandIn {
    private static final int FIRST_PORT = 8500;
    /** More than the longest way between an agent and its padrón, much less than a drain may take. */
    private static final long HEARD_AFTER = 50_000;

    private static final int MEMBERS = 3;
    private static final int MEMBER_PORT = 2379;
    private static final String PREFIX = "oaxaca/";
    /** After the registry's return: the longest back-off, a dial, and the read or the watch. */
    private static final long TOLD_WITHIN = 1_500_000;
    /** The old address closes what is open after this. */
    private static final long MOVE_MICROS = 1_500_000;

    private final RunContext day;
    private final List<Machine> machines = new ArrayList<>();
    private final RandomStream draw;
    private final Padron padron = new Padron();
    /** Connections, each removed when it closes. */
    private final Set<Asking> open = new LinkedHashSet<>();
    /** By agent, the nodos that it was told of and that have not gone since. */
    private final Map<Integer, Set<Integer>> toldOf = new HashMap<>();
    /** How often an agent was told of a nodo: one figure for each pair. */
    private final Map<Long, Integer> turns = new HashMap<>();

    private final List<Channel> listening = new ArrayList<>();
    /** Where a registry stands for the padrón: the members that each agent has of its own, and what they all hold. */
    private final List<List<RegistryStandIn>> registries = new ArrayList<>();

    private final KeyValueStore keys = new KeyValueStore(1);
    private final RegistrySettings.Kind kind;
    /** Members are down, so that nothing can be told; and how often that was so. */
    private boolean down;

    private int downs;
    private int port = FIRST_PORT;
    private boolean silent;
    /** When it last began to speak again. */
    private long spokenSince;
    /** When the registry last began to tell changes at once. */
    private long promptSince;
    /** Calls that it can take now: as many as come in a second, at the most. */
    private double room;

    private long roomAt;

    PadronStandIn(RunContext day) {
        this.day = day;
        this.draw = day.draw("padron");
        this.kind = switch (day.plan.padron().source()) {
            case "etcd" -> RegistrySettings.Kind.ETCD;
            case "consul" -> RegistrySettings.Kind.CONSUL;
            default -> null;
        };
        for (int i = 0; i < day.plan.agents().count(); i++) {
            machines.add(day.machines.make("padron-" + (i + 1), day.addresses.of(2, i), 0, 1 << 30, line -> {}));
        }
    }

    /** Where an agent asks now. */
    String address(int agent) {
        InetSocketAddress at = day.ways.padron(agent, machines.get(agent).at(port));
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    void start() {
        int at = port;
        for (int i = 0; i < machines.size(); i++) {
            Machine machine = machines.get(i);
            int agent = i;
            ChannelFuture bound = new ServerBootstrap()
                    .group(machine.transport().loop())
                    .channelFactory(machine.transport().serverChannels())
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline()
                                    .addLast(
                                            new HttpServerCodec(),
                                            new HttpObjectAggregator(1 << 16),
                                            new Asking(at, agent));
                        }
                    })
                    .bind(machine.at(at));
            day.listens(bound, machine.name());
            listening.add(bound.channel());
        }
        if (kind != null && registries.isEmpty()) {
            for (int i = 0; i < machines.size(); i++) {
                registries.add(members(i));
            }
        }
    }

    private List<RegistryStandIn> members(int agent) {
        Machine machine = machines.get(agent);
        List<RegistryStandIn> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            RegistryStandIn member = kind == RegistrySettings.Kind.ETCD
                    ? new EtcdStandIn(machine.transport(), () -> keys)
                    : new ConsulStandIn(machine.transport(), () -> keys);
            member.telling((whole, values, open) -> {
                List<Padron.Entry> entries = new ArrayList<>();
                values.forEach((key, value) -> entries.add(entry(key, value)));
                told(agent, new Padron.Listing(keys.revision(), whole, entries), open);
            });
            day.listens(member.listen(machine.at(MEMBER_PORT + i)), machine.name());
            members.add(member);
        }
        return members;
    }

    /** How an agent follows the registry; null where there is none. */
    RegistrySettings registry(int agent) {
        if (kind == null) {
            return null;
        }
        List<InetSocketAddress> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            members.add(machines.get(agent).at(MEMBER_PORT + i));
        }
        boolean etcd = kind == RegistrySettings.Kind.ETCD;
        return RegistrySettings.of(
                kind,
                members,
                PREFIX,
                new FollowerLimits(
                        50_000,
                        1_000_000,
                        etcd ? 0 : 60_000,
                        etcd ? 2_000_000 : 0,
                        8_000_000,
                        30_000_000,
                        600_000_000,
                        20_000));
    }

    /** All members go down or come back; then each agent that runs is to know all within the stated time. */
    void registryDown(boolean now) {
        down = now;
        downs++;
        for (int i = 0; i < registries.size(); i++) {
            for (int j = 0; j < MEMBERS; j++) {
                registries.get(i).get(j).down(now, machines.get(i).at(MEMBER_PORT + j));
            }
        }
        if (!now) {
            int mine = downs;
            long upTo = keys.revision();
            long since = day.now();
            for (AgentStandIn each : day.agents) {
                int process = each.processes();
                day.at(day.now() + TOLD_WITHIN, () -> {
                    if (downs == mine
                            && !silent
                            && spokenSince <= since
                            && promptSince <= since
                            && each.processes() == process
                            && each.ready()
                            && toldUpTo(each.number) < upTo) {
                        day.checker.left(
                                day.now(),
                                each.name() + " knows revision " + toldUpTo(each.number) + " of " + upTo
                                        + " so long after the registry's return");
                    }
                });
            }
        }
    }

    private long toldUpTo(int agent) {
        return registries.get(agent).stream()
                .mapToLong(RegistryStandIn::toldUpTo)
                .max()
                .orElse(0);
    }

    /** From now on the registry tells changes so late. */
    void registryLate(double seconds) {
        promptSince = seconds > 0 ? Long.MAX_VALUE : day.now();
        registries.forEach(each -> each.forEach(member -> member.late(Math.round(1_000 * seconds))));
    }

    /** The registry forgets what changed before now. */
    void compact() {
        keys.compact(keys.revision());
    }

    private void news() {
        List.copyOf(open).forEach(Asking::news);
        registries.forEach(each -> each.forEach(RegistryStandIn::news));
    }

    private void put(Padron.Entry entry) {
        padron.put(entry);
        keys.put(PREFIX + "nodos/" + entry.name(), json(entry).toString());
    }

    private Padron.Entry entry(String key, String value) {
        String name = key.substring((PREFIX + "nodos/").length());
        if (value == null) {
            return new Padron.Entry(name, "", 0, "", 0, Padron.Status.GONE, 1, 0);
        }
        try {
            JsonNode read = Config.parseJson(new ByteArrayInputStream(value.getBytes(StandardCharsets.UTF_8)));
            return new Padron.Entry(
                    name,
                    "",
                    0,
                    "",
                    0,
                    read.path("status").asText().equals("Ready") ? Padron.Status.READY : Padron.Status.TERMINATING,
                    1,
                    read.path("since_ms").asLong());
        } catch (IOException e) {
            throw new IllegalStateException(e); // written by us
        }
    }

    /** Listens elsewhere; the old address takes nothing new and soon closes what is open. */
    void move() {
        listening.forEach(Channel::close);
        listening.clear();
        int before = port;
        port++;
        start();
        day.at(day.now() + MOVE_MICROS, () -> List.copyOf(open).forEach(each -> {
            if (each.at == before) {
                each.ctx.close();
            }
        }));
    }

    /** From now on it answers nothing, or again. */
    void silent(boolean now) {
        silent = now;
        spokenSince = day.now();
        registries.forEach(each -> each.forEach(member -> member.silent(now)));
        if (!silent) {
            List.copyOf(open).forEach(Asking::news);
        }
    }

    /** Lists a nodo at once, as it does before the day begins. */
    void list(NodoStandIn nodo, long sinceMillis) {
        put(new Padron.Entry(
                nodo.name(),
                nodo.address(),
                nodo.spec().zone(),
                nodo.spec().kind(),
                nodo.spec().cell(),
                Padron.Status.READY,
                nodo.spec().weight(),
                sinceMillis));
    }

    /** Learns of something, some time after it has happened, and tells it. */
    void learns(Runnable change) {
        day.at(day.now() + (long) (1e6 * day.plan.padron().noticeDelaySeconds().sample(draw::between)), () -> {
            change.run();
            news();
        });
    }

    void learnsStatus(NodoStandIn nodo, Padron.Status status) {
        learns(() -> {
            padron.put(nodo.name(), status);
            if (status == Padron.Status.GONE) {
                keys.delete(PREFIX + "nodos/" + nodo.name());
            } else {
                padron.whole().entries().stream()
                        .filter(each -> each.name().equals(nodo.name()))
                        .forEach(each -> keys.put(
                                PREFIX + "nodos/" + nodo.name(), json(each).toString()));
            }
        });
    }

    void learnsStart(NodoStandIn nodo) {
        long since = day.wallMillis();
        learns(() -> list(nodo, since));
    }

    /** The list in the protocol's form, as an agent gets it. */
    ObjectNode whole(int agent) {
        return json(agent, padron.whole());
    }

    private ObjectNode json(int agent, Padron.Listing listing) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("index", listing.index()).put("snapshot", listing.whole());
        ArrayNode entries = root.putArray("endpoints");
        for (Padron.Entry each : listing.entries()) {
            ObjectNode entry = json(each);
            int colon = each.address().lastIndexOf(':');
            if (colon > 0) {
                InetSocketAddress at = day.ways.nodo(
                        agent,
                        new InetSocketAddress(
                                each.address().substring(0, colon),
                                Integer.parseInt(each.address().substring(colon + 1))));
                entry.put("address", at.getAddress().getHostAddress() + ":" + at.getPort());
            }
            entries.add(entry);
        }
        return root;
    }

    private ObjectNode json(Padron.Entry each) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("name", each.name())
                .put("address", each.address())
                .put("zone", day.plan.zones().get(each.zone()))
                .put("type", each.kind())
                .put("group", each.cell())
                .put("status", each.status().word())
                .put("weight", each.weight())
                .put("since_ms", each.sinceMillis());
    }

    /** An agent has ended and knows nothing; it will start with what is listed now. */
    void forgot(int agent) {
        day.checker.forgot(agent);
        toldOf.remove(agent);
    }

    private void told(int agent, Padron.Listing listing, BooleanSupplier open) {
        Set<Integer> known = toldOf.computeIfAbsent(agent, each -> new TreeSet<>());
        Set<Integer> missing = new TreeSet<>(listing.whole() ? known : Set.of());
        for (Padron.Entry each : listing.entries()) {
            int nodo = Integer.parseInt(each.name().substring("nodo-".length())) - 1;
            missing.remove(nodo);
            if (!listing.whole() || each.sinceMillis() > 0) {
                day.record.told(day.now(), nodo, each.status().word());
            }
            turns.merge(turn(agent, nodo), 1, Integer::sum);
            if (each.status() == Padron.Status.READY) {
                known.add(nodo);
                long startedAt =
                        each.sinceMillis() == 0 ? 0 : day.now() - 1000 * (day.wallMillis() - each.sinceMillis());
                day.checker.toldReady(day.now(), agent, nodo, Math.max(0, startedAt));
            } else {
                toldClosed(agent, nodo, open);
                if (each.status() == Padron.Status.GONE) {
                    known.remove(nodo);
                }
            }
        }
        for (int gone : missing) {
            turns.merge(turn(agent, gone), 1, Integer::sum);
            toldClosed(agent, gone, open);
            known.remove(gone);
        }
    }

    private static long turn(int agent, int nodo) {
        return (long) agent << 32 | nodo;
    }

    /**
     * Counts as told from now on, unless the connection turns out to have ended when it was written: what is written to
     * an agent that has just given the connection up has not been told to it.
     */
    private void toldClosed(int agent, int nodo, BooleanSupplier open) {
        toldClosed(agent, nodo, open, turns.get(turn(agent, nodo)), toldOf.get(agent));
    }

    private void toldClosed(int agent, int nodo, BooleanSupplier open, int turn, Set<Integer> known) {
        long at = day.now();
        boolean heard = day.ways.heard(agent);
        day.at(at + HEARD_AFTER, () -> {
            if (!open.getAsBoolean() || toldOf.get(agent) != known || turns.get(turn(agent, nodo)) != turn) {
                return;
            }
            if (heard && day.ways.heard(agent)) {
                day.checker.toldClosed(at, agent, nodo);
            } else {
                toldClosed(agent, nodo, open, turn, known); // it is on its way until the link is healed
            }
        });
    }

    /** Whether this call is one more than it can take. */
    private boolean overbooked() {
        double most = day.plan.padron().maxCallsPerSecond();
        if (most == 0) {
            return false;
        }
        room = Math.min(Math.max(1, most), room + most * (day.now() - roomAt) / 1e6);
        roomAt = day.now();
        if (room < 1) {
            day.record.listTurnedAway(day.now());
            return true;
        }
        room--;
        return false;
    }

    /** One connection of an agent. */
    private final class Asking extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int at;
        private final int agent;
        private ChannelHandlerContext ctx;
        /** The version that the watch has, or -1 while nothing is asked. */
        private long since = -1;

        private int call;

        Asking(int at, int agent) {
            this.at = at;
            this.agent = agent;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            open.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            open.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            int mine = ++call;
            day.record.listCall(day.now());
            if (overbooked()) {
                var response =
                        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
                ctx.writeAndFlush(response);
                return;
            }
            if (!uri.parameters().containsKey("since")) {
                since = Long.MAX_VALUE; // anything is news to it
                news();
                return;
            }
            since = Long.parseLong(uri.parameters().get("since").get(0));
            long wait = Long.parseLong(
                    uri.parameters().getOrDefault("timeout_ms", List.of("0")).get(0));
            ctx.channel()
                    .eventLoop()
                    .schedule(
                            () -> {
                                if (mine == call && since >= 0 && !silent) {
                                    answer(new Padron.Listing(padron.index(), false, List.of()));
                                }
                            },
                            wait,
                            TimeUnit.MILLISECONDS);
            news();
        }

        void news() {
            if (since < 0 || silent) {
                return;
            }
            if (since == Long.MAX_VALUE) {
                answer(padron.whole());
            } else if (since != padron.index()) {
                answer(padron.since(since));
            }
        }

        private void answer(Padron.Listing listing) {
            since = -1;
            told(agent, listing, () -> true);
            byte[] body = json(agent, listing).toString().getBytes(StandardCharsets.UTF_8);
            var response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            ctx.writeAndFlush(response);
        }
    }

    /** Names of the nodos listed, for tests. */
    List<String> listed() {
        List<String> names = new ArrayList<>();
        padron.whole().entries().forEach(each -> names.add(each.name()));
        return names;
    }
}
