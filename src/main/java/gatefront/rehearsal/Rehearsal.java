package gatefront.rehearsal;

import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.engine.Engine;
import gatefront.policy.Balancer;
import gatefront.rehearsal.net.LatencyModel;
import gatefront.rehearsal.net.Network;
import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.net.VirtualTime;
import gatefront.rehearsal.plan.Fault;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.world.Demand;
import gatefront.rehearsal.world.RandomStream;
import gatefront.transport.Transport;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * Runs a plan on virtual time with the real agents. Each thread runs one rehearsal at a time; several threads may run
 * rehearsals in parallel.
 */
public final class Rehearsal {
    /** Time at which traffic opens, which leaves the agents time to start; in microseconds of the run. */
    static final long OPENING_MICROS = 3_000_000;
    /** Time after the last operation has started, in microseconds: longer than any client waits or any nodo works. */
    private static final long TAIL_MICROS = 20_000_000;
    /** Time within which agents must shut down, in microseconds. */
    private static final long SHUTDOWN_MICROS = 5_000_000;
    /** The time of day at which each rehearsal starts: 2026-12-01 08:00 UTC. */
    private static final long EPOCH_MICROS = 1_796_112_000_000_000L;
    /** Segments carry the time at which they were sent; this is the rounding to microseconds. */
    private static final long SLACK_MICROS = 1_000;

    private static final int MAX_LOG_LINES = 2_000;
    /** On runs of this many seconds or more, no resource usage may keep rising. */
    private static final double SOAK_SECONDS = 3_600;
    /** Purposes for which nothing may be held once there is no traffic. */
    private static final List<ResourcePurpose> TRANSIENT_PURPOSES = List.of(
            ResourcePurpose.REQUESTS, ResourcePurpose.CALLS, ResourcePurpose.ANSWERS, ResourcePurpose.SERVER_ANSWERS);
    /** Timers that an idle agent may have: its own, and further ones per listed nodo. */
    private static final int MAX_IDLE_TIMERS = 16;

    private static final int TIMERS_PER_NODO = 2;

    private final Plan plan;
    private final long seed;
    private final Function<Engine, Balancer> balancerFactory;
    private DoubleConsumer progress = done -> {};
    private UnaryOperator<Transport> transportWrapper = UnaryOperator.identity();

    /**
     * Creates a rehearsal with the production decision module.
     *
     * @param plan the plan to run
     * @param seed the seed that determines the run
     */
    public Rehearsal(Plan plan, long seed) {
        this(plan, seed, Engine::createDefaultBalancer);
    }

    /** Creates a rehearsal with another decision module. */
    public Rehearsal(Plan plan, long seed, Function<Engine, Balancer> balancerFactory) {
        this.plan = plan;
        this.seed = seed;
        this.balancerFactory = balancerFactory;
    }

    /** Sets a listener that is told periodically what share of the run has passed. */
    public Rehearsal progress(DoubleConsumer listener) {
        progress = listener;
        return this;
    }

    /** Wraps the transport of each agent, for example to simulate faulty sockets. */
    Rehearsal wrapTransport(UnaryOperator<Transport> wrapper) {
        transportWrapper = wrapper;
        return this;
    }

    /**
     * Runs the plan.
     *
     * @return the result
     */
    public RehearsalResult run() {
        VirtualTime time = new VirtualTime();
        List<String> log = new ArrayList<>();
        ResolvedPlan resolvedPlan = ResolvedPlan.of(plan, seed);
        Network network = new Network(time, EPOCH_MICROS, latencyModel(resolvedPlan));
        RunContext context = new RunContext(
                plan,
                seed,
                SLACK_MICROS,
                LoopbackAddresses.forVirtualNetwork(),
                (name, address, zone, memory, lines) -> network.host(name, address, zone, memory, lines::line),
                runContext -> i -> new VirtualAgent(
                        runContext,
                        i,
                        runContext.machines.create(
                                "agent-" + (i + 1),
                                runContext.addresses.of(8, i),
                                runContext.resolvedPlan.agentZones()[i],
                                (long) plan.agents().memoryMb() << 18,
                                line -> log(log, runContext, i, line)),
                        transportWrapper,
                        balancerFactory));
        try {
            context.start();
            advanceTo(time, OPENING_MICROS);
            for (AgentStandIn agent : context.agents) {
                if (!agent.ready()) {
                    context.checker.reportLeftover(
                            context.now(), agent.name() + " was not ready when the callers came");
                }
            }
            openTraffic(context, OPENING_MICROS);
            long closesAt = OPENING_MICROS + (long) (1e6 * plan.seconds());
            for (long at = OPENING_MICROS; at < closesAt; at += 1_000_000) {
                advanceTo(time, Math.min(at + 1_000_000, closesAt));
                progress.accept((double) (at - OPENING_MICROS) / (closesAt - OPENING_MICROS));
            }
            advanceTo(time, closesAt + TAIL_MICROS);
            shutDown(context, time, closesAt + TAIL_MICROS);
        } catch (VirtualTime.LivelockException e) {
            context.checker.reportLeftover(context.now(), e.getMessage());
        }
        return new RehearsalResult(
                plan, seed, context.resolvedPlan, context.recorder, context.checker, log, time.tasks());
    }

    private static void log(List<String> log, RunContext context, int agent, String line) {
        if (log.size() < MAX_LOG_LINES) {
            log.add(String.format(
                    Locale.ROOT, "%.3f agent-%d %s", (context.now() - OPENING_MICROS) / 1e6, agent + 1, line));
        }
    }

    private static void advanceTo(VirtualTime time, long untilMicros) {
        time.run(TimeUnit.MICROSECONDS.toNanos(untilMicros));
    }

