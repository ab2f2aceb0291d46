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

/** The state file is either intact or not used. */
class RegistryStateFileTest {
    private static final RegistryStateFile.StoredState STATE = new RegistryStateFile.StoredState(
            7,
            42,
            1_796_112_000_000L,
            List.of(
                    new KeyEntry("oaxaca/nodos/a", "{\"zone\":\"año\"}\n", 3, 40),
                    new KeyEntry("oaxaca/nodos/b", "", 5, 5)));

    @TempDir
    private Path folder;

    @Test
    void writtenStateIsRead() throws IOException {
        Path file = folder.resolve("state");
        assertNull(RegistryStateFile.read(file), "a missing file is no error");
        RegistryStateFile.write(file, STATE);
        assertEquals(STATE, RegistryStateFile.read(file));
        RegistryStateFile.write(file, new RegistryStateFile.StoredState(7, 43, 0, List.of()));
        assertEquals(43, RegistryStateFile.read(file).revision());
        try (var files = Files.list(folder)) {
            assertEquals(1, files.count(), "no temporary file is left");
        }
    }

    /** Every changed byte and every truncation gives an error of one line and no state. */
    @Test
    void truncatedOrCorruptFileIsNotUsed() throws IOException {
        Path file = folder.resolve("state");
        RegistryStateFile.write(file, STATE);
        byte[] intact = Files.readAllBytes(file);
        for (int i = 0; i < intact.length; i++) {
            byte[] corrupt = intact.clone();
            corrupt[i] ^= 1;
            Files.write(file, corrupt);
            IOException exception = assertThrows(IOException.class, () -> RegistryStateFile.read(file), "byte " + i);
            assertTrue(
                    exception.getMessage().lines().count() == 1
                            && exception.getMessage().contains("not used"),
                    exception.getMessage());
            Files.write(file, java.util.Arrays.copyOf(intact, i));
            assertThrows(IOException.class, () -> RegistryStateFile.read(file), "length " + i);
        }
    }

    /** Guards against a file that has grown by a fault and would fill the heap at the start. */
    @Test
    void tooLargeFileIsNotRead() throws IOException {
        Path file = folder.resolve("state");
        try (RandomAccessFile sparse = new RandomAccessFile(file.toFile(), "rw")) {
            sparse.setLength((64L << 20) + 1);
        }
        IOException exception = assertThrows(IOException.class, () -> RegistryStateFile.read(file));
        assertTrue(exception.getMessage().contains("larger than such a file may be"), exception.getMessage());
        try (RandomAccessFile sparse = new RandomAccessFile(file.toFile(), "rw")) {
            sparse.write('\n');
            sparse.setLength(64L << 20);
        }
        exception = assertThrows(IOException.class, () -> RegistryStateFile.read(file));
        assertTrue(
                exception.getMessage().contains("is not whole"),
                "a file of the largest size is read: " + exception.getMessage());
    }

    /** A crash during a write leaves the old file. */
    @Test
    void incompleteTemporaryFileIsIgnored() throws IOException {
        Path file = folder.resolve("state");
        RegistryStateFile.write(file, STATE);
        Files.writeString(folder.resolve("state.new"), "gatefront-registry-1 7 43");
        assertEquals(STATE, RegistryStateFile.read(file));
        RegistryStateFile.write(file, STATE);
        assertEquals(STATE, RegistryStateFile.read(file));
    }
}
