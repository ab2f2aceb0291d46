package gatefront.policy;

import java.util.List;

/**
 * One agent's balancer: events in, actions out. The host calls one method for each event, in the order
 * of the events, from one thread at a time; the balancer answers through {@link Actions} before the call
 * returns. All times are microseconds on one clock that never runs backwards. Instances share nothing.
 */
public interface Balancer {

    /** How often the effect of a request may happen. */
    enum Semantics {
        /** Any number of times. */
        SAFE,
        /** Repeats dropped by a group for a while. */
        KEYED,
        /** At most once. */
        UNSAFE
    }

    /** Which servers drop the repeats of a keyed request that one of them has seen. */
    enum Scope {
        /** Every server. */
        ALL,
        /** Those of the server's zone. */
        ZONE,
        /** Those of the server's cell. */
        CELL
    }

    /** What discovery says of a server. */
    enum Phase {
        /** It takes requests. */
        READY,
        /** It takes nothing new. */
        DRAINING,
        /** It has left. */
        GONE
    }

    /** What a list of servers holds. */
    enum ListKind {
        /** Changed entries only. */
        DELTA,
        /** Every server there is. */
        FULL,
        /** Every server, as last held by the host; perhaps old. */
        CACHED,
        /** No list: discovery could not be reached. */
        FAILED
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        /** Answered. */
        OK(false),
        /** Error answer. */
        ERROR(false),
        /** Turned away unseen. */
        FULL(true),
        /** No answer in the time given. */
        TIMEOUT(false),
        /** No connection. */
        CONNECT_FAILED(true),
        /** The connection broke. */
        RESET(false),
        /** Given up by the balancer. */
        CANCELLED(false),
        /** The host could not send it. */
        NEVER_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /**
         * Whether this outcome proves that the attempt had no effect.
         *
         * @return false if it may have run
         */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** The values a load report may hold. */
    enum LoadField {
        /** Requests held. */
        IN_FLIGHT,
        /** Requests waiting. */
        QUEUED,
        /** Part of the machine in use. */
        CPU_SHARE,
        /** Mean answer time. */
        MEAN_MILLIS,
        /** Answers a second. */
        SERVED_PER_SECOND,
        /** Error answers a second. */
        ERRORS_PER_SECOND
    }

    /**
     * A class of requests.
     *
     * @param aim an answer within this time of the request's arrival has its full worth
     * @param aimStretch the aim grows by this multiple of the request's own cost
     * @param giveUp how long a client waits in all
     * @param window how long the group drops repeats of a keyed request, from its first send
     * @param worth what an answer in time is worth
     * @param lateShare the part of the worth that a late answer still has
     * @param streamed whether answers arrive in parts
     */
    record RequestClass(
            long aim,
            double aimStretch,
            long giveUp,
            Semantics semantics,
            Scope scope,
            long window,
            double worth,
            double lateShare,
            boolean streamed) {}

    /** A tenant: requests a second that count in full, over all agents; its fraction of the service. */
    record Tenant(double quotaPerSecond, double fraction) {}

    /** What the host permits. A retry-after of 0 means that clients take no such advice. */
    record Permits(
            int maxAttempts,
            boolean duplicates,
            boolean cancel,
            boolean probes,
            boolean messages,
            long maxRetryAfter) {}

    /** What the rules on draining and on cold servers say. */
    record Obligations(
            long answerSlack,
            long drainGrace,
            double coldFrom,
            long coldTime,
            double overloadMultiple,
            long overloadTime,
            long askWithin) {}

    /** What things cost, in parts of the result: crossings, probes, waste, late failures, messages. */
    record Prices(double crossing, double probe, double waste, double lateFailure, double message) {}

    /** How the result is weighed: all of it, its worst stretch of time, worst class and worst tenant. */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /** What an instance is told once, at its start. */
    record Settings(
            int agent,
            int agents,
            int zone,
            int zones,
            long tick,
            boolean askDiscovery,
            boolean warmKeys,
            boolean listedWeights,
            boolean worthByWork,
            double overQuotaWorth,
            Permits permits,
            Obligations obligations,
            Prices prices,
            Goal goal,
            List<RequestClass> classes,
            List<Tenant> tenants,
            List<LoadField> loadFields) {}

