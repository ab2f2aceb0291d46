package gatefront.rehearsal;

import gatefront.rehearsal.check.ManualDrainChecker;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.processes.ConnectionCrowd;
import gatefront.rehearsal.processes.EventHistory;
import gatefront.rehearsal.processes.FolderFaults;
import gatefront.rehearsal.processes.LinkConditions;
import gatefront.rehearsal.processes.LoopLateness;
import gatefront.rehearsal.processes.ProcessFault;
import gatefront.rehearsal.processes.ProcessFault.Links;
import gatefront.rehearsal.processes.ProcessPlan;
import gatefront.rehearsal.processes.ProcessReaper;
import gatefront.rehearsal.processes.SignalSeries;
import gatefront.rehearsal.processes.StartTimeline;
import gatefront.rehearsal.world.RandomStream;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.DoubleConsumer;
import java.util.stream.IntStream;

/**
 * Runs a rehearsal in real time with agents in processes of their own. Each agent has a folder and a management
 * endpoint, each link goes over a relay, and the plan injects faults of processes, folders and links. The simulated
 * world (servers, padrón, clients) runs on one event loop of this process and the relays on others; processes are
 * started and called from worker threads. The lateness of the loops is measured and allowed for before an agent is
 * blamed.
 */
public final class ProcessRehearsal {
    private static final long READY_TIMEOUT_MS = 30_000;
    /** Tolerance for delays in the kernel and the relays, in microseconds, in addition to the measured lateness. */
    private static final long SLACK_MICROS = 20_000;

    /** Maximum wait for the outstanding requests after traffic has ended. */
    private static final long COMPLETION_TIMEOUT_MS = 8_000;

    /** Wait for work that servers still do for abandoned attempts. */
    private static final long SETTLE_MS = 1_000;

    /** Maximum wait for the agents to exit after SIGTERM. */
    private static final long EXIT_TIMEOUT_MS = 8_000;

    private static final int MAX_LOG_LINES = 5_000;
    private static final int RELAY_LOOPS = 2;
    private static final long POLL_INTERVAL_MS = 10;
    private static final double MICROS_PER_SECOND = 1e6;
    /** The field of {@code /stats} by which an agent reports that it lost its stored state. */
    private static final String RECOVERY_LOST_FIELD = "recovery_lost";

