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
 * Kills the remaining processes of a rehearsal when the rehearsal ends, even if the rehearsal itself is killed. The
 * reaper is a process of its own, which reads process ids from its standard input and acts at the end of that input. A
 * process is identified by its id and its start time, since the system reuses ids.
 */
public final class ProcessReaper implements Closeable {
    private final Process process;
    private final PrintStream commands;

    private ProcessReaper(Process process) {
        this.process = process;
        this.commands = new PrintStream(process.getOutputStream(), true, StandardCharsets.US_ASCII);
    }

    /** Starts a reaper process. */
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

    /** Has a process killed at the end of the rehearsal. */
    public synchronized void watch(long pid) {
        commands.println("+ " + pid);
    }

    /** Stops watching a process that has exited. */
    public synchronized void unwatch(long pid) {
        commands.println("- " + pid);
    }

    /** Returns the process id of the reaper. */
    public long pid() {
        return process.pid();
    }

    /** Kills the watched processes that still run, and waits for the reaper to exit. */
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

    /** Entry point of the reaper process. Reads lines {@code + pid} and {@code - pid} until the end of the input. */
    public static void main(String[] args) throws IOException {
        Map<Long, Optional<Instant>> watched = new HashMap<>();
        BufferedReader input = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = input.readLine(); line != null; line = input.readLine()) {
            long pid = Long.parseLong(line.substring(2));
            if (line.charAt(0) == '+') {
                ProcessHandle.of(pid)
                        .ifPresent(handle -> watched.put(pid, handle.info().startInstant()));
            } else {
                watched.remove(pid);
            }
        }
        watched.forEach((pid, startedAt) -> ProcessHandle.of(pid)
                .filter(handle -> handle.info().startInstant().equals(startedAt))
                .ifPresent(ProcessHandle::destroyForcibly));
    }
}
