package gatefront.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;

/**
 * A log of records and the snapshot that stands for its beginning. One thread.
 *
 * <p>Why nothing that was forced to the disk is lost or comes twice: a frame is at one place, and the next frame, or
 * the head of the next segment, says up to where all was certain when it was written. A crash can only leave a part of
 * what comes after that, and reading ends before the first piece of it that is not whole. What was read beyond the
 * certain place may not be on the disk yet, so each start writes it again into a new segment, whose head says that the
 * old one ends before it; the segment gets its name only once all of it has been forced, so either both the head and
 * the pieces count, or neither. The same holds after a write or a force that failed: nothing from that file is believed
 * beyond the last force that did not.
 *
 * <p>State: open files are the current segment and a snapshot in the making. {@link #segmentSizes} has an entry for
 * each file of the log, added by {@link #beginSegment} and removed by a snapshot; {@link Options#maxBytes()} bounds
 * them.
 */
public final class Store implements Closeable {
    /**
     * How a store is kept.
     *
     * @param keys by which it is signed
     * @param segmentBytes from which size on another segment is begun
     * @param maxBytes what all files together may take; records beyond are refused
     */
    public record Options(SigningKeys keys, int segmentBytes, long maxBytes) {
        /** Not signed, segments of 4 MiB, a gigabyte. */
        public static final Options DEFAULTS = new Options(SigningKeys.NONE, 4 << 20, 1 << 30);
    }

    /** Room for heads and marks, without which a full store could neither be closed nor cut down. */
    private static final int RESERVED_BYTES = 3 * FileHeader.BYTES + 2 * Frame.HEADER_BYTES;

    private final Disk disk;
    private final Options options;
    private final Closeable lock;
    /** The size of each segment but the current one, by its number. */
    private final TreeMap<Long, Long> segmentSizes = new TreeMap<>();
    /** By number of segment, which record each begins with; the current one too. */
    private final TreeMap<Long, Long> firstRecords = new TreeMap<>();

    private final SignatureChain chain;
    private final SignatureChain durableChain;
    private Disk.File file;
    private long segmentNumber;
    private long segmentEnd;
    private long nextRecord;
    private long durableEnd;
    private long durableNextRecord;
    private String snapshotName;
    private long snapshotBytes;
    private Snapshot pendingSnapshot;
    private IOException lastFailure;

    private Store(Disk disk, Options options, Closeable lock, StoreReader reader) {
        this.disk = disk;
        this.options = options;
        this.lock = lock;
        this.chain = reader.durableChain();
        this.durableChain = chain.copy();
        this.snapshotName = reader.snapshotName;
        this.snapshotBytes = reader.snapshotBytes;
        this.nextRecord = reader.durableNextRecord;
        this.durableNextRecord = reader.durableNextRecord;
        this.durableEnd = reader.durableEnd;
        reader.segments.forEach(segment -> {
            segmentSizes.put(segment.header().number(), segment.size());
            firstRecords.put(segment.header().number(), segment.header().firstRecord());
        });
    }

    /**
     * Opens a store, or makes one in an empty folder, and tells what it holds.
     *
     * @throws CorruptStoreException if a file is not what was written; nothing has been changed then
     * @throws IOException if somebody else has it open, or the disk would not do
     */
    public static Store open(Disk disk, Options options, RecordConsumer replay) throws IOException {
        Closeable lock = disk.lock();
        if (lock == null) {
            throw new StoreInUseException();
        }
        Store store = null;
        try {
            StoreReader reader = new StoreReader(disk, options.keys(), replay).run();
            store = new Store(disk, options, lock, reader);
            for (String name : reader.obsoleteFiles) {
                disk.delete(name);
            }
            store.beginFirstSegment(reader);
            return store;
        } catch (IOException | RuntimeException e) {
            if (store != null && store.file != null) {
                closeQuietly(store.file);
            }
            closeQuietly(lock);
            throw e;
        }
    }

