package gatefront.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests size limits, signatures, damage reports and the group commit thread of a store. */
class StoreTest {
    private static final String FIRST_KEY = "1 " + "0a".repeat(32) + "\n";
    private static final String BOTH_KEYS = FIRST_KEY + "# newer\n2 " + "0b".repeat(32) + "\n";

    @TempDir
    private Path folder;

    private final MemoryDisk disk = new MemoryDisk(1);
    private final List<String> replayed = new ArrayList<>();
    private final RecordConsumer replay = new RecordConsumer() {
        @Override
        public void snapshot(byte[] record) {
            replayed.add("s" + text(record));
        }

        @Override
        public void record(long number, byte[] record) {
            replayed.add(number + text(record));
        }
    };

    private static String text(byte[] record) {
        return new String(record, StandardCharsets.US_ASCII);
    }

    private static List<byte[]> group(String... records) {
        List<byte[]> group = new ArrayList<>();
        for (String record : records) {
            group.add(record.getBytes(StandardCharsets.US_ASCII));
        }
        return group;
    }

    private static Store.Options options(String keys, int segmentBytes, long maxBytes) throws IOException {
        return new Store.Options(
                keys == null ? SigningKeys.NONE : SigningKeys.parse("keys", keys), segmentBytes, maxBytes);
    }

    /** Writes a store with several segments and a snapshot in the middle, and closes it. */
    private void writeSampleStore(String keys) throws IOException {
        Store store = Store.open(disk, options(keys, 300, 1 << 20), RecordConsumer.IGNORE);
        store.append(group("a", "b"), true);
        store.append(group("c".repeat(120)), false);
        Store.Snapshot snapshot = store.snapshot();
        store.append(group("d"), true); // the log grows while the snapshot is written
        snapshot.add("abc".getBytes(StandardCharsets.US_ASCII));
        snapshot.finish();
        store.append(group("e".repeat(100)), true);
        store.append(group("f".repeat(100)), true);
        store.close();
    }

    @Test
    void snapshotReplacesTheLogBeforeIt() throws IOException {
        writeSampleStore(null);
        Store.open(disk, options(null, 300, 1 << 20), replay).close();
        assertEquals(List.of("sabc", "3d", "4" + "e".repeat(100), "5" + "f".repeat(100)), replayed);
        assertFalse(disk.names().contains(StoreReader.segmentName(1)), "the replaced segment is deleted");
    }

    @Test
    void everySingleBitChangeIsDetected() throws IOException {
        for (String keys : new String[] {null, FIRST_KEY}) {
            writeSampleStore(keys);
            for (String name : disk.names()) {
                for (int offset = 0; offset < disk.size(name); offset++) {
                    int bit = offset % 8;
                    disk.flipBit(name, offset, bit);
                    StoreVerification verification =
                            StoreVerification.of(disk, options(keys, 1, 1).keys(), RecordConsumer.IGNORE);
                    assertFalse(verification.clean(), name + " at " + offset);
                    assertTrue(
                            verification.damage() == null
                                    || verification.damage().file().equals(name)
                                    || offset < FileHeader.BYTES,
                            () -> name + ": " + verification.damage());
                    disk.flipBit(name, offset, bit);
                }
            }
            assertTrue(StoreVerification.of(disk, options(keys, 1, 1).keys(), RecordConsumer.IGNORE)
                    .clean());
            for (String name : disk.names()) {
                disk.delete(name);
            }
        }
    }

    @Test
    void damagedStoreIsNeitherOpenedNorChanged() throws IOException {
        writeSampleStore(null);
        String last = StoreReader.segmentName(disk.names().stream()
                .filter(name -> name.endsWith(".log"))
                .mapToLong(name -> Long.parseLong(name.substring(0, 16), 16))
                .max()
                .orElseThrow());
        disk.flipBit(last, FileHeader.BYTES + 70, 1);
        int stepsBefore = disk.steps;
        CorruptStoreException e =
                assertThrows(CorruptStoreException.class, () -> Store.open(disk, Store.Options.DEFAULTS, replay));
        assertEquals(last + " at 104: a frame that was forced to the disk is damaged", e.getMessage());
        assertEquals(stepsBefore, disk.steps);
        disk.flipBit(last, FileHeader.BYTES + 70, 1);
        Store.open(disk, Store.Options.DEFAULTS, replay).close(); // the failed open released the lock
    }

