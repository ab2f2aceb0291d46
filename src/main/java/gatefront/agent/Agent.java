package gatefront.agent;

import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.config.Config;
import gatefront.engine.Engine;
import gatefront.engine.Frontend;
import gatefront.engine.SentRequestIds;
import gatefront.engine.Upstream;
import gatefront.http.HttpFrontend;
import gatefront.http.HttpUpstream;
import gatefront.membership.AddressSuccession;
import gatefront.membership.Endpoint;
import gatefront.membership.OwnAddressFilter;
import gatefront.padron.Discovery;
import gatefront.policy.Balancer;
import gatefront.recovery.StallDetector;
import gatefront.shutdown.ShutdownSchedule;
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
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * An agent process. Wires the engine, the frontends, the upstreams and the sources of the server list together on one
 * event loop, whose thread owns the sockets, the timers and the decision module.
 */
public final class Agent {
    /** File descriptors reserved for the program's own files, discovery and the listeners. */
    private static final int RESERVED_SOCKETS = 40;
    /**
     * Delay after a stop was requested before an idle agent drains, in milliseconds; new connections may arrive for at
     * most that long.
     */
    private static final long IDLE_STOP_DELAY_MS = 500;
    /** Time between the start of closing connections and the closing of the listeners, in milliseconds. */
    private static final long STOP_LISTENING_DELAY_MS = 150;
    /** The file in which two processes of one agent share the ids of requests. */
    private static final String SENT_REQUEST_IDS_FILE = "gatefront-request-ids";
    /** Maximum wait for the first server list before the known one is used, in milliseconds. */
    private static final long FIRST_LIST_TIMEOUT_MS = 1_000;

    /** Interval between two samples of the memory trend, in seconds. */
    private static final long TREND_INTERVAL_SECONDS = 1;
    /** Interval of the check for a stalled process, in milliseconds. */
    private static final long STALL_CHECK_MS = 100;

    /** Maximum wait for a fresh server list after a stall, in microseconds. */
    private static final long LIST_REFRESH_TIMEOUT_MICROS = 300_000;

    /** The current configuration; a reload replaces it. */
    private Config config;

    private final Transport transport;
    private final ResourceBudget budget;
    private final Map<ResourcePurpose, ResourceBudget.Cap> defaultCaps;
    /** The status page; null if it is not configured. */
    private final StatusEndpoint status;

    private final EventLoop loop;
    private final Engine engine;
    private final HttpUpstream httpUpstream;
    private final Discovery discovery;
    /** Merges the sources of the server list; null if the padrón is the only one. */
    private final MembershipSources membershipSources;

    private final HttpFrontend httpFrontend;
    /** Take the settings of a reload. */
    private final List<Consumer<Config>> configListeners = new ArrayList<>();
    /** Serves the management endpoint; null if it is not configured. */
    private final OperatorControls operatorControls;
    /** Writes the usage of each municipio to the ledger; null if there is no ledger. */
    private UsageRecorder usageRecorder;
    /** State that survives a restart of the process; null if none is stored. */
    private StateRecovery stateRecovery;

    private final AddressSuccession addressSuccession = new AddressSuccession(this::log);
    private final OwnAddressFilter ownAddressFilter = new OwnAddressFilter(this::isOwnAddress, this::log);
    /** All frontends, HTTP first. */
    private final List<Frontend> frontends = new ArrayList<>();

    private final CountDownLatch terminated = new CountDownLatch(1);
    private final AtomicBoolean stopping = new AtomicBoolean();
    private volatile Runnable terminationCallback = () -> {};
    private volatile boolean failed;
    private boolean drainStarted;
    /** Whether a server list has arrived, or the wait for it is over. */
    private boolean serverListReady;

    /** Whether the warm-up is complete. */
    private boolean warmedUp;
    /** Whether the agent has become ready at least once. */
    private boolean becameReady;
    /** Whether the agent listens for clients. */
    private boolean listening;

    /** Whether the frontends are being bound beside the process that serves. */
    private boolean binding;

    private int warmupResponses;

