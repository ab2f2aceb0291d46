package gatefront.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the load reports of servers: {@code name=value} pairs behind commas. */
public final class LoadReportParser {
    private static final double[] NO_VALUES = new double[0];
    /** The names of the values as servers write them, where the settings say otherwise. */
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

    /** Reports of these fields, by the settings' names. */
    public LoadReportParser(List<String> fields) {
        this.fields = List.copyOf(fields);
    }

    /** The values in the order of the fields; none, if there is no report, or one that is none. */
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
                    return NO_VALUES; // Guards against a figure that is none poisoning every mean it enters.
                }
                values.put(pair.substring(0, Math.max(0, equals)).trim(), value);
            } catch (NumberFormatException e) {
                return NO_VALUES;
            }
        }
        List<Double> load = new ArrayList<>();
        for (String name : fields) {
            Double value = values.getOrDefault(name, values.get(DEFAULT_REPORT_NAMES.getOrDefault(name, name)));
            if (value == null) {
                return NO_VALUES;
            }
            load.add(value);
        }
        return load.stream().mapToDouble(Double::doubleValue).toArray();
    }
}
