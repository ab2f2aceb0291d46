package gatefront.rehearsal.processes;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.check.ManualDrainChecker;
import gatefront.rehearsal.check.ServiceCurve;
import gatefront.toml.TomlException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the parts of the process rig that need no agent. */
class ProcessPartsTest {
    @TempDir
    private Path dir;

    @Test
    void reaperKillsWatchedProcessesWhenItsInputEnds() throws Exception {
        Process watched = new ProcessBuilder("sleep", "600").start();
        Process unwatched = new ProcessBuilder("sleep", "600").start();
        try (ProcessReaper reaper = ProcessReaper.start()) {
            reaper.watch(watched.pid());
            reaper.watch(unwatched.pid());
            reaper.unwatch(unwatched.pid());
        }
        assertTrue(watched.waitFor(10, TimeUnit.SECONDS), "the watched process is killed");
        assertTrue(unwatched.isAlive(), "a process that is no longer watched keeps running");
        unwatched.destroyForcibly();
    }

    @Test
    void foldersAreCopiedTruncatedBitFlippedAndDeleted() throws IOException {
        Path from = Files.createDirectories(dir.resolve("a/inner"));
        Path file = Files.write(from.resolve("f"), new byte[100]);
        FolderFaults.copy(dir.resolve("a"), dir.resolve("b"));
        FolderFaults.flipBitInNewestFile(dir.resolve("a"), 1234);
        byte[] flipped = Files.readAllBytes(file);
        assertEquals(
                1,
                java.util.stream.IntStream.range(0, 100)
                        .filter(i -> flipped[i] != 0)
                        .count());
        FolderFaults.truncateNewestFile(dir.resolve("a"));
        assertEquals(75, Files.size(file));
        assertArrayEquals(new byte[100], Files.readAllBytes(dir.resolve("b/inner/f")));
        from.toFile().setWritable(false);
        FolderFaults.delete(dir.resolve("a"));
        assertTrue(!Files.exists(dir.resolve("a")));
        assertNull(FolderFaults.newestFile(Files.createDirectory(dir.resolve("c"))));
    }

    /** Guards against a flipped bit in the last frame of a store, which is no damage but the end of the log. */
    @Test
    void flippedBitIsInTheFirstHalfOfTheFile() throws IOException {
        for (int selector = -100; selector < 100; selector++) {
            byte[] intact = new byte[100];
            Path file = Files.write(dir.resolve("file"), intact);
            FolderFaults.flipBitInNewestFile(dir, selector);
            int changed = Arrays.mismatch(intact, Files.readAllBytes(file));
            assertTrue(changed >= 0 && changed < intact.length / 2, "byte " + changed + " of selector " + selector);
        }
    }

    @Test
    void manualDrainHoldsAcrossRestartsUntilUndoneOrReportedLost() {
        ManualDrainChecker checker = new ManualDrainChecker(500_000);
        checker.confirmed(0, 1, 7, true, true);
        checker.attemptStarted(400_000, 1, 7);
        checker.close(9_000_000);
        assertEquals(0, checker.count(), "within the grace period");
        checker.attemptStarted(600_000, 2, 7);
        checker.attemptStarted(600_000, 1, 8);
        checker.close(9_000_000);
        assertEquals(0, checker.count(), "these pairs are not drained");
        checker.attemptStarted(5_000_000, 1, 7);
        checker.attemptStarted(5_100_000, 1, 7);
        checker.close(9_000_000);
        assertEquals(1, checker.count(), checker.breaches().toString());
        checker.processEnded(10_000_000, 1);
        checker.attemptStarted(11_000_000, 1, 7);
        checker.lossReported(11_500_000, 1);
        checker.attemptStarted(15_000_000, 1, 7);
        checker.close(20_000_000);
        assertEquals(1, checker.count(), "the agent reported the loss in time");
        checker.processEnded(20_000_000, 1);
        checker.attemptStarted(21_000_000, 1, 7);
        checker.lossReported(24_000_000, 1);
        assertEquals(2, checker.count(), "the agent reported the loss too late");
        checker.processEnded(25_000_000, 1);
        checker.confirmed(26_000_000, 1, 7, false, true);
        checker.attemptStarted(27_000_000, 1, 7);
        checker.close(40_000_000);
        assertEquals(2, checker.count(), "the server was put back");
        checker.confirmed(50_000_000, 1, 7, true, false);
        checker.attemptStarted(51_000_000, 1, 7);
        checker.close(60_000_000);
        assertEquals(3, checker.count(), "a drain that is not stored holds while the process runs");
        checker.processEnded(61_000_000, 1);
        checker.attemptStarted(62_000_000, 1, 7);
        checker.close(70_000_000);
        assertEquals(3, checker.count(), "the operator was told that the drain ends with the process");
    }

