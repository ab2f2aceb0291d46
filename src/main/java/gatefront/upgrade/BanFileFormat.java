package gatefront.upgrade;

import gatefront.membership.ServerBans;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32;

/** Entries of operators' bans as the text of a file: a version, a line each, a check sum. Pure. */
final class BanFileFormat {
    private static final String HEADER = "lemonspan-bans 1\n";
    private static final String CHECKSUM_PREFIX = "sum ";

    private BanFileFormat() {}

    static String write(Map<String, ServerBans.Entry> entries) {
        StringBuilder text = new StringBuilder(HEADER);
        entries.forEach((name, entry) -> text.append(entry.drained() ? "out " : "in ")
                .append(entry.changedAtMicros())
                .append(' ')
                .append(name)
                .append('\n'));
        String sum = checksum(text.toString());
        return text.append(CHECKSUM_PREFIX).append(sum).append('\n').toString();
    }

    /**
     * Reads it.
     *
     * @throws IllegalArgumentException if it is torn, of another version or none of ours; the message is one line
     */
    static Map<String, ServerBans.Entry> read(String text) {
        if (!text.startsWith(HEADER)) {
            throw new IllegalArgumentException("not of this version");
        }
        int last = text.lastIndexOf(CHECKSUM_PREFIX);
        if (last < HEADER.length()
                || !text.substring(last).equals(CHECKSUM_PREFIX + checksum(text.substring(0, last)) + "\n")) {
            throw new IllegalArgumentException("torn: the check sum is wrong");
        }
        Map<String, ServerBans.Entry> entries = new LinkedHashMap<>();
        for (String line : text.substring(HEADER.length(), last).lines().toList()) {
            String[] words = line.split(" ", 3);
            boolean out = words[0].equals("out");
            if (words.length != 3 || !out && !words[0].equals("in") || entries.size() >= ServerBans.MAX_ENTRIES) {
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

    private static String checksum(String text) {
        CRC32 sum = new CRC32();
        sum.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(sum.getValue());
    }
}
