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

/** Two processes of one agent in a folder, by files that may be torn, old or of others. */
class ProcessHandoverTest {
    private static final Map<String, ServerBans.Entry> SOME =
            Map.of("s 1", new ServerBans.Entry(true, 7), "s-2", new ServerBans.Entry(false, 9));

    @TempDir
    private Path folder;

    private final List<String> log = new ArrayList<>();

    private ProcessHandover enter(String name) throws IOException {
        return new ProcessHandover(folder, name, log::add);
    }

    @Test
    void theSecondFollowsUntilTheFirstHasEndedAndTheFirstKnowsOfIt() throws IOException {
        ProcessHandover first = enter("1");
        assertFalse(first.isSuccessor());
        assertFalse(first.hasSuccessor());
        ProcessHandover second = enter("2");
        assertTrue(second.isSuccessor());
        assertTrue(first.hasSuccessor());
        first.publishBans(SOME);
        assertEquals(SOME, second.poll());
        assertEquals(Map.of(), second.poll(), "what has not changed is not read again");
        first.close();
        second.poll();
        assertFalse(second.isSuccessor());
        assertFalse(second.hasSuccessor());
        second.publishBans(SOME);
        second.deleteOtherFiles();
        ProcessHandover third = enter("3");
        assertTrue(second.hasSuccessor());
        assertEquals(SOME, third.poll());
        second.close();
        third.close();
    }

    /** Guards against what is written within the same tick of the clock that files are stamped with. */
    @Test
    void whatChangesWithoutANewTimeIsReadToo() throws IOException {
        ProcessHandover first = enter("1");
        ProcessHandover second = enter("2");
        FileTime then = FileTime.fromMillis(1_000_000);
        for (boolean out : List.of(true, false, true)) {
            Map<String, ServerBans.Entry> entries = Map.of("s", new ServerBans.Entry(out, out ? 5 : 55));
            first.publishBans(entries);
            Files.setLastModifiedTime(folder.resolve("gatefront-bans-1"), then);
            assertEquals(entries, second.poll());
        }
        first.close();
        second.close();
    }

    @Test
    void oneThatFailsBeforeItServesIsForgotten() throws IOException {
        ProcessHandover first = enter("1");
        enter("2").close();
        assertFalse(first.hasSuccessor());
        first.close();
    }

    @Test
    void whatIsTornOldOrForeignIsToldAndNotBelieved() throws IOException {
        String whole = BanFileFormat.write(SOME);
        assertEquals(SOME, BanFileFormat.read(whole));
        for (int cut = 0; cut < whole.length(); cut++) {
            String part = whole.substring(0, cut);
            assertThrows(IllegalArgumentException.class, () -> BanFileFormat.read(part), part);
        }
        ProcessHandover first = enter("1");
        int lines = 0;
        for (String text : List.of("", "lemonspan-bans 2\n", whole.replace("out", "in"), whole.substring(1), "\0")) {
            Files.writeString(folder.resolve("gatefront-bans-x" + lines++), text);
            assertEquals(Map.of(), first.poll());
            assertEquals(lines, log.size());
        }
        first.close();
    }
}
