package gatefront.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads what the files of a store hold. What was certain to be on the disk must be there, whole and in order, or a
 * {@link CorruptStoreException} names the place. What was not may be there in any part after a crash: reading ends
 * before the first of it that is not whole. A frame says up to where all before it was certain, so a bad place is
 * damage where a later frame, or the next file's head, says that it had been forced to the disk.
 */
final class StoreReader {
    static final String SEGMENT = ".log";
    static final String SNAPSHOT = ".snap";
    static final String UNFINISHED = ".new";
    private static final Pattern NAME = Pattern.compile("([0-9a-f]{16})\\.(log|snap)");
    private static final int HEX = 16;

    /** A frame that no other says was forced to the disk. */
    record Unsure(long at, Frame frame) {}

    /** A segment: its file's name, its head and its bytes. */
    record Segment(String name, FileHeader head, long bytes) {}

    private final Disk disk;
    private final RecordConsumer replay;
    /** The signatures as far as they are known to be certain, and as far as they were read. */
    private final SignatureChain certain;

    private final SignatureChain chain;
    /** Files that stand for nothing: unfinished ones, and those that a snapshot has taken the place of. */
    final List<String> leftOver = new ArrayList<>();
    /** Names that no store gives. They are left alone. */
    final List<String> strangers = new ArrayList<>();

    final List<Segment> segments = new ArrayList<>();
    /** Of the last segment, what no later frame speaks of. As much as was written at once and forced with it. */
    final List<Unsure> unsure = new ArrayList<>();
    /** What was found beside the records, a line each. */
    final List<String> notes = new ArrayList<>();

    String snapshotName;
    long snapshotBytes;
    /** The number of the first record that the snapshot does not hold. */
    long snapshotNext;

    long next;
    /** The end of what is certain in the last segment, and the number of the record that comes there. */
    long durable;

    long durableNext;

    StoreReader(Disk disk, SigningKeys keys, RecordConsumer replay) {
        this.disk = disk;
        this.replay = replay;
        this.chain = new SignatureChain(keys);
        this.certain = new SignatureChain(keys);
    }

    static String segmentName(long number) {
        return String.format(Locale.ROOT, "%016x%s", number, SEGMENT);
    }

    static String snapshotName(long number) {
        return String.format(Locale.ROOT, "%016x%s", number, SNAPSHOT);
    }

    /** Whether no store was ever begun here, or all of it is gone. */
    boolean nothing() {
        return segments.isEmpty() && snapshotName == null;
    }

    /** The chain at the end of what is certain. */
    SignatureChain certain() {
        return certain;
    }

    StoreReader run() throws IOException {
        List<Long> numbers = new ArrayList<>();
        List<Long> snapshots = new ArrayList<>();
        for (String name : disk.names().stream().sorted().toList()) {
            Matcher matcher = NAME.matcher(name);
            if (matcher.matches()) {
                (matcher.group(2).equals("log") ? numbers : snapshots).add(Long.parseLong(matcher.group(1), HEX));
            } else if (name.endsWith(UNFINISHED)) {
                leftOver.add(name);
                notes.add(name + " was not finished; it stands for nothing");
            } else {
                strangers.add(name);
                notes.add(name + " is no file of a store");
            }
        }
        if (!snapshots.isEmpty()) {
            snapshots.stream()
                    .limit(snapshots.size() - 1)
                    .map(StoreReader::snapshotName)
                    .forEach(leftOver::add);
            snapshot(snapshots.get(snapshots.size() - 1));
        }
        heads(numbers);
        next = segments.isEmpty() ? snapshotNext : segments.get(0).head.first();
        durable = FileHeader.BYTES;
        durableNext = next;
        for (int i = 0; i < segments.size(); i++) {
            segment(segments.get(i), i + 1 < segments.size() ? segments.get(i + 1).head : null);
        }
        if (next < snapshotNext) {
            throw new CorruptStoreException(
                    segments.get(segments.size() - 1).name,
                    durable,
                    "the log ends at record " + next + ", and the snapshot holds all before " + snapshotNext);
        }
        return this;
    }

    private void snapshot(long number) throws IOException {
        snapshotName = snapshotName(number);
        try (Disk.File file = disk.open(snapshotName)) {
            snapshotBytes = file.size();
            FileHeader head =
                    FileHeader.read(snapshotName, read(file, 0, FileHeader.BYTES), FileHeader.Kind.SNAPSHOT, chain);
            if (head.number() != number) {
                throw new CorruptStoreException(snapshotName, 0, "says that it is " + snapshotName(head.number()));
            }
            snapshotNext = number;
            long at = FileHeader.BYTES;
            long count = 0;
            Frame frame = null;
            while (frame == null || !frame.records().isEmpty()) {
                ByteBuffer bytes = read(file, at, Frame.HEAD);
                int body = bytes.limit() < Frame.HEAD ? -1 : bytes.getInt(0);
                bytes = body < 0 || body > Frame.BODY_MOST ? bytes : read(file, at, Frame.HEAD + body);
                frame = Frame.read(bytes, 0, number);
                String wrong = frame == null
                        ? "is not whole"
                        : frame.first() != count ? "is not what comes next" : frame.check(bytes, 0, number, chain);
                if (wrong != null) {
                    throw new CorruptStoreException(snapshotName, at, wrong);
                }
                for (byte[] each : frame.records()) {
                    replay.snapshot(each);
                }
                count += frame.records().size();
                at += frame.length();
            }
            if (at != snapshotBytes) {
                throw new CorruptStoreException(snapshotName, at, "goes on beyond its end");
            }
        }
    }

