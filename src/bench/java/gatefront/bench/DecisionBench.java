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

/** Measures the decision module alone: a request that is sent and answered, and one that is refused. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 4, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class DecisionBench {
    private static final long MILLISECOND_MICROS = 1_000;
    private static final double[] NO_LOAD = new double[0];

    /** The number of servers in the server list. */
    @Param({"14", "1000", "10000"})
    public int servers;

    private AdaptiveBalancer balancer;
    private long nowMicros = 1_000_000_000;
    private long id;
    private long selectedServer;
    private long refusedCount;

    private final class RecordingActions implements Balancer.Actions {
        @Override
        public void send(long request, long server, long timeout) {
            selectedServer = server;
        }

        @Override
        public void refuse(long request, long retryAfter) {
            refusedCount++;
        }

        @Override
        public void fail(long request) {
            refusedCount++;
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

    /** Creates the balancer and gives it the server list. */
    @Setup
    public void setUp() throws Exception {
        balancer = new AdaptiveBalancer(
                Config.read(Path.of("src/test/resources/config.json")).settings(),
                7,
                nowMicros,
                new RecordingActions());
        List<Balancer.Server> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(new Balancer.Server(1 + i, 0, 0, 0, Balancer.Phase.READY, 1, 0));
        }
        balancer.servers(nowMicros, Balancer.ListKind.FULL, list);
    }

    /** A safe request that is sent immediately and answered after 5 ms, at 1,000 requests per second. */
    @Benchmark
    public long served() {
        id++;
        selectedServer = 0;
        balancer.request(
                nowMicros, new Balancer.Request(id, 0, 0, 0, 0, nowMicros + 8_000 * MILLISECOND_MICROS, false, false));
        balancer.outcome(
                nowMicros + 5 * MILLISECOND_MICROS,
                id,
                0,
                selectedServer,
                Balancer.Outcome.OK,
                5 * MILLISECOND_MICROS,
                true,
                NO_LOAD);
        nowMicros += MILLISECOND_MICROS;
        return selectedServer;
    }

    /** A request whose deadline has passed when it arrives. */
    @Benchmark
    public long refused() {
        id++;
        balancer.request(nowMicros, new Balancer.Request(id, 2, 0, 0, 0, nowMicros, false, false));
        nowMicros += MILLISECOND_MICROS;
        return refusedCount;
    }
}
