package gatefront.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/**
 * Measures the cost of a request in the agent, started by its run line on one core, and in a plain {@link Relay} on the same
 * core. Both are measured alternately in one run. Arguments: number of rounds, seconds per measurement, JSON file for the
 * figures, and optionally a single case.
 */
final class Costs {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern LISTENING_LINE = Pattern.compile("^listening on .*:(\\d+)$");
    private static final int CONNECTIONS = 32;
    private static final int WARMUP_SECONDS = 6;

    /** The load cases. Their names in lower case are printed and are keys of the JSON file. */
    private enum Case {
        CALM(14, false, 0),
        SERVERS_1000(1_000, false, 0),
        REFUSED(4, false, 0),
        NEW_CONNECTION(14, true, 0),
        IDLE_1000(14, false, 1_000);

        private final int servers;
        private final boolean connectionPerRequest;
        private final int idleConnections;

        Case(int servers, boolean connectionPerRequest, int idleConnections) {
            this.servers = servers;
            this.connectionPerRequest = connectionPerRequest;
            this.idleConnections = idleConnections;
        }
    }

    /**
     * The result of one measurement. The names of the components are keys of the JSON file.
     *
     * @param micros the processor time per request, in microseconds
     * @param median the median latency, in microseconds
     * @param p99 the 99th percentile of the latency, in microseconds
     * @param requests the number of responses, including refusals
     * @param refused the number of responses other than 200
     * @param broken the number of connections that were closed before a response arrived
     */
    private record Figures(double micros, double median, double p99, long requests, long refused, long broken) {}

    private Costs() {}

    /** Runs all measurements, prints a table and writes all figures to the JSON file. */
    public static void main(String[] args) throws Exception {
        int rounds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 6;
        Path folder = Files.createTempDirectory("costs");
        ObjectNode results = JSON.createObjectNode();
        results.put("cores", Runtime.getRuntime().availableProcessors())
                .put("java", System.getProperty("java.version"))
                .put("rounds", rounds)
                .put("seconds", seconds);
        System.out.printf(
                "%-16s %12s %12s %8s %12s %12s %10s%n",
                "case", "agent us", "relay us", "ratio", "p50 +us", "p99 +us", "refused");
        for (Case testCase : args.length > 3 ? new Case[] {Case.valueOf(args[3].toUpperCase())} : Case.values()) {
            List<Figures> agent = new ArrayList<>();
            List<Figures> relay = new ArrayList<>();
            for (int i = 0; i < rounds; i++) {
                agent.add(measure(testCase, true, seconds, folder));
                if (testCase != Case.REFUSED) {
                    relay.add(measure(testCase, false, seconds, folder));
                }
            }
            ObjectNode node = results.putObject(testCase.name().toLowerCase());
            node.set("agent", JSON.valueToTree(agent));
            node.set("relay", JSON.valueToTree(relay));
            Figures agentMedian = medianByCost(agent);
            Figures relayMedian = relay.isEmpty() ? null : medianByCost(relay);
            System.out.printf(
                    "%-16s %12.1f %12.1f %8.2f %12.0f %12.0f %9.0f%%%s%n",
                    testCase.name().toLowerCase(),
                    agentMedian.micros,
                    relayMedian == null ? 0 : relayMedian.micros,
                    relayMedian == null ? 0 : agentMedian.micros / relayMedian.micros,
                    relayMedian == null ? agentMedian.median : agentMedian.median - relayMedian.median,
                    relayMedian == null ? agentMedian.p99 : agentMedian.p99 - relayMedian.p99,
                    100.0 * agentMedian.refused / Math.max(1, agentMedian.requests),
                    agentMedian.broken > 0 ? " broken " + agentMedian.broken : "");
        }
        if (args.length > 2) {
            JSON.writerWithDefaultPrettyPrinter().writeValue(Path.of(args[2]).toFile(), results);
        }
    }

    /** Returns the measurement with the median processor time. */
    private static Figures medianByCost(List<Figures> measurements) {
        return measurements.stream()
                .sorted((a, b) -> Double.compare(a.micros, b.micros))
                .toList()
                .get(measurements.size() / 2);
    }

