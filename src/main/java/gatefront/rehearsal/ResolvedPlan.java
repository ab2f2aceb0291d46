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
 * A plan with every range resolved to a figure by the seed. Each purpose has its own source of random numbers, so
 * that adding or removing a fault leaves the other figures unchanged.
 *
 * @param nodos the initial nodos
 * @param classes the classes of requests
 * @param agentZones the zone index of each agent
 * @param agentShares the relative share of requests that each agent gets
 * @param tryShare the share of a class's time to give up after which one try is given up
 * @param crossZoneMicros the one-way latency between salas, in microseconds
 * @param loadReportMicros how long a load report remains in force, in microseconds
 * @param probeWorkMicros the work of a probe, in microseconds on a core of speed 1
 * @param connectionWorkMicros the work of a new connection, in microseconds on a core of speed 1
 * @param faults the faults, by start time
 */
record ResolvedPlan(
        List<Nodo> nodos,
        List<Demand.RequestClass> classes,
        int[] agentZones,
        double[] agentShares,
        double tryShare,
        double crossZoneMicros,
        long loadReportMicros,
        double probeWorkMicros,
        double connectionWorkMicros,
        List<ScheduledFault> faults) {
    /** A nodo with its place and machine; {@code limit} is the share of its capacity that its bloque allows. */
    record Nodo(int zone, int cell, String kind, double weight, NodoModel.Machine machine, double limit) {}

    /** A fault with its resolved figures; targets are indexes of nodos or agents. Times count from the opening. */
    record ScheduledFault(
            Fault fault,
            long startMicros,
            long durationMicros,
            int[] targets,
            double size,
            long periodMicros,
            long spreadMicros) {
        /** Returns when the fault has ended for the last of its targets. */
        long endMicros() {
            return startMicros + durationMicros + spreadMicros;
        }

        /** Returns by how much later the fault starts for the target at an index than for the first. */
        long offsetMicros(int index) {
            return targets.length < 2 ? 0 : spreadMicros * index / (targets.length - 1);
        }
    }

    static ResolvedPlan of(Plan plan, long seed) {
        RandomStream random = new RandomStream(seed, "cast");
        Plan.Nodos nodoPlan = plan.nodos();
        List<Demand.RequestClass> classes = new ArrayList<>();
        for (Plan.RequestClass requestClass : plan.classes()) {
            classes.add(new Demand.RequestClass(
                    requestClass.name(),
                    requestClass.share(),
                    1000 * requestClass.workMs().sample(random::uniform),
                    requestClass.variation()));
        }
        int agentCount = plan.agents().count();
        int[] agentZones = new int[agentCount];
        double[] agentShares = new double[agentCount];
        for (int i = 0; i < agentCount; i++) {
            agentZones[i] = zone(plan, i);
            agentShares[i] = 1 / StrictMath.pow(i + 1, plan.agents().skew());
        }
        List<Nodo> nodos = nodos(plan, new RandomStream(seed, "nodos"), new RandomStream(seed, "starts"));
        return new ResolvedPlan(
                nodos,
                List.copyOf(classes),
                agentZones,
                agentShares,
                plan.clients().tryTimeoutShare().sample(random::uniform),
                1000 * plan.network().crossZoneMs().sample(random::uniform),
                (long) (1000 * nodoPlan.reportMs().sample(random::uniform)),
                1000 * nodoPlan.probeMs().sample(random::uniform),
                1000 * nodoPlan.connectionMs().sample(random::uniform),
                resolveFaults(plan, seed));
    }

    private static NodoModel.Warmup warmup(double initialShare, double durationSeconds) {
        return new NodoModel.Warmup(initialShare, (long) (1e6 * durationSeconds));
    }

    private static List<Nodo> nodos(Plan plan, RandomStream random, RandomStream startRandom) {
        Plan.Nodos nodoPlan = plan.nodos();
        double[] kindShares =
                nodoPlan.machines().stream().mapToDouble(Plan.Machine::share).toArray();
        double limitedShare = nodoPlan.limited().sample(random::uniform);
        List<Nodo> nodos = new ArrayList<>();
        int[] remainingInCell = new int[plan.zones().size()];
        int[] cells = new int[plan.zones().size()];
        double[] cellLimits = new double[plan.zones().size()];
        int[] kindIndexes = assignKinds(kindShares, nodoPlan.count(), random);
        int nextCell = 0;
        for (int i = 0; i < nodoPlan.count(); i++) {
            int zone = zone(plan, i);
            if (remainingInCell[zone] == 0) {
                remainingInCell[zone] = (int) StrictMath.rint(nodoPlan.bloque().sample(random::uniform));
                cells[zone] = nextCell++;
                cellLimits[zone] =
                        random.nextDouble() < limitedShare ? nodoPlan.limit().sample(random::uniform) : 1;
            }
            remainingInCell[zone]--;
            Plan.Machine kind = nodoPlan.machines().get(kindIndexes[i]);
            double speed = kind.speed().sample(random::uniform);
            NodoModel.Machine machine = new NodoModel.Machine(
                    kind.cores(),
                    speed,
                    kind.slots(),
                    kind.queueCapacity(),
                    kind.thrash(),
                    kind.thrashAt(),
                    warmup(
                            nodoPlan.coldFrom().sample(startRandom::uniform),
                            nodoPlan.coldSeconds().sample(startRandom::uniform)),
                    warmup(nodoPlan.coldFrom().low(), nodoPlan.coldSeconds().high()),
                    plan.rules().fallMultiple(),
                    (long) (1e6 * plan.rules().fallSeconds()));
            double weight = StrictMath.rint(10 * kind.cores() * speed * random.uniform(0.8, 1.2)) / 10;
            nodos.add(new Nodo(zone, cells[zone], kind.name(), weight, machine, cellLimits[zone]));
        }
        return List.copyOf(nodos);
    }

    /**
     * Assigns as many nodos to each kind as its share says, in random order. Drawing each nodo independently could
     * give a small fleet nodos of one kind only.
     */
    private static int[] assignKinds(double[] shares, int count, RandomStream random) {
        double totalShare = java.util.Arrays.stream(shares).sum();
        int[] assigned = new int[count];
        double due = 0;
        int next = 0;
        for (int kind = 0; kind < shares.length; kind++) {
            due += count * shares[kind] / totalShare;
            while (next < count && (next < StrictMath.rint(due) || kind == shares.length - 1)) {
                assigned[next++] = kind;
            }
        }
        for (int i = count - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            int swap = assigned[i];
            assigned[i] = assigned[j];
            assigned[j] = swap;
        }
        return assigned;
    }

    /** Returns the capacity of all nodos when warm and without faults, in cores of speed 1. */
    double capacity() {
        return nodos.stream()
                .mapToDouble(nodo -> nodo.machine().cores() * nodo.machine().speed() * nodo.limit())
                .sum();
    }

    /** Returns the work demanded by clients, in cores of speed 1. */
    double demand(double ratePerSecond) {
        double totalShare =
                classes.stream().mapToDouble(Demand.RequestClass::share).sum();
        return ratePerSecond
                / 1e6
                * classes.stream()
                        .mapToDouble(requestClass -> requestClass.meanWorkMicros() * requestClass.share())
                        .sum()
                / totalShare;
    }

    private static List<ScheduledFault> resolveFaults(Plan plan, long seed) {
        List<ScheduledFault> scheduledFaults = new ArrayList<>();
        for (int i = 0; i < plan.faults().size(); i++) {
            Fault fault = plan.faults().get(i);
            RandomStream random = new RandomStream(seed, "fault " + i + " " + fault.kind());
            int memberCount =
                    switch (fault.kind().target()) {
                        case NODOS -> plan.nodos().count();
                        case AGENTS -> plan.agents().count();
                        case NONE -> 0;
                    };
            scheduledFaults.add(new ScheduledFault(
                    fault,
                    (long) (1e6 * fault.at().sample(random::uniform)),
                    (long) (1e6 * fault.duration().sample(random::uniform)),
                    targets(plan, fault, memberCount, random),
                    fault.size().sample(random::uniform),
                    (long) (1e6 * fault.period().sample(random::uniform)),
                    (long) (1e6 * fault.spread().sample(random::uniform))));
        }
        scheduledFaults.sort((a, b) -> Long.compare(a.startMicros, b.startMicros));
        return List.copyOf(scheduledFaults);
    }

    /** Returns the zone of a nodo or agent; both are placed in the salas in turn. */
    private static int zone(Plan plan, int number) {
        return number % plan.zones().size();
    }

    private static int[] targets(Plan plan, Fault fault, int memberCount, RandomStream random) {
        if (!fault.names().isEmpty()) {
            return fault.names().stream()
                    .mapToInt(name -> Integer.parseInt(name.substring(name.indexOf('-') + 1)) - 1)
                    .toArray();
        }
        int[] candidates = IntStream.range(0, memberCount)
                .filter(i -> fault.zone() < 0 || zone(plan, i) == fault.zone())
                .toArray();
        int candidateCount = candidates.length;
        int targetCount = candidateCount == 0 || fault.share() == 0
                ? 0
                : Math.max(1, (int) StrictMath.rint(fault.share() * candidateCount));
        for (int i = 0; i < targetCount; i++) { // a partial Fisher-Yates shuffle
            int j = i + random.nextInt(candidateCount - i);
            int swap = candidates[i];
            candidates[i] = candidates[j];
            candidates[j] = swap;
        }
        return java.util.Arrays.copyOf(candidates, targetCount);
    }
}
