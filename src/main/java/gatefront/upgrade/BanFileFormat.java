package gatefront.upgrade;

import gatefront.membership.ServerBans;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32;

/** Entries of operators' bans as the text of a file: a version, a line each, a check sum. Pure. */
final class BanFileFormat {
    private static final String FIRST = "lemonspan-bans 1\n";
    private static final String LAST = "sum ";

    private BanFileFormat() {}

    static String write(Map<String, ServerBans.Entry> entries) {
        StringBuilder text = new StringBuilder(FIRST);
        entries.forEach((name, entry) -> text.append(entry.out() ? "out " : "in ")
                .append(entry.at())
                .append(' ')
                .append(name)
                .append('\n'));
        String sum = sum(text.toString());
        return text.append(LAST).append(sum).append('\n').toString();
    }

    /**
     * Reads it.
     *
     * @throws IllegalArgumentException if it is torn, of another version or none of ours; the message is one line
     */
    static Map<String, ServerBans.Entry> read(String text) {
        if (!text.startsWith(FIRST)) {
            throw new IllegalArgumentException("not of this version");
        }
        int last = text.lastIndexOf(LAST);
        if (last < FIRST.length() || !text.substring(last).equals(LAST + sum(text.substring(0, last)) + "\n")) {
            throw new IllegalArgumentException("torn: the check sum is wrong");
        }
        Map<String, ServerBans.Entry> entries = new LinkedHashMap<>();
        for (String line : text.substring(FIRST.length(), last).lines().toList()) {
            String[] words = line.split(" ", 3);
            boolean out = words[0].equals("out");
            if (words.length != 3 || !out && !words[0].equals("in") || entries.size() >= ServerBans.MOST) {
                throw new IllegalArgumentException("a line that makes no sense");
            }
            try {
                entries.put(words[2], new ServerBans.Entry(out, Long.parseLong(words[1])));
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("a time that is none", e);
            }
        }
        return entries;
    }

    private static String sum(String text) {
        CRC32 sum = new CRC32();
        sum.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(sum.getValue());
    }
}
