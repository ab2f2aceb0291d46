package gatefront.rehearsal;

import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.processes.LoopLateness;
import gatefront.rehearsal.processes.ProcessReaper;
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
 * Runs a plan in real time, on loopback sockets, against agents in processes of their own. This tests the rig itself,
 * and what virtual time cannot show of an agent: its CPU use, the kernel and the JVM. Runs are not reproducible.
 */
public final class RealRehearsal {
    private static final long READY_TIMEOUT_MS = 30_000;
    /** Tolerance for delays in the kernel and in this process, in microseconds. */
    private static final long SLACK_MICROS = 100_000;

    /** Maximum wait for the outstanding requests after traffic has ended. */
    private static final long COMPLETION_TIMEOUT_MS = 8_000;
    /** Wait for work that healthy servers still do for abandoned attempts. */
    private static final long SETTLE_MS = 1_000;

    /** Maximum wait for the agents to exit after SIGTERM. */
    private static final long EXIT_TIMEOUT_MS = 6_000;

    private static final int MAX_LOG_LINES = 2_000;
    private static final int STARTER_THREADS = 4;
    /** Delays of the rig beyond this make a run doubtful, in microseconds. */
    private static final long MAX_LATENESS_MICROS = 20_000;

    private final Plan plan;
    private final long seed;
    private final List<String> agentCommand;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ExecutorService starter = Executors.newFixedThreadPool(STARTER_THREADS, task -> {
        Thread thread = new Thread(task, "starter");
        thread.setDaemon(true);
        return thread;
    });
    private final LoopLateness lateness = new LoopLateness();
    private final List<String> log = new ArrayList<>();
    /** When traffic starts, in rehearsal time. */
    private long trafficStartMicros;

    /**
     * Creates a rehearsal in real time.
     *
     * @param plan the plan
     * @param seed the seed of all random choices
     * @param agentCommand the command that runs an agent, which is configured by RELAY_CONFIG
     */
    public RealRehearsal(Plan plan, long seed, List<String> agentCommand) {
        this.plan = plan;
        this.seed = seed;
        this.agentCommand = List.copyOf(agentCommand);
    }

    /**
     * Returns the command that runs an agent with the class path of this process. If a class data sharing archive lies
     * next to the jar, it is used as in production; without it a start takes twice the CPU time.
     */
    public static List<String> currentJvmCommand() {
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
     * Runs the rehearsal.
     *
     * @param progress receives the elapsed share of the run, several times a second
     * @return the result
     * @throws IOException if an agent cannot be started or does not become ready
     */
    public RehearsalResult play(DoubleConsumer progress) throws IOException {
        Path folder = Files.createTempDirectory("gatefront-rehearsal");
        ProcessReaper reaper = ProcessReaper.start();
        List<AgentStandIn> started = new ArrayList<>();
        RunContext[] created = new RunContext[1];
        try {
            LoopbackAddresses addresses = LoopbackAddresses.forThisProcess();
            RunContext context = callOnLoop(() -> new RunContext(
                    plan,
                    seed,
                    SLACK_MICROS,
                    addresses,
                    (name, address, zone, memory, lines) -> new LoopbackMachine(name, address, loop),
                    owner -> i -> {
                        AgentStandIn agent = new ProcessAgent(
                                owner,
                                i,
                                addresses.of(8, i),
                                agentCommand,
                                folder,
                                reaper,
                                starter,
                                line -> log(owner, i, line));
                        started.add(agent);
                        return agent;
                    }));
            created[0] = context;
            lateness.watch(loop);
            RealTimeRig rig = new RealTimeRig(context, lateness);
            context.paths = rig;
            context.checker.useEnvironment(rig);
            callOnLoop(() -> {
                context.start();
                return null;
            });
            awaitReady(context);
            trafficStartMicros = callOnLoop(() -> {
                long now = context.now() + 100_000;
                lateness.reset();
                Rehearsal.openTraffic(context, now);
                return now;
            });
            long lengthMs = (long) (1000 * plan.seconds());
            for (long passed = 0; passed < lengthMs; passed += 250) {
                progress.accept((double) passed / lengthMs);
                Thread.sleep(250);
            }
            progress.accept(1);
            awaitOnLoop(COMPLETION_TIMEOUT_MS, () -> context.recorder.openOperations() == 0);
            Thread.sleep(SETTLE_MS);
            callOnLoop(() -> {
                context.agents.forEach(agent -> agent.shutDown(() -> {}));
                return null;
            });
            awaitOnLoop(EXIT_TIMEOUT_MS, () -> context.agents.stream()
                    .noneMatch(agent -> agent.machine().running()));
            return callOnLoop(() -> {
                for (AgentStandIn agent : context.agents) {
                    if (agent.machine().running()) {
                        context.checker.reportLeftover(context.now(), agent.name() + " has not ended");
                    }
                }
                context.checker.close(context.now());
                log.add(String.format(
                        Locale.ROOT,
                        "the rig was late by %.1f ms at the most, and %d times by over %d ms",
                        lateness.maxMicros() / 1e3,
                        lateness.countOver(MAX_LATENESS_MICROS),
                        MAX_LATENESS_MICROS / 1000));
                return new RehearsalResult(
                        plan, seed, context.resolvedPlan, context.recorder, context.checker, List.copyOf(log), 0);
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("rehearsal interrupted", e);
        } finally {
            started.forEach(agent -> agent.machine().kill());
            reaper.close();
            if (created[0] != null) {
                loop.submit(created[0]::close).awaitUninterruptibly();
            }
            starter.shutdown();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            delete(folder);
        }
    }

    private void log(RunContext context, int agent, String line) {
        if (log.size() < MAX_LOG_LINES) {
            log.add(String.format(
                    Locale.ROOT, "%.3f agent-%d %s", (context.now() - trafficStartMicros) / 1e6, agent + 1, line));
        }
    }

    /** Polls a condition on the event loop until it holds or the timeout has passed. */
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

    private static void awaitReady(RunContext context) throws InterruptedException, IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        for (AgentStandIn agent : context.agents) {
            while (!agent.ready()) {
                if (System.nanoTime() > end || !agent.machine().running()) {
                    throw new IOException(agent.name() + " did not become ready");
                }
                Thread.sleep(20);
            }
        }
    }

    private static void delete(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
