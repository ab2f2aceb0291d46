package gatefront.engine;

/** One call and the final answer it is owed; a second answer, or one to a caller that has left, is dropped. */
public interface Exchange {
    /** Why a call has failed, where no server's answer says so. */
    enum Failure {
        /** No server has served it; nothing is promised about its effect. */
        NOT_SERVED,
        /** Its time is up. */
        TIME_UP,
        /** Another of the same id is held; this one has not been passed on. */
        DUPLICATE,
        /** A fault of the agent's own. */
        INTERNAL
    }

    /** A server's answer. */
    void served(Payload payload);

    /** A server has found that the call itself is no good; what it said. */
    void rejected(Payload payload);

    /** It did not run, and asking again is harmless; the wait advised, in microseconds, is more than 0. */
    void refused(long retryAfterMicros);

    /** It has failed. */
    void failed(Failure reason);
}
