package gatefront.status;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import java.util.Locale;

/** What is held, by purpose, as text and as JSON. */
public final class StatusPage {
    private StatusPage() {}

    /** A line for each purpose: entries and bytes now, the highest, the cap, and how often there was no room. */
    public static String text(ResourceBudget budget, ProcessMetrics process) {
        StringBuilder out = new StringBuilder(String.format(
                Locale.ROOT,
                "%-20s %9s %9s %9s %12s %12s %12s %11s%n",
                "purpose",
                "entries",
                "highest",
                "cap",
                "bytes",
                "highest",
                "cap",
                "turned away"));
        for (ResourcePurpose each : ResourcePurpose.values()) {
            ResourceAccount a = budget.account(each);
            out.append(String.format(
                    Locale.ROOT,
                    "%-20s %9d %9d %9s ",
                    each.label(),
                    a.entries(),
                    a.peakEntries(),
                    cap(a.entriesCap())));
            out.append(String.format(
                    Locale.ROOT, "%12d %12d %12s %11d%n", a.bytes(), a.peakBytes(), cap(a.bytesCap()), a.rejections()));
        }
        return out.append(String.format(
                        Locale.ROOT,
                        "all purposes         %d of %d bytes, pressure %s%n",
                        budget.bytes(),
                        budget.totalBytes(),
                        budget.pressure().name().toLowerCase(Locale.ROOT)))
                .append(String.format(
                        Locale.ROOT,
                        "heap                 %d of %d bytes, garbage with it%n",
                        process.heapUsed(),
                        process.heapMost()))
                .append(String.format(
                        Locale.ROOT, "buffers              %d bytes outside the heap%n", process.buffers()))
                .append(String.format(
                        Locale.ROOT,
                        "process              %s bytes resident, %s descriptors%n",
                        known(process.resident()),
                        known(process.descriptors())))
                .toString();
    }

    private static String known(long figure) {
        return figure < 0 ? "unknown" : String.valueOf(figure);
    }

    private static String cap(long cap) {
        return cap == Long.MAX_VALUE ? "-" : String.valueOf(cap);
    }

    /** The same as JSON; a cap that there is not is left out, and so is what is not known. */
    public static ObjectNode json(ResourceBudget budget, ProcessMetrics process) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ObjectNode purposes = root.putObject("purposes");
        for (ResourcePurpose each : ResourcePurpose.values()) {
            ResourceAccount a = budget.account(each);
            ObjectNode one = purposes.putObject(each.label())
                    .put("entries", a.entries())
                    .put("entries_highest", a.peakEntries())
                    .put("bytes", a.bytes())
                    .put("bytes_highest", a.peakBytes())
                    .put("turned_away", a.rejections());
            if (a.entriesCap() != Long.MAX_VALUE) {
                one.put("entries_cap", a.entriesCap());
            }
            if (a.bytesCap() != Long.MAX_VALUE) {
                one.put("bytes_cap", a.bytesCap());
            }
        }
        root.put("bytes", budget.bytes())
                .put("bytes_total", budget.totalBytes())
                .put("pressure", budget.pressure().name().toLowerCase(Locale.ROOT));
        root.put("heap_used", process.heapUsed())
                .put("heap_most", process.heapMost())
                .put("buffers", process.buffers());
        if (process.resident() >= 0) {
            root.put("resident", process.resident());
        }
        if (process.descriptors() >= 0) {
            root.put("descriptors", process.descriptors());
        }
        return root;
    }
}
