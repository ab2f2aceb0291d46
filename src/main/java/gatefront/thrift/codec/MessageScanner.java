package gatefront.thrift.codec;

import gatefront.thrift.codec.MessageHeader.Type;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Incrementally finds the end of one message and reads its header.
 *
 * <p>Scanning always resumes between two values or within a run of skipped bytes, and the open structs and containers
 * are kept on a stack of bounded depth. Each byte is therefore examined once however small the chunks are (except for
 * the few bytes of one length), no objects are created for values, and the work is proportional to the input: each step
 * consumes a byte or closes what a byte opened.
 *
 * <p>Type numbers are those of the protocol specifications.
 */
final class MessageScanner {
    private static final int STOP = 0;
    /** Kinds of open values. */
    private static final int STRUCT = 100;

    private static final int LIST = 101;
    private static final int MAP = 102;
    /** Result of a varint scan whose end has not been received. */
    private static final int INCOMPLETE = -1;

    private final ThriftEncoding encoding;
    private final MessageLimits limits;
    /** Maximum length of the message; within a frame, the length of the frame. */
    private final int maxBytes;
    /** The kinds of the open structs and containers, outermost first. */
    private final int[] openKinds;
    /** Values that remain in each open container; keys and values of a map count separately. */
    private final int[] valuesLeft;
    /** Type of the next value of each open container while an odd number of values remains. */
    private final int[] oddTypes;
    /** Type of the next value of each open container while an even number of values remains. */
    private final int[] evenTypes;

    private int depth;
    private ByteBuf in;
    /** Index of the message's first byte in the buffer. */
    private int messageStart;
    /** Bytes of the message that can be examined. */
    private int available;
    /** Bytes of the message scanned so far. */
    private int position;
    /** Bytes to skip next. */
    private long bytesToSkip;
    /** The type of the next value, or STOP if it is not known yet. */
    private int nextType = STOP;

    /** Whether the next value is an element of a container rather than a field. */
    private boolean inContainer;

    private MessageHeader header;
    private int bodyOffset;

    /** Creates a scanner for one message of at most {@code maxBytes}. */
    MessageScanner(ThriftEncoding encoding, MessageLimits limits, int maxBytes) {
        this.encoding = encoding;
        this.limits = limits;
        this.maxBytes = maxBytes;
        openKinds = new int[limits.maxDepth()];
        valuesLeft = new int[limits.maxDepth()];
        oddTypes = new int[limits.maxDepth()];
        evenTypes = new int[limits.maxDepth()];
    }

    /** Returns the header, or null if it has not been read yet. */
    MessageHeader header() {
        return header;
    }

    /** Returns the offset of the body struct from the first byte of the message. */
    int bodyOffset() {
        return bodyOffset;
    }

    /** Returns the bytes scanned so far: the length of the message once it is complete. */
    int scannedBytes() {
        return position;
    }

    /**
     * Continues with the input received so far.
     *
     * @param bytes the buffer that holds the message
     * @param start index of the first byte of the message
     * @param end index after the last byte received
     * @return whether the message is complete
     * @throws MalformedMessageException if the input is not a valid message
     */
    boolean scan(ByteBuf bytes, int start, int end) throws MalformedMessageException {
        in = bytes;
        messageStart = start;
        available = Math.min(end - start, maxBytes);
        if (header == null) {
            if (!readHeader()) {
                return awaitMoreInput();
            }
            bodyOffset = position;
            open(STRUCT, 0, 0, 0);
        }
        while (depth > 0) {
            if (bytesToSkip > 0) {
                int skippable = (int) Math.min(bytesToSkip, available - position);
                position += skippable;
                bytesToSkip -= skippable;
                if (bytesToSkip > 0) {
                    return awaitMoreInput();
                }
            } else if (nextType != STOP) {
                if (!(encoding == ThriftEncoding.COMPACT ? compactValue(nextType) : binaryValue(nextType))) {
                    return awaitMoreInput();
                }
            } else if (!advance()) {
                return awaitMoreInput();
            }
        }
        return true;
    }

    /** Returns false, or throws if the limit has been reached, so that more input cannot complete the message. */
    private boolean awaitMoreInput() throws MalformedMessageException {
        if (available == maxBytes) {
            throw new MalformedMessageException("message is longer than the " + maxBytes + " bytes allowed");
        }
        return false;
    }

    private boolean hasBytes(int count) {
        return available - position >= count;
    }

    private int unsignedByte(int offset) {
        return in.getUnsignedByte(messageStart + position + offset);
    }

    // ---- Header ----

    private boolean readHeader() throws MalformedMessageException {
        return switch (encoding) {
            case BINARY -> readStrictHeader();
            case BINARY_OLD -> readOldHeader();
            case COMPACT -> readCompactHeader();
        };
    }

