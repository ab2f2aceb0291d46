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
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** An agent in a process of its own, as in service, on loopback sockets. */
final class ProcessAgent extends AgentStand {
    private static final int HEALTH_MS = 500;

    private final InetAddress address;
    private final Path file;
    private final List<String> command;
    private final Consumer<String> log;
    private Process process;

    /**
     * Not started yet.
     *
     * @param command how a java program is run, up to the command of the command line
     * @param folder where its configuration is written
     */
    ProcessAgent(Day day, int number, InetAddress address, List<String> command, Path folder, Consumer<String> log) {
        super(day, number);
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
        public InetSocketAddress at(int port) {
            return new InetSocketAddress(address, port);
        }

        @Override
        public long sentAt(Channel channel) {
            throw new UnsupportedOperationException("its channels are another process's");
        }

        @Override
        public boolean running() {
            return process != null && process.isAlive();
        }

        @Override
        public void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        @Override
        public void boot() { }

        @Override
        public void vanish() {
            throw new UnsupportedOperationException("agents do not vanish");
        }

        @Override
        public void appear() { }
    };

    @Override
    Machine machine() {
        return machine;
    }

    @Override
    void begin() {
        try {
            Files.writeString(file, config().toString());
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().put("RELAY_CONFIG", file.toString());
            if (day.form != null || day.padron.registry(number) != null) {
                Path extensions = Files.writeString(file.resolveSibling(name() + ".toml"), extensions());
                builder.environment().put("GATEFRONT_EXTENSIONS", extensions.toString());
            }
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Process mine = process;
        Thread reader = new Thread(() -> {
            try (BufferedReader lines = mine.inputReader(StandardCharsets.UTF_8)) {
                lines.lines().forEach(line -> day.loop().execute(() -> log.accept(line)));
            } catch (IOException | UncheckedIOException e) {
                // it has been killed
            }
        }, name() + " log");
        reader.setDaemon(true);
        reader.start();
    }

    /** {@link #besides()} as the agent's file has it. */
    private String extensions() {
        return (day.form == null ? "" : thriftTable()) + (day.padron.registry(number) == null ? "" : registryTable());
    }

    private String registryTable() {
        RegistrySettings settings = day.padron.registry(number);
        String members = settings.endpoints().stream()
            .map(each -> '"' + each.getAddress().getHostAddress() + ":" + each.getPort() + '"')
            .collect(Collectors.joining(", "));
        return "\n[registry]\nkind = \"" + settings.kind().name().toLowerCase(Locale.ROOT) + "\"\nendpoints = ["
            + members + "]\nprefix = \"" + settings.prefix() + "\"\npadron = \"instead\"\n";
    }

    private String thriftTable() {
        InetSocketAddress at = thriftAddress();
        StringBuilder text = new StringBuilder("[thrift]\nlisten = \"" + at.getAddress().getHostAddress() + ":"
            + at.getPort() + "\"\nnodo_port = " + NodoStand.THRIFT_PORT + "\nnodo_framed = " + day.form.framed()
            + "\nprobes = \"thrift\"\n");
        day.plan.classes().forEach(each -> text.append("\n[[thrift.methods]]\nname = \"" + each.name()
            + "\"\nclass = \"" + each.name() + "\"\ndeclares = true\n"));
        return text.toString();
    }

    /** Blocks for a moment; not to be asked on the loop. */
    @Override
    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(address(), HEALTH_MS);
            socket.setSoTimeout(HEALTH_MS);
            socket.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    void end() {
        machine.kill();
    }

    @Override
    void leave(Runnable then) {
        if (!machine.running()) {
            then.run();
            return;
        }
        process.onExit().thenRun(() -> day.loop().execute(() -> {
            day.padron.forgot(number);
            then.run();
        }));
        process.destroy();
    }

    @Override
    void reload() {
        try {
            Files.writeString(file, config().toString());
            new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
