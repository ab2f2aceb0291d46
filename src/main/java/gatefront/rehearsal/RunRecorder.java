package gatefront.rehearsal;

import gatefront.budget.ResourceBudget;
import gatefront.rehearsal.check.ServiceCurve;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.world.Demand;
import gatefront.rehearsal.world.RetryBehavior;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Records a run by second of the first try. The worth of an operation is that of its class, times its work if the
 * plan says so. A response counts in full within the aim, measured from the first try, and not at all later.
 */
final class RunRecorder {
    /** The outcome of an operation. */
    enum Outcome {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        UNANSWERED
    }

    /** A fault as shown in the plot, in seconds since the opening. */
    record FaultBand(String name, double fromSeconds, double untilSeconds) {}

    /** A remarkable event, in seconds since the opening. */
    record Note(double atSeconds, String text) {}

    /** A change of a nodo's status as first sent to any agent, in seconds since the opening. */
    record StatusNews(double atSeconds, int nodo, String status) {}

    private static final int MAX_NOTES = 500;

    final Plan plan;
    final int seconds;
    /** Worth by second, class and outcome. */
    final double[][][] worth;
    /** Worth by tenant and outcome over the whole run. */
    final double[][] worthByTenant;
    /** Number of operations by class and outcome. */
    final int[][] operationCounts;

    final int[] tries;
    final int[] attempts;
    /** By second: probes, handshakes and list calls, the fleet's overhead beside its requests. */
    final int[] probes;

    final int[] handshakes;
    final int[] listCalls;
    final int[] listCallsRefused;
    /** By second: connections held by the nodo with the most connections. */
    final int[] maxConnections;
    /** By second: the highest load of a cold nodo, as a share of the load that makes it crash. */
    final double[] maxColdOverloadShare;
    /** By nodo and second: requests held per core, or -1 while the nodo is not running. */
    final List<double[]> loadByNodo = new ArrayList<>();

    final List<String> nodoNames = new ArrayList<>();
    /** By nodo and second: requests served. */
    final List<int[]> servedByNodo = new ArrayList<>();
    /** Status changes as first sent to any agent, each once. */
    final List<StatusNews> statusNews = new ArrayList<>();

    final List<FaultBand> faultBands = new ArrayList<>();
    final List<Note> notes = new ArrayList<>();
    final ResourceUsage resourceUsage;
    final FleetLoad fleetLoad;
    final ServiceCurve serviceCurve;
    private final ResolvedPlan resolvedPlan;
    private long openingMicros;
    /** Number of idle connections closed by nodos. */
    int idleConnectionsClosed;

    private int openOperations;

    RunRecorder(Plan plan, ResolvedPlan resolvedPlan) {
        this.plan = plan;
        this.resolvedPlan = resolvedPlan;
        this.seconds = (int) Math.ceil(plan.seconds());
        int classes = plan.classes().size();
        this.worth = new double[seconds][classes][Outcome.values().length];
        this.worthByTenant = new double[Math.max(1, plan.tenants().size())][Outcome.values().length];
        this.operationCounts = new int[classes][Outcome.values().length];
        this.tries = new int[seconds];
        this.attempts = new int[seconds];
        this.probes = new int[seconds];
        this.handshakes = new int[seconds];
        this.listCalls = new int[seconds];
        this.listCallsRefused = new int[seconds];
        this.maxConnections = new int[seconds];
        this.maxColdOverloadShare = new double[seconds];
        this.resourceUsage = new ResourceUsage(seconds);
        this.serviceCurve = new ServiceCurve(seconds);
        this.fleetLoad = new FleetLoad(plan.agents().count());
    }

    void setOpeningMicros(long atMicros) {
        openingMicros = atMicros;
    }

    long openingMicros() {
        return openingMicros;
    }

    private int second(long atMicros) {
        return (int) Math.max(0, Math.min(seconds - 1, (atMicros - openingMicros) / 1_000_000));
    }

    void operationStarted(Demand.Operation operation) {
        openOperations++;
    }

    /** Records that a nodo has closed an idle connection. */
    void idleConnectionClosed() {
        idleConnectionsClosed++;
    }

    /** Returns the number of operations that have not ended. */
    int openOperations() {
        return openOperations;
    }

    void tryStarted(long now) {
        tries[second(now)]++;
    }

    void attemptStarted(long now) {
        attempts[second(now)]++;
    }

    void probe(long now) {
        probes[second(now)]++;
    }

    void handshake(long now, int connections) {
        int second = second(now);
        handshakes[second]++;
        maxConnections[second] = Math.max(maxConnections[second], connections);
    }

    void listCall(long now) {
        listCalls[second(now)]++;
    }

    void listCallRefused(long now) {
        listCallsRefused[second(now)]++;
    }

    /** Records the load of a cold nodo, as a share of the load that makes it crash. */
    void coldOverload(long now, double share) {
        int second = second(now);
        maxColdOverloadShare[second] = Math.max(maxColdOverloadShare[second], share);
    }

    /** Returns a total over the run per operation. */
    double perOperation(int[] bySecond) {
        int operations = 0;
        for (int[] countsOfClass : operationCounts) {
            operations += Arrays.stream(countsOfClass).sum();
        }
        return (double) Arrays.stream(bySecond).sum() / Math.max(1, operations);
    }

