package gatefront.rehearsal;

import gatefront.rehearsal.check.ManualDrainChecker;
import gatefront.rehearsal.processes.EventHistory;
import gatefront.rehearsal.processes.FolderFaults;
import gatefront.rehearsal.processes.LinkConditions;
import gatefront.rehearsal.processes.LoopLateness;
import gatefront.rehearsal.processes.ProcessFault;
import gatefront.rehearsal.processes.ProcessFault.Links;
import gatefront.rehearsal.processes.ProcessPlan;
import gatefront.rehearsal.processes.ProcessReaper;
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
import java.util.function.DoubleConsumer;
import java.util.stream.IntStream;

/**
 * Plays a day with several processes of the program: agents in processes of their own, each with its folder and door,
 * every link over a relay, and faults of processes, folders and links by plan. The world (nodos, padrón, callers) runs
 * on one loop of this process, the relays on others, processes are started and called from threads besides; how late
 * the loops were is measured, and taken off before an agent is blamed.
 */
public final class ProcessRehearsal {
    private static final long READY_TIMEOUT_MS = 30_000;
    /** What the kernel and the relays may blur, in microseconds, beside the lateness that was measured. */
    private static final long SLACK_MICROS = 20_000;

    private static final long COMPLETION_TIMEOUT_MS = 8_000;
    private static final long SETTLE_MS = 1_000;
    private static final long EXIT_TIMEOUT_MS = 8_000;
    private static final int MAX_LOG_LINES = 5_000;
    private static final int RELAY_LOOPS = 2;
    private static final long POLL_INTERVAL_MS = 10;
    private static final double MICROS_PER_SECOND = 1e6;
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
    /** By process id, when it was started: of those whose start is being watched. */
    private final Map<Long, Long> startNanosByPid = new ConcurrentHashMap<>();
    // Of the day's loop:
    private final List<String> log = new ArrayList<>();
    private final StartTimeline timeline = new StartTimeline();
    private int readyCount;
    private final List<PersistentAgent> agents = new ArrayList<>();
    private EventHistory history;
    private RelayNetwork network;
    private RunContext context;
    private ProcessReaper reaper;
    private Path root;
    private long opensAt;
    private volatile boolean finished;

    /**
     * A rehearsal with several processes.
     *
     * @param plan what is played
     * @param seed for what is drawn
     * @param command runs one agent, as its RELAY_CONFIG says
     * @param without guards of the program that are switched off, to see that the judge finds it
     * @param history where all that was asked, done and seen is written; null for nowhere
     */
    public ProcessRehearsal(ProcessPlan plan, long seed, List<String> command, Set<String> without, Path history) {
        this.plan = plan;
        this.seed = seed;
        this.command = List.copyOf(command);
        this.disabledGuards = Set.copyOf(without);
        this.historyFile = history;
        this.drainChecker =
                new ManualDrainChecker((long) (1000 * plan.basePlan().rules().drainGraceMs()) + SLACK_MICROS);
    }