    /** What was read beyond what is certain goes into a new segment; one that holds nothing certain is replaced. */
    private void beginFirstSegment(StoreReader reader) throws IOException {
        boolean empty = !segmentSizes.isEmpty() && durableEnd == FileHeader.BYTES;
        long lastNumber = segmentSizes.isEmpty() ? 0 : segmentSizes.lastKey();
        List<List<byte[]>> unconfirmed = reader.unconfirmed.stream()
                .map(records -> records.frame().records())
                .filter(records -> !records.isEmpty())
                .toList();
        if (empty) {
            // The replaced one's own head stands for what the one before it holds.
            StoreReader.Segment replaced = reader.segments.get(reader.segments.size() - 1);
            chain.startFrom(replaced.header().previousSignature());
            durableChain.copyFrom(chain);
            beginSegment(lastNumber, replaced.header().previousEnd(), unconfirmed);
        } else {
            beginSegment(lastNumber + 1, durableEnd, unconfirmed);
        }
    }

    /** Makes a segment that begins where what is certain ends, with some frames in it, and goes on there. */
    private void beginSegment(long number, long previousEnd, List<List<byte[]>> frames) throws IOException {
        String name = StoreReader.segmentName(number);
        SignatureChain newChain = durableChain.copy();
        long offset = FileHeader.BYTES;
        long firstRecord = durableNextRecord;
        Disk.File created = disk.create(name + StoreReader.UNFINISHED_SUFFIX);
        try {
            created.write(
                    0, FileHeader.write(FileHeader.Kind.SEGMENT, number, durableNextRecord, previousEnd, newChain));
            for (List<byte[]> records : frames) {
                ByteBuffer bytes = Frame.write(number, firstRecord, offset, records, newChain);
                int length = bytes.remaining();
                created.write(offset, bytes);
                offset += length;
                firstRecord += records.size();
            }
            created.sync();
            disk.move(name + StoreReader.UNFINISHED_SUFFIX, name);
            disk.syncNames();
        } catch (IOException e) {
            closeQuietly(created);
            throw e;
        }
        if (file != null) {
            segmentSizes.put(segmentNumber, segmentEnd);
            closeQuietly(file); // forced already, or not believed
        }
        segmentSizes.remove(number);
        firstRecords.put(number, durableNextRecord);
        file = created;
        segmentNumber = number;
        segmentEnd = offset;
        nextRecord = firstRecord;
        chain.copyFrom(newChain);
        markDurable();
    }

    private void markDurable() {
        durableEnd = segmentEnd;
        durableNextRecord = nextRecord;
        durableChain.copyFrom(chain);
    }

    /** The number that the next record gets. After a failure it is that after the last record forced to the disk. */
    public long nextRecord() {
        return nextRecord;
    }

    /** The bytes of all files. */
    public long sizeBytes() {
        return segmentSizes.values().stream().mapToLong(Long::longValue).sum()
                + segmentEnd
                + snapshotBytes
                + (pendingSnapshot == null ? 0 : pendingSnapshot.snapshotEnd);
    }

    /** Whether the last write failed, and none since has gone well. */
    public boolean failed() {
        return lastFailure != null;
    }

    /**
     * Adds records, all or none. They are certain once this returns if they are forced, else after the next force.
     *
     * @param records one or more; a frame's bytes at the most
     * @param force whether they are to be on the disk when this returns
     * @throws StoreFailedException if none of them is kept; after a fault of the disk, no record since the last force
     *     is, but one that had reached the disk may come back if the process ends before the store has written again
     */
    public void append(List<byte[]> records, boolean force) throws StoreFailedException {
        int size = Frame.HEADER_BYTES
                + records.stream().mapToInt(Frame::encodedSize).sum();
        if (records.isEmpty() || size - Frame.HEADER_BYTES > Frame.MAX_BODY_BYTES) {
            throw new IllegalArgumentException("a frame holds one record or more, and " + Frame.MAX_BODY_BYTES
                    + " bytes at the most, not " + size);
        }
        recover();
        if (sizeBytes() + size + RESERVED_BYTES > options.maxBytes()) {
            throw new StoreFailedException(
                    StoreFailedException.Reason.SIZE_LIMIT,
                    "the store may take " + options.maxBytes() + " bytes, and has " + sizeBytes(),
                    null);
        }
        try {
            if (segmentEnd > FileHeader.BYTES && segmentEnd + size > options.segmentBytes()) {
                rotate();
            }
            write(records);
            if (force) {
                file.sync();
                markDurable();
            }
        } catch (IOException e) {
            throw fail(e);
        }
    }

