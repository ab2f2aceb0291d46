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
 * The event log of a rehearsal with several processes: one JSON object per line for each request event, fault, log line
 * and operator command, in the order in which the rig learned of them. The field {@code at} is the time of the event in
 * seconds since traffic started. Only one event loop writes to it.
 */
public final class EventHistory implements Closeable {
    private static final double MICROS_PER_SECOND = 1e6;

    private final JsonGenerator generator;
    /** Rehearsal time that the field {@code at} counts from, in microseconds. */
    private long originMicros;

    /** Creates a history that is written to a file, or discarded if the file is null. */
    public EventHistory(Path file) throws IOException {
        Writer writer = file == null ? Writer.nullWriter() : Files.newBufferedWriter(file);
        generator = new JsonFactory().createGenerator(writer);
        generator.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
    }

    /** Sets the rehearsal time, in microseconds, from which the seconds of later events are counted. */
    public void setOrigin(long at) {
        originMicros = at;
    }

    /** Records an event of a request; {@code at} is rehearsal time in microseconds. */
    public void request(long at, String request, String what) {
        write(at, "request", request, what);
    }

    /** Records an event of a process, a link, a folder or an operator; {@code at} is rehearsal time in microseconds. */
    public void event(long at, String kind, String who, String what) {
        write(at, kind, who, what);
    }

    private void write(long at, String kind, String who, String what) {
        try {
            generator.writeStartObject();
            generator.writeNumberField("at", Math.rint(at - originMicros) / MICROS_PER_SECOND);
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
