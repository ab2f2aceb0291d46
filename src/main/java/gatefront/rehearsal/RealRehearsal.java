package gatefront.rehearsal;

import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.processes.LoopLateness;
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
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

/**
 * Plays a plan in real time, on loopback sockets, against agents in processes of their own. It checks the rig
 * itself, and the agent where virtual time cannot: its own CPU, the kernel, the JVM. It repeats nothing exactly.
 */
public final class RealRehearsal {
    private static final long READY_MS = 30_000;
    /** What the kernel's and this process's lateness may blur, in microseconds. */
    private static final long SLACK = 100_000;

    private static final long TAIL_MS = 8_000;
    /** What nodos still work on has ended by then, where nothing is wrong with them. */
    private static final long SETTLE_MS = 1_000;

    private static final long ENDING_MS = 6_000;
    private static final int LINES_MOST = 2_000;
    private static final int STARTERS = 4;
    /** The rig is to be late by no more, in microseconds. */
    private static final long LATE_MOST = 20_000;

    private final Plan plan;
    private final long seed;
    private final List<String> agentCommand;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ExecutorService starter = Executors.newFixedThreadPool(STARTERS, task -> {
        Thread thread = new Thread(task, "starter");
        thread.setDaemon(true);
        return thread;
    });
    private final LoopLateness lateness = new LoopLateness();
    private final List<String> log = new ArrayList<>();
    private long opensAt;

    /**
     * A rehearsal in real time.
     *
     * @param plan what is played
     * @param seed for what is drawn
     * @param agentCommand runs one agent, as its RELAY_CONFIG says
     */
    public RealRehearsal(Plan plan, long seed, List<String> agentCommand) {
        this.plan = plan;
        this.seed = seed;
        this.agentCommand = List.copyOf(agentCommand);
    }

    /**
     * The command that runs an agent with the classes of this very program, and with the archive of classes that lies
     * beside its jar, if one does, as in service: without it a start takes twice the processor.
     */
    public static List<String> ownCommand() {
        String classes = System.getProperty("java.class.path");
        Path archive = Path.of(classes.replaceFirst("\\.jar$", ".jsa"));
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-Xss256k",
                "-XX:MaxDirectMemorySize=16m"));
        if (classes.endsWith(".jar") && Files.exists(archive)) {
            command.addAll(List.of(
                    "-Xshare:auto", "-XX:SharedArchiveFile=" + archive, "-Xlog:disable", "-Xlog:all=error:stderr"));
        }
        command.addAll(List.of("-cp", classes, "gatefront.cli.Main", "serve"));
        return List.copyOf(command);
    }

    /**
     * Plays the day.
     *
     * @param progress is told now and then which part has passed
     * @return what came of it
     * @throws IOException if an agent cannot be started or does not get ready
     */
    public RehearsalResult play(DoubleConsumer progress) throws IOException {
        Path folder = Files.createTempDirectory("gatefront-rehearsal");
        List<AgentStandIn> started = new ArrayList<>();
        RunContext[] played = new RunContext[1];
        try {
            LoopbackAddresses addresses = LoopbackAddresses.ofProcess();
            RunContext day = on(() -> new RunContext(
                    plan,
                    seed,
                    SLACK,
                    addresses,
                    (name, address, zone, memory, lines) -> new LoopbackMachine(name, address, loop),
                    made -> i -> {
                        AgentStandIn agent = new ProcessAgent(
                                made, i, addresses.of(8, i), agentCommand, folder, starter, line -> log(made, i, line));
                        started.add(agent);
                        return agent;
                    }));
            played[0] = day;
            lateness.watch(loop);
            RealTimeRig rig = new RealTimeRig(day, lateness);
            day.paths = rig;
            day.checker.useEnvironment(rig);
            on(() -> {
                day.start();
                return null;
            });
            awaitReady(day);
            opensAt = on(() -> {
                long now = day.now() + 100_000;
                lateness.opens();
                Rehearsal.openTraffic(day, now);
                return now;
            });
            long lengthMs = (long) (1000 * plan.seconds());
            for (long passed = 0; passed < lengthMs; passed += 250) {
                progress.accept((double) passed / lengthMs);
                Thread.sleep(250);
            }
            progress.accept(1);
            await(TAIL_MS, () -> day.recorder.openOperations() == 0);
            Thread.sleep(SETTLE_MS);
            on(() -> {
                day.agents.forEach(each -> each.shutDown(() -> {}));
                return null;
            });
            await(ENDING_MS, () -> day.agents.stream()
                    .noneMatch(each -> each.machine().running()));
            return on(() -> {
                for (AgentStandIn each : day.agents) {
                    if (each.machine().running()) {
                        day.checker.reportLeftover(day.now(), each.name() + " has not ended");
                    }
                }
                day.checker.close(day.now());
                log.add(String.format(
                        Locale.ROOT,
                        "the rig was late by %.1f ms at the most, and %d times by over %d " + "ms",
                        lateness.worst() / 1e3,
                        lateness.over(LATE_MOST),
                        LATE_MOST / 1000));
                return new RehearsalResult(
                        plan, seed, day.resolvedPlan, day.recorder, day.checker, List.copyOf(log), 0);
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            started.forEach(each -> each.machine().kill());
            if (played[0] != null) {
                loop.submit(played[0]::close).awaitUninterruptibly();
            }
            starter.shutdown();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            delete(folder);
        }
    }

    private void log(RunContext day, int agent, String line) {
        if (log.size() < LINES_MOST) {
            log.add(String.format(Locale.ROOT, "%.3f agent-%d %s", (day.now() - opensAt) / 1e6, agent + 1, line));
        }
    }

    /** Waits for something on the loop, or until it has taken too long. */
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

    private static void awaitReady(RunContext day) throws InterruptedException, IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        for (AgentStandIn each : day.agents) {
            while (!each.ready()) {
                if (System.nanoTime() > end || !each.machine().running()) {
                    throw new IOException(each.name() + " did not get ready");
                }
                Thread.sleep(20);
            }
        }
    }

    private static void delete(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            for (Path each : files.toList()) {
                Files.delete(each);
            }
        }
        Files.delete(folder);
    }
}
