package gatefront.rehearsal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * What the agents held over a day, by purpose: of each stretch of time the most and the least that any agent held. What
 * never goes away shows in the least.
 */
final class ResourceUsage {
    /** A long day is kept by the minute, so that the report stays readable. */
    private static final int SECONDS_MOST = 3_600;

    private static final int MINUTE = 60;
    /** From the third quarter to the last the floor may rise by this part, and by so many entries. */
    private static final double RISE_PART = 0.1;

    private static final double RISE_ENTRIES = 2;

    /** How long a stretch is, in seconds. */
    final int every;
    /** By purpose and stretch, over the agents that ran. */
    final long[][] most;

    final long[][] least;
    final long[][] bytes;

    ResourceUsage(int seconds) {
        every = seconds > SECONDS_MOST ? MINUTE : 1;
        int stretches = (seconds + every - 1) / every;
        most = new long[ResourcePurpose.values().length][stretches];
        least = new long[ResourcePurpose.values().length][stretches];
        bytes = new long[ResourcePurpose.values().length][stretches];
        for (long[] each : least) {
            Arrays.fill(each, Long.MAX_VALUE);
        }
    }

    /** Looks at an agent. */
    void seen(int second, ResourceBudget budget) {
        int at = Math.min(most[0].length - 1, second / every);
        for (ResourcePurpose each : ResourcePurpose.values()) {
            ResourceAccount account = budget.account(each);
            int i = each.ordinal();
            most[i][at] = Math.max(most[i][at], account.entries());
            least[i][at] = Math.min(least[i][at], account.entries());
            bytes[i][at] = Math.max(bytes[i][at], account.bytes());
        }
    }

    /** The mean of the least of each stretch in one quarter of the day, the first being 0. */
    private double floor(ResourcePurpose purpose, int quarter) {
        long[] all = least[purpose.ordinal()];
        return Arrays.stream(all, all.length * quarter / 4, Math.max(1, all.length * (quarter + 1) / 4))
                .filter(each -> each < Long.MAX_VALUE)
                .average()
                .orElse(0);
    }

    /** A line for each purpose whose floor has risen from the third quarter to the last. */
    List<String> rising() {
        List<String> lines = new ArrayList<>();
        for (ResourcePurpose each : ResourcePurpose.values()) {
            double third = floor(each, 2);
            double last = floor(each, 3);
            if (last > third * (1 + RISE_PART) + RISE_ENTRIES) {
                lines.add(String.format(
                        Locale.ROOT,
                        "what is held for %s rose from %.1f entries in the third quarter " + "to %.1f in the last",
                        each.label(),
                        third,
                        last));
            }
        }
        return lines;
    }

    /** By purpose: the most and the least of each stretch, and the most bytes. */
    void json(ObjectNode root) {
        root.put("seconds_a_stretch", every);
        for (ResourcePurpose each : ResourcePurpose.values()) {
            ObjectNode one = root.putObject(each.label());
            one.put("third_quarter", JsonReport.round(floor(each, 2)))
                    .put("last_quarter", JsonReport.round(floor(each, 3)));
            add(one.putArray("most"), most[each.ordinal()]);
            add(one.putArray("least"), least[each.ordinal()]);
            add(one.putArray("bytes"), bytes[each.ordinal()]);
        }
    }

    private static void add(ArrayNode to, long[] figures) {
        for (long each : figures) {
            to.add(each == Long.MAX_VALUE ? -1 : each);
        }
    }
}