    private Agent(
            Config config,
            Extensions extensions,
            Transport transport,
            ProcessHandover handover,
            Function<Engine, Balancer> module) {
        ThriftSettings thrift = extensions.thrift();
        this.config = config;
        this.transport = transport;
        loop = transport.loop();
        int connectionLimit = (config.sockets() - RESERVED_SOCKETS) / (thrift == null ? 2 : 4);
        defaultCaps = DefaultCaps.of(transport.maxMemoryBytes(), connectionLimit * (thrift == null ? 1 : 2));
        budget = new ResourceBudget(transport.maxMemoryBytes(), defaultCaps);
        applyCaps(extensions);
        status = extensions.memory() == null || extensions.memory().status() == null
                ? null
                : new StatusEndpoint(transport, extensions.memory().status(), budget);
        httpUpstream = new HttpUpstream(transport, config, connectionLimit, budget);
        ThriftUpstream thriftUpstream =
                thrift == null ? null : new ThriftUpstream(transport, config, thrift, connectionLimit, budget);
        List<Upstream> upstreams = thriftUpstream == null
                ? List.of(httpUpstream)
                : thrift.probesOverThrift()
                        ? List.of(thriftUpstream, httpUpstream)
                        : List.of(httpUpstream, thriftUpstream);
        discovery = new Discovery(transport, config, new Discovery.Listener() {
            @Override
            public void listReceived(Balancer.ListKind kind, List<Endpoint> endpoints) {
                if (membershipSources != null) {
                    membershipSources.onPadronList(kind, endpoints);
                } else {
                    serverListReady = true;
                    onServerList(kind, endpoints);
                }
            }

            @Override
            public void requestFailed(String reason) {
                log("discovery: " + reason);
                if (config.settings().askDiscovery()) {
                    engine.updateServers(Balancer.ListKind.FAILED, List.of());
                }
            }
        });
        // Must follow the creation of discovery: the module may request the list at once, on the loop.
        engine = new Engine(
                transport,
                config.settings(),
                config.seed(),
                upstreams,
                new Engine.Source() {
                    @Override
                    public void watch() {
                        if (usesPadron()) {
                            discovery.watch();
                        }
                    }

                    @Override
                    public void fetch() {
                        if (usesPadron()) {
                            discovery.fetchFullList();
                        }
                    }
                },
                budget,
                sentRequestIds(handover),
                module);
        membershipSources = extensions.registry() == null
                ? null
                : new MembershipSources(
                        transport,
                        config,
                        extensions.registry(),
                        budget.account(ResourcePurpose.REGISTRY),
                        engine,
                        this::onServerList,
                        () -> serverListReady = true);
        httpFrontend = new HttpFrontend(
                transport, config, connectionLimit, this::ready, budget, engine.listenerFor(httpUpstream));
        frontends.add(httpFrontend);
        configListeners.add(httpFrontend::updateConfig);
        if (thrift != null) {
            ThriftFrontend thriftFrontend = new ThriftFrontend(
                    transport,
                    config,
                    thrift,
                    connectionLimit,
                    this::ready,
                    budget,
                    engine.listenerFor(thriftUpstream));
            frontends.add(thriftFrontend);
            configListeners.add(thriftFrontend::updateConfig);
        }
        operatorControls = config.management() == null ? null : createOperatorControls(this, handover);
    }

    /** Returns the ids that this agent has sent, also by the process that it takes over from. */
    private SentRequestIds sentRequestIds(ProcessHandover handover) {
        if (handover != null) {
            try {
                return new SentRequestIds(handover.map(SENT_REQUEST_IDS_FILE, SentRequestIds.BYTES));
            } catch (IOException e) {
                log("upgrade: ids of requests are not shared, " + e);
            }
        }
        return SentRequestIds.empty();
    }

    private static OperatorControls createOperatorControls(Agent agent, ProcessHandover handover) {
        return new OperatorControls(
                agent.transport,
                agent.config.management(),
                handover,
                agent.engine,
                new OperatorControls.AgentControl() {
                    @Override
                    public boolean ready() {
                        return agent.ready() && !agent.stopping.get();
                    }

                    @Override
                    public List<String> classes() {
                        return agent.config.classes();
                    }

                    @Override
                    public void onPredecessorEnded() {
                        agent.takeOver();
                    }
                });
    }

    /** Applies the caps of the extensions file; purposes that it does not name return to the default. */
    private void applyCaps(Extensions extensions) {
        Map<ResourcePurpose, ResourceBudget.Cap> caps = new EnumMap<>(ResourcePurpose.class);
        for (ResourcePurpose purpose : ResourcePurpose.values()) {
            caps.put(purpose, defaultCaps.getOrDefault(purpose, new ResourceBudget.Cap(-1, -1)));
        }
        if (extensions.memory() != null) {
            caps.putAll(extensions.memory().caps());
        }
        budget.setCaps(caps);
    }

    /** Returns the event loop that runs the agent. */
    EventLoop loop() {
        return loop;
    }

