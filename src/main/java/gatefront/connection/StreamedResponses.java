package gatefront.connection;

import gatefront.silence.ResponseSilence;
import gatefront.transport.Transport;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The responses that are being passed on from servers to clients. Checks at short intervals whether their servers are
 * silent, and ends the responses that are no longer waited for. Silence is measured in active time, as servers that
 * were suspended together with this process had no chance to go on. Confined to the event loop.
 */
final class StreamedResponses {
    private static final long CHECK_MS = 250;

    /** A response that is being passed on. */
    interface Response {
        /** Returns the id of its server. */
        long server();

        /** Returns its silence, in the time of {@link StreamedResponses#nowNanos()}. */
        ResponseSilence silence();

        /** Returns whether the server has started since it received the request, given the start time listed now. */
        boolean isOlderThan(long serverStartedAtMicros);

        /** Returns whether it is not being read, because its client does not take it. */
        boolean isPaused();

        /** Reads what has arrived; the response may end by that. */
        void readArrived();

        /** Reports that the response is stalled; returns whether it is still waited for. */
        boolean reportStall();

        /** Ends it before it is complete. */
        void abort(String reason);
    }

    private final Transport transport;
    private final ActiveTime activeTime = new ActiveTime(TimeUnit.MILLISECONDS.toNanos(2 * CHECK_MS));
    /** Each leaves when it has ended. */
    private final Set<Response> responses = new LinkedHashSet<>();

    private boolean isWaitOver;

    /** Creates an instance that watches nothing. */
    StreamedResponses(Transport transport) {
        this.transport = transport;
    }

    /** Returns the active time; it advances only while there are responses. */
    long nowNanos() {
        if (activeTime.isRunning()) {
            activeTime.advance(transport.nanos());
        }
        return activeTime.elapsedNanos();
    }

    /** Watches a response until it is removed. */
    void add(Response response) {
        responses.add(response);
        if (!activeTime.isRunning()) {
            activeTime.start(transport.nanos());
            scheduleCheck();
        }
    }

    /** Forgets a response that has ended. */
    void remove(Response response) {
        responses.remove(response);
    }

    /** Ends the stalled responses, and from now on each that becomes stalled. */
    void stopWaiting() {
        isWaitOver = true;
        List.copyOf(responses).forEach(this::check);
    }

    /** Takes note of a server's start time from the list: responses that it began before cannot be continued. */
    void serverListed(long server, long startedAtMicros) {
        for (Response response : responses) {
            if (response.server() == server && response.isOlderThan(startedAtMicros)) {
                response.silence().serverRestarted();
            }
        }
    }

    /**
     * Ends the stalled response whose server has been silent for longest.
     *
     * @return whether there was one
     */
    boolean endLongestStalled(String reason) {
        return endLongest(stalled(), reason);
    }

    /**
     * Ends a stalled response of a server that has turned a request away, as it may be short of connections. Only one
     * that stayed silent for long while its server was active: a server that was silent as a whole, and is back with a
     * full queue, goes on with its responses.
     */
    void serverTurnedAway(long server) {
        List<Response> hung = stalled().stream()
                .filter(response -> response.server() == server)
                .filter(response -> response.silence().isServerActive())
                .toList();
        endLongest(hung, "its server turns requests away and does not go on with it");
    }

    private List<Response> stalled() {
        return responses.stream()
                .filter(this::isStalled)
                .sorted((a, b) ->
                        Long.compare(a.silence().sinceNanos(), b.silence().sinceNanos()))
                .toList();
    }

    private boolean endLongest(List<Response> candidates, String reason) {
        for (Response response : candidates) {
            response.readArrived();
            if (isStalled(response)) {
                response.abort(reason);
                return true;
            }
        }
        return false;
    }

    private boolean isStalled(Response response) {
        return responses.contains(response)
                && !response.isPaused()
                && response.silence().isStalled(nowNanos());
    }

    private void scheduleCheck() {
        transport.loop().schedule(this::checkAll, CHECK_MS, TimeUnit.MILLISECONDS);
    }

    private void checkAll() {
        List.copyOf(responses).forEach(this::check);
        if (responses.isEmpty()) {
            activeTime.stop();
        } else {
            scheduleCheck();
        }
    }

    private void check(Response response) {
        if (response.isPaused()) {
            response.silence().notRead(nowNanos());
        }
        if (!isStalled(response)) {
            return;
        }
        response.readArrived();
        if (!isStalled(response)) {
            return;
        }
        if (isWaitOver) {
            response.abort("its server is silent, and the time to wait is over");
        } else if (response.silence().isOver(nowNanos())) {
            response.silence().givenUp(nowNanos());
            response.abort("its server is silent");
        } else if (!response.reportStall() && responses.contains(response)) {
            response.abort("its server is silent, and it is not waited for");
        }
    }
}
