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

/** Tests what an instance restores from its folder, and what is reported where that is not possible. */
class RecoveryStoreTest {
    @TempDir
    private Path dir;

    private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private long clock = 5_000_000;

    private RecoveryStore.Opened open(String instance) {
        return RecoveryStore.open(dir.resolve("kept"), instance, loop::add, () -> clock);
    }

    private void saveBan(RecoveryStore store, String name, ServerBans.Entry entry) throws Exception {
        CompletableFuture<IOException> result = new CompletableFuture<>();
        store.saveBan(name, entry, result::complete);
        while (!result.isDone()) {
            loop.poll(10, TimeUnit.SECONDS).run();
        }
        assertNull(result.join());
    }

    private static void close(RecoveryStore store) throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        store.close(() -> closed.complete(null));
        closed.get(10, TimeUnit.SECONDS);
    }

    @Test
    void storedStateIsRestoredAtTheNextStart() throws Exception {
        RecoveryStore.Opened first = open("a");
        assertEquals(StoreStatus.MISSING, first.status());
        saveBan(first.store(), "nodo-1", new ServerBans.Entry(true, 7));
        saveBan(first.store(), "nodo-2", new ServerBans.Entry(true, 8));
        saveBan(first.store(), "nodo-2", new ServerBans.Entry(false, 9));
        saveBan(first.store(), "nodo-3", new ServerBans.Entry(true, 9));
        saveBan(first.store(), "nodo-3", null);
        first.store().saveServerList(42, new byte[] {1, 2, 3});
        clock = 6_000_000;
        first.store().saveAliveMark();
        close(first.store());
        RecoveryStore.Opened second = open("a");
        assertEquals(StoreStatus.INTACT, second.status());
        assertEquals("life 2", second.detail());
        assertEquals(
                Map.of("nodo-1", new ServerBans.Entry(true, 7), "nodo-2", new ServerBans.Entry(false, 9)),
                second.restored().bans());
        assertEquals(6_000_000, second.restored().writtenUntilMicros());
        assertEquals(42, second.restored().serverListMicros());
        assertArrayEquals(new byte[] {1, 2, 3}, second.restored().serverList());
        close(second.store());
    }

    @Test
    void longLogIsCompactedWithoutLoss() throws Exception {
        RecoveryStore store = open("a").store();
        saveBan(store, "nodo-1", new ServerBans.Entry(true, 7));
        for (int i = 0; i < 5_200; i++) {
            saveBan(store, "nodo-2", new ServerBans.Entry(i % 2 == 0, i));
        }
        close(store);
        try (var files = Files.list(dir.resolve("kept"))) {
            assertTrue(files.anyMatch(file -> file.toString().endsWith(".snap")));
        }
        RecoveryStore.Opened reopened = open("a");
        assertEquals(
                Map.of("nodo-1", new ServerBans.Entry(true, 7), "nodo-2", new ServerBans.Entry(false, 5_199)),
                reopened.restored().bans());
        assertEquals(2, reopened.restored().startNumber() + 1);
        close(reopened.store());
    }

    @Test
    void storeOfAnotherInstanceIsSetAsideAndNotWritten() throws Exception {
        RecoveryStore other = open("b").store();
        saveBan(other, "nodo-1", new ServerBans.Entry(true, 7));
        close(other);
        RecoveryStore.Opened opened = open("a");
        assertEquals(StoreStatus.FOREIGN, opened.status());
        assertEquals("b", opened.restored().instance(), "needed so that the state is discarded and the reason logged");
        saveBan(opened.store(), "nodo-9", new ServerBans.Entry(true, 1));
        close(opened.store());
        assertEquals(
                Map.of("nodo-9", new ServerBans.Entry(true, 1)),
                open("a").restored().bans());
        assertTrue(Files.isDirectory(dir.resolve("kept.aside-1")));
    }

    @Test
    void damagedStoreIsSetAsideAndReadablePartIsReturned() throws Exception {
        for (int round = 1; round <= RecoveryStore.MAX_SET_ASIDE + 2; round++) {
            RecoveryStore store = open("a").store();
            saveBan(store, "nodo-1", new ServerBans.Entry(true, 7));
            saveBan(store, "nodo-2", new ServerBans.Entry(true, 8));
            saveBan(store, "nodo-3", new ServerBans.Entry(true, 9));
            close(store);
            Path newest;
            try (var files = Files.list(dir.resolve("kept"))) {
                newest = files.filter(file -> file.toString().endsWith(".log"))
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
            close(opened.store());
        }
        try (var files = Files.list(dir)) {
            assertEquals(1 + RecoveryStore.MAX_SET_ASIDE, files.count());
        }
    }

    @Test
    void unusableFolderIsReportedAndWritesFail() throws Exception {
        Files.writeString(dir.resolve("kept"), "a file");
        RecoveryStore.Opened opened = open("a");
        assertEquals(StoreStatus.UNUSABLE, opened.status());
        CompletableFuture<IOException> result = new CompletableFuture<>();
        opened.store().saveBan("nodo-1", new ServerBans.Entry(true, 1), result::complete);
        loop.poll(10, TimeUnit.SECONDS).run();
        assertTrue(result.join() != null);
        close(opened.store());
    }

    @Test
    void storeIsInUseUntilThePreviousProcessEnds() throws Exception {
        RecoveryStore previous = open("a").store();
        saveBan(previous, "nodo-1", new ServerBans.Entry(true, 7));
        RecoveryStore.Opened second = open("a");
        assertEquals(StoreStatus.IN_USE, second.status());
        close(previous);
        saveBan(second.store(), "nodo-2", new ServerBans.Entry(true, 8));
        close(second.store());
        assertEquals(2, open("a").restored().bans().size(), "the entry of the previous process is still there");
    }
}
