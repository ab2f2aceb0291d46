package gatefront.agent;

import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.config.Config;
import gatefront.engine.Engine;
import gatefront.engine.Frontend;
import gatefront.engine.Upstream;
import gatefront.http.HttpFrontend;
import gatefront.http.HttpUpstream;
import gatefront.membership.Endpoint;
import gatefront.padron.Discovery;
import gatefront.policy.Balancer;
import gatefront.recovery.StallDetector;
import gatefront.status.MemoryWatch;
import gatefront.status.StatusEndpoint;
import gatefront.thrift.ThriftFrontend;
import gatefront.thrift.ThriftSettings;
import gatefront.thrift.ThriftUpstream;
import gatefront.transport.SocketTransport;
import gatefront.transport.Transport;
import gatefront.upgrade.ProcessHandover;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * One agent from its start to its end: puts the engine, its fronts, upstreams and sources together on one event loop,
 * whose thread owns the sockets, the timers and the module.
 */
public final class Agent {
    /** Descriptors kept back for the program's own files, discovery and the listener. */
    private static final int SOCKETS_RESERVED = 40;
    /** How long new connections come at the most after the end was asked for. */
    private static final long LINGER_MS = 500;
    /** By so much longer than the longest deadline an agent has until it is killed. */
    private static final long KILL_AFTER_MS = 700;
    /** So long before that the last answers are given, and so long before those connections begin to end. */
    private static final long LAST_MS = 200;

    private static final long CLOSING_MS = 300;
    /** However long the deadlines are, connections begin to end after this. */
    private static final long SERVE_ON_MOST_MS = 2_000;
    /** How long the first list is waited for before the known one has to do. */
    private static final long FIRST_LIST_MS = 1_000;

    /** The part of the heap that bodies of requests may take, and that answers in part may. */
    private static final int BODIES_PART = 6;
    /** Calls held at the most: several of a connection wait where a protocol lets them. */
    private static final int CALLS_A_CONNECTION = 8;

    private static final int CALLS_LEAST = 1_024;
    private static final long TREND_SECONDS = 1;
    /** How often it looks at the clock where nothing else happens, and how long it waits to hear after a standstill. */
    private static final long BEAT_MS = 100;

    private static final long HEAR_MICROS = 300_000;

    /** As it is now: a reload may change it. */
    private Config config;

    private final Transport transport;
    private final ResourceBudget budget;
    private final Map<ResourcePurpose, ResourceBudget.Cap> usual;
    /** Shows what is held; null where nobody asked for it. */
    private final StatusEndpoint status;

    private final EventLoop loop;
    private final Engine engine;
    private final HttpUpstream backends;
    private final Discovery discovery;
    /** Makes one list of several sources; null where the padrón is the only one. */
    private final MembershipSources sources;

    private final HttpFrontend clients;
    /** What operators do with it; null where they have no door. */
    private final OperatorControls operations;
    /** Writes what municipios use; null where nobody wants it. */
    private UsageRecorder keeper;
    /** What it knows over its death; null where nothing is kept. */
    private StateRecovery recovering;
    /** All of them, that over HTTP first. */
    private final List<Frontend> fronts = new ArrayList<>();

    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicBoolean stopping = new AtomicBoolean();
    private volatile Runnable whenEnded = () -> {};
    private volatile boolean failed;
    private boolean ending;
    /** Whether a list has come, or has been waited for long enough; and whether the path has been run. */
    private boolean listed;

    private boolean warm;
    /** Whether it has been ready, and looks out for standstills since. */
    private boolean wakes;
    /** Whether it listens for callers. */
    private boolean serves;

    private boolean binding;
    private int warmedBy;

