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
    private static final long READY_MS = 30_000;
    /** What the kernel and the relays may blur, in microseconds, beside the lateness that was measured. */
    private static final long SLACK = 20_000;

    private static final long TAIL_MS = 8_000;
    private static final long SETTLE_MS = 1_000;
    private static final long ENDING_MS = 8_000;
    private static final int LINES_MOST = 5_000;
    private static final int RELAY_LOOPS = 2;
    private static final long LOOK_MS = 10;
    private static final double MICROS = 1e6;
    private static final String LOST = "recovery_lost";

    private final ProcessPlan plan;
    private final long seed;
    private final List<String> command;
    private final Set<String> without;
    private final Path history;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final EventLoopGroup relayLoops = new MultiThreadIoEventLoopGroup(RELAY_LOOPS, NioIoHandler.newFactory());
    private final ExecutorService hands = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "hand");
        thread.setDaemon(true);
        return thread;
    });
    private final LoopLateness lateness = new LoopLateness();
    private final ManualDrainChecker hand;
    /** By process id, when it was started: of those whose start is being watched. */
    private final Map<Long, Long> starting = new ConcurrentHashMap<>();
    // Of the day's loop:
    private final List<String> log = new ArrayList<>();
    private final StartTimeline timeline = new StartTimeline();
    private int ready;
    private final List<PersistentAgent> agents = new ArrayList<>();
    private EventHistory chronicle;
    private RelayNetwork ways;
    private RunContext day;
    private ProcessReaper warden;
    private Path root;
    private long opensAt;
    private volatile boolean over;

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
        this.without = Set.copyOf(without);
        this.history = history;
        this.hand = new ManualDrainChecker((long) (1000 * plan.day().rules().drainMs()) + SLACK);
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
        warden = ProcessReaper.start();
        chronicle = new EventHistory(history);
        try {
            LoopbackAddresses addresses = LoopbackAddresses.ofProcess();
            relayLoops.forEach(each -> lateness.watch((EventLoop) each));
            lateness.watch(loop);
            day = on(() -> made(addresses));
            on(() -> {
                day.start();
                return null;
            });
            awaitReady();
            opensAt = on(() -> {
                long now = day.now() + 100_000;
                chronicle.opens(now);
                lateness.opens();
                timeline.opens();
                Rehearsal.openTraffic(day, now);
                for (int i = 0; i < plan.faults().size(); i++) {
                    schedule(plan.faults().get(i), new RandomStream(seed, "process fault " + i), now);
                }
                return now;
            });
            long lengthMs = (long) (1000 * plan.day().seconds());
            for (long passed = 0; passed < lengthMs; passed += 250) {
                progress.accept((double) passed / lengthMs);
                Thread.sleep(250);
            }
            progress.accept(1);
            await(TAIL_MS, () -> day.recorder.openOperations() == 0);
            Thread.sleep(SETTLE_MS);
            over = true;
            on(() -> {
                hand.close(day.now());
                agents.forEach(each -> each.signal("CONT"));
                agents.forEach(each -> each.shutDown(() -> {}));
                return null;
            });
            await(ENDING_MS, () -> agents.stream()
                    .noneMatch(each -> each.machine().running()));
            return on(() -> {
                for (AgentStandIn each : agents) {
                    if (each.machine().running()) {
                        day.checker.reportLeftover(day.now(), each.name() + " has not ended");
                    }
                }
                day.checker.close(day.now());
                return new ProcessRehearsalResult(
                        plan,
                        new RehearsalResult(
                                plan.day(), seed, day.resolvedPlan, day.recorder, day.checker, List.copyOf(log), 0),
                        hand,
                        lateness,
                        timeline);
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            end();
        }
    }

    private RunContext made(LoopbackAddresses addresses) {
        RunContext made = new RunContext(
                plan.day(),
                seed,
                SLACK,
                addresses,
                (name, address, zone, memory, lines) -> new LoopbackMachine(name, address, loop),
                of -> i -> {
                    PersistentAgent agent = new PersistentAgent(
                            of,
                            i,
                            addresses.of(8, i),
                            command,
                            root,
                            hands,
                            line -> said(i, line),
                            plan.keeps(),
                            without,
                            process -> begun(i, process));
                    agent.front(ways.relay(i, Links.CALLERS, agent.address()).address());
                    agents.add(agent);
                    return agent;
                });
        ways = new RelayNetwork(made, lateness, relayLoops, addresses.of(7, 0), hand, chronicle, timeline);
        made.paths = ways;
        made.checker.useEnvironment(ways);
        return made;
    }

    private void end() throws IOException {
        over = true;
        agents.forEach(each -> each.machine().kill());
        warden.close();
        if (day != null) {
            loop.submit(() -> {
                        day.close();
                        ways.close();
                    })
                    .awaitUninterruptibly();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        relayLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        hands.shutdownNow();
        chronicle.close();
        FolderFaults.remove(root);
    }

    private double second() {
        return (day.now() - opensAt) / MICROS;
    }

    private void said(int agent, String line) {
        if (line.startsWith("listening on ")) {
            timeline.reached(agent, StartTimeline.Mark.LISTENS, day.now());
        }
        chronicle.event(day.now(), "log", "agent-" + (agent + 1), line);
        if (log.size() < LINES_MOST) {
            log.add(String.format(Locale.ROOT, "%.3f agent-%d %s", second(), agent + 1, line));
        }
    }

    private void event(String kind, String who, String what) {
        chronicle.event(day.now(), kind, who, what);
    }

    // ---- Processes ----

    /** A process has been started: the warden answers for it, and somebody looks when it is ready. */
    private void begun(int agent, Process process) {
        long pid = process.pid();
        warden.charge(pid);
        long at = System.nanoTime();
        starting.put(pid, at);
        process.onExit().thenRun(() -> {
            warden.discharge(pid);
            starting.remove(pid);
            onLoop(() -> event("exit", "agent-" + (agent + 1), "process " + pid + ", status " + process.exitValue()));
        });
        onLoop(() -> {
            timeline.started(agent, day.now());
            event("start", "agent-" + (agent + 1), "process " + pid);
        });
        hands.execute(() -> watch(agent, process, at));
    }

    private void watch(int agent, Process process, long at) {
        PersistentAgent of = agents.get(agent);
        try {
            while (process.isAlive() && !over && !of.ready()) {
                Thread.sleep(LOOK_MS);
            }
            if (!process.isAlive() || over) {
                return;
            }
            double took = (System.nanoTime() - at) / MICROS;
            ManagementClient.Answer stats = ManagementClient.call(of.door(), "GET", "/stats");
            boolean lost = !ManagementClient.figures(stats.text())
                    .getOrDefault(LOST, "0")
                    .equals("0");
            onLoop(() -> {
                ready++;
                timeline.reached(agent, StartTimeline.Mark.READY, day.now());
                event(
                        "ready",
                        of.name(),
                        String.format(
                                Locale.ROOT,
                                "after %.0f ms%s",
                                took,
                                lost ? ", it says that what it kept is lost" : ""));
                if (lost && of.machine().running()) {
                    hand.lossReported(day.now(), agent);
                }
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitReady() throws InterruptedException, IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (on(() -> ready) < agents.size()) {
            if (System.nanoTime() > end) {
                throw new IOException("not all agents got ready");
            }
            for (PersistentAgent each : agents) {
                if (!each.machine().running()) {
                    throw new IOException(each.name() + " did not get ready");
                }
            }
            Thread.sleep(LOOK_MS);
        }
    }

    // ---- Faults ----

    private void schedule(ProcessFault fault, RandomStream draw, long from) {
        long at = from + (long) (MICROS * fault.at().sample(draw::uniform));
        long lasts = (long) (MICROS * fault.lasts().sample(draw::uniform));
        double spread = MICROS * fault.spread().sample(draw::uniform);
        double size = fault.size().sample(draw::uniform);
        long number = draw.nextLong();
        int[] targets = targets(fault, draw);
        day.recorder.addFaultBand(fault.kind().word(), at - from, at - from + Math.max(lasts, 1_000_000));
        for (int i = 0; i < targets.length; i++) {
            PersistentAgent agent = agents.get(targets[i]);
            PersistentAgent next = agents.get(targets[(i + 1) % targets.length]);
            long when = at + (long) (targets.length < 2 ? 0 : spread * i / (targets.length - 1));
            if (fault.state() == ProcessFault.State.OLDER) {
                day.schedule(
                        from + (long) (MICROS * fault.saved()),
                        () -> hands.execute(
                                () -> quietly(agent, "copied", () -> FolderFaults.copy(agent.folder(), copy(agent)))));
            }
            day.schedule(when, () -> happens(fault, agent, next, lasts, size, number));
        }
    }

    private int[] targets(ProcessFault fault, RandomStream draw) {
        if (!fault.names().isEmpty()) {
            return fault.names().stream()
                    .mapToInt(each -> Integer.parseInt(each.substring(6)) - 1)
                    .toArray();
        }
        int count = agents.size();
        int n = fault.share() == 0 ? 0 : Math.max(1, (int) Math.rint(fault.share() * count));
        int[] all = IntStream.range(0, count).toArray();
        for (int i = 0; i < n; i++) {
            int j = i + draw.nextInt(count - i);
            int swap = all[i];
            all[i] = all[j];
            all[j] = swap;
        }
        return java.util.Arrays.copyOf(all, n);
    }

    private void happens(
            ProcessFault fault, PersistentAgent agent, PersistentAgent next, long lasts, double size, long number) {
        event("fault", agent.name(), fault.kind().word());
        if (fault.kind() == ProcessFault.Kind.KILL || fault.kind() == ProcessFault.Kind.TERM) {
            agent.clockOff(fault.clock());
            agent.diskMost(fault.disk());
        }
        switch (fault.kind()) {
            case KILL -> {
                if (fault.state() == ProcessFault.State.ANOTHERS) {
                    // Both are copied before either changes.
                    hands.execute(() -> quietly(agent, "of another is copied", () -> {
                        FolderFaults.copy(next.folder(), copy(agent));
                        onLoop(() -> kill(agent, lasts, () -> state(fault.state(), agent, number)));
                    }));
                } else {
                    kill(agent, lasts, () -> state(fault.state(), agent, number));
                }
            }
            case TERM -> agent.shutDown(() -> {
                hand.processEnded(day.now(), agent.number);
                again(agent, lasts);
            });
            case STOP -> {
                ways.stopped(agent.number, true);
                agent.signal("STOP");
                day.schedule(day.now() + lasts, () -> {
                    event("fault", agent.name(), "wakes");
                    agent.signal("CONT");
                    ways.stopped(agent.number, false);
                });
            }
            case CRASH_LOOP -> crash(agent, lasts, (int) size);
            case CUT -> shape(fault, agent, lasts, LinkConditions.HELD);
            case DELAY -> shape(fault, agent, lasts, new LinkConditions(false, (long) (1000 * size), 0));
            case THROTTLE -> shape(fault, agent, lasts, new LinkConditions(false, 0, (long) (1000 * size)));
            case RESET, HALF_OPEN -> ways.breaks(
                    agent.number, fault.links(), fault.kind() == ProcessFault.Kind.HALF_OPEN);
            case OUT, BACK -> fault.nodos().forEach(each -> byHand(agent, each, fault.kind() == ProcessFault.Kind.OUT));
        }
    }

    private void shape(ProcessFault fault, PersistentAgent agent, long lasts, LinkConditions shape) {
        ways.shape(agent.number, fault.links(), fault.direction(), shape);
        day.schedule(day.now() + lasts, () -> {
            event("fault", agent.name(), "healed");
            ways.shape(agent.number, fault.links(), fault.direction(), LinkConditions.CLEAR);
        });
    }

    private void kill(PersistentAgent agent, long lasts, Runnable whileDead) {
        long startsAt = day.now() + lasts;
        if (!agent.machine().running()) {
            return;
        }
        int mine = agent.processCount();
        agent.signalled(process -> process.onExit()
                .thenRunAsync(
                        () -> {
                            whileDead.run();
                            onLoop(() -> {
                                if (agent.processCount() == mine) {
                                    again(agent, startsAt - day.now());
                                }
                            });
                        },
                        hands));
        agent.kill();
        hand.processEnded(day.now(), agent.number);
    }

    private void again(PersistentAgent agent, long inMicros) {
        day.schedule(day.now() + inMicros, () -> {
            if (!agent.machine().running() && !over) {
                agent.start();
            }
        });
    }

    /** Killed as soon as it is ready, over and over; the last time it is left alone. */
    private void crash(PersistentAgent agent, long pause, int times) {
        if (times > 0 && !over) {
            kill(agent, pause, () -> {});
            CompletableFuture.runAsync(
                    () -> {
                        try {
                            Thread.sleep(TimeUnit.MICROSECONDS.toMillis(pause));
                            while (!over && !agent.ready()) {
                                Thread.sleep(LOOK_MS);
                            }
                            onLoop(() -> crash(agent, pause, times - 1));
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    },
                    hands);
        }
    }

    // ---- Folders ----

    private interface Change {
        void make() throws IOException;
    }

    private Path copy(PersistentAgent agent) {
        return root.resolve("copy-of-" + agent.name());
    }

    private void quietly(PersistentAgent agent, String what, Change change) {
        try {
            change.make();
            onLoop(() -> event("folder", agent.name(), what));
        } catch (IOException e) {
            onLoop(() ->
                    day.checker.reportLeftover(day.now(), agent.name() + "'s folder could not be " + what + ": " + e));
        }
    }

    /** Changes the folder of a process that has ended. */
    private void state(ProcessFault.State state, PersistentAgent agent, long number) {
        Path folder = agent.folder();
        String what = state.name().toLowerCase(Locale.ROOT).replace('_', '-');
        switch (state) {
            case KEPT -> {}
            case WIPED -> quietly(agent, what, () -> FolderFaults.remove(folder));
            case OLDER, ANOTHERS -> quietly(agent, what, () -> FolderFaults.copy(copy(agent), folder));
            case TORN -> quietly(agent, what, () -> FolderFaults.tear(folder.resolve("kept")));
            case FLIPPED -> quietly(agent, what, () -> FolderFaults.flip(folder.resolve("kept"), number));
            case READ_ONLY -> quietly(
                    agent, what, () -> folder.resolve("kept").toFile().setWritable(false));
        }
    }

    // ---- Staff ----

    private void byHand(PersistentAgent agent, String nodo, boolean out) {
        var door = ways.relay(agent.number, Links.DOOR, agent.door()).address();
        int number = Integer.parseInt(nodo.substring("nodo-".length())) - 1;
        int process = agent.processCount();
        hands.execute(() -> {
            ManagementClient.Answer answer =
                    ManagementClient.call(door, "POST", "/backends/" + nodo + (out ? "/maint" : "/ready"));
            onLoop(() -> {
                event(
                        "staff",
                        agent.name(),
                        nodo + (out ? " out: " : " back: ") + answer.status() + " "
                                + answer.text().strip());
                if (answer.status() == 200 && agent.processCount() == process) {
                    hand.confirmed(
                            day.now(), agent.number, number, out, !answer.text().contains("not kept"));
                }
            });
        });
    }

    // ---- Loops ----

    private void onLoop(Runnable what) {
        if (!loop.isShuttingDown()) {
            loop.execute(what);
        }
    }

    private void await(long mostMs, Callable<Boolean> what) throws InterruptedException, IOException {
        for (long passed = 0; passed < mostMs && !on(what); passed += 50) {
            Thread.sleep(50);
        }
    }

    private <T> T on(Callable<T> what) throws InterruptedException, IOException {
        try {
            return loop.submit(what).get();
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause().getMessage()), e.getCause());
        }
    }
}
