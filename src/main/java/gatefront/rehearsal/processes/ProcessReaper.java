package gatefront.rehearsal.processes;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Starts the processes of a rehearsal and kills those that remain when the rehearsal ends, even if the rehearsal itself
 * is killed at any moment. The reaper is a process of its own, which reads process ids from its standard input and acts
 * at the end of that input. A process is identified by its id and its start time, since the system reuses ids. Until
 * the reaper has been told of a process, that process runs only a shell that waits for one line from the rehearsal and
 * ends if the line does not come.
 */
public final class ProcessReaper implements Closeable {
    /** A moment during the start of a process, in order. */
    enum StartStep {
        /** The process exists and waits. */
        STARTED,
        /** The reaper has been told of the process. */
        WATCHED,
        /** The process may run its command. */
        RELEASED
    }

    /** Runs the command that follows once a line has arrived on standard input. */
    private static final List<String> WAIT_FOR_RELEASE =
            List.of("/bin/sh", "-c", "read -r release && exec \"$@\"", "sh");

    private final Process process;
    private final PrintStream commands;
    private final Consumer<StartStep> startObserver;

    private ProcessReaper(Process process, Consumer<StartStep> startObserver) {
        this.process = process;
        this.startObserver = startObserver;
        this.commands = new PrintStream(process.getOutputStream(), true, StandardCharsets.US_ASCII);
    }

    /** Starts a reaper process. */
    public static ProcessReaper start() throws IOException {
        return start(step -> {});
    }

    /** Starts a reaper process; {@code startObserver} is called at each step of a start, on the starting thread. */
    static ProcessReaper start(Consumer<StartStep> startObserver) throws IOException {
        Process reaper = new ProcessBuilder(
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
                .start();
        return new ProcessReaper(reaper, startObserver);
    }

    /**
     * Starts a process that is killed at the end of the rehearsal.
     *
     * @throws IOException if the process cannot be started, or the rehearsal has ended
     */
    public Process start(ProcessBuilder builder) throws IOException {
        List<String> command = new ArrayList<>(WAIT_FOR_RELEASE);
        command.addAll(builder.command());
        Process started = builder.command(command).start();
        startObserver.accept(StartStep.STARTED);
        if (!watch(started.pid())) {
            started.destroyForcibly();
            throw new IOException("process " + started.pid() + " is not started: the reaper has ended");
        }
        startObserver.accept(StartStep.WATCHED);
        try (OutputStream input = started.getOutputStream()) {
            input.write('\n');
        }
        startObserver.accept(StartStep.RELEASED);
        started.onExit().thenRun(() -> unwatch(started.pid()));
        return started;
    }

    /** Has a process killed at the end of the rehearsal; returns whether the reaper has been told. */
    public boolean watch(long pid) {
        return send("+ " + pid);
    }

    /** Stops watching a process that has exited. */
    public void unwatch(long pid) {
        send("- " + pid);
    }

    /** Sends a command to the reaper process; returns whether it can still be reached. */
    private synchronized boolean send(String line) {
        commands.println(line);
        return !commands.checkError();
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
