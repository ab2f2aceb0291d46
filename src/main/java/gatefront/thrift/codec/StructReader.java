package gatefront.thrift.codec;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Goes through the fields of a struct that is known to be well-formed, as {@link MessageDecoder} has found: values are
 * read where they are wanted and passed over where not. What is asked of a field as another type than it has is null.
 */
public final class StructReader {
    private final ThriftEncoding encoding;
    private final ByteBuffer in;
    private int id;
    private int last;
    /** By the binary protocol's numbers; 0 behind the last field. */
    private int type;
    /** A bool's value in the compact protocol, which is part of its field's head. */
    private boolean set;

    private boolean read = true;

    /** Stands before the first field. */
    public StructReader(ThriftEncoding encoding, byte[] struct) {
        this(encoding, ByteBuffer.wrap(struct));
    }

    private StructReader(ThriftEncoding encoding, ByteBuffer in) {
        this.encoding = encoding;
        this.in = in.order(encoding == ThriftEncoding.COMPACT ? ByteOrder.LITTLE_ENDIAN : ByteOrder.BIG_ENDIAN);
    }

    /** Goes to the next field; false if there is none. What the one before holds is passed over, if not read. */
    public boolean next() {
        if (!read) {
            skip(type);
        }
        read = false;
        int first = in.get() & 0xff;
        if (first == 0) {
            type = 0;
            read = true;
            return false;
        }
        if (encoding != ThriftEncoding.COMPACT) {
            type = first;
            id = in.getShort();
            return true;
        }
        id = first >> 4 == 0 ? (short) zigzag() : last + (first >> 4);
        last = id;
        type = binary(first & 0xf);
        set = (first & 0xf) == 1;
        return true;
    }

    /** The field's id. */
    public int id() {
        return id;
    }

    /** Where the field's value begins, in bytes from the struct's first; behind the value once it has been read. */
    public int position() {
        return in.position();
    }

    /** Whether the field is a struct. */
    public boolean isStruct() {
        return type == 12;
    }

    /** A field of type string, or null; what is no UTF-8 in it stands as U+FFFD. */
    public String string() {
        if (type != 11) {
            return null;
        }
        read = true;
        byte[] bytes = new byte[encoding == ThriftEncoding.COMPACT ? (int) varint() : in.getInt()];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** A field of type byte, i16, i32 or i64, or null. */
    public Long number() {
        if (type != 3 && type != 6 && type != 8 && type != 10) {
            return null;
        }
        read = true;
        if (type == 3) {
            return (long) in.get();
        }
        if (encoding == ThriftEncoding.COMPACT) {
            return zigzag();
        }
        return type == 6 ? in.getShort() : type == 8 ? in.getInt() : in.getLong();
    }

    /** A field of type bool, or null. */
    public Boolean bool() {
        if (type != 2) {
            return null;
        }
        read = true;
        return encoding == ThriftEncoding.COMPACT ? set : in.get() != 0;
    }

    /** A field that is a struct, or null; to be read to its end before this goes on. */
    public StructReader struct() {
        if (type != 12) {
            return null;
        }
        read = true;
        return new StructReader(encoding, in);
    }

    private static int binary(int compact) {
        return switch (compact) {
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

    private void skip(int what) {
        switch (what) {
            case 2 -> pass(encoding == ThriftEncoding.COMPACT ? 0 : 1);
            case 3 -> pass(1);
            case 4 -> pass(8);
            case 16 -> pass(16);
            case 6, 8, 10 -> {
                if (encoding == ThriftEncoding.COMPACT) {
                    zigzag();
                } else {
                    pass(what == 6 ? 2 : what == 8 ? 4 : 8);
                }
            }
            case 11 -> pass(encoding == ThriftEncoding.COMPACT ? (int) varint() : in.getInt());
            case 12 -> {
                StructReader inner = new StructReader(encoding, in);
                while (inner.next()) {
                    // what it holds is passed over by the next step
                }
            }
            case 13 -> skipMap();
            default -> skipList();
        }
    }

    /** Values inside of containers: there a bool takes a byte in either protocol. */
    private void skipValue(int what) {
        if (what == 2) {
            pass(1);
        } else {
            skip(what);
        }
    }

    private void skipList() {
        int elements;
        long size;
        if (encoding == ThriftEncoding.COMPACT) {
            int first = in.get() & 0xff;
            elements = binary(first & 0xf);
            size = first >> 4 == 15 ? varint() : first >> 4;
        } else {
            elements = in.get() & 0xff;
            size = in.getInt();
        }
        for (long i = 0; i < size; i++) {
            skipValue(elements);
        }
    }

    private void skipMap() {
        int keys;
        int values;
        long size;
        if (encoding == ThriftEncoding.COMPACT) {
            size = varint();
            int types = size == 0 ? 0 : in.get() & 0xff;
            keys = binary(types >> 4);
            values = binary(types & 0xf);
        } else {
            keys = in.get() & 0xff;
            values = in.get() & 0xff;
            size = in.getInt();
        }
        for (long i = 0; i < size; i++) {
            skipValue(keys);
            skipValue(values);
        }
    }

    private void pass(int bytes) {
        in.position(in.position() + bytes);
    }

    private long varint() {
        long value = 0;
        for (int shift = 0; ; shift += 7) {
            byte each = in.get();
            value |= (each & 0x7fL) << shift;
            if (each >= 0) {
                return value;
            }
        }
    }

    private long zigzag() {
        long value = varint();
        return value >>> 1 ^ -(value & 1);
    }
}
