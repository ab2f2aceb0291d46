// The interface of this module (its types, events and actions) is in Balancer.java.
package gatefront.policy;

import gatefront.policy.PendingRequest.Attempt;
import gatefront.policy.ServerState.ByClass;
import gatefront.policy.ServerState.Health;
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
    private static final double PROBE_DEAR = 0.04;
    /** Servers of the own zone that a light agent draws from: two to compare, and as many may fail. */
    private static final int SUBSET_LEAST = 3;

    private static final int SUBSET_FAR = 2; // and of other zones, where its own has no room: two to compare
    /** Agents that share a server on average: enough to load it evenly, so few that each comes there often. */
    private static final int SUBSET_SHARERS = 10;
    /** Servers in the subset for each one that this agent's requests would keep busy. */
    private static final double SUBSET_SPREAD = 4;

    private static final int PROBE_THRESHOLD = 2; // failed probes in a row that make a server Unhealthy
    /** The sliding window: long enough to hold a light agent's few requests, short beside an outage. */
    private static final long WINDOW = 10 * SECOND;
    /** Requests in the window before the passive state is judged; a light agent never sees the default 10. */
    private static final int WINDOW_MINIMUM = 5;

    private static final double FAILURE_LIMIT = 0.3; // over which the passive state is Unhealthy; the default
    /** And by how many deviations above the peers' share: what fails everywhere is no server's fault. */
    private static final double SURE = 1;
    /** A server that fails at once rests as if the request had taken its time, doubled up to this often. */
    private static final int REST_DOUBLINGS = 5;

    private static final long REACTIVATION = 5 * SECOND; // after this the passive state is Unknown again
    private static final double LIMIT_START = 12; // of all agents together, for a server unknown so far
    /** After a fast answer with the limit half used; after a slow one: even at one slow answer in nine. */
    private static final double LIMIT_UP = 0.2;

    private static final double LIMIT_DOWN = 1.6;
    private static final double LIMIT_FACTOR = 0.5;
    /** Waiting requests a listed core from which a server has too much, by its own report, and what is left then. */
    private static final double QUEUE_MOST = 1;

    private static final double QUEUE_FACTOR = 0.8;
    /** The same past the aim: a choked server mends only if all that share it leave it for seconds. */
    private static final double LIMIT_LATE = 0.1;
    /** Up to this limit an agent is light: its answers from a server are few, and one says little. */
    private static final double LIMIT_FEW = 2;
    /** The least limit of all agents together, so that none is shut out; below 1 a server pauses. */
    private static final double LIMIT_LEAST = 6;
    /** An answer slower than this many times the unhurried time says that the server has too much in hand. */
    private static final double SLOW_MULTIPLE = 1.45;
    /** Never let the unhurried time excuse answers slower than this part of the time wanted. */
    private static final double SLOW_SHARE = 0.5;
    /** To a light agent an answer within this part of the aim is never slow. */
    private static final double HARMLESS_SHARE = 0.4;
    /** The quantile of a class's answer times that is followed; its lowest value is the unhurried time. */
    static final double QUANTILE = 0.8;
    /** How much slower than the class a server may be by nature before its answers count as slow. */
    private static final double NATURE_MAX = 2;
    /** How long a server is thought to have restarted unless the list says so: the list is seconds late. */
    private static final long SUSPICION = 5 * SECOND;

    private static final long BREAK_LEAST = SECOND / 2; // a break shorter than this is no restart
    private static final int SAME_TICKS = 4; // ticks by which the time that first tries bring may differ
    private static final int VOTES_MAX = 20; // votes for that time at the most; half of them make it sure
    private static final int UNSERVED_MOST = 1_024; // requests not served that are known again when they come back
    private static final double BLEND = 0.1; // weight of one new measurement in a running mean
    /** Weight of one answer in its server's slowness: a light agent sees few, and they soon say nothing. */
    private static final double STRETCH_BLEND = 0.4;

    private static final double STRETCH_MAX = 5; // the most that one answer moves it by, for works have heavy tails
    /** Further attempts earned by each request: retries can never multiply an overload. */
    private static final double RETRY_EARNED = 0.2;

    private static final double RETRY_BANK = 10; // what may be saved up of them, enough for one broken server
    /** Attempts that an answer pays for, where each costs one: so fast may they grow while servers answer in time. */
    private static final double CREDIT_ANSWER = 1.2;

    private static final double CREDIT_REQUEST = 0.03; // and each request that comes, so that some are always tried
    /** What may be saved up: what is out is paid for and not answered yet, the more the more requests come. */
    private static final double CREDIT_LEAST = 10;

    private static final double CREDIT_SECONDS = 0.5;
    /** While requests are held, how often they are looked at, in ticks of the host. */
    private static final int SWEEP_TICKS = 4;
    /** How far back the counts of requests come and served look, for ranking the classes. */
    private static final long RANK_PERIOD = 2 * SECOND;

    private static final long RATE_PERIOD = 5 * SECOND; // how far back the measured answer rates look
    /** How fast the share of keys that cross zones at once follows what is seen: some hundred requests. */
    private static final double SPILL_STEP = 0.01;
    /** The part of what the settings make expect at the worst that a cold server needs, until it is measured. */
    private static final double COLD_HOPE = 0.5;
    /** Waiting requests a core under which a cold server keeps up: its room grows by half, else it shrinks. */
    private static final double COLD_QUEUE = 0.2;
    /** How much of the time that topples a server its burst may fill: half, the list may be late. */
    private static final double COLD_BURST = 0.5;
    /** The part of a keyed request's window in which it may be resent: a late arrival would run again. */
    private static final double WINDOW_SURE = 0.75;

    private static final long ASK_BACKOFF = SECOND; // the first wait before discovery is asked again; then doubled
    private static final long TIMER_PROBE = -1;
    private static final long TIMER_SWEEP = -2;
    private static final long TIMER_ASK = -3;

    private Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<Long, ServerState> targets = new HashMap<>();
    private final List<ServerState> listed = new ArrayList<>(); // in the order of this agent's own hash
    private final List<ServerState> scratch = new ArrayList<>();
    private final Map<Long, PendingRequest> open = new HashMap<>();
    private final Map<Long, PendingRequest> byToken = new HashMap<>();
    private final List<ClassState> classes = new ArrayList<>();
    private final List<ClassState> order; // the same, the most valuable first
    private double retries = RETRY_BANK;
    private double credit = Double.MAX_VALUE; // attempts that may be sent; as many as come until one finds no room
    private double spill; // the share of keys that cross zones at once
    /** By kind of server, what {@link ServerState#stretch} is for one. */
    private final Map<Integer, Double> kindStretch = new HashMap<>();

    private final long bornAt;
    /** The unhurried time of the requests that came, and the first tries that did, as sums that fade. */
    private double busy;

    private double came;
    private long fadedAt;
    /** The listed weights of those that take requests, together; how many those are, and in the own zone. */
    private double weights;

    private int takers;
    private int here;
    /** How long cold servers take, as a part of what the settings make expect at the worst. */
    private double coldStretch = COLD_HOPE;

    private long rankedAt;
    /** When a request that had time enough was last turned away for want of room. */
    private long crowdedAt = Long.MIN_VALUE / 2;

    private boolean marks; // whether clients mark their repeats
    /** By {@link #fingerprint}, when the first try of a request came that was not served; emptied when full. */
    private final Map<Long, Long> unserved = new HashMap<>();

    private long nextToken;
    private int probeTurn;
    private boolean sweeping;
    private boolean probing;
    private long askDelay = ASK_BACKOFF;

    /** A new instance that knows nothing but its settings; seed for its random choices. */
    public AdaptiveBalancer(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.probeTurn = random.nextInt(1 << 16);
        this.rankedAt = now;
        this.bornAt = now;
        settings.classes().forEach(type -> classes.add(new ClassState(type, QUANTILE)));
        this.order = new ArrayList<>(classes);
        if (settings.askDiscovery()) {
            actions.watchServers();
        }
    }

    @Override
    public void settings(long now, Settings changed) {
        settings = changed;
        for (int i = 0; i < changed.classes().size(); i++) {
            if (i == classes.size()) {
                classes.add(new ClassState(changed.classes().get(i), QUANTILE));
                order.add(classes.get(i));
            }
            classes.get(i).type = changed.classes().get(i);
        }
        targets.values().forEach(each -> each.grow(classes.size()));
    }

    // ---- Life of a request ----

    @Override
    public void request(long now, Request request) {
        ClassState state = classes.get(request.requestClass());
        RequestClass type = state.type;
        long aim = type.aim() + (long) (type.aimStretch() * request.cost());
        Long first = request.cost() == 0 ? null : unserved.remove(fingerprint(request));
        long spent = first != null ? now - first : spentBefore(request, state, now);
        // Danger: work for an answer already too late. Where that is only reckoned, one is served while there is room.
        long last = request.deadline() - settings.tick();
        long left = aim - spent;
        boolean late = type.lateShare() == 0 && Math.min(left, last - now) < Math.min(aim, state.times.value());
        boolean past = request.repeated() && late && left < (first == null ? state.times.value() : settings.tick());
        long endAt = type.lateShare() > 0
                ? last
                : Math.min(last, now + (late && !request.repeated() ? aim : left) - settings.tick());
        PendingRequest req = new PendingRequest(
                request, state, settings.permits().maxAttempts(), nextToken++, now, now - spent, endAt);
        open.put(request.id(), req);
        byToken.put(req.token, req);
        actions.timer(req.token, Math.max(0, endAt - now));
        state.meanCost += (state.meanCost == 0 ? 1 : BLEND / 2) * (request.cost() - state.meanCost);
        state.came++;
        fade(now);
        busy += state.unhurried;
        came += request.repeated() || spent > 0 ? 0 : 1;
        retries = Math.min(RETRY_BANK, retries + RETRY_EARNED);
        earn(CREDIT_REQUEST, now);
        if (past || late && (waiting() || now - crowdedAt < SECOND) || weights == 0 && !listed.isEmpty()) {
            finish(req, now);
        } else {
            dispatchOrHold(req, now);
        }
    }

    // What a client's repeat has behind it: it brings less time than first tries of its class, which bring the same.
    private long spentBefore(Request request, ClassState state, long now) {
        long left = request.deadline() - now;
        boolean usual = Math.abs(left - state.usualLeft) <= SAME_TICKS * settings.tick();
        if (usual) {
            state.usualVotes = Math.min(VOTES_MAX, state.usualVotes + 1);
        } else if (--state.usualVotes < 0) {
            state.usualLeft = left;
            state.usualVotes = 1;
        }
        marks |= request.repeated(); // danger: clients that give up early bring little too, and have spent nothing
        boolean unsure = usual || marks || request.cost() != 0 || state.usualVotes < VOTES_MAX / 2;
        return request.repeated() ? (long) state.unservedWait : unsure ? 0 : Math.max(0, state.type.giveUp() - left);
    }

    /** What tells a request from others: its client's repeat brings the same. */
    private static long fingerprint(Request request) {
        return mix(request.key() ^ mix(request.cost() ^ mix(request.requestClass() ^ mix(request.tenant()))));
    }

    private boolean waiting() {
        return classes.stream().anyMatch(state -> !state.held.isEmpty());
    }

    /** Sends a request if its history permits and a server has room. */
    private boolean dispatch(PendingRequest req, long now) {
        if (req.attempts.size() >= req.attemptsMost || now >= req.endAt || credit < 1) {
            return false;
        }
        ServerState target = pick(req, now);
        if (target == null) {
            return false;
        }
        req.held = false;
        req.attempts.add(new Attempt(target, now));
        target.inFlight++;
        credit -= 1;
        target.coldTokens -= 1;
        actions.send(req.request.id(), target.id, req.type.streamed() ? 0 : req.endAt - now);
        return true;
    }

    private void dispatchOrHold(PendingRequest req, long now) {
        if (!dispatch(req, now)) {
            req.held = true;
            req.state.held.addLast(req);
            sweepLater();
        }
    }

    private void sweepLater() {
        if (!sweeping && waiting()) {
            sweeping = true;
            actions.timer(TIMER_SWEEP, SWEEP_TICKS * settings.tick());
        }
    }

    // Sends what was held, the newest of each class first. Danger: oldest first, each is sent when it is just too late.
    private void release(long now) {
        for (ClassState state : order) {
            var queue = state.held;
            while (!queue.isEmpty() && (!queue.peekFirst().held || hopeless(queue.peekFirst(), now))) {
                PendingRequest oldest = queue.pollFirst();
                if (oldest.held) {
                    crowdedAt = oldest.endAt - oldest.cameAt > state.times.value() ? now : crowdedAt;
                    finish(oldest, now);
                }
            }
            while (!queue.isEmpty() && (!queue.peekLast().held || dispatch(queue.peekLast(), now))) {
                queue.pollLast();
            }
            // Danger: the oldest would cross zones with too little time left; take the newest that may.
            for (var newest = queue.descendingIterator(); newest.hasNext(); ) {
                PendingRequest req = newest.next();
                if (req.held && now - req.cameAt >= patience(req) && !dispatch(req, now)) {
                    break;
                }
            }
        }
    }

    /** Orders the classes by what a unit of their work adds to the goal, as measured now. */
    private void rank(long now) {
        double fade = Math.exp(-(double) (now - rankedAt) / RANK_PERIOD);
        rankedAt = now;
        double all = 0;
        ClassState worst = order.get(0);
        for (ClassState state : order) {
            state.came *= fade;
            state.served *= fade;
            all += state.came * state.type.worth() * unit(state);
            if (state.served * worst.came < worst.served * state.came) {
                worst = state;
            }
        }
        for (ClassState state : order) {
            double each = state.type.worth() * unit(state) / Math.max(all, Double.MIN_NORMAL);
            state.value = (settings.goal().whole() + settings.goal().worstWindow()) * each;
            if (state == worst) {
                state.value += settings.goal().worstClass() / Math.max(state.came, Double.MIN_NORMAL);
            }
            state.value /= Math.max(state.typical, 1);
        }
        order.sort((a, b) -> Double.compare(b.value, a.value));
    }

    /** What one request of a class weighs: its work where worth is counted by work. */
    private double unit(ClassState state) {
        return settings.worthByWork() ? state.typical : 1;
    }

    /** Whether an answer would come too late to be worth the work. */
    private boolean hopeless(PendingRequest req, long now) {
        return now + (long) req.state.times.value() > req.endAt;
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
        PendingRequest req = open.get(request);
        if (req == null || attempt >= req.attempts.size() || req.attempts.get(attempt).outcome != null) {
            return; // not held any more, or told twice
        }
        Attempt ended = req.attempts.get(attempt);
        ended.outcome = outcome;
        ended.target.inFlight -= ended.passing ? 0 : 1;
        forget(ended.target);
        boolean full = outcome == Outcome.FULL
                || (outcome == Outcome.TIMEOUT || outcome == Outcome.CANCELLED)
                        && req.endAt - req.cameAt > req.state.times.value();
        earn(ended.passing ? CREDIT_REQUEST : outcome == Outcome.OK ? CREDIT_ANSWER : full ? 0 : 1, now);
        learn(req, ended.target, outcome, spent, report(ended.target, load, now), now);
        if (closed) {
            close(req);
        }
        if (!req.closed && req.out() == 0) {
            again(req, now);
        }
        if (req.closed && req.out() == 0) {
            open.remove(request);
        }
        release(now);
    }

    /** After a failed attempt: another one where permitted and affordable, or the final answer. */
    private void again(PendingRequest req, long now) {
        boolean worthIt = !hopeless(req, now) && req.attempts.size() < req.attemptsMost;
        if (worthIt && maySend(req, now) && retries >= 1) {
            retries -= 1;
            dispatchOrHold(req, now);
        } else {
            finish(req, now);
        }
    }

    /** The final answer for a request that will not be served: a refusal where permitted. */
    private void finish(PendingRequest req, long now) {
        if (req.closed) {
            return;
        }
        cancelAll(req);
        if (!req.request.repeated()) {
            req.state.unservedWait += BLEND * (now - req.cameAt - req.state.unservedWait);
        }
        if (mayRefuse(req)) {
            actions.refuse(req.request.id(), settings.permits().maxRetryAfter());
        } else {
            actions.fail(req.request.id());
        }
        close(req);
    }

    /** Ends what is out for a request that is not served, and keeps in mind when it came. */
    private void cancelAll(PendingRequest req) {
        if (unserved.size() >= UNSERVED_MOST) {
            unserved.clear();
        }
        unserved.put(fingerprint(req.request), req.firstAt);
        for (int i = 0; i < req.attempts.size() && settings.permits().cancel(); i++) {
            if (req.attempts.get(i).outcome == null) {
                actions.cancel(req.request.id(), i);
            }
        }
    }

    private void close(PendingRequest req) {
        req.closed = true;
        req.held = false;
        byToken.remove(req.token);
        if (req.out() == 0) {
            open.remove(req.request.id());
        }
    }

    @Override
    public void clientLeft(long now, long request) {
        PendingRequest req = open.get(request);
        if (req != null && !req.closed) {
            cancelAll(req);
            close(req);
        }
    }

    @Override
    public void streamStarted(long now, long request, int attempt, long server, long spent) {
        PendingRequest req = open.get(request);
        if (req != null && !req.attempts.get(attempt).passing) {
            req.streaming = true;
            req.attempts.get(attempt).passing = true;
            req.attempts.get(attempt).target.inFlight--; // its work is done; a slow reader takes no room there
            earn(CREDIT_ANSWER, now);
            release(now);
        }
    }

    @Override
    public void timer(long now, long token) {
        if (token == TIMER_PROBE) {
            probe(now, 0.5);
        } else if (token == TIMER_SWEEP) {
            rank(now);
            release(now);
            sweeping = false;
            sweepLater();
        } else if (token == TIMER_ASK) {
            actions.watchServers();
        } else {
            PendingRequest req = byToken.get(token);
            if (req == null || req.streaming) {
                return; // answered long ago, or with the client now
            }
            if (req.out() > 0 && now < req.endAt + settings.tick()) {
                actions.timer(token, settings.tick()); // the attempt's own time-out comes with this batch
            } else {
                finish(req, now);
            }
        }
    }

    @Override
    public void message(long now, int agent, byte[] message) {} // no message has earned its price yet

    // ---- What a request's history permits ----

    // Danger: an effect twice. Unsafe requests go again only once every attempt provably never ran; keyed ones only
    // inside the window of each that may have run, and where inGroups says.
    private boolean maySend(PendingRequest req, long now) {
        Semantics semantics = req.type.semantics();
        boolean sending = req.out() > 0 && !(settings.permits().duplicates() && semantics == Semantics.SAFE);
        if (req.closed || req.streaming || sending) {
            return false;
        }
        // Danger: a repeat that arrives after the window runs again; leave time for the way.
        long window = (long) (WINDOW_SURE * req.type.window());
        return semantics == Semantics.SAFE
                || req.attempts.stream()
                        .allMatch(attempt ->
                                !attempt.mayHaveRun() || semantics == Semantics.KEYED && now < attempt.sentAt + window);
    }

    /** Whether a server is in the group of every earlier attempt that may have run. */
    private boolean inGroups(PendingRequest req, ServerState target) {
        Scope scope = req.type.scope();
        if (req.type.semantics() != Semantics.KEYED || scope == Scope.ALL) {
            return true;
        }
        return req.attempts.stream()
                .allMatch(attempt -> !attempt.mayHaveRun()
                        || (scope == Scope.ZONE
                                ? attempt.target.listed.zone() == target.listed.zone()
                                : attempt.target.listed.cell() == target.listed.cell()));
    }

    /** A refusal says that trying again is harmless: danger of an effect twice if it is not. */
    private boolean mayRefuse(PendingRequest req) {
        Semantics semantics = req.type.semantics();
        return semantics == Semantics.SAFE
                || req.attempts.stream().noneMatch(Attempt::mayHaveRun)
                || semantics == Semantics.KEYED && req.type.scope() == Scope.ALL;
    }

    // ---- Pick ----

    private ServerState pick(PendingRequest req, long now) {
        if (!maySend(req, now)) {
            return null;
        }
        boolean roams = keyed(req) && (mix(~req.request.key()) >>> 11) * 0x1p-53 < spill;
        ServerState best = roams ? draw(req, now, true, 0) : null;
        if (best == null) {
            best = draw(req, now, true, 1);
            spill -= best == null ? 0 : SPILL_STEP * settings.prices().crossing() * spill;
        }
        if (best != null) {
            return best;
        }
        // Danger: a repeat would wait all its time for a removed server, the one it has tried being available.
        boolean availableAnywhere = listed.stream()
                .anyMatch(each -> each.ready && !req.tried(each) && inGroups(req, each) && available(req, each, now));
        boolean availableHere = listed.stream()
                .anyMatch(each -> each.ready && each.listed.zone() == settings.zone() && available(req, each, now));
        if (!availableAnywhere) {
            return draw(req, now, false, -1);
        }
        if (availableHere && now - req.cameAt < patience(req)) {
            return null;
        }
        best = draw(req, now, true, 0);
        if (best != null && availableHere) {
            // Danger: keys that cross only after waiting are known to no server. The same ones cross, more of them.
            spill += SPILL_STEP * (1 - spill);
        }
        return best;
    }

    /** Whether servers are quicker with this request's key where they met it lately. */
    private boolean keyed(PendingRequest req) {
        return settings.warmKeys() && req.request.key() != 0;
    }

    /** Crossing zones costs its price: while servers are available here, that part of the time is waited. */
    private long patience(PendingRequest req) {
        return (long) ((req.endAt - req.cameAt) * Math.min(1, settings.prices().crossing()));
    }

    /** The two-draw pick among servers with room; where: 1 own zone, 0 other zones, -1 all. */
    private ServerState draw(PendingRequest req, long now, boolean healthy, int where) {
        scratch.clear();
        double room = 0;
        int out = 0;
        int left = keyed(req) ? listed.size() : spread(where == 1 ? SUBSET_LEAST : SUBSET_FAR, now);
        for (int at = 0; at < listed.size() && left > 0; at++) {
            ServerState target = listed.get(at);
            if (target.ready
                    && (!healthy || available(req, target, now))
                    && (where < 0 || (target.listed.zone() == settings.zone()) == (where == 1))) {
                left--;
                room += target.limit - target.inFlight;
                out += target.inFlight;
                if (!req.tried(target)
                        && inGroups(req, target)
                        && hasRoom(target, now)
                        && now >= of(req, target).restUntil
                        && warmEnough(req, target, now)) {
                    scratch.add(target);
                }
            }
        }
        if (out > 0 && room < 1) {
            return null; // Danger: one request at each of a few servers, times hundreds of agents, is a jam
        }
        if (keyed(req)) {
            leaveBusy();
        }
        int n = scratch.size();
        if (n <= 1) {
            return n == 0 ? null : scratch.get(0);
        }
        if (keyed(req)) {
            // All agents draw the same two by the key's hash.
            ServerState first = highest(req.request.key(), null);
            ServerState second = highest(req.request.key(), first);
            return first.inFlight <= second.inFlight ? first : second;
        }
        int i = random.nextInt(n);
        int j = random.nextInt(n - 1);
        ServerState a = scratch.get(i);
        ServerState b = scratch.get(j < i ? j : j + 1);
        return (a.inFlight != b.inFlight
                        ? a.inFlight < b.inFlight
                        : settings.warmKeys() || stretch(a, now) <= stretch(b, now))
                ? a
                : b;
    }

    // From how many servers an agent draws: few while it sends little. Danger: many light agents that each use every
    // server fill the connection tables, pay a handshake for nearly every request, and see none enough to judge it.
    // What is out does not count: it grows in a jam, and the jam with it.
    private int spread(int least, long now) {
        fade(now);
        return Math.max(subset(least), (int) (SUBSET_SPREAD * busy / RATE_PERIOD));
    }

    private int subset(int least) {
        return Math.max(least, SUBSET_SHARERS * listed.size() / settings.agents());
    }

    // Leaves servers with at most one over the mean in flight. Danger: those of a key that many ask for are flooded.
    private void leaveBusy() {
        double most =
                1 + scratch.stream().mapToInt(each -> each.inFlight).average().orElse(0);
        scratch.removeIf(target -> target.inFlight > most);
    }

    private ServerState highest(long key, ServerState except) {
        return scratch.stream()
                .filter(target -> target != except)
                .max(Comparator.comparingLong(target -> mix(key ^ mix(target.id))))
                .orElseThrow();
    }

    private static long mix(long z) {
        z = (z + 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 29) * 0x94d049bb133111ebL;
        return z ^ z >>> 32;
    }

    // ---- Limits and what answers teach ----

    private boolean hasRoom(ServerState target, long now) {
        return target.inFlight < Math.max(1, (int) target.limit)
                && now >= target.restUntil
                && (!cold(target, now) || coldBudget(target, now) >= 1);
    }

    private void learn(PendingRequest req, ServerState target, Outcome outcome, long spent, double queued, long now) {
        if (outcome == Outcome.CANCELLED || outcome == Outcome.NEVER_SENT) {
            return; // says nothing about the server
        }
        boolean failed = outcome != Outcome.OK && outcome != Outcome.FULL;
        ByClass own = of(req, target);
        target.window.add(now, WINDOW, failed);
        own.window.add(now, WINDOW, failed);
        if (outcome == Outcome.OK) {
            target.answeredSinceProbe = true;
            target.failuresInRow = 0;
            target.answeredAt = now;
            own.failuresInRow = 0;
            own.answeredAt = now;
            recovered(target, now);
            learnTime(req, target, spent, now);
            req.state.served++;
        } else if (outcome == Outcome.TIMEOUT) {
            learnCold(req, target, spent, coldStretch, now); // it would have taken longer yet
        } else if (target.failuresInRow > 0 && (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET)) {
            broke(target, now); // one alone may be a full table of connections
        }
        boolean fault = outcome == Outcome.ERROR || outcome == Outcome.TIMEOUT;
        boolean alone = fault && othersAnswer(target, own, now);
        own.failedAt = fault ? now : own.failedAt;
        if (outcome != Outcome.OK && (outcome != Outcome.TIMEOUT || now - spent > own.answeredAt)) {
            // Danger: a server that fails at once has the fewest in flight; and few agents fill a silent one's window.
            long usual = (long) Math.max(req.state.typical, settings.tick());
            if (!alone && (outcome != Outcome.TIMEOUT || now - spent > target.answeredAt)) {
                target.restUntil = now + (usual << target.failuresInRow);
                target.failuresInRow = Math.min(REST_DOUBLINGS, target.failuresInRow + 1);
            }
            own.restUntil = now + (usual << own.failuresInRow);
            own.failuresInRow = Math.min(REST_DOUBLINGS, own.failuresInRow + 1);
        }
        // Danger: a connection that breaks says nothing about room, and a bad network would leave servers idle.
        boolean crowded = outcome != Outcome.ERROR && outcome != Outcome.RESET;
        if (outcome != Outcome.OK && crowded || slow(req, target, spent)) {
            // In proportion where it is low: one slow answer must not close a server to a light agent.
            double factor = spent > req.type.aim() ? LIMIT_LATE : LIMIT_FACTOR;
            double less = target.limit > LIMIT_FEW ? target.limit - LIMIT_DOWN : factor * target.limit;
            target.limit = Math.max(Math.min(1, LIMIT_LEAST / settings.agents()), less);
        } else if (queued > QUEUE_MOST) {
            // Danger: what one light agent sees of a server is little, and all of them together fill it unseen.
            target.limit = Math.max(Math.min(1, LIMIT_LEAST / settings.agents()), QUEUE_FACTOR * target.limit);
        } else if (outcome == Outcome.OK && 2 * (target.inFlight + 1) >= target.limit) {
            target.limit += LIMIT_UP;
        }
        if (target.limit < 1) { // Danger: with many agents one each is too much for a small server
            target.restUntil = Math.max(target.restUntil, now + (long) (spent * (1 / target.limit - 1)));
        }
        if (failed && available(req, target, now)) {
            judge(req, target, alone, now);
        }
    }

    /** Takes in a load report; returns how many requests wait for each listed core, negative if it does not tell. */
    private double report(ServerState target, double[] load, long now) {
        int at = settings.loadFields().indexOf(LoadField.QUEUED);
        double queued = at < 0 || load.length <= at ? -1 : load[at] / target.weight();
        if (queued >= 0 && cold(target, now)) { // what it keeps up with is less than it can do; the report is late
            target.coldRoom = queued < COLD_QUEUE
                    ? Math.min(2 * coldRoom(), target.coldRoom + 0.5)
                    : Math.max(1, 0.7 * target.coldRoom);
        }
        return queued;
    }

    // What is sent to a cold server at first, as a multiple of its sure part: one under what topples it.
    private double coldRoom() {
        return Math.max(1, settings.obligations().overloadMultiple() - 1);
    }

    private static ByClass of(PendingRequest req, ServerState target) {
        return target.byClass[req.request.requestClass()];
    }

    // Whether other classes are answered here and have not failed lately. Danger: a release that breaks one class would
    // take the room from all; but where some of every class fail, the server does.
    private static boolean othersAnswer(ServerState target, ByClass own, long now) {
        boolean answered = false;
        for (ByClass each : target.byClass) {
            if (each != own && each.failedAt > 0 && now - each.failedAt < WINDOW) {
                return false;
            }
            answered |= each != own && each.answeredAt > 0 && now - each.answeredAt < WINDOW;
        }
        return answered;
    }

    /** An answer's time, against the class's and in part the request's own cost, for a hint may be rough. */
    private void learnTime(PendingRequest req, ServerState target, long spent, long now) {
        ClassState state = req.state;
        double heavy = heavy(req);
        learnCold(req, target, spent, 0, now);
        double ratio = state.typical == 0 ? 1 : Math.min(STRETCH_MAX, spent / (state.typical * heavy));
        double before = stretch(target, now);
        target.stretch = before + STRETCH_BLEND * (ratio - before);
        target.stretchAt = now;
        kindStretch.merge(target.listed.kind(), ratio, (old, one) -> old + BLEND / 2 * (one - old));
        state.typical += (state.typical == 0 ? 1 : BLEND / 2) * (spent - state.typical);
        state.unhurried = state.unhurried == 0 ? state.typical : Math.min(state.unhurried, state.typical);
        state.times.add(spent);
        if (state.times.known()) {
            target.pace.add(spent / state.times.lowest());
        }
    }

    /** A request's own cost against its class's, in part. */
    private static double heavy(PendingRequest req) {
        return req.state.meanCost == 0 ? 1 : 0.5 + 0.5 * req.request.cost() / req.state.meanCost;
    }

    /** What an answer from a cold server, or none in time, says of the warmth of all. */
    private void learnCold(PendingRequest req, ServerState target, long spent, double least, long now) {
        if (cold(target, now) && req.state.typical > 0) {
            double part = spent * surely(target, now) / (req.state.typical * heavy(req));
            coldStretch += BLEND / 2 * (Math.max(least, Math.min(1, part)) - coldStretch);
        }
    }

    /** A server's answer times against the usual: its own lately, else those of its kind. */
    private double stretch(ServerState target, long now) {
        double usual = kindStretch.getOrDefault(target.listed.kind(), 1.0);
        return usual + (target.stretch - usual) * Math.exp(-(double) (now - target.stretchAt) / RATE_PERIOD);
    }

    // Whether an answer was slow for its class and its server's nature. Danger: where the aim leaves room, to pause for
    // a short queue leaves servers idle; so does holding small machines to the pace of the large ones.
    private boolean slow(PendingRequest req, ServerState target, long spent) {
        QuantileEstimator times = req.state.times;
        double nature = target.pace.known() ? Math.max(1, Math.min(NATURE_MAX, target.pace.lowest())) : 1;
        double most = SLOW_SHARE * (req.endAt - req.cameAt);
        return spent
                > Math.max(
                        target.limit > LIMIT_FEW ? 0 : HARMLESS_SHARE * req.type.aim(),
                        times.known() ? Math.min(most, SLOW_MULTIPLE * nature * times.lowest()) : most);
    }

    // ---- Health ----

    /** Available unless either state is Unhealthy. */
    private boolean available(ServerState target, long now) {
        if (target.passive == Health.UNHEALTHY && now >= target.reactivateAt) {
            target.passive = Health.UNKNOWN;
            target.limit = 1;
            target.window.clear();
            log(target, "passive Unknown: reactivated");
        }
        return target.active != Health.UNHEALTHY && target.passive != Health.UNHEALTHY;
    }

    @Override
    public int avoided(long now) {
        return (int) listed.stream()
                .filter(each -> each.ready
                        && (each.active == Health.UNHEALTHY
                                || each.passive == Health.UNHEALTHY && now < each.reactivateAt))
                .count();
    }

    /** The same for a request, whose class may have been removed alone. */
    private boolean available(PendingRequest req, ServerState target, long now) {
        ByClass own = of(req, target);
        if (own.passive == Health.UNHEALTHY && now >= own.reactivateAt) {
            own.passive = Health.UNKNOWN;
            own.window.clear();
            log(target, "class " + req.request.requestClass() + " passive Unknown: reactivated");
        }
        return own.passive != Health.UNHEALTHY && available(target, now);
    }

    /** Makes the passive state, or a class's own, Unhealthy when too much fails here, and more than elsewhere. */
    private void judge(PendingRequest req, ServerState target, boolean alone, long now) {
        ByClass own = of(req, target);
        FailureWindow window = alone ? own.window : target.window;
        int total = window.total;
        int failed = window.failed;
        if (total < WINDOW_MINIMUM || failed <= FAILURE_LIMIT * total) {
            return;
        }
        int peerTotal = 1;
        int peerFailed = 0;
        for (ServerState peer : listed) {
            if (peer != target && peer.listed.zone() == target.listed.zone()) {
                FailureWindow theirs = alone ? of(req, peer).window : peer.window;
                theirs.slideTo(now, WINDOW);
                peerTotal += theirs.total;
                peerFailed += theirs.failed;
            }
        }
        // Danger: when everything fails alike, removing servers pushes their load onto the rest.
        double expected = total * (double) peerFailed / peerTotal;
        if (failed <= expected + SURE * Math.sqrt(Math.max(1, expected))) {
            return;
        }
        if (alone) {
            own.passive = Health.UNHEALTHY;
            own.reactivateAt = now + REACTIVATION;
        } else {
            target.passive = Health.UNHEALTHY;
            target.reactivateAt = now + REACTIVATION;
        }
        log(
                target,
                (alone ? "class " + req.request.requestClass() + " " : "") + "passive Unhealthy: " + failed + " of "
                        + total + " failed");
    }

    /** Those it draws from, and what stands before them that is not available and may recover. */
    private List<ServerState> watched(long now) {
        List<ServerState> watched = new ArrayList<>();
        int left = spread(SUBSET_LEAST, now);
        for (ServerState target : listed) {
            if (left > 0 && target.ready && target.listed.zone() == settings.zone()) {
                watched.add(target);
                left -= available(target, now) ? 1 : 0;
            }
        }
        return watched.isEmpty() ? listed : watched;
    }

    // Sends the next probe and sets the time of another. Danger: at size, or in step, probes cost more than requests.
    private void probe(long now, double from) {
        probing = settings.permits().probes() && !listed.isEmpty();
        if (!probing) {
            return;
        }
        List<ServerState> watched = watched(now);
        double sharers = (double) settings.agents() * watched.size() / listed.size();
        double interval = PROBE_INTERVAL * Math.max(1, settings.prices().probe() / PROBE_DEAR);
        double mean = interval * Math.max(1, sharers) / watched.size();
        actions.timer(TIMER_PROBE, 1 + (long) (mean * (from + random.nextDouble())));
        ServerState target = watched.get(probeTurn++ % watched.size());
        if (from > 0 && !target.probeOut) {
            target.probeOut = true;
            actions.probe(target.id);
        }
    }

    @Override
    public void probed(long now, long server, Outcome outcome, long spent, double[] load) {
        ServerState target = targets.get(server);
        if (target == null) {
            return;
        }
        target.probeOut = false;
        report(target, load, now);
        if (outcome == Outcome.NEVER_SENT) {
            return; // says nothing about the server
        }
        if (outcome == Outcome.OK) {
            target.probeFailures = 0;
            recovered(target, now);
            if (target.active == Health.UNHEALTHY) {
                log(target, "active Healthy: probe answered");
            }
            target.active = Health.HEALTHY;
        } else if ((outcome == Outcome.TIMEOUT || outcome == Outcome.RESET) && target.answeredSinceProbe) {
            // Danger: a busy server answers probes late, or a connection breaks; real answers prove that it lives.
            target.probeFailures = 0;
        } else {
            if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
                broke(target, now);
            }
            target.probeFailures++;
            if (target.probeFailures >= PROBE_THRESHOLD && target.active != Health.UNHEALTHY) {
                target.active = Health.UNHEALTHY;
                broke(target, now);
                log(target, "active Unhealthy: " + target.probeFailures + " probes failed");
            }
        }
        target.answeredSinceProbe = false;
        release(now);
    }

    // ---- Cold start ----

    private void broke(ServerState target, long now) {
        target.brokenAt = target.broken ? target.brokenAt : now;
        target.broken = true;
    }

    // First answer after a break: it may have restarted, so it counts as cold. Danger: a network that resets now and
    // then makes every server cold, over and over; a process does not come back within the time of one more try.
    private void recovered(ServerState target, long now) {
        if (target.broken) {
            target.broken = false;
            if (!cold(target, now) && now - target.brokenAt >= BREAK_LEAST) {
                chill(target, now, now, now + SUSPICION, "answers again after a break");
            }
        }
    }

    private void chill(ServerState target, long now, long since, long until, String why) {
        target.coldSince = since;
        target.coldRoom = coldRoom();
        target.coldUntil = until;
        target.coldTokens = random.nextDouble(); // a whole one each, and a thousand agents send a thousand
        target.coldAt = now;
        log(target, "cold: " + why);
    }

    /** The part of its capacity that a cold server has at the least. */
    private double surely(ServerState target, long now) {
        double share = Math.min(
                1,
                Math.max(
                        0,
                        (double) (now - target.coldSince)
                                / settings.obligations().coldTime()));
        return share + (1 - share) * settings.obligations().coldFrom();
    }

    /** Danger: a server that has just started may need longer for one request than anybody waits. */
    private boolean warmEnough(PendingRequest req, ServerState target, long now) {
        return !cold(target, now) || coldStretch * req.state.typical / surely(target, now) < req.endAt - now;
    }

    private boolean cold(ServerState target, long now) {
        return now < target.coldUntil;
    }

    // Requests this agent may send to a cold server now. Danger: all agents together push it over. Each keeps to the
    // server's part of its own demand among those it draws from, times the part surely warm, and more the better it
    // keeps up by its reports. What is answered elsewhere says nothing to a new agent, nor where a whole zone is cold.
    private double coldBudget(ServerState target, long now) {
        int drawn = Math.min(here, spread(SUBSET_LEAST, now)) + Math.min(takers - here, spread(SUBSET_FAR, now));
        double part = target.weight() / weights * (settings.warmKeys() ? 1 : (double) takers / drawn);
        double perSecond = demand(now) * part * surely(target, now) * target.coldRoom;
        double most = 1 + perSecond * COLD_BURST * settings.obligations().overloadTime() / SECOND;
        target.coldTokens = Math.min(most, target.coldTokens + perSecond * (now - target.coldAt) / SECOND);
        target.coldAt = now;
        return target.coldTokens;
    }

    // Danger: work goes on for what has run out of time; the more is sent to full servers, the less is served. What
    // answers pay for follows what servers can do, also where one agent sees too little of each for limits of its own.
    private void earn(double much, long now) {
        double most = CREDIT_LEAST + CREDIT_SECONDS * demand(now);
        credit = much == 0 ? Math.min(most, credit) : Math.max(credit, Math.min(most, credit + much));
    }

    /** First tries a second; a client's repeats are no demand. */
    private double demand(long now) {
        fade(now);
        double seen = 1 - Math.exp(-(double) Math.max(SECOND, now - bornAt) / RATE_PERIOD);
        return came * SECOND / (RATE_PERIOD * seen);
    }

    private void fade(long now) {
        double left = Math.exp(-(double) (now - fadedAt) / RATE_PERIOD);
        busy *= left;
        came *= left;
        fadedAt = now;
    }

    // ---- Server list ----

    @Override
    public void servers(long now, ListKind kind, List<Server> entries) {
        if (kind == ListKind.FAILED) {
            if (settings.askDiscovery()) {
                actions.timer(TIMER_ASK, askDelay + random.nextLong(askDelay));
                long most = Math.max(ASK_BACKOFF, settings.obligations().askWithin() / 4);
                askDelay = Math.min(2 * askDelay, most);
            }
            return;
        }
        askDelay = kind == ListKind.CACHED ? askDelay : ASK_BACKOFF;
        if (kind != ListKind.DELTA) {
            var complete = entries.stream().map(Server::id).collect(Collectors.toSet());
            List.copyOf(listed).stream()
                    .filter(each -> !complete.contains(each.id))
                    .forEach(this::remove);
        }
        for (Server entry : entries) {
            apply(now, entry);
        }
        // By this agent's own hash: its first few are its subset, and no two agents have the same.
        listed.sort(Comparator.comparingLong(each -> mix(each.id ^ mix(settings.agent()))));
        List<ServerState> ready = listed.stream().filter(each -> each.ready).toList();
        weights = ready.stream().mapToDouble(ServerState::weight).sum();
        takers = ready.size();
        here = (int) ready.stream()
                .filter(each -> each.listed.zone() == settings.zone())
                .count();
        double part = Math.min(1, (double) subset(SUBSET_LEAST) / Math.max(1, listed.size()));
        for (ServerState target : listed) {
            target.limit = target.limit == 0 ? LIMIT_START / (settings.agents() * part) : target.limit;
        }
        if (!probing) {
            probe(now, 0);
        }
        release(now);
    }

    private void apply(long now, Server entry) {
        if (entry.phase() == Phase.GONE) {
            ServerState gone = targets.get(entry.id());
            if (gone != null) {
                remove(gone);
            }
            return;
        }
        ServerState target = targets.computeIfAbsent(entry.id(), id -> new ServerState(id, classes.size()));
        Server before = target.listed;
        if (before == null || target.gone) {
            listed.add(target);
        }
        target.gone = false;
        target.listed = entry;
        boolean ready = entry.phase() == Phase.READY;
        if (before != null && target.ready != ready) {
            log(target, ready ? "ready" : "draining: nothing new is sent");
        }
        target.ready = ready;
        if (entry.startedAt() > 0 && (before == null || entry.startedAt() != before.startedAt())) {
            restart(now, target);
        }
    }

    private void restart(long now, ServerState target) {
        target.active = Health.UNKNOWN;
        target.passive = Health.UNKNOWN;
        target.probeFailures = 0;
        target.broken = false;
        target.limit = 0;
        target.stretch = 1;
        target.window.clear();
        Arrays.setAll(target.byClass, each -> new ByClass());
        long warmAt = target.listed.startedAt() + settings.obligations().coldTime();
        if (now < warmAt) {
            chill(target, now, target.listed.startedAt(), warmAt, "listed as just started");
        }
    }

    private void remove(ServerState target) {
        if (listed.remove(target)) {
            log(target, "gone from the list");
        }
        target.ready = false;
        target.gone = true;
        forget(target);
    }

    /** Danger: servers come and go for ever. What is known of one goes with it once nothing is out. */
    private void forget(ServerState target) {
        if (target.gone && target.inFlight == 0) {
            targets.remove(target.id);
        }
    }

    private void log(ServerState target, String what) {
        if (target.gone) {
            return; // nobody is to look after it
        }
        actions.log("server " + target.id + " " + what);
    }
}
