package gatefront.engine;

import gatefront.membership.Endpoint;
import gatefront.policy.Balancer.Outcome;

/**
 * Sends attempts and probes to the servers. Each result is delivered exactly once, and never from within the method
 * that started the attempt or probe. For a server that is not listed as ready, only outstanding attempts hold state.
 */
public interface Upstream {
    /**
     * How an attempt or probe ended.
     *
     * @param outcome reported to the decision module
     * @param loadReport the server's load report in the order of the configured fields; empty if there was none
     * @param response the response if the server served the request, else null
     * @param rejection the response if the server found the request itself invalid, else null
     */
    record Result(Outcome outcome, double[] loadReport, Payload response, Payload rejection) {}

    /** Receives the progress of an attempt or probe; the result is reported last, and exactly once. */
    interface Listener {
        /** The attempt or probe has ended. */
        void onResult(Result result);

        /**
         * Returns whether the request is still to be sent. Asked immediately before its first byte is written, and
         * before the last one of a streamed body.
         */
        default boolean isStillWanted() {
            return true;
        }

        /** The last byte of the request has been sent. */
        default void onRequestSent() {}

        /** A streamed request starts to be sent; it cannot be sent again. */
        default void onRequestStreaming() {}

        /** The head of the response has arrived, where the protocol shows it; interim responses are not reported. */
        default void onResponseStarted() {}

        /** A streamed response has started; its result is reported when the stream has ended. */
        default void onResponseStreaming(Payload response) {}

        /**
         * The server has been silent for long in the middle of a streamed response. Called at short intervals for as
         * long as it is.
         *
         * @return whether the rest of the response is still wanted
         */
        default boolean onResponseStalled() {
            return false;
        }
    }

    /** One sending of a request to a server. */
    interface Attempt {
        /** Stops the attempt; if it has no result yet, that is {@link Outcome#CANCELLED}. */
        void cancel();

        /**
         * Streams the response from now on if its head has arrived and its length is not known. To be called when the
         * time for a response has passed: what the server is still sending is not cut off.
         *
         * @return whether the response is being streamed
         */
        default boolean streamBegunResponse() {
            return false;
        }
    }

    /** Applies one entry of the server list. */
    void updateServer(Endpoint endpoint);

    /** Sends nothing new to this server: attempts not yet written end as {@link Outcome#NEVER_SENT}. */
    void removeServer(long server);

    /** Closes the idle connections to a server. */
    void closeIdle(long server);

    /** Ends the streamed responses whose server is silent, and from now on each whose server falls silent. */
    default void stopWaitingForSilentServers() {}

    /** Returns the number of servers that state is kept for. */
    int serverCount();

    /** Sends a request; a timeout of 0 means no timeout. */
    Attempt send(long server, Payload payload, long timeoutMicros, Listener listener);

    /** Probes a server's health. */
    void probe(long server, Listener listener);
}
