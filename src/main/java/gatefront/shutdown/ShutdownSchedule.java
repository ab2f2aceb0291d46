package gatefront.shutdown;

/**
 * When an agent that was told to end does what, in milliseconds from that moment.
 *
 * @param lateRequestsMs requests that arrive later than this have to be complete before the agent is killed
 * @param closeConnectionsMs when connections begin to be closed between requests
 * @param lastResponseMs when the requests that still wait get their responses
 * @param lastBodyMs when the bodies of responses have to be complete
 */
public record ShutdownSchedule(long lateRequestsMs, long closeConnectionsMs, long lastResponseMs, long lastBodyMs) {
    /** An agent is killed this long after the longest deadline of a request has passed, in milliseconds. */
    private static final long KILL_AFTER_MS = 700;
    /** Longer deadlines count as this much until the kill, in milliseconds. */
    private static final long MAX_COUNTED_DEADLINE_MS = 3_000;
    /** Time between the last responses and the moment when the agent is killed, in milliseconds. */
    private static final long FINAL_RESPONSE_MARGIN_MS = 200;
    /** Time between the start of closing connections and the last responses, in milliseconds. */
    private static final long CONNECTION_CLOSE_MS = 300;
    /** Maximum time until connections begin to close, whatever the deadlines, in milliseconds. */
    private static final long MAX_SERVE_AFTER_STOP_MS = 2_000;
    /** Time between the end of the last body of a response and the moment when the agent is killed, in milliseconds. */
    private static final long BODY_MARGIN_MS = 50;
    /**
     * Time between the end of stalled responses and the last responses, in milliseconds: an agent that has waited for
     * nothing else ends in order before it is killed.
     */
    private static final long STALLED_RESPONSE_MARGIN_MS = 150;
    /** How much later than it was sent the signal to end may be handled, in milliseconds. */
    private static final long SIGNAL_DELAY_MS = 50;

    /** Returns the schedule of an agent whose longest deadline of a request is {@code longestDeadlineMs}. */
    public static ShutdownSchedule of(long longestDeadlineMs) {
        long killMs = Math.min(MAX_COUNTED_DEADLINE_MS, longestDeadlineMs) + KILL_AFTER_MS;
        long lastResponseMs = killMs - FINAL_RESPONSE_MARGIN_MS;
        return new ShutdownSchedule(
                KILL_AFTER_MS - SIGNAL_DELAY_MS,
                Math.min(MAX_SERVE_AFTER_STOP_MS, lastResponseMs - CONNECTION_CLOSE_MS),
                lastResponseMs,
                killMs - BODY_MARGIN_MS);
    }

    /** Returns when servers that are silent in the middle of a response are no longer waited for. */
    public long stalledResponsesMs() {
        return lastResponseMs - STALLED_RESPONSE_MARGIN_MS;
    }
}
