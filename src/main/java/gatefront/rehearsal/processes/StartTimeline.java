package gatefront.rehearsal.processes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * How starts of agents went, seen from outside: from the start of the process until it listened, said that it was
 * ready, and gave its first answer in service. One loop owns it; an entry for each agent, replaced by its next start.
 */
public final class StartTimeline {
    /** What is reached on the way. */
    public enum Mark {
        /** Its line that it listens has come. */
        LISTENS,
        /** It says that it is ready. */
        READY,
        /** A caller has been served. */
        SERVES
    }

    private static final double MILLIS = 1e3;

    private static final class Start {
        private final long startedAt;
        private final long[] elapsedMicros = {-1, -1, -1};

        Start(long at) {
            this.startedAt = at;
        }
    }

    private final Map<Integer, Start> latestStarts = new HashMap<>();
    private final List<Start> starts = new ArrayList<>();

    /** A process of an agent has been started. */
    public void started(int agent, long at) {
        Start start = new Start(at);
        latestStarts.put(agent, start);
        starts.add(start);
    }

    /** It has come so far; only the first time counts. */
    public void reached(int agent, Mark mark, long at) {
        Start start = latestStarts.get(agent);
        if (start != null && start.elapsedMicros[mark.ordinal()] < 0) {
            start.elapsedMicros[mark.ordinal()] = at - start.startedAt;
        }
    }

    /** Only what starts from now on counts. */
    public void reset() {
        starts.clear();
        latestStarts.clear();
    }

    /** Milliseconds until a mark, of all starts that reached it, the shortest first. */
    public double[] millisUntil(Mark mark) {
        return starts.stream()
                .mapToLong(each -> each.elapsedMicros[mark.ordinal()])
                .filter(each -> each >= 0)
                .mapToDouble(each -> each / MILLIS)
                .sorted()
                .toArray();
    }

    /** One line: medians and worst. */
    public String summary() {
        StringBuilder line = new StringBuilder(starts.size() + " starts under way");
        for (Mark each : Mark.values()) {
            double[] until = millisUntil(each);
            line.append(
                    until.length == 0
                            ? ""
                            : String.format(
                                    Locale.ROOT,
                                    "; %s after %.0f ms (median), %.0f ms " + "(worst)",
                                    each.name().toLowerCase(Locale.ROOT),
                                    until[until.length / 2],
                                    until[until.length - 1]));
        }
        return line.toString();
    }
}
