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

/** One day that is played: what all the stand-ins of it share. */
final class RunContext {
    /** Makes the machines of a day, on virtual time or on sockets. */
    interface Machines {
        /** A machine in a zone; the log gets its process's lines. */
        Machine make(String name, InetAddress address, int zone, long memory, Log log);
    }

    /** Where a process's lines go. */
    interface Log {
        void line(String text);
    }

    /** How processes reach each other: straight, or over relays. */
    interface Ways {
        /** Nothing stands between. */
        Ways STRAIGHT = new Ways() {};

        /** Where an agent reaches a nodo that listens at an address. */
        default InetSocketAddress nodo(int agent, InetSocketAddress at) {
            return at;
        }

        /** Where an agent reaches its padrón. */
        default InetSocketAddress padron(int agent, InetSocketAddress at) {
            return at;
        }

        /** Whether what the padrón writes reaches an agent now. */
        default boolean heard(int agent) {
            return true;
        }

        /** For how long, at the most, the rig itself did nothing between two times of the day, in microseconds. */
        default long late(long from, long until) {
            return 0;
        }

        /** The earliest time at which an agent can have sent what a nodo reads now. */
        default long sentAt(int agent, long now) {
            return now;
        }

        /** Whether an agent ran, and its answers arrived, all the time between two times. */
        default boolean owes(int agent, long from, long until) {
            return true;
        }

        /** An agent has served a caller. */
        default void served(long now, int agent) {}

        /** The first of an attempt has come to a nodo. */
        default void begun(long now, int agent, int nodo) {}
    }

    final Plan plan;
    final long seed;
    /** Set before the day begins. */
    Ways ways = Ways.STRAIGHT;
    /** What the rig's own lateness may blur, in microseconds. */
    final long slack;

    final ResolvedPlan cast;
    /** What Thrift is spoken; null for HTTP. */
    final MessageFormat form;

    final RuleChecker checker;
    final RunRecorder record;
    final Machines machines;
    final LoopbackAddresses addresses;
    private final List<Machine> allMachines = new ArrayList<>();
    final PadronStandIn padron;
    final List<NodoStandIn> nodos = new ArrayList<>();
    final List<AgentStandIn> agents = new ArrayList<>();
    final List<ClientStandIn> callers = new ArrayList<>();
    /**
     * What each request on its way takes: entered when it is sent, removed by its caller some time after its
     * last try; no more than the tries of that time.
     */
    final Map<String, Demand.Want> wants = new HashMap<>();

    private final Map<Long, IdempotencyWindow> repeats = new LinkedHashMap<>();
    private final Machine world;
    private final long startNanos;
    private boolean strangers;
    private final IntFunction<AgentStandIn> agentStands;

    RunContext(
            Plan plan,
            long seed,
            long slack,
            LoopbackAddresses addresses,
            Machines machines,
            Function<RunContext, IntFunction<AgentStandIn>> agents) {
        this.plan = plan;
        this.seed = seed;
        this.slack = slack;
        this.machines = (name, address, zone, memory, log) -> {
            Machine made = machines.make(name, address, zone, memory, log);
            allMachines.add(made);
            return made;
        };
        this.addresses = addresses;
        this.cast = ResolvedPlan.of(plan, seed);
        this.form = ThriftPayloads.form(plan.network().protocol());
        this.checker = new RuleChecker(
                new RuleChecker.Limits(
                        (long) (1000 * plan.rules().answerSlackMs()),
                        (long) (1000 * plan.rules().drainGraceMs()),
                        slack),
                plan.classes().stream()
                        .map(each -> new RuleChecker.Kind(
                                each.name(), each.semantics(), each.scope(), (long) (1000 * each.windowMs())))
                        .toList());
        this.record = new RunRecorder(plan, cast);
        this.world = this.machines.make("world", addresses.of(0, 0), 0, 1 << 30, line -> {});
        this.startNanos = world.transport().nanos();
        this.padron = new PadronStandIn(this);
        this.agentStands = agents.apply(this);
    }

