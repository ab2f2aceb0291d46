package gatefront.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses the load reports of servers: {@code name=value} pairs, separated by commas. */
public final class LoadReportParser {
    private static final double[] NO_VALUES = new double[0];
    /** Names that servers use in reports, by the names that the settings use, where they differ. */
    private static final Map<String, String> DEFAULT_REPORT_NAMES = Map.of(
            "concurrent",
            "inflight",
            "depth",
            "queue",
            "load_share",
            "util",
            "mean_ms",
            "latency_ms",
            "tps",
            "qps",
            "err_ps",
            "eps");

    private final List<String> fields;

    /** Creates a parser of reports with these fields, named as in the settings. */
    public LoadReportParser(List<String> fields) {
        this.fields = List.copyOf(fields);
    }

    /**
     * Returns the values in the order of the fields; an empty array if the report is missing, incomplete or invalid.
     */
    public double[] parse(String text) {
        if (text == null || fields.isEmpty()) {
            return NO_VALUES;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            try {
                double value = Double.parseDouble(pair.substring(equals + 1).trim());
                if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
                    return NO_VALUES; // Guards against NaN and infinity, which would spoil every mean they enter.
                }
                values.put(pair.substring(0, Math.max(0, equals)).trim(), value);
            } catch (NumberFormatException e) {
                return NO_VALUES;
            }
        }
        List<Double> report = new ArrayList<>();
        for (String name : fields) {
            Double value = values.getOrDefault(name, values.get(DEFAULT_REPORT_NAMES.getOrDefault(name, name)));
            if (value == null) {
                return NO_VALUES;
            }
            report.add(value);
        }
        return report.stream().mapToDouble(Double::doubleValue).toArray();
    }
}
