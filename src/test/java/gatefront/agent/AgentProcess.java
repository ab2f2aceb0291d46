package gatefront.agent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An agent in a process of its own, with the memory limits and compiler of the deploy file's run line. */
final class AgentProcess implements Closeable {
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4 << 10;
    private static final Pattern MEMORY_OPTION = Pattern.compile("-X(?:X:\\+UseSerialGC|m[sx]\\w+|ss\\w+"
            + "|X:(?:Max\\w+|ReservedCodeCacheSize|TieredStopAtLevel)=\\w+)|-Dio\\.netty\\.\\S+");
    private static final Pattern LISTENING = Pattern.compile("^listening on .*:(\\d+)$", Pattern.MULTILINE);

    private final Process process;
    private final Path configFile;
    private final Path log;
    private final List<Socket> clients = new CopyOnWriteArrayList<>();

    /**
     * Starts an agent and waits until it is ready.
     *
     * @param folder folder of its files
     * @param config its configuration
     * @param extensions text of the extensions file; empty for none
     */
    AgentProcess(Path folder, ObjectNode config, String extensions) throws IOException {
        this(folder, config, extensions, Map.of());
    }

    /**
     * Starts an agent with more variables in its environment and waits until it is ready. One that starts in the folder
     * of another agent, on the same address, is its successor in an upgrade.
     */
    AgentProcess(Path folder, ObjectNode config, String extensions, Map<String, String> environment)
            throws IOException {
        configFile = Files.writeString(folder.resolve("config.json"), config.toString());
        log = Files.createTempFile(folder, "agent", ".log");
        ProcessBuilder builder =
                new ProcessBuilder(command()).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("RELAY_CONFIG", configFile.toString());
        builder.environment().put("TMPDIR", folder.toString());
        if (!extensions.isEmpty()) {
            builder.environment()
                    .put(
                            "GATEFRONT_EXTENSIONS",
                            Files.writeString(folder.resolve("extensions.toml"), extensions)
                                    .toString());
        }
        builder.environment().putAll(environment);
        process = builder.start();
        AgentFixture.await(this::isReady);
    }

    private static List<String> command() throws IOException {
        List<String> command = new ArrayList<>(List.of("java"));
        Matcher options = MEMORY_OPTION.matcher(Files.readString(Path.of("deploy/balancer.toml"))
                .lines()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow());
        while (options.find()) {
            command.add(options.group());
        }
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "gatefront.cli.Main", "serve"));
        return command;
    }

    private boolean isReady() {
        if (!process.isAlive()) {
            throw new AssertionError("the agent has ended: " + log());
        }
        if (port() == 0) {
            return false;
        }
        try (Socket socket = dial()) {
            ScriptedPeer.write(socket, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
            return ScriptedPeer.read(socket.getInputStream()).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private int port() {
        Matcher listening = LISTENING.matcher(log());
        return listening.find() ? Integer.parseInt(listening.group(1)) : 0;
    }

    /** Returns what the agent has logged. */
    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns the most resident memory that the process has had. */
    long peakMemoryBytes() throws IOException {
        String line = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(text -> text.startsWith("VmHWM:"))
                .findFirst()
                .orElseThrow();
        return 1024 * Long.parseLong(line.replaceAll("\\D", ""));
    }

    /** Opens a connection that is closed with the agent. */
    Socket dial() throws IOException {
        return connect(new Socket());
    }

    /** Opens a connection whose peer may send little ahead of what is read; it is closed with the agent. */
    Socket dialWithSmallReceiveBuffer() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        return connect(socket);
    }

    private Socket connect(Socket socket) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port()));
        socket.setSoTimeout((int) AgentFixture.TIMEOUT_MS);
        clients.add(socket);
        return socket;
    }

    /** Replaces the configuration file and sends SIGHUP. */
    void reload(ObjectNode config) throws IOException, InterruptedException {
        Files.writeString(configFile, config.toString());
        signal("HUP");
    }

    /** Suspends the process for a while. */
    void suspend(long millis) throws IOException, InterruptedException {
        signal("STOP");
        TimeUnit.MILLISECONDS.sleep(millis);
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    /** Sends SIGTERM and returns whether the process ends within {@code millis}. */
    boolean terminate(long millis) throws IOException, InterruptedException {
        signal("TERM");
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        for (Socket client : clients) {
            client.close();
        }
    }
}
