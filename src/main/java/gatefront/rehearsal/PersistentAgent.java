package gatefront.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.rehearsal.processes.ProcessReaper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** An agent with a folder that outlives its process and a management endpoint, reached over relays. */
final class PersistentAgent extends ProcessAgent {
    private static final int MANAGEMENT_PORT = 3002;

    private final Path folder;
    private final boolean recoveryEnabled;
    private final Set<String> disabledGuards;
    private final Consumer<Process> onProcessStarted;
    private InetSocketAddress clientAddress;
    private double clockOffsetSeconds;
    private int maxFileKilobytes;
    /** The server list of the configuration file; stays as it was at the first start. */
    private JsonNode initialServerList;

    /**
     * Creates an agent that is not started yet.
     *
     * @param recoveryEnabled whether it stores the state that it recovers after a restart
     * @param disabledGuards safeguards that are switched off
     * @param onProcessStarted receives each new process, not on the event loop
     */
    PersistentAgent(
            RunContext day,
            int number,
            InetAddress address,
            List<String> command,
            Path root,
            ProcessReaper reaper,
            Executor starter,
            Consumer<String> log,
            boolean recoveryEnabled,
            Set<String> disabledGuards,
            Consumer<Process> onProcessStarted) {
        super(day, number, address, command, root, reaper, starter, log);
        this.folder = root.resolve(name());
        this.recoveryEnabled = recoveryEnabled;
        this.disabledGuards = disabledGuards;
        this.onProcessStarted = onProcessStarted;
    }

    /** Sets the offset of the wall clock of the next process. */
    void setClockOffset(double seconds) {
        clockOffsetSeconds = seconds;
    }

    /** Sets the largest file that the next process can write; 0 for no limit. */
    void setMaxFileSize(int kilobytes) {
        maxFileKilobytes = kilobytes;
    }

    /** Returns the folder with the stored state. */
    Path folder() {
        return folder;
    }

    /** Returns the address of the management endpoint, without a relay. */
    InetSocketAddress managementAddress() {
        return machine().address(MANAGEMENT_PORT);
    }

    /** Sets the address that clients connect to, that of a relay. */
    void setClientAddress(InetSocketAddress address) {
        clientAddress = address;
    }

    @Override
    InetSocketAddress clientAddress() {
        return clientAddress;
    }

    @Override
    Path writeConfiguration(Path to) throws IOException {
        ObjectNode root = config();
        initialServerList = initialServerList == null ? root.get("known") : initialServerList;
        root.set("known", initialServerList);
        return Files.writeString(to, root.toString());
    }

    @Override
    void customize(ProcessBuilder builder) throws IOException {
        if (maxFileKilobytes > 0) { // the system refuses to write beyond the limit, as with a full disk
            List<String> limited =
                    new ArrayList<>(List.of("bash", "-c", "ulimit -f " + maxFileKilobytes + "; exec \"$@\"", "bash"));
            limited.addAll(builder.command());
            builder.command(limited);
        }
        builder.environment()
                .put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        builder.environment()
                .put("RELAY_MANAGEMENT", managementAddress().getAddress().getHostAddress() + ":" + MANAGEMENT_PORT);
    }

    @Override
    String extensions() {
        StringBuilder text = new StringBuilder(super.extensions());
        if (recoveryEnabled) {
            text.append("[recovery]\nfolder = \"")
                    .append(folder.resolve("kept"))
                    .append("\"\ninstance = \"")
                    .append(name())
                    .append("\"\nmark_s = 0.5\ndoubt_s = 4\n");
        }
        if (!disabledGuards.isEmpty() || clockOffsetSeconds != 0) {
            text.append("[rehearsal]\nclock_s = ")
                    .append(clockOffsetSeconds)
                    .append("\nwithout = [")
                    .append(disabledGuards.stream()
                            .sorted()
                            .map(guard -> '"' + guard + '"')
                            .collect(Collectors.joining(", ")))
                    .append("]\n");
        }
        return text.toString();
    }

    @Override
    void onStarted(Process started) {
        onProcessStarted.accept(started);
    }
}
