package gatefront.bench;

import gatefront.config.Config;
import gatefront.policy.AdaptiveBalancer;
import gatefront.policy.Balancer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The module by itself: a request that is sent and answered, and one that is refused. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 4, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class DecisionBench {
    private static final long MS = 1_000;
    private static final double[] NO_LOAD = new double[0];

    /** How many servers are listed. */
    @Param({"14", "1000", "10000"})
    public int servers;

    private AdaptiveBalancer rules;
    private long now = 1_000_000_000;
    private long id;
    private long sentTo;
    private long refused;

    private final class Host implements Balancer.Actions {
        @Override
        public void send(long request, long server, long timeout) {
            sentTo = server;
        }

        @Override
        public void refuse(long request, long retryAfter) {
            refused++;
        }

        @Override
        public void fail(long request) {
            refused++;
        }

        @Override
        public void cancel(long request, int attempt) {}

        @Override
        public void probe(long server) {}

        @Override
        public void sendMessage(int agent, byte[] message) {}

        @Override
        public void timer(long token, long delay) {}

        @Override
        public void closeIdle(long server) {}

        @Override
        public void watchServers() {}

        @Override
        public void fetchServers() {}

        @Override
        public void log(String line) {}
    }

    /** Lists the servers. */
    @Setup
    public void set() throws Exception {
        rules = new AdaptiveBalancer(
                Config.read(Path.of("src/test/resources/config.json")).settings(), 7, now, new Host());
        List<Balancer.Server> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(new Balancer.Server(1 + i, 0, 0, 0, Balancer.Phase.READY, 1, 0));
        }
        rules.servers(now, Balancer.ListKind.FULL, list);
    }

    /** A safe request, sent at once and answered after 5 ms; 1,000 come a second. */
    @Benchmark
    public long served() {
        id++;
        sentTo = 0;
        rules.request(now, new Balancer.Request(id, 0, 0, 0, 0, now + 8_000 * MS, false, false));
        rules.outcome(now + 5 * MS, id, 0, sentTo, Balancer.Outcome.OK, 5 * MS, true, NO_LOAD);
        now += MS;
        return sentTo;
    }

    /** A request whose time is up when it comes. */
    @Benchmark
    public long refused() {
        id++;
        rules.request(now, new Balancer.Request(id, 2, 0, 0, 0, now, false, false));
        now += MS;
        return refused;
    }
}