    private static Figures measure(Case testCase, boolean agent, int seconds, Path folder) throws Exception {
        try (Servers servers = new Servers(agent ? testCase.servers : 1, testCase != Case.REFUSED)) {
            List<Integer> ports = servers.ports();
            Process process = agent ? startAgent(testCase, ports, folder) : startRelay(ports.get(0));
            try {
                int port = awaitPort(process);
                try (Load load = new Load(port, testCase.connectionPerRequest)) {
                    load.openIdle(testCase.idleConnections);
                    load.open(CONNECTIONS);
                    Thread.sleep(1_000L * WARMUP_SECONDS);
                    Duration before = process.info().totalCpuDuration().orElseThrow();
                    load.reset();
                    Thread.sleep(1_000L * seconds);
                    Histogram micros = load.micros().copy();
                    Duration after = process.info().totalCpuDuration().orElseThrow();
                    return new Figures(
                            after.minus(before).toNanos() / 1e3 / Math.max(1, micros.getTotalCount()),
                            micros.getValueAtPercentile(50),
                            micros.getValueAtPercentile(99),
                            micros.getTotalCount(),
                            load.refused(),
                            load.disconnected());
                }
            } finally {
                process.destroy();
                if (!process.waitFor(5, TimeUnit.SECONDS)) {
                    process.destroyForcibly().waitFor();
                }
            }
        }
    }

    /** Returns ports on which nothing listens. */
    private static List<Integer> unusedPorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports.add(socket.getLocalPort());
            }
        }
        return ports;
    }

    private static Process startAgent(Case testCase, List<Integer> servers, Path folder) throws IOException {
        ObjectNode config = (ObjectNode)
                JSON.readTree(Path.of("src/test/resources/config.json").toFile());
        config.put("discovery", "127.0.0.1:" + unusedPorts(1).get(0)).put("listen", "127.0.0.1:0");
        ((ObjectNode) config.get("limits")).put("sockets", 4_096);
        ArrayNode endpoints = ((ObjectNode) config.get("known")).putArray("endpoints");
        for (int i = 0; i < servers.size(); i++) {
            endpoints
                    .addObject()
                    .put("name", "s-" + i)
                    .put("address", "127.0.0.1:" + servers.get(i))
                    .put("zone", "a")
                    .put("type", "small")
                    .put("group", 0)
                    .put("status", "Ready")
                    .put("weight", 1.0)
                    .put("since_ms", 0);
        }
        Path file = folder.resolve("config.json");
        JSON.writeValue(file.toFile(), config);
        Matcher runLine = RUN_LINE.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!runLine.find()) {
            throw new IOException("deploy/balancer.toml has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder("taskset", "-c", "0", "sh", "-c", runLine.group(1));
        builder.environment().put("RELAY_CONFIG", file.toString());
        // The servers of this case never respond: the only call that the cap admits stays outstanding, others are
        // refused.
        if (testCase == Case.REFUSED) {
            Path extensions = Files.writeString(
                    folder.resolve("extensions.toml"), "[memory]\n[[memory.caps]]\npurpose = \"calls\"\nentries = 1\n");
            builder.environment().put("GATEFRONT_EXTENSIONS", extensions.toString());
        }
        return builder.redirectErrorStream(true).start();
    }

    private static Process startRelay(int serverPort) throws IOException {
        return new ProcessBuilder(
                        "taskset",
                        "-c",
                        "0",
                        System.getProperty("java.home") + "/bin/java",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xms32m",
                        "-Xmx32m",
                        "-Dio.netty.leakDetection.level=disabled",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Relay.class.getName(),
                        String.valueOf(serverPort))
                .redirectErrorStream(true)
                .start();
    }

    private static void discard(BufferedReader lines) {
        try {
            while (lines.readLine() != null) {}
        } catch (IOException e) {
            // The process has been stopped.
        }
    }

    /**
     * Waits for the line that names the port and returns the port. A daemon thread reads the further output, so that the
     * process does not block on a full pipe.
     */
    private static int awaitPort(Process process) throws IOException {
        BufferedReader lines = process.inputReader();
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            Matcher port = LISTENING_LINE.matcher(line);
            if (port.find()) {
                Thread reader = new Thread(() -> discard(lines));
                reader.setDaemon(true);
                reader.start();
                return Integer.parseInt(port.group(1));
            }
        }
        throw new IOException("the process ended before it printed the port that it listens on");
    }
}
