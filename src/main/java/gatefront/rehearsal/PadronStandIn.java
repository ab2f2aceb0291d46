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
 * The padrón over the platform's protocol: the complete list, and watches that wait for changes. Each agent has its
 * own address to call, which identifies the agent.
 */
final class PadronStandIn {
    private static final int FIRST_PORT = 8500;
    /**
     * Time after which a message from the padrón has reached an agent, in microseconds: more than the longest latency
     * between the two and much less than the time allowed for a drain.
     */
    private static final long DELIVERY_MICROS = 50_000;

    private static final int MEMBERS = 3;
    private static final int MEMBER_PORT = 2379;
    private static final String KEY_PREFIX = "oaxaca/";
    /**
     * Time after the registry's return within which agents must have caught up, in microseconds: the longest backoff,
     * a connect, and the read or the watch.
     */
    private static final long CATCH_UP_MICROS = 1_500_000;
    /** Time after which the old address closes its open connections, in microseconds. */
    private static final long OLD_ADDRESS_LINGER_MICROS = 1_500_000;

    private final RunContext context;
    private final List<Machine> machines = new ArrayList<>();
    private final RandomStream random;
    private final Padron padron = new Padron();
    /** Open connections; each is removed when it closes. */
    private final Set<AgentConnection> openConnections = new LinkedHashSet<>();
    /** By agent: the nodos announced to it that have not been removed since. */
    private final Map<Integer, Set<Integer>> announcedNodos = new HashMap<>();
    /** Number of announcements per pair of agent and nodo. */
    private final Map<Long, Integer> announcementCounts = new HashMap<>();

    private final List<Channel> serverChannels = new ArrayList<>();
    /** If a registry replaces the padrón: each agent's own members, and the store that they share. */
    private final List<List<RegistryStandIn>> registries = new ArrayList<>();

    private final KeyValueStore keyValueStore = new KeyValueStore(1);
    private final RegistrySettings.Kind registryKind;
    /** Whether the members are down, so that nothing can be announced; and how often that has changed. */
    private boolean registryDown;

    private int registryChanges;
    private int port = FIRST_PORT;
    private boolean silent;
    /** When the padrón last resumed answering, in microseconds. */
    private long respondingSince;
    /** When the registry last resumed prompt notifications, in microseconds. */
    private long promptSince;
    /** Token bucket for calls; holds at most one second's worth. */
    private double callTokens;

    /** When {@link #callTokens} was last refilled. */
    private long callTokensMicros;

    PadronStandIn(RunContext context) {
        this.context = context;
        this.random = context.random("padron");
        this.registryKind = switch (context.plan.padron().source()) {
            case "etcd" -> RegistrySettings.Kind.ETCD;
            case "consul" -> RegistrySettings.Kind.CONSUL;
            default -> null;
        };
        for (int i = 0; i < context.plan.agents().count(); i++) {
            machines.add(context.machines.create(
                    "padron-" + (i + 1), context.addresses.of(2, i), 0, 1 << 30, logLine -> {}));
        }
    }

