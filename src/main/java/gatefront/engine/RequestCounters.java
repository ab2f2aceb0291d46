package gatefront.engine;

import java.util.Arrays;

/**
 * How requests have ended, by the number of their class, and what is under way. One thread; counts from the process's
 * start. A number for each class that there ever was: classes are bounded where they get their numbers.
 */
public final class RequestCounters {
    private long[] ok;
    private long[] shed;
    private long[] errors;
    private long attempts;
    private long active;

    /** Nothing yet, of so many classes. */
    public RequestCounters(int classes) {
        ok = new long[classes];
        shed = new long[classes];
        errors = new long[classes];
    }

    /** There are so many classes now. */
    void grow(int classes) {
        ok = Arrays.copyOf(ok, classes);
        shed = Arrays.copyOf(shed, classes);
        errors = Arrays.copyOf(errors, classes);
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

    /** Served, of a class. */
    public long ok(int requestClass) {
        return ok[requestClass];
    }

    /** Refused, of a class. */
    public long shed(int requestClass) {
        return shed[requestClass];
    }

    /** Failed, of a class; those whose caller has gone are among them. */
    public long errors(int requestClass) {
        return errors[requestClass];
    }

    /** How many classes have counts. */
    public int classCount() {
        return ok.length;
    }

    /** Attempts whose last byte has left for a server; probes are none. */
    public long attempts() {
        return attempts;
    }

    /** Requests taken and not ended. */
    public long active() {
        return active;
    }
}
