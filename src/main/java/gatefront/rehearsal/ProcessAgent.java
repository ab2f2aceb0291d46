package gatefront.rehearsal;

import gatefront.registry.RegistrySettings;
import gatefront.rehearsal.net.Machine;
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
 * An agent in a process of its own, as in service, on loopback sockets. Processes are started and signalled on other
 * threads than the loop: a start takes milliseconds, and with twenty of them the loop would be late for all others.
 */
class ProcessAgent extends AgentStandIn {
    private static final int HEALTH_MS = 500;

    private final InetAddress address;
    private final Path file;
    private final List<String> command;
    private final Consumer<String> log;
    private final Executor starter;
    /** The newest one, as soon as it has been started; null before the first. */
    private volatile CompletableFuture<Process> process;

    /**
     * Not started yet.
     *
     * @param command how a java program is run, up to the command of the command line
     * @param folder where its configuration is written
     * @param starter starts processes and sends signals
     */
    ProcessAgent(
            RunContext day,
            int number,
            InetAddress address,
            List<String> command,
            Path folder,
            Executor starter,
            Consumer<String> log) {
        super(day, number);
        this.starter = starter;
        this.address = address;
        this.command = command;
        this.file = folder.resolve(name() + ".json");
        this.log = log;
    }

    private final Machine machine = new Machine() {
        @Override
        public String name() {
            return ProcessAgent.this.name();
        }

        @Override
        public Transport transport() {
            throw new UnsupportedOperationException("it is another process's");
        }

        @Override
        public InetSocketAddress address(int port) {
            return new InetSocketAddress(address, port);
        }

        @Override
        public long sentAtNanos(Channel channel) {
            throw new UnsupportedOperationException("its channels are another process's");
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
        CompletableFuture<Process> fresh = new CompletableFuture<>();
        process = fresh;
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        try {
            builder.environment().put("RELAY_CONFIG", configuration(file).toString());
            String own = extensions();
            if (!own.isEmpty()) {
                builder.environment()
                        .put(
                                "GATEFRONT_EXTENSIONS",
                                Files.writeString(file.resolveSibling(name() + ".toml"), own)
                                        .toString());
            }
            prepare(builder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        starter.execute(() -> {
            try {
                Process started = builder.start();
                started(started);
                fresh.complete(started);
                follow(started);
            } catch (IOException e) {
                fresh.completeExceptionally(e);
                context.loop()
                        .execute(() -> context.checker.reportLeftover(
                                context.now(), name() + " cannot be started: " + e.getMessage()));
            }
        });
    }

    /** Writes the configuration, and tells where. */
    Path configuration(Path to) throws IOException {
        return Files.writeString(to, config().toString());
    }

    /** More of what a process is started with. */
    void prepare(ProcessBuilder builder) throws IOException {}

    /** A process has been started; not on the loop. */
    void started(Process fresh) {}

    /** Has something done with the process as soon as it has been started; not on the loop. */
    final void signalled(Consumer<Process> what) {
        process.thenAcceptAsync(what, starter);
    }

    /** Sends the process a signal by its name. */
    final void signal(String name) {
        signalled(mine -> {
            try {
                new ProcessBuilder("kill", "-" + name, String.valueOf(mine.pid())).start();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private void follow(Process mine) {
        Thread reader = new Thread(
                () -> {
                    try (BufferedReader lines = mine.inputReader(StandardCharsets.UTF_8)) {
                        lines.lines().forEach(line -> context.loop().execute(() -> log.accept(line)));
                    } catch (IOException | UncheckedIOException | RejectedExecutionException e) {
                        // it has been killed, or the day is over
                    }
                },
                name() + " log");
        reader.setDaemon(true);
        reader.start();
    }

    /** {@link #agentExtensions()} as the agent's file has it. */
    String extensions() {
        return (context.thriftFormat == null ? "" : thriftTable())
                + (context.padron.registrySettings(number) == null ? "" : registryTable());
    }

    private String registryTable() {
        RegistrySettings settings = context.padron.registrySettings(number);
        String members = settings.endpoints().stream()
                .map(each -> '"' + each.getAddress().getHostAddress() + ":" + each.getPort() + '"')
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
                .forEach(each -> text.append("\n[[thrift.methods]]\nname = \"" + each.name() + "\"\nclass = \""
                        + each.name() + "\"\ndeclares = true\n"));
        return text.toString();
    }

    /** Blocks for a moment; not to be asked on the loop. */
    @Override
    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(address(), HEALTH_MS);
            socket.setSoTimeout(HEALTH_MS);
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
        signalled(mine -> {
            mine.onExit().thenRun(() -> context.loop().execute(() -> {
                context.padron.agentReset(number);
                then.run();
            }));
            mine.destroy();
        });
    }

    @Override
    void reload() {
        try {
            configuration(file);
            signal("HUP");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
