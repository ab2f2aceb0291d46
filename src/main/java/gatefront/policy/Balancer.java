package gatefront.policy;

import java.util.List;

/**
 * Decides for one agent where requests are sent, which are retried and which are refused.
 *
 * <p>The host calls one method for each event, in the order of the events and from one thread at a time. The balancer
 * responds through {@link Actions} before the call returns. All times and durations are in microseconds, on one clock
 * that never runs backwards. Instances share no state.
 */
public interface Balancer {

    /** How often a request may be executed. */
    enum Semantics {
        /** Any number of times: the request is idempotent. */
        SAFE,
        /** Any number of times within a time window, as a group of servers drops duplicates by a key. */
        KEYED,
        /** At most once. */
        UNSAFE
    }

    /** The group of servers that drop duplicates of a keyed request once one of them has received it. */
    enum Scope {
        /** All servers. */
        ALL,
        /** The servers of the same zone. */
        ZONE,
        /** The servers of the same cell. */
        CELL
    }

    /** The state of a server according to discovery. */
    enum Phase {
        /** The server accepts requests. */
        READY,
        /** The server accepts no new requests. */
        DRAINING,
        /** The server has been removed. */
        GONE
    }

    /** The kind of an update of the server list. */
    enum ListKind {
        /** Changed entries only. */
        DELTA,
        /** All servers. */
        FULL,
        /** All servers, as last stored by the host; possibly outdated. */
        CACHED,
        /** No entries: discovery could not be reached. */
        FAILED
    }

    /** The result of an attempt or a probe. */
    enum Outcome {
        /** The server responded. */
        OK(false),
        /** The server responded with an error. */
        ERROR(false),
        /** The server refused the request without executing it. */
        FULL(true),
        /** No response came within the timeout. */
        TIMEOUT(false),
        /** The connection could not be established. */
        CONNECT_FAILED(true),
        /** The connection broke before the response. */
        RESET(false),
        /** The balancer cancelled the attempt. */
        CANCELLED(false),
        /** The host could not send it. */
        NEVER_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /**
         * Returns whether this outcome proves that the attempt had no effect.
         *
         * @return false if the request may have been executed
         */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** The values that a load report may contain. */
    enum LoadField {
        /** Requests in progress. */
        IN_FLIGHT,
        /** Requests in the queue. */
        QUEUED,
        /** Share of the machine's capacity in use. */
        CPU_SHARE,
        /** Mean response time in milliseconds. */
        MEAN_MILLIS,
        /** Responses per second. */
        SERVED_PER_SECOND,
        /** Error responses per second. */
        ERRORS_PER_SECOND
    }

    /**
     * A class of requests.
     *
     * @param aim target response time in microseconds: a response within it, from the arrival of the request, has its
     *     full worth
     * @param aimStretch the aim grows by this multiple of the request's cost hint
     * @param giveUp total time in microseconds that a client waits, including its retries
     * @param semantics how often a request may be executed
     * @param scope the group of servers that drop duplicates of a keyed request
     * @param window deduplication window in microseconds: how long the group drops duplicates of a keyed request,
     *     from its first attempt
     * @param worth value of a response in time
     * @param lateShare share of the worth that a late response still has
     * @param streamed whether responses arrive in parts
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

    /**
     * A tenant.
     *
     * @param quotaPerSecond requests per second, over all agents, that count in full
     * @param fraction the tenant's share of the service
     */
    record Tenant(double quotaPerSecond, double fraction) {}

    /**
     * What the host permits.
     *
     * @param maxAttempts maximum number of attempts of a request
     * @param duplicates whether a request may have several attempts in flight
     * @param cancel whether attempts may be cancelled
     * @param probes whether servers may be probed
     * @param messages whether agents may exchange messages
     * @param maxRetryAfter longest retry-after in microseconds; 0 if clients do not support it
     */
    record Permits(
            int maxAttempts,
            boolean duplicates,
            boolean cancel,
            boolean probes,
            boolean messages,
            long maxRetryAfter) {}

