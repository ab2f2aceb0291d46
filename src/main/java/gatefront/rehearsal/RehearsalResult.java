package gatefront.rehearsal;

import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.plan.Plan;
import java.util.List;
import java.util.Locale;

/** The result of a rehearsal. */
public final class RehearsalResult {
    private final Plan plan;
    private final long seed;
    private final ResolvedPlan resolvedPlan;
    private final RunRecorder recorder;
    private final RuleChecker checker;
    private final List<String> log;
    private final long tasks;

    RehearsalResult(
            Plan plan,
            long seed,
            ResolvedPlan resolvedPlan,
            RunRecorder recorder,
            RuleChecker checker,
            List<String> log,
            long tasks) {
        this.plan = plan;
        this.seed = seed;
        this.resolvedPlan = resolvedPlan;
        this.recorder = recorder;
        this.checker = checker;
        this.log = List.copyOf(log);
        this.tasks = tasks;
    }

    /** Returns the plan that was run. */
    public Plan plan() {
        return plan;
    }

    /** Returns the seed of the run. */
    public long seed() {
        return seed;
    }

    ResolvedPlan resolvedPlan() {
        return resolvedPlan;
    }

    RunRecorder recorder() {
        return recorder;
    }

    /** Returns the agents' log lines, each with its time and agent. */
    public List<String> log() {
        return log;
    }

    /** Returns the number of tasks run on all event loops, a measure of the work; the same for the same seed. */
    public long tasks() {
        return tasks;
    }

    /** Returns the worth served in time as a share of the worth requested, from the first second on. */
    public double service() {
        return recorder.service();
    }

    /** Returns the number of breaches. */
    public int breachCount() {
        return checker.count();
    }

    /** Returns the first breaches. */
    public List<RuleChecker.Breach> breaches() {
        return checker.breaches();
    }

    /** Returns the service of each class, in the plan's order. */
    public double[] serviceByClass() {
        double[] services = new double[plan.classes().size()];
        for (int i = 0; i < services.length; i++) {
            services[i] = recorder.serviceOfClass(i);
        }
        return services;
    }

    /** Returns a one-line summary: the service, and whether the rules were kept. */
    public String summary() {
        int worstStart = recorder.worstTenSecondsStart();
        return String.format(
                Locale.ROOT,
                "%s, seed %d: service %.4f, worst ten seconds %.4f (from %d s), %s",
                plan.name(),
                seed,
                service(),
                recorder.serviceOfTenSeconds(worstStart),
                worstStart,
                breachCount() == 0 ? "all rules kept" : "RULES BROKEN " + breachCount() + " times");
    }
}
