package gatefront.rehearsal;

import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.plan.Plan;
import java.util.List;
import java.util.Locale;

/** What came of a rehearsal. */
public final class RehearsalResult {
    private final Plan plan;
    private final long seed;
    private final ResolvedPlan cast;
    private final RunRecorder record;
    private final RuleChecker checker;
    private final List<String> log;
    private final long tasks;

    RehearsalResult(
            Plan plan,
            long seed,
            ResolvedPlan cast,
            RunRecorder record,
            RuleChecker checker,
            List<String> log,
            long tasks) {
        this.plan = plan;
        this.seed = seed;
        this.cast = cast;
        this.record = record;
        this.checker = checker;
        this.log = List.copyOf(log);
        this.tasks = tasks;
    }

    /** What was played. */
    public Plan plan() {
        return plan;
    }

    /** From which seed. */
    public long seed() {
        return seed;
    }

    ResolvedPlan cast() {
        return cast;
    }

    RunRecorder record() {
        return record;
    }

    /** The agents' lines, with the time and the agent. */
    public List<String> log() {
        return log;
    }

    /** Tasks that ran on all loops; a measure of the work, the same for the same seed. */
    public long tasks() {
        return tasks;
    }

    /** Worth answered in time, over worth asked for, from the first second on. */
    public double service() {
        return record.service();
    }

    /** How many times a rule was broken. */
    public int broken() {
        return checker.count();
    }

    /** The first of the broken rules. */
    public List<RuleChecker.Breach> breaches() {
        return checker.breaches();
    }

    /** The service of each class, in the plan's order. */
    public double[] byClass() {
        double[] by = new double[plan.classes().size()];
        for (int i = 0; i < by.length; i++) {
            by[i] = record.serviceOfClass(i);
        }
        return by;
    }

    /** One line: the service and whether the rules were kept. */
    public String line() {
        int worst = record.worstFrom();
        return String.format(
                Locale.ROOT,
                "%s, seed %d: service %.4f, worst ten seconds %.4f (from %d s), %s",
                plan.name(),
                seed,
                service(),
                record.serviceOfTen(worst),
                worst,
                broken() == 0 ? "all rules kept" : "RULES BROKEN " + broken() + " times");
    }
}