    /** Opens the traffic: schedules the operations, the plan's faults and a sample per second. */
    static void openTraffic(RunContext context, long openingMicros) {
        context.recorder.setOpeningMicros(openingMicros);
        List<Demand.RateChange> rateChanges = new ArrayList<>();
        for (ResolvedPlan.ScheduledFault scheduled : context.resolvedPlan.faults()) {
            if (scheduled.fault().kind() == Fault.Kind.JUMP) {
                rateChanges.add(
                        new Demand.RateChange(scheduled.startMicros(), scheduled.endMicros(), scheduled.size()));
            }
        }
        Demand demand = new Demand(
                context.random("demand"),
                context.plan.clients().rate(),
                context.resolvedPlan.classes(),
                context.plan.tenants().stream().mapToDouble(Plan.Tenant::share).toArray(),
                context.resolvedPlan.agentShares(),
                context.plan.clients().hintError(),
                rateChanges);
        scheduleNextOperation(context, demand, openingMicros);
        FaultScheduler.schedule(context, openingMicros);
        for (int second = 0; second < context.recorder.seconds; second++) {
            context.schedule(
                    openingMicros + second * 1_000_000L + 500_000,
                    () -> context.recorder.sample(context.now(), context.nodos, context.agents));
        }
    }

    private static void scheduleNextOperation(RunContext context, Demand demand, long openingMicros) {
        Demand.Operation operation = demand.next();
        if (operation.arrivalMicros() < (long) (1e6 * context.plan.seconds())) {
            Demand.Operation scheduled = new Demand.Operation(
                    operation.number(),
                    openingMicros + operation.arrivalMicros(),
                    operation.requestClass(),
                    operation.tenant(),
                    operation.agent(),
                    operation.workMicros(),
                    operation.hintMicros());
            context.schedule(scheduled.arrivalMicros(), () -> {
                context.clients.get(scheduled.agent()).start(scheduled);
                scheduleNextOperation(context, demand, openingMicros);
            });
        }
    }

    /** Reports what is still held although the traffic has ended. */
    private void reportLeftovers(RunContext context) {
        for (AgentStandIn agent : context.agents) {
            Engine.TrackedCounts tracked = ((VirtualAgent) agent).trackedCounts();
            if (tracked != null && (tracked.requests() > 0 || tracked.attempts() > 0)) {
                context.checker.reportLeftover(
                        context.now(),
                        agent.name() + " still holds " + tracked.requests() + " requests and " + tracked.attempts()
                                + " attempts");
            }
            ResourceBudget budget = agent.budget();
            if (budget != null) {
                budget.drift()
                        .forEach(line -> context.checker.reportLeftover(context.now(), agent.name() + ": " + line));
                for (ResourcePurpose purpose : TRANSIENT_PURPOSES) {
                    if (budget.account(purpose).entries() != 0
                            || budget.account(purpose).bytes() != 0) {
                        context.checker.reportLeftover(
                                context.now(),
                                agent.name() + " still accounts for "
                                        + budget.account(purpose).entries() + " entries of "
                                        + budget.account(purpose).bytes() + " bytes of "
                                        + purpose.label());
                    }
                }
            }
            if (tracked != null
                    && tracked.servers() > context.padron.listedNames().size()) {
                context.checker.reportLeftover(
                        context.now(),
                        agent.name() + " keeps something for " + tracked.servers() + " nodos, of which "
                                + context.padron.listedNames().size() + " are listed");
            }
        }
        if (plan.seconds() >= SOAK_SECONDS) {
            context.recorder
                    .resourceUsage
                    .describeRises()
                    .forEach(line -> context.checker.reportLeftover(context.now(), line));
        }
        if (context.recorder.openOperations() > 0) {
            context.checker.reportLeftover(context.now(), context.recorder.openOperations() + " callers still wait");
        }
    }

    /** Checks that nothing is held after the end of the traffic, and shuts the agents down. */
    private void shutDown(RunContext context, VirtualTime time, long atMicros) {
        reportLeftovers(context);
        context.agents.forEach(agent -> agent.shutDown(() -> {}));
        advanceTo(time, atMicros + SHUTDOWN_MICROS);
        for (AgentStandIn agent : context.agents) {
            if (agent.machine().running()) {
                context.checker.reportLeftover(
                        context.now(),
                        agent.name() + " has not ended, " + ((VirtualHost) agent.machine()).openChannels()
                                + " connections are open");
            }
            int timers = ((VirtualHost) agent.machine()).droppedTimers();
            if (timers
                    > MAX_IDLE_TIMERS
                            + TIMERS_PER_NODO * context.padron.listedNames().size()) {
                context.checker.reportLeftover(
                        context.now(), agent.name() + " ended with " + timers + " timers pending");
            }
        }
        context.checker.close(context.now());
    }

    private LatencyModel latencyModel(ResolvedPlan resolvedPlan) {
        RandomStream random = new RandomStream(seed, "links");
        Plan.Network network = plan.network();
        double nanosPerByte = 8_000 / network.megabitsPerSecond();
        return (from, to, bytes) -> {
            double oneWayMillis = from == to
                    ? 0.02
                    : isClient(from) || isClient(to)
                            ? network.clientMs()
                            : from.zone() == to.zone() ? network.sameZoneMs() : resolvedPlan.crossZoneMicros() / 1000;
            double jitter = 1 + network.jitter() * (2 * random.nextDouble() - 1);
            return (long) (1e6 * oneWayMillis * jitter + bytes * nanosPerByte);
        };
    }

    private static boolean isClient(VirtualHost host) {
        return host.name().startsWith("caller");
    }
}
