package gatefront.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;

/**
 * A log of records with a snapshot that replaces its beginning. Not safe for use by several threads.
 *
 * <p>Records that were forced to the disk are neither lost nor duplicated, for these reasons. Each frame and each
 * segment's header state up to which offset all data before it was durable when it was written. A crash can only leave
 * data after that offset incomplete, and reading ends before the first incomplete frame. Frames read beyond the durable
 * offset may not be on the disk yet, so each start writes them again into a new segment, whose header states that the
 * old one ends before them. The segment gets its final name only after all of it has been forced, so its header and the
 * rewritten frames become valid together or not at all. The same applies after a failed write or force: data of that
 * file after the last successful force is discarded.
 *
 * <p>State: the open files are the current segment and a snapshot that is being written. {@link #segmentSizes} has an
 * entry for each earlier segment, added by {@link #beginSegment} and removed when a snapshot replaces it;
 * {@link Options#maxBytes()} bounds them.
 */
public final class Store implements Closeable {
    /**
     * The settings of a store.
     *
     * @param keys the keys that sign it
     * @param segmentBytes the size at which a new segment is started, in bytes
     * @param maxBytes the limit on the size of all files together, in bytes; records beyond it are refused
     */
    public record Options(SigningKeys keys, int segmentBytes, long maxBytes) {
        /** The default options: unsigned, segments of 4 MiB, at most 1 GiB in all files together. */
        public static final Options DEFAULTS = new Options(SigningKeys.NONE, 4 << 20, 1 << 30);
    }

    /** Space reserved for headers and end markers, so that a full store can still be closed and compacted. */
    private static final int RESERVED_BYTES = 3 * FileHeader.BYTES + 2 * Frame.HEADER_BYTES;

    private final Disk disk;
    private final Options options;
    private final Closeable lock;
    /** The size in bytes of each segment except the current one, by segment number. */
    private final TreeMap<Long, Long> segmentSizes = new TreeMap<>();
    /** The number of the first record of each segment, including the current one, by segment number. */
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
     * Opens a store, or creates one in an empty directory, and passes its records to {@code replay}.
     *
     * @throws CorruptStoreException if a file is damaged; no file has been changed then
     * @throws StoreInUseException if it is already open
     * @throws IOException if a disk operation fails
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

    /**
     * Rewrites the frames read beyond the durable offset into a new segment. A last segment without durable frames is
     * replaced.
     */
    private void beginFirstSegment(StoreReader reader) throws IOException {
        boolean empty = !segmentSizes.isEmpty() && durableEnd == FileHeader.BYTES;
        long lastNumber = segmentSizes.isEmpty() ? 0 : segmentSizes.lastKey();
        List<List<byte[]>> unconfirmed = reader.unconfirmed.stream()
                .map(unconfirmedFrame -> unconfirmedFrame.frame().records())
                .filter(records -> !records.isEmpty())
                .toList();
        if (empty) {
            // The header of the replaced segment states where the segment before it ends, so its values are kept.
            StoreReader.Segment replaced = reader.segments.get(reader.segments.size() - 1);
            chain.startFrom(replaced.header().previousSignature());
            durableChain.copyFrom(chain);
            beginSegment(lastNumber, replaced.header().previousEnd(), unconfirmed);
        } else {
            beginSegment(lastNumber + 1, durableEnd, unconfirmed);
        }
    }

    /** Creates a segment that starts after the last durable record and contains these frames, and switches to it. */
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
            closeQuietly(file); // already forced, or its undurable data is discarded
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

    /** Returns the number of the next record; after a failure, the one after the last record forced to the disk. */
    public long nextRecord() {
        return nextRecord;
    }

    /** Returns the total size of all files in bytes. */
    public long sizeBytes() {
        return segmentSizes.values().stream().mapToLong(Long::longValue).sum()
                + segmentEnd
                + snapshotBytes
                + (pendingSnapshot == null ? 0 : pendingSnapshot.snapshotEnd);
    }

    /** Returns whether the last write failed; a later successful write clears this. */
    public boolean failed() {
        return lastFailure != null;
    }

