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
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The rig's parts that need no agent. */
class ProcessPartsTest {
    @TempDir
    private Path dir;

    @Test
    void theWardenEndsWhatIsLeftWhenItsMasterIsGone() throws Exception {
        Process left = new ProcessBuilder("sleep", "600").start();
        Process over = new ProcessBuilder("sleep", "600").start();
        try (ProcessReaper warden = ProcessReaper.start()) {
            warden.charge(left.pid());
            warden.charge(over.pid());
            warden.discharge(over.pid());
        }
        assertTrue(left.waitFor(10, TimeUnit.SECONDS), "it is ended");
        assertTrue(over.isAlive(), "what it no longer answers for is left alone");
        over.destroyForcibly();
    }

    @Test
    void foldersAreCopiedTornFlippedAndRemoved() throws IOException {
        Path from = Files.createDirectories(dir.resolve("a/inner"));
        Path file = Files.write(from.resolve("f"), new byte[100]);
        FolderFaults.copy(dir.resolve("a"), dir.resolve("b"));
        FolderFaults.flip(dir.resolve("a"), 1234);
        byte[] flipped = Files.readAllBytes(file);
        assertEquals(
                1,
                java.util.stream.IntStream.range(0, 100)
                        .filter(i -> flipped[i] != 0)
                        .count());
        FolderFaults.tear(dir.resolve("a"));
        assertEquals(75, Files.size(file));
        assertArrayEquals(new byte[100], Files.readAllBytes(dir.resolve("b/inner/f")));
        from.toFile().setWritable(false);
        FolderFaults.remove(dir.resolve("a"));
        assertTrue(!Files.exists(dir.resolve("a")));
        assertNull(FolderFaults.newest(Files.createDirectory(dir.resolve("c"))));
    }

    @Test
    void aCallByHandHoldsOverProcessesUntilTheCallBackOrATellingLoss() {
        ManualDrainChecker hand = new ManualDrainChecker(500_000);
        hand.confirmed(0, 1, 7, true, true);
        hand.attemptStarted(400_000, 1, 7);
        hand.close(9_000_000);
        assertEquals(0, hand.count(), "within the grace");
        hand.attemptStarted(600_000, 2, 7);
        hand.attemptStarted(600_000, 1, 8);
        hand.close(9_000_000);
        assertEquals(0, hand.count(), "nobody took these out");
        hand.attemptStarted(5_000_000, 1, 7);
        hand.attemptStarted(5_100_000, 1, 7);
        hand.close(9_000_000);
        assertEquals(1, hand.count(), hand.breaches().toString());
        hand.processEnded(10_000_000, 1);
        hand.attemptStarted(11_000_000, 1, 7);
        hand.lossReported(11_500_000, 1);
        hand.attemptStarted(15_000_000, 1, 7);
        hand.close(20_000_000);
        assertEquals(1, hand.count(), "it said in time that it does not know");
        hand.processEnded(20_000_000, 1);
        hand.attemptStarted(21_000_000, 1, 7);
        hand.lossReported(24_000_000, 1);
        assertEquals(2, hand.count(), "it said so too late");
        hand.processEnded(25_000_000, 1);
        hand.confirmed(26_000_000, 1, 7, false, true);
        hand.attemptStarted(27_000_000, 1, 7);
        hand.close(40_000_000);
        assertEquals(2, hand.count(), "put back");
        hand.confirmed(50_000_000, 1, 7, true, false);
        hand.attemptStarted(51_000_000, 1, 7);
        hand.close(60_000_000);
        assertEquals(3, hand.count(), "it holds as long as the process does");
        hand.processEnded(61_000_000, 1);
        hand.attemptStarted(62_000_000, 1, 7);
        hand.close(70_000_000);
        assertEquals(3, hand.count(), "and staff were told that it ends with it");
    }

    @Test
    void fullServiceIsFiveSecondsAtTheTwins() {
        ServiceCurve twin = new ServiceCurve(30);
        ServiceCurve day = new ServiceCurve(30);
        for (int i = 0; i < 300; i++) {
            long at = i * 100_000L;
            twin.record(at, 1, i % 50 != 0);
            day.record(at, 1, i < 100 || i >= 145 && i % 50 != 0);
        }
        assertEquals(4.25, day.secondsUntilFull(10, twin), 0.26);
        assertEquals(0, twin.secondsUntilFull(10, twin), 0);
        assertEquals(-1, new ServiceCurve(30).secondsUntilFull(10, twin), 0);
        assertEquals(0, day.servedShare(10, 14), 0);
        assertEquals(1, day.servedShare(0, 10), 0);
    }

    @Test
    void latenessIsWhatLiesBetween() {
        LoopLateness late = new LoopLateness();
        late.seen(1_000, 1_500);
        assertEquals(0, late.worst(), "what any timer has");
        late.seen(10_000, 50_000);
        assertEquals(40_000, late.between(0, 10_000));
        assertEquals(40_000, late.between(49_000, 90_000));
        assertEquals(0, late.between(51_000, 90_000));
        assertEquals(1, late.over(20_000));
        late.opens();
        assertEquals(0, late.worst());
    }

    @Test
    void builtInPlansAreReadAtTheirSizeAndSmaller() throws TomlException {
        for (String each : ProcessPlanReader.BUILT_IN) {
            assertEquals(
                    24, ProcessPlanReader.builtIn(each, null).day().agents().count());
            ProcessPlan small = ProcessPlanReader.builtIn(each, 14);
            assertEquals(14, small.day().nodos().count());
            assertTrue(small.firstFault() > 0);
            assertEquals(0, small.twin().day().faults().size());
        }
    }

    @Test
    void whatIsWrongWithAPlanIsOneLineAndItsPlace() {
        assertEquals(
                "p:6: faults.0.state: goes with kind = \"kill\": a folder is changed while its process is dead",
                wrong("kind = \"term\"\nat_s = 1\nstate = \"wiped\"\n"));
        assertEquals(
                "p:4: faults.0.kind: \"kil\" is none of kill, term, stop, crash-loop, cut, delay, throttle, "
                        + "reset, half-open, out, back; did you mean \"kill\"?",
                wrong("kind = \"kil\"\nat_s = 1\n"));
        assertTrue(wrong("kind = \"out\"\nat_s = 1\n").contains("says who is taken out"));
        assertTrue(wrong("kind = \"kill\"\nat_s = 1\nnodos = [\"nodo-1\"]\n").contains("means nothing for kill"));
        assertTrue(wrong("kind = \"cut\"\nat_s = 1\n").contains("says which links"));
        assertTrue(wrong("kind = \"delay\"\nat_s = 1\nlinks = \"all\"\n").contains("size"));
        assertTrue(wrong("kind = \"kill\"\nat_s = 1\nstate = \"older\"\n").contains("saved_s"));
        assertTrue(wrong("kind = \"kill\"\nat_s = 1\nnames = [\"agent-99\"]\n").contains("agent-1 to agent-24"));
        assertTrue(wrong("kind = \"kill\"\nat_s = 1\n[[world]]\nkind = \"agent-kill\"\nat_s = 1\n")
                .contains("not of the world"));
    }

    private static String wrong(String fault) {
        return assertThrows(
                        TomlException.class,
                        () -> ProcessPlanReader.parse("p", "name = \"p\"\nseconds = 10\n[[faults]]\n" + fault, null))
                .getMessage();
    }
}
