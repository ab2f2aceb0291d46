package gatefront.rehearsal;

import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.net.Machine;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.world.Demand;
import gatefront.rehearsal.world.IdempotencyWindow;
import gatefront.rehearsal.world.RandomStream;
import gatefront.thrift.codec.MessageFormat;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntFunction;

/** One run of a plan: the state that all its stand-ins share. */
final class RunContext {
    /** Creates the machines of a run, on virtual time or on sockets. */
    interface MachineFactory {
        /** Creates a machine in a zone; the sink gets the log lines of its process. */
        Machine create(String name, InetAddress address, int zone, long memory, LogSink log);
    }

    /** Receives the log lines of a process. */
    interface LogSink {
        void line(String text);
    }

    /** The network paths between processes: direct or through relays. */
    interface NetworkPaths {
        /** Direct connections. */
        NetworkPaths DIRECT = new NetworkPaths() {};

        /** Returns the address at which an agent reaches a nodo that listens at an address. */
        default InetSocketAddress nodoAddress(int agent, InetSocketAddress listenAddress) {
            return listenAddress;
        }

        /** Returns the address at which an agent reaches its padrón. */
        default InetSocketAddress padronAddress(int agent, InetSocketAddress listenAddress) {
            return listenAddress;
        }

        /** Whether messages from the padrón reach an agent now. */
        default boolean padronReaches(int agent) {
            return true;
        }

        /**
         * Returns the longest time for which the rehearsal itself stalled between two times of the run, in
         * microseconds.
         */
        default long maxStallMicros(long from, long until) {
            return 0;
        }

        /** Returns the earliest time at which an agent can have sent what a nodo reads now, in microseconds. */
        default long earliestSendMicros(int agent, long now) {
            return now;
        }

        /** Whether an agent ran, and its responses could arrive, during the whole period between two times. */
        default boolean reachableThroughout(int agent, long from, long until) {
            return true;
        }

        /** Called when an agent has served a request. */
        default void requestServed(long now, int agent) {}

        /** Called when the first bytes of an attempt have arrived at a nodo. */
        default void attemptStarted(long now, int agent, int nodo) {}
    }

    final Plan plan;
    final long seed;
    /** Set before the run starts. */
    NetworkPaths paths = NetworkPaths.DIRECT;
    /** Tolerance for the rehearsal's own delays, in microseconds. */
    final long slackMicros;

    final ResolvedPlan resolvedPlan;
    /** The Thrift format in use, or null for HTTP. */
    final MessageFormat thriftFormat;

    final RuleChecker checker;
    final RunRecorder recorder;
    final MachineFactory machines;
    final LoopbackAddresses addresses;
    private final List<Machine> allMachines = new ArrayList<>();
    final PadronStandIn padron;
    final List<NodoStandIn> nodos = new ArrayList<>();
    final List<AgentStandIn> agents = new ArrayList<>();
    final List<ClientStandIn> clients = new ArrayList<>();
    /**
     * The operation of each request id: added when the request is sent, removed by its client some time after the try
     * has ended. Bounded by the number of tries in that time.
     */
    final Map<String, Demand.Operation> operations = new HashMap<>();

    private final Map<Long, IdempotencyWindow> idempotencyWindows = new LinkedHashMap<>();
    /** The machine of the rehearsal itself, whose event loop runs scheduled tasks. */
    private final Machine worldMachine;

    private final long startNanos;
    private boolean servesUnknownRequests;
    private final IntFunction<AgentStandIn> agentFactory;

    RunContext(
            Plan plan,
            long seed,
            long slackMicros,
            LoopbackAddresses addresses,
            MachineFactory machines,
            Function<RunContext, IntFunction<AgentStandIn>> agents) {
        this.plan = plan;
        this.seed = seed;
        this.slackMicros = slackMicros;
        this.machines = (name, address, zone, memory, log) -> {
            Machine machine = machines.create(name, address, zone, memory, log);
            allMachines.add(machine);
            return machine;
        };
        this.addresses = addresses;
        this.resolvedPlan = ResolvedPlan.of(plan, seed);
        this.thriftFormat = ThriftPayloads.format(plan.network().protocol());
        this.checker = new RuleChecker(
                new RuleChecker.Limits(
                        (long) (1000 * plan.rules().answerSlackMs()),
                        (long) (1000 * plan.rules().drainGraceMs()),
                        slackMicros),
                plan.classes().stream()
                        .map(requestClass -> new RuleChecker.RequestClass(
                                requestClass.name(), requestClass.semantics(), requestClass.scope(), (long)
                                        (1000 * requestClass.windowMs())))
                        .toList());
        this.recorder = new RunRecorder(plan, resolvedPlan);
        this.worldMachine = this.machines.create("world", addresses.of(0, 0), 0, 1 << 30, line -> {});
        this.startNanos = worldMachine.transport().nanos();
        this.padron = new PadronStandIn(this);
        this.agentFactory = agents.apply(this);
    }

