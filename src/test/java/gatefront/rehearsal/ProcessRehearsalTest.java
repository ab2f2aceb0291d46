package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.check.RuleChecker.Rule;
import gatefront.rehearsal.processes.ProcessPlanReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Agents in processes of their own with faults between them. Whether answers are in time depends on the machine that
 * the tests share, and is for campaigns by hand; what must hold on any machine is asserted here, and that the judge
 * finds it where the guard is off.
 */
@Timeout(120)
class ProcessRehearsalTest {
    private static final int AGENTS = 14;

    @TempDir
    private Path dir;

    private ProcessRehearsalResult play(String plan, double seconds, String... without) throws Exception {
        String text = ProcessPlanReader.builtInText(plan).replaceFirst("seconds = \\d+", "seconds = " + seconds);
        return new ProcessRehearsal(
                        ProcessPlanReader.parse(plan, text, AGENTS),
                        1,
                        RealRehearsal.ownCommand(),
                        Set.of(without),
                        dir.resolve("history.jsonl"))
                .play(done -> {});
    }

    private static long broken(ProcessRehearsalResult outcome, Rule rule) {
        return outcome.outcome().breaches().stream()
                .filter(each -> each.rule() == rule)
                .count();
    }

    @Test
    void callsByHandHoldOverDeathsAndALostStoreIsTold() throws Exception {
        ProcessRehearsalResult outcome = play("state-lost", 15);
        assertEquals(List.of(), outcome.hand().breaches());
        assertTrue(outcome.hand().drainedPairs() >= 2 * AGENTS, "every agent said yes to both calls");
        assertEquals(
                0, broken(outcome, Rule.NO_EFFECT_TWICE), outcome.breaches().toString());
        String history = Files.readString(dir.resolve("history.jsonl"));
        for (String each :
                List.of("no store", "the store is damaged", "that of agent-1", "before this start: either")) {
            assertTrue(history.contains(each), each);
        }
    }

    @Test
    void withoutWhatKeepsThemTheJudgeFindsIt() throws Exception {
        assertNotEquals(
                0, play("state-lost", 15, "kept-bans", "named-loss").hand().count());
    }

    @Test
    void aProcessThatStoodStillSendsNothingToWhatDrainedMeanwhile() throws Exception {
        ProcessRehearsalResult outcome = play("stopped-and-woken", 14);
        assertEquals(0, broken(outcome, Rule.DRAINS_KEPT), outcome.breaches().toString());
        assertTrue(Files.readString(dir.resolve("history.jsonl")).contains("recovery: process was stalled for"));
    }

    @Test
    void withoutTheGuardTheJudgeFindsThatToo() throws Exception {
        assertNotEquals(0, broken(play("stopped-and-woken", 14, "waking"), Rule.DRAINS_KEPT));
    }

    @Test
    void whoKillsTheRigKillsItsProcesses() throws Exception {
        Process rig = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gatefront.cli.Main",
                        "rehearse",
                        "processes",
                        "crash-loop",
                        "--agents",
                        "3")
                .redirectErrorStream(true)
                .redirectOutput(dir.resolve("out").toFile())
                .start();
        List<ProcessHandle> children = List.of();
        while (children.size() < 4) { // the warden and three agents
            assertTrue(rig.isAlive(), Files.readString(dir.resolve("out")));
            TimeUnit.MILLISECONDS.sleep(20);
            children = rig.descendants().toList();
        }
        rig.destroyForcibly();
        for (ProcessHandle each : children) {
            each.onExit().get(30, TimeUnit.SECONDS);
        }
    }
}
