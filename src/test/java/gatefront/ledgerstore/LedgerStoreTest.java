package gatefront.ledgerstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.ledger.EntryId;
import gatefront.ledger.ExportSchedule;
import gatefront.ledger.Ledger;
import gatefront.ledger.LedgerEntry;
import gatefront.ledger.UsageAmounts;
import gatefront.storage.CrashingDisk;
import gatefront.storage.SigningKeys;
import gatefront.storage.Store;
import gatefront.storage.StoreVerification;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** An instance's books through crashes, and what comes to the receiver. */
class LedgerStoreTest {
    private static final ExportSchedule.Settings EXPORT = new ExportSchedule.Settings(5, 1_000, 100, 2_000, 500);
    private static final int KILLS = 10_000;

    private static Map<Ledger.Cell, UsageAmounts> cell(long period, String tenant, long requests) {
        return Map.of(new Ledger.Cell(period, tenant, "consulta"), new UsageAmounts(requests, 1, 2, 3));
    }

    /** What should come to the receiver in the end: all that was told to be kept, and what came through a crash. */
    private static final class World {
        final Random random;
        final CrashingDisk disk;
        final ExportReceiver receiver;
        final Set<EntryId> kept = new HashSet<>();
        long now;
        int kills;

        World(long seed) {
            random = new Random(seed);
            disk = new CrashingDisk(seed);
            receiver = new ExportReceiver(seed);
        }

        /** A life of the instance and its exporter, until the power goes at some step of the disk. */
        void live(boolean faults) throws IOException {
            if (faults) {
                disk.powerLostAfter(random.nextInt(60));
            }
            LedgerStore books = LedgerStore.open(disk, Store.Options.USUAL, "agente-1");
            kept.forEach(id -> assertTrue(books.ledger().get(id) != null, "lost: " + id));
            ExportSchedule export = new ExportSchedule(EXPORT, books.taken(), random.nextLong());
            Long answer = null;
            long answerAt = 0;
            for (int i = 0; i < (faults ? 200 : 20_000); i++) {
                now += 20;
                if (faults && random.nextInt(4) == 0) {
                    books.use(1, cell(1, "t" + random.nextInt(3), 1 + random.nextInt(9)));
                    kept.add(books.own(books.made() - 1, 1).get(0).id());
                }
                if (faults && random.nextInt(60) == 0) {
                    books.compactNow();
                }
                ExportSchedule.Batch batch = export.due(now, books.made());
                if (batch != null) {
                    answer = receiver.take(batch, books.own(batch.from(), batch.count()), faults);
                    answerAt = now + 20L * random.nextInt(faults ? 60 : 5); // at times too late
                }
                if (answer != null && now >= answerAt) {
                    boolean news = export.answered(now, answer, books.made());
                    answer = faults && random.nextInt(10) == 0 ? answer : null; // it may come twice
                    answerAt = now + 20;
                    if (news) {
                        books.taken(export.taken());
                    }
                }
            }
            books.close();
        }
    }

    @Test
    void exportersKilledAtRandomLeaveTheReceiverWithEachEntryOnce() throws IOException {
        int kills = 0;
        int forgot = 0;
        int refused = 0;
        for (long seed = 0; kills < KILLS; seed++) {
            World world = new World(seed);
            for (int life = 0; life < 50; life++) {
                try {
                    world.live(true);
                } catch (IOException e) {
                    assertTrue(world.disk.isOff(), e.toString());
                    kills++;
                }
                world.disk.restart();
            }
            world.live(false); // a day on which nothing goes wrong
            Ledger[] ledger = {Ledger.EMPTY};
            LedgerStore.Look[] look = new LedgerStore.Look[1];
            StoreVerification.of(world.disk, SigningKeys.NONE, LedgerStore.looking(at -> look[0] = at));
            List<LedgerEntry> own = new ArrayList<>();
            look[0].ledger().entries().forEach(own::add);
            Set<EntryId> ids = new HashSet<>();
            for (LedgerEntry each : world.receiver.has()) {
                assertTrue(ids.add(each.id()), "twice: " + each.id());
                try {
                    ledger[0] = ledger[0].with(each);
                } catch (Ledger.Conflict e) {
                    throw new AssertionError(e);
                }
            }
            assertTrue(ids.containsAll(world.kept));
            assertEquals(own.size(), world.receiver.has().size());
            assertEquals(look[0].ledger().totals(1), ledger[0].totals(1), "exact to the unit");
            forgot += world.receiver.forgot;
            refused += world.receiver.refused;
        }
        assertTrue(forgot > 100 && refused > 100, forgot + " forgotten, " + refused + " refused");
    }

