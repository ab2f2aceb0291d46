package gatefront.engine;

import gatefront.membership.Endpoint;
import gatefront.policy.Balancer.Outcome;

/**
 * The way to the servers. Every result comes later, never within the call that asks for it, and exactly once.
 * Nothing is kept for a server that is not listed as ready but by the attempts that are out.
 */
public interface Upstream {
    /**
     * How an attempt or probe ended.
     *
     * @param outcome for the decision module
     * @param loadReport the server's load report in the order of the settings' fields; empty if none came
     * @param response what was served, else null
     * @param rejection what blames the call, else null
     */
    record Result(Outcome outcome, double[] loadReport, Payload response, Payload rejection) {}

    /** What hears of an attempt or probe; its result comes last, and once. */
    interface Listener {
        /** It has ended. */
        void onResult(Result result);

        /** The last byte of the request has left. */
        default void onRequestSent() {}

        /** A request that comes in pieces begins to leave: it cannot be sent again. */
        default void onRequestStreaming() {}

        /** The head of an answer has come, where a protocol tells; what goes ahead of an answer is none. */
        default void onResponseStarted() {}

        /** An answer that comes in pieces has begun; its result is told when it has ended. */
        default void onResponseStreaming(Payload response) {}
    }

    /** A call on its way to a server. */
    interface Attempt {
        /** Stops waiting for it; its result is {@link Outcome#CANCELLED}, if there is none yet. */
        void cancel();
    }

    /** Applies a line of the server list. */
    void updateServer(Endpoint endpoint);

    /** Nothing new goes to this server: what is not written yet ends as {@link Outcome#NEVER_SENT}. */
    void removeServer(long server);

    /** Closes the idle connections to a server. */
    void closeIdle(long server);

    /** How many servers something is kept for. */
    int serverCount();

    /** Sends a call; a time-out of 0 microseconds is none. */
    Attempt send(long server, Payload payload, long timeoutMicros, Listener listener);

    /** Asks a server for its health. */
    void probe(long server, Listener listener);
}
