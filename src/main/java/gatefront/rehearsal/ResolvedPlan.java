package gatefront.rehearsal;

import gatefront.rehearsal.plan.Fault;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.world.Demand;
import gatefront.rehearsal.world.NodoModel;
import gatefront.rehearsal.world.RandomStream;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * What a seed makes of a plan: every figure that the plan gives as a range. Each concern has a random source of
 * its own, so that one fault more or less leaves the rest as it was.
 *
 * @param nodos the nodos there are at the start
 * @param kinds what callers ask for
 * @param agentZones where the agents stand
 * @param agentShares what part of the requests each gets
 * @param tryShare the part of a class's time after which a try is given up
 * @param crossMicros one way between the salas
 * @param reportMicros how long a load report stands
 * @param probeMicros the work of a probe
 * @param connectionMicros the work of a new connection
 * @param troubles what goes wrong, by time
 */
record ResolvedPlan(
        List<Nodo> nodos,
        List<Demand.Kind> kinds,
        int[] agentZones,
        double[] agentShares,
        double tryShare,
        double crossMicros,
        long reportMicros,
        double probeMicros,
        double connectionMicros,
        List<Trouble> troubles) {
    /** A nodo: its place and its machine; {@code limit} is what its bloque leaves it. */
    record Nodo(int zone, int cell, String kind, double weight, NodoModel.Machine machine, double limit) {}

    /** A fault with its figures; targets are indexes of nodos or agents. Times in microseconds. */
    record Trouble(Fault fault, long at, long lasts, int[] targets, double size, long every, long spread) {
        /** When the last of those that it meets is done with. */
        long until() {
            return at + lasts + spread;
        }

        /** By how much later than the first the n-th of them is met. */
        long later(int n) {
            return targets.length < 2 ? 0 : spread * n / (targets.length - 1);
        }
    }

    static ResolvedPlan of(Plan plan, long seed) {
        RandomStream draw = new RandomStream(seed, "cast");
        Plan.Nodos told = plan.nodos();
        List<Demand.Kind> kinds = new ArrayList<>();
        for (Plan.RequestClass each : plan.classes()) {
            kinds.add(new Demand.Kind(
                    each.name(), each.share(), 1000 * each.workMs().sample(draw::between), each.variation()));
        }
        int agents = plan.agents().count();
        int[] zones = new int[agents];
        double[] shares = new double[agents];
        for (int i = 0; i < agents; i++) {
            zones[i] = zone(plan, i);
            shares[i] = 1 / StrictMath.pow(i + 1, plan.agents().skew());
        }
        List<Nodo> nodos = nodos(plan, new RandomStream(seed, "nodos"), new RandomStream(seed, "starts"));
        return new ResolvedPlan(
                nodos,
                List.copyOf(kinds),
                zones,
                shares,
                plan.clients().tryTimeoutShare().sample(draw::between),
                1000 * plan.network().crossZoneMs().sample(draw::between),
                (long) (1000 * told.reportMs().sample(draw::between)),
                1000 * told.probeMs().sample(draw::between),
                1000 * told.connectionMs().sample(draw::between),
                troubles(plan, seed));
    }

    private static NodoModel.Warmth warmth(double from, double seconds) {
        return new NodoModel.Warmth(from, (long) (1e6 * seconds));
    }

    private static List<Nodo> nodos(Plan plan, RandomStream draw, RandomStream starts) {
        Plan.Nodos told = plan.nodos();
        double[] shares =
                told.machines().stream().mapToDouble(Plan.Machine::share).toArray();
        double limitedShare = told.limited().sample(draw::between);
        List<Nodo> nodos = new ArrayList<>();
        int[] left = new int[plan.zones().size()];
        int[] cells = new int[plan.zones().size()];
        double[] limits = new double[plan.zones().size()];
        int[] kinds = dealt(shares, told.count(), draw);
        int nextCell = 0;
        for (int i = 0; i < told.count(); i++) {
            int zone = zone(plan, i);
            if (left[zone] == 0) {
                left[zone] = (int) StrictMath.rint(told.bloque().sample(draw::between));
                cells[zone] = nextCell++;
                limits[zone] = draw.unit() < limitedShare ? told.limit().sample(draw::between) : 1;
            }
            left[zone]--;
            Plan.Machine kind = told.machines().get(kinds[i]);
            double speed = kind.speed().sample(draw::between);
            NodoModel.Machine machine = new NodoModel.Machine(
                    kind.cores(),
                    speed,
                    kind.slots(),
                    kind.queueCapacity(),
                    kind.thrash(),
                    kind.thrashAt(),
                    warmth(
                            told.coldFrom().sample(starts::between),
                            told.coldSeconds().sample(starts::between)),
                    warmth(told.coldFrom().low(), told.coldSeconds().high()),
                    plan.rules().fallMultiple(),
                    (long) (1e6 * plan.rules().fallSeconds()));
            double weight = StrictMath.rint(10 * kind.cores() * speed * draw.between(0.8, 1.2)) / 10;
            nodos.add(new Nodo(zone, cells[zone], kind.name(), weight, machine, limits[zone]));
        }
        return List.copyOf(nodos);
    }

    /** As many of each kind as its share says, in an order of chance: a small fleet must not be all of one. */
    private static int[] dealt(double[] shares, int count, RandomStream draw) {
        double all = java.util.Arrays.stream(shares).sum();
        int[] dealt = new int[count];
        double due = 0;
        int next = 0;
        for (int kind = 0; kind < shares.length; kind++) {
            due += count * shares[kind] / all;
            while (next < count && (next < StrictMath.rint(due) || kind == shares.length - 1)) {
                dealt[next++] = kind;
            }
        }
        for (int i = count - 1; i > 0; i--) {
            int j = draw.below(i + 1);
            int swap = dealt[i];
            dealt[i] = dealt[j];
            dealt[j] = swap;
        }
        return dealt;
    }

    /** What all nodos can do, warm and with nothing wrong, in cores of speed 1. */
    double capacity() {
        return nodos.stream()
                .mapToDouble(each -> each.machine().cores() * each.machine().speed() * each.limit())
                .sum();
    }

    /** What callers ask for, in cores of speed 1. */
    double demand(double ratePerSecond) {
        double shares = kinds.stream().mapToDouble(Demand.Kind::share).sum();
        return ratePerSecond
                / 1e6
                * kinds.stream()
                        .mapToDouble(each -> each.meanWork() * each.share())
                        .sum()
                / shares;
    }

    private static List<Trouble> troubles(Plan plan, long seed) {
        List<Trouble> troubles = new ArrayList<>();
        for (int i = 0; i < plan.faults().size(); i++) {
            Fault fault = plan.faults().get(i);
            RandomStream draw = new RandomStream(seed, "fault " + i + " " + fault.kind());
            int most =
                    switch (fault.kind().target()) {
                        case NODOS -> plan.nodos().count();
                        case AGENTS -> plan.agents().count();
                        case NONE -> 0;
                    };
            troubles.add(new Trouble(
                    fault,
                    (long) (1e6 * fault.at().sample(draw::between)),
                    (long) (1e6 * fault.duration().sample(draw::between)),
                    targets(plan, fault, most, draw),
                    fault.size().sample(draw::between),
                    (long) (1e6 * fault.period().sample(draw::between)),
                    (long) (1e6 * fault.spread().sample(draw::between))));
        }
        troubles.sort((a, b) -> Long.compare(a.at, b.at));
        return List.copyOf(troubles);
    }

    /** Nodos and agents stand in the salas in turn. */
    private static int zone(Plan plan, int number) {
        return number % plan.zones().size();
    }

    private static int[] targets(Plan plan, Fault fault, int count, RandomStream draw) {
        if (!fault.names().isEmpty()) {
            return fault.names().stream()
                    .mapToInt(name -> Integer.parseInt(name.substring(name.indexOf('-') + 1)) - 1)
                    .toArray();
        }
        int[] all = IntStream.range(0, count)
                .filter(i -> fault.zone() < 0 || zone(plan, i) == fault.zone())
                .toArray();
        int most = all.length;
        int n = most == 0 || fault.share() == 0 ? 0 : Math.max(1, (int) StrictMath.rint(fault.share() * most));
        for (int i = 0; i < n; i++) { // the first steps of a shuffle
            int j = i + draw.below(most - i);
            int swap = all[i];
            all[i] = all[j];
            all[j] = swap;
        }
        return java.util.Arrays.copyOf(all, n);
    }
}