    /**
     * Plays the day.
     *
     * @param progress is told now and then which part has passed
     * @return what came of it
     * @throws IOException if an agent cannot be started or does not get ready
     */
    public ProcessRehearsalResult play(DoubleConsumer progress) throws IOException {
        root = Files.createTempDirectory("gatefront-processes");
        reaper = ProcessReaper.start();
        history = new EventHistory(historyFile);
        try {
            LoopbackAddresses addresses = LoopbackAddresses.forThisProcess();
            relayLoops.forEach(each -> lateness.watch((EventLoop) each));
            lateness.watch(loop);
            context = callOnLoop(() -> createContext(addresses));
            callOnLoop(() -> {
                context.begin();
                return null;
            });
            awaitAllReady();
            opensAt = callOnLoop(() -> {
                long now = context.now() + 100_000;
                history.setOrigin(now);
                lateness.reset();
                timeline.reset();
                Rehearsal.open(context, now);
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
            awaitOnLoop(COMPLETION_TIMEOUT_MS, () -> context.record.open() == 0);
            Thread.sleep(SETTLE_MS);
            finished = true;
            callOnLoop(() -> {
                drainChecker.close(context.now());
                agents.forEach(each -> each.signal("CONT"));
                agents.forEach(each -> each.leave(() -> {}));
                return null;
            });
            awaitOnLoop(EXIT_TIMEOUT_MS, () -> agents.stream()
                    .noneMatch(each -> each.machine().running()));
            return callOnLoop(() -> {
                for (AgentStandIn each : agents) {
                    if (each.machine().running()) {
                        context.checker.left(context.now(), each.name() + " has not ended");
                    }
                }
                context.checker.close(context.now());
                return new ProcessRehearsalResult(
                        plan,
                        new RehearsalResult(
                                plan.basePlan(),
                                seed,
                                context.cast,
                                context.record,
                                context.checker,
                                List.copyOf(log),
                                0),
                        drainChecker,
                        lateness,
                        timeline);
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            shutDown();
        }
    }

    private RunContext createContext(LoopbackAddresses addresses) {
        RunContext made = new RunContext(
                plan.basePlan(),
                seed,
                SLACK_MICROS,
                addresses,
                (name, address, zone, memory, lines) -> new LoopbackMachine(name, address, loop),
                of -> i -> {
                    PersistentAgent agent = new PersistentAgent(
                            of,
                            i,
                            addresses.of(8, i),
                            command,
                            root,
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
        network = new RelayNetwork(made, lateness, relayLoops, addresses.of(7, 0), drainChecker, history, timeline);
        made.ways = network;
        made.checker.on(network);
        return made;
    }

    private void shutDown() throws IOException {
        finished = true;
        agents.forEach(each -> each.machine().kill());
        reaper.close();
        if (context != null) {
            loop.submit(() -> {
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

    private double secondsSinceOpening() {
        return (context.now() - opensAt) / MICROS_PER_SECOND;
    }

    private void onLogLine(int agent, String line) {
        if (line.startsWith("listening on ")) {
            timeline.reached(agent, StartTimeline.Mark.LISTENS, context.now());
        }
        history.event(context.now(), "log", "agent-" + (agent + 1), line);
        if (log.size() < MAX_LOG_LINES) {
            log.add(String.format(Locale.ROOT, "%.3f agent-%d %s", secondsSinceOpening(), agent + 1, line));
        }
    }

    private void recordEvent(String kind, String who, String what) {
        history.event(context.now(), kind, who, what);
    }

    // ---- Processes ----

    /** A process has been started: the warden answers for it, and somebody looks when it is ready. */
    private void onProcessStarted(int agent, Process process) {
        long pid = process.pid();
        reaper.watch(pid);
        long at = System.nanoTime();
        startNanosByPid.put(pid, at);
        process.onExit().thenRun(() -> {
            reaper.unwatch(pid);
            startNanosByPid.remove(pid);
            runOnLoop(() ->
                    recordEvent("exit", "agent-" + (agent + 1), "process " + pid + ", status " + process.exitValue()));
        });
        runOnLoop(() -> {
            timeline.started(agent, context.now());
            recordEvent("start", "agent-" + (agent + 1), "process " + pid);
        });
        executor.execute(() -> awaitProcessReady(agent, process, at));
    }

    private void awaitProcessReady(int agent, Process process, long at) {
        PersistentAgent of = agents.get(agent);
        try {
            while (process.isAlive() && !finished && !of.ready()) {
                Thread.sleep(POLL_INTERVAL_MS);
            }
            if (!process.isAlive() || finished) {
                return;
            }
            double took = (System.nanoTime() - at) / MICROS_PER_SECOND;
            ManagementClient.Response stats = ManagementClient.call(of.managementAddress(), "GET", "/stats");
            boolean lost = !ManagementClient.parseStats(stats.text())
                    .getOrDefault(RECOVERY_LOST_FIELD, "0")
                    .equals("0");
            runOnLoop(() -> {
                readyCount++;
                timeline.reached(agent, StartTimeline.Mark.READY, context.now());
                recordEvent(
                        "ready",
                        of.name(),
                        String.format(
                                Locale.ROOT,
                                "after %.0f ms%s",
                                took,
                                lost ? ", it says that what it kept is lost" : ""));
                if (lost && of.machine().running()) {
                    drainChecker.toldLost(context.now(), agent);
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
                throw new IOException("not all agents got ready");
            }
            for (PersistentAgent each : agents) {
                if (!each.machine().running()) {
                    throw new IOException(each.name() + " did not get ready");
                }
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    // ---- Faults ----

    private void schedule(ProcessFault fault, RandomStream draw, long from) {
        long at = from + (long) (MICROS_PER_SECOND * fault.at().draw(draw::between));
        long lasts = (long) (MICROS_PER_SECOND * fault.duration().draw(draw::between));
        double spread = MICROS_PER_SECOND * fault.spread().draw(draw::between);
        double size = fault.size().draw(draw::between);
        long number = draw.number();
        int[] targets = chooseAgents(fault, draw);
        context.record.band(fault.kind().keyword(), at - from, at - from + Math.max(lasts, 1_000_000));
        for (int i = 0; i < targets.length; i++) {
            PersistentAgent agent = agents.get(targets[i]);
            PersistentAgent next = agents.get(targets[(i + 1) % targets.length]);
            long when = at + (long) (targets.length < 2 ? 0 : spread * i / (targets.length - 1));
            if (fault.state() == ProcessFault.State.OLDER) {
                context.at(
                        from + (long) (MICROS_PER_SECOND * fault.copiedAtSecond()),
                        () -> executor.execute(() -> changeFolder(
                                agent, "copied", () -> FolderFaults.copy(agent.folder(), copyFolder(agent)))));
            }
            context.at(when, () -> inject(fault, agent, next, lasts, size, number));
        }
    }

    private int[] chooseAgents(ProcessFault fault, RandomStream draw) {
        if (!fault.names().isEmpty()) {
            return fault.names().stream()
                    .mapToInt(each -> Integer.parseInt(each.substring(6)) - 1)
                    .toArray();
        }
        int count = agents.size();
        int n = fault.share() == 0 ? 0 : Math.max(1, (int) Math.rint(fault.share() * count));
        int[] all = IntStream.range(0, count).toArray();
        for (int i = 0; i < n; i++) {
            int j = i + draw.below(count - i);
            int swap = all[i];
            all[i] = all[j];
            all[j] = swap;
        }
        return java.util.Arrays.copyOf(all, n);
    }

    private void inject(
            ProcessFault fault, PersistentAgent agent, PersistentAgent next, long lasts, double size, long number) {
        recordEvent("fault", agent.name(), fault.kind().keyword());
        if (fault.kind() == ProcessFault.Kind.KILL || fault.kind() == ProcessFault.Kind.TERM) {
            agent.setClockOffset(fault.clockOffsetSeconds());
            agent.setMaxFileSize(fault.maxFileKilobytes());
        }
        switch (fault.kind()) {
            case KILL -> {
                if (fault.state() == ProcessFault.State.ANOTHERS) {
                    // Both are copied before either changes.
                    executor.execute(() -> changeFolder(agent, "of another is copied", () -> {
                        FolderFaults.copy(next.folder(), copyFolder(agent));
                        runOnLoop(() -> kill(agent, lasts, () -> applyFolderState(fault.state(), agent, number)));
                    }));
                } else {
                    kill(agent, lasts, () -> applyFolderState(fault.state(), agent, number));
                }
            }
            case TERM -> agent.leave(() -> {
                drainChecker.ended(context.now(), agent.number);
                restartAfter(agent, lasts);
            });
            case STOP -> {
                network.setPaused(agent.number, true);
                agent.signal("STOP");
                context.at(context.now() + lasts, () -> {
                    recordEvent("fault", agent.name(), "wakes");
                    agent.signal("CONT");
                    network.setPaused(agent.number, false);
                });
            }
            case CRASH_LOOP -> crashLoop(agent, lasts, (int) size);
            case CUT -> applyLinkConditions(fault, agent, lasts, LinkConditions.BLOCKED);
            case DELAY -> applyLinkConditions(fault, agent, lasts, new LinkConditions(false, (long) (1000 * size), 0));
            case THROTTLE -> applyLinkConditions(
                    fault, agent, lasts, new LinkConditions(false, 0, (long) (1000 * size)));
            case RESET, HALF_OPEN -> network.breakConnections(
                    agent.number, fault.links(), fault.kind() == ProcessFault.Kind.HALF_OPEN);
            case OUT, BACK -> fault.nodos()
                    .forEach(each -> sendDrainCommand(agent, each, fault.kind() == ProcessFault.Kind.OUT));
        }
    }

    private void applyLinkConditions(ProcessFault fault, PersistentAgent agent, long lasts, LinkConditions shape) {
        network.setConditions(agent.number, fault.links(), fault.direction(), shape);
        context.at(context.now() + lasts, () -> {
            recordEvent("fault", agent.name(), "healed");
            network.setConditions(agent.number, fault.links(), fault.direction(), LinkConditions.CLEAR);
        });
    }

    private void kill(PersistentAgent agent, long lasts, Runnable whileDead) {
        long startsAt = context.now() + lasts;
        if (!agent.machine().running()) {
            return;
        }
        int mine = agent.processes();
        agent.withProcess(process -> process.onExit()
                .thenRunAsync(
                        () -> {
                            whileDead.run();
                            runOnLoop(() -> {
                                if (agent.processes() == mine) {
                                    restartAfter(agent, startsAt - context.now());
                                }
                            });
                        },
                        executor));
        agent.kill();
        drainChecker.ended(context.now(), agent.number);
    }

    private void restartAfter(PersistentAgent agent, long inMicros) {
        context.at(context.now() + inMicros, () -> {
            if (!agent.machine().running() && !finished) {
                agent.start();
            }
        });
    }

    /** Killed as soon as it is ready, over and over; the last time it is left alone. */
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

    private Path copyFolder(PersistentAgent agent) {
        return root.resolve("copy-of-" + agent.name());
    }

    private void changeFolder(PersistentAgent agent, String what, FolderChange change) {
        try {
            change.apply();
            runOnLoop(() -> recordEvent("folder", agent.name(), what));
        } catch (IOException e) {
            runOnLoop(() ->
                    context.checker.left(context.now(), agent.name() + "'s folder could not be " + what + ": " + e));
        }
    }

    /** Changes the folder of a process that has ended. */
    private void applyFolderState(ProcessFault.State state, PersistentAgent agent, long number) {
        Path folder = agent.folder();
        String what = state.name().toLowerCase(Locale.ROOT).replace('_', '-');
        switch (state) {
            case KEPT -> {}
            case WIPED -> changeFolder(agent, what, () -> FolderFaults.delete(folder));
            case OLDER, ANOTHERS -> changeFolder(agent, what, () -> FolderFaults.copy(copyFolder(agent), folder));
            case TORN -> changeFolder(agent, what, () -> FolderFaults.truncateNewestFile(folder.resolve("kept")));
            case FLIPPED -> changeFolder(
                    agent, what, () -> FolderFaults.flipBitInNewestFile(folder.resolve("kept"), number));
            case READ_ONLY -> changeFolder(
                    agent, what, () -> folder.resolve("kept").toFile().setWritable(false));
        }
    }

    // ---- Staff ----

    private void sendDrainCommand(PersistentAgent agent, String nodo, boolean out) {
        var door = network.relay(agent.number, Links.DOOR, agent.managementAddress())
                .address();
        int number = Integer.parseInt(nodo.substring("nodo-".length())) - 1;
        int process = agent.processes();
        executor.execute(() -> {
            ManagementClient.Response answer =
                    ManagementClient.call(door, "POST", "/backends/" + nodo + (out ? "/maint" : "/ready"));
            runOnLoop(() -> {
                recordEvent(
                        "staff",
                        agent.name(),
                        nodo + (out ? " out: " : " back: ") + answer.status() + " "
                                + answer.text().strip());
                if (answer.status() == 200 && agent.processes() == process) {
                    drainChecker.yes(
                            context.now(),
                            agent.number,
                            number,
                            out,
                            !answer.text().contains("not kept"));
                }
            });
        });
    }

    // ---- Loops ----

    private void runOnLoop(Runnable what) {
        if (!loop.isShuttingDown()) {
            loop.execute(what);
        }
    }

    private void awaitOnLoop(long mostMs, Callable<Boolean> what) throws InterruptedException, IOException {
        for (long passed = 0; passed < mostMs && !callOnLoop(what); passed += 50) {
            Thread.sleep(50);
        }
    }

    private <T> T callOnLoop(Callable<T> what) throws InterruptedException, IOException {
        try {
            return loop.submit(what).get();
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause().getMessage()), e.getCause());
        }
    }
}
