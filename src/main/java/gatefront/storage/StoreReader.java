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
    static final String SEGMENT_SUFFIX = ".log";
    static final String SNAPSHOT_SUFFIX = ".snap";
    static final String UNFINISHED_SUFFIX = ".new";
    private static final Pattern FILE_NAME = Pattern.compile("([0-9a-f]{16})\\.(log|snap)");
    private static final int HEX = 16;

    /** A frame that no other says was forced to the disk. */
    record UnconfirmedFrame(long offset, Frame frame) {}

    /** A segment: its file's name, its head and its bytes. */
    record Segment(String name, FileHeader header, long size) {}

    private final Disk disk;
    private final RecordConsumer replay;
    /** The signatures as far as they are known to be certain, and as far as they were read. */
    private final SignatureChain durableChain;

    private final SignatureChain chain;
    /** Files that stand for nothing: unfinished ones, and those that a snapshot has taken the place of. */
    final List<String> obsoleteFiles = new ArrayList<>();
    /** Names that no store gives. They are left alone. */
    final List<String> unknownFiles = new ArrayList<>();

    final List<Segment> segments = new ArrayList<>();
    /** Of the last segment, what no later frame speaks of. As much as was written at once and forced with it. */
    final List<UnconfirmedFrame> unconfirmed = new ArrayList<>();
    /** What was found beside the records, a line each. */
    final List<String> notes = new ArrayList<>();

    String snapshotName;
    long snapshotBytes;
    /** The number of the first record that the snapshot does not hold. */
    long snapshotNextRecord;

    long nextRecord;
    /** The end of what is certain in the last segment, and the number of the record that comes there. */
    long durableEnd;

    long durableNextRecord;

    StoreReader(Disk disk, SigningKeys keys, RecordConsumer replay) {
        this.disk = disk;
        this.replay = replay;
        this.chain = new SignatureChain(keys);
        this.durableChain = new SignatureChain(keys);
    }

    static String segmentName(long number) {
        return String.format(Locale.ROOT, "%016x%s", number, SEGMENT_SUFFIX);
    }

    static String snapshotName(long number) {
        return String.format(Locale.ROOT, "%016x%s", number, SNAPSHOT_SUFFIX);
    }

    /** Whether no store was ever begun here, or all of it is gone. */
    boolean isEmpty() {
        return segments.isEmpty() && snapshotName == null;
    }

    /** The chain at the end of what is certain. */
    SignatureChain durableChain() {
        return durableChain;
    }

    StoreReader run() throws IOException {
        List<Long> numbers = new ArrayList<>();
        List<Long> snapshots = new ArrayList<>();
        for (String name : disk.names().stream().sorted().toList()) {
            Matcher matcher = FILE_NAME.matcher(name);
            if (matcher.matches()) {
                (matcher.group(2).equals("log") ? numbers : snapshots).add(Long.parseLong(matcher.group(1), HEX));
            } else if (name.endsWith(UNFINISHED_SUFFIX)) {
                obsoleteFiles.add(name);
                notes.add(name + " was not finished; it stands for nothing");
            } else {
                unknownFiles.add(name);
                notes.add(name + " is no file of a store");
            }
        }
        if (!snapshots.isEmpty()) {
            snapshots.stream()
                    .limit(snapshots.size() - 1)
                    .map(StoreReader::snapshotName)
                    .forEach(obsoleteFiles::add);
            readSnapshot(snapshots.get(snapshots.size() - 1));
        }
        readSegmentHeaders(numbers);
        nextRecord =
                segments.isEmpty() ? snapshotNextRecord : segments.get(0).header.firstRecord();
        durableEnd = FileHeader.BYTES;
        durableNextRecord = nextRecord;
        for (int i = 0; i < segments.size(); i++) {
            readSegment(segments.get(i), i + 1 < segments.size() ? segments.get(i + 1).header : null);
        }
        if (nextRecord < snapshotNextRecord) {
            throw new CorruptStoreException(
                    segments.get(segments.size() - 1).name,
                    durableEnd,
                    "the log ends at record " + nextRecord + ", and the snapshot holds all before "
                            + snapshotNextRecord);
        }
        return this;
    }

    private void readSnapshot(long number) throws IOException {
        snapshotName = snapshotName(number);
        try (Disk.File file = disk.open(snapshotName)) {
            snapshotBytes = file.size();
            FileHeader header =
                    FileHeader.read(snapshotName, read(file, 0, FileHeader.BYTES), FileHeader.Kind.SNAPSHOT, chain);
            if (header.number() != number) {
                throw new CorruptStoreException(snapshotName, 0, "says that it is " + snapshotName(header.number()));
            }
            snapshotNextRecord = number;
            long offset = FileHeader.BYTES;
            long count = 0;
            Frame frame = null;
            while (frame == null || !frame.records().isEmpty()) {
                ByteBuffer bytes = read(file, offset, Frame.HEADER_BYTES);
                int bodyLength = bytes.limit() < Frame.HEADER_BYTES ? -1 : bytes.getInt(0);
                bytes = bodyLength < 0 || bodyLength > Frame.MAX_BODY_BYTES
                        ? bytes
                        : read(file, offset, Frame.HEADER_BYTES + bodyLength);
                frame = Frame.read(bytes, 0, number);
                String problem = frame == null
                        ? "is not whole"
                        : frame.firstRecord() != count
                                ? "is not what comes next"
                                : frame.verifySignature(bytes, 0, number, chain);
                if (problem != null) {
                    throw new CorruptStoreException(snapshotName, offset, problem);
                }
                for (byte[] record : frame.records()) {
                    replay.snapshot(record);
                }
                count += frame.records().size();
                offset += frame.length();
            }
            if (offset != snapshotBytes) {
                throw new CorruptStoreException(snapshotName, offset, "goes on beyond its end");
            }
        }
    }

    /** Reads the heads of all segments that count. */
    private void readSegmentHeaders(List<Long> numbers) throws IOException {
        Set<String> covered = new HashSet<>();
        for (long number : numbers) {
            String name = segmentName(number);
            try (Disk.File file = disk.open(name)) {
                // Signatures follow each other, so they are looked at when all before has been read.
                ByteBuffer bytes = read(file, 0, FileHeader.BYTES);
                FileHeader header = FileHeader.read(name, bytes, FileHeader.Kind.SEGMENT, null);
                if (header.number() != number) {
                    throw new CorruptStoreException(name, 0, "says that it is " + segmentName(header.number()));
                }
                if (header.firstRecord() <= snapshotNextRecord) { // the snapshot holds what is in those before it
                    segments.stream().map(Segment::name).forEach(covered::add);
                    segments.clear();
                }
                segments.add(new Segment(name, header, file.size()));
            }
        }
        obsoleteFiles.addAll(covered);
        if (segments.isEmpty()) {
            if (snapshotName != null) {
                throw new CorruptStoreException(snapshotName, 0, "is there, and the log that follows it is missing");
            }
            return;
        }
        if (segments.get(0).header.firstRecord() > snapshotNextRecord) {
            throw new CorruptStoreException(
                    segments.get(0).name,
                    0,
                    "begins with record " + segments.get(0).header.firstRecord() + "; those from " + snapshotNextRecord
                            + " on are missing");
        }
        for (int i = 1; i < segments.size(); i++) {
            long expected = segments.get(i - 1).header.number() + 1;
            if (segments.get(i).header.number() != expected) {
                throw new CorruptStoreException(segmentName(expected), 0, "is missing");
            }
        }
    }

    private void readSegment(Segment segment, FileHeader following) throws IOException {
        ByteBuffer bytes;
        try (Disk.File file = disk.open(segment.name)) {
            bytes = read(file, 0, (int) Math.min(Integer.MAX_VALUE - HEX, file.size()));
        }
        if (segment != segments.get(0) && !Arrays.equals(chain.lastSignature(), segment.header.previousSignature())) {
            throw new CorruptStoreException(segment.name, 0, "does not follow the signatures of the one before it");
        }
        FileHeader.read(segment.name, bytes, FileHeader.Kind.SEGMENT, chain);
        durableChain.copyFrom(chain);
        if (segment.header.firstRecord() != nextRecord) {
            throw new CorruptStoreException(
                    segment.name,
                    0,
                    "begins with record " + segment.header.firstRecord() + ", and " + nextRecord + " comes next");
        }
        long number = segment.header.number();
        long end = following == null ? bytes.limit() : following.previousEnd();
        unconfirmed.clear();
        durableEnd = FileHeader.BYTES;
        durableNextRecord = nextRecord;
        int offset = FileHeader.BYTES;
        while (offset < end) {
            Frame frame = Frame.read(bytes, offset, number);
            if (frame == null || following != null && offset + frame.length() > end) {
                if (following != null || isConfirmedByLaterFrame(bytes, offset, number)) {
                    throw new CorruptStoreException(segment.name, offset, "is not what was forced to the disk there");
                }
                break;
            }
            String problem = frame.firstRecord() != nextRecord
                    ? "holds record " + frame.firstRecord() + ", and " + nextRecord + " comes next"
                    : frame.durableEnd() > offset || frame.durableEnd() < durableEnd
                            ? "speaks of what cannot be"
                            : frame.verifySignature(bytes, offset, number, chain);
            if (problem != null) {
                throw new CorruptStoreException(segment.name, offset, problem);
            }
            markDurableUpTo(frame.durableEnd());
            unconfirmed.add(new UnconfirmedFrame(offset, frame));
            for (byte[] record : frame.records()) {
                if (nextRecord >= snapshotNextRecord) {
                    replay.record(nextRecord, record);
                }
                nextRecord++;
            }
            offset += frame.length();
        }
        if (following != null) {
            markDurableUpTo(end);
        }
        noteIgnoredBytes(segment, bytes, offset, following != null);
    }

    /** All before a place is certain. */
    private void markDurableUpTo(long offset) {
        while (!unconfirmed.isEmpty() && unconfirmed.get(0).offset < offset) {
            UnconfirmedFrame confirmed = unconfirmed.remove(0);
            durableEnd = confirmed.offset + confirmed.frame.length();
            durableNextRecord =
                    confirmed.frame.firstRecord() + confirmed.frame.records().size();
            durableChain.advance(confirmed.frame.keyId(), confirmed.frame.signature());
        }
    }

    /** Whether a whole frame beyond a bad place says that the place had been forced to the disk. */
    private static boolean isConfirmedByLaterFrame(ByteBuffer bytes, int badOffset, long fileNumber) {
        for (int offset = badOffset + 1; offset <= bytes.limit() - Frame.HEADER_BYTES; offset++) {
            long statedEnd = bytes.getLong(offset + 16);
            if (statedEnd > badOffset && statedEnd <= offset) {
                Frame frame = Frame.read(bytes, offset, fileNumber);
                if (frame != null) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Tells of bytes that do not count, where they are no whole frames either. */
    private void noteIgnoredBytes(Segment segment, ByteBuffer bytes, int from, boolean closedByNext) {
        int offset = from;
        for (Frame frame; (frame = Frame.read(bytes, offset, segment.header.number())) != null; ) {
            offset += frame.length();
        }
        if (offset < bytes.limit()) {
            notes.add(segment.name + " at " + offset + ": " + (bytes.limit() - offset) + " bytes "
                    + (closedByNext ? "beyond its end were never kept" : "of an unfinished write are cut off"));
        }
    }

    private static ByteBuffer read(Disk.File file, long offset, int maxBytes) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate((int) Math.max(0, Math.min(maxBytes, file.size() - offset)));
        file.read(offset, bytes);
        return bytes.flip();
    }
}
