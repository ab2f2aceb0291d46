package gatefront.engine;

/** One request and its final response. A second response, or one to a client that has disconnected, is discarded. */
public interface Exchange {
    /** Why a request has failed, where no server's response says so. */
    enum Failure {
        /** No server has served the request; whether it took effect is unknown. */
        NOT_SERVED,
        /** The request's deadline has passed. */
        TIME_UP,
        /** Another request with the same id is in progress or may have run; this one has not been sent to a server. */
        DUPLICATE,
        /** An internal error of the agent. */
        INTERNAL
    }

    /**
     * Returns whether the client is still there. A close that has arrived counts, even if the loop has not read it yet
     * because the process was held up or reading is paused; what lies before it is read for that, within bounds.
     */
    ClientPresence clientPresence();

    /** Responds with a server's response. */
    void served(Payload payload);

    /** Responds that a server has found the request itself invalid; {@code payload} is what the server said. */
    void rejected(Payload payload);

    /**
     * Responds that the request was not run and can safely be retried.
     *
     * @param retryAfterMicros advised wait before a retry, in microseconds, greater than 0
     */
    void refused(long retryAfterMicros);

    /** Responds that the request has failed. */
    void failed(Failure reason);
}
