package gatefront.thrift.codec;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Iterates over the fields of a struct that {@link MessageDecoder} has found to be well-formed. Values that are not
 * read are skipped. Reading a field as a type that it does not have returns null.
 */
public final class StructReader {
    private final ThriftEncoding encoding;
    private final ByteBuffer in;
    private int id;
    private int lastId;
    /** Type of the current field, numbered as in the binary protocol; 0 after the last field. */
    private int type;
    /** Value of a boolean field in the compact protocol, where it is part of the field header. */
    private boolean compactBool;
    /** Whether the value of the current field has been read. */
    private boolean valueRead = true;

    /** Creates a reader positioned before the first field. */
    public StructReader(ThriftEncoding encoding, byte[] struct) {
        this(encoding, ByteBuffer.wrap(struct));
    }

    private StructReader(ThriftEncoding encoding, ByteBuffer in) {
        this.encoding = encoding;
        this.in = in.order(encoding == ThriftEncoding.COMPACT ? ByteOrder.LITTLE_ENDIAN : ByteOrder.BIG_ENDIAN);
    }

    /** Moves to the next field, skipping an unread value; returns false if there is none. */
    public boolean next() {
        if (!valueRead) {
            skip(type);
        }
        valueRead = false;
        int first = in.get() & 0xff;
        if (first == 0) {
            type = 0;
            valueRead = true;
            return false;
        }
        if (encoding != ThriftEncoding.COMPACT) {
            type = first;
            id = in.getShort();
            return true;
        }
        id = first >> 4 == 0 ? (short) readZigzag() : lastId + (first >> 4);
        lastId = id;
        type = toBinaryType(first & 0xf);
        compactBool = (first & 0xf) == 1;
        return true;
    }

    /** Returns the id of the current field. */
    public int id() {
        return id;
    }

    /** Returns the offset of the current field's value in the struct, or the offset after it once it has been read. */
    public int position() {
        return in.position();
    }

    /** Returns whether the current field is a struct. */
    public boolean isStruct() {
        return type == 12;
    }

    /** Reads a string field, or returns null; malformed UTF-8 is replaced with U+FFFD. */
    public String string() {
        if (type != 11) {
            return null;
        }
        valueRead = true;
        byte[] bytes = new byte[encoding == ThriftEncoding.COMPACT ? (int) readVarint() : in.getInt()];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Reads a field of type byte, i16, i32 or i64, or returns null. */
    public Long number() {
        if (type != 3 && type != 6 && type != 8 && type != 10) {
            return null;
        }
        valueRead = true;
        if (type == 3) {
            return (long) in.get();
        }
        if (encoding == ThriftEncoding.COMPACT) {
            return readZigzag();
        }
        return type == 6 ? in.getShort() : type == 8 ? in.getInt() : in.getLong();
    }

    /** Reads a boolean field, or returns null. */
    public Boolean bool() {
        if (type != 2) {
            return null;
        }
        valueRead = true;
        return encoding == ThriftEncoding.COMPACT ? compactBool : in.get() != 0;
    }

    /** Returns a reader for a struct field, or null; it must be read to its end before this reader continues. */
    public StructReader struct() {
        if (type != 12) {
            return null;
        }
        valueRead = true;
        return new StructReader(encoding, in);
    }

    private static int toBinaryType(int compactType) {
        return switch (compactType) {
            case 1, 2 -> 2;
            case 3 -> 3;
            case 4 -> 6;
            case 5 -> 8;
            case 6 -> 10;
            case 7 -> 4;
            case 8 -> 11;
            case 9 -> 15;
            case 10 -> 14;
            case 11 -> 13;
            case 12 -> 12;
            default -> 16;
        };
    }

    private void skip(int valueType) {
        switch (valueType) {
            case 2 -> skipBytes(encoding == ThriftEncoding.COMPACT ? 0 : 1);
            case 3 -> skipBytes(1);
            case 4 -> skipBytes(8);
            case 16 -> skipBytes(16);
            case 6, 8, 10 -> {
                if (encoding == ThriftEncoding.COMPACT) {
                    readZigzag();
                } else {
                    skipBytes(valueType == 6 ? 2 : valueType == 8 ? 4 : 8);
                }
            }
            case 11 -> skipBytes(encoding == ThriftEncoding.COMPACT ? (int) readVarint() : in.getInt());
            case 12 -> {
                StructReader inner = new StructReader(encoding, in);
                while (inner.next()) {
                    // next() skips the value of the previous field
                }
            }
            case 13 -> skipMap();
            default -> skipList();
        }
    }

    /** Skips an element of a container, where a bool takes one byte in either protocol. */
    private void skipElement(int valueType) {
        if (valueType == 2) {
            skipBytes(1);
        } else {
            skip(valueType);
        }
    }

    private void skipList() {
        int elementType;
        long size;
        if (encoding == ThriftEncoding.COMPACT) {
            int first = in.get() & 0xff;
            elementType = toBinaryType(first & 0xf);
            size = first >> 4 == 15 ? readVarint() : first >> 4;
        } else {
            elementType = in.get() & 0xff;
            size = in.getInt();
        }
        for (long i = 0; i < size; i++) {
            skipElement(elementType);
        }
    }

    private void skipMap() {
        int keyType;
        int valueType;
        long size;
        if (encoding == ThriftEncoding.COMPACT) {
            size = readVarint();
            int types = size == 0 ? 0 : in.get() & 0xff;
            keyType = toBinaryType(types >> 4);
            valueType = toBinaryType(types & 0xf);
        } else {
            keyType = in.get() & 0xff;
            valueType = in.get() & 0xff;
            size = in.getInt();
        }
        for (long i = 0; i < size; i++) {
            skipElement(keyType);
            skipElement(valueType);
        }
    }

    private void skipBytes(int bytes) {
        in.position(in.position() + bytes);
    }

    private long readVarint() {
        long value = 0;
        for (int shift = 0; ; shift += 7) {
            byte next = in.get();
            value |= (next & 0x7fL) << shift;
            if (next >= 0) {
                return value;
            }
        }
    }

    private long readZigzag() {
        long value = readVarint();
        return value >>> 1 ^ -(value & 1);
    }
}
