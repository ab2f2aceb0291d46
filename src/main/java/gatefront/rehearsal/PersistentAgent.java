package gatefront.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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

/** An agent whose folder outlives its process, with a door for staff, reached over relays. */
final class PersistentAgent extends ProcessAgent {
    private static final int MANAGEMENT_PORT = 3002;

    private final Path folder;
    private final boolean recoveryEnabled;
    private final Set<String> disabledGuards;
    private final Consumer<Process> onProcessStarted;
    private InetSocketAddress clientAddress;
    private double clockOffsetSeconds;
    private int maxFileKilobytes;
    /** The list in the file that staff wrote: as it was at the first start. */
    private JsonNode initialServerList;

    /**
     * Not started yet.
     *
     * @param keeps whether it keeps what it is to know again
     * @param without guards that are switched off
     * @param begun is told of each process, on no loop
     */
    PersistentAgent(
            RunContext day,
            int number,
            InetAddress address,
            List<String> command,
            Path root,
            Executor starter,
            Consumer<String> log,
            boolean keeps,
            Set<String> without,
            Consumer<Process> begun) {
        super(day, number, address, command, root, starter, log);
        this.folder = root.resolve(name());
        this.recoveryEnabled = keeps;
        this.disabledGuards = without;
        this.onProcessStarted = begun;
    }

    /** The time of day of its next process is off by so many seconds. */
    void setClockOffset(double seconds) {
        clockOffsetSeconds = seconds;
    }

    /** Its next process may write no file longer than so many kilobytes; 0 for any. */
    void setMaxFileSize(int kilobytes) {
        maxFileKilobytes = kilobytes;
    }

    /** All that it keeps. */
    Path folder() {
        return folder;
    }

    /** Where staff reach it, without a relay. */
    InetSocketAddress managementAddress() {
        return machine().at(MANAGEMENT_PORT);
    }

    /** Its callers come over a relay from now on. */
    void setClientAddress(InetSocketAddress at) {
        clientAddress = at;
    }

    @Override
    InetSocketAddress callers() {
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
        if (maxFileKilobytes > 0) { // the system refuses what is beyond, as a full disk does
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
        StringBuilder own = new StringBuilder(super.extensions());
        if (recoveryEnabled) {
            own.append("[recovery]\nfolder = \"")
                    .append(folder.resolve("kept"))
                    .append("\"\ninstance = \"")
                    .append(name())
                    .append("\"\nmark_s = 0.5\ndoubt_s = 4\n");
        }
        if (!disabledGuards.isEmpty() || clockOffsetSeconds != 0) {
            own.append("[rehearsal]\nclock_s = ")
                    .append(clockOffsetSeconds)
                    .append("\nwithout = [")
                    .append(disabledGuards.stream()
                            .sorted()
                            .map(each -> '"' + each + '"')
                            .collect(Collectors.joining(", ")))
                    .append("]\n");
        }
        return own.toString();
    }

    @Override
    void onStarted(Process fresh) {
        onProcessStarted.accept(fresh);
    }
}
