package gatefront.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.storage.MemoryDisk.Fault;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Runs random histories of a store with a fault injected at each step, and compares the store with a map: after every
 * start, each record reported as stored must be present once and complete, and no record that was never appended may be
 * present.
 */
class StoreCrashTest {
    private static final SigningKeys KEYS = keys();
    private static final int HISTORIES = 1_000;

    /** The contents of a store by record number; the records of a snapshot contain their number. */
    private static final class ReplayedRecords implements RecordConsumer {
        final TreeMap<Long, String> byNumber = new TreeMap<>();

        @Override
        public void snapshot(byte[] record) {
            String[] words = text(record).split(" ", 2);
            assertTrue(byNumber.put(Long.parseLong(words[0]), words[1]) == null, "replayed twice: " + words[0]);
        }

        @Override
        public void record(long number, byte[] record) {
            assertTrue(byNumber.put(number, text(record)) == null, "replayed twice: " + number);
        }
    }

    /** The records that must be present and those that may be. */
    private static final class Model {
        final TreeMap<Long, String> durable = new TreeMap<>();
        final TreeMap<Long, String> unconfirmed = new TreeMap<>();
        /** Records reported as lost; they may reappear after a crash before the store has written again. */
        final TreeMap<Long, String> possiblyRecovered = new TreeMap<>();

        int created;
    }

