package gatefront.registry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import gatefront.config.Config;
import gatefront.registry.follower.KeyEntry;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The last state of a registry on disk, for a start while the registry is down. One line of figures with a checksum of
 * what follows, then JSON. It is written beside its place, forced to disk and moved there: a crash leaves the old one
 * or the new one, and what is neither is told by its checksum and not used.
 */
final class RegistryStateFile {
    private static final String MAGIC = "gatefront-registry-1";
    private static final long BYTES_MOST = 64 << 20;

    /**
     * What was kept.
     *
     * @param history whose revisions they are
     * @param revision up to which all was known
     * @param savedAt milliseconds since 1970
     * @param entries the keys
     */
    record Kept(long history, long revision, long savedAt, List<KeyEntry> entries) {}

    private RegistryStateFile() {}

    static void write(Path to, Kept kept) throws IOException {
        byte[] body = body(kept.entries());
        String head = MAGIC + " " + kept.history() + " " + kept.revision() + " " + kept.savedAt() + " " + body.length
                + " " + checksum(kept, body) + "\n";
        Path beside = to.resolveSibling(to.getFileName() + ".new");
        try (FileChannel file = FileChannel.open(
                beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            for (byte[] each : List.of(head.getBytes(StandardCharsets.US_ASCII), body)) {
                ByteBuffer left = ByteBuffer.wrap(each);
                while (left.hasRemaining()) {
                    file.write(left);
                }
            }
            file.force(true);
        }
        Files.move(beside, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(to.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true); // else the new name may be lost with the power
        }
    }

    /** What a file keeps; null if there is none. An IOException says in one line why it cannot be used. */
    static Kept read(Path from) throws IOException {
        byte[] all;
        try {
            if (Files.size(from) > BYTES_MOST) {
                throw new IOException(from + " is larger than such a file may be");
            }
            all = Files.readAllBytes(from);
        } catch (NoSuchFileException e) {
            return null;
        }
        int end = 0;
        while (end < all.length && all[end] != '\n') {
            end++;
        }
        String[] head = new String(all, 0, end, StandardCharsets.US_ASCII).split(" ");
        try {
            byte[] body = Arrays.copyOfRange(all, Math.min(end + 1, all.length), all.length);
            if (head.length != 6 || !head[0].equals(MAGIC) || Integer.parseInt(head[4]) != body.length) {
                throw new IOException(from + " is not whole, or not such a file; it is not used");
            }
            Kept kept = new Kept(
                    Long.parseLong(head[1]), Long.parseLong(head[2]), Long.parseLong(head[3]), new ArrayList<>());
            if (Long.parseLong(head[5]) != checksum(kept, body)) {
                throw new IOException(from + " has another checksum than its text; it is not used");
            }
            for (JsonNode each : Config.parseJson(new ByteArrayInputStream(body))) {
                kept.entries()
                        .add(new KeyEntry(
                                each.path("k").asText(),
                                each.path("v").asText(),
                                each.path("c").asLong(),
                                each.path("m").asLong()));
            }
            return kept;
        } catch (NumberFormatException e) {
            throw new IOException(from + " is not such a file; it is not used", e);
        }
    }

    private static byte[] body(Collection<KeyEntry> entries) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new JsonFactory().createGenerator(bytes)) {
            out.writeStartArray();
            for (KeyEntry each : entries) {
                out.writeStartObject();
                out.writeStringField("k", each.key());
                out.writeStringField("v", each.value());
                out.writeNumberField("c", each.created());
                out.writeNumberField("m", each.modified());
                out.writeEndObject();
            }
            out.writeEndArray();
        }
        return bytes.toByteArray();
    }

    /** Over the figures too: a revision that is wrong by one bit would pass for another state. */
    private static long checksum(Kept kept, byte[] body) {
        CRC32C sum = new CRC32C();
        sum.update((kept.history() + " " + kept.revision() + " " + kept.savedAt()).getBytes(StandardCharsets.US_ASCII));
        sum.update(body);
        return sum.getValue();
    }
}
