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
 * <p>State: open files are the current segment and a snapshot in the making. {@link #segments} has an entry for each
 * file of the log, added by {@link #begin} and removed by a snapshot; {@link Options#bytesMost()} bounds them.
 */
public final class Store implements Closeable {
    /**
     * How a store is kept.
     *
     * @param keys by which it is signed
     * @param segmentBytes from which size on another segment is begun
     * @param bytesMost what all files together may take; records beyond are refused
     */
    public record Options(SigningKeys keys, int segmentBytes, long bytesMost) {
        /** Not signed, segments of 4 MiB, a gigabyte. */
        public static final Options USUAL = new Options(SigningKeys.NONE, 4 << 20, 1 << 30);
    }

    /** Room for heads and marks, without which a full store could neither be closed nor cut down. */
    private static final int RESERVE = 3 * FileHeader.BYTES + 2 * Frame.HEAD;

    private final Disk disk;
    private final Options options;
    private final Closeable lock;
    /** The size of each segment but the current one, by its number. */
    private final TreeMap<Long, Long> segments = new TreeMap<>();
    /** By number of segment, which record each begins with; the current one too. */
    private final TreeMap<Long, Long> firsts = new TreeMap<>();

    private final SignatureChain chain;
    private final SignatureChain certain;
    private Disk.File file;
    private long number;
    private long end;
    private long next;
    private long durable;
    private long durableNext;
    private String snapshotName;
    private long snapshotBytes;
    private Snapshot making;
    private IOException failed;

    private Store(Disk disk, Options options, Closeable lock, StoreReader scan) {
        this.disk = disk;
        this.options = options;
        this.lock = lock;
        this.chain = scan.certain();
        this.certain = chain.branch();
        this.snapshotName = scan.snapshotName;
        this.snapshotBytes = scan.snapshotBytes;
        this.next = scan.durableNext;
        this.durableNext = scan.durableNext;
        this.durable = scan.durable;
        scan.segments.forEach(each -> {
            segments.put(each.head().number(), each.bytes());
            firsts.put(each.head().number(), each.head().first());
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
            StoreReader scan = new StoreReader(disk, options.keys(), replay).run();
            store = new Store(disk, options, lock, scan);
            for (String each : scan.leftOver) {
                disk.delete(each);
            }
            store.start(scan);
            return store;
        } catch (IOException | RuntimeException e) {
            if (store != null && store.file != null) {
                quietly(store.file);
            }
            quietly(lock);
            throw e;
        }
    }

    /** What was read beyond what is certain goes into a new segment; one that holds nothing certain is replaced. */
    private void start(StoreReader scan) throws IOException {
        boolean empty = !segments.isEmpty() && durable == FileHeader.BYTES;
        long last = segments.isEmpty() ? 0 : segments.lastKey();
        List<List<byte[]>> again = scan.unsure.stream()
                .map(each -> each.frame().records())
                .filter(each -> !each.isEmpty())
                .toList();
        if (empty) {
            // The replaced one's own head stands for what the one before it holds.
            StoreReader.Segment same = scan.segments.get(scan.segments.size() - 1);
            chain.begin(same.head().chain());
            certain.follow(chain);
            begin(last, same.head().before(), again);
        } else {
            begin(last + 1, durable, again);
        }
    }

    /** Makes a segment that begins where what is certain ends, with some frames in it, and goes on there. */
    private void begin(long as, long before, List<List<byte[]>> frames) throws IOException {
        String name = StoreReader.segmentName(as);
        SignatureChain trial = certain.branch();
        long at = FileHeader.BYTES;
        long comes = durableNext;
        Disk.File made = disk.create(name + StoreReader.UNFINISHED);
        try {
            made.write(0, FileHeader.write(FileHeader.Kind.SEGMENT, as, durableNext, before, trial));
            for (List<byte[]> each : frames) {
                ByteBuffer bytes = Frame.write(as, comes, at, each, trial);
                int length = bytes.remaining();
                made.write(at, bytes);
                at += length;
                comes += each.size();
            }
            made.sync();
            disk.move(name + StoreReader.UNFINISHED, name);
            disk.syncNames();
        } catch (IOException e) {
            quietly(made);
            throw e;
        }
        if (file != null) {
            segments.put(number, end);
            quietly(file); // forced already, or not believed
        }
        segments.remove(as);
        firsts.put(as, durableNext);
        file = made;
        number = as;
        end = at;
        next = comes;
        chain.follow(trial);
        settled();
    }

    private void settled() {
        durable = end;
        durableNext = next;
        certain.follow(chain);
    }

    /** The number that the next record gets. After a failure it is that after the last record forced to the disk. */
    public long next() {
        return next;
    }

    /** The bytes of all files. */
    public long bytes() {
        return segments.values().stream().mapToLong(Long::longValue).sum()
                + end
                + snapshotBytes
                + (making == null ? 0 : making.at);
    }

    /** Whether the last write failed, and none since has gone well. */
    public boolean failed() {
        return failed != null;
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
        int size = Frame.HEAD + records.stream().mapToInt(Frame::room).sum();
        if (records.isEmpty() || size - Frame.HEAD > Frame.BODY_MOST) {
            throw new IllegalArgumentException(
                    "a frame holds one record or more, and " + Frame.BODY_MOST + " bytes at the most, not " + size);
        }
        recover();
        if (bytes() + size + RESERVE > options.bytesMost()) {
            throw new StoreFailedException(
                    StoreFailedException.Why.BOUND,
                    "the store may take " + options.bytesMost() + " bytes, and has " + bytes(),
                    null);
        }
        try {
            if (end > FileHeader.BYTES && end + size > options.segmentBytes()) {
                rotate();
            }
            write(records);
            if (force) {
                file.sync();
                settled();
            }
        } catch (IOException e) {
            throw fail(e);
        }
    }

    private void write(List<byte[]> records) throws IOException {
        SignatureChain trial = chain.branch();
        ByteBuffer bytes = Frame.write(number, next, durable, records, trial);
        int length = bytes.remaining();
        file.write(end, bytes);
        chain.follow(trial);
        end += length;
        next += records.size();
    }

    /**
     * Signs with other keys from now on. What is there stays signed as it was, so the old keys are to be kept until a
     * snapshot has taken the place of all that they signed.
     *
     * @throws IllegalArgumentException if the key that signs now is not among them
     */
    public void keys(SigningKeys others) {
        if (chain.signing() != 0 && !others.has(chain.signing())) {
            throw new IllegalArgumentException("key " + chain.signing() + ", which signed what is there, is missing");
        }
        chain.keys(others);
        certain.keys(others);
    }

    /** Forces what was added to the disk. */
    public void force() throws StoreFailedException {
        recover();
        try {
            if (durable < end) {
                file.sync();
                settled();
            }
        } catch (IOException e) {
            throw fail(e);
        }
    }

    private void rotate() throws IOException {
        if (durable < end) {
            file.sync();
            settled();
        }
        begin(number + 1, durable, List.of());
    }

    private StoreFailedException fail(IOException e) {
        failed = e;
        next = durableNext;
        return new StoreFailedException(
                StoreFailedException.Why.DISK, "the disk would not take it: " + e.getMessage(), e);
    }

    /** After a failure another segment is begun, which says that the old one ends with what was forced. */
    private void recover() throws StoreFailedException {
        if (failed == null) {
            return;
        }
        try {
            end = durable;
            chain.follow(certain);
            begin(number + 1, durable, List.of());
            failed = null;
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
        if (making != null) {
            throw new IllegalStateException("a snapshot is being made");
        }
        force();
        try {
            if (end > FileHeader.BYTES) {
                rotate(); // the segments before it can go then
            }
        } catch (IOException e) {
            throw fail(e);
        }
        making = new Snapshot();
        try {
            making.begin();
        } catch (IOException e) {
            throw making.failed(e);
        }
        return making;
    }

    /** A snapshot in the making. */
    public final class Snapshot {
        private static final int BATCH = 1 << 18;

        private final long upTo = next;
        private final SignatureChain own = chain.branch();
        private final List<byte[]> waiting = new ArrayList<>();
        private Disk.File into;
        private int waits;
        private long at;
        private long count;

        private String name() {
            return StoreReader.snapshotName(upTo);
        }

        private void begin() throws IOException {
            into = disk.create(name() + StoreReader.UNFINISHED);
            ByteBuffer head = FileHeader.write(FileHeader.Kind.SNAPSHOT, upTo, 0, 0, own);
            into.write(0, head);
            at = FileHeader.BYTES;
        }

        /** Adds a piece of the state. */
        public void add(byte[] record) throws StoreFailedException {
            waiting.add(record);
            waits += Frame.room(record);
            if (waits >= BATCH) {
                flush();
            }
        }

        private void flush() throws StoreFailedException {
            if (bytes() + waits + 2 * Frame.HEAD > options.bytesMost()) {
                abandon();
                throw new StoreFailedException(
                        StoreFailedException.Why.BOUND,
                        "no snapshot was made: the store may take " + options.bytesMost() + " bytes",
                        null);
            }
            try {
                ByteBuffer bytes = Frame.write(upTo, count, FileHeader.BYTES, waiting, own);
                int length = bytes.remaining();
                into.write(at, bytes);
                at += length;
                count += waiting.size();
                waiting.clear();
                waits = 0;
            } catch (IOException e) {
                throw failed(e);
            }
        }

        /** All of the state has been added: the snapshot counts from now on, and what it stands for goes. */
        public void finish() throws StoreFailedException {
            if (!waiting.isEmpty()) {
                flush();
            }
            flush(); // a frame of nothing ends it
            try {
                into.sync();
                into.close();
                disk.move(name() + StoreReader.UNFINISHED, name());
                disk.syncNames();
            } catch (IOException e) {
                throw failed(e);
            }
            String old = snapshotName;
            snapshotName = name();
            snapshotBytes = at;
            making = null;
            prune(old);
        }

        /** It is given up; the log is as it was. */
        public void abandon() {
            quietly(into);
            try {
                disk.delete(name() + StoreReader.UNFINISHED);
            } catch (IOException e) {
                // it stands for nothing, and goes at the next start
            }
            making = null;
        }

        private StoreFailedException failed(IOException e) {
            abandon();
            return new StoreFailedException(
                    StoreFailedException.Why.DISK, "no snapshot was made: " + e.getMessage(), e);
        }

        private void prune(String old) {
            try {
                if (old != null && !old.equals(snapshotName)) {
                    disk.delete(old);
                }
                for (Iterator<Long> each = segments.keySet().iterator(); each.hasNext(); ) {
                    long segment = each.next();
                    Long following = firsts.get(segment + 1);
                    if (following == null || following > upTo) {
                        break;
                    }
                    disk.delete(StoreReader.segmentName(segment));
                    each.remove();
                    firsts.remove(segment);
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
        if (making != null) {
            making.abandon();
        }
        try {
            if (failed == null) {
                force();
                write(List.of());
                file.sync();
            }
        } finally {
            quietly(file);
            lock.close();
        }
    }

    private static void quietly(Closeable which) {
        try {
            if (which != null) {
                which.close();
            }
        } catch (IOException e) {
            // nothing more is wanted of it
        }
    }
}