    /** Microseconds since the day began. */
    long now() {
        return micros(world.transport().nanos());
    }

    /** A time of the clock in microseconds of the day. */
    long micros(long nanos) {
        return (nanos - startNanos) / 1000;
    }

    /** A time of the day in microseconds of the clock that all processes of the machine share. */
    long clock(long micros) {
        return startNanos / 1000 + micros;
    }

    /** Milliseconds since 1970 by the time of day. */
    long wallMillis() {
        return world.transport().wallMicros() / 1000;
    }

    EventLoop loop() {
        return world.transport().loop();
    }

    RandomStream draw(String concern) {
        return new RandomStream(seed, concern);
    }

    /** Has something done at a time of the day; now, if that has passed. */
    void at(long micros, Runnable what) {
        loop().schedule(what, Math.max(0, micros - now()), TimeUnit.MICROSECONDS);
    }

    /** From now on nodos serve requests that no caller here has sent, with the mean work of their class. */
    void takeStrangers() {
        strangers = true;
    }

    /** What a request takes, or null if nobody here has sent it. */
    Demand.Want want(String id, String kind) {
        Demand.Want want = wants.get(id);
        int index =
                plan.classes().stream().map(Plan.RequestClass::name).toList().indexOf(kind);
        return want != null || !strangers || index < 0
                ? want
                : new Demand.Want(0, now(), index, 0, 0, cast.kinds().get(index).meanWork(), 1);
    }

    /** Brings everything up; callers come once all is ready. */
    void begin() {
        padron.start();
        for (int i = 0; i < cast.nodos().size(); i++) {
            NodoStandIn nodo = addNodo(cast.nodos().get(i));
            nodo.start(false);
            padron.list(nodo, 0);
        }
        for (int i = 0; i < plan.agents().count(); i++) {
            AgentStandIn agent = agentStands.apply(i);
            agents.add(agent);
            callers.add(new ClientStandIn(
                    this,
                    i,
                    machines.make("caller-" + (i + 1), addresses.of(9, i), cast.agentZones()[i], 1 << 30, line -> {}),
                    form == null ? agent.callers() : agent.thriftAddress()));
            agent.start();
        }
    }

    /** Ends all that belongs to it. */
    void close() {
        allMachines.forEach(Machine::kill);
    }

    /** Something of the day listens, or does not: then the day says nothing about the agents. */
    void listens(ChannelFuture bound, String who) {
        bound.addListener(done -> {
            if (!done.isSuccess()) {
                checker.left(now(), who + " cannot listen: " + done.cause().getMessage());
            }
        });
    }

    /** One more, on a machine of its own. */
    NodoStandIn addNodo(ResolvedPlan.Nodo spec) {
        int i = nodos.size();
        return addNodo(spec, machines.make("nodo-" + (i + 1), addresses.of(1, i), spec.zone(), 1 << 30, line -> {}));
    }

    /** The part of what all nodos that take requests can do that stands idle now. */
    double idlePart() {
        double idle = 0;
        double all = 0;
        for (NodoStandIn each : nodos) {
            if (each.up() && !each.leaving()) {
                idle += each.capacity()
                        * Math.max(
                                0,
                                1 - (double) each.held() / each.spec().machine().cores());
                all += each.capacity();
            }
        }
        return all == 0 ? 0 : idle / all;
    }

    NodoStandIn addNodo(ResolvedPlan.Nodo spec, Machine machine) {
        NodoStandIn nodo = new NodoStandIn(this, nodos.size(), spec, machine);
        nodos.add(nodo);
        return nodo;
    }

    /** What the group of a nodo remembers of one class's keyed requests. */
    IdempotencyWindow repeats(int kind, ResolvedPlan.Nodo nodo) {
        Plan.RequestClass type = plan.classes().get(kind);
        int group =
                switch (type.scope()) {
                    case ALL -> 0;
                    case ZONE -> nodo.zone();
                    case CELL -> nodo.cell();
                };
        return repeats.computeIfAbsent(
                (long) kind << 32 | group, key -> new IdempotencyWindow((long) (1000 * type.windowMs())));
    }
}
