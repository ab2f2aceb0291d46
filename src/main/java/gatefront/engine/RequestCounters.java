package gatefront.engine;

import java.util.Arrays;

/**
 * Counts by class index how requests have ended, and how many are in progress, since the process started. Not
 * thread-safe. A class keeps its counters when it leaves the settings; the number of classes is bounded where indexes
 * are assigned.
 */
public final class RequestCounters {
    private long[] ok;
    private long[] shed;
    private long[] errors;
    private long attempts;
    private long active;

    /** Creates counters for this many classes. */
    public RequestCounters(int classes) {
        ok = new long[classes];
        shed = new long[classes];
        errors = new long[classes];
    }

    /** Makes room for this many classes. */
    void grow(int classCount) {
        ok = Arrays.copyOf(ok, classCount);
        shed = Arrays.copyOf(shed, classCount);
        errors = Arrays.copyOf(errors, classCount);
    }

    void recordServed(int requestClass) {
        ok[requestClass]++;
    }

    void recordShed(int requestClass) {
        shed[requestClass]++;
    }

    void recordError(int requestClass) {
        errors[requestClass]++;
    }

    void recordAttempt() {
        attempts++;
    }

    void recordStarted() {
        active++;
    }

    void recordEnded() {
        active--;
    }

    /** Returns how many requests of a class were served. */
    public long ok(int requestClass) {
        return ok[requestClass];
    }

    /** Returns how many requests of a class were refused. */
    public long shed(int requestClass) {
        return shed[requestClass];
    }

    /** Returns how many requests of a class failed, including those whose client disconnected. */
    public long errors(int requestClass) {
        return errors[requestClass];
    }

    /** Returns the number of classes that have counters. */
    public int classCount() {
        return ok.length;
    }

    /** Returns how many attempts were sent to a server to their last byte; probes are not counted. */
    public long attempts() {
        return attempts;
    }

    /** Returns how many accepted requests are in progress. */
    public long active() {
        return active;
    }
}
