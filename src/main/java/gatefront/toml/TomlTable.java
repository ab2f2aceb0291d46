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
    private final Set<String> taken = new LinkedHashSet<>();
    private final List<TomlTable> inner = new ArrayList<>();

    TomlTable(String file, KeyLineIndex lines, String path, JsonNode node) {
        this.file = file;
        this.lines = lines;
        this.path = path;
        this.node = node;
    }

    private String at(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** What is wrong with a key, as one line; to be thrown. */
    public TomlException bad(String key, String what) {
        return new TomlException(file + ":" + lines.of(at(key)) + ": " + at(key) + ": " + what);
    }

    /** A key is missing; where another looks as if it were meant, the message is about that one. */
    private TomlException missing(String key, String what) {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!taken.contains(name) && distance(name, key) <= Math.max(1, key.length() / 3)) {
                return bad(name, "is not known here; is \"" + key + "\" meant?");
            }
        }
        return bad(key, "is missing; " + what);
    }

    private JsonNode take(String key) {
        taken.add(key);
        return node.path(key);
    }

    /** Whether a key is there. */
    public boolean has(String key) {
        return node.has(key);
    }

    /** A table within; one that is missing is taken as empty. */
    public TomlTable table(String key) throws TomlException {
        JsonNode found = take(key);
        if (!found.isMissingNode() && !found.isObject()) {
            throw bad(key, "is to be a table, as in [" + at(key) + "]");
        }
        TomlTable table = new TomlTable(file, lines, at(key), found);
        inner.add(table);
        return table;
    }

    /** The tables of an array of tables, perhaps none. */
    public List<TomlTable> tables(String key) throws TomlException {
        JsonNode found = take(key);
        if (!found.isMissingNode() && !found.isArray()) {
            throw bad(key, "is to be a list of tables, as in [[" + at(key) + "]]");
        }
        List<TomlTable> tables = new ArrayList<>();
        for (int i = 0; i < found.size(); i++) {
            if (!found.get(i).isObject()) {
                throw bad(key, "is to be a list of tables, as in [[" + at(key) + "]]");
            }
            tables.add(new TomlTable(file, lines, at(key) + "." + i, found.get(i)));
        }
        inner.addAll(tables);
        return tables;
    }

    /** A text; null for {@code otherwise} if it must be there. */
    public String text(String key, String otherwise) throws TomlException {
        JsonNode found = take(key);
        if (found.isMissingNode() && otherwise != null) {
            return otherwise;
        }
        if (!found.isTextual() || found.asText().isBlank()) {
            throw found.isMissingNode()
                    ? missing(key, "it is a name in quotes")
                    : bad(key, "is to be a text in quotes");
        }
        return found.asText();
    }

    /** A list of texts, perhaps none. */
    public List<String> texts(String key) throws TomlException {
        JsonNode found = take(key);
        List<String> texts = new ArrayList<>();
        if (!found.isMissingNode() && !found.isArray()) {
            throw bad(key, "is to be a list of texts, as in [\"a\", \"b\"]");
        }
        for (JsonNode each : found) {
            if (!each.isTextual()) {
                throw bad(key, "is to be a list of texts; " + each + " is none");
            }
            texts.add(each.asText());
        }
        return texts;
    }

    /** True or false. */
    public boolean flag(String key, boolean otherwise) throws TomlException {
        JsonNode found = take(key);
        if (!found.isMissingNode() && !found.isBoolean()) {
            throw bad(key, "is to be true or false");
        }
        return found.isMissingNode() ? otherwise : found.asBoolean();
    }

    /** One of some words. */
    public String word(String key, String otherwise, List<String> words) throws TomlException {
        String word = text(key, otherwise);
        if (!words.contains(word)) {
            throw bad(key, "\"" + word + "\" is none of " + String.join(", ", words) + meant(word, words));
        }
        return word;
    }

    /** A whole number within bounds. */
    public int whole(String key, int otherwise, int least, int most) throws TomlException {
        double value = number(key, (double) otherwise, least, most);
        if (value != StrictMath.rint(value)) {
            throw bad(key, "is to be a whole number, not " + value);
        }
        return (int) value;
    }

    /** A number within bounds; null for {@code otherwise} if it must be there. */
    public double number(String key, Double otherwise, double least, double most) throws TomlException {
        NumberRange range = range(key, otherwise == null ? null : new NumberRange(otherwise, otherwise), least, most);
        if (range.low() != range.high()) {
            throw bad(key, "is to be one number, not a range");
        }
        return range.low();
    }

    /** A number or a range of two, within bounds; null for {@code otherwise} if it must be there. */
    public NumberRange range(String key, NumberRange otherwise, double least, double most) throws TomlException {
        JsonNode found = take(key);
        if (found.isMissingNode()) {
            if (otherwise == null) {
                throw missing(key, "it is a number from " + plain(least) + " to " + plain(most));
            }
            return otherwise;
        }
        boolean pair = found.isArray()
                && found.size() == 2
                && found.get(0).isNumber()
                && found.get(1).isNumber();
        if (!pair && !found.isNumber()) {
            throw bad(
                    key,
                    "is to be a number, or a range of two as in [1, 2], not " + found
                            + (found.isTextual() ? "; the unit stands in the key's name" : ""));
        }
        NumberRange range = pair
                ? new NumberRange(found.get(0).asDouble(), found.get(1).asDouble())
                : new NumberRange(found.asDouble(), found.asDouble());
        if (range.low() > range.high()) {
            throw bad(key, "the range " + found + " runs backwards; the lower figure comes first");
        }
        if (!(range.low() >= least && range.high() <= most)) {
            throw bad(key, found + " is not within " + plain(least) + " to " + plain(most));
        }
        return range;
    }

    private static String plain(double figure) {
        return figure == StrictMath.rint(figure) && Math.abs(figure) < 1e15
                ? String.valueOf((long) figure)
                : String.valueOf(figure);
    }

    /** Refuses what nobody has taken: it was meant, and would not be heeded. */
    public void finish() throws TomlException {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            if (!taken.contains(name)) {
                throw bad(name, "is not known here" + meant(name, new TreeSet<>(taken)));
            }
        }
        for (TomlTable each : inner) {
            each.finish();
        }
    }

    /** The nearest of some words, where one is near. */
    static String meant(String word, Iterable<String> words) {
        String best = null;
        int least = Math.max(1, word.length() / 3) + 1;
        List<String> all = new ArrayList<>();
        for (String each : words) {
            all.add(each);
            int distance = distance(word, each);
            if (distance < least) {
                least = distance;
                best = each;
            }
        }
        return best != null
                ? "; is \"" + best + "\" meant?"
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