    private final ProcessPlan plan;
    private final long seed;
    private final List<String> command;
    private final Set<String> disabledGuards;
    private final Path historyFile;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final EventLoopGroup relayLoops = new MultiThreadIoEventLoopGroup(RELAY_LOOPS, NioIoHandler.newFactory());
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "hand");
        thread.setDaemon(true);
        return thread;
    });
    private final LoopLateness lateness = new LoopLateness();
    private final ManualDrainChecker drainChecker;
    /** Start times of the running processes by process id. */
    private final Map<Long, Long> startNanosByPid = new ConcurrentHashMap<>();
    // Owned by the event loop:
    private final List<String> log = new ArrayList<>();
    private final StartTimeline timeline = new StartTimeline();
    private int readyCount;
    /** Agents whose next process is sent SIGHUP as soon as it listens, before it has its first server list. */
    private final Set<Integer> reloadedWhenListening = new HashSet<>();

    private final List<ConnectionCrowd> crowds = new ArrayList<>();
    private final List<PersistentAgent> agents = new ArrayList<>();
    private EventHistory history;
    private RelayNetwork network;
    private RunContext context;
    private ProcessReaper reaper;
    private Path root;
    /** When traffic starts, in rehearsal time. */
    private long trafficStartMicros;

    private volatile boolean finished;

    /**
     * Creates a rehearsal with several processes.
     *
     * @param plan the plan
     * @param seed the seed of all random choices
     * @param command the command that runs an agent, which is configured by RELAY_CONFIG
     * @param disabledGuards safeguards of the agents that are switched off, to test the checks themselves
     * @param historyFile the file that the event history is written to; null for none
     */
    public ProcessRehearsal(
            ProcessPlan plan, long seed, List<String> command, Set<String> disabledGuards, Path historyFile) {
        this.plan = plan;
        this.seed = seed;
        this.command = List.copyOf(command);
        this.disabledGuards = Set.copyOf(disabledGuards);
        this.historyFile = historyFile;
        this.drainChecker =
                new ManualDrainChecker((long) (1000 * plan.basePlan().rules().drainGraceMs()) + SLACK_MICROS);
    }

    /**
     * Runs the rehearsal.
     *
     * @param progress receives the elapsed share of the run, several times a second
     * @return the result
     * @throws IOException if an agent cannot be started or does not become ready
     */
    public ProcessRehearsalResult play(DoubleConsumer progress) throws IOException {
        root = Files.createTempDirectory("gatefront-processes");
        reaper = ProcessReaper.start();
        history = new EventHistory(historyFile);
        try {
            LoopbackAddresses addresses = LoopbackAddresses.forThisProcess();
            relayLoops.forEach(relayLoop -> lateness.watch((EventLoop) relayLoop));
            lateness.watch(loop);
            context = callOnLoop(() -> createContext(addresses));
            callOnLoop(() -> {
                context.start();
                return null;
            });
            awaitAllReady();
            trafficStartMicros = callOnLoop(() -> {
                long now = context.now() + 100_000;
                history.setOrigin(now);
                lateness.reset();
                timeline.reset();
                Rehearsal.openTraffic(context, now);
                for (int i = 0; i < plan.faults().size(); i++) {
                    schedule(plan.faults().get(i), new RandomStream(seed, "process fault " + i), now);
                }
                return now;
            });
            long lengthMs = (long) (1000 * plan.basePlan().seconds());
            for (long passed = 0; passed < lengthMs; passed += 250) {
                progress.accept((double) passed / lengthMs);
                Thread.sleep(250);
            }
            progress.accept(1);
            awaitOnLoop(COMPLETION_TIMEOUT_MS, () -> context.recorder.openOperations() == 0);
            Thread.sleep(SETTLE_MS);
            finished = true;
            callOnLoop(() -> {
                drainChecker.close(context.now());
                agents.forEach(agent -> agent.signal("CONT"));
                agents.forEach(agent -> agent.shutDown(() -> {}));
                return null;
            });
            awaitOnLoop(EXIT_TIMEOUT_MS, () -> agents.stream()
                    .noneMatch(agent -> agent.machine().running()));
            return callOnLoop(() -> {
                for (AgentStandIn agent : agents) {
                    if (agent.machine().running()) {
                        context.checker.reportLeftover(context.now(), agent.name() + " has not ended");
                    }
                }
                context.checker.close(context.now());
                return new ProcessRehearsalResult(
                        plan,
                        new RehearsalResult(
                                plan.basePlan(),
                                seed,
                                context.resolvedPlan,
                                context.recorder,
                                context.checker,
                                List.copyOf(log),
                                0),
                        drainChecker,
                        lateness,
                        timeline);
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("rehearsal interrupted", e);
        } finally {
            shutDown();
        }
    }

    private RunContext createContext(LoopbackAddresses addresses) {
        RunContext created = new RunContext(
                plan.basePlan(),
                seed,
                SLACK_MICROS,
                addresses,
                (name, address, zone, memory, lines) -> new LoopbackMachine(name, address, loop),
                owner -> i -> {
                    PersistentAgent agent = new PersistentAgent(
                            owner,
                            i,
                            addresses.of(8, i),
                            command,
                            root,
                            reaper,
                            executor,
                            line -> onLogLine(i, line),
                            plan.recoveryEnabled(),
                            disabledGuards,
                            process -> onProcessStarted(i, process));
                    agent.setClientAddress(
                            network.relay(i, Links.CALLERS, agent.address()).address());
                    agents.add(agent);
                    return agent;
                });
        network = new RelayNetwork(created, lateness, relayLoops, addresses.of(7, 0), drainChecker, history, timeline);
        created.paths = network;
        created.checker.useEnvironment(network);
        return created;
    }

    private void shutDown() throws IOException {
        finished = true;
        agents.forEach(agent -> agent.machine().kill());
        reaper.close();
        if (context != null) {
            loop.submit(() -> {
                        crowds.forEach(ConnectionCrowd::close);
                        context.close();
                        network.close();
                    })
                    .awaitUninterruptibly();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        relayLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        executor.shutdownNow();
        history.close();
        FolderFaults.delete(root);
    }

    private double secondsSinceTrafficStart() {
        return (context.now() - trafficStartMicros) / MICROS_PER_SECOND;
    }

    private void onLogLine(int agent, String line) {
        if (line.startsWith("listening on ")) {
            timeline.reached(agent, StartTimeline.Mark.LISTENS, context.now());
            if (reloadedWhenListening.remove(agent)) {
                recordEvent("fault", "agent-" + (agent + 1), "SIGHUP before its first list");
                agents.get(agent).reload();
            }
        }
        history.event(context.now(), "log", "agent-" + (agent + 1), line);
        if (log.size() < MAX_LOG_LINES) {
            log.add(String.format(Locale.ROOT, "%.3f agent-%d %s", secondsSinceTrafficStart(), agent + 1, line));
        }
    }

    private void recordEvent(String kind, String who, String what) {
        history.event(context.now(), kind, who, what);
    }

    // ---- Processes ----

    /** Waits, on a worker thread, until a new process is ready. */
    private void onProcessStarted(int agent, Process process) {
        long pid = process.pid();
        long startNanos = System.nanoTime();
        startNanosByPid.put(pid, startNanos);
        process.onExit().thenRun(() -> {
            startNanosByPid.remove(pid);
            runOnLoop(() ->
                    recordEvent("exit", "agent-" + (agent + 1), "process " + pid + ", status " + process.exitValue()));
        });
        runOnLoop(() -> {
            timeline.started(agent, context.now());
            recordEvent("start", "agent-" + (agent + 1), "process " + pid);
        });
        executor.execute(() -> awaitProcessReady(agent, process, startNanos));
    }

    private void awaitProcessReady(int number, Process process, long startNanos) {
        PersistentAgent agent = agents.get(number);
        try {
            while (process.isAlive() && !finished && !agent.ready()) {
                Thread.sleep(POLL_INTERVAL_MS);
            }
            if (!process.isAlive() || finished) {
                return;
            }
            double tookMillis = (System.nanoTime() - startNanos) / MICROS_PER_SECOND;
            ManagementClient.Response stats = ManagementClient.call(agent.managementAddress(), "GET", "/stats");
            boolean lost = !ManagementClient.parseStats(stats.text())
                    .getOrDefault(RECOVERY_LOST_FIELD, "0")
                    .equals("0");
            runOnLoop(() -> {
                readyCount++;
                timeline.reached(number, StartTimeline.Mark.READY, context.now());
                recordEvent(
                        "ready",
                        agent.name(),
                        String.format(
                                Locale.ROOT,
                                "after %.0f ms%s",
                                tookMillis,
                                lost ? ", it says that what it kept is lost" : ""));
                if (lost && agent.machine().running()) {
                    drainChecker.lossReported(context.now(), number);
                }
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitAllReady() throws InterruptedException, IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (callOnLoop(() -> readyCount) < agents.size()) {
            if (System.nanoTime() > end) {
                throw new IOException("not all agents became ready within " + READY_TIMEOUT_MS + " ms");
            }
            for (PersistentAgent agent : agents) {
                if (!agent.machine().running()) {
                    throw new IOException(agent.name() + " exited before it was ready");
                }
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    // ---- Faults ----

    private void schedule(ProcessFault fault, RandomStream draw, long start) {
        long at = start + (long) (MICROS_PER_SECOND * fault.at().sample(draw::uniform));
        long duration = (long) (MICROS_PER_SECOND * fault.duration().sample(draw::uniform));
        double spread = MICROS_PER_SECOND * fault.spread().sample(draw::uniform);
        double size = fault.size().sample(draw::uniform);
        long bitSelector = draw.nextLong();
        int[] targets = chooseAgents(fault, draw);
        context.recorder.addFaultBand(fault.kind().keyword(), at - start, at - start + Math.max(duration, 1_000_000));
        for (int i = 0; i < targets.length; i++) {
            PersistentAgent agent = agents.get(targets[i]);
            PersistentAgent next = agents.get(targets[(i + 1) % targets.length]);
            long when = at + (long) (targets.length < 2 ? 0 : spread * i / (targets.length - 1));
            if (fault.state() == ProcessFault.State.OLDER) {
                context.schedule(
                        start + (long) (MICROS_PER_SECOND * fault.copiedAtSecond()),
                        () -> executor.execute(() -> changeFolder(
                                agent, "copied", () -> FolderFaults.copy(agent.folder(), copyLocation(agent)))));
            }
            context.schedule(when, () -> inject(fault, agent, next, duration, size, bitSelector));
        }
    }

    private int[] chooseAgents(ProcessFault fault, RandomStream draw) {
        if (!fault.names().isEmpty()) {
            return fault.names().stream()
                    .mapToInt(name -> Integer.parseInt(name.substring("agent-".length())) - 1)
                    .toArray();
        }
        int count = agents.size();
        int chosen = fault.share() == 0 ? 0 : Math.max(1, (int) Math.rint(fault.share() * count));
        int[] numbers = IntStream.range(0, count).toArray();
        for (int i = 0; i < chosen; i++) {
            int j = i + draw.nextInt(count - i);
            int swap = numbers[i];
            numbers[i] = numbers[j];
            numbers[j] = swap;
        }
        return java.util.Arrays.copyOf(numbers, chosen);
    }

    private void inject(
            ProcessFault fault,
            PersistentAgent agent,
            PersistentAgent next,
            long duration,
            double size,
            long bitSelector) {
        recordEvent("fault", agent.name(), fault.kind().keyword());
        if (fault.kind() == ProcessFault.Kind.KILL || fault.kind() == ProcessFault.Kind.TERM) {
            agent.setClockOffset(fault.clockOffsetSeconds());
            agent.setMaxFileSize(fault.maxFileKilobytes());
        }
        switch (fault.kind()) {
            case KILL -> {
                if (fault.state() == ProcessFault.State.ANOTHERS) {
                    // Copies the other agent's folder before any change, since the same fault may replace that folder.
                    executor.execute(() -> changeFolder(agent, "of another is copied", () -> {
                        FolderFaults.copy(next.folder(), copyLocation(agent));
                        runOnLoop(
                                () -> kill(agent, duration, () -> applyFolderState(fault.state(), agent, bitSelector)));
                    }));
                } else {
                    kill(agent, duration, () -> applyFolderState(fault.state(), agent, bitSelector));
                }
            }
            case TERM -> agent.shutDown(() -> {
                drainChecker.processEnded(context.now(), agent.number);
                restartAfter(agent, duration);
            });
            case STOP -> {
                network.setPaused(agent.number, true);
                agent.signal("STOP");
                context.schedule(context.now() + duration, () -> {
                    recordEvent("fault", agent.name(), "wakes");
                    agent.signal("CONT");
                    network.setPaused(agent.number, false);
                });
            }
            case CRASH_LOOP -> crashLoop(agent, duration, (int) size);
            case CUT -> applyLinkConditions(fault, agent, duration, LinkConditions.BLOCKED);
            case DELAY -> applyLinkConditions(
                    fault, agent, duration, new LinkConditions(false, (long) (1000 * size), 0));
            case THROTTLE -> applyLinkConditions(
                    fault, agent, duration, new LinkConditions(false, 0, (long) (1000 * size)));
            case RESET, HALF_OPEN -> network.breakConnections(
                    agent.number, fault.links(), fault.kind() == ProcessFault.Kind.HALF_OPEN);
            case SIGNALS -> sendSignals(agent, duration, bitSelector);
            case CROWD -> openCrowd(agent, duration, (int) size, bitSelector);
            case OUT, BACK -> fault.nodos()
                    .forEach(nodo -> sendDrainCommand(agent, nodo, fault.kind() == ProcessFault.Kind.OUT));
        }
    }

    /** Sends a series of signals to the process of an agent, and starts it again after its exit. */
    private void sendSignals(PersistentAgent agent, long restartDelay, long seriesSeed) {
        int processNumber = agent.processCount();
        AtomicBoolean terminating = new AtomicBoolean();
        agent.withProcess(process -> process.onExit()
                .thenRun(() -> runOnLoop(() -> signalledProcessEnded(agent, process, terminating, restartDelay))));
        long start = context.now();
        for (SignalSeries.Step step : SignalSeries.draw(new RandomStream(seriesSeed, "signals"), longestDeadline())) {
            context.schedule(start + step.atMicros(), () -> {
                if (agent.processCount() == processNumber && agent.machine().running() && !finished) {
                    recordEvent("fault", agent.name(), step.toString());
                    terminating.compareAndSet(false, step.signal() == SignalSeries.Signal.TERMINATE);
                    send(agent, step);
                }
            });
        }
    }

    private long longestDeadline() {
        return (long) (1000
                * plan.basePlan().classes().stream()
                        .mapToDouble(Plan.RequestClass::timeoutMs)
                        .max()
                        .orElseThrow());
    }

    private void send(PersistentAgent agent, SignalSeries.Step step) {
        switch (step.signal()) {
            case RELOAD -> agent.reload();
            case TERMINATE -> agent.signal("TERM");
            case KILL -> agent.signal("KILL");
            case SUSPEND -> {
                long from = context.now();
                agent.signal("STOP");
                context.schedule(from + step.durationMicros(), () -> {
                    agent.signal("CONT");
                    network.recordSuspension(from, context.now());
                });
            }
        }
    }

    private void signalledProcessEnded(
            PersistentAgent agent, Process process, AtomicBoolean terminating, long restartDelay) {
        if (!terminating.get()) {
            context.checker.reportLeftover(
                    context.now(),
                    agent.name() + " ended with status " + process.exitValue() + " before it was told to");
        }
        context.padron.agentReset(agent.number);
        drainChecker.processEnded(context.now(), agent.number);
        reloadedWhenListening.add(agent.number);
        restartAfter(agent, restartDelay);
    }

    private void openCrowd(PersistentAgent agent, long duration, int connections, long crowdSeed) {
        ConnectionCrowd crowd = new ConnectionCrowd(
                new LoopbackMachine("crowd", agent.address().getAddress(), loop).transport(),
                agent.address(),
                new RandomStream(crowdSeed, "crowd"),
                lateness,
                seen -> context.checker.responseMissing(context.now(), agent.name() + ": " + seen));
        crowds.add(crowd);
        crowd.open(connections);
        context.schedule(
                context.now() + duration,
                () -> recordEvent("crowd", agent.name(), "leaves, " + crowd.close() + " requests answered"));
    }

    private void applyLinkConditions(
            ProcessFault fault, PersistentAgent agent, long duration, LinkConditions conditions) {
        network.setConditions(agent.number, fault.links(), fault.direction(), conditions);
        context.schedule(context.now() + duration, () -> {
            recordEvent("fault", agent.name(), "healed");
            network.setConditions(agent.number, fault.links(), fault.direction(), LinkConditions.CLEAR);
        });
    }

    private void kill(PersistentAgent agent, long duration, Runnable beforeRestart) {
        long startsAt = context.now() + duration;
        if (!agent.machine().running()) {
            return;
        }
        int processNumber = agent.processCount();
        agent.withProcess(process -> process.onExit()
                .thenRunAsync(
                        () -> {
                            beforeRestart.run();
                            runOnLoop(() -> {
                                if (agent.processCount() == processNumber) {
                                    restartAfter(agent, startsAt - context.now());
                                }
                            });
                        },
                        executor));
        agent.kill();
        drainChecker.processEnded(context.now(), agent.number);
    }

    private void restartAfter(PersistentAgent agent, long delayMicros) {
        context.schedule(context.now() + delayMicros, () -> {
            if (!agent.machine().running() && !finished) {
                agent.start();
            }
        });
    }

    /** Kills an agent as soon as it is ready, the given number of times. */
    private void crashLoop(PersistentAgent agent, long pause, int times) {
        if (times > 0 && !finished) {
            kill(agent, pause, () -> {});
            CompletableFuture.runAsync(
                    () -> {
                        try {
                            Thread.sleep(TimeUnit.MICROSECONDS.toMillis(pause));
                            while (!finished && !agent.ready()) {
                                Thread.sleep(POLL_INTERVAL_MS);
                            }
                            runOnLoop(() -> crashLoop(agent, pause, times - 1));
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    },
                    executor);
        }
    }

    // ---- Folders ----

    private interface FolderChange {
        void apply() throws IOException;
    }

    private Path copyLocation(PersistentAgent agent) {
        return root.resolve("copy-of-" + agent.name());
    }

    private void changeFolder(PersistentAgent agent, String what, FolderChange change) {
        try {
            change.apply();
            runOnLoop(() -> recordEvent("folder", agent.name(), what));
        } catch (IOException e) {
            runOnLoop(() -> context.checker.reportLeftover(
                    context.now(), agent.name() + "'s folder could not be " + what + ": " + e));
        }
    }

    /** Applies a fault to the folder of an agent whose process has exited. */
    private void applyFolderState(ProcessFault.State state, PersistentAgent agent, long bitSelector) {
        Path folder = agent.folder();
        String what = state.name().toLowerCase(Locale.ROOT).replace('_', '-');
        switch (state) {
            case KEPT -> {}
            case WIPED -> changeFolder(agent, what, () -> FolderFaults.delete(folder));
            case OLDER, ANOTHERS -> changeFolder(agent, what, () -> FolderFaults.copy(copyLocation(agent), folder));
            case TORN -> changeFolder(agent, what, () -> FolderFaults.truncateNewestFile(folder.resolve("kept")));
            case FLIPPED -> changeFolder(
                    agent, what, () -> FolderFaults.flipBitInNewestFile(folder.resolve("kept"), bitSelector));
            case READ_ONLY -> changeFolder(
                    agent, what, () -> folder.resolve("kept").toFile().setWritable(false));
        }
    }

    // ---- Operators ----

    private void sendDrainCommand(PersistentAgent agent, String nodo, boolean drain) {
        var address = network.relay(agent.number, Links.DOOR, agent.managementAddress())
                .address();
        int number = Integer.parseInt(nodo.substring("nodo-".length())) - 1;
        int processNumber = agent.processCount();
        executor.execute(() -> {
            ManagementClient.Response response =
                    ManagementClient.call(address, "POST", "/backends/" + nodo + (drain ? "/maint" : "/ready"));
            runOnLoop(() -> {
                recordEvent(
                        "staff",
                        agent.name(),
                        nodo + (drain ? " out: " : " back: ") + response.status() + " "
                                + response.text().strip());
                if (response.status() == 200 && agent.processCount() == processNumber) {
                    drainChecker.confirmed(
                            context.now(),
                            agent.number,
                            number,
                            drain,
                            !response.text().contains("not kept"));
                }
            });
        });
    }

    // ---- Event loop ----

    private void runOnLoop(Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    private void awaitOnLoop(long timeoutMs, Callable<Boolean> condition) throws InterruptedException, IOException {
        for (long passed = 0; passed < timeoutMs && !callOnLoop(condition); passed += 50) {
            Thread.sleep(50);
        }
    }

    private <T> T callOnLoop(Callable<T> task) throws InterruptedException, IOException {
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause().getMessage()), e.getCause());
        }
    }
}
