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

/** Drives one balancer by hand: a hand-turned clock, recorded actions, due timers. */
class BalancerHarness implements Balancer.Actions {
    static final long SECOND = 1_000_000;
    static final long TICK = 5_000;

    /** What was done: the words of the action and its numbers. */
    record Act(String what, long id, long server, long value) {}

    private record Timer(long token, long at) {}

    final List<Act> acts = new ArrayList<>();
    final List<String> lines = new ArrayList<>();
    private final List<Timer> timers = new ArrayList<>();
    final Balancer balancer;
    long now = 100 * SECOND;
    /** What servers report with each answer. */
    double[] report = new double[0];

    private long nextId = 1;

    BalancerHarness(Settings settings) {
        this(settings, 7);
    }

    BalancerHarness(Settings settings, long seed) {
        balancer = new AdaptiveBalancer(settings, seed, now, this);
    }

    // ---- settings ----

    static RequestClass type(Semantics semantics, Scope scope) {
        return new RequestClass(SECOND, 0, 4 * SECOND, semantics, scope, 2 * SECOND, 1, 0, false);
    }

    static Settings settings(Semantics semantics, Scope scope) {
        return settings(List.of(type(semantics, scope)), new Permits(4, false, true, true, false, SECOND), 2, 2);
    }

    static Settings safe() {
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

    /** The same for the agent of this number. */
    static Settings as(int agent, Settings s) {
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

    /** The same with other prices, rules on cold servers, and fields that servers report. */
    static Settings with(Settings s, Prices prices, Obligations obligations, Balancer.LoadField... fields) {
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

    BalancerHarness list(ListKind kind, Server... servers) {
        balancer.servers(now, kind, Arrays.asList(servers));
        return this;
    }

    BalancerHarness full(Server... servers) {
        return list(ListKind.FULL, servers);
    }

    long request() {
        return request(0, 0);
    }

    long request(int requestClass, long key) {
        long id = nextId++;
        balancer.request(now, new Request(id, requestClass, 0, key, 0, now + 3 * SECOND, false, false));
        return id;
    }

    /** A client's repeat, marked as one. */
    long repeat() {
        long id = nextId++;
        balancer.request(now, new Request(id, 0, 0, 0, 0, now + 3 * SECOND, true, false));
        return id;
    }

    void end(long id, int attempt, Outcome outcome, long spent) {
        balancer.outcome(
                now, id, attempt, sends(id).get(attempt).server(), outcome, spent, outcome == Outcome.OK, report);
    }

    /** Moves the clock on in ticks, delivering timers as they come due. */
    void pass(long micros) {
        long until = now + micros;
        while (now < until) {
            now = Math.min(until, now + TICK);
            fire();
        }
    }

    private void fire() {
        List<Timer> ripe = timers.stream().filter(t -> t.at() <= now).toList();
        timers.removeAll(ripe);
        for (Timer timer : ripe) {
            balancer.timer(now, timer.token());
        }
    }

    /** Serves a request at once after the given time. */
    long serve(long spent) {
        long id = request();
        pass(spent);
        if (!sends(id).isEmpty()) {
            end(id, sends(id).size() - 1, Outcome.OK, spent);
        }
        return id;
    }

    /**
     * Lets requests come evenly for so many seconds, with so many repeats beside each; each attempt ends after a time,
     * those still out at the end of it stay out. Returns how many were sent.
     */
    int live(double seconds, Outcome outcome, long after, int perSecond, int repeats) {
        int before = all("send").size();
        long until = now + (long) (seconds * SECOND);
        List<Act> out = new ArrayList<>();
        int seen = acts.size();
        while (now < until) {
            request();
            for (int i = 0; i < repeats; i++) {
                repeat();
            }
            for (long next = now + SECOND / perSecond; now < next; ) {
                pass(TICK);
                for (; seen < acts.size(); seen++) {
                    Act act = acts.get(seen);
                    if (act.what().equals("send")) {
                        out.add(new Act("due", act.id(), act.server(), now + after));
                    }
                }
                out.removeIf(due -> {
                    boolean over = now >= due.value();
                    if (over) {
                        end(due.id(), sends(due.id()).size() - 1, outcome, after);
                    }
                    return over;
                });
            }
        }
        return all("send").size() - before;
    }

    // ---- what was done ----

    List<Act> all(String what) {
        return acts.stream().filter(a -> a.what().equals(what)).toList();
    }

    List<Act> of(String what, long id) {
        return acts.stream().filter(a -> a.what().equals(what) && a.id() == id).toList();
    }

    List<Act> sends(long id) {
        return of("send", id);
    }

    long target(long id) {
        List<Act> sends = sends(id);
        return sends.isEmpty() ? -1 : sends.get(sends.size() - 1).server();
    }

    boolean logged(String part) {
        return lines.stream().anyMatch(l -> l.contains(part));
    }

    @Override
    public void send(long request, long server, long timeout) {
        acts.add(new Act("send", request, server, timeout));
    }

    @Override
    public void refuse(long request, long retryAfter) {
        acts.add(new Act("refuse", request, 0, retryAfter));
    }

    @Override
    public void fail(long request) {
        acts.add(new Act("fail", request, 0, 0));
    }

    @Override
    public void cancel(long request, int attempt) {
        acts.add(new Act("cancel", request, 0, attempt));
    }

    @Override
    public void probe(long server) {
        acts.add(new Act("probe", 0, server, now));
    }

    @Override
    public void tell(int agent, byte[] message) {
        acts.add(new Act("tell", agent, 0, message.length));
    }

    @Override
    public void timer(long token, long delay) {
        timers.add(new Timer(token, now + Math.max(1, delay)));
    }

    @Override
    public void closeIdle(long server) {
        acts.add(new Act("closeIdle", 0, server, 0));
    }

    @Override
    public void watchServers() {
        acts.add(new Act("watch", 0, 0, now));
    }

    @Override
    public void fetchServers() {
        acts.add(new Act("fetch", 0, 0, now));
    }

    @Override
    public void log(String line) {
        lines.add(line);
    }
}
