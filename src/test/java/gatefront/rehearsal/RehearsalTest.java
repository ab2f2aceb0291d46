package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.plan.PlanReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A plan and a seed decide everything, and the built-in days keep the rules. */
class RehearsalTest {
    @TempDir
    private Path dir;

    private static Plan rough(double seconds) throws Exception {
        return PlanReader.builtIn("rough").withSeconds(seconds);
    }

    @Test
    void theSamePlanAndSeedGiveTheSameBytesAndAnotherSeedOthers() throws Exception {
        byte[] first = JsonReport.toBytes(new Rehearsal(rough(20), 7).play());
        assertArrayEquals(first, JsonReport.toBytes(new Rehearsal(rough(20), 7).play()));
        assertFalse(Arrays.equals(first, JsonReport.toBytes(new Rehearsal(rough(20), 8).play())));
    }

    /** Guards against identity hash codes, salted orders, heap sizes and core counts that find their way in. */
    @Test
    void jvmsWithOtherHeapsAndCoresGiveTheSameBytes() throws Exception {
        Path small = other(
                "-Xmx96m",
                "-XX:ActiveProcessorCount=1",
                "-XX:+UseSerialGC",
                "-Duser.language=es",
                "-Duser.country=MX",
                "-XX:hashCode=2");
        Path large = other("-Xmx600m", "-XX:ActiveProcessorCount=8", "-XX:TieredStopAtLevel=1");
        byte[] bytes = Files.readAllBytes(small.resolve("report.json"));
        assertTrue(bytes.length > 1000);
        assertArrayEquals(bytes, Files.readAllBytes(large.resolve("report.json")));
        assertTrue(Files.readString(small.resolve("report.html")).contains("<svg"));
    }

    private Path other(String... options) throws Exception {
        Path folder = dir.resolve("report" + options[0]);
        List<String> command = new java.util.ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(List.of(options));
        command.addAll(List.of(
                "-XX:+UnlockExperimentalVMOptions",
                "-cp",
                System.getProperty("java.class.path"),
                "gatefront.cli.Main",
                "rehearse",
                "rough",
                "--seed",
                "5",
                "--report",
                folder.toString()));
        if (command.remove("-XX:hashCode=2")) {
            command.add(command.indexOf("-cp"), "-XX:hashCode=2");
        }
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(dir.resolve("out" + options[0]).toFile())
                .start();
        assertTrue(process.waitFor(120, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), Files.readString(dir.resolve("out" + options[0])));
        return folder;
    }

    @Test
    void aCalmDayIsServedWholeAndKeepsTheRules() throws Exception {
        RehearsalResult outcome = new Rehearsal(PlanReader.builtIn("calm").withSeconds(30), 3).play();
        assertEquals(List.of(), outcome.breaches());
        assertTrue(outcome.service() > 0.97, outcome.line());
    }

    /** Guards against a rig in which nothing can go wrong: the rush must cost something, and not everything. */
    @Test
    void theRushCostsServiceAndKeepsTheRules() throws Exception {
        RehearsalResult outcome = new Rehearsal(PlanReader.builtIn("cashier-rush"), 1).play();
        assertEquals(List.of(), outcome.breaches());
        assertTrue(outcome.service() > 0.7 && outcome.service() < 0.99, outcome.line());
    }

    @Test
    void seedsAreSummedUpInTheirOrder() throws Exception {
        SeedCampaign.Summary summary = SeedCampaign.play(rough(12), 1, 6, done -> {}, broken -> {});
        assertEquals(6, summary.runs());
        assertEquals(0, summary.brokenRuns(), summary.format());
        RehearsalResult third = new Rehearsal(rough(12), 3).play();
        assertTrue(summary.services().contains(third.service()), "threads beside it change nothing");
    }
}