    /** Returns the microseconds since the run started. */
    long now() {
        return toRunMicros(worldMachine.transport().nanos());
    }

    /** Converts nanoseconds of the clock to microseconds of the run. */
    long toRunMicros(long nanos) {
        return (nanos - startNanos) / 1000;
    }

    /** Converts microseconds of the run to microseconds of the clock that all processes of the machine share. */
    long toClockMicros(long micros) {
        return startNanos / 1000 + micros;
    }

    /** Returns the time of day in milliseconds since 1970. */
    long wallMillis() {
        return worldMachine.transport().wallMicros() / 1000;
    }

    EventLoop loop() {
        return worldMachine.transport().loop();
    }

    RandomStream random(String purpose) {
        return new RandomStream(seed, purpose);
    }

    /** Schedules a task at a time of the run, or at once if that time has passed. */
    void schedule(long atMicros, Runnable task) {
        loop().schedule(task, Math.max(0, atMicros - now()), TimeUnit.MICROSECONDS);
    }

    /** Lets nodos serve requests that no client of this run has sent, with the mean work of their class. */
    void serveUnknownRequests() {
        servesUnknownRequests = true;
    }

    /** Returns the operation of a request, or null if no client of this run has sent it. */
    Demand.Operation operation(String id, String className) {
        Demand.Operation known = operations.get(id);
        int classIndex =
                plan.classes().stream().map(Plan.RequestClass::name).toList().indexOf(className);
        return known != null || !servesUnknownRequests || classIndex < 0
                ? known
                : new Demand.Operation(
                        0,
                        now(),
                        classIndex,
                        0,
                        0,
                        resolvedPlan.classes().get(classIndex).meanWorkMicros(),
                        1);
    }

    /** Starts the padrón, the nodos and the agents. Traffic opens once all are ready. */
    void start() {
        padron.start();
        for (int i = 0; i < resolvedPlan.nodos().size(); i++) {
            NodoStandIn nodo = addNodo(resolvedPlan.nodos().get(i));
            nodo.start(false);
            padron.list(nodo, 0);
        }
        for (int i = 0; i < plan.agents().count(); i++) {
            AgentStandIn agent = agentFactory.apply(i);
            agents.add(agent);
            clients.add(new ClientStandIn(
                    this,
                    i,
                    machines.create(
                            "caller-" + (i + 1),
                            addresses.of(9, i),
                            resolvedPlan.agentZones()[i],
                            1 << 30,
                            line -> {}),
                    thriftFormat == null ? agent.clientAddress() : agent.thriftAddress()));
            agent.start();
        }
    }

    /** Kills all machines of the run. */
    void close() {
        allMachines.forEach(Machine::kill);
    }

    /** Reports a failure to bind, after which the run says nothing about the agents. */
    void reportBindFailure(ChannelFuture bound, String name) {
        bound.addListener(done -> {
            if (!done.isSuccess()) {
                checker.reportLeftover(
                        now(), name + " cannot listen: " + done.cause().getMessage());
            }
        });
    }

    /** Adds a nodo on a new machine. */
    NodoStandIn addNodo(ResolvedPlan.Nodo spec) {
        int i = nodos.size();
        return addNodo(spec, machines.create("nodo-" + (i + 1), addresses.of(1, i), spec.zone(), 1 << 30, line -> {}));
    }

    /** Returns the share of the capacity of all nodos that accept requests which is idle now. */
    double idleShare() {
        double idle = 0;
        double total = 0;
        for (NodoStandIn nodo : nodos) {
            if (nodo.up() && !nodo.draining()) {
                idle += nodo.capacity()
                        * Math.max(
                                0,
                                1
                                        - (double) nodo.heldRequests()
                                                / nodo.spec().machine().cores());
                total += nodo.capacity();
            }
        }
        return total == 0 ? 0 : idle / total;
    }

    NodoStandIn addNodo(ResolvedPlan.Nodo spec, Machine machine) {
        NodoStandIn nodo = new NodoStandIn(this, nodos.size(), spec, machine);
        nodos.add(nodo);
        return nodo;
    }

    /** Returns the idempotency window that a nodo's group shares for one class. */
    IdempotencyWindow idempotencyWindow(int classIndex, ResolvedPlan.Nodo nodo) {
        Plan.RequestClass requestClass = plan.classes().get(classIndex);
        int group =
                switch (requestClass.scope()) {
                    case ALL -> 0;
                    case ZONE -> nodo.zone();
                    case CELL -> nodo.cell();
                };
        return idempotencyWindows.computeIfAbsent(
                (long) classIndex << 32 | group, key -> new IdempotencyWindow((long) (1000 * requestClass.windowMs())));
    }
}
