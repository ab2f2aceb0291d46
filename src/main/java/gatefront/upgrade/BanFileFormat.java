package gatefront.upgrade;

import gatefront.membership.ServerBans;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32;

/** The text format of a file with manual drains: a version line, a line for each entry, and a checksum line. */
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
        String checksum = checksum(text.toString());
        return text.append(CHECKSUM_PREFIX).append(checksum).append('\n').toString();
    }

    /**
     * Parses the text of a file.
     *
     * @throws IllegalArgumentException if the text is truncated, corrupt, of another version or of another format; the
     *     message is a single line
     */
    static Map<String, ServerBans.Entry> read(String text) {
        if (!text.startsWith(HEADER)) {
            throw new IllegalArgumentException("unsupported format: expected first line " + HEADER.trim());
        }
        int checksumStart = text.lastIndexOf(CHECKSUM_PREFIX);
        if (checksumStart < HEADER.length()
                || !text.substring(checksumStart)
                        .equals(CHECKSUM_PREFIX + checksum(text.substring(0, checksumStart)) + "\n")) {
            throw new IllegalArgumentException("truncated or corrupt: checksum mismatch");
        }
        Map<String, ServerBans.Entry> entries = new LinkedHashMap<>();
        for (String line :
                text.substring(HEADER.length(), checksumStart).lines().toList()) {
            String[] words = line.split(" ", 3);
            boolean drained = words[0].equals("out");
            if (words.length != 3 || !drained && !words[0].equals("in")) {
                throw new IllegalArgumentException("malformed line: expected 'out|in TIME NAME'");
            }
            if (entries.size() >= ServerBans.MAX_ENTRIES) {
                throw new IllegalArgumentException("more than " + ServerBans.MAX_ENTRIES + " entries");
            }
            try {
                entries.put(words[2], new ServerBans.Entry(drained, Long.parseLong(words[1])));
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("malformed line: time is not an integer", e);
            }
        }
        return entries;
    }

    private static String checksum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }
}