    private Agent(
            Config config,
            Extensions extensions,
            Transport transport,
            ProcessHandover neighbour,
            Function<Engine, Balancer> module) {
        ThriftSettings thrift = extensions.thrift();
        this.config = config;
        this.transport = transport;
        loop = transport.loop();
        int each = (config.sockets() - SOCKETS_RESERVED) / (thrift == null ? 2 : 4);
        usual = caps(transport.memory(), each * (thrift == null ? 1 : 2));
        budget = new ResourceBudget(transport.memory(), usual);
        cap(extensions);
        status = extensions.memory() == null || extensions.memory().status() == null
                ? null
                : new StatusEndpoint(transport, extensions.memory().status(), budget);
        backends = new HttpUpstream(transport, config, each, budget);
        ThriftUpstream overThrift = thrift == null ? null : new ThriftUpstream(transport, config, thrift, each, budget);
        List<Upstream> upstreams = overThrift == null
                ? List.of(backends)
                : thrift.probes() ? List.of(overThrift, backends) : List.of(backends, overThrift);
        discovery = new Discovery(transport, config, new Discovery.Listener() {
            @Override
            public void listReceived(Balancer.ListKind kind, List<Endpoint> endpoints) {
                if (sources != null) {
                    sources.padron(kind, endpoints);
                } else {
                    listed = true;
                    servers(kind, endpoints);
                }
            }

            @Override
            public void requestFailed(String why) {
                say("discovery: " + why);
                if (config.settings().askDiscovery()) {
                    engine.updateServers(Balancer.ListKind.FAILED, List.of());
                }
            }
        });
        // After discovery: the module may ask for the list at once, on the loop, and would find none to ask.
        engine = new Engine(
                transport,
                config.settings(),
                config.seed(),
                upstreams,
                new Engine.Source() {
                    @Override
                    public void watch() {
                        if (asksPadron()) {
                            discovery.watch();
                        }
                    }

                    @Override
                    public void fetch() {
                        if (asksPadron()) {
                            discovery.fetchFullList();
                        }
                    }
                },
                budget,
                module);
        sources = extensions.registry() == null
                ? null
                : new MembershipSources(
                        transport,
                        config,
                        extensions.registry(),
                        budget.account(ResourcePurpose.REGISTRY),
                        engine,
                        this::servers,
                        () -> listed = true);
        clients = new HttpFrontend(transport, config, each, this::ready, budget, engine.listenerFor(backends));
        fronts.add(clients);
        if (thrift != null) {
            fronts.add(new ThriftFrontend(
                    transport, config, thrift, each, this::ready, budget, engine.listenerFor(overThrift)));
        }
        operations = config.management() == null ? null : operations(this, neighbour);
    }

    private static OperatorControls operations(Agent agent, ProcessHandover neighbour) {
        return new OperatorControls(
                agent.transport, agent.config.management(), neighbour, agent.engine, new OperatorControls.Host() {
                    @Override
                    public boolean ready() {
                        return agent.ready() && !agent.stopping.get();
                    }

                    @Override
                    public List<String> classes() {
                        return agent.config.classes();
                    }

                    @Override
                    public void alone() {
                        agent.takeOver();
                    }
                });
    }

    /** What each purpose may hold where nothing else is said; the connections' own limits hold them besides. */
    static Map<ResourcePurpose, ResourceBudget.Cap> caps(long memory, int connections) {
        Map<ResourcePurpose, ResourceBudget.Cap> caps = new EnumMap<>(ResourcePurpose.class);
        // None for callers' connections: a front's own limit leaves out those that end, and an account counts them.
        caps.put(ResourcePurpose.SERVER_CONNECTIONS, new ResourceBudget.Cap(connections, -1));
        caps.put(ResourcePurpose.REQUESTS, new ResourceBudget.Cap(-1, memory / BODIES_PART));
        caps.put(ResourcePurpose.SERVER_ANSWERS, new ResourceBudget.Cap(-1, memory / BODIES_PART));
        caps.put(
                ResourcePurpose.CALLS,
                new ResourceBudget.Cap(Math.max(CALLS_LEAST, CALLS_A_CONNECTION * connections), -1));
        return caps;
    }

