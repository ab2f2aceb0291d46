// The interface of this module (its types, events and actions) is in Balancer.java.
package gatefront.policy;

import gatefront.policy.PendingRequest.Attempt;
import gatefront.policy.ServerState.Health;
import gatefront.policy.ServerState.PerClassState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Makes every decision of one agent's balancer.
 *
 * <p>On the ordinary path a request goes to the one of two random available servers of the agent's own zone that has
 * fewer of this agent's requests in flight. If that zone has no capacity, servers of other zones are considered; if no
 * server is available in any zone, all are (panic mode).
 */
public final class AdaptiveBalancer implements Balancer {
    /** Microseconds in a second; all times of this class are in microseconds. */
    private static final long SECOND = 1_000_000;

    // ---- Probes ----

    /**
     * Interval between two probes of a server by all the agents that share it, in microseconds. A server that does not
     * respond is found at a low cost.
     */
    private static final long PROBE_INTERVAL = SECOND;
    /** Price of a probe above which the interval grows with the price, as every agent pays for its probes. */
    private static final double PROBE_PRICE_THRESHOLD = 0.04;

    // ---- Subset ----

    /**
     * Smallest number of own-zone servers that an agent with little traffic picks from: two can be compared even if one
     * of the three has failed.
     */
    private static final int SUBSET_MIN_OWN_ZONE = 3;

    /** Smallest number of servers of other zones to pick from if the own zone has no capacity: two to compare. */
    private static final int SUBSET_MIN_OTHER_ZONES = 2;
    /**
     * Average number of agents that share a server. It has to be large enough for an even load on the server and small
     * enough for each agent to reuse its connections.
     */
    private static final int SUBSET_AGENTS_PER_SERVER = 10;
    /** Servers in the subset for each server that the requests of this agent would keep busy. */
    private static final double SUBSET_SERVERS_PER_BUSY_SERVER = 4;

    // ---- Health and outlier ejection ----

    /** Consecutive failed probes after which the active health state is Unhealthy. */
    private static final int UNHEALTHY_PROBE_THRESHOLD = 2;
    /**
     * Length of the sliding window of outcomes, in microseconds: long enough to hold the few requests of an agent with
     * little traffic, and short compared with an outage.
     */
    private static final long FAILURE_WINDOW = 10 * SECOND;
    /**
     * Minimum number of requests in the window before the passive health state is evaluated. The usual default of 10 is
     * never reached by an agent with little traffic.
     */
    private static final int FAILURE_WINDOW_MIN_REQUESTS = 5;

    /** Failure rate above which the passive health state may become Unhealthy; the usual default. */
    private static final double MAX_FAILURE_RATE = 0.3;
    /**
     * Number of standard deviations by which the failures of a server have to exceed those expected from its peers'
     * failure rate. A failure that is common to all servers is not the fault of one of them.
     */
    private static final double PEER_DEVIATIONS = 1;
    /**
     * Maximum number of doublings of the backoff of a server that fails fast. The backoff starts at the time that a
     * request usually takes.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /** Ejection time in microseconds, after which the passive health state is Unknown again. */
    private static final long EJECTION_TIME = 5 * SECOND;

    // ---- Concurrency limit of a server ----

    /** Initial limit of requests in flight at a server whose capacity is unknown, for all agents together. */
    private static final double LIMIT_INITIAL = 12;
    /**
     * Increase of the limit after a fast response with at least half of the limit in use. With the decrease after a
     * slow response the limit is in balance at one slow response in nine.
     */
    private static final double LIMIT_INCREASE = 0.2;

    /** Decrease of the limit after a slow response or a failure, if the limit is above {@link #LOW_LIMIT}. */
    private static final double LIMIT_DECREASE = 1.6;
    /** Factor applied instead to a limit of up to {@link #LOW_LIMIT}. */
    private static final double LIMIT_SLOW_FACTOR = 0.5;
    /** Queued requests for each listed core, by the server's own load report, above which a server is overloaded. */
    private static final double MAX_QUEUED_PER_CORE = 1;

    /** Factor applied to the limit of a server that reports more than {@link #MAX_QUEUED_PER_CORE}. */
    private static final double LIMIT_QUEUED_FACTOR = 0.8;
    /**
     * Factor applied to a low limit if the response took longer than the aim. An overloaded server recovers only if all
     * the agents that share it stop sending to it for seconds.
     */
    private static final double LIMIT_LATE_FACTOR = 0.1;
    /** Limit up to which an agent has little traffic to a server: responses are few, and a single one means little. */
    private static final double LOW_LIMIT = 2;
    /**
     * Lower bound of the limit for all agents together, so that no agent is shut out. An agent's own limit may fall
     * below 1, which pauses the server after each request.
     */
    private static final double LIMIT_MIN = 6;
    /** Multiple of the class's minimum latency quantile above which a response is slow: the server is overloaded. */
    private static final double SLOW_LATENCY_MULTIPLE = 1.45;
    /** Share of the request's total time above which a response is slow whatever the minimum latency quantile is. */
    private static final double SLOW_TIMEOUT_SHARE = 0.5;
    /** Share of the aim within which a response is never slow for an agent with little traffic to the server. */
    private static final double NEVER_SLOW_AIM_SHARE = 0.4;
    /** Quantile of the latencies of a class that is tracked. Its minimum is the latency without load. */
    static final double LATENCY_QUANTILE = 0.8;
    /** Maximum ratio of a server's latency without load to that of the class before its responses count as slow. */
    private static final double MAX_SERVER_LATENCY_RATIO = 2;

    // ---- Restarts ----

    /**
     * Time in microseconds for which a server that responds again after an outage is treated as cold unless the server
     * list confirms the restart. The list lags by seconds.
     */
    private static final long SUSPECTED_RESTART_COLD_TIME = 5 * SECOND;

    /** Shortest outage, in microseconds, that is taken for a restart. */
    private static final long MIN_RESTART_TIME = SECOND / 2;

    // ---- Client retries ----

    /** Ticks by which the timeouts of first tries of a class may differ. */
    private static final int USUAL_TIMEOUT_TOLERANCE_TICKS = 4;
    /** Maximum number of votes for the usual timeout of a class; it is reliable from half of them on. */
    private static final int MAX_USUAL_TIMEOUT_VOTES = 20;
    /** Maximum number of unserved requests that are remembered in order to recognize their client retries. */
    private static final int MAX_UNSERVED_REQUESTS = 1_024;

    // ---- Running means ----

    /** Weight of a new sample in an exponentially weighted moving average. */
    private static final double EWMA_WEIGHT = 0.1;
    /**
     * Weight of a response in the latency ratio of its server. It is high because an agent with little traffic sees few
     * responses, and old ones soon mean nothing.
     */
    private static final double LATENCY_RATIO_EWMA_WEIGHT = 0.4;

    /**
     * Upper bound of a single sample of the latency ratio, as the work of requests has a heavy-tailed distribution.
     */
    private static final double MAX_LATENCY_RATIO = 5;

    // ---- Retry budget and admission credit ----

    /** Retries that each request adds to the retry budget. The budget keeps retries from amplifying an overload. */
    private static final double RETRY_BUDGET_PER_REQUEST = 0.2;