    /**
     * Rules for deadlines, drains, cold servers and discovery. Times are in microseconds.
     *
     * @param answerSlack time after a request's deadline within which its final response is still accepted
     * @param drainGrace time after a drain is announced within which requests may still be sent to the server
     * @param coldFrom share of its capacity that a server has at its start
     * @param coldTime time from its start until a server has its full capacity
     * @param overloadMultiple multiple of its current capacity at which a cold server fails
     * @param overloadTime how long that load has to last
     * @param askWithin time within which discovery has to be asked again after a failure; 0 for no limit
     */
    record Obligations(
            long answerSlack,
            long drainGrace,
            double coldFrom,
            long coldTime,
            double overloadMultiple,
            long overloadTime,
            long askWithin) {}

    /**
     * Prices of actions, as shares of the worth of a request.
     *
     * @param crossing an attempt in another zone
     * @param probe a probe
     * @param waste an attempt whose work is lost
     * @param lateFailure a failure that is reported late
     * @param message a message to another agent
     */
    record Prices(double crossing, double probe, double waste, double lateFailure, double message) {}

    /**
     * Weights of the parts of the objective.
     *
     * @param whole the total result
     * @param worstWindow the result of the worst time window
     * @param worstClass the result of the worst class
     * @param worstTenant the result of the worst tenant
     */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /**
     * The settings of an instance.
     *
     * @param agent number of this agent, from 0
     * @param agents number of agents
     * @param zone zone of this agent
     * @param zones number of zones
     * @param tick resolution of the host's timers in microseconds
     * @param askDiscovery whether the balancer subscribes to the server list itself
     * @param warmKeys whether servers respond faster to keys that they have recently served
     * @param listedWeights whether the weights of the server list are meaningful
     * @param worthByWork whether the worth of a request is counted by its work
     * @param overQuotaWorth worth of a request over its tenant's quota, as a share
     * @param permits what the host permits
     * @param obligations rules that the balancer has to follow
     * @param prices prices of actions
     * @param goal weights of the parts of the objective
     * @param classes the classes of requests, by their numbers
     * @param tenants the tenants, by their numbers
     * @param loadFields the fields of a load report, in their order; null for a field without a meaning here
     */
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

    /**
     * An entry of the server list.
     *
     * @param id identifies the server
     * @param zone the server's zone
     * @param cell the server's cell
     * @param kind the kind of machine
     * @param phase whether the server accepts requests
     * @param weight relative capacity
     * @param startedAt when the process started; 0 if long ago
     */
    record Server(long id, int zone, int cell, int kind, Phase phase, double weight, long startedAt) {}

    /**
     * A request of a client.
     *
     * @param id identifies the request
     * @param requestClass number of its class
     * @param tenant number of its tenant
     * @param key affinity key; 0 if unknown
     * @param cost hint of the work that the request takes; 0 if unknown
     * @param deadline when the client gives up this try
     * @param repeated whether the client marked it as a retry
     * @param write whether it changes data
     */
    record Request(
            long id,
            int requestClass,
            int tenant,
            long key,
            long cost,
            long deadline,
            boolean repeated,
            boolean write) {}

    /** The actions that the balancer requests from its host. */
    interface Actions {
        /**
         * Starts the next attempt of a request.
         *
         * @param request id of the request
         * @param server id of the server
         * @param timeout time after which the host ends the attempt with {@link Outcome#TIMEOUT}; 0 for no timeout
         */
        void send(long request, long server, long timeout);

        /**
         * Sends the final response that the request was not executed, so that a client retry is harmless.
         *
         * @param request id of the request
         * @param retryAfter time that the client should wait before it retries; 0 for none
         */
        void refuse(long request, long retryAfter);

        /**
         * Sends the final response that the request failed; it may have been executed.
         *
         * @param request id of the request
         */
        void fail(long request);

