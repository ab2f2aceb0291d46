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

    private final JsonGenerator to;
    private long opensAt;

    /** Written to a file; nowhere where that is null. */
    public EventHistory(Path file) throws IOException {
        Writer writer = file == null ? Writer.nullWriter() : Files.newBufferedWriter(file);
        to = new JsonFactory().createGenerator(writer);
        to.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
    }

    /** Seconds count from here on. */
    public void opens(long at) {
        opensAt = at;
    }

    /** Something happened to a request. */
    public void request(long at, String request, String what) {
        line(at, "request", request, what);
    }

    /** Something was done to, or said by, somebody. */
    public void event(long at, String kind, String who, String what) {
        line(at, kind, who, what);
    }

    private void line(long at, String kind, String who, String what) {
        try {
            to.writeStartObject();
            to.writeNumberField("at", Math.rint(at - opensAt) / MICROS);
            to.writeStringField("kind", kind);
            to.writeStringField("who", who);
            to.writeStringField("what", what);
            to.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        to.close();
    }
}
