package gatefront.toml;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** One table of a file, whose keys are taken one by one; what is left over in the end was not meant. */
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

    /** What is wrong with a key, as one line; to be thrown. */
    public TomlException invalid(String key, String problem) {
        return new TomlException(file + ":" + lines.lineOf(pathOf(key)) + ": " + pathOf(key) + ": " + problem);
    }

    /** A key is missing; where another looks as if it were meant, the message is about that one. */
    private TomlException missing(String key, String expected) {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!readKeys.contains(name) && distance(name, key) <= Math.max(1, key.length() / 3)) {
                return invalid(name, "is not known here; is \"" + key + "\" meant?");
            }
        }
        return invalid(key, "is missing; " + expected);
    }

    private JsonNode lookup(String key) {
        readKeys.add(key);
        return node.path(key);
    }

    /** Whether a key is there. */
    public boolean has(String key) {
        return node.has(key);
    }

    /** A table within; one that is missing is taken as empty. */
    public TomlTable table(String key) throws TomlException {
        JsonNode found = lookup(key);
        if (!found.isMissingNode() && !found.isObject()) {
            throw invalid(key, "is to be a table, as in [" + pathOf(key) + "]");
        }
        TomlTable table = new TomlTable(file, lines, pathOf(key), found);
        subtables.add(table);
        return table;
    }

    /** The tables of an array of tables, perhaps none. */
    public List<TomlTable> tables(String key) throws TomlException {
        JsonNode found = lookup(key);
        if (!found.isMissingNode() && !found.isArray()) {
            throw invalid(key, "is to be a list of tables, as in [[" + pathOf(key) + "]]");
        }
        List<TomlTable> tables = new ArrayList<>();
        for (int i = 0; i < found.size(); i++) {
            if (!found.get(i).isObject()) {
                throw invalid(key, "is to be a list of tables, as in [[" + pathOf(key) + "]]");
            }
            tables.add(new TomlTable(file, lines, pathOf(key) + "." + i, found.get(i)));
        }
        subtables.addAll(tables);
        return tables;
    }

    /** A text; null for {@code otherwise} if it must be there. */
    public String text(String key, String defaultValue) throws TomlException {
        JsonNode found = lookup(key);
        if (found.isMissingNode() && defaultValue != null) {
            return defaultValue;
        }
        if (!found.isTextual() || found.asText().isBlank()) {
            throw found.isMissingNode()
                    ? missing(key, "it is a name in quotes")
                    : invalid(key, "is to be a text in quotes");
        }
        return found.asText();
    }

    /** A list of texts, perhaps none. */
    public List<String> texts(String key) throws TomlException {
        JsonNode found = lookup(key);
        List<String> texts = new ArrayList<>();
        if (!found.isMissingNode() && !found.isArray()) {
            throw invalid(key, "is to be a list of texts, as in [\"a\", \"b\"]");
        }
        for (JsonNode element : found) {
            if (!element.isTextual()) {
                throw invalid(key, "is to be a list of texts; " + element + " is none");
            }
            texts.add(element.asText());
        }
        return texts;
    }

    /** True or false. */
    public boolean bool(String key, boolean defaultValue) throws TomlException {
        JsonNode found = lookup(key);
        if (!found.isMissingNode() && !found.isBoolean()) {
            throw invalid(key, "is to be true or false");
        }
        return found.isMissingNode() ? defaultValue : found.asBoolean();
    }

    /** One of some words. */
    public String word(String key, String defaultValue, List<String> words) throws TomlException {
        String word = text(key, defaultValue);
        if (!words.contains(word)) {
            throw invalid(key, "\"" + word + "\" is none of " + String.join(", ", words) + suggestion(word, words));
        }
        return word;
    }

    /** A whole number within bounds. */
    public int integer(String key, int defaultValue, int min, int max) throws TomlException {
        double value = number(key, (double) defaultValue, min, max);
        if (value != StrictMath.rint(value)) {
            throw invalid(key, "is to be a whole number, not " + value);
        }
        return (int) value;
    }

    /** A number within bounds; null for {@code otherwise} if it must be there. */
    public double number(String key, Double defaultValue, double min, double max) throws TomlException {
        NumberRange range =
                range(key, defaultValue == null ? null : new NumberRange(defaultValue, defaultValue), min, max);
        if (range.low() != range.high()) {
            throw invalid(key, "is to be one number, not a range");
        }
        return range.low();
    }

    /** A number or a range of two, within bounds; null for {@code otherwise} if it must be there. */
    public NumberRange range(String key, NumberRange defaultValue, double min, double max) throws TomlException {
        JsonNode found = lookup(key);
        if (found.isMissingNode()) {
            if (defaultValue == null) {
                throw missing(key, "it is a number from " + format(min) + " to " + format(max));
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
                    "is to be a number, or a range of two as in [1, 2], not " + found
                            + (found.isTextual() ? "; the unit stands in the key's name" : ""));
        }
        NumberRange range = pair
                ? new NumberRange(found.get(0).asDouble(), found.get(1).asDouble())
                : new NumberRange(found.asDouble(), found.asDouble());
        if (range.low() > range.high()) {
            throw invalid(key, "the range " + found + " runs backwards; the lower figure comes first");
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

    /** Refuses what nobody has taken: it was meant, and would not be heeded. */
    public void rejectUnknownKeys() throws TomlException {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            if (!readKeys.contains(name)) {
                throw invalid(name, "is not known here" + suggestion(name, new TreeSet<>(readKeys)));
            }
        }
        for (TomlTable table : subtables) {
            table.rejectUnknownKeys();
        }
    }

    /** The nearest of some words, where one is near. */
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
                ? "; is \"" + closest + "\" meant?"
                : "; known are " + all.stream().sorted().collect(Collectors.joining(", "));
    }

    /** Edits from one word to the other (Levenshtein). */
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
