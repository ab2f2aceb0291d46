package gatefront.rehearsal.processes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the starts of agents from outside: the time from the start of the process until it listens, reports that it
 * is ready, and sends its first successful response. Owned by one event loop. Marks are attributed to the latest start
 * of an agent.
 */
public final class StartTimeline {
    /** The milestones of a start, in their order. */
    public enum Mark {
        /** The agent has logged that it listens. */
        LISTENS,
        /** The readiness check of the agent succeeds. */
        READY,
        /** A client has received a successful response. */
        SERVES
    }

    private static final double MICROS_PER_MILLI = 1e3;

    private static final class Start {
        private final long startedAt;
        private final long[] elapsedMicros = {-1, -1, -1};

        Start(long at) {
            this.startedAt = at;
        }
    }

    private final Map<Integer, Start> latestStarts = new HashMap<>();
    private final List<Start> starts = new ArrayList<>();

    /** Records that the process of an agent was started; {@code at} is in microseconds. */
    public void started(int agent, long at) {
        Start start = new Start(at);
        latestStarts.put(agent, start);
        starts.add(start);
    }

    /** Records that the latest start of an agent reached a mark; only the first time counts. */
    public void reached(int agent, Mark mark, long at) {
        Start start = latestStarts.get(agent);
        if (start != null && start.elapsedMicros[mark.ordinal()] < 0) {
            start.elapsedMicros[mark.ordinal()] = at - start.startedAt;
        }
    }

    /** Discards all starts so far. */
    public void reset() {
        starts.clear();
        latestStarts.clear();
    }

    /** Returns the milliseconds until a mark for all starts that reached it, in ascending order. */
    public double[] millisUntil(Mark mark) {
        return starts.stream()
                .mapToLong(start -> start.elapsedMicros[mark.ordinal()])
                .filter(micros -> micros >= 0)
                .mapToDouble(micros -> micros / MICROS_PER_MILLI)
                .sorted()
                .toArray();
    }

    /** Returns a line with the median and the maximum for each mark. */
    public String summary() {
        StringBuilder line = new StringBuilder(starts.size() + " starts during the run");
        for (Mark mark : Mark.values()) {
            double[] millis = millisUntil(mark);
            line.append(
                    millis.length == 0
                            ? ""
                            : String.format(
                                    Locale.ROOT,
                                    "; %s after %.0f ms (median), %.0f ms " + "(worst)",
                                    mark.name().toLowerCase(Locale.ROOT),
                                    millis[millis.length / 2],
                                    millis[millis.length - 1]));
        }
        return line.toString();
    }
}
