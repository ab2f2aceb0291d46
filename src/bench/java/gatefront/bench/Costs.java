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
 * What a request costs: the agent by its run line on one core, and a bare relay on the same core, in turn in one run.
 * Arguments: rounds, seconds of each, JSON file, and a case if it is to be one only.
 */
final class Costs {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PORT = Pattern.compile("^listening on .*:(\\d+)$");
    private static final int CONNECTIONS = 32;
    private static final int WARM_SECONDS = 6;

    /** A way of asking. */
    private enum Case {
        CALM(14, false, 0),
        SERVERS_1000(1_000, false, 0),
        REFUSED(4, false, 0),
        NEW_CONNECTION(14, true, 0),
        IDLE_1000(14, false, 1_000);

        private final int servers;
        private final boolean anew;
        private final int idle;

        Case(int servers, boolean anew, int idle) {
            this.servers = servers;
            this.anew = anew;
            this.idle = idle;
        }
    }

    /** One measurement. */
    private record Figures(double micros, double median, double p99, long requests, long refused, long broken) {}

    private Costs() {}

    /** Measures, prints a table and writes all figures. */
    public static void main(String[] args) throws Exception {
        int rounds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 6;
        Path folder = Files.createTempDirectory("costs");
        ObjectNode all = JSON.createObjectNode();
        all.put("cores", Runtime.getRuntime().availableProcessors())
                .put("java", System.getProperty("java.version"))
                .put("rounds", rounds)
                .put("seconds", seconds);
        System.out.printf(
                "%-16s %12s %12s %8s %12s %12s %10s%n",
                "case", "agent us", "relay us", "ratio", "p50 +us", "p99 +us", "refused");
        for (Case each : args.length > 3 ? new Case[] {Case.valueOf(args[3].toUpperCase())} : Case.values()) {
            List<Figures> agent = new ArrayList<>();
            List<Figures> relay = new ArrayList<>();
            for (int i = 0; i < rounds; i++) {
                agent.add(measure(each, true, seconds, folder));
                if (each != Case.REFUSED) {
                    relay.add(measure(each, false, seconds, folder));
                }
            }
            ObjectNode node = all.putObject(each.name().toLowerCase());
            node.set("agent", JSON.valueToTree(agent));
            node.set("relay", JSON.valueToTree(relay));
            Figures a = middle(agent);
            Figures r = relay.isEmpty() ? null : middle(relay);
            System.out.printf(
                    "%-16s %12.1f %12.1f %8.2f %12.0f %12.0f %9.0f%%%s%n",
                    each.name().toLowerCase(),
                    a.micros,
                    r == null ? 0 : r.micros,
                    r == null ? 0 : a.micros / r.micros,
                    r == null ? a.median : a.median - r.median,
                    r == null ? a.p99 : a.p99 - r.p99,
                    100.0 * a.refused / Math.max(1, a.requests),
                    a.broken > 0 ? " broken " + a.broken : "");
        }
        if (args.length > 2) {
            JSON.writerWithDefaultPrettyPrinter().writeValue(Path.of(args[2]).toFile(), all);
        }
    }

    /** The measurement in the middle by its cost. */
    private static Figures middle(List<Figures> all) {
        return all.stream()
                .sorted((a, b) -> Double.compare(a.micros, b.micros))
                .toList()
                .get(all.size() / 2);
    }

    private static Figures measure(Case of, boolean agent, int seconds, Path folder) throws Exception {
        try (Servers servers = new Servers(agent ? of.servers : 1, of != Case.REFUSED)) {
            List<Integer> ports = servers.ports();
            Process process = agent ? agent(of, ports, folder) : relay(ports.get(0));
            try {
                int port = listening(process);
                try (Load load = new Load(port, of.anew)) {
                    load.idle(of.idle);
                    load.open(CONNECTIONS);
                    Thread.sleep(1_000L * WARM_SECONDS);
                    Duration before = process.info().totalCpuDuration().orElseThrow();
                    load.begin();
                    Thread.sleep(1_000L * seconds);
                    Histogram micros = load.micros().copy();
                    Duration after = process.info().totalCpuDuration().orElseThrow();
                    return new Figures(
                            after.minus(before).toNanos() / 1e3 / Math.max(1, micros.getTotalCount()),
                            micros.getValueAtPercentile(50),
                            micros.getValueAtPercentile(99),
                            micros.getTotalCount(),
                            load.refused(),
                            load.broken());
                }
            } finally {
                process.destroy();
                if (!process.waitFor(5, TimeUnit.SECONDS)) {
                    process.destroyForcibly().waitFor();
                }
            }
        }
    }

    /** Ports on which nothing listens. */
    private static List<Integer> closed(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports.add(socket.getLocalPort());
            }
        }
        return ports;
    }

    private static Process agent(Case of, List<Integer> servers, Path folder) throws IOException {
        ObjectNode config = (ObjectNode)
                JSON.readTree(Path.of("src/test/resources/config.json").toFile());
        config.put("discovery", "127.0.0.1:" + closed(1).get(0)).put("listen", "127.0.0.1:0");
        ((ObjectNode) config.get("limits")).put("sockets", 4_096);
        ArrayNode list = ((ObjectNode) config.get("known")).putArray("endpoints");
        for (int i = 0; i < servers.size(); i++) {
            list.addObject()
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
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder("taskset", "-c", "0", "sh", "-c", run.group(1));
        builder.environment().put("RELAY_CONFIG", file.toString());
        if (of == Case.REFUSED) { // one call waits for an answer that never comes, and there is room for no other
            Path ours = Files.writeString(
                    folder.resolve("ours.toml"), "[memory]\n[[memory.caps]]\npurpose = \"calls\"\nentries = 1\n");
            builder.environment().put("GATEFRONT_EXTENSIONS", ours.toString());
        }
        return builder.redirectErrorStream(true).start();
    }

    private static Process relay(int server) throws IOException {
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
                        String.valueOf(server))
                .redirectErrorStream(true)
                .start();
    }

    private static void drain(BufferedReader lines) {
        try {
            while (lines.readLine() != null) {} // nobody reads them
        } catch (IOException e) {
            // it has been ended
        }
    }

    /** Reads on for as long as it runs, so that its log does not hold it up. */
    private static int listening(Process process) throws IOException {
        BufferedReader lines = process.inputReader();
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            Matcher port = PORT.matcher(line);
            if (port.find()) {
                Thread rest = new Thread(() -> drain(lines));
                rest.setDaemon(true);
                rest.start();
                return Integer.parseInt(port.group(1));
            }
        }
        throw new IOException("it has ended without listening");
    }
}