    @Test
    void missingSegmentsAreReportedByName() throws IOException {
        writeSampleStore(null);
        List<String> logs = disk.names().stream()
                .filter(name -> name.endsWith(".log"))
                .sorted()
                .toList();
        assertTrue(logs.size() >= 3);
        for (int i = 0; i < logs.size(); i++) {
            Disk.File file = disk.open(logs.get(i));
            disk.delete(logs.get(i));
            StoreVerification verification = StoreVerification.of(disk, SigningKeys.NONE, RecordConsumer.IGNORE);
            // A missing last segment cannot be detected from the remaining files; that would need a count elsewhere.
            assertEquals(i < logs.size() - 1, verification.damage() != null, logs.get(i) + ": " + verification);
            if (i > 0 && i < logs.size() - 1) {
                assertEquals(
                        logs.get(i) + " at 0: segment is missing",
                        verification.damage().getMessage());
            }
            Disk.File restored = disk.create(logs.get(i));
            ByteBuffer bytes = ByteBuffer.allocate((int) file.size());
            file.read(0, bytes);
            restored.write(0, bytes.flip());
        }
        assertTrue(StoreVerification.of(disk, SigningKeys.NONE, RecordConsumer.IGNORE)
                .clean());
    }

    @Test
    void newerFormatIsRefusedAndNotReportedAsCorruption() throws IOException {
        Store.open(disk, Store.Options.DEFAULTS, replay).close();
        String name = disk.names().get(0);
        ByteBuffer head = ByteBuffer.allocate(FileHeader.BYTES);
        disk.open(name).read(0, head);
        head.put(7, (byte) 2);
        CRC32C sum = new CRC32C();
        sum.update(head.duplicate().position(0).limit(36));
        sum.update(head.duplicate().position(40).limit(FileHeader.BYTES));
        disk.create(name).write(0, head.putInt(36, (int) sum.getValue()).rewind());
        IOException e = assertThrows(IOException.class, () -> Store.open(disk, Store.Options.DEFAULTS, replay));
        assertTrue(e.getMessage().contains("file format 2 is not supported"), e.getMessage());
        assertTrue(e.getMessage().contains("written by a newer version"), e.getMessage());
    }

    @Test
    void storeCanBeOpenedOnlyOnceAtATime() throws IOException {
        Store one = Store.open(disk, Store.Options.DEFAULTS, replay);
        IOException e = assertThrows(IOException.class, () -> Store.open(disk, Store.Options.DEFAULTS, replay));
        assertEquals("the store is locked: it is already open in this or another process", e.getMessage());
        one.close();
        Store.open(disk, Store.Options.DEFAULTS, replay).close();
        DirectoryDisk real = new DirectoryDisk(folder.resolve("s"));
        Store open = Store.open(real, Store.Options.DEFAULTS, replay);
        assertThrows(
                IOException.class,
                () -> Store.open(new DirectoryDisk(folder.resolve("s")), Store.Options.DEFAULTS, replay));
        open.close();
    }

    @Test
    void restartsLeaveNoFilesBehind() throws IOException {
        for (int i = 0; i < 20; i++) {
            Store.open(disk, Store.Options.DEFAULTS, replay).close();
        }
        assertEquals(1, disk.names().size());
    }

