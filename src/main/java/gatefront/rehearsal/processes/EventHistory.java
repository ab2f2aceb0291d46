package gatefront.rehearsal.processes;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The history of a rehearsal: what was asked, done and seen, a line of JSON each, in the order in which the rig learned
 * of it; {@code at} is the second of the day at which it was. Written by one loop.
 */
public final class EventHistory implements Closeable {
    private static final double MICROS = 1e6;

    private final JsonGenerator generator;
    private long originMicros;

    /** Written to a file; nowhere where that is null. */
    public EventHistory(Path file) throws IOException {
        Writer writer = file == null ? Writer.nullWriter() : Files.newBufferedWriter(file);
        generator = new JsonFactory().createGenerator(writer);
        generator.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
    }

    /** Seconds count from here on. */
    public void setOrigin(long at) {
        originMicros = at;
    }

    /** Something happened to a request. */
    public void request(long at, String request, String what) {
        write(at, "request", request, what);
    }

    /** Something was done to, or said by, somebody. */
    public void event(long at, String kind, String who, String what) {
        write(at, kind, who, what);
    }

    private void write(long at, String kind, String who, String what) {
        try {
            generator.writeStartObject();
            generator.writeNumberField("at", Math.rint(at - originMicros) / MICROS);
            generator.writeStringField("kind", kind);
            generator.writeStringField("who", who);
            generator.writeStringField("what", what);
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        generator.close();
    }
}
