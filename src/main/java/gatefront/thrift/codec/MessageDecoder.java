package gatefront.thrift.codec;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Decodes the messages of one connection. Emits a {@link ThriftMessage} for each message, or a single
 * {@link MalformedMessageException} for invalid input, after which all further input is discarded. The format is either
 * given or detected from the first bytes; all messages of a connection have the same format.
 *
 * <p>Detection: a first byte of 0x80 or 0x82 begins an unframed message of the strict binary or the compact protocol.
 * Otherwise the first four bytes are a length and the fifth byte identifies the format. 0x80 and 0x82 indicate a frame
 * of the protocols above, 0 a frame of the old binary protocol (the first byte of the name length), and a visible
 * character an unframed message of the old binary protocol (the first character of the method name).
 */
public final class MessageDecoder extends ByteToMessageDecoder {
    private static final int LENGTH_BYTES = 4;

    private final MessageLimits limits;
    private MessageFormat format;
    private MessageScanner scanner;
    /** Length of the frame being received, without the length field; 0 between frames. */
    private int frameLength;

    /** Whether invalid input has been seen. */
    private boolean failed;

    /** Creates a decoder that detects the format from the first bytes. */
    public MessageDecoder(MessageLimits limits) {
        this(limits, null);
    }

    /** Creates a decoder for one format; null detects it. */
    public MessageDecoder(MessageLimits limits, MessageFormat format) {
        this.limits = limits;
        this.format = format;
    }

    /** Returns the format of the messages, or null if it has not been detected yet. */
    public MessageFormat format() {
        return format;
    }

    /** Returns whether part of a message has been received. */
    public boolean hasPartialMessage() {
        return !failed && (frameLength > 0 || actualReadableBytes() > 0);
    }

    /** Returns whether bytes have been received beyond the messages decoded so far. */
    public boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns the number of bytes that have been received beyond the messages decoded so far. */
    public int unreadBytes() {
        return actualReadableBytes();
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
        int firstByte = in.getUnsignedByte(in.readerIndex());
        if (firstByte == ThriftEncoding.BINARY_FIRST_BYTE) {
            return new MessageFormat(false, ThriftEncoding.BINARY);
        }
        if (firstByte == ThriftEncoding.COMPACT_FIRST_BYTE) {
            return new MessageFormat(false, ThriftEncoding.COMPACT);
        }
        if (firstByte > 0x7f) {
            throw new MalformedMessageException(
                    String.format("first byte 0x%02x begins neither a message nor a frame length", firstByte));
        }
        if (in.readableBytes() <= LENGTH_BYTES) {
            return null;
        }
        int length = in.getInt(in.readerIndex());
        int formatByte = in.getUnsignedByte(in.readerIndex() + LENGTH_BYTES);
        if (formatByte == ThriftEncoding.BINARY_FIRST_BYTE) {
            return new MessageFormat(true, ThriftEncoding.BINARY);
        }
        if (formatByte == ThriftEncoding.COMPACT_FIRST_BYTE) {
            return new MessageFormat(true, ThriftEncoding.COMPACT);
        }
        if (formatByte == 0) {
            return new MessageFormat(true, ThriftEncoding.BINARY_OLD);
        }
        if (length <= limits.maxNameBytes() && formatByte > ' ' && formatByte <= '~') {
            return new MessageFormat(false, ThriftEncoding.BINARY_OLD);
        }
        throw new MalformedMessageException(
                String.format("unknown message format: length %d followed by byte 0x%02x", length, formatByte));
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
                        "frame of " + length + " bytes; expected 1 to " + limits.maxMessageBytes());
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
                    "frame of " + frameLength + " bytes contains a message of " + scanner.scannedBytes() + " bytes");
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
