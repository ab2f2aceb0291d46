package gatefront.rehearsal.processes;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Ends the processes of a rehearsal when the rehearsal ends, however that comes: a process of its own, told of each of
 * them over its input, which ends with whoever wrote to it. A process is known by its id and the time of its start,
 * since ids are given again.
 */
public final class ProcessReaper implements Closeable {
    private final Process process;
    private final PrintStream commands;

    private ProcessReaper(Process process) {
        this.process = process;
        this.commands = new PrintStream(process.getOutputStream(), true, StandardCharsets.US_ASCII);
    }

    /** Starts one. */
    public static ProcessReaper start() throws IOException {
        return new ProcessReaper(new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx16m",
                        "-Xss256k",
                        "-cp",
                        System.getProperty("java.class.path"),
                        ProcessReaper.class.getName())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start());
    }

    /** From now on it answers for a process. */
    public synchronized void watch(long pid) {
        commands.println("+ " + pid);
    }

    /** A process has ended. */
    public synchronized void unwatch(long pid) {
        commands.println("- " + pid);
    }

    /** Its own id. */
    public long pid() {
        return process.pid();
    }

    /** Ends what is left, and itself. */
    @Override
    public void close() {
        commands.close();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            process.destroyForcibly();
        }
    }

    /** The process itself. */
    public static void main(String[] args) throws IOException {
        Map<Long, Optional<Instant>> charged = new HashMap<>();
        BufferedReader told = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = told.readLine(); line != null; line = told.readLine()) {
            long pid = Long.parseLong(line.substring(2));
            if (line.charAt(0) == '+') {
                ProcessHandle.of(pid)
                        .ifPresent(each -> charged.put(pid, each.info().startInstant()));
            } else {
                charged.remove(pid);
            }
        }
        charged.forEach((pid, since) -> ProcessHandle.of(pid)
                .filter(each -> each.info().startInstant().equals(since))
                .ifPresent(ProcessHandle::destroyForcibly));
    }
}