    /** The caps of a file of our own over the usual ones; what the file does not name has the usual one again. */
    private void cap(Extensions extensions) {
        Map<ResourcePurpose, ResourceBudget.Cap> caps = new EnumMap<>(ResourcePurpose.class);
        for (ResourcePurpose each : ResourcePurpose.values()) {
            caps.put(each, usual.getOrDefault(each, new ResourceBudget.Cap(-1, -1)));
        }
        if (extensions.memory() != null) {
            caps.putAll(extensions.memory().caps());
        }
        budget.setCaps(caps);
    }

    /** What it holds, by purpose; to be asked on its loop. */
    public ResourceBudget budget() {
        return budget;
    }

    /**
     * Starts an agent; its doors are open when this returns.
     *
     * @param config its configuration file
     * @param extensions the file of our own beside it, or null
     * @param management where operators call, if the configuration does not say so; or null
     * @param shared the folder common to two processes of the agent, or null
     * @return the running agent
     * @throws IllegalArgumentException if a file is unusable; the message is one plain line
     * @throws IOException if an address cannot be listened on
     */
    public static Agent start(Path config, Path extensions, String management, Path shared) throws IOException {
        Config read = Config.read(config).managedAt(management);
        return serve(
                read,
                extensions == null ? Extensions.NONE : Extensions.read(extensions, read),
                shared,
                Engine::createDefaultBalancer);
    }

    static Agent start(Config config) throws IOException {
        return start(config, Engine::createDefaultBalancer);
    }

    /** With another module than the usual one. */
    static Agent start(Config config, Function<Engine, Balancer> module) throws IOException {
        return serve(config, Extensions.NONE, null, module);
    }

    /** With what an installation has besides. */
    static Agent start(Config config, Extensions extensions) throws IOException {
        return serve(config, extensions, null, Engine::createDefaultBalancer);
    }

    /** With a folder that it shares with other processes of the same agent. */
    static Agent start(Config config, Path shared) throws IOException {
        return serve(config, Extensions.NONE, shared, Engine::createDefaultBalancer);
    }

    private static Agent serve(Config config, Extensions extensions, Path shared, Function<Engine, Balancer> module)
            throws IOException {
        SocketTransport sockets = new SocketTransport(
                extensions.recovery() == null ? 0 : extensions.recovery().clockOff());
        ProcessHandover neighbour = shared == null || config.management() == null
                ? null
                : new ProcessHandover(
                        shared,
                        Long.toHexString(config.seed()) + "-" + Long.toHexString(sockets.wallMicros()),
                        sockets::log);
        Agent agent = new Agent(config, extensions, sockets, neighbour, module);
        if (extensions.ledger() != null) {
            try {
                agent.keeper = UsageRecorder.open(sockets, extensions.ledger(), () -> agent.config);
            } catch (IOException e) {
                throw agent.unable(e.getMessage());
            }
            agent.engine.setUsageMeter(agent.keeper.usage());
        }
        if (extensions.recovery() != null) {
            agent.recovering = StateRecovery.open(sockets, extensions.recovery(), config);
        }
        if (agent.operations != null
                && !agent.operations.listen().awaitUninterruptibly().isSuccess()) {
            throw agent.unable("cannot listen on " + config.management() + " for the operators");
        }
        agent.serves = !agent.follows();
        for (Frontend each : agent.serves ? agent.fronts : List.<Frontend>of()) {
            ChannelFuture bound = each.listen().awaitUninterruptibly();
            if (!bound.isSuccess()) {
                throw agent.unable("cannot listen on "
                        + (each == agent.clients
                                ? config.listen()
                                : extensions.thrift().listen()) + ": "
                        + bound.cause().getMessage());
            }
        }
        if (agent.status != null
                && !agent.status.listen().awaitUninterruptibly().isSuccess()) {
            throw agent.unable("cannot listen on " + extensions.memory().status() + " for the status page");
        }
        if (agent.status != null) {
            new MemoryWatch(sockets).start();
        }
        agent.loop.execute(agent::begin);
        return agent;
    }

