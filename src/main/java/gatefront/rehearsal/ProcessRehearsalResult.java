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
 * What came of a rehearsal with several processes.
 *
 * @param plan what was played
 * @param outcome the day, as any other rehearsal has it
 * @param hand what was done by hand, and whether it held
 * @param lateness of the rig
 * @param timeline how starts under way went
 */
public record ProcessRehearsalResult(
        ProcessPlan plan,
        RehearsalResult outcome,
        ManualDrainChecker hand,
        LoopLateness lateness,
        StartTimeline timeline) {
    /** The rig is to be late by no more, in microseconds. */
    public static final long LATE_MOST = 20_000;

    /** How many times a rule was broken. */
    public int broken() {
        return outcome.breachCount() + hand.count();
    }

    /** All that was broken, a line each. */
    public List<String> breaches() {
        List<String> lines = new ArrayList<>();
        for (RuleChecker.Breach each : outcome.breaches()) {
            lines.add(each.rule().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ": " + each.description()
                    + (each.request().isEmpty() ? "" : " (request " + each.request() + ")"));
        }
        hand.breaches().forEach(each -> lines.add("by hand: " + each));
        return lines;
    }

    /** When service was full again, in seconds after the first fault; negative if it never was. */
    public double fullAfter(ProcessRehearsalResult twin) {
        double first = plan.firstFault();
        return first < 0 ? 0 : curve().secondsUntilFull(first, twin.curve());
    }

    ServiceCurve curve() {
        return outcome.recorder().serviceCurve;
    }

    private static int most(int[] bySecond, double from, double until) {
        return Arrays.stream(bySecond, (int) Math.max(0, from), (int) Math.min(bySecond.length, Math.ceil(until)))
                .max()
                .orElse(0);
    }

    /** Calls for the list in the fullest second of the five after the first fault. */
    public int listCallsMost() {
        return most(outcome.recorder().listCalls, plan.firstFault(), plan.firstFault() + 5);
    }

    /** Connections of the fullest nodo in the five seconds after the first fault. */
    public int connectionsMost() {
        return most(outcome.recorder().maxConnections, plan.firstFault(), plan.firstFault() + 5);
    }

    /** How much of what topples it the nearest cold nodo was sent, on the whole day. */
    public double coldMost() {
        return Arrays.stream(outcome.recorder().maxColdOverloadShare).max().orElse(0);
    }

    /** One line: service, rules, and how late the rig was. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "%s, seed %d, %d agents: service %.4f, %s; the rig was late by %.1f ms "
                        + "at the most, %d times by over %d ms",
                plan.name(),
                outcome.seed(),
                plan.day().agents().count(),
                outcome.service(),
                broken() == 0 ? "all rules kept" : "RULES BROKEN " + broken() + " times",
                lateness.worst() / 1e3,
                lateness.over(LATE_MOST),
                LATE_MOST / 1000);
    }
}
