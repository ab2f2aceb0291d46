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
 * Reads and checks the files of a store. Durable data must be complete and in order; otherwise a
 * {@link CorruptStoreException} names the file and offset. Data that was not yet durable may be present in any part
 * after a crash: reading ends before its first invalid frame. Each frame states up to which offset the data before it
 * was durable, so an invalid frame is damage if a later frame, or the header of the next segment, states that its
 * offset had been forced to the disk.
 */
final class StoreReader {
    static final String SEGMENT_SUFFIX = ".log";
    static final String SNAPSHOT_SUFFIX = ".snap";
    static final String UNFINISHED_SUFFIX = ".new";
    private static final Pattern FILE_NAME = Pattern.compile("([0-9a-f]{16})\\.(log|snap)");
    private static final int HEX_RADIX = 16;
    /** The largest segment that is read, in bytes; the margin below the largest int keeps it a valid array size. */
    private static final int MAX_SEGMENT_BYTES = Integer.MAX_VALUE - 16;

    /** A frame that no later frame or header has confirmed to be durable. */
    record UnconfirmedFrame(long offset, Frame frame) {}

    /** A log segment: its file name, its header and its size in bytes. */
    record Segment(String name, FileHeader header, long size) {}

    private final Disk disk;
    private final RecordConsumer replay;
    /** The chain up to the last durable frame. */
    private final SignatureChain durableChain;
    /** The chain up to the last frame read. */
    private final SignatureChain chain;
    /** Files that can be deleted: unfinished ones, and those that a snapshot has replaced. */
    final List<String> obsoleteFiles = new ArrayList<>();
    /** Files whose names are not those of a store's files; they are left alone. */
    final List<String> unknownFiles = new ArrayList<>();

    final List<Segment> segments = new ArrayList<>();
    /** The unconfirmed frames of the last segment; at most those written since the last force. */
    final List<UnconfirmedFrame> unconfirmed = new ArrayList<>();
    /** Findings that are not damage, one line each. */
    final List<String> notes = new ArrayList<>();

    String snapshotName;
    long snapshotBytes;
    /** The number of the first record that the snapshot does not contain. */
    long snapshotNextRecord;

    long nextRecord;
    /** The offset at which the durable data of the last segment ends. */
    long durableEnd;
    /** The number of the record after the last durable one. */
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

    /** Returns whether there are no files of a store: none was created, or all of them are lost. */
    boolean isEmpty() {
        return segments.isEmpty() && snapshotName == null;
    }

    /** Returns the chain up to the last durable frame. */
    SignatureChain durableChain() {
        return durableChain;
    }

    StoreReader run() throws IOException {
        List<Long> numbers = new ArrayList<>();
        List<Long> snapshots = new ArrayList<>();
        for (String name : disk.names().stream().sorted().toList()) {
            Matcher matcher = FILE_NAME.matcher(name);
            if (matcher.matches()) {
                (matcher.group(2).equals("log") ? numbers : snapshots).add(Long.parseLong(matcher.group(1), HEX_RADIX));
            } else if (name.endsWith(UNFINISHED_SUFFIX)) {
                obsoleteFiles.add(name);
                notes.add(name + " is an unfinished file; it is ignored");
            } else {
                unknownFiles.add(name);
                notes.add(name + " is not a file of a store; it is ignored");
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
                    "the log ends before record " + nextRecord + ", but the snapshot covers all records before "
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
                throw new CorruptStoreException(
                        snapshotName, 0, "the header names another file: " + snapshotName(header.number()));
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
                        ? "snapshot frame truncated or its checksum is wrong; " + (snapshotBytes - offset)
                                + " bytes are left in the file"
                        : frame.firstRecord() != count
                                ? "snapshot frame begins with record " + frame.firstRecord() + ", expected " + count
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
                throw new CorruptStoreException(
                        snapshotName, offset, (snapshotBytes - offset) + " bytes follow the end of the snapshot");
            }
        }
    }