    @Test
    void fullStoreRefusesRecordsUntilASnapshotFreesSpace() throws IOException {
        Store store = Store.open(disk, options(null, 1_000, 4_000), replay);
        int n = 0;
        while (true) {
            try {
                store.append(group("x".repeat(100)), true);
                n++;
            } catch (StoreFailedException e) {
                assertEquals(StoreFailedException.Reason.SIZE_LIMIT, e.reason());
                break;
            }
        }
        assertTrue(n > 15 && n < 25, n + " records");
        assertTrue(store.sizeBytes() <= 4_000);
        Store.Snapshot tooLarge = store.snapshot();
        StoreFailedException bound = assertThrows(StoreFailedException.class, () -> {
            tooLarge.add(new byte[3_000]);
            tooLarge.finish();
        });
        assertEquals(StoreFailedException.Reason.SIZE_LIMIT, bound.reason());
        Store.Snapshot snapshot = store.snapshot();
        snapshot.add("sum".getBytes(StandardCharsets.US_ASCII));
        snapshot.finish();
        store.append(group("y"), true);
        store.close();
        Store.open(disk, Store.Options.DEFAULTS, replay).close();
        assertEquals(List.of("ssum", n + "y"), replayed);
    }

    @Test
    void fullDiskLosesOnlyTheRecordsAppendedMeanwhile() throws IOException {
        Store store = Store.open(disk, Store.Options.DEFAULTS, replay);
        store.append(group("before"), true);
        disk.full = true;
        for (int i = 0; i < 3; i++) {
            assertThrows(StoreFailedException.class, () -> store.append(group("lost"), true));
            assertTrue(store.failed());
            assertEquals(1, store.nextRecord());
        }
        disk.full = false;
        store.append(group("after"), true);
        assertFalse(store.failed());
        store.close();
        Store.open(disk, Store.Options.DEFAULTS, replay).close();
        assertEquals(List.of("0before", "1after"), replayed);
    }

    @Test
    void storeSignedWithAnUnknownKeyIsNotRead() throws IOException {
        writeSampleStore(FIRST_KEY);
        assertNotNull(StoreVerification.of(disk, SigningKeys.NONE, replay).damage());
        assertNotNull(StoreVerification.of(disk, SigningKeys.parse("k", "1 " + "0c".repeat(32) + "\n"), replay)
                .damage());
        assertNull(StoreVerification.of(disk, SigningKeys.parse("k", BOTH_KEYS), replay)
                .damage());
    }

    /** An attacker without the key adds a segment that is valid except for its missing signature. */
    @Test
    void unsignedSegmentAfterSignedOnesIsNotRead() throws IOException {
        Store store = Store.open(disk, options(FIRST_KEY, 1_000, 1 << 20), replay);
        store.append(group("a"), true);
        store.close();
        StoreReader scan = new StoreReader(disk, SigningKeys.parse("keys", FIRST_KEY), replay).run();
        SignatureChain forged = new SignatureChain(SigningKeys.NONE);
        forged.startFrom(scan.durableChain().lastSignature());
        disk.create(StoreReader.segmentName(2))
                .write(
                        0,
                        FileHeader.write(FileHeader.Kind.SEGMENT, 2, scan.durableNextRecord, scan.durableEnd, forged));
        IOException e =
                assertThrows(IOException.class, () -> Store.open(disk, options(FIRST_KEY, 1_000, 1 << 20), replay));
        assertEquals(
                StoreReader.segmentName(2) + " at 72: file header is not signed, but the data before it is",
                e.getMessage());
    }

    @Test
    void frameOfAnotherFileIsNotAccepted() {
        ByteBuffer bytes = Frame.write(1, 5, FileHeader.BYTES, group("a"), new SignatureChain(SigningKeys.NONE));
        assertNotNull(Frame.read(bytes, 0, 1));
        assertNull(Frame.read(bytes, 0, 2), "a disk may return blocks of an old file in a new one");
    }

    @Test
    void keysCanBeReplacedAndTheOldKeyIsNeededUntilASnapshot() throws IOException {
        Store store = Store.open(disk, options(FIRST_KEY, 1_000, 1 << 20), replay);
        store.append(group("old"), true);
        assertThrows(
                IllegalArgumentException.class,
                () -> store.replaceKeys(SigningKeys.parse("k", "2 " + "0b".repeat(32) + "\n")));
        store.replaceKeys(SigningKeys.parse("k", BOTH_KEYS));
        store.append(group("new"), true);
        SigningKeys onlyNew = SigningKeys.parse("k", "2 " + "0b".repeat(32) + "\n");
        assertNotNull(StoreVerification.of(disk, onlyNew, RecordConsumer.IGNORE).damage());
        Store.Snapshot snapshot = store.snapshot();
        snapshot.add(new byte[] {1});
        snapshot.finish();
        store.close();
        assertNull(StoreVerification.of(disk, onlyNew, RecordConsumer.IGNORE).damage());
    }

