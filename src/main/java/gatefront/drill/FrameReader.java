package gatefront.drill;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads frames into a reused buffer and decodes the fields of their records. */
final class FrameReader {
    /** Frame header after the length: record count and clock. */
    private static final int HEADER_BYTES = 12;
    /** Record header: code and size. */
    private static final int RECORD_HEADER_BYTES = 5;
    /** Far above the frames that a host sends, and well within the memory of the adapter. */
    private static final int MAX_FRAME_BYTES = 128 << 20;

    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int position;
    private int end;
    private int recordEnd;
    private int recordsLeft;
    private int recordIndex;
    private int code;
    private long frames;
    private long clock;

    FrameReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next frame; returns false at the end of the input. */
    boolean nextFrame() throws IOException {
        int bytesRead = in.readNBytes(buffer, 0, 4);
        if (bytesRead == 0) {
            return false;
        }
        frames++;
        if (bytesRead < 4) {
            throw new WireException("frame " + frames + ": input ends inside the length");
        }
        position = 0;
        end = 4;
        recordEnd = 4;
        int length = i32();
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new WireException("frame " + frames + ": length " + Integer.toUnsignedString(length)
                    + " is not within " + HEADER_BYTES + " to " + MAX_FRAME_BYTES);
        }
        if (buffer.length < length) {
            buffer = new byte[Math.max(length, Math.min(2 * buffer.length, MAX_FRAME_BYTES))];
        }
        if (in.readNBytes(buffer, 0, length) < length) {
            throw new WireException("frame " + frames + ": input ends inside the frame");
        }
        position = 0;
        end = length;
        recordEnd = HEADER_BYTES;
        recordsLeft = i32();
        clock = i64();
        recordIndex = 0;
        if (recordsLeft < 0) {
            throw new WireException(
                    "frame " + frames + ": record count " + Integer.toUnsignedString(recordsLeft) + " is too large");
        }
        return true;
    }

    long clock() {
        return clock;
    }

    /** Moves to the next record of the frame; returns false after the last. */
    boolean nextRecord() {
        if (position != recordEnd) {
            throw new WireException(location() + ": " + (recordEnd - position) + " bytes after the last field");
        }
        if (recordsLeft == 0) {
            if (position != end) {
                throw new WireException("frame " + frames + ": " + (end - position) + " bytes after the last record");
            }
            return false;
        }
        recordsLeft--;
        recordIndex++;
        recordEnd = end;
        if (end - position < RECORD_HEADER_BYTES) {
            throw new WireException(location() + ": the frame ends inside the record");
        }
        code = u8();
        int size = i32();
        if (size < 0 || size > end - position) {
            throw new WireException(location() + ": size " + Integer.toUnsignedString(size) + " exceeds the "
                    + (end - position) + " bytes left in the frame");
        }
        recordEnd = position + size;
        return true;
    }

    int code() {
        return code;
    }

    String location() {
        return "frame " + frames + " record " + recordIndex + " (code " + code + ")";
    }

    private void require(int bytes) {
        if (bytes < 0 || recordEnd - position < bytes) {
            throw new WireException(location() + ": too short for its fields");
        }
    }

    int u8() {
        require(1);
        return buffer[position++] & 0xff;
    }

    int u16() {
        return u8() << 8 | u8();
    }

    int i32() {
        require(4);
        int value = (buffer[position] & 0xff) << 24
                | (buffer[position + 1] & 0xff) << 16
                | (buffer[position + 2] & 0xff) << 8
                | buffer[position + 3] & 0xff;
        position += 4;
        return value;
    }

    long u32() {
        return i32() & 0xffffffffL;
    }

    long i64() {
        return u32() << 32 | u32();
    }

    double f32() {
        return Float.intBitsToFloat(i32());
    }

    /** Returns a number of items after checking that the record has enough bytes left for them. */
    int checkedCount(long items, int itemSize) {
        if (items * itemSize > recordEnd - position) {
            throw new WireException(location() + ": too short for its fields");
        }
        return (int) items;
    }

    String text(long length) {
        int size = checkedCount(length, 1);
        String text = new String(buffer, position, size, StandardCharsets.UTF_8);
        position += size;
        return text;
    }

    byte[] bytes(int length) {
        require(length);
        byte[] copy = Arrays.copyOfRange(buffer, position, position + length);
        position += length;
        return copy;
    }
}
