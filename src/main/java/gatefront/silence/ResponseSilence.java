package gatefront.silence;

/**
 * The silence of a server in the middle of a response that is being passed on to a client. Silence alone does not tell
 * a server that has paused, or is cut off for a while, from one that has gone: the connection stays open in both cases.
 * A stalled response is therefore kept for a while, which is shorter the more is known against it: the server has
 * started anew, or it is active on other connections, or it is active and has left such responses unfinished lately.
 * The owner may end it sooner where resources are scarce or the time to wait is over. Not thread-safe.
 */
public final class ResponseSilence {
    /** A response of which nothing has arrived for longer than this is stalled. */
    public static final long STALL_NANOS = 4_000_000_000L;
    /** Longest silence of a server that is waited out. A client may read nothing of a response for as long. */
    public static final long MAX_NANOS = 30_000_000_000L;
    /** Longest silence in a response while its server is active on other connections. */
    public static final long MAX_OF_ACTIVE_SERVER_NANOS = 10_000_000_000L;

    private final ServerRecord server;
    private long sinceNanos;
    private boolean serverRestarted;

    /** Creates the state of a response that {@code server} begins to send at {@code nowNanos}. */
    public ResponseSilence(ServerRecord server, long nowNanos) {
        this.server = server;
        sinceNanos = nowNanos;
    }

    /** Notes that some of the response has arrived. */
    public void received(long nowNanos) {
        if (isStalled(nowNanos)) {
            server.wentOn();
        }
        server.heard(nowNanos);
        sinceNanos = nowNanos;
    }

    /** Notes that the agent was not reading the response until now. */
    public void notRead(long nowNanos) {
        sinceNanos = nowNanos;
    }

    /** Notes that the server has started anew since it received the request, so that it cannot go on. */
    public void serverRestarted() {
        serverRestarted = true;
    }

    /** Returns since when nothing has arrived. */
    public long sinceNanos() {
        return sinceNanos;
    }

    /** Returns whether the response is stalled: its server counts as failing, and it may have to give way. */
    public boolean isStalled(long nowNanos) {
        return nowNanos - sinceNanos > STALL_NANOS;
    }

    /** Returns whether the server has been active for long while the response was silent. */
    public boolean isServerActive() {
        return server.activeNanosSince(sinceNanos) > STALL_NANOS;
    }

    /** Returns whether the rest of the response is no longer waited for. */
    public boolean isOver(long nowNanos) {
        return nowNanos - sinceNanos > (serverRestarted ? STALL_NANOS : MAX_NANOS) || isHung(nowNanos);
    }

    /** Notes that the response is ended as it {@link #isOver}: the server may have left it unfinished. */
    public void givenUp(long nowNanos) {
        if (!serverRestarted && isHung(nowNanos)) {
            server.didNotGoOn(nowNanos);
        }
    }

    private boolean isHung(long nowNanos) {
        long maxActiveNanos = server.isTrusted(nowNanos) ? MAX_OF_ACTIVE_SERVER_NANOS : STALL_NANOS;
        return server.activeNanosSince(sinceNanos) > maxActiveNanos;
    }
}
