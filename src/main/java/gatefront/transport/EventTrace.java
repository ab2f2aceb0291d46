package gatefront.transport;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Records what happens to single requests and connections, one line for each event, so that the history of a request
 * can be followed after an incident. It is off by default; callers check {@link #isEnabled()} before they build a text.
 */
public final class EventTrace {
    /** A trace that records nothing. */
    public static final EventTrace OFF = new EventTrace(null, null);

    private static final double NANOS_PER_SECOND = 1e9;

    private final LongSupplier nanoClock;
    private final Consumer<String> log;

    private EventTrace(LongSupplier nanoClock, Consumer<String> log) {
        this.nanoClock = nanoClock;
        this.log = log;
    }

    /** Creates a trace that writes lines with the time of a monotonic clock to a log. */
    public static EventTrace to(LongSupplier nanoClock, Consumer<String> log) {
        return new EventTrace(nanoClock, log);
    }

    /** Returns whether events are recorded. */
    public boolean isEnabled() {
        return log != null;
    }

    /** Records an event of the request with this id. */
    public void request(String id, String event) {
        write("request " + id, event);
    }

    /** Records an event of a connection, named by its kind and channel. */
    public void connection(String kind, Object channel, String event) {
        write(kind + " connection " + channel, event);
    }

    private void write(String subject, String event) {
        if (isEnabled()) {
            log.accept(String.format(
                    Locale.ROOT, "trace %.6f %s: %s", nanoClock.getAsLong() / NANOS_PER_SECOND, subject, event));
        }
    }
}
