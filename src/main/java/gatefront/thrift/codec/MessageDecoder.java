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
    private MessageFormat form;
    private MessageScanner scanner;
    /** Of the frame that is coming in, behind its length; 0 while there is none. */
    private int frame;

    private boolean deaf;

    /** Tells the form by the first bytes. */
    public MessageDecoder(MessageLimits limits) {
        this(limits, null);
    }

    /** Takes messages of one form only. */
    public MessageDecoder(MessageLimits limits, MessageFormat form) {
        this.limits = limits;
        this.form = form;
    }

    /** The form of the messages, or null if nothing has told it yet. */
    public MessageFormat form() {
        return form;
    }

    /** Whether a message has begun to come and is not whole. */
    public boolean begun() {
        return !deaf && actualReadableBytes() > 0;
    }

    /** Whether bytes have come that belong to no message read. */
    public boolean leftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (deaf) {
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            if (form == null) {
                form = detect(in);
            }
            ThriftMessage message = form == null ? null : form.framed() ? framed(in) : unframed(in);
            if (message != null) {
                out.add(message);
            }
        } catch (MalformedMessageException e) {
            deaf = true;
            in.skipBytes(in.readableBytes());
            out.add(e);
        }
    }

    private MessageFormat detect(ByteBuf in) throws MalformedMessageException {
        int first = in.getUnsignedByte(in.readerIndex());
        if (first == ThriftEncoding.BINARY_FIRST) {
            return new MessageFormat(false, ThriftEncoding.BINARY);
        }
        if (first == ThriftEncoding.COMPACT_FIRST) {
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
        if (fifth == ThriftEncoding.BINARY_FIRST) {
            return new MessageFormat(true, ThriftEncoding.BINARY);
        }
        if (fifth == ThriftEncoding.COMPACT_FIRST) {
            return new MessageFormat(true, ThriftEncoding.COMPACT);
        }
        if (fifth == 0) {
            return new MessageFormat(true, ThriftEncoding.BINARY_OLD);
        }
        if (length <= limits.name() && fifth > ' ' && fifth <= '~') {
            return new MessageFormat(false, ThriftEncoding.BINARY_OLD);
        }
        throw new MalformedMessageException("no message of any form that is known");
    }

    private ThriftMessage unframed(ByteBuf in) throws MalformedMessageException {
        if (scanner == null) {
            scanner = new MessageScanner(form.encoding(), limits, limits.message());
        }
        return scanner.scan(in, in.readerIndex(), in.writerIndex()) ? take(in) : null;
    }

    private ThriftMessage framed(ByteBuf in) throws MalformedMessageException {
        if (frame == 0) {
            if (in.readableBytes() < LENGTH_BYTES) {
                return null;
            }
            int length = in.getInt(in.readerIndex());
            if (length <= 0 || length > limits.message()) {
                throw new MalformedMessageException(
                        "a frame of " + length + " bytes, where 1 to " + limits.message() + " are permitted");
            }
            in.skipBytes(LENGTH_BYTES);
            frame = length;
            scanner = new MessageScanner(form.encoding(), limits, length);
        }
        if (!scanner.scan(in, in.readerIndex(), in.writerIndex())) {
            return null;
        }
        if (scanner.passed() < frame) {
            throw new MalformedMessageException(
                    "a frame of " + frame + " bytes around a message of " + scanner.passed());
        }
        frame = 0;
        return take(in);
    }

    private ThriftMessage take(ByteBuf in) {
        byte[] body = new byte[scanner.passed() - scanner.bodyAt()];
        in.skipBytes(scanner.bodyAt()).readBytes(body);
        ThriftMessage message = new ThriftMessage(form.encoding(), scanner.header(), body);
        scanner = null;
        return message;
    }
}