    /** It cannot start: nothing of it is left, and another process is not to think that it is there. */
    private IOException unable(String why) {
        if (keeper != null) {
            keeper.abandon();
        }
        if (recovering != null) {
            recovering.abandon();
        }
        if (operations != null) {
            operations.close();
        }
        transport.close(() -> {});
        return new IOException(why);
    }

    /**
     * Starts an agent on a given loop and network and returns at once; called on that loop.
     *
     * @param config its configuration
     * @param extensions what it does besides
     * @param transport its loop, clock and network
     * @param module makes its decision module
     * @return the agent, about to listen
     */
    public static Agent start(
            Config config, Extensions extensions, Transport transport, Function<Engine, Balancer> module) {
        Agent agent = new Agent(config, extensions, transport, null, module);
        agent.serves = true;
        int[] waiting = {agent.fronts.size()};
        agent.fronts.forEach(each -> each.listen().addListener(done -> {
            if (done.isSuccess() && --waiting[0] == 0) {
                agent.begin();
            }
        }));
        return agent;
    }

    private void begin() {
        loop.scheduleWithFixedDelay(
                () -> budget.leakWarnings(engine.now()).forEach(this::say),
                TREND_SECONDS,
                TREND_SECONDS,
                TimeUnit.SECONDS);
        if (serves) {
            sayWhere();
        }
        if (recovering != null) {
            recovering.start();
        }
        if (operations != null) {
            operations.start(recovering);
        }
        if (keeper != null) {
            keeper.start();
        }
        // Guards against sending to what the list before had and this one has not: a new process is told from its first
        // moment, and the list it starts with may be old. Harm: with nobody to tell, calls wait for so long.
        long grace = Math.min(FIRST_LIST_MS, config.settings().obligations().drainGrace() / 1_000);
        engine.setStallDetector(StallDetector.forStartup(transport.nanos() / 1_000, grace * 1_000), grace, () -> {});
        Discovery.ServerListResponse known;
        try {
            known = Discovery.decode(recovering == null ? config.known() : recovering.known(config.known()), config);
        } catch (IllegalArgumentException e) {
            say("known list: " + e.getMessage());
            known = new Discovery.ServerListResponse(0, true, List.of());
        }
        if (sources == null) {
            servers(Balancer.ListKind.CACHED, known.endpoints());
        } else {
            sources.padron(Balancer.ListKind.CACHED, known.endpoints());
            sources.start();
        }
        if (!config.settings().askDiscovery() && asksPadron()) {
            discovery.watch();
        }
        loop.schedule(
                () -> {
                    listed = true;
                    takeOver();
                },
                FIRST_LIST_MS,
                TimeUnit.MILLISECONDS);
        Warmup.run(
                transport,
                config,
                backends,
                clients,
                serves ? address() : operations.address(),
                serves ? "/healthz" : "/healthcheck",
                answered -> {
                    warm = true;
                    warmedBy = answered;
                    takeOver();
                });
    }

    /** It may have become ready; what recovers is told once. */
    private void serves() {
        if (!ready() || wakes) {
            return;
        }
        wakes = true; // before that its loop is busy with its own start
        if (recovering != null) {
            recovering.serves();
        }
        if (recovering == null || recovering.guards(RecoverySettings.Guard.WAKING)) {
            wakes();
        }
    }

