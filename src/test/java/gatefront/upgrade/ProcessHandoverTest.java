package gatefront.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.membership.ServerBans;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests two processes of one agent in a shared folder, with files that may be truncated, old or foreign. */
class ProcessHandoverTest {
    private static final Map<String, ServerBans.Entry> ENTRIES =
            Map.of("s 1", new ServerBans.Entry(true, 7), "s-2", new ServerBans.Entry(false, 9));

    @TempDir
    private Path folder;

    private final List<String> log = new ArrayList<>();

    private ProcessHandover open(String name) throws IOException {
        return new ProcessHandover(folder, name, log::add);
    }

    @Test
    void secondProcessIsSuccessorUntilTheFirstEnds() throws IOException {
        ProcessHandover first = open("1");
        assertFalse(first.isSuccessor());
        assertFalse(first.hasSuccessor());
        ProcessHandover second = open("2");
        assertTrue(second.isSuccessor());
        assertTrue(first.hasSuccessor());
        first.publishBans(ENTRIES);
        assertEquals(ENTRIES, second.poll());
        assertEquals(Map.of(), second.poll(), "an unchanged file is not reported again");
        first.close();
        second.poll();
        assertFalse(second.isSuccessor());
        assertFalse(second.hasSuccessor());
        second.publishBans(ENTRIES);
        second.deleteOtherFiles();
        ProcessHandover third = open("3");
        assertTrue(second.hasSuccessor());
        assertEquals(ENTRIES, third.poll());
        second.close();
        third.close();
    }

    /** Guards against missing a change that is written within the same tick of the file timestamps. */
    @Test
    void changeWithinTheSameFileTimestampIsRead() throws IOException {
        ProcessHandover first = open("1");
        ProcessHandover second = open("2");
        FileTime timestamp = FileTime.fromMillis(1_000_000);
        for (boolean out : List.of(true, false, true)) {
            Map<String, ServerBans.Entry> entries = Map.of("s", new ServerBans.Entry(out, out ? 5 : 55));
            first.publishBans(entries);
            Files.setLastModifiedTime(folder.resolve("gatefront-bans-1"), timestamp);
            assertEquals(entries, second.poll());
        }
        first.close();
        second.close();
    }

    @Test
    void successorThatFailsBeforeServingIsForgotten() throws IOException {
        ProcessHandover first = open("1");
        open("2").close();
        assertFalse(first.hasSuccessor());
        first.close();
    }

    @Test
    void truncatedOldOrForeignFilesAreLoggedAndIgnored() throws IOException {
        String text = BanFileFormat.write(ENTRIES);
        assertEquals(ENTRIES, BanFileFormat.read(text));
        for (int length = 0; length < text.length(); length++) {
            String part = text.substring(0, length);
            assertThrows(IllegalArgumentException.class, () -> BanFileFormat.read(part), part);
        }
        ProcessHandover first = open("1");
        int lines = 0;
        for (String content : List.of("", "lemonspan-bans 2\n", text.replace("out", "in"), text.substring(1), "\0")) {
            Files.writeString(folder.resolve("gatefront-bans-x" + lines++), content);
            assertEquals(Map.of(), first.poll());
            assertEquals(lines, log.size());
        }
        first.close();
    }
}
