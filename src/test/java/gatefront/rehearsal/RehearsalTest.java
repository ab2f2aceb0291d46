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

/** A plan and a seed determine the whole run, and the built-in plans keep the rules. */
class RehearsalTest {
    @TempDir
    private Path dir;

    private static Plan rough(double seconds) throws Exception {
        return PlanReader.builtIn("rough").withSeconds(seconds);
    }

    /** Guards against requests that a shutdown ends in an order which differs from run to run. */
    @Test
    void samePlanAndSeedGiveIdenticalReports() throws Exception {
        byte[] first = JsonReport.toBytes(new Rehearsal(rough(20), 7).run());
        assertArrayEquals(first, JsonReport.toBytes(new Rehearsal(rough(20), 7).run()));
        assertFalse(Arrays.equals(first, JsonReport.toBytes(new Rehearsal(rough(20), 8).run())));
    }

    /**
     * Guards against identity hash codes, salted iteration orders, heap sizes or core counts that influence the
     * report.
     */
    @Test
    void reportDoesNotDependOnHeapOrCores() throws Exception {
        Path small = reportOfOtherJvm(
                "-Xmx96m",
                "-XX:ActiveProcessorCount=1",
                "-XX:+UseSerialGC",
                "-Duser.language=es",
                "-Duser.country=MX",
                "-XX:hashCode=2");
        Path large = reportOfOtherJvm("-Xmx600m", "-XX:ActiveProcessorCount=8", "-XX:TieredStopAtLevel=1");
        byte[] bytes = Files.readAllBytes(small.resolve("report.json"));
        assertTrue(bytes.length > 1000);
        assertArrayEquals(bytes, Files.readAllBytes(large.resolve("report.json")));
        assertTrue(Files.readString(small.resolve("report.html")).contains("<svg"));
    }

    private Path reportOfOtherJvm(String... options) throws Exception {
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
    void calmPlanIsFullyServedAndKeepsTheRules() throws Exception {
        RehearsalResult result = new Rehearsal(PlanReader.builtIn("calm").withSeconds(30), 3).run();
        assertEquals(List.of(), result.breaches());
        assertTrue(result.service() > 0.97, result.summary());
    }

    /**
     * Guards against a rehearsal in which nothing can go wrong: the rush must reduce the service, but not to nothing.
     */
    @Test
    void rushReducesServiceAndKeepsTheRules() throws Exception {
        RehearsalResult result = new Rehearsal(PlanReader.builtIn("cashier-rush"), 1).run();
        assertEquals(List.of(), result.breaches());
        assertTrue(result.service() > 0.7 && result.service() < 0.99, result.summary());
    }

    @Test
    void campaignSummarizesSeedsInOrder() throws Exception {
        SeedCampaign.Summary summary = SeedCampaign.play(rough(12), 1, 6, done -> {}, broken -> {});
        assertEquals(6, summary.runs());
        assertEquals(0, summary.brokenRuns(), summary.format());
        RehearsalResult third = new Rehearsal(rough(12), 3).run();
        assertTrue(summary.services().contains(third.service()), "parallel runs must not change the result");
    }
}
