package gatefront.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.registry.follower.KeyEntry;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The state on disk: whole, or not used. */
class RegistryStateFileTest {
    private static final RegistryStateFile.Kept KEPT = new RegistryStateFile.Kept(
            7,
            42,
            1_796_112_000_000L,
            List.of(
                    new KeyEntry("oaxaca/nodos/a", "{\"zone\":\"año\"}\n", 3, 40),
                    new KeyEntry("oaxaca/nodos/b", "", 5, 5)));

    @TempDir
    private Path folder;

    @Test
    void whatIsWrittenIsRead() throws IOException {
        Path file = folder.resolve("state");
        assertNull(RegistryStateFile.read(file), "none is no fault");
        RegistryStateFile.write(file, KEPT);
        assertEquals(KEPT, RegistryStateFile.read(file));
        RegistryStateFile.write(file, new RegistryStateFile.Kept(7, 43, 0, List.of()));
        assertEquals(43, RegistryStateFile.read(file).revision());
        try (var files = Files.list(folder)) {
            assertEquals(1, files.count(), "nothing is left beside it");
        }
    }

    /** Each byte that is another, and each length that is shorter: one line, and no state. */
    @Test
    void whatIsNotWholeIsNotUsed() throws IOException {
        Path file = folder.resolve("state");
        RegistryStateFile.write(file, KEPT);
        byte[] good = Files.readAllBytes(file);
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 1;
            Files.write(file, bad);
            IOException why = assertThrows(IOException.class, () -> RegistryStateFile.read(file), "byte " + i);
            assertTrue(
                    why.getMessage().lines().count() == 1 && why.getMessage().contains("not used"), why.getMessage());
            Files.write(file, java.util.Arrays.copyOf(good, i));
            assertThrows(IOException.class, () -> RegistryStateFile.read(file), "length " + i);
        }
    }

    /** Else a file that grew by some fault would take the heap at the start. */
    @Test
    void whatIsTooLargeIsNotRead() throws IOException {
        Path file = folder.resolve("state");
        try (RandomAccessFile sparse = new RandomAccessFile(file.toFile(), "rw")) {
            sparse.setLength((64L << 20) + 1);
        }
        IOException why = assertThrows(IOException.class, () -> RegistryStateFile.read(file));
        assertTrue(why.getMessage().contains("larger than such a file may be"), why.getMessage());
    }

    /** A crash while the new one is being written leaves the old one. */
    @Test
    void aHalfWrittenOneBesideItDoesNoHarm() throws IOException {
        Path file = folder.resolve("state");
        RegistryStateFile.write(file, KEPT);
        Files.writeString(folder.resolve("state.new"), "gatefront-registry-1 7 43");
        assertEquals(KEPT, RegistryStateFile.read(file));
        RegistryStateFile.write(file, KEPT);
        assertEquals(KEPT, RegistryStateFile.read(file));
    }
}
