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
 * Every decision of one agent's balancer. The ordinary path of a request: of two random available servers of the own
 * zone, the one with fewer of this agent's requests in flight; then other zones; then all.
 */
public final class AdaptiveBalancer implements Balancer {
    private static final long SECOND = 1_000_000;
    /** Between two probes of a server, by all that share it: a silent one is found for a small price. */
    private static final long PROBE_INTERVAL = SECOND;
    /** The price of a probe from which that grows with it: a fleet where probes are dear pays for them all. */
    private static final double PROBE_PRICE_THRESHOLD = 0.04;
    /** Servers of the own zone that a light agent draws from: two to compare, and as many may fail. */
    private static final int SUBSET_MIN_OWN_ZONE = 3;

    private static final int SUBSET_MIN_OTHER_ZONES =
            2; // and of other zones, where its own has no room: two to compare
    /** Agents that share a server on average: enough to load it evenly, so few that each comes there often. */
    private static final int SUBSET_AGENTS_PER_SERVER = 10;
    /** Servers in the subset for each one that this agent's requests would keep busy. */
    private static final double SUBSET_SERVERS_PER_BUSY_SERVER = 4;

    private static final int UNHEALTHY_PROBE_THRESHOLD = 2; // failed probes in a row that make a server Unhealthy
    /** The sliding window: long enough to hold a light agent's few requests, short beside an outage. */
    private static final long FAILURE_WINDOW = 10 * SECOND;
    /** Requests in the window before the passive state is judged; a light agent never sees the default 10. */
    private static final int FAILURE_WINDOW_MIN_REQUESTS = 5;

    private static final double MAX_FAILURE_RATE = 0.3; // over which the passive state is Unhealthy; the default
    /** And by how many deviations above the peers' share: what fails everywhere is no server's fault. */
    private static final double PEER_DEVIATIONS = 1;
    /** A server that fails at once rests as if the request had taken its time, doubled up to this often. */
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private static final long EJECTION_TIME = 5 * SECOND; // after this the passive state is Unknown again
    private static final double LIMIT_INITIAL = 12; // of all agents together, for a server unknown so far
    /** After a fast answer with the limit half used; after a slow one: even at one slow answer in nine. */
    private static final double LIMIT_INCREASE = 0.2;

    private static final double LIMIT_DECREASE = 1.6;
    private static final double LIMIT_SLOW_FACTOR = 0.5;
    /** Waiting requests a listed core from which a server has too much, by its own report, and what is left then. */
    private static final double MAX_QUEUED_PER_CORE = 1;

    private static final double LIMIT_QUEUED_FACTOR = 0.8;
    /** The same past the aim: a choked server mends only if all that share it leave it for seconds. */
    private static final double LIMIT_LATE_FACTOR = 0.1;
    /** Up to this limit an agent is light: its answers from a server are few, and one says little. */
    private static final double LOW_LIMIT = 2;
    /** The least limit of all agents together, so that none is shut out; below 1 a server pauses. */
    private static final double LIMIT_MIN = 6;
    /** An answer slower than this many times the unhurried time says that the server has too much in hand. */
    private static final double SLOW_LATENCY_MULTIPLE = 1.45;
    /** Never let the unhurried time excuse answers slower than this part of the time wanted. */
    private static final double SLOW_TIMEOUT_SHARE = 0.5;
    /** To a light agent an answer within this part of the aim is never slow. */
    private static final double NEVER_SLOW_AIM_SHARE = 0.4;
    /** The quantile of a class's answer times that is followed; its lowest value is the unhurried time. */
    static final double LATENCY_QUANTILE = 0.8;
    /** How much slower than the class a server may be by nature before its answers count as slow. */
    private static final double MAX_SERVER_LATENCY_RATIO = 2;
    /** How long a server is thought to have restarted unless the list says so: the list is seconds late. */
    private static final long SUSPECTED_RESTART_COLD_TIME = 5 * SECOND;

    private static final long MIN_RESTART_TIME = SECOND / 2; // a break shorter than this is no restart
    private static final int USUAL_TIMEOUT_TOLERANCE_TICKS =
            4; // ticks by which the time that first tries bring may differ
    private static final int MAX_USUAL_TIMEOUT_VOTES = 20; // votes for that time at the most; half of them make it sure
    private static final int MAX_UNSERVED_REQUESTS =
            1_024; // requests not served that are known again when they come back
    private static final double EWMA_WEIGHT = 0.1; // weight of one new measurement in a running mean
    /** Weight of one answer in its server's slowness: a light agent sees few, and they soon say nothing. */
    private static final double LATENCY_RATIO_EWMA_WEIGHT = 0.4;

    private static final double MAX_LATENCY_RATIO =
            5; // the most that one answer moves it by, for works have heavy tails
    /** Further attempts earned by each request: retries can never multiply an overload. */
    private static final double RETRY_BUDGET_PER_REQUEST = 0.2;

    private static final double MAX_RETRY_BUDGET = 10; // what may be saved up of them, enough for one broken server
    /** Attempts that an answer pays for, where each costs one: so fast may they grow while servers answer in time. */
    private static final double CREDIT_PER_RESPONSE = 1.2;

    private static final double CREDIT_PER_REQUEST = 0.03; // and each request that comes, so that some are always tried
    /** What may be saved up: what is out is paid for and not answered yet, the more the more requests come. */
    private static final double MIN_CREDIT_CAP = 10;

    private static final double CREDIT_CAP_SECONDS = 0.5;
    /** While requests are held, how often they are looked at, in ticks of the host. */
    private static final int SWEEP_TICKS = 4;
    /** How far back the counts of requests come and served look, for ranking the classes. */
    private static final long RANKING_DECAY_TIME = 2 * SECOND;