    private void write(List<byte[]> records) throws IOException {
        SignatureChain newChain = chain.copy();
        ByteBuffer bytes = Frame.write(segmentNumber, nextRecord, durableEnd, records, newChain);
        int length = bytes.remaining();
        file.write(segmentEnd, bytes);
        chain.copyFrom(newChain);
        segmentEnd += length;
        nextRecord += records.size();
    }

    /**
     * Signs with other keys from now on. What is there stays signed as it was, so the old keys are to be kept until a
     * snapshot has taken the place of all that they signed.
     *
     * @throws IllegalArgumentException if the key that signs now is not among them
     */
    public void replaceKeys(SigningKeys newKeys) {
        if (chain.signingKeyId() != 0 && !newKeys.has(chain.signingKeyId())) {
            throw new IllegalArgumentException(
                    "key " + chain.signingKeyId() + ", which signed what is there, is missing");
        }
        chain.replaceKeys(newKeys);
        durableChain.replaceKeys(newKeys);
    }

    /** Forces what was added to the disk. */
    public void force() throws StoreFailedException {
        recover();
        try {
            if (durableEnd < segmentEnd) {
                file.sync();
                markDurable();
            }
        } catch (IOException e) {
            throw fail(e);
        }
    }

    private void rotate() throws IOException {
        if (durableEnd < segmentEnd) {
            file.sync();
            markDurable();
        }
        beginSegment(segmentNumber + 1, durableEnd, List.of());
    }

    private StoreFailedException fail(IOException e) {
        lastFailure = e;
        nextRecord = durableNextRecord;
        return new StoreFailedException(
                StoreFailedException.Reason.IO_ERROR, "the disk would not take it: " + e.getMessage(), e);
    }

    /** After a failure another segment is begun, which says that the old one ends with what was forced. */
    private void recover() throws StoreFailedException {
        if (lastFailure == null) {
            return;
        }
        try {
            segmentEnd = durableEnd;
            chain.copyFrom(durableChain);
            beginSegment(segmentNumber + 1, durableEnd, List.of());
            lastFailure = null;
        } catch (IOException e) {
            throw fail(e);
        }
    }

    /**
     * Begins a snapshot that stands for all records before the next. The owner hands over its state as it is now; the
     * log may grow meanwhile.
     *
     * @throws StoreFailedException if it could not be begun; the log is as it was
     */
    public Snapshot snapshot() throws StoreFailedException {
        if (pendingSnapshot != null) {
            throw new IllegalStateException("a snapshot is being made");
        }
        force();
        try {
            if (segmentEnd > FileHeader.BYTES) {
                rotate(); // the segments before it can go then
            }
        } catch (IOException e) {
            throw fail(e);
        }
        pendingSnapshot = new Snapshot();
        try {
            pendingSnapshot.writeHeader();
        } catch (IOException e) {
            throw pendingSnapshot.abandonAfter(e);
        }
        return pendingSnapshot;
    }

    /** A snapshot in the making. */
    public final class Snapshot {
        private static final int FLUSH_BYTES = 1 << 18;

        private final long endRecord = nextRecord;
        private final SignatureChain snapshotChain = chain.copy();
        private final List<byte[]> pendingRecords = new ArrayList<>();
        private Disk.File snapshotFile;
        private int pendingBytes;
        private long snapshotEnd;
        private long recordCount;

        private String name() {
            return StoreReader.snapshotName(endRecord);
        }

