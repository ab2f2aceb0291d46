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
        private final long at;
        private final long[] marks = {-1, -1, -1};

        Start(long at) {
            this.at = at;
        }
    }

    private final Map<Integer, Start> now = new HashMap<>();
    private final List<Start> all = new ArrayList<>();

    /** A process of an agent has been started. */
    public void started(int agent, long at) {
        Start start = new Start(at);
        now.put(agent, start);
        all.add(start);
    }

    /** It has come so far; only the first time counts. */
    public void reached(int agent, Mark mark, long at) {
        Start start = now.get(agent);
        if (start != null && start.marks[mark.ordinal()] < 0) {
            start.marks[mark.ordinal()] = at - start.at;
        }
    }

    /** Only what starts from now on counts. */
    public void opens() {
        all.clear();
        now.clear();
    }

    /** Milliseconds until a mark, of all starts that reached it, the shortest first. */
    public double[] until(Mark mark) {
        return all.stream()
                .mapToLong(each -> each.marks[mark.ordinal()])
                .filter(each -> each >= 0)
                .mapToDouble(each -> each / MILLIS)
                .sorted()
                .toArray();
    }

    /** One line: medians and worst. */
    public String line() {
        StringBuilder line = new StringBuilder(all.size() + " starts under way");
        for (Mark each : Mark.values()) {
            double[] until = until(each);
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
