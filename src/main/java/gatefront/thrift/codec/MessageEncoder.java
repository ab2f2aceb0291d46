package gatefront.thrift.codec;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Writes messages. */
public final class MessageEncoder {
    private static final int STRICT_VERSION = 0x80010000;
    private static final int COMPACT_VERSION = 1;

    private MessageEncoder() {}

    /**
     * Writes a message.
     *
     * @param message what
     * @param framed whether behind its length
     * @param to where
     */
    public static void write(ThriftMessage message, boolean framed, ByteBuf to) {
        int lengthAt = to.writerIndex();
        if (framed) {
            to.writeInt(0);
        }
        byte[] name = message.header().name().getBytes(StandardCharsets.ISO_8859_1);
        int type = message.header().type().number();
        int seqid = message.header().seqid();
        switch (message.encoding()) {
            case BINARY -> to.writeInt(STRICT_VERSION | type)
                    .writeInt(name.length)
                    .writeBytes(name)
                    .writeInt(seqid);
            case BINARY_OLD -> to.writeInt(name.length)
                    .writeBytes(name)
                    .writeByte(type)
                    .writeInt(seqid);
            case COMPACT -> {
                to.writeByte(ThriftEncoding.COMPACT_FIRST).writeByte(type << 5 | COMPACT_VERSION);
                varint(seqid & 0xffffffffL, to);
                varint(name.length, to);
                to.writeBytes(name);
            }
        }
        to.writeBytes(message.body());
        if (framed) {
            to.setInt(lengthAt, to.writerIndex() - lengthAt - 4);
        }
    }

    static void varint(long value, ByteBuf to) {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            to.writeByte((int) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        to.writeByte((int) rest);
    }
}