    /** Guards against sending to a server that drained while this process stood still and was told nothing. */
    private void wakes() {
        long grace = config.settings().obligations().drainGrace();
        StallDetector waking = new StallDetector(Math.max(BEAT_MS * 2_000, grace - BEAT_MS * 1_000), HEAR_MICROS);
        engine.setStallDetector(waking, HEAR_MICROS / 1000, () -> {
            say(String.format(
                    Locale.ROOT,
                    "recovery: it stood still for %.1f s; nothing is sent on before the list "
                            + "has been heard, for %d ms at the most",
                    waking.lastGapMicros() / 1e6,
                    HEAR_MICROS / 1000));
            if (asksPadron()) {
                discovery.fetchFullList();
            }
        });
        loop.scheduleWithFixedDelay(engine::checkForStall, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    private void sayWhere() {
        InetSocketAddress at = address();
        say("listening on " + at.getAddress().getHostAddress() + ":" + at.getPort());
    }

    private boolean follows() {
        return operations != null && operations.follows();
    }

    /** The one list, from whatever sources; what is out by hand is laid over it. */
    private void servers(Balancer.ListKind kind, List<Endpoint> endpoints) {
        if (recovering != null) {
            recovering.told(kind, endpoints);
        }
        engine.updateServers(kind, operations == null ? endpoints : operations.told(kind, endpoints));
        if (kind == Balancer.ListKind.FULL) {
            engine.fullListReceived();
            serves();
        }
    }

    /** Listens beside the process that serves, once this one can serve, or alone if that has ended. */
    private void takeOver() {
        serves();
        if (serves || binding || follows() && !(listed && warm)) {
            return;
        }
        binding = true;
        int[] waiting = {fronts.size()};
        fronts.forEach(each -> each.listen().addListener(done -> {
            if (!done.isSuccess()) {
                say("cannot listen beside the process that serves: "
                        + done.cause().getMessage());
                failed = true;
                stopping.set(true);
                close(); // that one serves on, as if this had never been
            } else if (--waiting[0] == 0) {
                serves = true;
                sayWhere();
            }
        }));
    }

    private boolean asksPadron() {
        return sources == null || sources.padron();
    }

    /** {@link #ready()} from any thread. */
    boolean isReady() {
        try {
            return loop.submit(() -> ready()).sync().getNow();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Where it listens for Thrift. */
    InetSocketAddress thriftAddress() {
        return (InetSocketAddress) fronts.get(1).channel().localAddress();
    }

    /** Where its status page is. */
    InetSocketAddress statusAddress() {
        return status.address();
    }

    /** Where operators call. */
    InetSocketAddress management() {
        return operations.address();
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) clients.channel().localAddress();
    }

    /**
     * Takes over from the files what may change under way: where discovery is, and the caps of what is held. The rest
     * needs a restart. Requests go on undisturbed, and a file that cannot be used changes nothing of either.
     *
     * @param file the configuration file
     * @param ofOurOwn the file of our own beside it, or null
     */
    public void reload(Path file, Path ofOurOwn) {
        reload(() -> Config.read(file), read -> ofOurOwn == null ? Extensions.NONE : Extensions.read(ofOurOwn, read));
    }

    /**
     * The same from elsewhere than files.
     *
     * @param from gets the configuration, on the loop; an IllegalArgumentException says why there is none
     */
    public void reload(Supplier<Config> from) {
        reload(from, read -> null);
    }

    private void reload(Supplier<Config> from, Function<Config, Extensions> besides) {
        try {
            loop.execute(() -> {
                boolean taken = false;
                try {
                    Config changed = config.changedBy(from.get());
                    Extensions extensions = besides.apply(changed);
                    // All is read and checked; from here on nothing fails.
                    if (extensions != null) {
                        cap(extensions);
                    }
                    if (!changed.source().equals(config.source())) {
                        engine.updateSettings(changed.settings());
                        clients.updateConfig(changed);
                    }
                    config = changed;
                    if (recovering != null) {
                        recovering.changed(changed);
                    }
                    if (asksPadron()) {
                        discovery.changeAddress(changed.discovery());
                    }
                    taken = true;
                } catch (IllegalArgumentException e) {
                    say("reload: the old settings stay: " + e.getMessage());
                }
                if (operations != null) {
                    operations.reloaded(taken);
                }
            });
        } catch (RejectedExecutionException e) {
            say("reload: not taken, the agent has ended"); // a signal may come at any time of the end
        }
    }

    /** Ends in order and returns when all is done; see {@link #leave()}. */
    public void stop() {
        leave();
        awaitEnd();
    }

    /**
     * Begins to end: serves on for as long as its time allows, then finishes what it holds. Guards against
     * nobody being there while agents are restarted in turn and one takes longer than
     * planned until it is ready: clients go on using the connections that they have. Harm: where the end is
     * forced sooner than the protocol has it, requests are open then; and a restart may take 2 s longer.
     */
    public void leave() {
        if (stopping.getAndSet(true)) {
            return;
        }
        long longest = config.settings().classes().stream()
                        .mapToLong(Balancer.RequestClass::giveUp)
                        .max()
                        .orElse(0)
                / 1000;
        long last = longest + KILL_AFTER_MS - LAST_MS;
        loop.execute(() -> {
            boolean handsOver = operations != null && serves && operations.followed();
            fronts.forEach(handsOver ? Frontend::handOver : Frontend::markNotReady);
            loop.schedule(this::endIfUnused, handsOver ? 0 : LINGER_MS, TimeUnit.MILLISECONDS);
            loop.schedule(this::end, Math.min(SERVE_ON_MOST_MS, last - CLOSING_MS), TimeUnit.MILLISECONDS);
            loop.schedule(engine::failAllPending, last, TimeUnit.MILLISECONDS);
        });
    }

    private void endIfUnused() {
        if (fronts.stream().allMatch(Frontend::isEmpty)) {
            end();
        } else {
            loop.schedule(this::endIfUnused, 10, TimeUnit.MILLISECONDS);
        }
    }

    private void end() {
        if (!ending) {
            ending = true;
            fronts.forEach(Frontend::drain);
            loop.schedule(() -> fronts.forEach(Frontend::stopListening), CLOSING_MS / 2, TimeUnit.MILLISECONDS);
            draining();
        }
    }

    private void draining() {
        // Answers still being written hold their connections open.
        if (fronts.stream().allMatch(Frontend::isEmpty)) {
            fronts.forEach(Frontend::stopListening);
            close();
        } else {
            loop.schedule(this::draining, 10, TimeUnit.MILLISECONDS);
        }
    }

    private void close() {
        discovery.close();
        if (sources != null) {
            sources.close();
        }
        if (status != null) {
            status.close();
        }
        if (operations != null) {
            operations.close();
        }
        Runnable closes = () -> transport.close(() -> {
            ended.countDown();
            whenEnded.run();
        });
        Runnable last = recovering == null ? closes : () -> recovering.close(() -> loop.execute(closes));
        if (keeper == null) {
            last.run();
        } else {
            keeper.close(() -> loop.execute(last));
        }
    }

    /** Whether it has ended since it could not take over from another process. */
    public boolean failed() {
        return failed;
    }

    /** Waits until the agent has ended. */
    public void awaitEnd() {
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Has something done when the agent has ended.
     *
     * @param then runs on any thread
     */
    public void whenEnded(Runnable then) {
        whenEnded = then;
    }

    /** Whether it says that it is ready; to be asked on its loop. */
    public boolean ready() {
        return listed && warm && serves;
    }

    /** What it holds now; to be asked on its loop. */
    public Engine.TrackedCounts held() {
        return engine.trackedCounts();
    }

    /** How many servers something is kept for: what leaves the list must leave nothing behind. */
    int kept() throws InterruptedException {
        return loop.submit(() -> engine.trackedServers()).sync().getNow();
    }

    /** How many requests of its own it has answered before it said that it was ready. */
    int warmedBy() throws InterruptedException {
        return loop.submit(() -> warmedBy).sync().getNow();
    }

    private void say(String line) {
        transport.log(line);
    }
}
