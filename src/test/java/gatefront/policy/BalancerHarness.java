package gatefront.policy;

import gatefront.policy.Balancer.Goal;
import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Obligations;
import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Permits;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Prices;
import gatefront.policy.Balancer.Request;
import gatefront.policy.Balancer.RequestClass;
import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import gatefront.policy.Balancer.Server;
import gatefront.policy.Balancer.Settings;
import gatefront.policy.Balancer.Tenant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Drives one balancer in a test: with a manual clock, recorded actions and timers that fire as the clock advances. */
class BalancerHarness implements Balancer.Actions {
    static final long SECOND = 1_000_000;
    static final long TICK = 5_000;

    /** An action of the balancer: its kind and its arguments. */
    record RecordedAction(String kind, long id, long server, long value) {}

    private record Timer(long token, long at) {}

    final List<RecordedAction> actions = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    private final List<Timer> timers = new ArrayList<>();
    final Balancer balancer;
    long now = 100 * SECOND;
    /** Load report that comes with each response. */
    double[] loadReport = new double[0];

    private long nextId = 1;

    BalancerHarness(Settings settings) {
        this(settings, 7);
    }

    BalancerHarness(Settings settings, long seed) {
        balancer = new AdaptiveBalancer(settings, seed, now, this);
    }

    // ---- settings ----

    static RequestClass requestClass(Semantics semantics, Scope scope) {
        return new RequestClass(SECOND, 0, 4 * SECOND, semantics, scope, 2 * SECOND, 1, 0, false);
    }

    static Settings settings(Semantics semantics, Scope scope) {
        return settings(
                List.of(requestClass(semantics, scope)), new Permits(4, false, true, true, false, SECOND), 2, 2);
    }

    static Settings safeSettings() {
        return settings(Semantics.SAFE, Scope.ALL);
    }

    static Settings settings(List<RequestClass> classes, Permits permits, int zones, int agents) {
        return settings(classes, permits, zones, agents, false, false, List.of());
    }

    static Settings settings(
            List<RequestClass> classes,
            Permits permits,
            int zones,
            int agents,
            boolean ask,
            boolean warmKeys,
            List<Tenant> tenants) {
        return new Settings(
                0,
                agents,
                0,
                zones,
                TICK,
                ask,
                warmKeys,
                false,
                false,
                0.1,
                permits,
                new Obligations(20_000, 500_000, 0.2, 20 * SECOND, 3, SECOND, 10 * SECOND),
                new Prices(0.2, 0.01, 0.05, 0.05, 0.01),
                new Goal(0.6, 0.2, 0.2, 0),
                classes,
                tenants,
                List.of());
    }

    /** Returns the settings for another agent. */
    static Settings forAgent(int agent, Settings s) {
        return new Settings(
                agent,
                s.agents(),
                s.zone(),
                s.zones(),
                s.tick(),
                s.askDiscovery(),
                s.warmKeys(),
                s.listedWeights(),
                s.worthByWork(),
                s.overQuotaWorth(),
                s.permits(),
                s.obligations(),
                s.prices(),
                s.goal(),
                s.classes(),
                s.tenants(),
                s.loadFields());
    }

    /** Returns the settings with other prices, obligations and load report fields. */
    static Settings withPrices(Settings s, Prices prices, Obligations obligations, Balancer.LoadField... fields) {
        return new Settings(
                s.agent(),
                s.agents(),
                s.zone(),
                s.zones(),
                s.tick(),
                s.askDiscovery(),
                s.warmKeys(),
                s.listedWeights(),
                s.worthByWork(),
                s.overQuotaWorth(),
                s.permits(),
                obligations,
                prices,
                s.goal(),
                s.classes(),
                s.tenants(),
                List.of(fields));
    }

    static Server server(long id, int zone) {
        return new Server(id, zone, zone, 0, Phase.READY, 1, 0);
    }

    static Server server(long id, int zone, Phase phase, long startedAt) {
        return new Server(id, zone, zone, 0, phase, 1, startedAt);
    }

    // ---- events ----

    BalancerHarness updateServers(ListKind kind, Server... servers) {
        balancer.servers(now, kind, Arrays.asList(servers));
        return this;
    }

    BalancerHarness fullList(Server... servers) {
        return updateServers(ListKind.FULL, servers);
    }

    long request() {
        return request(0, 0);
    }

    long request(int requestClass, long key) {
        long id = nextId++;
        balancer.request(now, new Request(id, requestClass, 0, key, 0, now + 3 * SECOND, false, false));
        return id;
    }

