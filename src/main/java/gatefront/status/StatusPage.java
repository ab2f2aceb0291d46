package gatefront.status;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import java.util.Locale;

/** Renders the resources in use, by purpose, as text and as JSON. */
public final class StatusPage {
    private StatusPage() {}

    /** Renders one line for each purpose: entries and bytes with their peak and cap, and the number of rejections. */
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
        for (ResourcePurpose purpose : ResourcePurpose.values()) {
            ResourceAccount account = budget.account(purpose);
            out.append(String.format(
                    Locale.ROOT,
                    "%-20s %9d %9d %9s ",
                    purpose.label(),
                    account.entries(),
                    account.peakEntries(),
                    cap(account.entriesCap())));
            out.append(String.format(
                    Locale.ROOT,
                    "%12d %12d %12s %11d%n",
                    account.bytes(),
                    account.peakBytes(),
                    cap(account.bytesCap()),
                    account.rejections()));
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
                        process.heapMax()))
                .append(String.format(
                        Locale.ROOT, "buffers              %d bytes outside the heap%n", process.buffers()))
                .append(String.format(
                        Locale.ROOT,
                        "process              %s bytes resident, %s descriptors%n",
                        format(process.resident()),
                        format(process.descriptors())))
                .toString();
    }

    private static String format(long value) {
        return value < 0 ? "unknown" : String.valueOf(value);
    }

    private static String cap(long cap) {
        return cap == Long.MAX_VALUE ? "-" : String.valueOf(cap);
    }

    /** Renders the resources in use as JSON; absent caps and unknown values are left out. */
    public static ObjectNode json(ResourceBudget budget, ProcessMetrics process) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ObjectNode purposes = root.putObject("purposes");
        for (ResourcePurpose purpose : ResourcePurpose.values()) {
            ResourceAccount account = budget.account(purpose);
            ObjectNode fields = purposes.putObject(purpose.label())
                    .put("entries", account.entries())
                    .put("entries_highest", account.peakEntries())
                    .put("bytes", account.bytes())
                    .put("bytes_highest", account.peakBytes())
                    .put("turned_away", account.rejections());
            if (account.entriesCap() != Long.MAX_VALUE) {
                fields.put("entries_cap", account.entriesCap());
            }
            if (account.bytesCap() != Long.MAX_VALUE) {
                fields.put("bytes_cap", account.bytesCap());
            }
        }
        root.put("bytes", budget.bytes())
                .put("bytes_total", budget.totalBytes())
                .put("pressure", budget.pressure().name().toLowerCase(Locale.ROOT));
        root.put("heap_used", process.heapUsed())
                .put("heap_most", process.heapMax())
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
