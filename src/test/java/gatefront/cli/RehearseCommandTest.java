package gatefront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gatefront.rehearsal.plan.PlanReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the exit statuses and the output of the commands rehearse and plan. */
class RehearseCommandTest {
    @TempDir
    private Path dir;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        out.reset();
        err.reset();
        return Main.run(args, new PrintStream(out), new PrintStream(err));
    }

    private String plan(String name, String appendedToml) throws Exception {
        Path file = dir.resolve(name);
        Files.writeString(
                file,
                PlanReader.builtInText("demo")
                                .replace("seconds = 1", "seconds = 6")
                                .replace("rate = 1", "rate = 60")
                        + appendedToml);
        return file.toString();
    }

    @Test
    void aRunThatKeepsTheRulesExitsWithZeroAndWritesTheReport() throws Exception {
        assertEquals(
                0,
                run("rehearse", plan("a.toml", ""), "--report", dir.resolve("r").toString()));
        assertTrue(out.toString().contains("all rules kept"), out.toString());
        assertTrue(Files.readString(dir.resolve("r/report.json")).startsWith("{"));
        assertEquals(0, run("rehearse", plan("a.toml", ""), "--json"));
        assertEquals(Files.readString(dir.resolve("r/report.json")), out.toString());
        assertEquals(0, run("rehearse", plan("a.toml", ""), "--seeds", "1..3"));
        assertTrue(out.toString().contains("3 seeds"), out.toString());
    }

    /** The plan sets a limit so small that a single request makes a nodo that has just started fail. */
    @Test
    void aRunThatBreaksARuleExitsWithThreeAndNamesTheRule() throws Exception {
        String breakingPlan = plan(
                "b.toml",
                "[rules]\nfall_multiple = 1\nfall_s = 0.1\n[[faults]]\nkind = \"die\"\n"
                        + "at_s = 1\nfor_s = 1\nshare = 1.0\n");
        Files.writeString(
                Path.of(breakingPlan),
                Files.readString(Path.of(breakingPlan)).replace("count = 4", "count = 4\ncold_from = 0.15"));
        assertEquals(Commands.CHECK_FAILED, run("rehearse", breakingPlan));
        assertTrue(out.toString().contains("BROKEN no cold fall"), out.toString());
        Path small = dir.resolve("small.toml");
        assertEquals(Commands.CHECK_FAILED, run("rehearse", breakingPlan, "--shrink", small.toString()));
        assertEquals(
                Commands.CHECK_FAILED,
                run("rehearse", small.toString()),
                "the shrunk plan must break the rule as well");
    }

    @Test
    void anUnusablePlanExitsWithOneAndPrintsOneLine() throws Exception {
        assertEquals(1, run("rehearse", plan("c.toml", "[[faults]]\nkind = \"dye\"\n")));
        assertEquals(1, err.toString().lines().count(), err.toString());
        assertTrue(
                err.toString().contains("c.toml:") && err.toString().contains("did you mean \"die\"?"), err.toString());
        assertEquals(1, run("plan", "nothing"));
        assertEquals(1, run("plan", "--check", dir.resolve("c.toml").toString()));
    }

    @Test
    void resizingAPlanKeepsTheRequestRateOfEachNodo() throws Exception {
        assertEquals(0, run("rehearse", plan("a.toml", ""), "--agents", "7", "--nodos", "12", "--json"));
        var report = new ObjectMapper().readTree(out.toString());
        assertEquals(7, report.get("agents").asInt());
        assertEquals(12, report.get("nodos").asInt());
        assertEquals(180, report.get("rate").asDouble(), 1e-9, "the plan has 60 requests a second for 4 nodos");
        assertEquals(2, run("rehearse", "calm", "--nodos", "0"));
        assertEquals(2, run("rehearse", "calm", "--agents", "10001"));
        String planWithNamedNodo =
                plan("n.toml", "[[faults]]\nkind = \"die\"\nat_s = 1\nfor_s = 1\nnames = [\"nodo-4\"]\n");
        assertEquals(0, run("rehearse", planWithNamedNodo, "--nodos", "4"));
        assertEquals(2, run("rehearse", planWithNamedNodo, "--nodos", "3"));
        assertTrue(err.toString().contains("a fault of the plan names nodo-4, but there are only 3"), err.toString());
    }

    @Test
    void invalidUsageExitsWithTwo() {
        assertEquals(2, run("rehearse", "--sed", "1"));
        assertEquals(2, run("rehearse", "calm", "--seeds", "5..1"));
        assertEquals(2, run("rehearse", "calm", "--seeds", "five"));
    }

    @Test
    void plansAreListedAndPrinted() throws Exception {
        assertEquals(0, run("plan"));
        assertTrue(out.toString().lines().toList().contains("rough"));
        assertEquals(0, run("plan", "rough"));
        assertEquals(PlanReader.builtInText("rough"), out.toString());
    }
}
