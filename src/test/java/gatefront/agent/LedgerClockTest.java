package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.ledger.Ledger;
import gatefront.ledgerstore.LedgerStore;
import gatefront.storage.DirectoryDisk;
import gatefront.storage.SigningKeys;
import gatefront.storage.StoreVerification;
import gatefront.transport.SocketTransport;
import gatefront.transport.Transport;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A usage recorder whose wall clock jumps. */
class LedgerClockTest {
    private static final long SECOND = 1_000_000;

    @TempDir
    private Path folder;

    private LedgerStore.Contents readLedger() throws Exception {
        LedgerStore.Contents[] state = new LedgerStore.Contents[1];
        StoreVerification.of(
                DirectoryDisk.existing(folder.resolve("books")),
                SigningKeys.NONE,
                LedgerStore.contentsReader(at -> state[0] = at));
        return state[0];
    }

    /**
     * With periods of one second, a clock that jumps by a thousand years and back gives a few entries, not
     * 30,000,000,000.
     */
    @Test
    void clockJumpOverMillionsOfPeriodsClosesOnlyThoseWithUsage() throws Exception {
        SocketTransport sockets = new SocketTransport();
        AtomicLong wall = new AtomicLong(1_000 * SECOND);
        Transport transport = (Transport) Proxy.newProxyInstance(
                Transport.class.getClassLoader(),
                new Class<?>[] {Transport.class},
                (proxy, method, args) ->
                        method.getName().equals("wallMicros") ? wall.get() : method.invoke(sockets, args));
        UsageRecorder recorder = UsageRecorder.open(
                transport, new LedgerSettings(folder.resolve("books"), "a", null, SECOND, SECOND / 10, 1 << 20));
        recorder.start();
        Thread.sleep(300);
        wall.addAndGet(1_000L * 365 * 86_400 * SECOND);
        AgentFixture.await(() -> {
            try {
                return readLedger().ledger().size() > 0;
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
        wall.set(1_001 * SECOND);
        CountDownLatch closed = new CountDownLatch(1);
        sockets.loop().execute(() -> recorder.close(closed::countDown));
        assertTrue(closed.await(10, TimeUnit.SECONDS));
        Ledger ledger = readLedger().ledger();
        assertTrue(ledger.size() < 10, ledger.size() + " entries");
        for (long period : ledger.periods()) {
            assertEquals(
                    List.of(Ledger.PartStatus.COMPLETE),
                    List.copyOf(ledger.partStatuses(period, List.of()).values()));
        }
        CountDownLatch transportClosed = new CountDownLatch(1);
        sockets.close(transportClosed::countDown);
        assertTrue(transportClosed.await(10, TimeUnit.SECONDS));
    }
}
