package gatefront.thrift.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Encodes a struct of simple fields, which are written in the order of their ids. */
public final class StructWriter {
    private final ThriftEncoding encoding;
    private final ByteBuf out = Unpooled.buffer(64);
    private int lastId;

    /** Begins a struct. */
    public StructWriter(ThriftEncoding encoding) {
        this.encoding = encoding;
    }

    private void writeFieldHeader(int id, int binaryType, int compactType) {
        if (encoding != ThriftEncoding.COMPACT) {
            out.writeByte(binaryType).writeShort(id);
        } else if (id > lastId && id - lastId <= 15) {
            out.writeByte(id - lastId << 4 | compactType);
        } else {
            out.writeByte(compactType);
            MessageEncoder.writeVarint(zigzag(id), out);
        }
        lastId = id;
    }

    private static long zigzag(long value) {
        return value << 1 ^ value >> 63;
    }

    /** Writes a field of type string or binary. */
    public StructWriter string(int id, String value) {
        writeFieldHeader(id, 11, 8);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        if (encoding == ThriftEncoding.COMPACT) {
            MessageEncoder.writeVarint(bytes.length, out);
        } else {
            out.writeInt(bytes.length);
        }
        out.writeBytes(bytes);
        return this;
    }

    /** Writes a field of type i32. */
    public StructWriter i32(int id, int value) {
        writeFieldHeader(id, 8, 5);
        if (encoding == ThriftEncoding.COMPACT) {
            MessageEncoder.writeVarint(zigzag(value), out);
        } else {
            out.writeInt(value);
        }
        return this;
    }

    /** Writes a field of type i64. */
    public StructWriter i64(int id, long value) {
        writeFieldHeader(id, 10, 6);
        if (encoding == ThriftEncoding.COMPACT) {
            MessageEncoder.writeVarint(zigzag(value), out);
        } else {
            out.writeLong(value);
        }
        return this;
    }

    /** Writes a field of type bool. */
    public StructWriter bool(int id, boolean value) {
        writeFieldHeader(id, 2, value ? 1 : 2);
        if (encoding != ThriftEncoding.COMPACT) {
            out.writeByte(value ? 1 : 0);
        }
        return this;
    }

    /** Writes a struct field whose bytes were encoded by another writer. */
    public StructWriter struct(int id, byte[] struct) {
        writeFieldHeader(id, 12, 12);
        out.writeBytes(struct);
        return this;
    }

    /** Ends the struct and returns its bytes. */
    public byte[] end() {
        out.writeByte(0);
        return ByteBufUtil.getBytes(out);
    }
}