        /**
         * Cancels an attempt.
         *
         * @param request id of the request
         * @param attempt number of the attempt, from 0
         */
        void cancel(long request, int attempt);

        /**
         * Probes the health of a server.
         *
         * @param server id of the server
         */
        void probe(long server);

        /**
         * Sends a message to other agents.
         *
         * @param agent number of the agent, or -1 for all
         * @param message the message
         */
        void sendMessage(int agent, byte[] message);

        /**
         * Schedules a call of {@link Balancer#timer}.
         *
         * @param token the token to pass
         * @param delay time until the call
         */
        void timer(long token, long delay);

        /**
         * Closes the idle connections to a server.
         *
         * @param server id of the server
         */
        void closeIdle(long server);

        /** Subscribes to changes of the server list. */
        void watchServers();

        /** Fetches the full server list once. */
        void fetchServers();

        /**
         * Writes a log line for operators.
         *
         * @param line the line, without a line break
         */
        void log(String line);
    }

    /**
     * The server list has changed or could not be obtained.
     *
     * @param now the current time
     * @param kind the kind of the update
     * @param entries the entries; empty if the list could not be obtained
     */
    void servers(long now, ListKind kind, List<Server> entries);

    /**
     * A request has arrived. It must get exactly one final response.
     *
     * @param now the current time
     * @param request the request, with an id that is not in use
     */
    void request(long now, Request request);

    /**
     * A request has arrived whose beginning arrived under settings that may have been replaced since. All decisions on
     * it are made by those: its class, its number of attempts, what the host permits for it, and the prices.
     *
     * @param now the current time
     * @param request the request, with an id that is not in use
     * @param settings the settings that were in force when the request began, now or earlier
     */
    void request(long now, Request request, Settings settings);

    /**
     * The response to a streamed request has started. From now on no deadline applies.
     *
     * @param now the current time
     * @param request id of the request
     * @param attempt number of the attempt, from 0
     * @param server id of the server
     * @param elapsed time since the attempt was sent
     */
    void streamStarted(long now, long request, int attempt, long server, long elapsed);

    /**
     * An attempt has ended.
     *
     * @param now the current time
     * @param request id of the request
     * @param attempt number of the attempt, from 0
     * @param server id of the server
     * @param outcome the result
     * @param elapsed time since the attempt was sent
     * @param closed whether the client has its final response, by this outcome or an earlier one
     * @param load the server's load report, in the order of {@link Settings#loadFields}; empty if there is none
     */
    void outcome(
            long now,
            long request,
            int attempt,
            long server,
            Outcome outcome,
            long elapsed,
            boolean closed,
            double[] load);

    /**
     * The client has disconnected. The request no longer needs a response.
     *
     * @param now the current time
     * @param request id of the request
     */
    void clientLeft(long now, long request);

    /**
     * A probe has ended.
     *
     * @param now the current time
     * @param server id of the server
     * @param outcome the result
     * @param elapsed time since the probe was requested
     * @param load the server's load report, in the order of {@link Settings#loadFields}; empty if there is none
     */
    void probeOutcome(long now, long server, Outcome outcome, long elapsed, double[] load);

    /**
     * A message of another agent has arrived.
     *
     * @param now the current time
     * @param agent number of the agent
     * @param message the message
     */
    void message(long now, int agent, byte[] message);

    /**
     * The settings have changed. Classes keep their numbers: the known classes are present with their new settings,
     * and new ones may follow. Requests that have already arrived keep the settings that they began under.
     *
     * @param now the current time
     * @param settings the new settings; changes other than to the classes and the permits have no guaranteed effect
     */
    void settings(long now, Settings settings);

    /**
     * Returns how many servers that are listed as ready are avoided because of their health. Changes no state.
     *
     * @param now the current time
     * @return the count
     */
    int unhealthyServers(long now);

    /**
     * A timer has expired.
     *
     * @param now the current time
     * @param token the token that was passed to {@link Actions#timer}
     */
    void timer(long now, long token);
}
