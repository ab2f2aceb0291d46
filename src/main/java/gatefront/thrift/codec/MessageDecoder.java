package gatefront.thrift.codec;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Reads the messages of one connection: a {@link ThriftMessage} for each, and one {@link MalformedMessageException} for
 * what is none, after which nothing more is read. The form is told from the first bytes, or given; all messages of a
 * connection have the same.
 *
 * <p>How it is told: a first byte of 0x80 or 0x82 begins an unframed message of the strict binary or the compact
 * protocol. Otherwise the first four bytes are a length, and the fifth tells of what: 0x80 and 0x82 of a frame as
 * above, 0 of a frame in the old binary protocol (the first byte of its name's length), and a visible character of the
 * name itself, in the old binary protocol without frames.
 */
public final class MessageDecoder extends ByteToMessageDecoder {
    private static final int LENGTH_BYTES = 4;

    private final MessageLimits limits;
    private MessageFormat format;
    private MessageScanner scanner;
    /** Of the frame that is coming in, behind its length; 0 while there is none. */
    private int frameLength;

    private boolean failed;

    /** Tells the form by the first bytes. */
    public MessageDecoder(MessageLimits limits) {
        this(limits, null);
    }

    /** Takes messages of one form only. */
    public MessageDecoder(MessageLimits limits, MessageFormat format) {
        this.limits = limits;
        this.format = format;
    }

    /** The form of the messages, or null if nothing has told it yet. */
    public MessageFormat format() {
        return format;
    }

    /** Whether a message has begun to come and is not whole. */
    public boolean hasPartialMessage() {
        return !failed && actualReadableBytes() > 0;
    }

    /** Whether bytes have come that belong to no message read. */
    public boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (failed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            if (format == null) {
                format = detectFormat(in);
            }
            ThriftMessage message = format == null ? null : format.framed() ? decodeFramed(in) : decodeUnframed(in);
            if (message != null) {
                out.add(message);
            }
        } catch (MalformedMessageException e) {
            failed = true;
            in.skipBytes(in.readableBytes());
            out.add(e);
        }
    }

    private MessageFormat detectFormat(ByteBuf in) throws MalformedMessageException {
        int first = in.getUnsignedByte(in.readerIndex());
        if (first == ThriftEncoding.BINARY_FIRST_BYTE) {
            return new MessageFormat(false, ThriftEncoding.BINARY);
        }
        if (first == ThriftEncoding.COMPACT_FIRST_BYTE) {
            return new MessageFormat(false, ThriftEncoding.COMPACT);
        }
        if (first > 0x7f) {
            throw new MalformedMessageException("neither a message nor a frame's length");
        }
        if (in.readableBytes() <= LENGTH_BYTES) {
            return null;
        }
        int length = in.getInt(in.readerIndex());
        int fifth = in.getUnsignedByte(in.readerIndex() + LENGTH_BYTES);
        if (fifth == ThriftEncoding.BINARY_FIRST_BYTE) {
            return new MessageFormat(true, ThriftEncoding.BINARY);
        }
        if (fifth == ThriftEncoding.COMPACT_FIRST_BYTE) {
            return new MessageFormat(true, ThriftEncoding.COMPACT);
        }
        if (fifth == 0) {
            return new MessageFormat(true, ThriftEncoding.BINARY_OLD);
        }
        if (length <= limits.maxNameBytes() && fifth > ' ' && fifth <= '~') {
            return new MessageFormat(false, ThriftEncoding.BINARY_OLD);
        }
        throw new MalformedMessageException("no message of any form that is known");
    }

    private ThriftMessage decodeUnframed(ByteBuf in) throws MalformedMessageException {
        if (scanner == null) {
            scanner = new MessageScanner(format.encoding(), limits, limits.maxMessageBytes());
        }
        return scanner.scan(in, in.readerIndex(), in.writerIndex()) ? readMessage(in) : null;
    }

    private ThriftMessage decodeFramed(ByteBuf in) throws MalformedMessageException {
        if (frameLength == 0) {
            if (in.readableBytes() < LENGTH_BYTES) {
                return null;
            }
            int length = in.getInt(in.readerIndex());
            if (length <= 0 || length > limits.maxMessageBytes()) {
                throw new MalformedMessageException(
                        "a frame of " + length + " bytes, where 1 to " + limits.maxMessageBytes() + " are permitted");
            }
            in.skipBytes(LENGTH_BYTES);
            frameLength = length;
            scanner = new MessageScanner(format.encoding(), limits, length);
        }
        if (!scanner.scan(in, in.readerIndex(), in.writerIndex())) {
            return null;
        }
        if (scanner.scannedBytes() < frameLength) {
            throw new MalformedMessageException(
                    "a frame of " + frameLength + " bytes around a message of " + scanner.scannedBytes());
        }
        frameLength = 0;
        return readMessage(in);
    }

    private ThriftMessage readMessage(ByteBuf in) {
        byte[] body = new byte[scanner.scannedBytes() - scanner.bodyOffset()];
        in.skipBytes(scanner.bodyOffset()).readBytes(body);
        ThriftMessage message = new ThriftMessage(format.encoding(), scanner.header(), body);
        scanner = null;
        return message;
    }
}