    /** Reads the heads of all segments that count. */
    private void heads(List<Long> numbers) throws IOException {
        Set<String> covered = new HashSet<>();
        for (long number : numbers) {
            String name = segmentName(number);
            try (Disk.File file = disk.open(name)) {
                // Signatures follow each other, so they are looked at when all before has been read.
                ByteBuffer bytes = read(file, 0, FileHeader.BYTES);
                FileHeader head = FileHeader.read(name, bytes, FileHeader.Kind.SEGMENT, null);
                if (head.number() != number) {
                    throw new CorruptStoreException(name, 0, "says that it is " + segmentName(head.number()));
                }
                if (head.first() <= snapshotNext) { // the snapshot holds what is in those before it
                    segments.stream().map(Segment::name).forEach(covered::add);
                    segments.clear();
                }
                segments.add(new Segment(name, head, file.size()));
            }
        }
        leftOver.addAll(covered);
        if (segments.isEmpty()) {
            if (snapshotName != null) {
                throw new CorruptStoreException(snapshotName, 0, "is there, and the log that follows it is missing");
            }
            return;
        }
        if (segments.get(0).head.first() > snapshotNext) {
            throw new CorruptStoreException(
                    segments.get(0).name,
                    0,
                    "begins with record " + segments.get(0).head.first() + "; those from " + snapshotNext
                            + " on are missing");
        }
        for (int i = 1; i < segments.size(); i++) {
            long expected = segments.get(i - 1).head.number() + 1;
            if (segments.get(i).head.number() != expected) {
                throw new CorruptStoreException(segmentName(expected), 0, "is missing");
            }
        }
    }

    private void segment(Segment segment, FileHeader following) throws IOException {
        ByteBuffer bytes;
        try (Disk.File file = disk.open(segment.name)) {
            bytes = read(file, 0, (int) Math.min(Integer.MAX_VALUE - HEX, file.size()));
        }
        if (segment != segments.get(0) && !Arrays.equals(chain.last(), segment.head.chain())) {
            throw new CorruptStoreException(segment.name, 0, "does not follow the signatures of the one before it");
        }
        FileHeader.read(segment.name, bytes, FileHeader.Kind.SEGMENT, chain);
        certain.follow(chain);
        if (segment.head.first() != next) {
            throw new CorruptStoreException(
                    segment.name, 0, "begins with record " + segment.head.first() + ", and " + next + " comes next");
        }
        long number = segment.head.number();
        long end = following == null ? bytes.limit() : following.before();
        unsure.clear();
        durable = FileHeader.BYTES;
        durableNext = next;
        int at = FileHeader.BYTES;
        while (at < end) {
            Frame frame = Frame.read(bytes, at, number);
            if (frame == null || following != null && at + frame.length() > end) {
                if (following != null || spokenOf(bytes, at, number)) {
                    throw new CorruptStoreException(segment.name, at, "is not what was forced to the disk there");
                }
                break;
            }
            String wrong = frame.first() != next
                    ? "holds record " + frame.first() + ", and " + next + " comes next"
                    : frame.durable() > at || frame.durable() < durable
                            ? "speaks of what cannot be"
                            : frame.check(bytes, at, number, chain);
            if (wrong != null) {
                throw new CorruptStoreException(segment.name, at, wrong);
            }
            settle(frame.durable());
            unsure.add(new Unsure(at, frame));
            for (byte[] each : frame.records()) {
                if (next >= snapshotNext) {
                    replay.record(next, each);
                }
                next++;
            }
            at += frame.length();
        }
        if (following != null) {
            settle(end);
        }
        beyond(segment, bytes, at, following != null);
    }

    /** All before a place is certain. */
    private void settle(long place) {
        while (!unsure.isEmpty() && unsure.get(0).at < place) {
            Unsure sure = unsure.remove(0);
            durable = sure.at + sure.frame.length();
            durableNext = sure.frame.first() + sure.frame.records().size();
            certain.wrote(sure.frame.key(), sure.frame.mac());
        }
    }

    /** Whether a whole frame beyond a bad place says that the place had been forced to the disk. */
    private static boolean spokenOf(ByteBuffer bytes, int bad, long file) {
        for (int at = bad + 1; at <= bytes.limit() - Frame.HEAD; at++) {
            long says = bytes.getLong(at + 16);
            if (says > bad && says <= at) {
                Frame frame = Frame.read(bytes, at, file);
                if (frame != null) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Tells of bytes that do not count, where they are no whole frames either. */
    private void beyond(Segment segment, ByteBuffer bytes, int from, boolean ended) {
        int at = from;
        for (Frame frame; (frame = Frame.read(bytes, at, segment.head.number())) != null; ) {
            at += frame.length();
        }
        if (at < bytes.limit()) {
            notes.add(segment.name + " at " + at + ": " + (bytes.limit() - at) + " bytes "
                    + (ended ? "beyond its end were never kept" : "of an unfinished write are cut off"));
        }
    }

    private static ByteBuffer read(Disk.File file, long at, int most) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate((int) Math.max(0, Math.min(most, file.size() - at)));
        file.read(at, bytes);
        return bytes.flip();
    }
}