    private boolean readStrictHeader() throws MalformedMessageException {
        if (!hasBytes(8)) {
            return false;
        }
        int version = in.getInt(messageStart);
        if ((version & 0xffffff00) != 0x80010000) {
            throw new MalformedMessageException(String.format("unsupported binary protocol version %08x", version));
        }
        Type type = Type.of(version & 0xff);
        int length = checkNameLength(in.getInt(messageStart + 4));
        if (!hasBytes(12 + length)) {
            return false;
        }
        header = new MessageHeader(readName(messageStart + 8, length), type, in.getInt(messageStart + 8 + length));
        position = 12 + length;
        return true;
    }

    private boolean readOldHeader() throws MalformedMessageException {
        if (!hasBytes(4)) {
            return false;
        }
        int length = checkNameLength(in.getInt(messageStart));
        if (!hasBytes(9 + length)) {
            return false;
        }
        header = new MessageHeader(
                readName(messageStart + 4, length),
                Type.of(in.getByte(messageStart + 4 + length)),
                in.getInt(messageStart + 5 + length));
        position = 9 + length;
        return true;
    }

    private boolean readCompactHeader() throws MalformedMessageException {
        if (!hasBytes(2)) {
            return false;
        }
        if (in.getUnsignedByte(messageStart) != ThriftEncoding.COMPACT_FIRST_BYTE
                || (in.getByte(messageStart + 1) & 0x1f) != 1) {
            throw new MalformedMessageException(String.format(
                    "unsupported compact protocol version: bytes %04x", in.getUnsignedShort(messageStart)));
        }
        Type type = Type.of(in.getUnsignedByte(messageStart + 1) >> 5);
        int seqidBytes = varintLength(2, 5);
        int lengthBytes = seqidBytes == INCOMPLETE ? INCOMPLETE : varintLength(2 + seqidBytes, 5);
        if (lengthBytes == INCOMPLETE) {
            return false;
        }
        int length = checkNameLength((int) Math.min(readVarint(2 + seqidBytes, lengthBytes), Integer.MAX_VALUE));
        int nameOffset = 2 + seqidBytes + lengthBytes;
        if (!hasBytes(nameOffset + length)) {
            return false;
        }
        header = new MessageHeader(readName(messageStart + nameOffset, length), type, (int) readVarint(2, seqidBytes));
        position = nameOffset + length;
        return true;
    }

    private int checkNameLength(int length) throws MalformedMessageException {
        if (length < 0 || length > limits.maxNameBytes()) {
            throw new MalformedMessageException("method name of " + (length & 0xffffffffL) + " bytes; at most "
                    + limits.maxNameBytes() + " are allowed");
        }
        return length;
    }

    private String readName(int from, int length) throws MalformedMessageException {
        String name = in.toString(from, length, StandardCharsets.ISO_8859_1);
        for (int i = 0; i < length; i++) {
            if (name.charAt(i) <= ' ' || name.charAt(i) > '~') {
                throw new MalformedMessageException(
                        String.format("method name contains the character 0x%02x", (int) name.charAt(i)));
            }
        }
        return name;
    }

    // ---- Structs and containers ----

    private void open(int kind, int values, int oddType, int evenType) throws MalformedMessageException {
        if (depth == openKinds.length) {
            throw new MalformedMessageException("nested more than " + openKinds.length + " levels deep");
        }
        openKinds[depth] = kind;
        valuesLeft[depth] = values;
        oddTypes[depth] = oddType;
        evenTypes[depth] = evenType;
        depth++;
    }

    /** Moves to the next value of the innermost open struct or container, or closes it. */
    private boolean advance() throws MalformedMessageException {
        int top = depth - 1;
        if (openKinds[top] == STRUCT) {
            return encoding == ThriftEncoding.COMPACT ? compactField() : binaryField();
        }
        if (valuesLeft[top] == 0) {
            depth--;
        } else {
            nextType = (valuesLeft[top] & 1) == 0 ? evenTypes[top] : oddTypes[top];
            if (nextType == STOP) {
                // Elements of type 0 take no bytes, so the number of steps would be unbounded.
                throw new MalformedMessageException("container elements of type 0");
            }
            inContainer = true;
            valuesLeft[top]--;
        }
        return true;
    }

    private void skipBytes(long bytes) throws MalformedMessageException {
        if (bytes < 0 || bytes > maxBytes - position) {
            throw new MalformedMessageException(
                    "declares " + bytes + " bytes where at most " + (maxBytes - position) + " are left");
        }
        bytesToSkip = bytes;
        nextType = STOP;
    }

    /** Opens a list or map; each of its values takes at least one byte. */
    private void openContainer(int kind, long values, int oddType, int evenType) throws MalformedMessageException {
        if (values < 0 || values > maxBytes - position) {
            throw new MalformedMessageException(
                    "declares " + values + " values where at most " + (maxBytes - position) + " bytes are left");
        }
        nextType = STOP;
        open(kind, (int) values, oddType, evenType);
    }

    // ---- Binary ----

    private boolean binaryField() {
        if (!hasBytes(1)) {
            return false;
        }
        int type = unsignedByte(0);
        if (type == STOP) {
            position++;
            depth--;
            return true;
        }
        if (!hasBytes(3)) {
            return false;
        }
        position += 3;
        nextType = type;
        inContainer = false;
        return true;
    }