    /** Reads the headers of all segments, and keeps those that the snapshot does not replace. */
    private void readSegmentHeaders(List<Long> numbers) throws IOException {
        Set<String> covered = new HashSet<>();
        for (long number : numbers) {
            String name = segmentName(number);
            try (Disk.File file = disk.open(name)) {
                // The signature can be verified only after all data before it has been read, in readSegment.
                ByteBuffer bytes = read(file, 0, FileHeader.BYTES);
                FileHeader header = FileHeader.read(name, bytes, FileHeader.Kind.SEGMENT, null);
                if (header.number() != number) {
                    throw new CorruptStoreException(
                            name, 0, "the header names another file: " + segmentName(header.number()));
                }
                if (header.firstRecord() <= snapshotNextRecord) { // the snapshot covers all earlier segments
                    segments.stream().map(Segment::name).forEach(covered::add);
                    segments.clear();
                }
                segments.add(new Segment(name, header, file.size()));
            }
        }
        obsoleteFiles.addAll(covered);
        if (segments.isEmpty()) {
            if (snapshotName != null) {
                throw new CorruptStoreException(
                        snapshotName, 0, "the log segments that follow this snapshot are missing");
            }
            return;
        }
        if (segments.get(0).header.firstRecord() > snapshotNextRecord) {
            throw new CorruptStoreException(
                    segments.get(0).name,
                    0,
                    "the log begins with record " + segments.get(0).header.firstRecord() + "; records from "
                            + snapshotNextRecord + " on are missing");
        }
        for (int i = 1; i < segments.size(); i++) {
            long expected = segments.get(i - 1).header.number() + 1;
            if (segments.get(i).header.number() != expected) {
                throw new CorruptStoreException(segmentName(expected), 0, "segment is missing");
            }
        }
    }

    private void readSegment(Segment segment, FileHeader following) throws IOException {
        ByteBuffer bytes;
        try (Disk.File file = disk.open(segment.name)) {
            bytes = read(file, 0, (int) Math.min(MAX_SEGMENT_BYTES, file.size()));
        }
        if (segment != segments.get(0) && !Arrays.equals(chain.lastSignature(), segment.header.previousSignature())) {
            throw new CorruptStoreException(
                    segment.name, 0, "the signature chain does not continue that of the previous segment");
        }
        FileHeader.read(segment.name, bytes, FileHeader.Kind.SEGMENT, chain);
        durableChain.copyFrom(chain);
        if (segment.header.firstRecord() != nextRecord) {
            throw new CorruptStoreException(
                    segment.name,
                    0,
                    "segment begins with record " + segment.header.firstRecord() + ", expected " + nextRecord);
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
                    throw new CorruptStoreException(
                            segment.name, offset, "a frame that was forced to the disk is damaged");
                }
                break;
            }
            String problem = frame.firstRecord() != nextRecord
                    ? "frame begins with record " + frame.firstRecord() + ", expected " + nextRecord
                    : frame.durableEnd() > offset || frame.durableEnd() < durableEnd
                            ? "frame states durable end " + frame.durableEnd() + ", expected " + durableEnd + " to "
                                    + offset
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

    /** Marks all frames before an offset as durable. */
    private void markDurableUpTo(long offset) {
        while (!unconfirmed.isEmpty() && unconfirmed.get(0).offset < offset) {
            UnconfirmedFrame confirmed = unconfirmed.remove(0);
            durableEnd = confirmed.offset + confirmed.frame.length();
            durableNextRecord =
                    confirmed.frame.firstRecord() + confirmed.frame.records().size();
            durableChain.advance(confirmed.frame.keyId(), confirmed.frame.signature());
        }
    }

    /** Returns whether a valid frame after a bad offset states that the offset had been forced to the disk. */
    private static boolean isConfirmedByLaterFrame(ByteBuffer bytes, int badOffset, long fileNumber) {
        for (int offset = badOffset + 1; offset <= bytes.limit() - Frame.HEADER_BYTES; offset++) {
            long durableEndInFrame = bytes.getLong(offset + 16);
            if (durableEndInFrame > badOffset && durableEndInFrame <= offset) {
                Frame frame = Frame.read(bytes, offset, fileNumber);
                if (frame != null) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Notes ignored bytes at the end of a segment unless they are valid frames. */
    private void noteIgnoredBytes(Segment segment, ByteBuffer bytes, int from, boolean closedByNext) {
        int offset = from;
        for (Frame frame; (frame = Frame.read(bytes, offset, segment.header.number())) != null; ) {
            offset += frame.length();
        }
        if (offset < bytes.limit()) {
            notes.add(segment.name + " at " + offset + ": " + (bytes.limit() - offset) + " bytes "
                    + (closedByNext ? "after its end were never stored" : "of an unfinished write are cut off"));
        }
    }

    private static ByteBuffer read(Disk.File file, long offset, int maxBytes) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate((int) Math.max(0, Math.min(maxBytes, file.size() - offset)));
        file.read(offset, bytes);
        return bytes.flip();
    }
}