    private static SigningKeys keys() {
        try {
            return SigningKeys.parse("keys", "1 " + "0a".repeat(32) + "\n");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static String text(byte[] record) {
        return new String(record, StandardCharsets.US_ASCII);
    }

    private static byte[] bytes(String record) {
        return record.getBytes(StandardCharsets.US_ASCII);
    }

    private static Store.Options options(long seed) {
        return new Store.Options(seed % 3 == 0 ? KEYS : SigningKeys.NONE, 500, 1 << 20);
    }

    /** Opens the store, compares it with the model and runs random operations, until done or until a fault ends it. */
    private static void runSession(MemoryDisk disk, Model model, long seed, int session) throws IOException {
        Random random = new Random(seed * 31 + session);
        ReplayedRecords replayed = new ReplayedRecords();
        Store store = Store.open(disk, options(seed), replayed);
        check(model, replayed);
        assertEquals(replayed.byNumber.isEmpty() ? 0 : replayed.byNumber.lastKey() + 1, store.nextRecord());
        for (int operationIndex = 0; operationIndex < 6 + random.nextInt(8); operationIndex++) {
            int operation = random.nextInt(10);
            try {
                if (operation < 7) {
                    append(store, model, random);
                } else if (operation < 9) {
                    store.force();
                    model.durable.putAll(model.unconfirmed);
                    model.unconfirmed.clear();
                } else {
                    snapshot(store, model);
                }
            } catch (StoreFailedException e) {
                assertEquals(StoreFailedException.Reason.IO_ERROR, e.reason());
                disk.full = false;
                if (e.getCause() instanceof MemoryDisk.PowerException) {
                    throw e;
                }
                if (store.failed()) {
                    model.durable.putAll(
                            model.unconfirmed.headMap(store.nextRecord())); // these were forced before the failure
                    model.possiblyRecovered.putAll(model.unconfirmed.tailMap(store.nextRecord()));
                    model.unconfirmed.clear(); // records after the last force are discarded
                }
            }
        }
        if (random.nextBoolean()) {
            store.close();
            model.durable.putAll(model.unconfirmed);
            model.unconfirmed.clear();
        }
    }

    private static void append(Store store, Model model, Random random) throws StoreFailedException {
        List<byte[]> group = new ArrayList<>();
        boolean force = random.nextInt(3) > 0;
        TreeMap<Long, String> added = new TreeMap<>();
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            String record = "r" + model.created++ + "x".repeat(random.nextInt(90));
            group.add(bytes(record));
            added.put(store.nextRecord() + i, record);
        }
        TreeMap<Long, String> before = new TreeMap<>(model.unconfirmed);
        model.unconfirmed.putAll(added);
        store.append(group, force);
        model.possiblyRecovered.clear();
        assertTrue(before.isEmpty() || store.nextRecord() > before.lastKey());
        if (force) {
            model.durable.putAll(model.unconfirmed);
            model.unconfirmed.clear();
        }
    }

    private static void snapshot(Store store, Model model) throws StoreFailedException {
        Store.Snapshot snapshot = store.snapshot();
        model.durable.putAll(model.unconfirmed);
        model.unconfirmed.clear();
        for (var entry : model.durable.entrySet()) {
            snapshot.add(bytes(entry.getKey() + " " + entry.getValue()));
        }
        snapshot.finish();
    }

    private static void check(Model model, ReplayedRecords replayed) {
        model.durable.forEach(
                (number, record) -> assertEquals(record, replayed.byNumber.get(number), "number " + number));
        replayed.byNumber.forEach((number, record) -> {
            if (!model.durable.containsKey(number) && !record.equals(model.possiblyRecovered.get(number))) {
                assertEquals(record, model.unconfirmed.get(number), "number " + number);
            }
        });
        model.durable.putAll(replayed.byNumber); // records that survived the crash were rewritten and are durable
        model.unconfirmed.clear();
        model.possiblyRecovered.clear();
    }

    private static void runHistory(long seed, int faultAt, Fault fault) throws IOException {
        MemoryDisk disk = new MemoryDisk(seed * 1_000 + faultAt);
        Model model = new Model();
        disk.faultStep = faultAt;
        disk.fault = fault;
        for (int session = 0; session < 3; session++) {
            try {
                runSession(disk, model, seed, session);
            } catch (MemoryDisk.PowerException e) {
                // the history continues after the restart below
            } catch (StoreFailedException e) {
                assertTrue(e.getCause() instanceof MemoryDisk.PowerException || fault != Fault.POWER, e.toString());
            } catch (CorruptStoreException e) {
                throw e;
            } catch (IOException e) {
                assertTrue(fault != Fault.POWER && fault != Fault.NONE, e.toString());
            }
            disk.restart();
        }
        ReplayedRecords replayed = new ReplayedRecords();
        Store.open(disk, options(seed), replayed).close();
        check(model, replayed);
        StoreVerification verification =
                StoreVerification.of(disk, options(seed).keys(), RecordConsumer.IGNORE);
        assertEquals(null, verification.damage());
        assertEquals(
                replayed.byNumber.size(),
                verification.records()
                        + (verification.snapshotNextRecord() == 0
                                ? 0
                                : replayed.byNumber
                                        .headMap(verification.snapshotNextRecord())
                                        .size()));
    }

    @Test
    void powerLossAtAnyStepNeitherLosesNorDuplicatesNorTruncatesStoredRecords() throws IOException {
        for (long seed = 0; seed < HISTORIES; seed++) {
            MemoryDisk dryRun = new MemoryDisk(seed);
            runSession(dryRun, new Model(), seed, 0);
            for (int step = 0; step < dryRun.steps; step++) {
                try {
                    runHistory(seed, step, Fault.POWER);
                } catch (IOException | AssertionError e) {
                    throw new AssertionError("history " + seed + ", power lost at step " + step + ": " + e, e);
                }
            }
        }
    }

    @Test
    void diskFailureAtAnyStepLosesNoStoredRecord() throws IOException {
        for (Fault fault : List.of(Fault.WRITE_FAILS, Fault.HALF_WRITTEN, Fault.SYNC_FAILS, Fault.FULL)) {
            for (long seed = 0; seed < HISTORIES / 4; seed++) {
                MemoryDisk dryRun = new MemoryDisk(seed);
                runSession(dryRun, new Model(), seed, 0);
                for (int step = 0; step < dryRun.steps; step++) {
                    try {
                        runHistory(seed, step, fault);
                    } catch (IOException | AssertionError e) {
                        throw new AssertionError("history " + seed + ", " + fault + " at step " + step + ": " + e, e);
                    }
                }
            }
        }
    }
}