    void operationSettled(Demand.Operation operation, long now, RetryBehavior.TryOutcome tryOutcome) {
        openOperations--;
        Plan.RequestClass requestClass = plan.classes().get(operation.requestClass());
        Outcome outcome =
                switch (tryOutcome) {
                    case SERVED -> now - operation.arrivalMicros() <= (long) (1000 * requestClass.targetMs())
                            ? Outcome.IN_TIME
                            : Outcome.LATE;
                    case REFUSED -> Outcome.REFUSED;
                    case FAILED -> Outcome.FAILED;
                    case TIMED_OUT, UNREACHABLE -> Outcome.UNANSWERED;
                };
        double value = requestClass.worth()
                * (plan.worthByWork()
                        ? operation.workMicros()
                                / resolvedPlan
                                        .classes()
                                        .get(operation.requestClass())
                                        .meanWorkMicros()
                        : 1);
        worth[second(operation.arrivalMicros())][operation.requestClass()][outcome.ordinal()] += value;
        worthByTenant[operation.tenant()][outcome.ordinal()] += value;
        operationCounts[operation.requestClass()][outcome.ordinal()]++;
        serviceCurve.record(operation.arrivalMicros() - openingMicros, value, outcome == Outcome.IN_TIME);
    }

    void addFaultBand(String name, long from, long until) {
        faultBands.add(new FaultBand(name, from / 1e6, Math.min(until / 1e6, seconds)));
    }

    void addNote(long now, String text) {
        if (notes.size() < MAX_NOTES) {
            notes.add(new Note((now - openingMicros) / 1e6, text));
        }
    }

    private void ensureNodo(int nodo) {
        while (loadByNodo.size() <= nodo) {
            double[] notRunning = new double[seconds];
            Arrays.fill(notRunning, -1);
            loadByNodo.add(notRunning);
            servedByNodo.add(new int[seconds]);
            nodoNames.add("nodo-" + loadByNodo.size());
        }
    }

    void requestServed(long now, int nodo) {
        ensureNodo(nodo);
        servedByNodo.get(nodo)[second(now)]++;
    }

    void statusSent(long now, int nodo, String status) {
        boolean changed = true;
        for (StatusNews earlier : statusNews) {
            changed = earlier.nodo != nodo ? changed : !earlier.status.equals(status);
        }
        if (changed && now >= openingMicros && statusNews.size() < MAX_NOTES) {
            statusNews.add(new StatusNews((now - openingMicros) / 1e6, nodo, status));
        }
    }

    /** Samples the nodos and the agents; called once a second. */
    void sample(long now, List<NodoStandIn> nodos, List<AgentStandIn> agents) {
        int second = second(now);
        for (AgentStandIn agent : agents) {
            ResourceBudget budget = agent.budget();
            if (budget != null) {
                resourceUsage.sample(second, budget);
            }
        }
        for (NodoStandIn nodo : nodos) {
            ensureNodo(nodo.number());
            nodo.recordColdWork(fleetLoad);
            loadByNodo.get(nodo.number())[second] = nodo.up()
                    ? (double) nodo.heldRequests() / nodo.spec().machine().cores()
                    : -1;
        }
    }

    // ---- Aggregates ----

    private static double inTimeShare(double[] worthByOutcome) {
        double total = 0;
        for (double value : worthByOutcome) {
            total += value;
        }
        return total == 0 ? 1 : worthByOutcome[Outcome.IN_TIME.ordinal()] / total;
    }

    private double[] sum(int from, int until, int classIndex) {
        double[] sum = new double[Outcome.values().length];
        for (int s = from; s < until; s++) {
            for (int k = 0; k < worth[s].length; k++) {
                for (int f = 0; f < sum.length && (classIndex < 0 || classIndex == k); f++) {
                    sum[f] += worth[s][k][f];
                }
            }
        }
        return sum;
    }

    /** Returns the worth by outcome in one second. */
    double[] worthOfSecond(int second) {
        return sum(second, second + 1, -1);
    }

    /** Returns the worth served in time as a share of the worth requested, over the whole run. */
    double service() {
        return inTimeShare(sum(0, seconds, -1));
    }

    double serviceOfClass(int classIndex) {
        return inTimeShare(sum(0, seconds, classIndex));
    }

    /** Returns the service of one class in one second, or NaN if nothing was requested. */
    double serviceOfClassInSecond(int second, int classIndex) {
        double[] worthByOutcome = sum(second, second + 1, classIndex);
        double total = 0;
        for (double value : worthByOutcome) {
            total += value;
        }
        return total == 0 ? Double.NaN : worthByOutcome[Outcome.IN_TIME.ordinal()] / total;
    }

    double serviceOfTenant(int tenant) {
        return inTimeShare(worthByTenant[tenant]);
    }

    /** Returns the first second of the ten consecutive seconds with the lowest service. */
    int worstTenSecondsStart() {
        int worstStart = 0;
        for (int s = 1; s + 10 <= seconds; s++) {
            if (inTimeShare(sum(s, s + 10, -1)) < inTimeShare(sum(worstStart, worstStart + 10, -1))) {
                worstStart = s;
            }
        }
        return worstStart;
    }

    double serviceOfTenSeconds(int from) {
        return inTimeShare(sum(from, Math.min(seconds, from + 10), -1));
    }
}
