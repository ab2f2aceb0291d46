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
import gatefront.storage.StoreFailedException;
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

/** Tests the ledger store through power losses, and the export of its entries to the receiver. */
class LedgerStoreTest {
    private static final ExportSchedule.Settings EXPORT = new ExportSchedule.Settings(5, 1_000, 100, 2_000, 500);
    private static final int POWER_LOSSES = 10_000;

    private static Map<Ledger.Cell, UsageAmounts> cell(long period, String tenant, long requests) {
        return Map.of(new Ledger.Cell(period, tenant, "consulta"), new UsageAmounts(requests, 1, 2, 3));
    }

    /** An instance with its disk and receiver; every entry reported as stored must reach the receiver in the end. */
    private static final class Simulation {
        final Random random;
        final CrashingDisk disk;
        final ExportReceiver receiver;
        final Set<EntryId> stored = new HashSet<>();
        long now;

        Simulation(long seed) {
            random = new Random(seed);
            disk = new CrashingDisk(seed);
            receiver = new ExportReceiver(seed);
        }

        /** Runs the instance and its exporter; with faults, until the power fails at a random step of the disk. */
        void runSession(boolean faults) throws IOException {
            if (faults) {
                disk.losePowerAfter(random.nextInt(60));
            }
            LedgerStore store = LedgerStore.open(disk, Store.Options.DEFAULTS, "agente-1");
            stored.forEach(id -> assertTrue(store.ledger().get(id) != null, "lost: " + id));
            ExportSchedule export = new ExportSchedule(EXPORT, store.acknowledged(), random.nextLong());
            Long response = null;
            long responseAt = 0;
            for (int i = 0; i < (faults ? 200 : 20_000); i++) {
                now += 20;
                if (faults && random.nextInt(4) == 0) {
                    store.recordUsage(1, cell(1, "t" + random.nextInt(3), 1 + random.nextInt(9)));
                    stored.add(store.ownEntries(store.ownCount() - 1, 1).get(0).id());
                }
                if (faults && random.nextInt(60) == 0) {
                    store.compactNow();
                }
                ExportSchedule.Batch batch = export.nextBatch(now, store.ownCount());
                if (batch != null) {
                    response = receiver.receive(batch, store.ownEntries(batch.from(), batch.count()), faults);
                    responseAt = now + 20L * random.nextInt(faults ? 60 : 5); // sometimes after the timeout
                }
                if (response != null && now >= responseAt) {
                    boolean changed = export.onResponse(now, response, store.ownCount());
                    response = faults && random.nextInt(10) == 0
                            ? response
                            : null; // with faults, the response may be delivered again
                    responseAt = now + 20;
                    if (changed) {
                        store.storeAcknowledged(export.acknowledged());
                    }
                }
            }
            store.close();
        }
    }

    /** Guards against an agent that does not start any more once its ledger has reached its size limit. */
    @Test
    void fullStoreCanBeOpenedAndTakesEntriesOnceTheLimitIsRaised() throws IOException {
        CrashingDisk disk = new CrashingDisk(1);
        Store.Options small = new Store.Options(SigningKeys.NONE, 1 << 10, 4 << 10);
        LedgerStore full = LedgerStore.open(disk, small, "agente-1");
        StoreFailedException refused =
                assertThrows(StoreFailedException.class, () -> recordUntilRefused(full, "before"));
        assertEquals(StoreFailedException.Reason.SIZE_LIMIT, refused.reason());
        long entries = full.ownCount();
        full.close();
        for (int restart = 0; restart < 50; restart++) {
            LedgerStore again = LedgerStore.open(disk, small, "agente-1");
            assertEquals(entries, again.ownCount());
            assertThrows(StoreFailedException.class, () -> again.recordUsage(1, cell(1, "x".repeat(150), 1)));
            again.close();
        }
        LedgerStore raised = LedgerStore.open(disk, new Store.Options(SigningKeys.NONE, 1 << 10, 1 << 20), "agente-1");
        raised.recordUsage(1, cell(1, "after", 1));
        raised.close();
        LedgerStore last = LedgerStore.open(disk, Store.Options.DEFAULTS, "agente-1");
        assertEquals(entries + 1, last.ownCount());
        Set<EntryId> ids = new HashSet<>();
        last.ownEntries(0, (int) last.ownCount()).forEach(entry -> ids.add(entry.id()));
        assertEquals(entries + 1, ids.size(), "no id was given twice");
        last.close();
    }

    private static void recordUntilRefused(LedgerStore store, String tenant) throws IOException {
        for (int i = 0; i < 1_000; i++) {
            store.recordUsage(1, cell(1, tenant + i, 1));
        }
    }