    @Test
    void serviceIsFullAfterFiveSecondsAtTheLevelOfTheBaseline() {
        ServiceCurve baseline = new ServiceCurve(30);
        ServiceCurve faulty = new ServiceCurve(30);
        for (int i = 0; i < 300; i++) {
            long at = i * 100_000L;
            baseline.record(at, 1, i % 50 != 0);
            faulty.record(at, 1, i < 100 || i >= 145 && i % 50 != 0);
        }
        assertEquals(4.25, faulty.secondsUntilFull(10, baseline), 0.26);
        assertEquals(0, baseline.secondsUntilFull(10, baseline), 0);
        assertEquals(-1, new ServiceCurve(30).secondsUntilFull(10, baseline), 0);
        assertEquals(0, faulty.servedShare(10, 14), 0);
        assertEquals(1, faulty.servedShare(0, 10), 0);
    }

    @Test
    void latenessIsTheLongestDelayThatOverlapsThePeriod() {
        LoopLateness lateness = new LoopLateness();
        lateness.record(1_000, 1_500);
        assertEquals(0, lateness.maxMicros(), "ordinary timer inaccuracy");
        lateness.record(10_000, 50_000);
        assertEquals(40_000, lateness.maxBetween(0, 10_000));
        assertEquals(40_000, lateness.maxBetween(49_000, 90_000));
        assertEquals(0, lateness.maxBetween(51_000, 90_000));
        assertEquals(1, lateness.countOver(20_000));
        lateness.reset();
        assertEquals(0, lateness.maxMicros());
    }

    @Test
    void builtInPlansAreReadAtTheirOwnSizeAndScaledDown() throws TomlException {
        for (String name : ProcessPlanReader.BUILT_IN) {
            assertEquals(
                    24,
                    ProcessPlanReader.builtIn(name, null).basePlan().agents().count());
            ProcessPlan small = ProcessPlanReader.builtIn(name, 14);
            assertEquals(14, small.basePlan().nodos().count());
            assertTrue(small.firstFaultSecond() > 0);
            assertEquals(0, small.baseline().basePlan().faults().size());
        }
    }

    @Test
    void invalidPlanGivesOneLineWithItsPlace() {
        assertEquals(
                "p:6: faults.0.state: requires kind = \"kill\": a folder is changed while its process is not running",
                errorOf("kind = \"term\"\nat_s = 1\nstate = \"wiped\"\n"));
        assertEquals(
                "p:4: faults.0.kind: \"kil\" is none of kill, term, stop, crash-loop, cut, delay, throttle, "
                        + "reset, half-open, out, back, signals, crowd; did you mean \"kill\"?",
                errorOf("kind = \"kil\"\nat_s = 1\n"));
        assertTrue(errorOf("kind = \"out\"\nat_s = 1\n").contains("names the nodos that are drained"));
        assertTrue(errorOf("kind = \"kill\"\nat_s = 1\nnodos = [\"nodo-1\"]\n").contains("does not apply to kill"));
        assertTrue(errorOf("kind = \"cut\"\nat_s = 1\n")
                .contains("is missing; expected one of nodos, padron, callers, door, all"));
        assertTrue(errorOf("kind = \"delay\"\nat_s = 1\nlinks = \"all\"\n").contains("size"));
        assertTrue(errorOf("kind = \"kill\"\nat_s = 1\nstate = \"older\"\n").contains("saved_s"));
        assertTrue(
                errorOf("kind = \"kill\"\nat_s = 1\nnames = [\"agent-99\"]\n").contains("agent-1 to agent-24"));
        assertTrue(errorOf("kind = \"kill\"\nat_s = 1\n[[world]]\nkind = \"agent-kill\"\nat_s = 1\n")
                .contains("does not apply to [[world]]"));
    }

    private static String errorOf(String fault) {
        return assertThrows(
                        TomlException.class,
                        () -> ProcessPlanReader.parse("p", "name = \"p\"\nseconds = 10\n[[faults]]\n" + fault, null))
                .getMessage();
    }
}
