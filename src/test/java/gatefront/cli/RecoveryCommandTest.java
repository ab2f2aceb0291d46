package gatefront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the exit statuses and the output of the recovery commands. */
class RecoveryCommandTest {
    @TempDir
    private Path dir;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        out.reset();
        err.reset();
        return Main.run(args, new PrintStream(out), new PrintStream(err));
    }

    @Test
    void beginCreatesAStoreOnceAndShowReportsMissingOnes() throws IOException {
        String folder = dir.resolve("kept").toString();
        assertEquals(1, run("recovery", "show", folder), "the folder does not exist");
        assertEquals(0, run("recovery", "begin", folder, "--instance", "a"));
        assertEquals(1, run("recovery", "begin", folder, "--instance", "a"));
        assertTrue(err.toString().contains("already exists; nothing was changed"), err.toString());
        assertEquals(0, run("recovery", "show", folder));
        assertTrue(out.toString().startsWith("instance a, start number 1, written up to 20"), out.toString());
        assertEquals(0, run("recovery", "show", folder, "--json"));
        assertTrue(out.toString().startsWith("{\"instance\":\"a\",\"life\":1,"), out.toString());
        Files.createDirectory(dir.resolve("empty"));
        assertEquals(
                Commands.CHECK_FAILED,
                run("recovery", "show", dir.resolve("empty").toString()));
        assertTrue(out.toString().startsWith("MISSING "), out.toString());
        assertEquals(2, run("recovery"));
    }
}
