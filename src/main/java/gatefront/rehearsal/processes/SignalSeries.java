package gatefront.rehearsal.processes;

import gatefront.rehearsal.world.RandomStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Draws the signals that one process receives in a planned restart: reloads and short suspensions before and after
 * SIGTERM, SIGTERM more than once, and SIGKILL at the earliest time that the platform allows.
 */
public final class SignalSeries {
    /** What is sent to the process. */
    public enum Signal {
        /** SIGHUP. */
        RELOAD,
        /** SIGSTOP, and SIGCONT after the duration. */
        SUSPEND,
        /** SIGTERM. */
        TERMINATE,
        /** SIGKILL. */
        KILL
    }

    /** One signal; times are in microseconds, {@code atMicros} since the start of the series. */
    public record Step(long atMicros, Signal signal, long durationMicros) {}

    /** Time between the longest deadline after SIGTERM and the earliest SIGKILL. */
    private static final long KILL_DELAY_MICROS = 700_000;

    private static final long MIN_TERMINATE_MICROS = 1_000_000;
    private static final long MAX_TERMINATE_MICROS = 1_800_000;
    private static final long MIN_SUSPENSION_MICROS = 40_000;
    /** Below the 0.15 s for which an agent may be held up; the rest is left to the delay of the second signal. */
    private static final long MAX_SUSPENSION_MICROS = 130_000;

    private static final long MIN_PAUSE_BETWEEN_SUSPENSIONS_MICROS = 300_000;
    private static final int MIN_STEPS = 3;
    private static final int MAX_EXTRA_STEPS = 4;

    private SignalSeries() {}

    /**
     * Draws a series.
     *
     * @param draw source of the random choices
     * @param longestDeadlineMicros longest time for which a client waits for its answer
     */
    public static List<Step> draw(RandomStream draw, long longestDeadlineMicros) {
        long terminateMicros = (long) draw.uniform(MIN_TERMINATE_MICROS, MAX_TERMINATE_MICROS);
        long killMicros = terminateMicros + longestDeadlineMicros + KILL_DELAY_MICROS;
        List<Step> steps = new ArrayList<>();
        addSteps(steps, draw, 0, terminateMicros, List.of(Signal.RELOAD, Signal.SUSPEND));
        steps.add(new Step(terminateMicros, Signal.TERMINATE, 0));
        addSteps(
                steps,
                draw,
                terminateMicros,
                killMicros,
                List.of(Signal.RELOAD, Signal.SUSPEND, Signal.SUSPEND, Signal.TERMINATE));
        steps.add(new Step(killMicros, Signal.KILL, 0));
        steps.sort(Comparator.comparingLong(Step::atMicros));
        return withPausesBetweenSuspensions(steps);
    }

    private static void addSteps(List<Step> steps, RandomStream draw, long from, long until, List<Signal> signals) {
        int count = MIN_STEPS + draw.nextInt(MAX_EXTRA_STEPS + 1);
        for (int i = 0; i < count; i++) {
            Signal signal = signals.get(draw.nextInt(signals.size()));
            long duration =
                    signal == Signal.SUSPEND ? (long) draw.uniform(MIN_SUSPENSION_MICROS, MAX_SUSPENSION_MICROS) : 0;
            steps.add(new Step((long) draw.uniform(from, until - MAX_SUSPENSION_MICROS), signal, duration));
        }
    }

    /** Leaves out suspensions that follow another one so soon that the process would be held up for longer. */
    private static List<Step> withPausesBetweenSuspensions(List<Step> steps) {
        List<Step> kept = new ArrayList<>();
        long earliestMicros = 0;
        for (Step step : steps) {
            if (step.signal() == Signal.SUSPEND) {
                if (step.atMicros() < earliestMicros) {
                    continue;
                }
                earliestMicros = step.atMicros() + step.durationMicros() + MIN_PAUSE_BETWEEN_SUSPENSIONS_MICROS;
            }
            kept.add(step);
        }
        return List.copyOf(kept);
    }
}
