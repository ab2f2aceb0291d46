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
     * @param load the server's load report in the order of the settings' fields; empty if none came
     * @param served what was served, else null
     * @param rejected what blames the call, else null
     */
    record Result(Outcome outcome, double[] load, Payload served, Payload rejected) {}

    /** What hears of an attempt or probe; its result comes last, and once. */
    interface Listener {
        /** It has ended. */
        void ended(Result result);

        /** The last byte of the request has left. */
        default void written() {}

        /** A request that comes in pieces begins to leave: it cannot be sent again. */
        default void spent() {}

        /** The head of an answer has come, where a protocol tells; what goes ahead of an answer is none. */
        default void answering() {}

        /** An answer that comes in pieces has begun; its result is told when it has ended. */
        default void begun(Payload answer) {}
    }

    /** A call on its way to a server. */
    interface Attempt {
        /** Stops waiting for it; its result is {@link Outcome#CANCELLED}, if there is none yet. */
        void cancel();
    }

    /** Applies a line of the server list. */
    void listed(Endpoint endpoint);

    /** Nothing new goes to this server: what is not written yet ends as {@link Outcome#NEVER_SENT}. */
    void gone(long server);

    /** Closes the idle connections to a server. */
    void closeIdle(long server);

    /** How many servers something is kept for. */
    int size();

    /** Sends a call; a time-out of 0 microseconds is none. */
    Attempt send(long server, Payload payload, long timeoutMicros, Listener then);

    /** Asks a server for its health. */
    void probe(long server, Listener then);
}