    private boolean binaryValue(int type) throws MalformedMessageException {
        switch (type) {
            case 2, 3 -> skipBytes(1);
            case 6 -> skipBytes(2);
            case 8 -> skipBytes(4);
            case 4, 10 -> skipBytes(8);
            case 16 -> skipBytes(16);
            case 11 -> {
                if (!hasBytes(4)) {
                    return false;
                }
                int length = in.getInt(messageStart + position);
                position += 4;
                skipBytes(length);
            }
            case 12 -> {
                nextType = STOP;
                open(STRUCT, 0, 0, 0);
            }
            case 13 -> {
                if (!hasBytes(6)) {
                    return false;
                }
                int keys = unsignedByte(0);
                int values = unsignedByte(1);
                int size = in.getInt(messageStart + position + 2);
                position += 6;
                openContainer(MAP, 2L * size, values, keys);
            }
            case 14, 15 -> {
                if (!hasBytes(5)) {
                    return false;
                }
                int elements = unsignedByte(0);
                int size = in.getInt(messageStart + position + 1);
                position += 5;
                openContainer(LIST, size, elements, elements);
            }
            default -> throw new MalformedMessageException("unknown type " + type + " of the binary protocol");
        }
        return true;
    }

    // ---- Compact ----

    private boolean compactField() throws MalformedMessageException {
        if (!hasBytes(1)) {
            return false;
        }
        int first = unsignedByte(0);
        if (first == STOP) {
            position++;
            depth--;
            return true;
        }
        int bytes = 1;
        if (first >> 4 == 0) {
            int idBytes = varintLength(position + 1, 3);
            if (idBytes == INCOMPLETE) {
                return false;
            }
            bytes += idBytes;
        }
        int type = first & 0xf;
        if (type == STOP) {
            throw new MalformedMessageException("field of type 0 in the compact protocol");
        }
        position += bytes;
        nextType = type;
        inContainer = false;
        return true;
    }

    private boolean compactValue(int type) throws MalformedMessageException {
        switch (type) {
            case 1, 2 -> skipBytes(inContainer ? 1 : 0); // the value of a boolean field is part of its type
            case 3 -> skipBytes(1);
            case 4, 5, 6 -> {
                int bytes = varintLength(position, type == 4 ? 3 : type == 5 ? 5 : 10);
                if (bytes == INCOMPLETE) {
                    return false;
                }
                position += bytes;
                nextType = STOP;
            }
            case 7 -> skipBytes(8);
            case 13 -> skipBytes(16);
            case 8 -> {
                int bytes = varintLength(position, 5);
                if (bytes == INCOMPLETE) {
                    return false;
                }
                long length = readVarint(position, bytes);
                position += bytes;
                skipBytes(length);
            }
            case 9, 10 -> {
                return compactList();
            }
            case 11 -> {
                return compactMap();
            }
            case 12 -> {
                nextType = STOP;
                open(STRUCT, 0, 0, 0);
            }
            default -> throw new MalformedMessageException("unknown type " + type + " of the compact protocol");
        }
        return true;
    }

    private boolean compactList() throws MalformedMessageException {
        if (!hasBytes(1)) {
            return false;
        }
        int first = unsignedByte(0);
        long size = first >> 4;
        int bytes = 1;
        if (size == 15) {
            int sizeBytes = varintLength(position + 1, 5);
            if (sizeBytes == INCOMPLETE) {
                return false;
            }
            size = readVarint(position + 1, sizeBytes);
            bytes += sizeBytes;
        }
        position += bytes;
        openContainer(LIST, size, first & 0xf, first & 0xf);
        return true;
    }

    private boolean compactMap() throws MalformedMessageException {
        int bytes = varintLength(position, 5);
        if (bytes == INCOMPLETE) {
            return false;
        }
        long size = readVarint(position, bytes);
        if (size == 0) {
            position += bytes;
            openContainer(MAP, 0, 0, 0);
            return true;
        }
        if (!hasBytes(bytes + 1)) {
            return false;
        }
        int types = unsignedByte(bytes);
        position += bytes + 1;
        openContainer(MAP, 2 * size, types & 0xf, types >> 4);
        return true;
    }

    /** Returns the length in bytes of the varint at an offset, or INCOMPLETE if its end has not been received. */
    private int varintLength(int offset, int maxLength) throws MalformedMessageException {
        for (int i = 0; i < maxLength; i++) {
            if (offset + i >= available) {
                return INCOMPLETE;
            }
            if (in.getByte(messageStart + offset + i) >= 0) {
                return i + 1;
            }
        }
        throw new MalformedMessageException("varint longer than " + maxLength + " bytes");
    }

    /** Reads an unsigned 32-bit varint, or the low 32 bits of a longer one. */
    private long readVarint(int offset, int bytes) {
        long value = 0;
        for (int i = 0; i < Math.min(bytes, 5); i++) {
            value |= (in.getByte(messageStart + offset + i) & 0x7fL) << 7 * i;
        }
        return value & 0xffffffffL;
    }
}
