package gatefront.toml;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps key paths of a TOML file to line numbers, which the TOML library does not report. Supports tables, arrays of
 * tables and one key a line; a key that is not found has the line of its enclosing table.
 */
final class KeyLineIndex {
    private static final Pattern TABLE = Pattern.compile("\\s*(\\[{1,2})\\s*([^\\]]+?)\\s*\\]{1,2}\\s*(#.*)?");
    private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_.\"-]+)\\s*=.*");

    private final Map<String, Integer> lines = new HashMap<>();

    KeyLineIndex(List<String> text) {
        Map<String, Integer> counts = new HashMap<>();
        String tablePath = "";
        for (int i = 0; i < text.size(); i++) {
            Matcher table = TABLE.matcher(text.get(i));
            Matcher key = KEY.matcher(text.get(i));
            if (table.matches()) {
                tablePath = resolve(table.group(2), counts);
                if (table.group(1).length() == 2) {
                    int index = counts.merge(table.group(2), 1, Integer::sum) - 1;
                    tablePath = resolve(table.group(2), counts);
                    lines.putIfAbsent(tablePath.replaceFirst("\\." + index + "$", ""), i + 1);
                }
                lines.putIfAbsent(tablePath, i + 1);
            } else if (key.matches()) {
                lines.putIfAbsent(
                        (tablePath.isEmpty() ? "" : tablePath + ".")
                                + key.group(1).replace("\"", ""),
                        i + 1);
            }
        }
    }

    /** Returns a table's path with the index of the current element of each enclosing array of tables. */
    private static String resolve(String name, Map<String, Integer> counts) {
        StringBuilder path = new StringBuilder();
        StringBuilder plain = new StringBuilder();
        for (String part : name.split("\\.")) {
            plain.append(plain.isEmpty() ? "" : ".").append(part);
            path.append(path.isEmpty() ? "" : ".").append(part);
            Integer count = counts.get(plain.toString());
            if (count != null) {
                path.append('.').append(count - 1);
            }
        }
        return path.toString();
    }

    /** Returns the line of a path or of its nearest ancestor; 1 if neither is known. */
    int lineOf(String path) {
        for (String ancestor = path;
                !ancestor.isEmpty();
                ancestor = ancestor.substring(0, Math.max(0, ancestor.lastIndexOf('.')))) {
            Integer line = lines.get(ancestor);
            if (line != null) {
                return line;
            }
        }
        return 1;
    }
}