        private void writeHeader() throws IOException {
            snapshotFile = disk.create(name() + StoreReader.UNFINISHED_SUFFIX);
            ByteBuffer header = FileHeader.write(FileHeader.Kind.SNAPSHOT, endRecord, 0, 0, snapshotChain);
            snapshotFile.write(0, header);
            snapshotEnd = FileHeader.BYTES;
        }

        /** Adds a piece of the state. */
        public void add(byte[] record) throws StoreFailedException {
            pendingRecords.add(record);
            pendingBytes += Frame.encodedSize(record);
            if (pendingBytes >= FLUSH_BYTES) {
                flush();
            }
        }

        private void flush() throws StoreFailedException {
            if (sizeBytes() + pendingBytes + 2 * Frame.HEADER_BYTES > options.maxBytes()) {
                abandon();
                throw new StoreFailedException(
                        StoreFailedException.Reason.SIZE_LIMIT,
                        "no snapshot was made: the store may take " + options.maxBytes() + " bytes",
                        null);
            }
            try {
                ByteBuffer bytes = Frame.write(endRecord, recordCount, FileHeader.BYTES, pendingRecords, snapshotChain);
                int length = bytes.remaining();
                snapshotFile.write(snapshotEnd, bytes);
                snapshotEnd += length;
                recordCount += pendingRecords.size();
                pendingRecords.clear();
                pendingBytes = 0;
            } catch (IOException e) {
                throw abandonAfter(e);
            }
        }

        /** All of the state has been added: the snapshot counts from now on, and what it stands for goes. */
        public void finish() throws StoreFailedException {
            if (!pendingRecords.isEmpty()) {
                flush();
            }
            flush(); // a frame of nothing ends it
            try {
                snapshotFile.sync();
                snapshotFile.close();
                disk.move(name() + StoreReader.UNFINISHED_SUFFIX, name());
                disk.syncNames();
            } catch (IOException e) {
                throw abandonAfter(e);
            }
            String oldSnapshot = snapshotName;
            snapshotName = name();
            snapshotBytes = snapshotEnd;
            pendingSnapshot = null;
            deleteObsolete(oldSnapshot);
        }

        /** It is given up; the log is as it was. */
        public void abandon() {
            closeQuietly(snapshotFile);
            try {
                disk.delete(name() + StoreReader.UNFINISHED_SUFFIX);
            } catch (IOException e) {
                // it stands for nothing, and goes at the next start
            }
            pendingSnapshot = null;
        }

        private StoreFailedException abandonAfter(IOException e) {
            abandon();
            return new StoreFailedException(
                    StoreFailedException.Reason.IO_ERROR, "no snapshot was made: " + e.getMessage(), e);
        }

        private void deleteObsolete(String oldSnapshot) {
            try {
                if (oldSnapshot != null && !oldSnapshot.equals(snapshotName)) {
                    disk.delete(oldSnapshot);
                }
                for (Iterator<Long> numbers = segmentSizes.keySet().iterator(); numbers.hasNext(); ) {
                    long segment = numbers.next();
                    Long following = firstRecords.get(segment + 1);
                    if (following == null || following > endRecord) {
                        break;
                    }
                    disk.delete(StoreReader.segmentName(segment));
                    numbers.remove();
                    firstRecords.remove(segment);
                }
                disk.syncNames();
            } catch (IOException e) {
                // they stand for nothing, and go at the next start
            }
        }
    }

    /** Forces what is there, says so in the file, and lets others in. */
    @Override
    public void close() throws IOException {
        if (pendingSnapshot != null) {
            pendingSnapshot.abandon();
        }
        try {
            if (lastFailure == null) {
                force();
                write(List.of());
                file.sync();
            }
        } finally {
            closeQuietly(file);
            lock.close();
        }
    }

    private static void closeQuietly(Closeable resource) {
        try {
            if (resource != null) {
                resource.close();
            }
        } catch (IOException e) {
            // nothing more is wanted of it
        }
    }
}