    private static final long RATE_DECAY_TIME = 5 * SECOND; // how far back the measured answer rates look
    /** How fast the share of keys that cross zones at once follows what is seen: some hundred requests. */
    private static final double CROSS_ZONE_SHARE_STEP = 0.01;
    /** The part of what the settings make expect at the worst that a cold server needs, until it is measured. */
    private static final double INITIAL_COLD_LATENCY_SHARE = 0.5;
    /** Waiting requests a core under which a cold server keeps up: its room grows by half, else it shrinks. */
    private static final double COLD_MAX_QUEUED_PER_CORE = 0.2;
    /** How much of the time that topples a server its burst may fill: half, the list may be late. */
    private static final double COLD_BURST_SHARE = 0.5;
    /** The part of a keyed request's window in which it may be resent: a late arrival would run again. */
    private static final double RETRY_WINDOW_SHARE = 0.75;

    private static final long DISCOVERY_BACKOFF =
            SECOND; // the first wait before discovery is asked again; then doubled
    private static final long TIMER_PROBE = -1;
    private static final long TIMER_SWEEP = -2;
    private static final long TIMER_DISCOVERY = -3;

    private Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<Long, ServerState> serversById = new HashMap<>();
    private final List<ServerState> listedServers = new ArrayList<>(); // in the order of this agent's own hash
    private final List<ServerState> candidates = new ArrayList<>();
    private final Map<Long, PendingRequest> openRequests = new HashMap<>();
    private final Map<Long, PendingRequest> requestsByToken = new HashMap<>();
    private final List<ClassState> classes = new ArrayList<>();
    private final List<ClassState> rankedClasses; // the same, the most valuable first
    private double retryBudget = MAX_RETRY_BUDGET;
    private double admissionCredit =
            Double.MAX_VALUE; // attempts that may be sent; as many as come until one finds no room
    private double crossZoneShare; // the share of keys that cross zones at once
    /** By kind of server, what {@link ServerState#latencyRatio} is for one. */
    private final Map<Integer, Double> latencyRatioByKind = new HashMap<>();

    private final long createdAt;
    /** The unhurried time of the requests that came, and the first tries that did, as sums that fade. */
    private double recentWork;

    private double recentFirstTries;
    private long decayedAt;
    /** The listed weights of those that take requests, together; how many those are, and in the own zone. */
    private double readyWeight;

    private int readyServers;
    private int readyServersInZone;
    /** How long cold servers take, as a part of what the settings make expect at the worst. */
    private double coldLatencyShare = INITIAL_COLD_LATENCY_SHARE;

    private long rankedAt;
    /** When a request that had time enough was last turned away for want of room. */
    private long lastShedAt = Long.MIN_VALUE / 2;

    private boolean clientsMarkRetries; // whether clients mark their repeats
    /** By {@link #fingerprint}, when the first try of a request came that was not served; emptied when full. */
    private final Map<Long, Long> unservedArrivals = new HashMap<>();

    private long nextToken;
    private int nextProbe;
    private boolean sweepScheduled;
    private boolean probeScheduled;
    private long discoveryDelay = DISCOVERY_BACKOFF;

    /** A new instance that knows nothing but its settings; seed for its random choices. */
    public AdaptiveBalancer(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.nextProbe = random.nextInt(1 << 16);
        this.rankedAt = now;
        this.createdAt = now;
        settings.classes().forEach(type -> classes.add(new ClassState(type, LATENCY_QUANTILE)));
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
        serversById.values().forEach(each -> each.ensureClasses(classes.size()));
    }

    // ---- Life of a request ----

