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
 * What came of a day, counted by second of the first try. Worth is that of the class, times the work where the
 * plan has it so; an answer counts in full within the aim, counted from the first try, and not at all later.
 */
final class RunRecorder {
    /** What becomes of what somebody wanted. */
    enum Fate {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        UNANSWERED
    }

    /** A trouble, for the plot; seconds since the day opened. */
    record Band(String name, double from, double until) {}

    /** Something that happened. */
    record Note(double at, String text) {}

    /** News of a nodo, as the first agent got it. */
    record Told(double at, int nodo, String status) {}

    private static final int NOTES_MOST = 500;

    final Plan plan;
    final int seconds;
    /** Worth by second, class and fate. */
    final double[][][] worth;
    /** The same by tenant, over the day. */
    final double[][] tenants;
    /** Wants by class and fate. */
    final int[][] counts;

    final int[] tries;
    final int[] attempts;
    /** What the fleet costs beside its requests, by second. */
    final int[] probes;

    final int[] handshakes;
    final int[] listCalls;
    final int[] listTurnedAway;
    /** Connections that the fullest nodo holds, by second. */
    final int[] fullest;
    /** How much of what topples it the nearest cold nodo was sent, by second. */
    final double[] coldest;
    /** By nodo, by second: requests held a core; -1 while it does not run. */
    final List<double[]> load = new ArrayList<>();

    final List<String> nodoNames = new ArrayList<>();
    /** By nodo, by second: requests served. */
    final List<int[]> served = new ArrayList<>();
    /** What the first agent was told of a nodo, each change once. */
    final List<Told> told = new ArrayList<>();

    final List<Band> bands = new ArrayList<>();
    final List<Note> notes = new ArrayList<>();
    final ResourceUsage held;
    final FleetLoad crowd;
    final ServiceCurve curve;
    private final ResolvedPlan cast;
    private long opensAt;
    /** Connections that nodos have closed because they were in no use. */
    int closedIdle;

    private int open;

    RunRecorder(Plan plan, ResolvedPlan cast) {
        this.plan = plan;
        this.cast = cast;
        this.seconds = (int) Math.ceil(plan.seconds());
        int classes = plan.classes().size();
        this.worth = new double[seconds][classes][Fate.values().length];
        this.tenants = new double[Math.max(1, plan.tenants().size())][Fate.values().length];
        this.counts = new int[classes][Fate.values().length];
        this.tries = new int[seconds];
        this.attempts = new int[seconds];
        this.probes = new int[seconds];
        this.handshakes = new int[seconds];
        this.listCalls = new int[seconds];
        this.listTurnedAway = new int[seconds];
        this.fullest = new int[seconds];
        this.coldest = new double[seconds];
        this.held = new ResourceUsage(seconds);
        this.curve = new ServiceCurve(seconds);
        this.crowd = new FleetLoad(plan.agents().count());
    }

    void opens(long at) {
        opensAt = at;
    }

    long opensAt() {
        return opensAt;
    }

    private int second(long at) {
        return (int) Math.max(0, Math.min(seconds - 1, (at - opensAt) / 1_000_000));
    }

    void asked(Demand.Want want) {
        open++;
    }

    /** A nodo has closed a connection that was in no use for its time. */
    void closedIdle() {
        closedIdle++;
    }

    /** How many still wait. */
    int open() {
        return open;
    }

    void tried(long now) {
        tries[second(now)]++;
    }

    void attempt(long now) {
        attempts[second(now)]++;
    }

    void probe(long now) {
        probes[second(now)]++;
    }

    void handshake(long now, int held) {
        int at = second(now);
        handshakes[at]++;
        fullest[at] = Math.max(fullest[at], held);
    }

    void listCall(long now) {
        listCalls[second(now)]++;
    }

    void listTurnedAway(long now) {
        listTurnedAway[second(now)]++;
    }

    /** A cold nodo has been sent so much of what topples it. */
    void pressed(long now, double part) {
        int at = second(now);
        coldest[at] = Math.max(coldest[at], part);
    }

    /** So many of something for each first try, over the day. */
    double each(int[] bySecond) {
        int wants = 0;
        for (int[] kind : counts) {
            wants += Arrays.stream(kind).sum();
        }
        return (double) Arrays.stream(bySecond).sum() / Math.max(1, wants);
    }