    @Test
    void booksAreOfOneInstanceAndEachOpeningIsAnotherEpoch() throws IOException {
        CrashingDisk disk = new CrashingDisk(1);
        LedgerStore first = LedgerStore.open(disk, Store.Options.USUAL, "a");
        first.use(1, cell(1, "mitla", 5));
        assertThrows(IOException.class, () -> LedgerStore.open(disk, Store.Options.USUAL, "a"), "started twice");
        first.close();
        assertEquals(
                "these are the books of a, not of b",
                assertThrows(IOException.class, () -> LedgerStore.open(disk, Store.Options.USUAL, "b"))
                        .getMessage());
        LedgerStore second = LedgerStore.open(disk, Store.Options.USUAL, "a");
        second.use(1, cell(1, "mitla", 2));
        second.close(1);
        assertEquals(new EntryId("a", 1, 0), second.own(1, 1).get(0).id());
        assertEquals(7, second.ledger().total(1, "mitla").requests());
        assertEquals(
                Map.of("a/0", Ledger.Part.UNKNOWN, "a/1", Ledger.Part.WHOLE),
                second.ledger().standing(1, List.of("a")));
        second.close();
    }

    @Test
    void anEntryThatWasExportedIsCorrectedByAnother() throws IOException {
        LedgerStore books = LedgerStore.open(new CrashingDisk(1), Store.Options.USUAL, "a");
        books.use(1, cell(1, "mitla", 5));
        EntryId wrong = books.own(0, 1).get(0).id();
        LedgerEntry correction = books.correct(wrong, 2, new UsageAmounts(-5, 0, 0, 0), "a test terminal");
        books.correct(correction.id(), 2, new UsageAmounts(1, 0, 0, 0), "one was real");
        assertEquals(5, books.ledger().total(1, "mitla").requests());
        assertEquals(-4, books.ledger().total(2, "mitla").requests());
        assertThrows(IOException.class, () -> books.correct(new EntryId("x", 0, 0), 2, UsageAmounts.NONE, "why"));
        assertThrows(IOException.class, () -> books.correct(wrong, 2, UsageAmounts.NONE, " "));
        assertThrows(IOException.class, () -> books.takeIn(List.of(correction)));
        books.close();
    }

    @Test
    void whatAnotherInstanceToldIsTakenInOnceAndNotExported() throws IOException {
        LedgerStore books = LedgerStore.open(new CrashingDisk(1), Store.Options.USUAL, "a");
        LedgerEntry other =
                LedgerEntry.use(new EntryId("b", 0, 0), 1, "mitla", "consulta", new UsageAmounts(3, 0, 0, 0));
        books.takeIn(List.of(other, other));
        books.takeIn(List.of(other));
        assertEquals(3, books.ledger().total(1, "mitla").requests());
        assertEquals(0, books.made());
        LedgerEntry lie = LedgerEntry.use(other.id(), 1, "mitla", "consulta", UsageAmounts.NONE);
        assertThrows(IOException.class, () -> books.takeIn(List.of(lie)));
        books.close();
    }

    /** Messages with bytes changed, cut or added: an entry or one exception, never another. */
    @Test
    void messagesFromAnywhereAreReadOrRefused() {
        Random random = new Random(1);
        LedgerEntry entry = new LedgerEntry(
                new EntryId("agente-1", 3, 9),
                LedgerEntry.Kind.CORRECTION,
                7,
                "mitla",
                "pago",
                new UsageAmounts(-1, 2, -3, 4),
                new EntryId("b", 0, 1),
                "wrong");
        byte[] whole = LedgerEntryCodec.write(entry);
        int read = 0;
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes =
                    Arrays.copyOf(whole, random.nextInt(4) == 0 ? random.nextInt(whole.length + 9) : whole.length);
            for (int j = random.nextInt(4); j > 0 && bytes.length > 0; j--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            try {
                LedgerEntryCodec.read(bytes, 0);
                read++;
            } catch (IOException e) {
                assertTrue(e.getMessage() != null);
            }
        }
        assertTrue(read > 20_000, read + " could be read");
    }
}
