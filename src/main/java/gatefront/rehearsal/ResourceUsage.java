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
 * The resources held by the agents during a run, by purpose: the highest and the lowest number of entries that any
 * agent held in each interval. A leak shows in the lowest number.
 */
final class ResourceUsage {
    /** Longer runs are recorded by the minute, so that the report stays readable. */
    private static final int MAX_SECONDS_WITH_ONE_SECOND_INTERVALS = 3_600;

    private static final int LONG_INTERVAL_SECONDS = 60;
    /** From the third to the last quarter the mean minimum may rise by this share plus {@link #MAX_RISE_ENTRIES}. */
    private static final double MAX_RISE_SHARE = 0.1;

    private static final double MAX_RISE_ENTRIES = 2;

    /** Length of an interval, in seconds. */
    final int intervalSeconds;
    /** By purpose and interval, over all running agents. */
    final long[][] maxEntries;

    final long[][] minEntries;
    final long[][] maxBytes;

    ResourceUsage(int seconds) {
        intervalSeconds = seconds > MAX_SECONDS_WITH_ONE_SECOND_INTERVALS ? LONG_INTERVAL_SECONDS : 1;
        int intervals = (seconds + intervalSeconds - 1) / intervalSeconds;
        maxEntries = new long[ResourcePurpose.values().length][intervals];
        minEntries = new long[ResourcePurpose.values().length][intervals];
        maxBytes = new long[ResourcePurpose.values().length][intervals];
        for (long[] minimums : minEntries) {
            Arrays.fill(minimums, Long.MAX_VALUE);
        }
    }

    /** Samples an agent. */
    void sample(int second, ResourceBudget budget) {
        int interval = Math.min(maxEntries[0].length - 1, second / intervalSeconds);
        for (ResourcePurpose purpose : ResourcePurpose.values()) {
            ResourceAccount account = budget.account(purpose);
            int index = purpose.ordinal();
            maxEntries[index][interval] = Math.max(maxEntries[index][interval], account.entries());
            minEntries[index][interval] = Math.min(minEntries[index][interval], account.entries());
            maxBytes[index][interval] = Math.max(maxBytes[index][interval], account.bytes());
        }
    }

    /** Returns the mean over one quarter of the run of the minimum of each interval; the first quarter is 0. */
    private double meanMinimum(ResourcePurpose purpose, int quarter) {
        long[] minimums = minEntries[purpose.ordinal()];
        return Arrays.stream(minimums, minimums.length * quarter / 4, Math.max(1, minimums.length * (quarter + 1) / 4))
                .filter(entries -> entries < Long.MAX_VALUE)
                .average()
                .orElse(0);
    }

    /** Returns a line for each purpose whose mean minimum has risen from the third quarter to the last. */
    List<String> describeRises() {
        List<String> lines = new ArrayList<>();
        for (ResourcePurpose purpose : ResourcePurpose.values()) {
            double thirdQuarter = meanMinimum(purpose, 2);
            double lastQuarter = meanMinimum(purpose, 3);
            if (lastQuarter > thirdQuarter * (1 + MAX_RISE_SHARE) + MAX_RISE_ENTRIES) {
                lines.add(String.format(
                        Locale.ROOT,
                        "what is held for %s rose from %.1f entries in the third quarter " + "to %.1f in the last",
                        purpose.label(),
                        thirdQuarter,
                        lastQuarter));
            }
        }
        return lines;
    }

    /** Writes by purpose the highest and lowest number of entries and the highest number of bytes per interval. */
    void writeTo(ObjectNode root) {
        root.put("seconds_a_stretch", intervalSeconds);
        for (ResourcePurpose purpose : ResourcePurpose.values()) {
            ObjectNode node = root.putObject(purpose.label());
            node.put("third_quarter", JsonReport.round(meanMinimum(purpose, 2)))
                    .put("last_quarter", JsonReport.round(meanMinimum(purpose, 3)));
            add(node.putArray("most"), maxEntries[purpose.ordinal()]);
            add(node.putArray("least"), minEntries[purpose.ordinal()]);
            add(node.putArray("bytes"), maxBytes[purpose.ordinal()]);
        }
    }

    private static void add(ArrayNode array, long[] values) {
        for (long figure : values) {
            array.add(figure == Long.MAX_VALUE ? -1 : figure);
        }
    }
}