    /** Returns the accounts of held resources by purpose; to be called on the event loop. */
    public ResourceBudget budget() {
        return budget;
    }

    /**
     * Starts an agent. Its listeners are open when this returns.
     *
     * @param config the configuration file
     * @param extensions the extensions file, or null
     * @param management the address of the management endpoint if the configuration has none, or null
     * @param shared the directory shared by the processes of one agent during a handover, or null
     * @return the running agent
     * @throws IllegalArgumentException if a file cannot be used; the message is a single line
     * @throws IOException if an address cannot be listened on
     */
    public static Agent start(Path config, Path extensions, String management, Path shared) throws IOException {
        Config parsed = Config.read(config).withManagementAddress(management);
        return serve(
                parsed,
                extensions == null ? Extensions.NONE : Extensions.read(extensions, parsed),
                shared,
                Engine::createDefaultBalancer);
    }

    static Agent start(Config config) throws IOException {
        return start(config, Engine::createDefaultBalancer);
    }

    /** Starts an agent with the given decision module. */
    static Agent start(Config config, Function<Engine, Balancer> module) throws IOException {
        return serve(config, Extensions.NONE, null, module);
    }

    /** Starts an agent with extensions. */
    static Agent start(Config config, Extensions extensions) throws IOException {
        return serve(config, extensions, null, Engine::createDefaultBalancer);
    }

    /** Starts an agent with a directory shared with other processes of the same agent. */
    static Agent start(Config config, Path shared) throws IOException {
        return serve(config, Extensions.NONE, shared, Engine::createDefaultBalancer);
    }

    private static Agent serve(Config config, Extensions extensions, Path shared, Function<Engine, Balancer> module)
            throws IOException {
        SocketTransport transport = extensions.recovery() == null
                ? new SocketTransport()
                : new SocketTransport(
                        extensions.recovery().clockOffsetMicros(),
                        extensions.recovery().isEnabled(RecoverySettings.Guard.ARRIVED_INPUT));
        ProcessHandover handover = shared == null || config.management() == null
                ? null
                : new ProcessHandover(
                        shared,
                        Long.toHexString(config.seed()) + "-" + Long.toHexString(transport.wallMicros()),
                        transport::log);
        Agent agent = new Agent(config, extensions, transport, handover, module);
        if (extensions.ledger() != null) {
            try {
                agent.usageRecorder = UsageRecorder.open(transport, extensions.ledger());
            } catch (IOException e) {
                throw agent.abortStart(e.getMessage());
            }
            agent.engine.setUsageMeter(agent.usageRecorder.meter());
        }
        if (extensions.recovery() != null) {
            agent.stateRecovery = StateRecovery.open(transport, extensions.recovery(), config);
        }
        if (agent.operatorControls != null
                && !agent.operatorControls.listen().awaitUninterruptibly().isSuccess()) {
            throw agent.abortStart("cannot listen on " + config.management() + " for the management endpoint");
        }
        agent.listening = !agent.isSuccessor();
        for (Frontend frontend : agent.listening ? agent.frontends : List.<Frontend>of()) {
            ChannelFuture bound = frontend.listen().awaitUninterruptibly();
            if (!bound.isSuccess()) {
                throw agent.abortStart("cannot listen on "
                        + (frontend == agent.httpFrontend
                                ? config.listen()
                                : extensions.thrift().listen()) + ": "
                        + bound.cause().getMessage());
            }
        }
        if (agent.status != null
                && !agent.status.listen().awaitUninterruptibly().isSuccess()) {
            throw agent.abortStart("cannot listen on " + extensions.memory().status() + " for the status page");
        }
        if (agent.status != null) {
            new MemoryWatch(transport).start();
        }
        agent.loop.execute(agent::begin);
        return agent;
    }

    /** Releases everything after a failed start, so that no other process takes this one for running. */
    private IOException abortStart(String reason) {
        if (usageRecorder != null) {
            usageRecorder.abandon();
        }
        if (stateRecovery != null) {
            stateRecovery.abandon();
        }
        if (operatorControls != null) {
            operatorControls.close();
        }
        transport.close(() -> {});
        return new IOException(reason);
    }

