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
    private static final int DOOR_PORT = 3002;

    private final Path folder;
    private final boolean keeps;
    private final Set<String> without;
    private final Consumer<Process> begun;
    private InetSocketAddress front;
    private double clockOff;
    private int diskMost;
    /** The list in the file that staff wrote: as it was at the first start. */
    private JsonNode known;

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
        this.keeps = keeps;
        this.without = without;
        this.begun = begun;
    }

    /** The time of day of its next process is off by so many seconds. */
    void clockOff(double seconds) {
        clockOff = seconds;
    }

    /** Its next process may write no file longer than so many kilobytes; 0 for any. */
    void diskMost(int kilobytes) {
        diskMost = kilobytes;
    }

    /** All that it keeps. */
    Path folder() {
        return folder;
    }

    /** Where staff reach it, without a relay. */
    InetSocketAddress door() {
        return machine().address(DOOR_PORT);
    }

    /** Its callers come over a relay from now on. */
    void front(InetSocketAddress at) {
        front = at;
    }

    @Override
    InetSocketAddress clientAddress() {
        return front;
    }

    @Override
    Path configuration(Path to) throws IOException {
        ObjectNode root = config();
        known = known == null ? root.get("known") : known;
        root.set("known", known);
        return Files.writeString(to, root.toString());
    }

    @Override
    void prepare(ProcessBuilder builder) throws IOException {
        if (diskMost > 0) { // the system refuses what is beyond, as a full disk does
            List<String> limited =
                    new ArrayList<>(List.of("bash", "-c", "ulimit -f " + diskMost + "; exec \"$@\"", "bash"));
            limited.addAll(builder.command());
            builder.command(limited);
        }
        builder.environment()
                .put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        builder.environment().put("RELAY_MANAGEMENT", door().getAddress().getHostAddress() + ":" + DOOR_PORT);
    }

    @Override
    String extensions() {
        StringBuilder own = new StringBuilder(super.extensions());
        if (keeps) {
            own.append("[recovery]\nfolder = \"")
                    .append(folder.resolve("kept"))
                    .append("\"\ninstance = \"")
                    .append(name())
                    .append("\"\nmark_s = 0.5\ndoubt_s = 4\n");
        }
        if (!without.isEmpty() || clockOff != 0) {
            own.append("[rehearsal]\nclock_s = ")
                    .append(clockOff)
                    .append("\nwithout = [")
                    .append(without.stream()
                            .sorted()
                            .map(each -> '"' + each + '"')
                            .collect(Collectors.joining(", ")))
                    .append("]\n");
        }
        return own.toString();
    }

    @Override
    void started(Process fresh) {
        begun.accept(fresh);
    }
}
