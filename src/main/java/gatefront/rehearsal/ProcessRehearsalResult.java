package gatefront.rehearsal;

import gatefront.rehearsal.check.ManualDrainChecker;
import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.check.ServiceCurve;
import gatefront.rehearsal.processes.LoopLateness;
import gatefront.rehearsal.processes.ProcessPlan;
import gatefront.rehearsal.processes.StartTimeline;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * The result of a rehearsal with several processes.
 *
 * @param plan the plan
 * @param result the result of the simulated world and its rules
 * @param manualDrains the check of manual drains
 * @param lateness the lateness of the rig's event loops
 * @param timeline the starts of agents during the run
 */
public record ProcessRehearsalResult(
        ProcessPlan plan,
        RehearsalResult result,
        ManualDrainChecker manualDrains,
        LoopLateness lateness,
        StartTimeline timeline) {
    /** Delays of the rig beyond this make a run doubtful, in microseconds. */
    public static final long MAX_LATENESS_MICROS = 20_000;

    /** Returns how many times a rule was broken. */
    public int broken() {
        return result.breachCount() + manualDrains.count();
    }

    /** Returns the recorded breaches, one line for each. */
    public List<String> breaches() {
        List<String> lines = new ArrayList<>();
        for (RuleChecker.Breach breach : result.breaches()) {
            lines.add(breach.rule().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ": " + breach.description()
                    + (breach.request().isEmpty() ? "" : " (request " + breach.request() + ")"));
        }
        manualDrains.breaches().forEach(breach -> lines.add("manual drain: " + breach));
        return lines;
    }

    /** Returns when service was full again, in seconds after the first fault; negative if it never was. */
    public double recoverySeconds(ProcessRehearsalResult baseline) {
        double first = plan.firstFaultSecond();
        return first < 0 ? 0 : curve().secondsUntilFull(first, baseline.curve());
    }

    ServiceCurve curve() {
        return result.recorder().serviceCurve;
    }

    private static int maxBetween(int[] bySecond, double from, double until) {
        return Arrays.stream(bySecond, (int) Math.max(0, from), (int) Math.min(bySecond.length, Math.ceil(until)))
                .max()
                .orElse(0);
    }

    /** Returns the maximum number of server list calls per second within five seconds of the first fault. */
    public int maxListCalls() {
        return maxBetween(result.recorder().listCalls, plan.firstFaultSecond(), plan.firstFaultSecond() + 5);
    }

    /** Returns the maximum number of connections of any server within five seconds of the first fault. */
    public int maxConnections() {
        return maxBetween(result.recorder().maxConnections, plan.firstFaultSecond(), plan.firstFaultSecond() + 5);
    }

    /**
     * Returns the highest load that any cold server was sent during the run, as a share of the load at which it
     * fails.
     */
    public double maxColdLoad() {
        return Arrays.stream(result.recorder().maxColdOverloadShare).max().orElse(0);
    }

    /** Returns a line with service, broken rules and the lateness of the rig. */
    public String summary() {
        return String.format(
                Locale.ROOT,
                "%s, seed %d, %d agents: service %.4f, %s; the rig was late by %.1f ms "
                        + "at the most, %d times by over %d ms",
                plan.name(),
                result.seed(),
                plan.basePlan().agents().count(),
                result.service(),
                broken() == 0 ? "all rules kept" : "RULES BROKEN " + broken() + " times",
                lateness.maxMicros() / 1e3,
                lateness.countOver(MAX_LATENESS_MICROS),
                MAX_LATENESS_MICROS / 1000);
    }
}