    /**
     * Starts an agent on the given loop and network and returns at once; must be called on that loop.
     *
     * @param config the configuration
     * @param extensions the optional features
     * @param transport the event loop, clock and network
     * @param module creates the decision module
     * @return the agent, whose listeners are about to open
     */
    public static Agent start(
            Config config, Extensions extensions, Transport transport, Function<Engine, Balancer> module) {
        Agent agent = new Agent(config, extensions, transport, null, module);
        agent.listening = true;
        int[] unbound = {agent.frontends.size()};
        agent.frontends.forEach(frontend -> frontend.listen().addListener(done -> {
            if (done.isSuccess() && --unbound[0] == 0) {
                agent.begin();
            }
        }));
        return agent;
    }

    private void begin() {
        loop.scheduleWithFixedDelay(
                () -> budget.leakWarnings(engine.now()).forEach(this::log),
                TREND_INTERVAL_SECONDS,
                TREND_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
        if (listening) {
            logListenAddress();
        }
        if (stateRecovery != null) {
            stateRecovery.start();
        }
        if (operatorControls != null) {
            operatorControls.start(stateRecovery);
        }
        if (usageRecorder != null) {
            usageRecorder.start();
        }
        // Guards against sending to servers that are in the known list but no longer in the current one: the known
        // list may be old, while drains count as announced to this process from its first moment. Drawback: if
        // discovery does not respond, requests wait for the whole grace.
        long grace =
                Math.min(FIRST_LIST_TIMEOUT_MS, config.settings().obligations().drainGrace() / 1_000);
        engine.setStallDetector(StallDetector.forStartup(transport.nanos() / 1_000, grace * 1_000), grace, () -> {});
        Discovery.ServerListResponse knownList;
        try {
            knownList = Discovery.decode(
                    stateRecovery == null
                            ? config.cachedServerList()
                            : stateRecovery.initialList(config.cachedServerList()),
                    config);
        } catch (IllegalArgumentException e) {
            log("known list: " + e.getMessage());
            knownList = new Discovery.ServerListResponse(0, true, List.of());
        }
        if (membershipSources == null) {
            onServerList(Balancer.ListKind.CACHED, knownList.endpoints());
        } else {
            membershipSources.onPadronList(Balancer.ListKind.CACHED, knownList.endpoints());
            membershipSources.start();
        }
        if (!config.settings().askDiscovery() && usesPadron()) {
            discovery.watch();
        }
        loop.schedule(
                () -> {
                    serverListReady = true;
                    takeOver();
                },
                FIRST_LIST_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
        Warmup.run(
                transport,
                config,
                httpUpstream,
                httpFrontend,
                listening ? address() : operatorControls.address(),
                listening ? "/healthz" : "/healthcheck",
                responses -> {
                    warmedUp = true;
                    warmupResponses = responses;
                    takeOver();
                });
    }

    /** Notifies the state recovery and starts stall detection the first time that the agent is ready. */
    private void checkBecameReady() {
        if (!ready() || becameReady) {
            return;
        }
        // Not earlier: during start-up the loop is busy, which would look like a stall.
        becameReady = true;
        if (stateRecovery != null) {
            stateRecovery.onReady();
        }
        if (stateRecovery == null || stateRecovery.isEnabled(RecoverySettings.Guard.WAKING)) {
            startStallDetection();
        }
    }

    /**
     * Holds back requests after a stall until the server list is refreshed. Guards against sending to a server that
     * began to drain while this process was stalled and received no updates.
     */
    private void startStallDetection() {
        long grace = config.settings().obligations().drainGrace();
        StallDetector detector = new StallDetector(
                Math.max(STALL_CHECK_MS * 2_000, grace - STALL_CHECK_MS * 1_000), LIST_REFRESH_TIMEOUT_MICROS);
        engine.setStallDetector(detector, LIST_REFRESH_TIMEOUT_MICROS / 1000, () -> {
            log(String.format(
                    Locale.ROOT,
                    "recovery: process was stalled for %.1f s; requests are held until the server list "
                            + "is refreshed, for at most %d ms",
                    detector.lastGapMicros() / 1e6,
                    LIST_REFRESH_TIMEOUT_MICROS / 1000));
            if (usesPadron()) {
                discovery.fetchFullList();
            }
        });
        loop.scheduleWithFixedDelay(engine::checkForStall, STALL_CHECK_MS, STALL_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    private void logListenAddress() {
        InetSocketAddress address = address();
        log("listening on " + address.getAddress().getHostAddress() + ":" + address.getPort());
    }

    private boolean isSuccessor() {
        return operatorControls != null && operatorControls.isSuccessor();
    }

    /** Receives the merged server list and applies the manual drains to it. */
    private void onServerList(Balancer.ListKind kind, List<Endpoint> listed) {
        List<Endpoint> endpoints = ownAddressFilter.apply(addressSuccession.apply(kind, listed));
        if (stateRecovery != null) {
            stateRecovery.onServerList(kind, endpoints);
        }
        engine.updateServers(
                kind, operatorControls == null ? endpoints : operatorControls.applyOverrides(kind, endpoints));
        if (kind == Balancer.ListKind.FULL) {
            engine.fullListReceived();
            checkBecameReady();
        }
    }

    /**
     * Opens the listeners of a process that follows another one: as soon as it can serve, or when the other has
     * ended.
     */
    private void takeOver() {
        checkBecameReady();
        if (listening || binding || isSuccessor() && !(serverListReady && warmedUp)) {
            return;
        }
        binding = true;
        int[] unbound = {frontends.size()};
        frontends.forEach(frontend -> frontend.listen().addListener(done -> {
            if (!done.isSuccess()) {
                log("takeover failed, cannot listen beside the serving process: "
                        + done.cause().getMessage());
                failed = true;
                stopping.set(true);
                close(); // the other process continues to serve
            } else if (--unbound[0] == 0) {
                listening = true;
                logListenAddress();
            }
        }));
    }

    private boolean isOwnAddress(InetSocketAddress address) {
        return address.equals(listening ? address() : config.listen());
    }

    private boolean usesPadron() {
        return membershipSources == null || membershipSources.usesPadron();
    }

    /** Returns {@link #ready()}; may be called from any thread. */
    boolean isReady() {
        try {
            return loop.submit(() -> ready()).sync().getNow();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the address of the Thrift listener. */
    InetSocketAddress thriftAddress() {
        return (InetSocketAddress) frontends.get(1).channel().localAddress();
    }

    /** Returns the address of the status page. */
    InetSocketAddress statusAddress() {
        return status.address();
    }

    /** Returns the address of the management endpoint. */
    InetSocketAddress managementAddress() {
        return operatorControls.address();
    }

    /** Returns the address of the HTTP listener. */
    InetSocketAddress address() {
        return (InetSocketAddress) httpFrontend.channel().localAddress();
    }

    /**
     * Reloads the files and applies what may change at run time: the address of discovery, the settings and the
     * resource caps. Everything else needs a restart. Requests are not disturbed. If either file cannot be used,
     * neither is applied.
     *
     * @param file the configuration file
     * @param extensionsFile the extensions file, or null
     */
    public void reload(Path file, Path extensionsFile) {
        reload(
                () -> Config.read(file),
                parsed -> extensionsFile == null ? Extensions.NONE : Extensions.read(extensionsFile, parsed));
    }

    /**
     * Reloads a configuration that does not come from a file.
     *
     * @param source supplies the configuration, on the loop; throws IllegalArgumentException if there is none
     */
    public void reload(Supplier<Config> source) {
        reload(source, parsed -> null);
    }

    private void reload(Supplier<Config> source, Function<Config, Extensions> extensionsReader) {
        try {
            loop.execute(() -> {
                boolean applied = false;
                try {
                    Config changed = config.reloadedWith(source.get());
                    Extensions extensions = extensionsReader.apply(changed);
                    // Both files are read and validated; nothing fails from here on.
                    if (extensions != null) {
                        applyCaps(extensions);
                    }
                    if (!changed.settingsJson().equals(config.settingsJson())) {
                        engine.updateSettings(changed.settings());
                        configListeners.forEach(listener -> listener.accept(changed));
                    }
                    config = changed;
                    if (stateRecovery != null) {
                        stateRecovery.configChanged(changed);
                    }
                    if (usesPadron()) {
                        discovery.changeAddress(changed.discovery());
                    }
                    applied = true;
                } catch (IllegalArgumentException e) {
                    log("reload: the old settings stay: " + e.getMessage());
                }
                if (operatorControls != null) {
                    operatorControls.recordReload(applied);
                }
            });
        } catch (RejectedExecutionException e) {
            // A signal may arrive at any time during shutdown.
            log("reload: not taken, the agent has ended");
        }
    }

    /** Shuts down gracefully and returns when the agent has terminated; see {@link #startShutdown()}. */
    public void stop() {
        startShutdown();
        awaitTermination();
    }

    /**
     * Begins a graceful shutdown: continues to serve for as long as the time until the kill allows, then completes the
     * open requests. Guards against an outage when agents are restarted in turn and one takes longer than planned to
     * become ready: clients keep using their existing connections. Drawbacks: if the process is killed sooner than the
     * protocol promises, requests are still open; a restart may take 2 s longer; and a request that arrives late and
     * whose response would not be complete before the kill is refused, also if the kill comes later than that.
     */
    public void startShutdown() {
        if (stopping.getAndSet(true)) {
            return;
        }
        long longestDeadlineMs = config.settings().classes().stream()
                        .mapToLong(Balancer.RequestClass::giveUp)
                        .max()
                        .orElse(0)
                / 1000;
        ShutdownSchedule schedule = ShutdownSchedule.of(longestDeadlineMs);
        long stopNanos = transport.nanos();
        loop.execute(() -> {
            boolean hasSuccessor = operatorControls != null && listening && operatorControls.hasSuccessor();
            frontends.forEach(hasSuccessor ? Frontend::handOver : Frontend::markNotReady);
            engine.beginShutdown(
                    stopNanos + TimeUnit.MILLISECONDS.toNanos(schedule.lateRequestsMs()),
                    stopNanos + TimeUnit.MILLISECONDS.toNanos(schedule.lastBodyMs()));
            loop.schedule(this::drainIfIdle, hasSuccessor ? 0 : IDLE_STOP_DELAY_MS, TimeUnit.MILLISECONDS);
            loop.schedule(this::beginDrain, schedule.closeConnectionsMs(), TimeUnit.MILLISECONDS);
            loop.schedule(engine::stopWaitingForSilentServers, schedule.stalledResponsesMs(), TimeUnit.MILLISECONDS);
            loop.schedule(engine::failAllPending, schedule.lastResponseMs(), TimeUnit.MILLISECONDS);
        });
    }

    private void drainIfIdle() {
        if (frontends.stream().allMatch(Frontend::isEmpty)) {
            beginDrain();
        } else {
            loop.schedule(this::drainIfIdle, 10, TimeUnit.MILLISECONDS);
        }
    }

    private void beginDrain() {
        if (!drainStarted) {
            drainStarted = true;
            frontends.forEach(Frontend::drain);
            loop.schedule(
                    () -> frontends.forEach(Frontend::stopListening), STOP_LISTENING_DELAY_MS, TimeUnit.MILLISECONDS);
            closeWhenDrained();
        }
    }

    private void closeWhenDrained() {
        // Responses that are still being written keep their connections open.
        if (frontends.stream().allMatch(Frontend::isEmpty)) {
            frontends.forEach(Frontend::stopListening);
        }
        // Stopping accepts connections that were pending; their requests are answered first.
        if (frontends.stream().allMatch(Frontend::isEmpty)) {
            close();
        } else {
            loop.schedule(this::closeWhenDrained, 10, TimeUnit.MILLISECONDS);
        }
    }

    private void close() {
        discovery.close();
        if (membershipSources != null) {
            membershipSources.close();
        }
        if (status != null) {
            status.close();
        }
        if (operatorControls != null) {
            operatorControls.close();
        }
        Runnable closeTransport = () -> transport.close(() -> {
            terminated.countDown();
            terminationCallback.run();
        });
        Runnable closeState =
                stateRecovery == null ? closeTransport : () -> stateRecovery.close(() -> loop.execute(closeTransport));
        if (usageRecorder == null) {
            closeState.run();
        } else {
            usageRecorder.close(() -> loop.execute(closeState));
        }
    }

    /** Returns whether the agent stopped because it could not take over from another process. */
    public boolean failed() {
        return failed;
    }

    /** Waits until the agent has terminated. */
    public void awaitTermination() {
        try {
            terminated.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sets the action to run when the agent has terminated.
     *
     * @param action the action; runs on any thread
     */
    public void onTermination(Runnable action) {
        terminationCallback = action;
    }

    /** Returns whether the agent reports that it is ready; to be called on the event loop. */
    public boolean ready() {
        return serverListReady && warmedUp && listening;
    }

    /** Returns the outstanding requests and attempts, and the tracked servers; to be called on the event loop. */
    public Engine.TrackedCounts outstanding() {
        return engine.trackedCounts();
    }

    /**
     * Returns the number of servers that state is held for; a server that leaves the list must leave no state behind.
     */
    int trackedServers() throws InterruptedException {
        return loop.submit(() -> engine.trackedServers()).sync().getNow();
    }

    /** Returns the number of warm-up requests that got a response before the agent became ready. */
    int warmupResponses() throws InterruptedException {
        return loop.submit(() -> warmupResponses).sync().getNow();
    }

    private void log(String line) {
        transport.log(line);
    }
}