    @Override
    public void request(long now, Request request) {
        ClassState state = classes.get(request.requestClass());
        RequestClass type = state.requestClass;
        long aim = type.aim() + (long) (type.aimStretch() * request.cost());
        Long first = request.cost() == 0 ? null : unservedArrivals.remove(fingerprint(request));
        long spent = first != null ? now - first : timeAlreadySpent(request, state, now);
        // Danger: work for an answer already too late. Where that is only reckoned, one is served while there is room.
        long last = request.deadline() - settings.tick();
        long left = aim - spent;
        boolean late =
                type.lateShare() == 0 && Math.min(left, last - now) < Math.min(aim, state.latencyQuantile.value());
        boolean past =
                request.repeated() && late && left < (first == null ? state.latencyQuantile.value() : settings.tick());
        long endAt = type.lateShare() > 0
                ? last
                : Math.min(last, now + (late && !request.repeated() ? aim : left) - settings.tick());
        PendingRequest req = new PendingRequest(
                request, state, settings.permits().maxAttempts(), nextToken++, now, now - spent, endAt);
        openRequests.put(request.id(), req);
        requestsByToken.put(req.token, req);
        actions.timer(req.token, Math.max(0, endAt - now));
        state.meanCost += (state.meanCost == 0 ? 1 : EWMA_WEIGHT / 2) * (request.cost() - state.meanCost);
        state.recentArrivals++;
        decay(now);
        recentWork += state.lowestMeanLatency;
        recentFirstTries += request.repeated() || spent > 0 ? 0 : 1;
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRY_BUDGET_PER_REQUEST);
        addCredit(CREDIT_PER_REQUEST, now);
        if (past
                || late && (hasQueued() || now - lastShedAt < SECOND)
                || readyWeight == 0 && !listedServers.isEmpty()) {
            reject(req, now);
        } else {
            dispatchOrQueue(req, now);
        }
    }

    // What a client's repeat has behind it: it brings less time than first tries of its class, which bring the same.
    private long timeAlreadySpent(Request request, ClassState state, long now) {
        long left = request.deadline() - now;
        boolean usual = Math.abs(left - state.usualTimeout) <= USUAL_TIMEOUT_TOLERANCE_TICKS * settings.tick();
        if (usual) {
            state.usualTimeoutVotes = Math.min(MAX_USUAL_TIMEOUT_VOTES, state.usualTimeoutVotes + 1);
        } else if (--state.usualTimeoutVotes < 0) {
            state.usualTimeout = left;
            state.usualTimeoutVotes = 1;
        }
        clientsMarkRetries |=
                request.repeated(); // danger: clients that give up early bring little too, and have spent nothing
        boolean unsure = usual
                || clientsMarkRetries
                || request.cost() != 0
                || state.usualTimeoutVotes < MAX_USUAL_TIMEOUT_VOTES / 2;
        return request.repeated()
                ? (long) state.meanUnservedWait
                : unsure ? 0 : Math.max(0, state.requestClass.giveUp() - left);
    }

    /** What tells a request from others: its client's repeat brings the same. */
    private static long fingerprint(Request request) {
        return mix(request.key() ^ mix(request.cost() ^ mix(request.requestClass() ^ mix(request.tenant()))));
    }

    private boolean hasQueued() {
        return classes.stream().anyMatch(state -> !state.queue.isEmpty());
    }

    /** Sends a request if its history permits and a server has room. */
    private boolean dispatch(PendingRequest req, long now) {
        if (req.attempts.size() >= req.maxAttempts || now >= req.expiresAt || admissionCredit < 1) {
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

    // Sends what was held, the newest of each class first. Danger: oldest first, each is sent when it is just too late.
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
            // Danger: the oldest would cross zones with too little time left; take the newest that may.
            for (var newest = queue.descendingIterator(); newest.hasNext(); ) {
                PendingRequest req = newest.next();
                if (req.queued && now - req.arrivedAt >= crossZoneWait(req) && !dispatch(req, now)) {
                    break;
                }
            }
        }
    }

    /** Orders the classes by what a unit of their work adds to the goal, as measured now. */
    private void rankClasses(long now) {
        double fade = Math.exp(-(double) (now - rankedAt) / RANKING_DECAY_TIME);
        rankedAt = now;
        double all = 0;
        ClassState worst = rankedClasses.get(0);
        for (ClassState state : rankedClasses) {
            state.recentArrivals *= fade;
            state.recentServed *= fade;
            all += state.recentArrivals * state.requestClass.worth() * requestWeight(state);
            if (state.recentServed * worst.recentArrivals < worst.recentServed * state.recentArrivals) {
                worst = state;
            }
        }
        for (ClassState state : rankedClasses) {
            double each = state.requestClass.worth() * requestWeight(state) / Math.max(all, Double.MIN_NORMAL);
            state.valuePerWork = (settings.goal().whole() + settings.goal().worstWindow()) * each;
            if (state == worst) {
                state.valuePerWork += settings.goal().worstClass() / Math.max(state.recentArrivals, Double.MIN_NORMAL);
            }
            state.valuePerWork /= Math.max(state.meanLatency, 1);
        }
        rankedClasses.sort((a, b) -> Double.compare(b.valuePerWork, a.valuePerWork));
    }

    /** What one request of a class weighs: its work where worth is counted by work. */
    private double requestWeight(ClassState state) {
        return settings.worthByWork() ? state.meanLatency : 1;
    }

    /** Whether an answer would come too late to be worth the work. */
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
            long spent,
            boolean closed,
            double[] load) {
        PendingRequest req = openRequests.get(request);
        if (req == null || attempt >= req.attempts.size() || req.attempts.get(attempt).outcome != null) {
            return; // not held any more, or told twice
        }
        Attempt ended = req.attempts.get(attempt);
        ended.outcome = outcome;
        ended.server.inFlight -= ended.streaming ? 0 : 1;
        forgetIfIdle(ended.server);
        boolean full = outcome == Outcome.FULL
                || (outcome == Outcome.TIMEOUT || outcome == Outcome.CANCELLED)
                        && req.expiresAt - req.arrivedAt > req.classState.latencyQuantile.value();
        addCredit(
                ended.streaming ? CREDIT_PER_REQUEST : outcome == Outcome.OK ? CREDIT_PER_RESPONSE : full ? 0 : 1, now);
        recordOutcome(req, ended.server, outcome, spent, recordLoadReport(ended.server, load, now), now);
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

    /** After a failed attempt: another one where permitted and affordable, or the final answer. */
    private void retryOrReject(PendingRequest req, long now) {
        boolean worthIt = !wouldBeLate(req, now) && req.attempts.size() < req.maxAttempts;
        if (worthIt && maySend(req, now) && retryBudget >= 1) {
            retryBudget -= 1;
            dispatchOrQueue(req, now);
        } else {
            reject(req, now);
        }
    }

    /** The final answer for a request that will not be served: a refusal where permitted. */
    private void reject(PendingRequest req, long now) {
        if (req.closed) {
            return;
        }
        cancelAttempts(req);
        if (!req.request.repeated()) {
            req.classState.meanUnservedWait += EWMA_WEIGHT * (now - req.arrivedAt - req.classState.meanUnservedWait);
        }
        if (mayRefuse(req)) {
            actions.refuse(req.request.id(), settings.permits().maxRetryAfter());
        } else {
            actions.fail(req.request.id());
        }
        close(req);
    }

    /** Ends what is out for a request that is not served, and keeps in mind when it came. */
    private void cancelAttempts(PendingRequest req) {
        if (unservedArrivals.size() >= MAX_UNSERVED_REQUESTS) {
            unservedArrivals.clear();
        }
        unservedArrivals.put(fingerprint(req.request), req.firstArrivedAt);
        for (int i = 0; i < req.attempts.size() && settings.permits().cancel(); i++) {
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
    public void streamStarted(long now, long request, int attempt, long server, long spent) {
        PendingRequest req = openRequests.get(request);
        if (req != null && !req.attempts.get(attempt).streaming) {
            req.streaming = true;
            req.attempts.get(attempt).streaming = true;
            req.attempts.get(attempt).server.inFlight--; // its work is done; a slow reader takes no room there
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
                return; // answered long ago, or with the client now
            }
            if (req.attemptsInFlight() > 0 && now < req.expiresAt + settings.tick()) {
                actions.timer(token, settings.tick()); // the attempt's own time-out comes with this batch
            } else {
                reject(req, now);
            }
        }
    }

    @Override
    public void message(long now, int agent, byte[] message) {} // no message has earned its price yet

    // ---- What a request's history permits ----

    // Danger: an effect twice. Unsafe requests go again only once every attempt provably never ran; keyed ones only
    // inside the window of each that may have run, and where inGroups says.
    private boolean maySend(PendingRequest req, long now) {
        Semantics semantics = req.requestClass.semantics();
        boolean sending =
                req.attemptsInFlight() > 0 && !(settings.permits().duplicates() && semantics == Semantics.SAFE);
        if (req.closed || req.streaming || sending) {
            return false;
        }
        // Danger: a repeat that arrives after the window runs again; leave time for the way.
        long window = (long) (RETRY_WINDOW_SHARE * req.requestClass.window());
        return semantics == Semantics.SAFE
                || req.attempts.stream()
                        .allMatch(attempt ->
                                !attempt.mayHaveRun() || semantics == Semantics.KEYED && now < attempt.sentAt + window);
    }

    /** Whether a server is in the group of every earlier attempt that may have run. */
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

    /** A refusal says that trying again is harmless: danger of an effect twice if it is not. */
    private boolean mayRefuse(PendingRequest req) {
        Semantics semantics = req.requestClass.semantics();
        return semantics == Semantics.SAFE
                || req.attempts.stream().noneMatch(Attempt::mayHaveRun)
                || semantics == Semantics.KEYED && req.requestClass.scope() == Scope.ALL;
    }

    // ---- Pick ----

    private ServerState pickServer(PendingRequest req, long now) {
        if (!maySend(req, now)) {
            return null;
        }
        boolean roams = usesKeyAffinity(req) && (mix(~req.request.key()) >>> 11) * 0x1p-53 < crossZoneShare;
        ServerState best = roams ? pickOfTwo(req, now, true, 0) : null;
        if (best == null) {
            best = pickOfTwo(req, now, true, 1);
            crossZoneShare -=
                    best == null ? 0 : CROSS_ZONE_SHARE_STEP * settings.prices().crossing() * crossZoneShare;
        }
        if (best != null) {
            return best;
        }
        // Danger: a repeat would wait all its time for a removed server, the one it has tried being available.
        boolean availableAnywhere = listedServers.stream()
                .anyMatch(each ->
                        each.ready && !req.tried(each) && inDedupScope(req, each) && isAvailable(req, each, now));
        boolean availableHere = listedServers.stream()
                .anyMatch(each -> each.ready && each.entry.zone() == settings.zone() && isAvailable(req, each, now));
        if (!availableAnywhere) {
            return pickOfTwo(req, now, false, -1);
        }
        if (availableHere && now - req.arrivedAt < crossZoneWait(req)) {
            return null;
        }
        best = pickOfTwo(req, now, true, 0);
        if (best != null && availableHere) {
            // Danger: keys that cross only after waiting are known to no server. The same ones cross, more of them.
            crossZoneShare += CROSS_ZONE_SHARE_STEP * (1 - crossZoneShare);
        }
        return best;
    }

    /** Whether servers are quicker with this request's key where they met it lately. */
    private boolean usesKeyAffinity(PendingRequest req) {
        return settings.warmKeys() && req.request.key() != 0;
    }

    /** Crossing zones costs its price: while servers are available here, that part of the time is waited. */
    private long crossZoneWait(PendingRequest req) {
        return (long)
                ((req.expiresAt - req.arrivedAt) * Math.min(1, settings.prices().crossing()));
    }

    /** The two-draw pick among servers with room; where: 1 own zone, 0 other zones, -1 all. */
    private ServerState pickOfTwo(PendingRequest req, long now, boolean healthy, int where) {
        candidates.clear();
        double room = 0;
        int out = 0;
        int left = usesKeyAffinity(req)
                ? listedServers.size()
                : subsetSize(where == 1 ? SUBSET_MIN_OWN_ZONE : SUBSET_MIN_OTHER_ZONES, now);
        for (int at = 0; at < listedServers.size() && left > 0; at++) {
            ServerState server = listedServers.get(at);
            if (server.ready
                    && (!healthy || isAvailable(req, server, now))
                    && (where < 0 || (server.entry.zone() == settings.zone()) == (where == 1))) {
                left--;
                room += server.limit - server.inFlight;
                out += server.inFlight;
                if (!req.tried(server)
                        && inDedupScope(req, server)
                        && hasCapacity(server, now)
                        && now >= perClass(req, server).backoffUntil
                        && isWarmEnough(req, server, now)) {
                    candidates.add(server);
                }
            }
        }
        if (out > 0 && room < 1) {
            return null; // Danger: one request at each of a few servers, times hundreds of agents, is a jam
        }
        if (usesKeyAffinity(req)) {
            removeBusyCandidates();
        }
        int n = candidates.size();
        if (n <= 1) {
            return n == 0 ? null : candidates.get(0);
        }
        if (usesKeyAffinity(req)) {
            // All agents draw the same two by the key's hash.
            ServerState first = highestHash(req.request.key(), null);
            ServerState second = highestHash(req.request.key(), first);
            return first.inFlight <= second.inFlight ? first : second;
        }
        int i = random.nextInt(n);
        int j = random.nextInt(n - 1);
        ServerState a = candidates.get(i);
        ServerState b = candidates.get(j < i ? j : j + 1);
        return (a.inFlight != b.inFlight
                        ? a.inFlight < b.inFlight
                        : settings.warmKeys() || latencyRatio(a, now) <= latencyRatio(b, now))
                ? a
                : b;
    }

    // From how many servers an agent draws: few while it sends little. Danger: many light agents that each use every
    // server fill the connection tables, pay a handshake for nearly every request, and see none enough to judge it.
    // What is out does not count: it grows in a jam, and the jam with it.
    private int subsetSize(int least, long now) {
        decay(now);
        return Math.max(minSubsetSize(least), (int) (SUBSET_SERVERS_PER_BUSY_SERVER * recentWork / RATE_DECAY_TIME));
    }

    private int minSubsetSize(int least) {
        return Math.max(least, SUBSET_AGENTS_PER_SERVER * listedServers.size() / settings.agents());
    }

    // Leaves servers with at most one over the mean in flight. Danger: those of a key that many ask for are flooded.
    private void removeBusyCandidates() {
        double most = 1
                + candidates.stream().mapToInt(each -> each.inFlight).average().orElse(0);
        candidates.removeIf(server -> server.inFlight > most);
    }

    private ServerState highestHash(long key, ServerState except) {
        return candidates.stream()
                .filter(server -> server != except)
                .max(Comparator.comparingLong(server -> mix(key ^ mix(server.id))))
                .orElseThrow();
    }

    private static long mix(long z) {
        z = (z + 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 29) * 0x94d049bb133111ebL;
        return z ^ z >>> 32;
    }

    // ---- Limits and what answers teach ----

    private boolean hasCapacity(ServerState server, long now) {
        return server.inFlight < Math.max(1, (int) server.limit)
                && now >= server.backoffUntil
                && (!isCold(server, now) || refillColdTokens(server, now) >= 1);
    }

    private void recordOutcome(
            PendingRequest req, ServerState server, Outcome outcome, long spent, double queued, long now) {
        if (outcome == Outcome.CANCELLED || outcome == Outcome.NEVER_SENT) {
            return; // says nothing about the server
        }
        boolean failed = outcome != Outcome.OK && outcome != Outcome.FULL;
        PerClassState own = perClass(req, server);
        server.failureWindow.add(now, FAILURE_WINDOW, failed);
        own.failureWindow.add(now, FAILURE_WINDOW, failed);
        if (outcome == Outcome.OK) {
            server.answeredSinceProbe = true;
            server.consecutiveFailures = 0;
            server.lastSuccessAt = now;
            own.consecutiveFailures = 0;
            own.lastSuccessAt = now;
            recordRecovery(server, now);
            recordLatency(req, server, spent, now);
            req.classState.recentServed++;
        } else if (outcome == Outcome.TIMEOUT) {
            recordColdLatency(req, server, spent, coldLatencyShare, now); // it would have taken longer yet
        } else if (server.consecutiveFailures > 0 && (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET)) {
            markBroken(server, now); // one alone may be a full table of connections
        }
        boolean fault = outcome == Outcome.ERROR || outcome == Outcome.TIMEOUT;
        boolean alone = fault && otherClassesSucceed(server, own, now);
        own.lastFailureAt = fault ? now : own.lastFailureAt;
        if (outcome != Outcome.OK && (outcome != Outcome.TIMEOUT || now - spent > own.lastSuccessAt)) {
            // Danger: a server that fails at once has the fewest in flight; and few agents fill a silent one's window.
            long usual = (long) Math.max(req.classState.meanLatency, settings.tick());
            if (!alone && (outcome != Outcome.TIMEOUT || now - spent > server.lastSuccessAt)) {
                server.backoffUntil = now + (usual << server.consecutiveFailures);
                server.consecutiveFailures = Math.min(MAX_BACKOFF_DOUBLINGS, server.consecutiveFailures + 1);
            }
            own.backoffUntil = now + (usual << own.consecutiveFailures);
            own.consecutiveFailures = Math.min(MAX_BACKOFF_DOUBLINGS, own.consecutiveFailures + 1);
        }
        // Danger: a connection that breaks says nothing about room, and a bad network would leave servers idle.
        boolean crowded = outcome != Outcome.ERROR && outcome != Outcome.RESET;
        if (outcome != Outcome.OK && crowded || isSlow(req, server, spent)) {
            // In proportion where it is low: one slow answer must not close a server to a light agent.
            double factor = spent > req.requestClass.aim() ? LIMIT_LATE_FACTOR : LIMIT_SLOW_FACTOR;
            double less = server.limit > LOW_LIMIT ? server.limit - LIMIT_DECREASE : factor * server.limit;
            server.limit = Math.max(Math.min(1, LIMIT_MIN / settings.agents()), less);
        } else if (queued > MAX_QUEUED_PER_CORE) {
            // Danger: what one light agent sees of a server is little, and all of them together fill it unseen.
            server.limit = Math.max(Math.min(1, LIMIT_MIN / settings.agents()), LIMIT_QUEUED_FACTOR * server.limit);
        } else if (outcome == Outcome.OK && 2 * (server.inFlight + 1) >= server.limit) {
            server.limit += LIMIT_INCREASE;
        }
        if (server.limit < 1) { // Danger: with many agents one each is too much for a small server
            server.backoffUntil = Math.max(server.backoffUntil, now + (long) (spent * (1 / server.limit - 1)));
        }
        if (failed && isAvailable(req, server, now)) {
            ejectIfOutlier(req, server, alone, now);
        }
    }

    /** Takes in a load report; returns how many requests wait for each listed core, negative if it does not tell. */
    private double recordLoadReport(ServerState server, double[] load, long now) {
        int at = settings.loadFields().indexOf(LoadField.QUEUED);
        double queued = at < 0 || load.length <= at ? -1 : load[at] / server.effectiveWeight();
        if (queued >= 0 && isCold(server, now)) { // what it keeps up with is less than it can do; the report is late
            server.coldRateMultiple = queued < COLD_MAX_QUEUED_PER_CORE
                    ? Math.min(2 * initialColdRateMultiple(), server.coldRateMultiple + 0.5)
                    : Math.max(1, 0.7 * server.coldRateMultiple);
        }
        return queued;
    }

    // What is sent to a cold server at first, as a multiple of its sure part: one under what topples it.
    private double initialColdRateMultiple() {
        return Math.max(1, settings.obligations().overloadMultiple() - 1);
    }

    private static PerClassState perClass(PendingRequest req, ServerState server) {
        return server.byClass[req.request.requestClass()];
    }

    // Whether other classes are answered here and have not failed lately. Danger: a release that breaks one class would
    // take the room from all; but where some of every class fail, the server does.
    private static boolean otherClassesSucceed(ServerState server, PerClassState own, long now) {
        boolean answered = false;
        for (PerClassState each : server.byClass) {
            if (each != own && each.lastFailureAt > 0 && now - each.lastFailureAt < FAILURE_WINDOW) {
                return false;
            }
            answered |= each != own && each.lastSuccessAt > 0 && now - each.lastSuccessAt < FAILURE_WINDOW;
        }
        return answered;
    }

    /** An answer's time, against the class's and in part the request's own cost, for a hint may be rough. */
    private void recordLatency(PendingRequest req, ServerState server, long spent, long now) {
        ClassState state = req.classState;
        double heavy = relativeCost(req);
        recordColdLatency(req, server, spent, 0, now);
        double ratio = state.meanLatency == 0 ? 1 : Math.min(MAX_LATENCY_RATIO, spent / (state.meanLatency * heavy));
        double before = latencyRatio(server, now);
        server.latencyRatio = before + LATENCY_RATIO_EWMA_WEIGHT * (ratio - before);
        server.latencyRatioAt = now;
        latencyRatioByKind.merge(server.entry.kind(), ratio, (old, one) -> old + EWMA_WEIGHT / 2 * (one - old));
        state.meanLatency += (state.meanLatency == 0 ? 1 : EWMA_WEIGHT / 2) * (spent - state.meanLatency);
        state.lowestMeanLatency =
                state.lowestMeanLatency == 0 ? state.meanLatency : Math.min(state.lowestMeanLatency, state.meanLatency);
        state.latencyQuantile.add(spent);
        if (state.latencyQuantile.isReady()) {
            server.relativeLatency.add(spent / state.latencyQuantile.minimum());
        }
    }

    /** A request's own cost against its class's, in part. */
    private static double relativeCost(PendingRequest req) {
        return req.classState.meanCost == 0 ? 1 : 0.5 + 0.5 * req.request.cost() / req.classState.meanCost;
    }

    /** What an answer from a cold server, or none in time, says of the warmth of all. */
    private void recordColdLatency(PendingRequest req, ServerState server, long spent, double least, long now) {
        if (isCold(server, now) && req.classState.meanLatency > 0) {
            double part = spent * warmShare(server, now) / (req.classState.meanLatency * relativeCost(req));
            coldLatencyShare += EWMA_WEIGHT / 2 * (Math.max(least, Math.min(1, part)) - coldLatencyShare);
        }
    }

    /** A server's answer times against the usual: its own lately, else those of its kind. */
    private double latencyRatio(ServerState server, long now) {
        double usual = latencyRatioByKind.getOrDefault(server.entry.kind(), 1.0);
        return usual
                + (server.latencyRatio - usual) * Math.exp(-(double) (now - server.latencyRatioAt) / RATE_DECAY_TIME);
    }

    // Whether an answer was slow for its class and its server's nature. Danger: where the aim leaves room, to pause for
    // a short queue leaves servers idle; so does holding small machines to the pace of the large ones.
    private boolean isSlow(PendingRequest req, ServerState server, long spent) {
        QuantileEstimator times = req.classState.latencyQuantile;
        double nature = server.relativeLatency.isReady()
                ? Math.max(1, Math.min(MAX_SERVER_LATENCY_RATIO, server.relativeLatency.minimum()))
                : 1;
        double most = SLOW_TIMEOUT_SHARE * (req.expiresAt - req.arrivedAt);
        return spent
                > Math.max(
                        server.limit > LOW_LIMIT ? 0 : NEVER_SLOW_AIM_SHARE * req.requestClass.aim(),
                        times.isReady() ? Math.min(most, SLOW_LATENCY_MULTIPLE * nature * times.minimum()) : most);
    }

    // ---- Health ----

    /** Available unless either state is Unhealthy. */
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
                .filter(each -> each.ready
                        && (each.activeHealth == Health.UNHEALTHY
                                || each.passiveHealth == Health.UNHEALTHY && now < each.ejectedUntil))
                .count();
    }

    /** The same for a request, whose class may have been removed alone. */
    private boolean isAvailable(PendingRequest req, ServerState server, long now) {
        PerClassState own = perClass(req, server);
        if (own.passiveHealth == Health.UNHEALTHY && now >= own.ejectedUntil) {
            own.passiveHealth = Health.UNKNOWN;
            own.failureWindow.clear();
            log(server, "class " + req.request.requestClass() + " passive Unknown: reactivated");
        }
        return own.passiveHealth != Health.UNHEALTHY && isAvailable(server, now);
    }

    /** Makes the passive state, or a class's own, Unhealthy when too much fails here, and more than elsewhere. */
    private void ejectIfOutlier(PendingRequest req, ServerState server, boolean alone, long now) {
        PerClassState own = perClass(req, server);
        FailureWindow window = alone ? own.failureWindow : server.failureWindow;
        int total = window.total;
        int failed = window.failed;
        if (total < FAILURE_WINDOW_MIN_REQUESTS || failed <= MAX_FAILURE_RATE * total) {
            return;
        }
        int peerTotal = 1;
        int peerFailed = 0;
        for (ServerState peer : listedServers) {
            if (peer != server && peer.entry.zone() == server.entry.zone()) {
                FailureWindow theirs = alone ? perClass(req, peer).failureWindow : peer.failureWindow;
                theirs.slideTo(now, FAILURE_WINDOW);
                peerTotal += theirs.total;
                peerFailed += theirs.failed;
            }
        }
        // Danger: when everything fails alike, removing servers pushes their load onto the rest.
        double expected = total * (double) peerFailed / peerTotal;
        if (failed <= expected + PEER_DEVIATIONS * Math.sqrt(Math.max(1, expected))) {
            return;
        }
        if (alone) {
            own.passiveHealth = Health.UNHEALTHY;
            own.ejectedUntil = now + EJECTION_TIME;
        } else {
            server.passiveHealth = Health.UNHEALTHY;
            server.ejectedUntil = now + EJECTION_TIME;
        }
        log(
                server,
                (alone ? "class " + req.request.requestClass() + " " : "") + "passive Unhealthy: " + failed + " of "
                        + total + " failed");
    }

    /** Those it draws from, and what stands before them that is not available and may recover. */
    private List<ServerState> serversToProbe(long now) {
        List<ServerState> watched = new ArrayList<>();
        int left = subsetSize(SUBSET_MIN_OWN_ZONE, now);
        for (ServerState server : listedServers) {
            if (left > 0 && server.ready && server.entry.zone() == settings.zone()) {
                watched.add(server);
                left -= isAvailable(server, now) ? 1 : 0;
            }
        }
        return watched.isEmpty() ? listedServers : watched;
    }

    // Sends the next probe and sets the time of another. Danger: at size, or in step, probes cost more than requests.
    private void probeNext(long now, double from) {
        probeScheduled = settings.permits().probes() && !listedServers.isEmpty();
        if (!probeScheduled) {
            return;
        }
        List<ServerState> watched = serversToProbe(now);
        double sharers = (double) settings.agents() * watched.size() / listedServers.size();
        double interval = PROBE_INTERVAL * Math.max(1, settings.prices().probe() / PROBE_PRICE_THRESHOLD);
        double mean = interval * Math.max(1, sharers) / watched.size();
        actions.timer(TIMER_PROBE, 1 + (long) (mean * (from + random.nextDouble())));
        ServerState server = watched.get(nextProbe++ % watched.size());
        if (from > 0 && !server.probeInFlight) {
            server.probeInFlight = true;
            actions.probe(server.id);
        }
    }

    @Override
    public void probeOutcome(long now, long serverId, Outcome outcome, long spent, double[] load) {
        ServerState server = serversById.get(serverId);
        if (server == null) {
            return;
        }
        server.probeInFlight = false;
        recordLoadReport(server, load, now);
        if (outcome == Outcome.NEVER_SENT) {
            return; // says nothing about the server
        }
        if (outcome == Outcome.OK) {
            server.probeFailures = 0;
            recordRecovery(server, now);
            if (server.activeHealth == Health.UNHEALTHY) {
                log(server, "active Healthy: probe answered");
            }
            server.activeHealth = Health.HEALTHY;
        } else if ((outcome == Outcome.TIMEOUT || outcome == Outcome.RESET) && server.answeredSinceProbe) {
            // Danger: a busy server answers probes late, or a connection breaks; real answers prove that it lives.
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

    // ---- Cold start ----

    private void markBroken(ServerState server, long now) {
        server.brokenAt = server.broken ? server.brokenAt : now;
        server.broken = true;
    }

    // First answer after a break: it may have restarted, so it counts as cold. Danger: a network that resets now and
    // then makes every server cold, over and over; a process does not come back within the time of one more try.
    private void recordRecovery(ServerState server, long now) {
        if (server.broken) {
            server.broken = false;
            if (!isCold(server, now) && now - server.brokenAt >= MIN_RESTART_TIME) {
                markCold(server, now, now, now + SUSPECTED_RESTART_COLD_TIME, "answers again after a break");
            }
        }
    }

    private void markCold(ServerState server, long now, long since, long until, String why) {
        server.coldSince = since;
        server.coldRateMultiple = initialColdRateMultiple();
        server.coldUntil = until;
        server.coldTokens = random.nextDouble(); // a whole one each, and a thousand agents send a thousand
        server.coldTokensAt = now;
        log(server, "cold: " + why);
    }

    /** The part of its capacity that a cold server has at the least. */
    private double warmShare(ServerState server, long now) {
        double share = Math.min(
                1,
                Math.max(
                        0,
                        (double) (now - server.coldSince)
                                / settings.obligations().coldTime()));
        return share + (1 - share) * settings.obligations().coldFrom();
    }

    /** Danger: a server that has just started may need longer for one request than anybody waits. */
    private boolean isWarmEnough(PendingRequest req, ServerState server, long now) {
        return !isCold(server, now)
                || coldLatencyShare * req.classState.meanLatency / warmShare(server, now) < req.expiresAt - now;
    }

    private boolean isCold(ServerState server, long now) {
        return now < server.coldUntil;
    }

    // Requests this agent may send to a cold server now. Danger: all agents together push it over. Each keeps to the
    // server's part of its own demand among those it draws from, times the part surely warm, and more the better it
    // keeps up by its reports. What is answered elsewhere says nothing to a new agent, nor where a whole zone is cold.
    private double refillColdTokens(ServerState server, long now) {
        int drawn = Math.min(readyServersInZone, subsetSize(SUBSET_MIN_OWN_ZONE, now))
                + Math.min(readyServers - readyServersInZone, subsetSize(SUBSET_MIN_OTHER_ZONES, now));
        double part =
                server.effectiveWeight() / readyWeight * (settings.warmKeys() ? 1 : (double) readyServers / drawn);
        double perSecond = requestRate(now) * part * warmShare(server, now) * server.coldRateMultiple;
        double most = 1 + perSecond * COLD_BURST_SHARE * settings.obligations().overloadTime() / SECOND;
        server.coldTokens = Math.min(most, server.coldTokens + perSecond * (now - server.coldTokensAt) / SECOND);
        server.coldTokensAt = now;
        return server.coldTokens;
    }

    // Danger: work goes on for what has run out of time; the more is sent to full servers, the less is served. What
    // answers pay for follows what servers can do, also where one agent sees too little of each for limits of its own.
    private void addCredit(double much, long now) {
        double most = MIN_CREDIT_CAP + CREDIT_CAP_SECONDS * requestRate(now);
        admissionCredit = much == 0
                ? Math.min(most, admissionCredit)
                : Math.max(admissionCredit, Math.min(most, admissionCredit + much));
    }

    /** First tries a second; a client's repeats are no demand. */
    private double requestRate(long now) {
        decay(now);
        double seen = 1 - Math.exp(-(double) Math.max(SECOND, now - createdAt) / RATE_DECAY_TIME);
        return recentFirstTries * SECOND / (RATE_DECAY_TIME * seen);
    }

    private void decay(long now) {
        double left = Math.exp(-(double) (now - decayedAt) / RATE_DECAY_TIME);
        recentWork *= left;
        recentFirstTries *= left;
        decayedAt = now;
    }

    // ---- Server list ----

    @Override
    public void servers(long now, ListKind kind, List<Server> entries) {
        if (kind == ListKind.FAILED) {
            if (settings.askDiscovery()) {
                actions.timer(TIMER_DISCOVERY, discoveryDelay + random.nextLong(discoveryDelay));
                long most = Math.max(DISCOVERY_BACKOFF, settings.obligations().askWithin() / 4);
                discoveryDelay = Math.min(2 * discoveryDelay, most);
            }
            return;
        }
        discoveryDelay = kind == ListKind.CACHED ? discoveryDelay : DISCOVERY_BACKOFF;
        if (kind != ListKind.DELTA) {
            var complete = entries.stream().map(Server::id).collect(Collectors.toSet());
            List.copyOf(listedServers).stream()
                    .filter(each -> !complete.contains(each.id))
                    .forEach(this::removeServer);
        }
        for (Server entry : entries) {
            applyEntry(now, entry);
        }
        // By this agent's own hash: its first few are its subset, and no two agents have the same.
        listedServers.sort(Comparator.comparingLong(each -> mix(each.id ^ mix(settings.agent()))));
        List<ServerState> ready =
                listedServers.stream().filter(each -> each.ready).toList();
        readyWeight = ready.stream().mapToDouble(ServerState::effectiveWeight).sum();
        readyServers = ready.size();
        readyServersInZone = (int) ready.stream()
                .filter(each -> each.entry.zone() == settings.zone())
                .count();
        double part = Math.min(1, (double) minSubsetSize(SUBSET_MIN_OWN_ZONE) / Math.max(1, listedServers.size()));
        for (ServerState server : listedServers) {
            server.limit = server.limit == 0 ? LIMIT_INITIAL / (settings.agents() * part) : server.limit;
        }
        if (!probeScheduled) {
            probeNext(now, 0);
        }
        dispatchQueued(now);
    }

    private void applyEntry(long now, Server entry) {
        if (entry.phase() == Phase.GONE) {
            ServerState gone = serversById.get(entry.id());
            if (gone != null) {
                removeServer(gone);
            }
            return;
        }
        ServerState server = serversById.computeIfAbsent(entry.id(), id -> new ServerState(id, classes.size()));
        Server before = server.entry;
        if (before == null || server.removed) {
            listedServers.add(server);
        }
        server.removed = false;
        server.entry = entry;
        boolean ready = entry.phase() == Phase.READY;
        if (before != null && server.ready != ready) {
            log(server, ready ? "ready" : "draining: nothing new is sent");
        }
        server.ready = ready;
        if (entry.startedAt() > 0 && (before == null || entry.startedAt() != before.startedAt())) {
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
        Arrays.setAll(server.byClass, each -> new PerClassState());
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

    /** Danger: servers come and go for ever. What is known of one goes with it once nothing is out. */
    private void forgetIfIdle(ServerState server) {
        if (server.removed && server.inFlight == 0) {
            serversById.remove(server.id);
        }
    }

    private void log(ServerState server, String what) {
        if (server.removed) {
            return; // nobody is to look after it
        }
        actions.log("server " + server.id + " " + what);
    }
}