    /** Maximum retry budget, enough for the failure of one server. */
    private static final double MAX_RETRY_BUDGET = 10;
    /**
     * Admission credit that a response earns, where an attempt costs 1. It bounds how fast the attempts may grow while
     * servers respond in time.
     */
    private static final double CREDIT_PER_RESPONSE = 1.2;

    /** Admission credit that each arriving request earns, so that some attempts are always made. */
    private static final double CREDIT_PER_REQUEST = 0.03;
    /**
     * Maximum admission credit without traffic. With traffic the maximum is higher, because attempts in flight have
     * been paid for and have not earned anything yet.
     */
    private static final double MIN_CREDIT_CAP = 10;

    /** Seconds of the request rate that are added to the maximum admission credit. */
    private static final double CREDIT_CAP_SECONDS = 0.5;
    /** Interval between two passes over the queued requests, in ticks of the host. */
    private static final int SWEEP_TICKS = 4;
    /** Time constant, in microseconds, of the decaying counts of arrived and served requests that rank the classes. */
    private static final long RANKING_DECAY_TIME = 2 * SECOND;

    /** Time constant, in microseconds, of the decaying sums from which request rates are computed. */
    private static final long RATE_DECAY_TIME = 5 * SECOND;
    /**
     * Step by which the share of keys that cross zones at once follows the observed need for it: it adapts within some
     * hundred requests.
     */
    private static final double CROSS_ZONE_SHARE_STEP = 0.01;

    // ---- Cold servers (slow start) ----

    /** Latency of cold servers before it has been measured, as a share of the worst case that the settings imply. */
    private static final double INITIAL_COLD_LATENCY_SHARE = 0.5;
    /**
     * Queued requests for each core below which a cold server keeps up, so that its rate is raised; else it is cut.
     */
    private static final double COLD_MAX_QUEUED_PER_CORE = 0.2;
    /**
     * Share of the time of overload that makes a server fail which a burst to a cold server may fill. It is half,
     * because the server list may be late.
     */
    private static final double COLD_BURST_SHARE = 0.5;

    // ---- Retries of keyed requests, discovery and timers ----

    /**
     * Share of the deduplication window of a keyed request in which it may be sent again. A retry that arrives after
     * the window would be executed a second time.
     */
    private static final double RETRY_WINDOW_SHARE = 0.75;

    /** Initial backoff before discovery is asked again, in microseconds; it doubles with each failure. */
    private static final long DISCOVERY_BACKOFF = SECOND;
    /** Token of the timer of the next probe. Tokens of requests are not negative. */
    private static final long TIMER_PROBE = -1;
    /** Token of the timer of the next pass over the queued requests. */
    private static final long TIMER_SWEEP = -2;
    /** Token of the timer of the next discovery attempt. */
    private static final long TIMER_DISCOVERY = -3;

    private Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    /** All known servers, including those that have left the list and still have attempts in flight. */
    private final Map<Long, ServerState> serversById = new HashMap<>();
    /** The servers of the list, in the order of this agent's own hash. */
    private final List<ServerState> listedServers = new ArrayList<>();
    /** Reused by {@link #pickOfTwo} for the servers that a request may be sent to. */
    private final List<ServerState> candidates = new ArrayList<>();

    private final Map<Long, PendingRequest> openRequests = new HashMap<>();
    private final Map<Long, PendingRequest> requestsByToken = new HashMap<>();
    private final List<ClassState> classes = new ArrayList<>();
    /** The same classes as {@link #classes}, the most valuable one first. */
    private final List<ClassState> rankedClasses;

    private double retryBudget = MAX_RETRY_BUDGET;
    /** Number of attempts that may be sent. It is unlimited until an attempt finds a server without capacity. */
    private double admissionCredit = Double.MAX_VALUE;
    /** Share of the keys that are sent to other zones at once. */
    private double crossZoneShare;
    /** The usual {@link ServerState#latencyRatio} of servers, by their kind. */
    private final Map<Integer, Double> latencyRatioByKind = new HashMap<>();

    private final long createdAt;
    /** Decaying sum of the latencies without load of the requests that arrived, in microseconds. */
    private double recentWork;

    /** Decaying count of the first tries that arrived. */
    private double recentFirstTries;
    /** When the decaying sums were last updated. */
    private long decayedAt;
    /** Sum of the listed weights of the servers that accept new requests. */
    private double readyWeight;

    /** Number of servers that accept new requests. */
    private int readyServers;
    /** Number of those that are in the agent's own zone. */
    private int readyServersInZone;
    /** Measured latency of cold servers, as a share of the worst case that the settings imply. */
    private double coldLatencyShare = INITIAL_COLD_LATENCY_SHARE;

    private long rankedAt;
    /** When a request that had enough time left was last shed for lack of capacity. */
    private long lastShedAt = Long.MIN_VALUE / 2;

    /** Whether clients mark their retries. */
    private boolean clientsMarkRetries;
    /** Arrival time of the first try of unserved requests, by {@link #fingerprint}; cleared when full. */
    private final Map<Long, Long> unservedArrivals = new HashMap<>();

    private long nextToken;
    /** Index of the server to probe next, modulo the number of servers to probe. */
    private int nextProbe;

    private boolean sweepScheduled;
    private boolean probeScheduled;
    /** Backoff before discovery is asked again, in microseconds. */
    private long discoveryDelay = DISCOVERY_BACKOFF;

    /**
     * Creates an instance without any knowledge but its settings.
     *
     * @param settings the settings
     * @param seed the seed of its random choices
     * @param now the current time in microseconds
     * @param actions the host
     */
    public AdaptiveBalancer(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.nextProbe = random.nextInt(1 << 16);
        this.rankedAt = now;
        this.createdAt = now;
        settings.classes().forEach(requestClass -> classes.add(new ClassState(requestClass, LATENCY_QUANTILE)));
        this.rankedClasses = new ArrayList<>(classes);
        if (settings.askDiscovery()) {
            actions.watchServers();
        }
    }

    @Override
    public void settings(long now, Settings changed) {
        settings = changed;
        for (int i = 0; i < changed.classes().size(); i++) {
            if (i == classes.size()) {
                classes.add(new ClassState(changed.classes().get(i), LATENCY_QUANTILE));
                rankedClasses.add(classes.get(i));
            }
            classes.get(i).requestClass = changed.classes().get(i);
        }
        serversById.values().forEach(server -> server.ensureClasses(classes.size()));
    }

    // ---- Life of a request ----

    @Override
    public void request(long now, Request request) {
        request(now, request, settings);
    }

