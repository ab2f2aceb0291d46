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
 * The file that holds the last state of a registry, for a start while the registry is down. It consists of a header
 * line with numbers and a checksum over them and the body, followed by the body in JSON. It is written to a temporary
 * file, forced to disk and renamed: a crash leaves the old or the new file, and any other content is detected by the
 * checksum and not used.
 */
final class RegistryStateFile {
    private static final String MAGIC = "gatefront-registry-1";
    private static final long MAX_BYTES = 64 << 20;

    /**
     * The stored state.
     *
     * @param history the history that the revision belongs to
     * @param revision the revision up to which all changes were known
     * @param savedAtMillis the time of the save, in milliseconds since 1970
     * @param entries the entries
     */
    record StoredState(long history, long revision, long savedAtMillis, List<KeyEntry> entries) {}

    private RegistryStateFile() {}

    static void write(Path file, StoredState state) throws IOException {
        byte[] body = body(state.entries());
        String head = MAGIC + " " + state.history() + " " + state.revision() + " " + state.savedAtMillis() + " "
                + body.length + " " + checksum(state, body) + "\n";
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            for (byte[] part : List.of(head.getBytes(StandardCharsets.US_ASCII), body)) {
                ByteBuffer remaining = ByteBuffer.wrap(part);
                while (remaining.hasRemaining()) {
                    channel.write(remaining);
                }
            }
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            // Without this, the rename may be lost in a power failure.
            folder.force(true);
        }
    }

    /**
     * Returns the state stored in a file, or null if there is no file. Throws an IOException with a message of one
     * line if the file cannot be used.
     */
    static StoredState read(Path file) throws IOException {
        byte[] content;
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new IOException(file + " is larger than such a file may be");
            }
            content = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
        int end = 0;
        while (end < content.length && content[end] != '\n') {
            end++;
        }
        String[] head = new String(content, 0, end, StandardCharsets.US_ASCII).split(" ");
        try {
            byte[] body = Arrays.copyOfRange(content, Math.min(end + 1, content.length), content.length);
            if (head.length != 6 || !head[0].equals(MAGIC) || Integer.parseInt(head[4]) != body.length) {
                throw new IOException(file + " is not whole, or not such a file; it is not used");
            }
            StoredState state = new StoredState(
                    Long.parseLong(head[1]), Long.parseLong(head[2]), Long.parseLong(head[3]), new ArrayList<>());
            if (Long.parseLong(head[5]) != checksum(state, body)) {
                throw new IOException(file + " has another checksum than its text; it is not used");
            }
            for (JsonNode item : Config.parseJson(new ByteArrayInputStream(body))) {
                state.entries()
                        .add(new KeyEntry(
                                item.path("k").asText(),
                                item.path("v").asText(),
                                item.path("c").asLong(),
                                item.path("m").asLong()));
            }
            return state;
        } catch (NumberFormatException e) {
            throw new IOException(file + " is not such a file; it is not used", e);
        }
    }

    private static byte[] body(Collection<KeyEntry> entries) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new JsonFactory().createGenerator(bytes)) {
            out.writeStartArray();
            for (KeyEntry entry : entries) {
                out.writeStartObject();
                out.writeStringField("k", entry.key());
                out.writeStringField("v", entry.value());
                out.writeNumberField("c", entry.createRevision());
                out.writeNumberField("m", entry.modRevision());
                out.writeEndObject();
            }
            out.writeEndArray();
        }
        return bytes.toByteArray();
    }

    /**
     * Returns a checksum that also covers the numbers of the header: a revision with a wrong bit would pass for
     * another state.
     */
    private static long checksum(StoredState state, byte[] body) {
        CRC32C sum = new CRC32C();
        sum.update((state.history() + " " + state.revision() + " " + state.savedAtMillis())
                .getBytes(StandardCharsets.US_ASCII));
        sum.update(body);
        return sum.getValue();
    }
}
