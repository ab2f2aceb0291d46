package gatefront.example;

import gatefront.policy.Balancer;
import gatefront.policy.CheckedBalancer;
import java.util.ArrayList;
import java.util.List;

/** The example of the README. A test checks that the README contains the text between the two marks. */
final class Embedding implements Balancer.Actions {
    final List<String> did = new ArrayList<>();

    // README begins
    static Balancer.Settings settings() {
        var lookup = new Balancer.RequestClass(
                300_000,
                0,
                2_000_000, // wanted within 0.3 s, given up after 2 s
                Balancer.Semantics.SAFE,
                Balancer.Scope.ALL,
                0, // may run any number of times
                1,
                0,
                false); // worth 1; nothing if late; not streamed
        return new Balancer.Settings(
                0,
                3,
                0,
                2,
                5_000, // agent 0 of 3, in zone 0 of 2; 5 ms ticks
                false,
                false,
                false,
                false,
                1,
                new Balancer.Permits(3, false, true, true, false, 0),
                new Balancer.Obligations(20_000, 500_000, 0.2, 20_000_000, 3, 1_000_000, 10_000_000),
                new Balancer.Prices(0.05, 0.01, 0.05, 0.05, 0),
                new Balancer.Goal(1, 0, 0, 0),
                List.of(lookup),
                List.of(),
                List.of());
    }

    static void run(Balancer.Actions host) {
        long now = 0; // microseconds of the host's own clock
        Balancer balancer = new CheckedBalancer(settings(), 42, now, host);
        balancer.servers(
                now,
                Balancer.ListKind.FULL,
                List.of(
                        new Balancer.Server(7, 0, 0, 0, Balancer.Phase.READY, 1, 0),
                        new Balancer.Server(8, 1, 0, 0, Balancer.Phase.READY, 1, 0)));
        balancer.request(now, new Balancer.Request(1, 0, 0, 0, 0, now + 1_000_000, false, false));
        now += 40_000; // the host has called send(1, 7, ...) over its network
        balancer.outcome(now, 1, 0, 7, Balancer.Outcome.OK, 40_000, true, new double[0]);
    }

    @Override
    public void send(long request, long server, long timeout) {
        did.add("send " + request + " to " + server);
    }
    // README ends

    @Override
    public void refuse(long request, long retryAfter) {
        did.add("refuse " + request);
    }

    @Override
    public void fail(long request) {
        did.add("fail " + request);
    }

    @Override
    public void cancel(long request, int attempt) {
        did.add("cancel " + request);
    }

    @Override
    public void probe(long server) {
        did.add("probe " + server);
    }

    @Override
    public void sendMessage(int agent, byte[] message) {
        did.add("tell " + agent);
    }

    @Override
    public void timer(long token, long delay) {
        did.add("timer");
    }

    @Override
    public void closeIdle(long server) {
        did.add("close " + server);
    }

    @Override
    public void watchServers() {
        did.add("watch");
    }

    @Override
    public void fetchServers() {
        did.add("fetch");
    }

    @Override
    public void log(String line) {
        did.add(line);
    }
}
