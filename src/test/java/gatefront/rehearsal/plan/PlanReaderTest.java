package gatefront.rehearsal.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.toml.TomlException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What is wrong with a plan is one line with file, line, key and what was meant. */
class PlanReaderTest {
    @TempDir
    private Path dir;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "cashier-rush",
                "calm",
                "rough",
                "large",
                "fleet-herd",
                "fleet-zone",
                "fleet-join",
                "mass-join",
                "mass-zone",
                "mass-herd",
                "mass-roll"
            })
    void theBuiltInPlansAreReadAndComeBackFromWhatIsWritten(String name) throws Exception {
        Plan plan = PlanReader.builtIn(name);
        assertEquals(name, plan.name());
        assertEquals(plan, PlanReader.parse("written", PlanWriter.text(plan)));
    }

    /** A line of the rush is replaced by a wrong one; the message is that of the line. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "rate = 210 | rat = 210 | callers.rat: unknown key; did you mean \"rate\"?",
                "rate = 210 | # none | callers.rate: is missing; expected a number from 0.01 to 1000000",
                "rate = 210 | rate = \"210/s\" | callers.rate: must be a number, or a range of two as in [1, 2], not "
                        + "\"210/s\"; the unit is part of the key's name",
                "rate = 210 | rate = [200, 220] | callers.rate: must be one number, not a range",
                "rate = 210 | rate = -1 | callers.rate: -1 is not within 0.01 to 1000000",
                "retries = 2 | retries = 2.5 | callers.retries: must be a whole number, not 2.5",
                "count = 5 | count = 0 | agents.count: 0 is not within 1 to 10000",
                "at_s = 45 | at_s = 100 | faults.5.at_s: 100 is not within 0 to 60",
                "cross_ms = [1.4, 2.6] | cross_ms = [2.6, 1.4] | network.cross_ms: the range [2.6,1.4] is reversed; the "
                        + "lower bound comes first",
                "names = [\"nodo-2\"] | names = [\"nodo-15\"] | faults.5.names: \"nodo-15\" is none of nodo-1 to nodo-14",
                "names = [\"nodo-2\"] | names = [\"agent-2\"] | faults.5.names: \"agent-2\" is none of nodo-1 to nodo-14",
                "kind = \"leave\" | kind = \"leaves\" | faults.5.kind: \"leaves\" is none of die, slow, fail, taken, drain, "
                        + "leave, vanish, cut-off, replace, succeed, break-off, jump, hurry, padron-silent, registry-down, registry-slow, "
                        + "registry-compact, agent-kill, agent-restart, "
                        + "agent-reload; did you mean \"leave\"?",
                "window_ms = 4000 | # none | classes.2.window_ms: is missing; expected a number from 1 to 3600000",
                "aim_ms = 400 | aim_ms = 4000 | classes.1.aim_ms: is later than give_up_ms, when nobody waits any more",
                "name = \"etla\" | name = \"zaachila\" | tenants: \"zaachila\" stands there twice",
                "size = [0.4, 0.9] | size = [0.4, 9] | faults.3.size: is a part for fail, from 0 to 1",
                "kind = \"jump\" | kind = \"jump\"~zone = \"sala-norte\" | zone: means nothing for jump: it meets all",
                "names = [\"nodo-2\"] | zone = \"sala-nort\" | faults.5.zone: \"sala-nort\" is none of sala-centro, "
                        + "sala-norte; did you mean \"sala-norte\"?",
                "names = [\"nodo-2\"] | spread_s = -1 | faults.5.spread_s: -1 is not within 0 to 3600",
                "[padron] | [padron]~calls_s = -1 | padron.calls_s: -1 is not within 0 to 1000000",
                "marks = 1 | marks = 1 | name: is missing; expected a name in quotes",
                "worth_by = \"work\" | worth_by = \"wrk\" | worth_by: \"wrk\" is none of request, work; did you mean \"work\"?",
                "[padron] | [padrón] | is not TOML"
            })
    void aFaultyPlanGivesOneLine(String right, String wrong, String message) throws Exception {
        String text = PlanReader.builtInText("cashier-rush");
        boolean mark = right.equals("marks = 1");
        assertTrue(mark || text.contains(right), "the plan has that line");
        String broken = mark
                ? text.replaceFirst("name = \"cashier-rush\"\n", "")
                : text.replace(right, wrong.replace('~', '\n'));
        String said = assertThrows(TomlException.class, () -> PlanReader.parse("plan.toml", broken))
                .getMessage();
        assertEquals(1, said.lines().count(), said);
        assertTrue(said.contains(message), said);
        assertTrue(said.matches("plan\\.toml:[0-9]+: .*"), said);
        int line = Integer.parseInt(said.split(":")[1]);
        if (!wrong.startsWith("#") && !mark && !message.startsWith("tenants")) {
            assertTrue(
                    broken.lines()
                            .toList()
                            .get(line - 1)
                            .contains(wrong.substring(wrong.indexOf('~') + 1).replaceAll("^\\[padr.*", "[padr")),
                    said);
        }
    }

    @Test
    void aFileThatIsMissingOrNoTextSaysSo() throws Exception {
        assertTrue(assertThrows(TomlException.class, () -> PlanReader.read(dir.resolve("none")))
                .getMessage()
                .contains("no such file; built in are cashier-rush"));
        Path binary = dir.resolve("binary");
        Files.write(binary, new byte[] {(byte) 0xff, (byte) 0xfe, 0, 1});
        assertTrue(assertThrows(TomlException.class, () -> PlanReader.read(binary))
                .getMessage()
                .contains("is not valid UTF-8"));
        Path large = dir.resolve("large");
        Files.write(large, new byte[2 << 20]);
        assertTrue(assertThrows(TomlException.class, () -> PlanReader.read(large))
                .getMessage()
                .contains("is larger than the limit of 1 MiB"));
    }
}
