package gatefront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/** Checks the commands that {@link Main} runs itself and its usage text. */
class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        return Main.run(args, new PrintStream(out), new PrintStream(err));
    }

    @Test
    void helpIsPrintedToStandardOutput() {
        assertEquals(0, run("--help"));
        assertEquals(Main.USAGE, out.toString().strip());
        assertEquals("", err.toString());
    }

    @Test
    void serveWithoutUsableConfigurationReportsTheReasonInOneLine() {
        assertEquals(1, Main.serve(null, null, null, null, new PrintStream(err)));
        assertEquals(1, Main.serve("no/such/file", null, null, null, new PrintStream(err)));
        assertEquals(
                "gatefront: RELAY_CONFIG is not set" + System.lineSeparator()
                        + "gatefront: cannot read no/such/file: no/such/file",
                err.toString().strip());
    }

    @Test
    void missingAndUnknownCommandsPrintTheUsageToStandardError() {
        assertEquals(2, run());
        assertEquals(2, run("unknown"));
        assertEquals("", out.toString());
        assertEquals(
                Main.USAGE + System.lineSeparator() + Main.USAGE, err.toString().strip());
    }
}