    @Test
    void invalidKeyFileIsRefusedInOneLineWithoutShowingAKey() throws IOException {
        for (String invalid : List.of(
                "",
                "1 0a0b\n",
                "0 " + "0a".repeat(32) + "\n",
                FIRST_KEY + FIRST_KEY,
                FIRST_KEY + "2 zz\n",
                FIRST_KEY + "2 0a",
                "# nothing\n",
                "1\n",
                "1 " + "0a".repeat(300) + "\n")) {
            IOException e = assertThrows(IOException.class, () -> SigningKeys.parse("file", invalid), invalid);
            assertFalse(e.getMessage().contains("0a") || e.getMessage().contains("\n"), e.getMessage());
        }
        Path file = folder.resolve("keys");
        Files.writeString(file, FIRST_KEY);
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-r-----"));
        assertThrows(IOException.class, () -> SigningKeys.read(file));
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        assertEquals(1, SigningKeys.read(file).signingKeyId());
    }

    @Test
    void failingListenerDoesNotAffectOtherListeners() throws Exception {
        GroupCommit commit = new GroupCommit(
                Store.open(disk, Store.Options.DEFAULTS, replay),
                new GroupCommit.Settings(GroupCommit.Policy.GROUP, 500, 64, 16),
                System::nanoTime,
                "writer");
        assertThrows(IllegalArgumentException.class, () -> commit.offer(new byte[Frame.MAX_BODY_BYTES], null));
        AtomicInteger stored = new AtomicInteger();
        commit.run(unused -> {
            throw new IllegalStateException("failing task");
        });
        for (int i = 0; i < 3; i++) {
            commit.offer(new byte[1], new GroupCommit.Listener() {
                @Override
                public void stored(long number) {
                    stored.incrementAndGet();
                    throw new IllegalStateException("failing listener");
                }

                @Override
                public void failed(IOException why) {
                    throw new AssertionError(why);
                }
            });
        }
        commit.close();
        assertEquals(3, stored.get());
    }

    @Test
    void groupCommitWritesQueuedRecordsAndRefusesWhenTheQueueIsFull() throws Exception {
        Store store = Store.open(new DirectoryDisk(folder.resolve("g")), Store.Options.DEFAULTS, replay);
        GroupCommit commit = new GroupCommit(
                store, new GroupCommit.Settings(GroupCommit.Policy.GROUP, 500, 64, 16), System::nanoTime, "writer");
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        assertTrue(commit.run(unused -> {
            blocked.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }));
        assertTrue(blocked.await(10, TimeUnit.SECONDS));
        AtomicInteger stored = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        List<Long> numbers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            boolean accepted = commit.offer(("r" + i).getBytes(StandardCharsets.US_ASCII), new GroupCommit.Listener() {
                @Override
                public void stored(long number) {
                    numbers.add(number);
                    stored.incrementAndGet();
                }

                @Override
                public void failed(IOException why) {
                    throw new AssertionError(why);
                }
            });
            refused.addAndGet(accepted ? 0 : 1);
        }
        assertEquals(24, refused.get());
        release.countDown();
        commit.close();
        assertEquals(16, stored.get());
        assertEquals(List.of(0L, 1L, 2L, 3L), numbers.subList(0, 4));
        assertFalse(commit.offer(new byte[1], null), "the writer is closed");
        Store.open(new DirectoryDisk(folder.resolve("g")), Store.Options.DEFAULTS, replay)
                .close();
        assertEquals(16, this.replayed.size());
        assertEquals("15r15", this.replayed.get(15));
    }
}