    /** Sends a client retry that is marked as one. */
    long clientRetry() {
        long id = nextId++;
        balancer.request(now, new Request(id, 0, 0, 0, 0, now + 3 * SECOND, true, false));
        return id;
    }

    void endAttempt(long id, int attempt, Outcome outcome, long elapsed) {
        balancer.outcome(
                now, id, attempt, sends(id).get(attempt).server(), outcome, elapsed, outcome == Outcome.OK, loadReport);
    }

    /** Advances the clock in ticks and fires timers that have expired. */
    void advance(long micros) {
        long until = now + micros;
        while (now < until) {
            now = Math.min(until, now + TICK);
            fireDueTimers();
        }
    }

    private void fireDueTimers() {
        List<Timer> due = timers.stream().filter(t -> t.at() <= now).toList();
        timers.removeAll(due);
        for (Timer timer : due) {
            balancer.timer(now, timer.token());
        }
    }

    /** Sends a request that is answered after the given time in microseconds. */
    long serveRequest(long elapsed) {
        long id = request();
        advance(elapsed);
        if (!sends(id).isEmpty()) {
            endAttempt(id, sends(id).size() - 1, Outcome.OK, elapsed);
        }
        return id;
    }

    /**
     * Sends requests at an even rate, each with a number of client retries. Each attempt ends with the given outcome
     * after the given time; attempts in flight at the end remain in flight.
     *
     * @return the number of attempts sent
     */
    int runLoad(double seconds, Outcome outcome, long latency, int perSecond, int retries) {
        int before = actionsOfKind("send").size();
        long until = now + (long) (seconds * SECOND);
        List<RecordedAction> inFlight = new ArrayList<>();
        int checked = actions.size();
        while (now < until) {
            request();
            for (int i = 0; i < retries; i++) {
                clientRetry();
            }
            for (long next = now + SECOND / perSecond; now < next; ) {
                advance(TICK);
                for (; checked < actions.size(); checked++) {
                    RecordedAction action = actions.get(checked);
                    if (action.kind().equals("send")) {
                        inFlight.add(new RecordedAction("due", action.id(), action.server(), now + latency));
                    }
                }
                inFlight.removeIf(attempt -> {
                    boolean ended = now >= attempt.value();
                    if (ended) {
                        endAttempt(attempt.id(), sends(attempt.id()).size() - 1, outcome, latency);
                    }
                    return ended;
                });
            }
        }
        return actionsOfKind("send").size() - before;
    }

    // ---- recorded actions ----

    List<RecordedAction> actionsOfKind(String what) {
        return actions.stream().filter(a -> a.kind().equals(what)).toList();
    }

    List<RecordedAction> actionsFor(String what, long id) {
        return actions.stream()
                .filter(a -> a.kind().equals(what) && a.id() == id)
                .toList();
    }

    List<RecordedAction> sends(long id) {
        return actionsFor("send", id);
    }

    long lastServer(long id) {
        List<RecordedAction> sends = sends(id);
        return sends.isEmpty() ? -1 : sends.get(sends.size() - 1).server();
    }

    boolean hasLogged(String part) {
        return logLines.stream().anyMatch(l -> l.contains(part));
    }

    @Override
    public void send(long request, long server, long timeout) {
        actions.add(new RecordedAction("send", request, server, timeout));
    }

    @Override
    public void refuse(long request, long retryAfter) {
        actions.add(new RecordedAction("refuse", request, 0, retryAfter));
    }

    @Override
    public void fail(long request) {
        actions.add(new RecordedAction("fail", request, 0, 0));
    }

    @Override
    public void cancel(long request, int attempt) {
        actions.add(new RecordedAction("cancel", request, 0, attempt));
    }

    @Override
    public void probe(long server) {
        actions.add(new RecordedAction("probe", 0, server, now));
    }

    @Override
    public void sendMessage(int agent, byte[] message) {
        actions.add(new RecordedAction("tell", agent, 0, message.length));
    }

    @Override
    public void timer(long token, long delay) {
        timers.add(new Timer(token, now + Math.max(1, delay)));
    }

    @Override
    public void closeIdle(long server) {
        actions.add(new RecordedAction("closeIdle", 0, server, 0));
    }

    @Override
    public void watchServers() {
        actions.add(new RecordedAction("watch", 0, 0, now));
    }

    @Override
    public void fetchServers() {
        actions.add(new RecordedAction("fetch", 0, 0, now));
    }

    @Override
    public void log(String line) {
        logLines.add(line);
    }
}