    void settled(Demand.Want want, long now, RetryBehavior.Fate how) {
        open--;
        Plan.RequestClass kind = plan.classes().get(want.kind());
        Fate fate =
                switch (how) {
                    case SERVED -> now - want.at() <= (long) (1000 * kind.targetMs()) ? Fate.IN_TIME : Fate.LATE;
                    case REFUSED -> Fate.REFUSED;
                    case FAILED -> Fate.FAILED;
                    case TIMED_OUT, UNREACHED -> Fate.UNANSWERED;
                };
        double value = kind.worth()
                * (plan.worthByWork()
                        ? want.work() / cast.kinds().get(want.kind()).meanWork()
                        : 1);
        worth[second(want.at())][want.kind()][fate.ordinal()] += value;
        tenants[want.tenant()][fate.ordinal()] += value;
        counts[want.kind()][fate.ordinal()]++;
        curve.settled(want.at() - opensAt, value, fate == Fate.IN_TIME);
    }

    void band(String name, long from, long until) {
        bands.add(new Band(name, from / 1e6, Math.min(until / 1e6, seconds)));
    }

    void note(long now, String text) {
        if (notes.size() < NOTES_MOST) {
            notes.add(new Note((now - opensAt) / 1e6, text));
        }
    }

    private void know(int nodo) {
        while (load.size() <= nodo) {
            double[] none = new double[seconds];
            Arrays.fill(none, -1);
            load.add(none);
            served.add(new int[seconds]);
            nodoNames.add("nodo-" + load.size());
        }
    }

    void served(long now, int nodo) {
        know(nodo);
        served.get(nodo)[second(now)]++;
    }

    void told(long now, int nodo, String status) {
        boolean news = true;
        for (Told each : told) {
            news = each.nodo != nodo ? news : !each.status.equals(status);
        }
        if (news && now >= opensAt && told.size() < NOTES_MOST) {
            told.add(new Told((now - opensAt) / 1e6, nodo, status));
        }
    }

    /** Looks at the nodos and the agents, once a second. */
    void sample(long now, List<NodoStandIn> nodos, List<AgentStandIn> agents) {
        int at = second(now);
        for (AgentStandIn each : agents) {
            ResourceBudget budget = each.budget();
            if (budget != null) {
                held.seen(at, budget);
            }
        }
        for (NodoStandIn each : nodos) {
            know(each.number());
            each.cold(crowd);
            load.get(each.number())[at] =
                    each.up() ? (double) each.held() / each.spec().machine().cores() : -1;
        }
    }

    // ---- Sums ----

    private static double share(double[] fates) {
        double all = 0;
        for (double each : fates) {
            all += each;
        }
        return all == 0 ? 1 : fates[Fate.IN_TIME.ordinal()] / all;
    }

    private double[] sum(int from, int until, int kind) {
        double[] sum = new double[Fate.values().length];
        for (int s = from; s < until; s++) {
            for (int k = 0; k < worth[s].length; k++) {
                for (int f = 0; f < sum.length && (kind < 0 || kind == k); f++) {
                    sum[f] += worth[s][k][f];
                }
            }
        }
        return sum;
    }

    /** Worth by fate in one second. */
    double[] ofSecond(int second) {
        return sum(second, second + 1, -1);
    }

    /** Worth answered in time, over worth asked for, from the first second on. */
    double service() {
        return share(sum(0, seconds, -1));
    }

    double serviceOfClass(int kind) {
        return share(sum(0, seconds, kind));
    }

    /** Of one class in one second; NaN if nobody asked. */
    double serviceOf(int second, int kind) {
        double[] fates = sum(second, second + 1, kind);
        double all = 0;
        for (double each : fates) {
            all += each;
        }
        return all == 0 ? Double.NaN : fates[Fate.IN_TIME.ordinal()] / all;
    }

    double serviceOfTenant(int tenant) {
        return share(tenants[tenant]);
    }

    /** The first second of the worst ten in a row. */
    int worstFrom() {
        int worst = 0;
        for (int s = 1; s + 10 <= seconds; s++) {
            if (share(sum(s, s + 10, -1)) < share(sum(worst, worst + 10, -1))) {
                worst = s;
            }
        }
        return worst;
    }

    double serviceOfTen(int from) {
        return share(sum(from, Math.min(seconds, from + 10), -1));
    }
}
