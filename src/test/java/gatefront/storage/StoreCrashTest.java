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
 * Random histories of a store with a fault at each step of each, against a plain map: what was told to be kept is there
 * once and whole after every start, and nothing is there that was not handed over.
 */
class StoreCrashTest {
    private static final SigningKeys KEYS = keys();
    private static final int HISTORIES = 1_000;

    /** What a store holds, by number: the snapshot's records are told with theirs. */
    private static final class Held implements RecordConsumer {
        final TreeMap<Long, String> all = new TreeMap<>();

        @Override
        public void snapshot(byte[] record) {
            String[] words = text(record).split(" ", 2);
            assertTrue(all.put(Long.parseLong(words[0]), words[1]) == null, "twice: " + words[0]);
        }

        @Override
        public void record(long number, byte[] record) {
            assertTrue(all.put(number, text(record)) == null, "twice: " + number);
        }
    }

    /** What must be there, and what may be. */
    private static final class Model {
        final TreeMap<Long, String> kept = new TreeMap<>();
        final TreeMap<Long, String> unsure = new TreeMap<>();
        /** Told to be lost; a crash before the store has written again may bring them back. */
        final TreeMap<Long, String> doubted = new TreeMap<>();

        int made;
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

    /** Opens what is there, holds it against the model, and does some more; ends by its own choice or by a fault. */
    private static void live(MemoryDisk disk, Model model, long seed, int round) throws IOException {
        Random random = new Random(seed * 31 + round);
        Held held = new Held();
        Store store = Store.open(disk, options(seed), held);
        check(model, held);
        assertEquals(held.all.isEmpty() ? 0 : held.all.lastKey() + 1, store.next());
        for (int i = 0; i < 6 + random.nextInt(8); i++) {
            int what = random.nextInt(10);
            try {
                if (what < 7) {
                    append(store, model, random);
                } else if (what < 9) {
                    store.force();
                    model.kept.putAll(model.unsure);
                    model.unsure.clear();
                } else {
                    snapshot(store, model);
                }
            } catch (StoreFailedException e) {
                assertEquals(StoreFailedException.Why.DISK, e.why());
                disk.full = false;
                if (e.getCause() instanceof MemoryDisk.PowerException) {
                    throw e;
                }
                if (store.failed()) {
                    model.kept.putAll(model.unsure.headMap(store.next())); // it may have been forced before it failed
                    model.doubted.putAll(model.unsure.tailMap(store.next()));
                    model.unsure.clear(); // nothing since the last force is believed
                }
            }
        }
        if (random.nextBoolean()) {
            store.close();
            model.kept.putAll(model.unsure);
            model.unsure.clear();
        }
    }

    private static void append(Store store, Model model, Random random) throws StoreFailedException {
        List<byte[]> group = new ArrayList<>();
        boolean force = random.nextInt(3) > 0;
        TreeMap<Long, String> mine = new TreeMap<>();
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            String record = "r" + model.made++ + "x".repeat(random.nextInt(90));
            group.add(bytes(record));
            mine.put(store.next() + i, record);
        }
        TreeMap<Long, String> before = new TreeMap<>(model.unsure);
        model.unsure.putAll(mine);
        store.append(group, force);
        model.doubted.clear();
        assertTrue(before.isEmpty() || store.next() > before.lastKey());
        if (force) {
            model.kept.putAll(model.unsure);
            model.unsure.clear();
        }
    }

    private static void snapshot(Store store, Model model) throws StoreFailedException {
        Store.Snapshot snapshot = store.snapshot();
        model.kept.putAll(model.unsure);
        model.unsure.clear();
        for (var each : model.kept.entrySet()) {
            snapshot.add(bytes(each.getKey() + " " + each.getValue()));
        }
        snapshot.finish();
    }

    private static void check(Model model, Held held) {
        model.kept.forEach((number, record) -> assertEquals(record, held.all.get(number), "number " + number));
        held.all.forEach((number, record) -> {
            if (!model.kept.containsKey(number) && !record.equals(model.doubted.get(number))) {
                assertEquals(record, model.unsure.get(number), "number " + number);
            }
        });
        model.kept.putAll(held.all); // what came through the crash is written again, and certain
        model.unsure.clear();
        model.doubted.clear();
    }

    private static void play(long seed, int faultAt, Fault fault) throws IOException {
        MemoryDisk disk = new MemoryDisk(seed * 1_000 + faultAt);
        Model model = new Model();
        disk.faultAt = faultAt;
        disk.fault = fault;
        for (int round = 0; round < 3; round++) {
            try {
                live(disk, model, seed, round);
            } catch (MemoryDisk.PowerException e) {
                // goes on below
            } catch (StoreFailedException e) {
                assertTrue(e.getCause() instanceof MemoryDisk.PowerException || fault != Fault.POWER, e.toString());
            } catch (CorruptStoreException e) {
                throw e;
            } catch (IOException e) {
                assertTrue(fault != Fault.POWER && fault != Fault.NONE, e.toString());
            }
            disk.restart();
        }
        Held held = new Held();
        Store.open(disk, options(seed), held).close();
        check(model, held);
        StoreVerification verify = StoreVerification.of(disk, options(seed).keys(), RecordConsumer.NOBODY);
        assertEquals(null, verify.damage());
        assertEquals(
                held.all.size(),
                verify.records()
                        + (verify.snapshot() == 0
                                ? 0
                                : held.all.headMap(verify.snapshot()).size()));
    }

    @Test
    void whateverTheStepAtWhichThePowerGoesNothingKeptIsLostOrTwiceOrHalf() throws IOException {
        for (long seed = 0; seed < HISTORIES; seed++) {
            MemoryDisk dry = new MemoryDisk(seed);
            live(dry, new Model(), seed, 0);
            for (int step = 0; step < dry.steps; step++) {
                try {
                    play(seed, step, Fault.POWER);
                } catch (IOException | AssertionError e) {
                    throw new AssertionError("history " + seed + ", power lost at step " + step + ": " + e, e);
                }
            }
        }
    }

    @Test
    void whateverTheStepAtWhichTheDiskFailsWhatWasKeptIsThere() throws IOException {
        for (Fault fault : List.of(Fault.WRITE_FAILS, Fault.HALF_WRITTEN, Fault.SYNC_FAILS, Fault.FULL)) {
            for (long seed = 0; seed < HISTORIES / 4; seed++) {
                MemoryDisk dry = new MemoryDisk(seed);
                live(dry, new Model(), seed, 0);
                for (int step = 0; step < dry.steps; step++) {
                    try {
                        play(seed, step, fault);
                    } catch (IOException | AssertionError e) {
                        throw new AssertionError("history " + seed + ", " + fault + " at step " + step + ": " + e, e);
                    }
                }
            }
        }
    }
}
