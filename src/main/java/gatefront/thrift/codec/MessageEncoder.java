package gatefront.thrift.codec;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Encodes messages. */
public final class MessageEncoder {
    private static final int STRICT_VERSION = 0x80010000;
    private static final int COMPACT_VERSION = 1;

    private MessageEncoder() {}

    /**
     * Writes a message.
     *
     * @param message the message
     * @param framed whether to write its length before it
     * @param out the buffer to write to
     */
    public static void write(ThriftMessage message, boolean framed, ByteBuf out) {
        int lengthIndex = out.writerIndex();
        if (framed) {
            out.writeInt(0);
        }
        byte[] name = message.header().name().getBytes(StandardCharsets.ISO_8859_1);
        int type = message.header().type().number();
        int seqid = message.header().seqid();
        switch (message.encoding()) {
            case BINARY -> out.writeInt(STRICT_VERSION | type)
                    .writeInt(name.length)
                    .writeBytes(name)
                    .writeInt(seqid);
            case BINARY_OLD -> out.writeInt(name.length)
                    .writeBytes(name)
                    .writeByte(type)
                    .writeInt(seqid);
            case COMPACT -> {
                out.writeByte(ThriftEncoding.COMPACT_FIRST_BYTE).writeByte(type << 5 | COMPACT_VERSION);
                writeVarint(seqid & 0xffffffffL, out);
                writeVarint(name.length, out);
                out.writeBytes(name);
            }
        }
        out.writeBytes(message.body());
        if (framed) {
            out.setInt(lengthIndex, out.writerIndex() - lengthIndex - 4);
        }
    }

    static void writeVarint(long value, ByteBuf out) {
        long remaining = value;
        while ((remaining & ~0x7fL) != 0) {
            out.writeByte((int) (remaining & 0x7f | 0x80));
            remaining >>>= 7;
        }
        out.writeByte((int) remaining);
    }
}
