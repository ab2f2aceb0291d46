package gatefront.toml;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** A table of a TOML file. Keys are read one by one; {@link #rejectUnknownKeys()} then rejects those that were not. */
public final class TomlTable {
    private final String file;
    private final KeyLineIndex lines;
    private final String path;
    private final JsonNode node;
    private final Set<String> readKeys = new LinkedHashSet<>();
    private final List<TomlTable> subtables = new ArrayList<>();

    TomlTable(String file, KeyLineIndex lines, String path, JsonNode node) {
        this.file = file;
        this.lines = lines;
        this.path = path;
        this.node = node;
    }

    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Creates an exception whose message is one line with file, line, key and problem. */
    public TomlException invalid(String key, String problem) {
        return new TomlException(file + ":" + lines.lineOf(pathOf(key)) + ": " + pathOf(key) + ": " + problem);
    }

    /** Creates an exception for a missing key, or for an unread key with a similar name if there is one. */
    private TomlException missing(String key, String expected) {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!readKeys.contains(name) && distance(name, key) <= Math.max(1, key.length() / 3)) {
                return invalid(name, "unknown key; did you mean \"" + key + "\"?");
            }
        }
        return invalid(key, "is missing; " + expected);
    }

    private JsonNode lookup(String key) {
        readKeys.add(key);
        return node.path(key);
    }

    /** Returns whether the table has a key. */
    public boolean has(String key) {
        return node.has(key);
    }

    /** Returns a subtable; a missing one is empty. */
    public TomlTable table(String key) throws TomlException {
        JsonNode found = lookup(key);
        if (!found.isMissingNode() && !found.isObject()) {
            throw invalid(key, "must be a table, as in [" + pathOf(key) + "]");
        }
        TomlTable table = new TomlTable(file, lines, pathOf(key), found);
        subtables.add(table);
        return table;
    }

    /** Returns the tables of an array of tables; empty if it is missing. */
    public List<TomlTable> tables(String key) throws TomlException {
        JsonNode found = lookup(key);
        if (!found.isMissingNode() && !found.isArray()) {
            throw invalid(key, "must be a list of tables, as in [[" + pathOf(key) + "]]");
        }
        List<TomlTable> tables = new ArrayList<>();
        for (int i = 0; i < found.size(); i++) {
            if (!found.get(i).isObject()) {
                throw invalid(key, "must be a list of tables, as in [[" + pathOf(key) + "]]");
            }
            tables.add(new TomlTable(file, lines, pathOf(key) + "." + i, found.get(i)));
        }
        subtables.addAll(tables);
        return tables;
    }

    /** Returns a string; the key is required if {@code defaultValue} is null. */
    public String text(String key, String defaultValue) throws TomlException {
        JsonNode found = lookup(key);
        if (found.isMissingNode() && defaultValue != null) {
            return defaultValue;
        }
        if (!found.isTextual() || found.asText().isBlank()) {
            throw found.isMissingNode()
                    ? missing(key, "expected a name in quotes")
                    : invalid(key, "must be a string in quotes, not " + found);
        }
        return found.asText();
    }

    /** Returns a list of strings; empty if it is missing. */
    public List<String> texts(String key) throws TomlException {
        JsonNode found = lookup(key);
        List<String> texts = new ArrayList<>();
        if (!found.isMissingNode() && !found.isArray()) {
            throw invalid(key, "must be a list of strings, as in [\"a\", \"b\"]");
        }
        for (JsonNode element : found) {
            if (!element.isTextual()) {
                throw invalid(key, "must be a list of strings; " + element + " is not a string");
            }
            texts.add(element.asText());
        }
        return texts;
    }

    /** Returns a boolean. */
    public boolean bool(String key, boolean defaultValue) throws TomlException {
        JsonNode found = lookup(key);
        if (!found.isMissingNode() && !found.isBoolean()) {
            throw invalid(key, "must be true or false, not " + found);
        }
        return found.isMissingNode() ? defaultValue : found.asBoolean();
    }

    /** Returns a string that must be one of {@code words}. */
    public String word(String key, String defaultValue, List<String> words) throws TomlException {
        String word = text(key, defaultValue);
        if (!words.contains(word)) {
            throw invalid(key, "\"" + word + "\" is none of " + String.join(", ", words) + suggestion(word, words));
        }
        return word;
    }

    /** Returns a whole number from {@code min} to {@code max}. */
    public int integer(String key, int defaultValue, int min, int max) throws TomlException {
        double value = number(key, (double) defaultValue, min, max);
        if (value != StrictMath.rint(value)) {
            throw invalid(key, "must be a whole number, not " + value);
        }
        return (int) value;
    }

    /** Returns a number from {@code min} to {@code max}; the key is required if {@code defaultValue} is null. */
    public double number(String key, Double defaultValue, double min, double max) throws TomlException {
        NumberRange range =
                range(key, defaultValue == null ? null : new NumberRange(defaultValue, defaultValue), min, max);
        if (range.low() != range.high()) {
            throw invalid(key, "must be one number, not a range");
        }
        return range.low();
    }

    /** Returns a number or a range within the bounds; the key is required if {@code defaultValue} is null. */
    public NumberRange range(String key, NumberRange defaultValue, double min, double max) throws TomlException {
        JsonNode found = lookup(key);
        if (found.isMissingNode()) {
            if (defaultValue == null) {
                throw missing(key, "expected a number from " + format(min) + " to " + format(max));
            }
            return defaultValue;
        }
        boolean pair = found.isArray()
                && found.size() == 2
                && found.get(0).isNumber()
                && found.get(1).isNumber();
        if (!pair && !found.isNumber()) {
            throw invalid(
                    key,
                    "must be a number, or a range of two as in [1, 2], not " + found
                            + (found.isTextual() ? "; the unit is part of the key's name" : ""));
        }
        NumberRange range = pair
                ? new NumberRange(found.get(0).asDouble(), found.get(1).asDouble())
                : new NumberRange(found.asDouble(), found.asDouble());
        if (range.low() > range.high()) {
            throw invalid(key, "the range " + found + " is reversed; the lower bound comes first");
        }
        if (!(range.low() >= min && range.high() <= max)) {
            throw invalid(key, found + " is not within " + format(min) + " to " + format(max));
        }
        return range;
    }

    private static String format(double value) {
        return value == StrictMath.rint(value) && Math.abs(value) < 1e15
                ? String.valueOf((long) value)
                : String.valueOf(value);
    }

    /** Rejects keys that were never read, here and in subtables; they would otherwise be ignored silently. */
    public void rejectUnknownKeys() throws TomlException {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            if (!readKeys.contains(name)) {
                throw invalid(name, "unknown key" + suggestion(name, new TreeSet<>(readKeys)));
            }
        }
        for (TomlTable table : subtables) {
            table.rejectUnknownKeys();
        }
    }

    /** Returns a message suffix with the most similar word, or with all words if none is similar. */
    static String suggestion(String word, Iterable<String> words) {
        String closest = null;
        int bestDistance = Math.max(1, word.length() / 3) + 1;
        List<String> all = new ArrayList<>();
        for (String candidate : words) {
            all.add(candidate);
            int distance = distance(word, candidate);
            if (distance < bestDistance) {
                bestDistance = distance;
                closest = candidate;
            }
        }
        return closest != null
                ? "; did you mean \"" + closest + "\"?"
                : "; known: " + all.stream().sorted().collect(Collectors.joining(", "));
    }

    /** Returns the Levenshtein distance of two words. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                int change = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
                diagonal = above;
            }
        }
        return row[b.length()];
    }
}
