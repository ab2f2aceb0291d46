package gatefront.thrift.codec;

import gatefront.thrift.codec.MessageHeader.Type;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Finds where one message ends, and reads its head, while it is still coming in.
 *
 * <p>The place where it goes on always lies between two values, or within a run of bytes that it passes over, and what
 * is open there is on a stack of bounded depth. So each byte is looked at once, however small the pieces (but for the
 * few bytes of one value's length), no objects are built, and the work is in proportion to the bytes: each step takes
 * a byte, or closes what a byte has opened.
 */
final class MessageScanner {
    private static final int STOP = 0;
    private static final int STRUCT = 100;
    private static final int LIST = 101;
    private static final int MAP = 102;
    private static final int MORE = -1;

    private final ThriftEncoding encoding;
    private final MessageLimits limits;
    /** The message has so many bytes at the most. */
    private final int bound;
    /** What is open, the outermost first: what it is, values left, types of the values at odd and even places. */
    private final int[] kind;

    private final int[] left;
    private final int[] odd;
    private final int[] even;
    private int depth;
    private ByteBuf in;
    private int start;
    private int available;
    /** Bytes of the message passed, and bytes to be passed over next. */
    private int at;

    private long skip;
    /** The type of the value that is next, or STOP. */
    private int next = STOP;

    private boolean inContainer;
    private MessageHeader header;
    private int bodyAt;

    /** One message in an encoding, of so many bytes at the most. */
    MessageScanner(ThriftEncoding encoding, MessageLimits limits, int bound) {
        this.encoding = encoding;
        this.limits = limits;
        this.bound = bound;
        kind = new int[limits.depth()];
        left = new int[limits.depth()];
        odd = new int[limits.depth()];
        even = new int[limits.depth()];
    }

    /** The head, once it has been read, or null. */
    MessageHeader header() {
        return header;
    }

    /** Where the struct behind the head begins, in bytes from the message's first. */
    int bodyAt() {
        return bodyAt;
    }

    /** Bytes passed so far; the message's length, once it is whole. */
    int passed() {
        return at;
    }

    /**
     * Goes on.
     *
     * @param bytes has the message from {@code from} on
     * @param from index of the message's first byte
     * @param until index behind the last byte that there is
     * @return whether the message is whole
     * @throws MalformedMessageException if it is none
     */
    boolean scan(ByteBuf bytes, int from, int until) throws MalformedMessageException {
        in = bytes;
        start = from;
        available = Math.min(until - from, bound);
        if (header == null) {
            if (!head()) {
                return starved();
            }
            bodyAt = at;
            open(STRUCT, 0, 0, 0);
        }
        while (depth > 0) {
            if (skip > 0) {
                int passing = (int) Math.min(skip, available - at);
                at += passing;
                skip -= passing;
                if (skip > 0) {
                    return starved();
                }
            } else if (next != STOP) {
                if (!(encoding == ThriftEncoding.COMPACT ? compactValue(next) : binaryValue(next))) {
                    return starved();
                }
            } else if (!advance()) {
                return starved();
            }
        }
        return true;
    }

    /** There are no bytes to go on with; within the bound there will never be, if it has been reached. */
    private boolean starved() throws MalformedMessageException {
        if (available == bound) {
            throw new MalformedMessageException("longer than the " + bound + " bytes that it may have");
        }
        return false;
    }

    private boolean has(int n) {
        return available - at >= n;
    }

    private int unsigned(int offset) {
        return in.getUnsignedByte(start + at + offset);
    }

    // ---- The head ----

    private boolean head() throws MalformedMessageException {
        return switch (encoding) {
            case BINARY -> strictHead();
            case BINARY_OLD -> oldHead();
            case COMPACT -> compactHead();
        };
    }

    private boolean strictHead() throws MalformedMessageException {
        if (!has(8)) {
            return false;
        }
        int version = in.getInt(start);
        if ((version & 0xffffff00) != 0x80010000) {
            throw new MalformedMessageException(String.format("version %08x of the binary protocol", version));
        }
        Type type = Type.of(version & 0xff);
        int length = nameLength(in.getInt(start + 4));
        if (!has(12 + length)) {
            return false;
        }
        header = new MessageHeader(name(start + 8, length), type, in.getInt(start + 8 + length));
        at = 12 + length;
        return true;
    }

    private boolean oldHead() throws MalformedMessageException {
        if (!has(4)) {
            return false;
        }
        int length = nameLength(in.getInt(start));
        if (!has(9 + length)) {
            return false;
        }
        header = new MessageHeader(
                name(start + 4, length), Type.of(in.getByte(start + 4 + length)), in.getInt(start + 5 + length));
        at = 9 + length;
        return true;
    }

    private boolean compactHead() throws MalformedMessageException {
        if (!has(2)) {
            return false;
        }
        if (in.getUnsignedByte(start) != ThriftEncoding.COMPACT_FIRST || (in.getByte(start + 1) & 0x1f) != 1) {
            throw new MalformedMessageException("version of the compact protocol");
        }
        Type type = Type.of(in.getUnsignedByte(start + 1) >> 5);
        int seqidBytes = varintBytes(2, 5);
        int lengthBytes = seqidBytes == MORE ? MORE : varintBytes(2 + seqidBytes, 5);
        if (lengthBytes == MORE) {
            return false;
        }
        int length = nameLength((int) Math.min(varint(2 + seqidBytes, lengthBytes), Integer.MAX_VALUE));
        int before = 2 + seqidBytes + lengthBytes;
        if (!has(before + length)) {
            return false;
        }
        header = new MessageHeader(name(start + before, length), type, (int) varint(2, seqidBytes));
        at = before + length;
        return true;
    }

    private int nameLength(int said) throws MalformedMessageException {
        if (said < 0 || said > limits.name()) {
            throw new MalformedMessageException("a method's name of " + (said & 0xffffffffL) + " bytes");
        }
        return said;
    }

    private String name(int from, int length) throws MalformedMessageException {
        String name = in.toString(from, length, StandardCharsets.ISO_8859_1);
        for (int i = 0; i < length; i++) {
            if (name.charAt(i) <= ' ' || name.charAt(i) > '~') {
                throw new MalformedMessageException("a method's name with a character that none has");
            }
        }
        return name;
    }

    // ---- The struct ----

    private void open(int what, int values, int oddType, int evenType) throws MalformedMessageException {
        if (depth == kind.length) {
            throw new MalformedMessageException("nested more than " + kind.length + " deep");
        }
        kind[depth] = what;
        left[depth] = values;
        odd[depth] = oddType;
        even[depth] = evenType;
        depth++;
    }

    /** Goes to the next value of what is open, or closes it. */
    private boolean advance() throws MalformedMessageException {
        int top = depth - 1;
        if (kind[top] == STRUCT) {
            return encoding == ThriftEncoding.COMPACT ? compactField() : binaryField();
        }
        if (left[top] == 0) {
            depth--;
        } else {
            next = (left[top] & 1) == 0 ? even[top] : odd[top];
            if (next == STOP) {
                throw new MalformedMessageException(
                        "values of type 0"); // they would take no bytes, and no end of steps
            }
            inContainer = true;
            left[top]--;
        }
        return true;
    }

    private void pass(long bytes) throws MalformedMessageException {
        if (bytes < 0 || bytes > bound - at) {
            throw new MalformedMessageException("says " + bytes + " bytes where at most " + (bound - at) + " are left");
        }
        skip = bytes;
        next = STOP;
    }

    /** Opens a list or map of so many values, each of a byte at the least. */
    private void openContainer(int what, long values, int oddType, int evenType) throws MalformedMessageException {
        if (values < 0 || values > bound - at) {
            throw new MalformedMessageException(
                    "says " + values + " values where at most " + (bound - at) + " bytes are left");
        }
        next = STOP;
        open(what, (int) values, oddType, evenType);
    }

    // ---- Binary ----

    private boolean binaryField() {
        if (!has(1)) {
            return false;
        }
        int type = unsigned(0);
        if (type == STOP) {
            at++;
            depth--;
            return true;
        }
        if (!has(3)) {
            return false;
        }
        at += 3;
        next = type;
        inContainer = false;
        return true;
    }

    private boolean binaryValue(int type) throws MalformedMessageException {
        switch (type) {
            case 2, 3 -> pass(1);
            case 6 -> pass(2);
            case 8 -> pass(4);
            case 4, 10 -> pass(8);
            case 16 -> pass(16);
            case 11 -> {
                if (!has(4)) {
                    return false;
                }
                int length = in.getInt(start + at);
                at += 4;
                pass(length);
            }
            case 12 -> {
                next = STOP;
                open(STRUCT, 0, 0, 0);
            }
            case 13 -> {
                if (!has(6)) {
                    return false;
                }
                int keys = unsigned(0);
                int values = unsigned(1);
                int size = in.getInt(start + at + 2);
                at += 6;
                openContainer(MAP, 2L * size, values, keys);
            }
            case 14, 15 -> {
                if (!has(5)) {
                    return false;
                }
                int elements = unsigned(0);
                int size = in.getInt(start + at + 1);
                at += 5;
                openContainer(LIST, size, elements, elements);
            }
            default -> throw new MalformedMessageException("type " + type + " of the binary protocol");
        }
        return true;
    }

    // ---- Compact ----

    private boolean compactField() throws MalformedMessageException {
        if (!has(1)) {
            return false;
        }
        int first = unsigned(0);
        if (first == STOP) {
            at++;
            depth--;
            return true;
        }
        int bytes = 1;
        if (first >> 4 == 0) {
            int id = varintBytes(at + 1, 3);
            if (id == MORE) {
                return false;
            }
            bytes += id;
        }
        int type = first & 0xf;
        if (type == STOP) {
            throw new MalformedMessageException("type 0 of the compact protocol");
        }
        at += bytes;
        next = type;
        inContainer = false;
        return true;
    }

    private boolean compactValue(int type) throws MalformedMessageException {
        switch (type) {
            case 1, 2 -> pass(inContainer ? 1 : 0); // a field's type is its value
            case 3 -> pass(1);
            case 4, 5, 6 -> {
                int bytes = varintBytes(at, type == 4 ? 3 : type == 5 ? 5 : 10);
                if (bytes == MORE) {
                    return false;
                }
                at += bytes;
                next = STOP;
            }
            case 7 -> pass(8);
            case 13 -> pass(16);
            case 8 -> {
                int bytes = varintBytes(at, 5);
                if (bytes == MORE) {
                    return false;
                }
                long length = varint(at, bytes);
                at += bytes;
                pass(length);
            }
            case 9, 10 -> {
                return compactList();
            }
            case 11 -> {
                return compactMap();
            }
            case 12 -> {
                next = STOP;
                open(STRUCT, 0, 0, 0);
            }
            default -> throw new MalformedMessageException("type " + type + " of the compact protocol");
        }
        return true;
    }

    private boolean compactList() throws MalformedMessageException {
        if (!has(1)) {
            return false;
        }
        int first = unsigned(0);
        long size = first >> 4;
        int bytes = 1;
        if (size == 15) {
            int more = varintBytes(at + 1, 5);
            if (more == MORE) {
                return false;
            }
            size = varint(at + 1, more);
            bytes += more;
        }
        at += bytes;
        openContainer(LIST, size, first & 0xf, first & 0xf);
        return true;
    }

    private boolean compactMap() throws MalformedMessageException {
        int bytes = varintBytes(at, 5);
        if (bytes == MORE) {
            return false;
        }
        long size = varint(at, bytes);
        if (size == 0) {
            at += bytes;
            openContainer(MAP, 0, 0, 0);
            return true;
        }
        if (!has(bytes + 1)) {
            return false;
        }
        int types = unsigned(bytes);
        at += bytes + 1;
        openContainer(MAP, 2 * size, types & 0xf, types >> 4);
        return true;
    }

    /** How many bytes the varint at an offset has, or MORE if its end is not there yet. */
    private int varintBytes(int offset, int most) throws MalformedMessageException {
        for (int i = 0; i < most; i++) {
            if (offset + i >= available) {
                return MORE;
            }
            if (in.getByte(start + offset + i) >= 0) {
                return i + 1;
            }
        }
        throw new MalformedMessageException("a varint without an end");
    }

    /** An unsigned varint of 32 bits, or the low 32 bits of a longer one. */
    private long varint(int offset, int bytes) {
        long value = 0;
        for (int i = 0; i < Math.min(bytes, 5); i++) {
            value |= (in.getByte(start + offset + i) & 0x7fL) << 7 * i;
        }
        return value & 0xffffffffL;
    }
}
