package gatefront.rehearsal.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that no process of a rehearsal outlives it. */
class ProcessReaperTest {
    private static final int EXIT_TIMEOUT_SECONDS = 30;

    /** Guards against a process that is left behind by a rig that is killed while it starts that process. */
    @ParameterizedTest
    @EnumSource(ProcessReaper.StartStep.class)
    void killingTheRigDuringAStartKillsTheProcess(ProcessReaper.StartStep step) throws Exception {
        Process rig = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        KilledRig.class.getName(),
                        step.name())
                .redirectErrorStream(true)
                .start();
        try (BufferedReader output =
                new BufferedReader(new InputStreamReader(rig.getInputStream(), StandardCharsets.UTF_8))) {
            assertEquals(KilledRig.REACHED, output.readLine());
            List<ProcessHandle> children = rig.descendants().toList();
            assertEquals(2, children.size(), "the reaper and the process");
            rig.destroyForcibly();
            for (ProcessHandle child : children) {
                child.onExit().get(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
        }
    }

    @Test
    void processesThatRemainAreKilledAtTheEnd() throws Exception {
        ProcessReaper reaper = ProcessReaper.start();
        Process remaining = reaper.start(new ProcessBuilder("sleep", "600"));
        assertTrue(remaining.isAlive());
        reaper.close();
        assertTrue(remaining.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** Guards against a process that is started when nobody is left to kill it. */
    @Test
    void nothingIsStartedAfterTheEnd() throws Exception {
        AtomicReference<List<ProcessHandle>> children = new AtomicReference<>(List.of());
        ProcessReaper reaper = ProcessReaper.start(
                step -> children.set(ProcessHandle.current().children().toList()));
        reaper.close();
        assertThrows(IOException.class, () -> reaper.start(new ProcessBuilder("sleep", "600")));
        assertTrue(!children.get().isEmpty());
        for (ProcessHandle child : children.get()) {
            child.onExit().get(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    @Test
    void theCommandGetsItsArgumentsAndItsExitStatus() throws Exception {
        try (ProcessReaper reaper = ProcessReaper.start()) {
            Process started = reaper.start(new ProcessBuilder("sh", "-c", "echo \"$1\"; exit 3", "sh", "a  b'c"));
            assertEquals("a  b'c\n", new String(started.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
            assertEquals(3, started.waitFor());
        }
    }
}
