package gatefront.rehearsal.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.processes.SignalSeries.Signal;
import gatefront.rehearsal.processes.SignalSeries.Step;
import gatefront.rehearsal.world.RandomStream;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that drawn series keep within what the platform may do to a process. */
class SignalSeriesTest {
    private static final long DEADLINE_MICROS = 2_000_000;
    private static final int SEEDS = 500;

    private static List<Step> draw(long seed) {
        return SignalSeries.draw(new RandomStream(seed, "signals"), DEADLINE_MICROS);
    }

    private static long firstTerminateMicros(List<Step> steps) {
        return steps.stream()
                .filter(step -> step.signal() == Signal.TERMINATE)
                .findFirst()
                .orElseThrow()
                .atMicros();
    }

    @Test
    void killComesLastAndNoEarlierThanAllowed() {
        for (long seed = 0; seed < SEEDS; seed++) {
            List<Step> steps = draw(seed);
            Step last = steps.get(steps.size() - 1);
            assertEquals(Signal.KILL, last.signal(), "seed " + seed);
            assertEquals(firstTerminateMicros(steps) + DEADLINE_MICROS + 700_000, last.atMicros(), "seed " + seed);
        }
    }

    @Test
    void suspensionsAreShortAndApart() {
        for (long seed = 0; seed < SEEDS; seed++) {
            long endMicros = Long.MIN_VALUE / 2;
            for (Step step : draw(seed)) {
                if (step.signal() == Signal.SUSPEND) {
                    assertTrue(step.durationMicros() > 0 && step.durationMicros() <= 150_000, "seed " + seed);
                    assertTrue(step.atMicros() - endMicros >= 300_000, "seed " + seed);
                    endMicros = step.atMicros() + step.durationMicros();
                }
            }
        }
    }

    @Test
    void seedFixesTheSeries() {
        assertEquals(draw(7), draw(7));
    }
}
