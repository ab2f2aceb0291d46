package gatefront.rehearsal;

import gatefront.registry.RegistrySettings;
import gatefront.rehearsal.net.Machine;
import gatefront.rehearsal.processes.ProcessReaper;
import gatefront.transport.Transport;
import io.netty.channel.Channel;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * An agent in a process of its own, as in production, on loopback sockets. Processes are started and signalled on other
 * threads than the event loop: a start takes milliseconds, and twenty of them would make the loop late for everything
 * else.
 */
class ProcessAgent extends AgentStandIn {
    private static final int HEALTH_TIMEOUT_MS = 500;

    private final InetAddress address;
    private final Path configFile;
    private final List<String> command;
    private final Consumer<String> log;
    private final ProcessReaper reaper;
    private final Executor starter;
    /** The latest process, completed when it has been started; null before the first start. */
    private volatile CompletableFuture<Process> process;

    /**
     * Creates an agent that is not started yet.
     *
     * @param command the command that runs an agent
     * @param folder the folder that its configuration is written to
     * @param reaper starts the processes, and kills them if the rehearsal is killed
     * @param starter the executor that starts processes and sends signals
     * @param log receives the log lines of the process, on the event loop
     */
    ProcessAgent(
            RunContext day,
            int number,
            InetAddress address,
            List<String> command,
            Path folder,
            ProcessReaper reaper,
            Executor starter,
            Consumer<String> log) {
        super(day, number);
        this.reaper = reaper;
        this.starter = starter;
        this.address = address;
        this.command = command;
        this.configFile = folder.resolve(name() + ".json");
        this.log = log;
    }

    private final Machine machine = new Machine() {
        @Override
        public String name() {
            return ProcessAgent.this.name();
        }

        @Override
        public Transport transport() {
            throw new UnsupportedOperationException("the transport belongs to another process");
        }

        @Override
        public InetSocketAddress address(int port) {
            return new InetSocketAddress(address, port);
        }

        @Override
        public long sentAtNanos(Channel channel) {
            throw new UnsupportedOperationException("the channels belong to another process");
        }

        @Override
        public boolean running() {
            CompletableFuture<Process> newest = process;
            return newest != null
                    && (!newest.isDone()
                            || !newest.isCompletedExceptionally()
                                    && newest.join().isAlive());
        }

        @Override
        public void kill() {
            if (process != null) {
                process.thenAccept(Process::destroyForcibly);
            }
        }

        @Override
        public void boot() {}

        @Override
        public void isolate() {
            throw new UnsupportedOperationException("agents do not vanish");
        }

        @Override
        public void reconnect() {}
    };

    @Override
    Machine machine() {
        return machine;
    }

    @Override
    void startProcess() {
        CompletableFuture<Process> starting = new CompletableFuture<>();
        process = starting;
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        try {
            builder.environment()
                    .put("RELAY_CONFIG", writeConfiguration(configFile).toString());
            String extensions = extensions();
            if (!extensions.isEmpty()) {
                builder.environment()
                        .put(
                                "GATEFRONT_EXTENSIONS",
                                Files.writeString(configFile.resolveSibling(name() + ".toml"), extensions)
                                        .toString());
            }
            customize(builder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        starter.execute(() -> {
            try {
                Process started = reaper.start(builder);
                onStarted(started);
                starting.complete(started);
                forwardOutput(started);
            } catch (IOException e) {
                starting.completeExceptionally(e);
                context.loop()
                        .execute(() -> context.checker.reportLeftover(
                                context.now(), name() + " cannot be started: " + e.getMessage()));
            }
        });
    }

    /** Writes the configuration and returns its path. */
    Path writeConfiguration(Path to) throws IOException {
        return Files.writeString(to, config().toString());
    }

    /** Adds to the environment and the command of a process before its start. */
    void customize(ProcessBuilder builder) throws IOException {}

    /** Called when a process has been started, not on the event loop. */
    void onStarted(Process started) {}

    /** Runs an action with the process once it has been started, not on the event loop. */
    final void withProcess(Consumer<Process> action) {
        process.thenAcceptAsync(action, starter);
    }

    /** Sends a signal to the process; the name is one that {@code kill} accepts. */
    final void signal(String name) {
        withProcess(running -> {
            try {
                new ProcessBuilder("kill", "-" + name, String.valueOf(running.pid())).start();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private void forwardOutput(Process running) {
        Thread reader = new Thread(
                () -> {
                    try (BufferedReader lines = running.inputReader(StandardCharsets.UTF_8)) {
                        lines.lines().forEach(line -> context.loop().execute(() -> log.accept(line)));
                    } catch (IOException | UncheckedIOException | RejectedExecutionException e) {
                        // the process was killed, or the rehearsal is over
                    }
                },
                name() + " log");
        reader.setDaemon(true);
        reader.start();
    }

    /** Returns {@link #agentExtensions()} as the text of the extensions file. */
    String extensions() {
        return (context.thriftFormat == null ? "" : thriftTable())
                + (context.padron.registrySettings(number) == null ? "" : registryTable());
    }

    private String registryTable() {
        RegistrySettings settings = context.padron.registrySettings(number);
        String members = settings.endpoints().stream()
                .map(member -> '"' + member.getAddress().getHostAddress() + ":" + member.getPort() + '"')
                .collect(Collectors.joining(", "));
        return "\n[registry]\nkind = \"" + settings.kind().name().toLowerCase(Locale.ROOT) + "\"\nendpoints = ["
                + members + "]\nprefix = \"" + settings.prefix() + "\"\npadron = \"instead\"\n";
    }

    private String thriftTable() {
        InetSocketAddress at = thriftAddress();
        StringBuilder text = new StringBuilder("[thrift]\nlisten = \""
                + at.getAddress().getHostAddress() + ":"
                + at.getPort() + "\"\nnodo_port = " + NodoStandIn.THRIFT_PORT + "\nnodo_framed = "
                + context.thriftFormat.framed()
                + "\nprobes = \"thrift\"\n");
        context.plan
                .classes()
                .forEach(requestClass -> text.append("\n[[thrift.methods]]\nname = \"" + requestClass.name()
                        + "\"\nclass = \"" + requestClass.name() + "\"\ndeclares = true\n"));
        return text.toString();
    }

    /** Returns whether the health check succeeds. Blocks for up to a second; not for use on the event loop. */
    @Override
    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(address(), HEALTH_TIMEOUT_MS);
            socket.setSoTimeout(HEALTH_TIMEOUT_MS);
            socket.getOutputStream()
                    .write("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    void endProcess() {
        machine.kill();
    }

    @Override
    void shutDown(Runnable then) {
        if (!machine.running()) {
            then.run();
            return;
        }
        withProcess(running -> {
            running.onExit().thenRun(() -> context.loop().execute(() -> {
                context.padron.agentReset(number);
                then.run();
            }));
            running.destroy();
        });
    }

    @Override
    void reload() {
        try {
            writeConfiguration(configFile);
            signal("HUP");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