    /** Returns the address that an agent calls now. */
    String address(int agent) {
        InetSocketAddress address =
                context.paths.padronAddress(agent, machines.get(agent).address(port));
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    void start() {
        int currentPort = port;
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
                                            new AgentConnection(currentPort, agent));
                        }
                    })
                    .bind(machine.address(currentPort));
            context.reportBindFailure(bound, machine.name());
            serverChannels.add(bound.channel());
        }
        if (registryKind != null && registries.isEmpty()) {
            for (int i = 0; i < machines.size(); i++) {
                registries.add(startMembers(i));
            }
        }
    }

    private List<RegistryStandIn> startMembers(int agent) {
        Machine machine = machines.get(agent);
        List<RegistryStandIn> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            RegistryStandIn member = registryKind == RegistrySettings.Kind.ETCD
                    ? new EtcdStandIn(machine.transport(), () -> keyValueStore)
                    : new ConsulStandIn(machine.transport(), () -> keyValueStore);
            member.writeListener((complete, values, stillOpen) -> {
                List<Padron.Entry> entries = new ArrayList<>();
                values.forEach((key, value) -> entries.add(parseEntry(key, value)));
                announce(agent, new Padron.Listing(keyValueStore.revision(), complete, entries), stillOpen);
            });
            context.reportBindFailure(member.listen(machine.address(MEMBER_PORT + i)), machine.name());
            members.add(member);
        }
        return members;
    }

    /** Returns how an agent follows the registry, or null if there is none. */
    RegistrySettings registrySettings(int agent) {
        if (registryKind == null) {
            return null;
        }
        List<InetSocketAddress> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            members.add(machines.get(agent).address(MEMBER_PORT + i));
        }
        boolean etcd = registryKind == RegistrySettings.Kind.ETCD;
        return RegistrySettings.of(
                registryKind,
                members,
                KEY_PREFIX,
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

    /**
     * Takes all members down or up again. After their return each running agent must know all changes within {@link
     * #CATCH_UP_MICROS}.
     */
    void setRegistryDown(boolean down) {
        registryDown = down;
        registryChanges++;
        for (int i = 0; i < registries.size(); i++) {
            for (int j = 0; j < MEMBERS; j++) {
                registries.get(i).get(j).setDown(down, machines.get(i).address(MEMBER_PORT + j));
            }
        }
        if (!down) {
            int change = registryChanges;
            long revision = keyValueStore.revision();
            long since = context.now();
            for (AgentStandIn agent : context.agents) {
                int processNumber = agent.processCount();
                context.schedule(context.now() + CATCH_UP_MICROS, () -> {
                    if (registryChanges == change
                            && !silent
                            && respondingSince <= since
                            && promptSince <= since
                            && agent.processCount() == processNumber
                            && agent.ready()
                            && sentRevision(agent.number) < revision) {
                        context.checker.reportLeftover(
                                context.now(),
                                agent.name() + " knows revision " + sentRevision(agent.number) + " of " + revision
                                        + " so long after the registry's return");
                    }
                });
            }
        }
    }

    private long sentRevision(int agent) {
        return registries.get(agent).stream()
                .mapToLong(RegistryStandIn::sentRevision)
                .max()
                .orElse(0);
    }

    /** Delays the registry's notifications of changes from now on. */
    void setRegistryDelay(double seconds) {
        promptSince = seconds > 0 ? Long.MAX_VALUE : context.now();
        registries.forEach(members -> members.forEach(member -> member.setNotifyDelay(Math.round(1_000 * seconds))));
    }

    /** Compacts the registry up to the current revision. */
    void compactRegistry() {
        keyValueStore.compact(keyValueStore.revision());
    }

    private void notifyWatchers() {
        List.copyOf(openConnections).forEach(AgentConnection::answerIfChanged);
        registries.forEach(members -> members.forEach(RegistryStandIn::storeChanged));
    }

    private void put(Padron.Entry entry) {
        padron.put(entry);
        keyValueStore.put(KEY_PREFIX + "nodos/" + entry.name(), json(entry).toString());
    }

    private Padron.Entry parseEntry(String key, String value) {
        String name = key.substring((KEY_PREFIX + "nodos/").length());
        if (value == null) {
            return new Padron.Entry(name, "", 0, "", 0, Padron.Status.GONE, 1, 0);
        }
        try {
            JsonNode json = Config.parseJson(new ByteArrayInputStream(value.getBytes(StandardCharsets.UTF_8)));
            return new Padron.Entry(
                    name,
                    "",
                    0,
                    "",
                    0,
                    json.path("status").asText().equals("Ready") ? Padron.Status.READY : Padron.Status.TERMINATING,
                    1,
                    json.path("since_ms").asLong());
        } catch (IOException e) {
            throw new IllegalStateException(e); // the value was written by this class
        }
    }

    /** Listens at a new address; the old one accepts nothing new and soon closes its connections. */
    void moveAddress() {
        serverChannels.forEach(Channel::close);
        serverChannels.clear();
        int oldPort = port;
        port++;
        start();
        context.schedule(context.now() + OLD_ADDRESS_LINGER_MICROS, () -> List.copyOf(openConnections)
                .forEach(connection -> {
                    if (connection.port == oldPort) {
                        connection.ctx.close();
                    }
                }));
    }

    /** Stops answering, or resumes. */
    void setSilent(boolean nowSilent) {
        silent = nowSilent;
        respondingSince = context.now();
        registries.forEach(members -> members.forEach(member -> member.setSilent(nowSilent)));
        if (!silent) {
            List.copyOf(openConnections).forEach(AgentConnection::answerIfChanged);
        }
    }

    /** Lists a nodo at once, as before the traffic opens. */
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

    /** Applies a change after the time that the padrón takes to notice it, and notifies watchers. */
    void applyAfterNotice(Runnable change) {
        context.schedule(
                context.now()
                        + (long) (1e6
                                * context.plan.padron().noticeDelaySeconds().sample(random::uniform)),
                () -> {
                    change.run();
                    notifyWatchers();
                });
    }

    void changeStatus(NodoStandIn nodo, Padron.Status status) {
        applyAfterNotice(() -> {
            padron.put(nodo.name(), status);
            if (status == Padron.Status.GONE) {
                keyValueStore.delete(KEY_PREFIX + "nodos/" + nodo.name());
            } else {
                padron.snapshot().entries().stream()
                        .filter(entry -> entry.name().equals(nodo.name()))
                        .forEach(entry -> keyValueStore.put(
                                KEY_PREFIX + "nodos/" + nodo.name(), json(entry).toString()));
            }
        });
    }

    void listStarted(NodoStandIn nodo) {
        long since = context.wallMillis();
        applyAfterNotice(() -> list(nodo, since));
    }

    /** Returns the list as an agent receives it by the protocol. */
    ObjectNode snapshot(int agent) {
        return json(agent, padron.snapshot());
    }

    private ObjectNode json(int agent, Padron.Listing listing) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("index", listing.index()).put("snapshot", listing.complete());
        ArrayNode entries = root.putArray("endpoints");
        for (Padron.Entry entry : listing.entries()) {
            ObjectNode node = json(entry);
            int colon = entry.address().lastIndexOf(':');
            if (colon > 0) {
                InetSocketAddress at = context.paths.nodoAddress(
                        agent,
                        new InetSocketAddress(
                                entry.address().substring(0, colon),
                                Integer.parseInt(entry.address().substring(colon + 1))));
                node.put("address", at.getAddress().getHostAddress() + ":" + at.getPort());
            }
            entries.add(node);
        }
        return root;
    }

    private ObjectNode json(Padron.Entry entry) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("name", entry.name())
                .put("address", entry.address())
                .put("zone", context.plan.zones().get(entry.zone()))
                .put("type", entry.kind())
                .put("group", entry.cell())
                .put("status", entry.status().wireName())
                .put("weight", entry.weight())
                .put("since_ms", entry.sinceMillis());
    }

    /** Records that an agent's process has ended. A new process starts with the current list. */
    void agentReset(int agent) {
        context.checker.agentReset(agent);
        announcedNodos.remove(agent);
    }

    private void announce(int agent, Padron.Listing listing, BooleanSupplier stillOpen) {
        Set<Integer> announced = announcedNodos.computeIfAbsent(agent, entry -> new TreeSet<>());
        Set<Integer> missing = new TreeSet<>(listing.complete() ? announced : Set.of());
        for (Padron.Entry entry : listing.entries()) {
            int nodo = Integer.parseInt(entry.name().substring("nodo-".length())) - 1;
            missing.remove(nodo);
            if (!listing.complete() || entry.sinceMillis() > 0) {
                context.recorder.statusSent(context.now(), nodo, entry.status().wireName());
            }
            announcementCounts.merge(pairKey(agent, nodo), 1, Integer::sum);
            if (entry.status() == Padron.Status.READY) {
                announced.add(nodo);
                long startedAt = entry.sinceMillis() == 0
                        ? 0
                        : context.now() - 1000 * (context.wallMillis() - entry.sinceMillis());
                context.checker.readyAnnounced(context.now(), agent, nodo, Math.max(0, startedAt));
            } else {
                announceClosed(agent, nodo, stillOpen);
                if (entry.status() == Padron.Status.GONE) {
                    announced.remove(nodo);
                }
            }
        }
        for (int removed : missing) {
            announcementCounts.merge(pairKey(agent, removed), 1, Integer::sum);
            announceClosed(agent, removed, stillOpen);
            announced.remove(removed);
        }
    }

    private static long pairKey(int agent, int nodo) {
        return (long) agent << 32 | nodo;
    }

    /**
     * Records the announcement as of now, unless the connection turns out to have been closed when it was written:
     * what is written to a connection that the agent has just given up does not reach the agent.
     */
    private void announceClosed(int agent, int nodo, BooleanSupplier stillOpen) {
        announceClosed(agent, nodo, stillOpen, announcementCounts.get(pairKey(agent, nodo)), announcedNodos.get(agent));
    }

    private void announceClosed(
            int agent, int nodo, BooleanSupplier stillOpen, int announcement, Set<Integer> announced) {
        long announcedMicros = context.now();
        boolean reachable = context.paths.padronReaches(agent);
        context.schedule(announcedMicros + DELIVERY_MICROS, () -> {
            if (!stillOpen.getAsBoolean()
                    || announcedNodos.get(agent) != announced
                    || announcementCounts.get(pairKey(agent, nodo)) != announcement) {
                return;
            }
            if (reachable && context.paths.padronReaches(agent)) {
                context.checker.closedAnnounced(announcedMicros, agent, nodo);
            } else {
                announceClosed(agent, nodo, stillOpen, announcement, announced); // in transit until the link is healed
            }
        });
    }

    /** Whether this call exceeds the rate that the padrón can handle. */
    private boolean exceedsCallRate() {
        double callsPerSecond = context.plan.padron().maxCallsPerSecond();
        if (callsPerSecond == 0) {
            return false;
        }
        callTokens = Math.min(
                Math.max(1, callsPerSecond), callTokens + callsPerSecond * (context.now() - callTokensMicros) / 1e6);
        callTokensMicros = context.now();
        if (callTokens < 1) {
            context.recorder.listCallRefused(context.now());
            return true;
        }
        callTokens--;
        return false;
    }

    /** A connection from an agent. */
    private final class AgentConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int port;
        private final int agent;
        private ChannelHandlerContext ctx;
        /** The version that the watch has, or -1 while no call is pending. */
        private long watchedIndex = -1;

        private int callCount;

        AgentConnection(int port, int agent) {
            this.port = port;
            this.agent = agent;
        }

        @Override
        public void channelActive(ChannelHandlerContext handlerContext) {
            ctx = handlerContext;
            openConnections.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext handlerContext) {
            openConnections.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
            handlerContext.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext handlerContext, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            int callNumber = ++callCount;
            context.recorder.listCall(context.now());
            if (exceedsCallRate()) {
                var response =
                        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
                ctx.writeAndFlush(response);
                return;
            }
            if (!uri.parameters().containsKey("since")) {
                watchedIndex = Long.MAX_VALUE; // any version is new to it
                answerIfChanged();
                return;
            }
            watchedIndex = Long.parseLong(uri.parameters().get("since").get(0));
            long waitMillis = Long.parseLong(
                    uri.parameters().getOrDefault("timeout_ms", List.of("0")).get(0));
            ctx.channel()
                    .eventLoop()
                    .schedule(
                            () -> {
                                if (callNumber == callCount && watchedIndex >= 0 && !silent) {
                                    answer(new Padron.Listing(padron.index(), false, List.of()));
                                }
                            },
                            waitMillis,
                            TimeUnit.MILLISECONDS);
            answerIfChanged();
        }

        void answerIfChanged() {
            if (watchedIndex < 0 || silent) {
                return;
            }
            if (watchedIndex == Long.MAX_VALUE) {
                answer(padron.snapshot());
            } else if (watchedIndex != padron.index()) {
                answer(padron.changesSince(watchedIndex));
            }
        }

        private void answer(Padron.Listing listing) {
            watchedIndex = -1;
            announce(agent, listing, () -> true);
            byte[] body = json(agent, listing).toString().getBytes(StandardCharsets.UTF_8);
            var response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            ctx.writeAndFlush(response);
        }
    }

    /** Returns the names of the listed nodos. */
    List<String> listedNames() {
        List<String> names = new ArrayList<>();
        padron.snapshot().entries().forEach(entry -> names.add(entry.name()));
        return names;
    }
}