    /**
     * Appends records, all or none. They are durable once this returns if {@code force} is set, otherwise after the
     * next force.
     *
     * @param records one or more records that fit into one frame
     * @param force whether to force them to the disk before returning
     * @throws StoreFailedException if none of them was stored. After a disk error, all records since the last force are
     *     discarded; one that had reached the disk may reappear if the process ends before the store has written again
     */
    public void append(List<byte[]> records, boolean force) throws StoreFailedException {
        int size = Frame.HEADER_BYTES
                + records.stream().mapToInt(Frame::encodedSize).sum();
        if (records.isEmpty() || size - Frame.HEADER_BYTES > Frame.MAX_BODY_BYTES) {
            throw new IllegalArgumentException("a frame takes at least one record and at most " + Frame.MAX_BODY_BYTES
                    + " bytes; got " + records.size() + " records, " + (size - Frame.HEADER_BYTES) + " bytes");
        }
        recover();
        if (sizeBytes() + size + RESERVED_BYTES > options.maxBytes()) {
            throw new StoreFailedException(
                    StoreFailedException.Reason.SIZE_LIMIT,
                    "store size limit reached: " + size + " more bytes requested, " + sizeBytes() + " of "
                            + options.maxBytes() + " used",
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
            throw recordFailure(e);
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
     * Signs with other keys from now on. Existing data keeps its signatures, so the old keys must be kept until a
     * snapshot has replaced all data that they signed.
     *
     * @throws IllegalArgumentException if the current signing key is not among the new keys
     */
    public void replaceKeys(SigningKeys newKeys) {
        if (chain.signingKeyId() != 0 && !newKeys.has(chain.signingKeyId())) {
            throw new IllegalArgumentException(
                    "the new keys lack key " + chain.signingKeyId() + ", which signed the existing data");
        }
        chain.replaceKeys(newKeys);
        durableChain.replaceKeys(newKeys);
    }

    /** Forces appended records to the disk. */
    public void force() throws StoreFailedException {
        recover();
        try {
            if (durableEnd < segmentEnd) {
                file.sync();
                markDurable();
            }
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    private void rotate() throws IOException {
        if (durableEnd < segmentEnd) {
            file.sync();
            markDurable();
        }
        beginSegment(segmentNumber + 1, durableEnd, List.of());
    }

    private StoreFailedException recordFailure(IOException e) {
        lastFailure = e;
        nextRecord = durableNextRecord;
        return new StoreFailedException(
                StoreFailedException.Reason.IO_ERROR, "disk operation failed: " + e.getMessage(), e);
    }

    /** After a failure, starts a new segment whose header states that the old one ends with its last forced data. */
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
            throw recordFailure(e);
        }
    }

    /**
     * Starts a snapshot that replaces all records appended so far. The owner adds its state as of now; more records may
     * be appended meanwhile.
     *
     * @throws StoreFailedException if it could not be started; the log is unchanged
     */
    public Snapshot snapshot() throws StoreFailedException {
        if (pendingSnapshot != null) {
            throw new IllegalStateException("a snapshot is already in progress");
        }
        force();
        try {
            if (segmentEnd > FileHeader.BYTES) {
                rotate(); // so that all earlier segments can be deleted when the snapshot is finished
            }
        } catch (IOException e) {
            throw recordFailure(e);
        }
        pendingSnapshot = new Snapshot();
        try {
            pendingSnapshot.writeHeader();
        } catch (IOException e) {
            throw pendingSnapshot.abandonAfter(e);
        }
        return pendingSnapshot;
    }

    /** A snapshot that is being written. */
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

        /** Adds a record of the state. */
        public void add(byte[] record) throws StoreFailedException {
            pendingRecords.add(record);
            pendingBytes += Frame.encodedSize(record);
            if (pendingBytes >= FLUSH_BYTES) {
                flush();
            }
        }

        private void flush() throws StoreFailedException {
            long needed = sizeBytes() + pendingBytes + 2 * Frame.HEADER_BYTES;
            if (needed > options.maxBytes()) {
                abandon();
                throw new StoreFailedException(
                        StoreFailedException.Reason.SIZE_LIMIT,
                        "snapshot failed: it needs " + needed + " bytes in total, limit " + options.maxBytes(),
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

        /** Completes the snapshot, makes it durable, and deletes the files that it replaces. */
        public void finish() throws StoreFailedException {
            if (!pendingRecords.isEmpty()) {
                flush();
            }
            flush(); // writes an empty frame, the end marker
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

        /** Discards the snapshot; the log is unchanged. */
        public void abandon() {
            closeQuietly(snapshotFile);
            try {
                disk.delete(name() + StoreReader.UNFINISHED_SUFFIX);
            } catch (IOException e) {
                // An unfinished file is ignored, and is deleted at the next start.
            }
            pendingSnapshot = null;
        }

        private StoreFailedException abandonAfter(IOException e) {
            abandon();
            return new StoreFailedException(
                    StoreFailedException.Reason.IO_ERROR, "snapshot failed: " + e.getMessage(), e);
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
                // Replaced files are ignored, and are deleted at the next start.
            }
        }
    }

    /** Forces all records, writes an end marker that states this, and releases the lock. */
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
            // The resource is no longer used, so a failure to close it has no effect.
        }
    }
}
