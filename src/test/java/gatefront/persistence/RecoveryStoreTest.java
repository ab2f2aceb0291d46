package gatefront.persistence;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.membership.ServerBans;
import gatefront.recovery.Recovery.StoreStatus;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What an instance finds again in its folder, and what it is told where it does not. */
class RecoveryStoreTest {
    @TempDir
    private Path dir;

    private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private long clock = 5_000_000;

    private RecoveryStore.Opened open(String instance) {
        return RecoveryStore.open(dir.resolve("kept"), instance, loop::add, () -> clock);
    }

    private void kept(RecoveryStore keeper, String name, ServerBans.Entry entry) throws Exception {
        CompletableFuture<IOException> told = new CompletableFuture<>();
        keeper.saveBan(name, entry, told::complete);
        while (!told.isDone()) {
            loop.poll(10, TimeUnit.SECONDS).run();
        }
        assertNull(told.join());
    }

    private static void end(RecoveryStore keeper) throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        keeper.close(() -> ended.complete(null));
        ended.get(10, TimeUnit.SECONDS);
    }

    @Test
    void whatWasKeptIsThereAgainInItsNextLife() throws Exception {
        RecoveryStore.Opened first = open("a");
        assertEquals(StoreStatus.MISSING, first.status());
        kept(first.store(), "nodo-1", new ServerBans.Entry(true, 7));
        kept(first.store(), "nodo-2", new ServerBans.Entry(true, 8));
        kept(first.store(), "nodo-2", new ServerBans.Entry(false, 9));
        kept(first.store(), "nodo-3", new ServerBans.Entry(true, 9));
        kept(first.store(), "nodo-3", null);
        first.store().saveServerList(42, new byte[] {1, 2, 3});
        clock = 6_000_000;
        first.store().saveAliveMark();
        end(first.store());
        RecoveryStore.Opened second = open("a");
        assertEquals(StoreStatus.INTACT, second.status());
        assertEquals("life 2", second.detail());
        assertEquals(
                Map.of("nodo-1", new ServerBans.Entry(true, 7), "nodo-2", new ServerBans.Entry(false, 9)),
                second.restored().bans());
        assertEquals(6_000_000, second.restored().writtenUntilMicros());
        assertEquals(42, second.restored().serverListMicros());
        assertArrayEquals(new byte[] {1, 2, 3}, second.restored().serverList());
        end(second.store());
    }

    @Test
    void aLongLogBecomesASnapshotAndNothingIsLost() throws Exception {
        RecoveryStore keeper = open("a").store();
        kept(keeper, "nodo-1", new ServerBans.Entry(true, 7));
        for (int i = 0; i < 5_200; i++) {
            kept(keeper, "nodo-2", new ServerBans.Entry(i % 2 == 0, i));
        }
        end(keeper);
        try (var files = Files.list(dir.resolve("kept"))) {
            assertTrue(files.anyMatch(each -> each.toString().endsWith(".snap")));
        }
        RecoveryStore.Opened again = open("a");
        assertEquals(
                Map.of("nodo-1", new ServerBans.Entry(true, 7), "nodo-2", new ServerBans.Entry(false, 5_199)),
                again.restored().bans());
        assertEquals(2, again.restored().startNumber() + 1);
        end(again.store());
    }

    @Test
    void anothersStoreIsSetAsideAndNotWritten() throws Exception {
        RecoveryStore other = open("b").store();
        kept(other, "nodo-1", new ServerBans.Entry(true, 7));
        end(other);
        RecoveryStore.Opened opened = open("a");
        assertEquals(StoreStatus.FOREIGN, opened.status());
        assertEquals("b", opened.restored().instance(), "for the claim to be dropped, and said");
        kept(opened.store(), "nodo-9", new ServerBans.Entry(true, 1));
        end(opened.store());
        assertEquals(
                Map.of("nodo-9", new ServerBans.Entry(true, 1)),
                open("a").restored().bans());
        assertTrue(Files.isDirectory(dir.resolve("kept.aside-1")));
    }

    @Test
    void aDamagedStoreIsSetAsideAndWhatCouldBeReadIsTold() throws Exception {
        for (int round = 1; round <= RecoveryStore.MAX_SET_ASIDE + 2; round++) {
            RecoveryStore keeper = open("a").store();
            kept(keeper, "nodo-1", new ServerBans.Entry(true, 7));
            kept(keeper, "nodo-2", new ServerBans.Entry(true, 8));
            kept(keeper, "nodo-3", new ServerBans.Entry(true, 9));
            end(keeper);
            Path newest;
            try (var files = Files.list(dir.resolve("kept"))) {
                newest = files.filter(each -> each.toString().endsWith(".log"))
                        .max(Path::compareTo)
                        .orElseThrow();
            }
            byte[] bytes = Files.readAllBytes(newest);
            bytes[bytes.length / 2] ^= 4;
            Files.write(newest, bytes);
            RecoveryStore.Opened opened = open("a");
            assertEquals(StoreStatus.DAMAGED, opened.status(), "round " + round);
            assertEquals("a", opened.restored().instance());
            assertTrue(opened.detail().contains(".log at "), opened.detail());
            end(opened.store());
        }
        try (var files = Files.list(dir)) {
            assertEquals(1 + RecoveryStore.MAX_SET_ASIDE, files.count());
        }
    }

    @Test
    void aFolderThatCannotBeUsedIsSaidAndNothingIsToldToBeKept() throws Exception {
        Files.writeString(dir.resolve("kept"), "a file");
        RecoveryStore.Opened opened = open("a");
        assertEquals(StoreStatus.UNUSABLE, opened.status());
        CompletableFuture<IOException> told = new CompletableFuture<>();
        opened.store().saveBan("nodo-1", new ServerBans.Entry(true, 1), told::complete);
        loop.poll(10, TimeUnit.SECONDS).run();
        assertTrue(told.join() != null);
        end(opened.store());
    }

    @Test
    void theProcessBeforeHasTheStoreUntilItEnds() throws Exception {
        RecoveryStore before = open("a").store();
        kept(before, "nodo-1", new ServerBans.Entry(true, 7));
        RecoveryStore.Opened second = open("a");
        assertEquals(StoreStatus.IN_USE, second.status());
        end(before);
        kept(second.store(), "nodo-2", new ServerBans.Entry(true, 8));
        end(second.store());
        assertEquals(2, open("a").restored().bans().size(), "what the one before kept is still there");
    }
}