    /** A line of the list of servers; {@code startedAt} is 0 if long past, {@code weight} relative. */
    record Server(long id, int zone, int cell, int kind, Phase phase, double weight, long startedAt) {}

    /** A client's request. Key and cost are 0 if unknown; {@code deadline} is when this try is given up. */
    record Request(
            long id,
            int requestClass,
            int tenant,
            long key,
            long cost,
            long deadline,
            boolean repeated,
            boolean write) {}

    /** What the balancer asks of its host. */
    interface Actions {
        /**
         * Starts the next attempt of a request.
         *
         * @param request its id
         * @param server where to
         * @param timeout after this the host ends it as {@link Outcome#TIMEOUT}; 0 for never
         */
        void send(long request, long server, long timeout);

        /**
         * Final answer: it did not run, trying again is harmless.
         *
         * @param request its id
         * @param retryAfter the wait advised to the client; 0 for no advice
         */
        void refuse(long request, long retryAfter);

        /**
         * Final answer: nothing is promised.
         *
         * @param request its id
         */
        void fail(long request);

        /**
         * Stops waiting for one attempt.
         *
         * @param request its id
         * @param attempt which of its sends, counted from 0
         */
        void cancel(long request, int attempt);

        /**
         * Asks for a server's health.
         *
         * @param server which
         */
        void probe(long server);

        /**
         * Sends bytes to other agents.
         *
         * @param agent which, or all with -1
         * @param message the bytes
         */
        void sendMessage(int agent, byte[] message);

        /**
         * Asks for {@link Balancer#timer}.
         *
         * @param token comes back with it
         * @param delay from now
         */
        void timer(long token, long delay);

        /**
         * Closes idle connections.
         *
         * @param server to this one
         */
        void closeIdle(long server);

        /** Subscribes to changes of the server list. */
        void watchServers();

        /** Asks for the whole server list once. */
        void fetchServers();

        /**
         * Tells on-call staff.
         *
         * @param line one plain line
         */
        void log(String line);
    }

    /**
     * The list of servers has changed, or could not be had.
     *
     * @param now the time
     * @param kind what the entries are
     * @param entries none if it could not be had
     */
    void servers(long now, ListKind kind, List<Server> entries);

    /**
     * A client's request has come; it is owed one final answer.
     *
     * @param now the time
     * @param request with an id not in use
     */
    void request(long now, Request request);

    /**
     * The answer to a streamed request has begun; no deadline applies any more.
     *
     * @param now the time
     * @param request its id
     * @param attempt which of its sends, counted from 0
     * @param server where it was sent
     * @param spent since the send
     */
    void streamStarted(long now, long request, int attempt, long server, long spent);

    /**
     * An attempt has ended.
     *
     * @param now the time
     * @param request its id
     * @param attempt which of its sends, counted from 0
     * @param server where it was sent
     * @param outcome how it ended
     * @param spent since the send
     * @param closed whether the client has its final answer, by this outcome or earlier
     * @param load the server's load report in the order of the settings' fields; empty if none came
     */
    void outcome(
            long now,
            long request,
            int attempt,
            long server,
            Outcome outcome,
            long spent,
            boolean closed,
            double[] load);

    /**
     * The client has left; nothing more is owed.
     *
     * @param now the time
     * @param request its id
     */
    void clientLeft(long now, long request);

    /**
     * A probe has ended.
     *
     * @param now the time
     * @param server which
     * @param outcome how it ended
     * @param spent since the probe was asked for
     * @param load its load report in the order of the settings' fields; empty if none came
     */
    void probeOutcome(long now, long server, Outcome outcome, long spent, double[] load);

    /**
     * Another agent has sent a message.
     *
     * @param now the time
     * @param agent which
     * @param message the bytes
     */
    void message(long now, int agent, byte[] message);

    /**
     * The settings have changed. Classes keep their numbers: those told before are there with what they are now,
     * further ones follow. Requests that have come before keep their class as it was, and the attempts that it had.
     *
     * @param now the time
     * @param settings from now on; of them the classes and what the host permits are heeded
     */
    void settings(long now, Settings settings);

    /**
     * How many listed servers that may take requests it avoids for their health. Changes nothing.
     *
     * @param now the time
     * @return the count
     */
    int unhealthyServers(long now);

    /**
     * A timer has come due.
     *
     * @param now the time
     * @param token as given to {@link Actions#timer}
     */
    void timer(long now, long token);
}