    @Override
    public void request(long now, Request request, Settings settingsAtStart) {
        ClassState state = classes.get(request.requestClass());
        RequestClass requestClass = settingsAtStart.classes().get(request.requestClass());
        long aim = requestClass.aim() + (long) (requestClass.aimStretch() * request.cost());
        Long firstTryAt = request.cost() == 0 ? null : unservedArrivals.remove(fingerprint(request));
        long elapsed = firstTryAt != null ? now - firstTryAt : timeAlreadySpent(request, state, requestClass, now);
        // A request that cannot be served in time would only waste the servers' work. If that is only an estimate,
        // it is still served while there is capacity.
        long latestEnd = request.deadline() - settings.tick();
        long remaining = aim - elapsed;
        boolean likelyLate = requestClass.lateShare() == 0
                && Math.min(remaining, latestEnd - now) < Math.min(aim, state.latencyQuantile.value());
        boolean pastAim = request.repeated()
                && likelyLate
                && remaining < (firstTryAt == null ? state.latencyQuantile.value() : settings.tick());
        long expiresAt = requestClass.lateShare() > 0
                ? latestEnd
                : Math.min(latestEnd, now + (likelyLate && !request.repeated() ? aim : remaining) - settings.tick());
        PendingRequest req =
                new PendingRequest(request, state, settingsAtStart, nextToken++, now, now - elapsed, expiresAt);
        openRequests.put(request.id(), req);
        requestsByToken.put(req.token, req);
        actions.timer(req.token, Math.max(0, expiresAt - now));
        state.meanCost += (state.meanCost == 0 ? 1 : EWMA_WEIGHT / 2) * (request.cost() - state.meanCost);
        state.recentArrivals++;
        decay(now);
        recentWork += state.lowestMeanLatency;
        recentFirstTries += request.repeated() || elapsed > 0 ? 0 : 1;
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRY_BUDGET_PER_REQUEST);
        addCredit(CREDIT_PER_REQUEST, now);
        if (pastAim
                || likelyLate && (hasQueued() || now - lastShedAt < SECOND)
                || readyWeight == 0 && !listedServers.isEmpty()) {
            reject(req, now);
        } else {
            dispatchOrQueue(req, now);
        }
    }

    /**
     * Returns how long the client has already been waiting, in microseconds. All first tries of a class have the same
     * timeout, and a client retry has what is left of it.
     */
    private long timeAlreadySpent(Request request, ClassState state, RequestClass requestClass, long now) {
        long timeout = request.deadline() - now;
        boolean usual = Math.abs(timeout - state.usualTimeout) <= USUAL_TIMEOUT_TOLERANCE_TICKS * settings.tick();
        if (usual) {
            state.usualTimeoutVotes = Math.min(MAX_USUAL_TIMEOUT_VOTES, state.usualTimeoutVotes + 1);
        } else if (--state.usualTimeoutVotes < 0) {
            state.usualTimeout = timeout;
            state.usualTimeoutVotes = 1;
        }
        // Where clients mark their retries, a short timeout means a client with a short deadline, which has not
        // waited yet.
        clientsMarkRetries |= request.repeated();
        boolean unknown = usual
                || clientsMarkRetries
                || request.cost() != 0
                || state.usualTimeoutVotes < MAX_USUAL_TIMEOUT_VOTES / 2;
        return request.repeated()
                ? (long) state.meanUnservedWait
                : unknown ? 0 : Math.max(0, requestClass.giveUp() - timeout);
    }

    /** Returns a hash of the request's attributes, by which a client retry of it is recognized. */
    private static long fingerprint(Request request) {
        return mix(request.key() ^ mix(request.cost() ^ mix(request.requestClass() ^ mix(request.tenant()))));
    }

    private boolean hasQueued() {
        return classes.stream().anyMatch(state -> !state.queue.isEmpty());
    }

    /** Sends a request if its earlier attempts permit it and a server has capacity. */
    private boolean dispatch(PendingRequest req, long now) {
        if (!req.mayAttemptAgain() || now >= req.expiresAt || admissionCredit < 1) {
            return false;
        }
        ServerState server = pickServer(req, now);
        if (server == null) {
            return false;
        }
        req.queued = false;
        req.attempts.add(new Attempt(server, now));
        server.inFlight++;
        admissionCredit -= 1;
        server.coldTokens -= 1;
        actions.send(req.request.id(), server.id, req.requestClass.streamed() ? 0 : req.expiresAt - now);
        return true;
    }

    private void dispatchOrQueue(PendingRequest req, long now) {
        if (!dispatch(req, now)) {
            req.queued = true;
            req.classState.queue.addLast(req);
            scheduleSweep();
        }
    }

    private void scheduleSweep() {
        if (!sweepScheduled && hasQueued()) {
            sweepScheduled = true;
            actions.timer(TIMER_SWEEP, SWEEP_TICKS * settings.tick());
        }
    }

    /**
     * Sends queued requests, the newest of each class first. With the oldest first, each request would be sent when
     * it is just too late.
     */
    private void dispatchQueued(long now) {
        for (ClassState state : rankedClasses) {
            var queue = state.queue;
            while (!queue.isEmpty() && (!queue.peekFirst().queued || wouldBeLate(queue.peekFirst(), now))) {
                PendingRequest oldest = queue.pollFirst();
                if (oldest.queued) {
                    lastShedAt = oldest.expiresAt - oldest.arrivedAt > state.latencyQuantile.value() ? now : lastShedAt;
                    reject(oldest, now);
                }
            }
            while (!queue.isEmpty() && (!queue.peekLast().queued || dispatch(queue.peekLast(), now))) {
                queue.pollLast();
            }
            // The oldest request would cross zones with too little time left, so the newest that has waited long
            // enough is sent.
            for (var iterator = queue.descendingIterator(); iterator.hasNext(); ) {
                PendingRequest req = iterator.next();
                if (req.queued && now - req.arrivedAt >= crossZoneWait(req) && !dispatch(req, now)) {
                    break;
                }
            }
        }
    }

    /** Orders the classes by what a unit of their work currently adds to the goal. */
    private void rankClasses(long now) {
        double retained = Math.exp(-(double) (now - rankedAt) / RANKING_DECAY_TIME);
        rankedAt = now;
        double totalWorth = 0;
        ClassState worstServedClass = rankedClasses.get(0);
        for (ClassState state : rankedClasses) {
            state.recentArrivals *= retained;
            state.recentServed *= retained;
            totalWorth += state.recentArrivals * state.requestClass.worth() * requestWeight(state);
            if (state.recentServed * worstServedClass.recentArrivals
                    < worstServedClass.recentServed * state.recentArrivals) {
                worstServedClass = state;
            }
        }
        for (ClassState state : rankedClasses) {
            double share = state.requestClass.worth() * requestWeight(state) / Math.max(totalWorth, Double.MIN_NORMAL);
            state.valuePerWork = (settings.goal().whole() + settings.goal().worstWindow()) * share;
            if (state == worstServedClass) {
                state.valuePerWork += settings.goal().worstClass() / Math.max(state.recentArrivals, Double.MIN_NORMAL);
            }
            state.valuePerWork /= Math.max(state.meanLatency, 1);
        }
        rankedClasses.sort((a, b) -> Double.compare(b.valuePerWork, a.valuePerWork));
    }

    /** Returns the weight of one request of a class: its mean latency if the settings count worth by work, else 1. */
    private double requestWeight(ClassState state) {
        return settings.worthByWork() ? state.meanLatency : 1;
    }

    /** Returns whether a response is expected too late to be worth the work. */
    private boolean wouldBeLate(PendingRequest req, long now) {
        return now + (long) req.classState.latencyQuantile.value() > req.expiresAt;
    }

    @Override
    public void outcome(
            long now,
            long request,
            int attempt,
            long server,
            Outcome outcome,
            long elapsed,
            boolean closed,
            double[] load) {
        PendingRequest req = openRequests.get(request);
        if (req == null || attempt >= req.attempts.size() || req.attempts.get(attempt).outcome != null) {
            return; // the request has ended, or the outcome was reported twice
        }
        Attempt ended = req.attempts.get(attempt);
        ended.outcome = outcome;
        ended.server.inFlight -= ended.streaming ? 0 : 1;
        forgetIfIdle(ended.server);
        boolean overloaded = outcome == Outcome.FULL
                || (outcome == Outcome.TIMEOUT || outcome == Outcome.CANCELLED)
                        && req.expiresAt - req.arrivedAt > req.classState.latencyQuantile.value();
        addCredit(
                ended.streaming ? CREDIT_PER_REQUEST : outcome == Outcome.OK ? CREDIT_PER_RESPONSE : overloaded ? 0 : 1,
                now);
        recordOutcome(req, ended.server, outcome, elapsed, recordLoadReport(ended.server, load, now), now);
        if (closed) {
            close(req);
        }
        if (!req.closed && req.attemptsInFlight() == 0) {
            retryOrReject(req, now);
        }
        if (req.closed && req.attemptsInFlight() == 0) {
            openRequests.remove(request);
        }
        dispatchQueued(now);
    }

    /** Retries after a failed attempt if it is permitted and the retry budget allows it; else ends the request. */
    private void retryOrReject(PendingRequest req, long now) {
        boolean worthwhile = !wouldBeLate(req, now) && req.mayAttemptAgain();
        if (worthwhile && maySend(req, now) && retryBudget >= 1) {
            retryBudget -= 1;
            dispatchOrQueue(req, now);
        } else {
            reject(req, now);
        }
    }

    /** Sends the final response of a request that is not served: a refusal if that is permitted, else a failure. */
    private void reject(PendingRequest req, long now) {
        if (req.closed) {
            return;
        }
        cancelAttempts(req);
        if (!req.request.repeated()) {
            req.classState.meanUnservedWait += EWMA_WEIGHT * (now - req.arrivedAt - req.classState.meanUnservedWait);
        }
        if (mayRefuse(req)) {
            actions.refuse(req.request.id(), req.settings.permits().maxRetryAfter());
        } else {
            actions.fail(req.request.id());
        }
        close(req);
    }

    /** Cancels the attempts in flight of a request that is not served, and remembers when its first try arrived. */
    private void cancelAttempts(PendingRequest req) {
        if (unservedArrivals.size() >= MAX_UNSERVED_REQUESTS) {
            unservedArrivals.clear();
        }
        unservedArrivals.put(fingerprint(req.request), req.firstArrivedAt);
        for (int i = 0; i < req.attempts.size() && req.settings.permits().cancel(); i++) {
            if (req.attempts.get(i).outcome == null) {
                actions.cancel(req.request.id(), i);
            }
        }
    }

    private void close(PendingRequest req) {
        req.closed = true;
        req.queued = false;
        requestsByToken.remove(req.token);
        if (req.attemptsInFlight() == 0) {
            openRequests.remove(req.request.id());
        }
    }

    @Override
    public void clientLeft(long now, long request) {
        PendingRequest req = openRequests.get(request);
        if (req != null && !req.closed) {
            cancelAttempts(req);
            close(req);
        }
    }

    @Override
    public void streamStarted(long now, long request, int attempt, long server, long elapsed) {
        PendingRequest req = openRequests.get(request);
        if (req != null && !req.attempts.get(attempt).streaming) {
            req.streaming = true;
            req.attempts.get(attempt).streaming = true;
            // The server's work is done; a slow client does not use its capacity.
            req.attempts.get(attempt).server.inFlight--;
            addCredit(CREDIT_PER_RESPONSE, now);
            dispatchQueued(now);
        }
    }

    @Override
    public void timer(long now, long token) {
        if (token == TIMER_PROBE) {
            probeNext(now, 0.5);
        } else if (token == TIMER_SWEEP) {
            rankClasses(now);
            dispatchQueued(now);
            sweepScheduled = false;
            scheduleSweep();
        } else if (token == TIMER_DISCOVERY) {
            actions.watchServers();
        } else {
            PendingRequest req = requestsByToken.get(token);
            if (req == null || req.streaming) {
                return; // the response has been sent, or is being streamed to the client
            }
            if (req.attemptsInFlight() > 0 && now < req.expiresAt + settings.tick()) {
                actions.timer(token, settings.tick()); // the host reports the attempt's timeout in the same batch
            } else {
                reject(req, now);
            }
        }
    }

    // Messages between agents are not used: their price exceeds their benefit.
    @Override
    public void message(long now, int agent, byte[] message) {}

    // ---- Retry safety ----

    /**
     * Returns whether another attempt is permitted without the risk that the request takes effect twice. An unsafe
     * request is sent again only if every attempt provably never ran; a keyed one only inside the deduplication
     * window of each attempt that may have run, and only to servers that {@link #inDedupScope} accepts.
     */
    private boolean maySend(PendingRequest req, long now) {
        Semantics semantics = req.requestClass.semantics();
        boolean otherInFlight =
                req.attemptsInFlight() > 0 && !(req.settings.permits().duplicates() && semantics == Semantics.SAFE);
        if (req.closed || req.streaming || otherInFlight) {
            return false;
        }
        // A retry that arrives after the window would be executed again. The margin covers the network latency.
        long window = (long) (RETRY_WINDOW_SHARE * req.requestClass.window());
        return semantics == Semantics.SAFE
                || req.attempts.stream()
                        .allMatch(attempt ->
                                !attempt.mayHaveRun() || semantics == Semantics.KEYED && now < attempt.sentAt + window);
    }

    /** Returns whether a server shares its deduplication scope with every earlier attempt that may have run. */
    private boolean inDedupScope(PendingRequest req, ServerState server) {
        Scope scope = req.requestClass.scope();
        if (req.requestClass.semantics() != Semantics.KEYED || scope == Scope.ALL) {
            return true;
        }
        return req.attempts.stream()
                .allMatch(attempt -> !attempt.mayHaveRun()
                        || (scope == Scope.ZONE
                                ? attempt.server.entry.zone() == server.entry.zone()
                                : attempt.server.entry.cell() == server.entry.cell()));
    }

    /**
     * Returns whether the request may be refused. A refusal tells the client that a retry is harmless. If it is not,
     * the request may take effect twice.
     */
    private boolean mayRefuse(PendingRequest req) {
        Semantics semantics = req.requestClass.semantics();
        return semantics == Semantics.SAFE
                || req.attempts.stream().noneMatch(Attempt::mayHaveRun)
                || semantics == Semantics.KEYED && req.requestClass.scope() == Scope.ALL;
    }

    // ---- Selection of a server ----

    private ServerState pickServer(PendingRequest req, long now) {
        if (!maySend(req, now)) {
            return null;
        }
        boolean crossesAtOnce = usesKeyAffinity(req) && (mix(~req.request.key()) >>> 11) * 0x1p-53 < crossZoneShare;
        ServerState best = crossesAtOnce ? pickOfTwo(req, now, true, 0) : null;
        if (best == null) {
            best = pickOfTwo(req, now, true, 1);
            crossZoneShare -= best == null
                    ? 0
                    : CROSS_ZONE_SHARE_STEP * req.settings.prices().crossing() * crossZoneShare;
        }
        if (best != null) {
            return best;
        }
        // Servers that have been tried do not count here. Otherwise a retry would wait until it expires because the
        // server that it has already tried is available, although only an ejected server is left.
        boolean availableAnywhere = listedServers.stream()
                .anyMatch(server -> server.ready
                        && !req.tried(server)
                        && inDedupScope(req, server)
                        && isAvailable(req, server, now));
        boolean availableInZone = listedServers.stream()
                .anyMatch(server ->
                        server.ready && server.entry.zone() == settings.zone() && isAvailable(req, server, now));
        if (!availableAnywhere) {
            return pickOfTwo(req, now, false, -1);
        }
        if (availableInZone && now - req.arrivedAt < crossZoneWait(req)) {
            return null;
        }
        best = pickOfTwo(req, now, true, 0);
        if (best != null && availableInZone) {
            // If any key could cross zones after a wait, no server would be warm for it. So a growing share of the
            // keys crosses at once, always the same ones.
            crossZoneShare += CROSS_ZONE_SHARE_STEP * (1 - crossZoneShare);
        }
        return best;
    }

    /** Returns whether servers respond faster to this request if they have recently served its key. */
    private boolean usesKeyAffinity(PendingRequest req) {
        return settings.warmKeys() && req.request.key() != 0;
    }

    /**
     * Returns how long a request waits for a server of the own zone before it crosses zones, in microseconds: the
     * share of its total time that equals the price of crossing.
     */
    private long crossZoneWait(PendingRequest req) {
        return (long) ((req.expiresAt - req.arrivedAt)
                * Math.min(1, req.settings.prices().crossing()));
    }

    /**
     * Picks the less loaded of two random servers with capacity, or of the two servers of the request's key.
     *
     * @param healthy whether to consider available servers only
     * @param zoneFilter 1 for the own zone, 0 for other zones, -1 for all servers
     * @return the server, or null if the request cannot be sent to any of them now
     */
    private ServerState pickOfTwo(PendingRequest req, long now, boolean healthy, int zoneFilter) {
        candidates.clear();
        double spareCapacity = 0;
        int inFlight = 0;
        int remaining = usesKeyAffinity(req)
                ? listedServers.size()
                : subsetSize(zoneFilter == 1 ? SUBSET_MIN_OWN_ZONE : SUBSET_MIN_OTHER_ZONES, now);
        for (int index = 0; index < listedServers.size() && remaining > 0; index++) {
            ServerState server = listedServers.get(index);
            if (server.ready
                    && (!healthy || isAvailable(req, server, now))
                    && (zoneFilter < 0 || (server.entry.zone() == settings.zone()) == (zoneFilter == 1))) {
                remaining--;
                spareCapacity += server.limit - server.inFlight;
                inFlight += server.inFlight;
                if (!req.tried(server)
                        && inDedupScope(req, server)
                        && hasCapacity(server, now)
                        && now >= perClass(req, server).backoffUntil
                        && isWarmEnough(req, server, now)) {
                    candidates.add(server);
                }
            }
        }
        if (inFlight > 0 && spareCapacity < 1) {
            // Even one request at each of a few servers would overload them if each of hundreds of agents sent it.
            return null;
        }
        if (usesKeyAffinity(req)) {
            removeBusyCandidates();
        }
        int count = candidates.size();
        if (count <= 1) {
            return count == 0 ? null : candidates.get(0);
        }
        if (usesKeyAffinity(req)) {
            // All agents pick the same two servers by the key's hash.
            ServerState first = highestHash(req.request.key(), null);
            ServerState second = highestHash(req.request.key(), first);
            return first.inFlight <= second.inFlight ? first : second;
        }
        int i = random.nextInt(count);
        int j = random.nextInt(count - 1);
        ServerState a = candidates.get(i);
        ServerState b = candidates.get(j < i ? j : j + 1);
        return (a.inFlight != b.inFlight
                        ? a.inFlight < b.inFlight
                        : settings.warmKeys() || latencyRatio(a, now) <= latencyRatio(b, now))
                ? a
                : b;
    }

    /**
     * Returns the size of the subset that this agent picks servers from; it is small for an agent with little
     * traffic. If many agents with little traffic each used every server, they would fill the connection tables, pay
     * a handshake for nearly every request, and see too few outcomes of each server to evaluate it. Requests in
     * flight do not count: they increase under overload, and a larger subset would increase the overload.
     */
    private int subsetSize(int min, long now) {
        decay(now);
        return Math.max(minSubsetSize(min), (int) (SUBSET_SERVERS_PER_BUSY_SERVER * recentWork / RATE_DECAY_TIME));
    }

    private int minSubsetSize(int min) {
        return Math.max(min, SUBSET_AGENTS_PER_SERVER * listedServers.size() / settings.agents());
    }

    /**
     * Keeps only the candidates with at most one request in flight above the mean. Otherwise the servers of a hot key
     * would be flooded.
     */
    private void removeBusyCandidates() {
        double max = 1
                + candidates.stream()
                        .mapToInt(server -> server.inFlight)
                        .average()
                        .orElse(0);
        candidates.removeIf(server -> server.inFlight > max);
    }

    private ServerState highestHash(long key, ServerState except) {
        return candidates.stream()
                .filter(server -> server != except)
                .max(Comparator.comparingLong(server -> mix(key ^ mix(server.id))))
                .orElseThrow();
    }

    private static long mix(long hash) {
        hash = (hash + 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 29) * 0x94d049bb133111ebL;
        return hash ^ hash >>> 32;
    }

    // ---- Concurrency limits and latencies ----

    private boolean hasCapacity(ServerState server, long now) {
        return server.inFlight < Math.max(1, (int) server.limit)
                && now >= server.backoffUntil
                && (!isCold(server, now) || refillColdTokens(server, now) >= 1);
    }

    private void recordOutcome(
            PendingRequest req, ServerState server, Outcome outcome, long elapsed, double queued, long now) {
        if (outcome == Outcome.CANCELLED || outcome == Outcome.NEVER_SENT) {
            return; // the outcome says nothing about the server
        }
        boolean failed = outcome != Outcome.OK && outcome != Outcome.FULL;
        PerClassState classState = perClass(req, server);
        server.failureWindow.add(now, FAILURE_WINDOW, failed);
        classState.failureWindow.add(now, FAILURE_WINDOW, failed);
        if (outcome == Outcome.OK) {
            server.answeredSinceProbe = true;
            server.consecutiveFailures = 0;
            server.lastSuccessAt = now;
            classState.consecutiveFailures = 0;
            classState.lastSuccessAt = now;
            recordRecovery(server, now);
            recordLatency(req, server, elapsed, now);
            req.classState.recentServed++;
        } else if (outcome == Outcome.TIMEOUT) {
            recordColdLatency(req, server, elapsed, coldLatencyShare, now); // the response would have taken even longer
        } else if (server.consecutiveFailures > 0 && (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET)) {
            markBroken(server, now); // a single failure may be due to a full connection table
        }
        boolean fault = outcome == Outcome.ERROR || outcome == Outcome.TIMEOUT;
        boolean thisClassOnly = fault && otherClassesSucceed(server, classState, now);
        classState.lastFailureAt = fault ? now : classState.lastFailureAt;
        if (outcome != Outcome.OK && (outcome != Outcome.TIMEOUT || now - elapsed > classState.lastSuccessAt)) {
            // Without a backoff, a server that fails fast would attract all requests, as it has the fewest in flight;
            // and few agents see enough requests to eject a silent server by its failure window.
            long baseBackoff = (long) Math.max(req.classState.meanLatency, settings.tick());
            if (!thisClassOnly && (outcome != Outcome.TIMEOUT || now - elapsed > server.lastSuccessAt)) {
                server.backoffUntil = now + (baseBackoff << server.consecutiveFailures);
                server.consecutiveFailures = Math.min(MAX_BACKOFF_DOUBLINGS, server.consecutiveFailures + 1);
            }
            classState.backoffUntil = now + (baseBackoff << classState.consecutiveFailures);
            classState.consecutiveFailures = Math.min(MAX_BACKOFF_DOUBLINGS, classState.consecutiveFailures + 1);
        }
        // A connection that breaks says nothing about the server's capacity. If it lowered the limit, a bad network
        // would leave servers idle.
        boolean mayBeOverload = outcome != Outcome.ERROR && outcome != Outcome.RESET;
        if (outcome != Outcome.OK && mayBeOverload || isSlow(req, server, elapsed)) {
            // A low limit is decreased by a factor: a single slow response must not shut a server off from an agent
            // with little traffic.
            double factor = elapsed > req.requestClass.aim() ? LIMIT_LATE_FACTOR : LIMIT_SLOW_FACTOR;
            double decreased = server.limit > LOW_LIMIT ? server.limit - LIMIT_DECREASE : factor * server.limit;
            server.limit = Math.max(Math.min(1, LIMIT_MIN / settings.agents()), decreased);
        } else if (queued > MAX_QUEUED_PER_CORE) {
            // Each agent with little traffic sees little of a server, so all of them together would overload it
            // unnoticed.
            server.limit = Math.max(Math.min(1, LIMIT_MIN / settings.agents()), LIMIT_QUEUED_FACTOR * server.limit);
        } else if (outcome == Outcome.OK && 2 * (server.inFlight + 1) >= server.limit) {
            server.limit += LIMIT_INCREASE;
        }
        if (server.limit < 1) { // with many agents, one request of each is too much for a small server
            server.backoffUntil = Math.max(server.backoffUntil, now + (long) (elapsed * (1 / server.limit - 1)));
        }
        if (failed && isAvailable(req, server, now)) {
            ejectIfOutlier(req, server, thisClassOnly, now);
        }
    }

    /** Evaluates a load report. Returns the queued requests for each listed core; negative or NaN if not reported. */
    private double recordLoadReport(ServerState server, double[] load, long now) {
        int index = settings.loadFields().indexOf(LoadField.QUEUED);
        double queued = index < 0 || load.length <= index ? -1 : load[index] / server.effectiveWeight();
        // A cold server that keeps up may be able to do more; the report lags behind.
        if (queued >= 0 && isCold(server, now)) {
            server.coldRateMultiple = queued < COLD_MAX_QUEUED_PER_CORE
                    ? Math.min(2 * initialColdRateMultiple(), server.coldRateMultiple + 0.5)
                    : Math.max(1, 0.7 * server.coldRateMultiple);
        }
        return queued;
    }

    /**
     * Returns the initial rate to a cold server, as a multiple of its warm share: one less than the multiple at which
     * it fails.
     */
    private double initialColdRateMultiple() {
        return Math.max(1, settings.obligations().overloadMultiple() - 1);
    }

    private static PerClassState perClass(PendingRequest req, ServerState server) {
        return server.byClass[req.request.requestClass()];
    }

    /**
     * Returns whether the server has recently served other classes and failed none of them. Without this
     * distinction a release that breaks one class would take the server's capacity from all classes. If requests of
     * every class fail, the server itself is at fault.
     */
    private static boolean otherClassesSucceed(ServerState server, PerClassState failing, long now) {
        boolean answered = false;
        for (PerClassState other : server.byClass) {
            if (other != failing && other.lastFailureAt > 0 && now - other.lastFailureAt < FAILURE_WINDOW) {
                return false;
            }
            answered |= other != failing && other.lastSuccessAt > 0 && now - other.lastSuccessAt < FAILURE_WINDOW;
        }
        return answered;
    }

    /**
     * Records the latency of a response, relative to the mean of its class and in part to the request's own cost, as
     * the cost hint may be inaccurate.
     */
    private void recordLatency(PendingRequest req, ServerState server, long elapsed, long now) {
        ClassState state = req.classState;
        double cost = relativeCost(req);
        recordColdLatency(req, server, elapsed, 0, now);
        double ratio = state.meanLatency == 0 ? 1 : Math.min(MAX_LATENCY_RATIO, elapsed / (state.meanLatency * cost));
        double previous = latencyRatio(server, now);
        server.latencyRatio = previous + LATENCY_RATIO_EWMA_WEIGHT * (ratio - previous);
        server.latencyRatioAt = now;
        latencyRatioByKind.merge(server.entry.kind(), ratio, (old, sample) -> old + EWMA_WEIGHT / 2 * (sample - old));
        state.meanLatency += (state.meanLatency == 0 ? 1 : EWMA_WEIGHT / 2) * (elapsed - state.meanLatency);
        state.lowestMeanLatency =
                state.lowestMeanLatency == 0 ? state.meanLatency : Math.min(state.lowestMeanLatency, state.meanLatency);
        state.latencyQuantile.add(elapsed);
        if (state.latencyQuantile.isReady()) {
            server.relativeLatency.add(elapsed / state.latencyQuantile.minimum());
        }
    }

    /** Returns the cost of a request relative to its class, with half the weight on the request's own cost hint. */
    private static double relativeCost(PendingRequest req) {
        return req.classState.meanCost == 0 ? 1 : 0.5 + 0.5 * req.request.cost() / req.classState.meanCost;
    }

    /**
     * Updates the estimated latency of cold servers with a response or a timeout of one; {@code min} bounds the
     * sample.
     */
    private void recordColdLatency(PendingRequest req, ServerState server, long elapsed, double min, long now) {
        if (isCold(server, now) && req.classState.meanLatency > 0) {
            double share = elapsed * warmShare(server, now) / (req.classState.meanLatency * relativeCost(req));
            coldLatencyShare += EWMA_WEIGHT / 2 * (Math.max(min, Math.min(1, share)) - coldLatencyShare);
        }
    }

    /** Returns the latency of a server relative to the mean: its own if measured recently, else that of its kind. */
    private double latencyRatio(ServerState server, long now) {
        double usual = latencyRatioByKind.getOrDefault(server.entry.kind(), 1.0);
        return usual
                + (server.latencyRatio - usual) * Math.exp(-(double) (now - server.latencyRatioAt) / RATE_DECAY_TIME);
    }

    /**
     * Returns whether a response was slow for its class and for the server's own latency without load. If the aim
     * allows for queueing, pausing a server because of a short queue would leave it idle; so would expecting small
     * machines to be as fast as large ones.
     */
    private boolean isSlow(PendingRequest req, ServerState server, long elapsed) {
        QuantileEstimator latency = req.classState.latencyQuantile;
        double serverRatio = server.relativeLatency.isReady()
                ? Math.max(1, Math.min(MAX_SERVER_LATENCY_RATIO, server.relativeLatency.minimum()))
                : 1;
        double max = SLOW_TIMEOUT_SHARE * (req.expiresAt - req.arrivedAt);
        return elapsed
                > Math.max(
                        server.limit > LOW_LIMIT ? 0 : NEVER_SLOW_AIM_SHARE * req.requestClass.aim(),
                        latency.isReady()
                                ? Math.min(max, SLOW_LATENCY_MULTIPLE * serverRatio * latency.minimum())
                                : max);
    }

    // ---- Health ----

    /** Returns whether a server is available: neither health state is Unhealthy. Ends an ejection that is over. */
    private boolean isAvailable(ServerState server, long now) {
        if (server.passiveHealth == Health.UNHEALTHY && now >= server.ejectedUntil) {
            server.passiveHealth = Health.UNKNOWN;
            server.limit = 1;
            server.failureWindow.clear();
            log(server, "passive Unknown: reactivated");
        }
        return server.activeHealth != Health.UNHEALTHY && server.passiveHealth != Health.UNHEALTHY;
    }

    @Override
    public int unhealthyServers(long now) {
        return (int) listedServers.stream()
                .filter(server -> server.ready
                        && (server.activeHealth == Health.UNHEALTHY
                                || server.passiveHealth == Health.UNHEALTHY && now < server.ejectedUntil))
                .count();
    }

    /** Returns whether a server is available for a request. It may be ejected for the request's class only. */
    private boolean isAvailable(PendingRequest req, ServerState server, long now) {
        PerClassState classState = perClass(req, server);
        if (classState.passiveHealth == Health.UNHEALTHY && now >= classState.ejectedUntil) {
            classState.passiveHealth = Health.UNKNOWN;
            classState.failureWindow.clear();
            log(server, "class " + req.request.requestClass() + " passive Unknown: reactivated");
        }
        return classState.passiveHealth != Health.UNHEALTHY && isAvailable(server, now);
    }

    /**
     * Ejects a server if its failure rate is too high and significantly higher than that of its peers of the same zone.
     *
     * @param thisClassOnly whether to eject it for the request's class only
     */
    private void ejectIfOutlier(PendingRequest req, ServerState server, boolean thisClassOnly, long now) {
        PerClassState classState = perClass(req, server);
        FailureWindow window = thisClassOnly ? classState.failureWindow : server.failureWindow;
        int total = window.total;
        int failed = window.failed;
        if (total < FAILURE_WINDOW_MIN_REQUESTS || failed <= MAX_FAILURE_RATE * total) {
            return;
        }
        int peerTotal = 1;
        int peerFailed = 0;
        for (ServerState peer : listedServers) {
            if (peer != server && peer.entry.zone() == server.entry.zone()) {
                FailureWindow peerWindow = thisClassOnly ? perClass(req, peer).failureWindow : peer.failureWindow;
                peerWindow.slideTo(now, FAILURE_WINDOW);
                peerTotal += peerWindow.total;
                peerFailed += peerWindow.failed;
            }
        }
        // If all servers fail alike, ejecting some would only push their load onto the others.
        double expected = total * (double) peerFailed / peerTotal;
        if (failed <= expected + PEER_DEVIATIONS * Math.sqrt(Math.max(1, expected))) {
            return;
        }
        if (thisClassOnly) {
            classState.passiveHealth = Health.UNHEALTHY;
            classState.ejectedUntil = now + EJECTION_TIME;
        } else {
            server.passiveHealth = Health.UNHEALTHY;
            server.ejectedUntil = now + EJECTION_TIME;
        }
        log(
                server,
                (thisClassOnly ? "class " + req.request.requestClass() + " " : "") + "passive Unhealthy: " + failed
                        + " of " + total + " failed");
    }

    /** Returns the servers of the subset and the unavailable ones ahead of them in the list, which may recover. */
    private List<ServerState> serversToProbe(long now) {
        List<ServerState> result = new ArrayList<>();
        int remaining = subsetSize(SUBSET_MIN_OWN_ZONE, now);
        for (ServerState server : listedServers) {
            if (remaining > 0 && server.ready && server.entry.zone() == settings.zone()) {
                result.add(server);
                remaining -= isAvailable(server, now) ? 1 : 0;
            }
        }
        return result.isEmpty() ? listedServers : result;
    }

    /**
     * Sends the next probe and schedules the one after it. The interval grows with the number of agents and is
     * random, as probes of many agents, or of all at the same time, would cost more than requests.
     *
     * @param minFactor lower bound of the random factor of the interval; 0 to schedule without sending
     */
    private void probeNext(long now, double minFactor) {
        probeScheduled = settings.permits().probes() && !listedServers.isEmpty();
        if (!probeScheduled) {
            return;
        }
        List<ServerState> probed = serversToProbe(now);
        double agentsPerServer = (double) settings.agents() * probed.size() / listedServers.size();
        double interval = PROBE_INTERVAL * Math.max(1, settings.prices().probe() / PROBE_PRICE_THRESHOLD);
        double mean = interval * Math.max(1, agentsPerServer) / probed.size();
        actions.timer(TIMER_PROBE, 1 + (long) (mean * (minFactor + random.nextDouble())));
        ServerState server = probed.get(nextProbe++ % probed.size());
        if (minFactor > 0 && !server.probeInFlight) {
            server.probeInFlight = true;
            actions.probe(server.id);
        }
    }

    @Override
    public void probeOutcome(long now, long serverId, Outcome outcome, long elapsed, double[] load) {
        ServerState server = serversById.get(serverId);
        if (server == null) {
            return;
        }
        server.probeInFlight = false;
        recordLoadReport(server, load, now);
        if (outcome == Outcome.NEVER_SENT) {
            return; // the outcome says nothing about the server
        }
        if (outcome == Outcome.OK) {
            server.probeFailures = 0;
            recordRecovery(server, now);
            if (server.activeHealth == Health.UNHEALTHY) {
                log(server, "active Healthy: probe answered");
            }
            server.activeHealth = Health.HEALTHY;
        } else if ((outcome == Outcome.TIMEOUT || outcome == Outcome.RESET) && server.answeredSinceProbe) {
            // A busy server may respond to probes late, or a connection may break. Its responses to requests prove that
            // it is alive, so it must not become Unhealthy.
            server.probeFailures = 0;
        } else {
            if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
                markBroken(server, now);
            }
            server.probeFailures++;
            if (server.probeFailures >= UNHEALTHY_PROBE_THRESHOLD && server.activeHealth != Health.UNHEALTHY) {
                server.activeHealth = Health.UNHEALTHY;
                markBroken(server, now);
                log(server, "active Unhealthy: " + server.probeFailures + " probes failed");
            }
        }
        server.answeredSinceProbe = false;
        dispatchQueued(now);
    }

    // ---- Cold servers (slow start) ----

    private void markBroken(ServerState server, long now) {
        server.brokenAt = server.broken ? server.brokenAt : now;
        server.broken = true;
    }

    /**
     * Treats a server that responds for the first time after an outage as cold, since it may have restarted. Short
     * outages do not count, as a process does not restart within the time of one retry; otherwise a network that
     * resets connections now and then would repeatedly make every server cold.
     */
    private void recordRecovery(ServerState server, long now) {
        if (server.broken) {
            server.broken = false;
            if (!isCold(server, now) && now - server.brokenAt >= MIN_RESTART_TIME) {
                markCold(server, now, now, now + SUSPECTED_RESTART_COLD_TIME, "answers again after a break");
            }
        }
    }

    private void markCold(ServerState server, long now, long since, long until, String reason) {
        server.coldSince = since;
        server.coldRateMultiple = initialColdRateMultiple();
        server.coldUntil = until;
        server.coldTokens = random.nextDouble(); // with a whole token each, a thousand agents would send a thousand
        server.coldTokensAt = now;
        log(server, "cold: " + reason);
    }

    /** Returns the minimum share of its capacity that a cold server has, given its age. */
    private double warmShare(ServerState server, long now) {
        double share = Math.min(
                1,
                Math.max(
                        0,
                        (double) (now - server.coldSince)
                                / settings.obligations().coldTime()));
        return share + (1 - share) * settings.obligations().coldFrom();
    }

    /**
     * Returns whether a server can be expected to respond in time. A server that has just started may need longer for
     * a request than any client waits.
     */
    private boolean isWarmEnough(PendingRequest req, ServerState server, long now) {
        return !isCold(server, now)
                || coldLatencyShare * req.classState.meanLatency / warmShare(server, now) < req.expiresAt - now;
    }

    private boolean isCold(ServerState server, long now) {
        return now < server.coldUntil;
    }

    /**
     * Refills the token bucket of a cold server and returns the number of requests that this agent may send to it
     * now. It keeps all agents together from overloading the server. The rate of each agent is the server's share of
     * the agent's own request rate within its subset, times the warm share, times a multiple that grows while the
     * server keeps up by its load reports. It is not derived from the rates of warm servers: a new agent knows none,
     * and there may be none if a whole zone is cold.
     */
    private double refillColdTokens(ServerState server, long now) {
        int subset = Math.min(readyServersInZone, subsetSize(SUBSET_MIN_OWN_ZONE, now))
                + Math.min(readyServers - readyServersInZone, subsetSize(SUBSET_MIN_OTHER_ZONES, now));
        double share =
                server.effectiveWeight() / readyWeight * (settings.warmKeys() ? 1 : (double) readyServers / subset);
        double perSecond = requestRate(now) * share * warmShare(server, now) * server.coldRateMultiple;
        double max = 1 + perSecond * COLD_BURST_SHARE * settings.obligations().overloadTime() / SECOND;
        server.coldTokens = Math.min(max, server.coldTokens + perSecond * (now - server.coldTokensAt) / SECOND);
        server.coldTokensAt = now;
        return server.coldTokens;
    }

    /**
     * Adds admission credit; with an amount of 0 it only applies the maximum. Servers continue to work on requests
     * that have timed out, so the more is sent to overloaded servers, the less is served. Credit that responses earn
     * follows what the servers can do, even if an agent sees too little of each server for a concurrency limit.
     */
    private void addCredit(double amount, long now) {
        double max = MIN_CREDIT_CAP + CREDIT_CAP_SECONDS * requestRate(now);
        admissionCredit = amount == 0
                ? Math.min(max, admissionCredit)
                : Math.max(admissionCredit, Math.min(max, admissionCredit + amount));
    }

    /** Returns the rate of first tries per second. Client retries do not count as demand. */
    private double requestRate(long now) {
        decay(now);
        double observedShare = 1 - Math.exp(-(double) Math.max(SECOND, now - createdAt) / RATE_DECAY_TIME);
        return recentFirstTries * SECOND / (RATE_DECAY_TIME * observedShare);
    }

    private void decay(long now) {
        double retained = Math.exp(-(double) (now - decayedAt) / RATE_DECAY_TIME);
        recentWork *= retained;
        recentFirstTries *= retained;
        decayedAt = now;
    }

    // ---- Server list ----

    @Override
    public void servers(long now, ListKind kind, List<Server> entries) {
        if (kind == ListKind.FAILED) {
            if (settings.askDiscovery()) {
                actions.timer(TIMER_DISCOVERY, discoveryDelay + random.nextLong(discoveryDelay));
                long max = Math.max(DISCOVERY_BACKOFF, settings.obligations().askWithin() / 4);
                discoveryDelay = Math.min(2 * discoveryDelay, max);
            }
            return;
        }
        discoveryDelay = kind == ListKind.CACHED ? discoveryDelay : DISCOVERY_BACKOFF;
        if (kind != ListKind.DELTA) {
            var listedIds = entries.stream().map(Server::id).collect(Collectors.toSet());
            List.copyOf(listedServers).stream()
                    .filter(server -> !listedIds.contains(server.id))
                    .forEach(this::removeServer);
        }
        for (Server entry : entries) {
            applyEntry(now, entry);
        }
        // The first servers in the order of this agent's own hash are its subset, which differs between agents.
        listedServers.sort(Comparator.comparingLong(server -> mix(server.id ^ mix(settings.agent()))));
        List<ServerState> ready =
                listedServers.stream().filter(server -> server.ready).toList();
        readyWeight = ready.stream().mapToDouble(ServerState::effectiveWeight).sum();
        readyServers = ready.size();
        readyServersInZone = (int) ready.stream()
                .filter(server -> server.entry.zone() == settings.zone())
                .count();
        double share = Math.min(1, (double) minSubsetSize(SUBSET_MIN_OWN_ZONE) / Math.max(1, listedServers.size()));
        for (ServerState server : listedServers) {
            server.limit = server.limit == 0 ? LIMIT_INITIAL / (settings.agents() * share) : server.limit;
        }
        if (!probeScheduled) {
            probeNext(now, 0);
        }
        dispatchQueued(now);
    }

    private void applyEntry(long now, Server entry) {
        if (entry.phase() == Phase.GONE) {
            ServerState known = serversById.get(entry.id());
            if (known != null) {
                removeServer(known);
            }
            return;
        }
        ServerState server = serversById.computeIfAbsent(entry.id(), id -> new ServerState(id, classes.size()));
        Server previous = server.entry;
        if (previous == null || server.removed) {
            listedServers.add(server);
        }
        server.removed = false;
        server.entry = entry;
        boolean ready = entry.phase() == Phase.READY;
        if (previous != null && server.ready != ready) {
            log(server, ready ? "ready" : "draining: nothing new is sent");
        }
        server.ready = ready;
        if (entry.startedAt() > 0 && (previous == null || entry.startedAt() != previous.startedAt())) {
            resetServer(now, server);
        }
    }

    private void resetServer(long now, ServerState server) {
        server.activeHealth = Health.UNKNOWN;
        server.passiveHealth = Health.UNKNOWN;
        server.probeFailures = 0;
        server.broken = false;
        server.limit = 0;
        server.latencyRatio = 1;
        server.failureWindow.clear();
        Arrays.setAll(server.byClass, i -> new PerClassState());
        long warmAt = server.entry.startedAt() + settings.obligations().coldTime();
        if (now < warmAt) {
            markCold(server, now, server.entry.startedAt(), warmAt, "listed as just started");
        }
    }

    private void removeServer(ServerState server) {
        if (listedServers.remove(server)) {
            log(server, "gone from the list");
        }
        server.ready = false;
        server.removed = true;
        forgetIfIdle(server);
    }

    /**
     * Drops the state of a removed server once no attempt is in flight there. Servers are added and removed
     * continually, so memory would otherwise grow without bound.
     */
    private void forgetIfIdle(ServerState server) {
        if (server.removed && server.inFlight == 0) {
            serversById.remove(server.id);
        }
    }

    private void log(ServerState server, String text) {
        if (server.removed) {
            return; // a removed server does not concern operators
        }
        actions.log("server " + server.id + " " + text);
    }
}