    @Test
    void powerLossesLeaveTheReceiverWithEachEntryOnce() throws IOException {
        int powerLosses = 0;
        int forgotten = 0;
        int refused = 0;
        for (long seed = 0; powerLosses < POWER_LOSSES; seed++) {
            Simulation simulation = new Simulation(seed);
            for (int session = 0; session < 50; session++) {
                try {
                    simulation.runSession(true);
                } catch (IOException e) {
                    assertTrue(simulation.disk.isOff(), e.toString());
                    powerLosses++;
                }
                simulation.disk.restart();
            }
            simulation.runSession(false); // without faults, the export completes
            Ledger[] ledger = {Ledger.EMPTY};
            LedgerStore.Contents[] contents = new LedgerStore.Contents[1];
            StoreVerification.of(simulation.disk, SigningKeys.NONE, LedgerStore.contentsReader(at -> contents[0] = at));
            List<LedgerEntry> storedEntries = new ArrayList<>();
            contents[0].ledger().entries().forEach(storedEntries::add);
            Set<EntryId> ids = new HashSet<>();
            for (LedgerEntry entry : simulation.receiver.received()) {
                assertTrue(ids.add(entry.id()), "received twice: " + entry.id());
                try {
                    ledger[0] = ledger[0].with(entry);
                } catch (Ledger.Conflict e) {
                    throw new AssertionError(e);
                }
            }
            assertTrue(ids.containsAll(simulation.stored));
            assertEquals(storedEntries.size(), simulation.receiver.received().size());
            assertEquals(contents[0].ledger().totals(1), ledger[0].totals(1), "exact to the unit");
            forgotten += simulation.receiver.forgotten;
            refused += simulation.receiver.refused;
        }
        assertTrue(forgotten > 100 && refused > 100, forgotten + " forgotten, " + refused + " refused");
    }

    @Test
    void ledgerStoreBelongsToOneInstanceAndEachOpeningStartsAnEpoch() throws IOException {
        CrashingDisk disk = new CrashingDisk(1);
        LedgerStore first = LedgerStore.open(disk, Store.Options.DEFAULTS, "a");
        first.recordUsage(1, cell(1, "mitla", 5));
        assertThrows(IOException.class, () -> LedgerStore.open(disk, Store.Options.DEFAULTS, "a"), "already open");
        first.close();
        assertEquals(
                "ledger store belongs to instance a, not to b",
                assertThrows(IOException.class, () -> LedgerStore.open(disk, Store.Options.DEFAULTS, "b"))
                        .getMessage());
        LedgerStore second = LedgerStore.open(disk, Store.Options.DEFAULTS, "a");
        second.recordUsage(1, cell(1, "mitla", 2));
        second.closePeriod(1);
        assertEquals(new EntryId("a", 1, 0), second.ownEntries(1, 1).get(0).id());
        assertEquals(7, second.ledger().total(1, "mitla").requests());
        assertEquals(
                Map.of("a/0", Ledger.PartStatus.UNKNOWN, "a/1", Ledger.PartStatus.COMPLETE),
                second.ledger().partStatuses(1, List.of("a")));
        second.close();
    }

    @Test
    void exportedEntryIsCorrectedByASeparateEntry() throws IOException {
        LedgerStore store = LedgerStore.open(new CrashingDisk(1), Store.Options.DEFAULTS, "a");
        store.recordUsage(1, cell(1, "mitla", 5));
        EntryId correctedId = store.ownEntries(0, 1).get(0).id();
        LedgerEntry correction = store.correct(correctedId, 2, new UsageAmounts(-5, 0, 0, 0), "a test terminal");
        store.correct(correction.id(), 2, new UsageAmounts(1, 0, 0, 0), "one was real");
        assertEquals(5, store.ledger().total(1, "mitla").requests());
        assertEquals(-4, store.ledger().total(2, "mitla").requests());
        assertThrows(IOException.class, () -> store.correct(new EntryId("x", 0, 0), 2, UsageAmounts.ZERO, "why"));
        assertThrows(IOException.class, () -> store.correct(correctedId, 2, UsageAmounts.ZERO, " "));
        assertThrows(IOException.class, () -> store.importEntries(List.of(correction)));
        store.close();
    }

    @Test
    void entriesOfOtherInstancesAreImportedOnceAndNotExported() throws IOException {
        LedgerStore store = LedgerStore.open(new CrashingDisk(1), Store.Options.DEFAULTS, "a");
        LedgerEntry other =
                LedgerEntry.use(new EntryId("b", 0, 0), 1, "mitla", "consulta", new UsageAmounts(3, 0, 0, 0));
        store.importEntries(List.of(other, other));
        store.importEntries(List.of(other));
        assertEquals(3, store.ledger().total(1, "mitla").requests());
        assertEquals(0, store.ownCount());
        LedgerEntry conflicting = LedgerEntry.use(other.id(), 1, "mitla", "consulta", UsageAmounts.ZERO);
        assertThrows(IOException.class, () -> store.importEntries(List.of(conflicting)));
        store.close();
    }

    /** Decoding a message with changed, missing or added bytes yields an entry or an IOException, nothing else. */
    @Test
    void damagedMessagesAreReadOrRefusedWithAnIOException() {
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
