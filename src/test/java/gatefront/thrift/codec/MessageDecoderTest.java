package gatefront.thrift.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.thrift.codec.MessageHeader.Type;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.junit.jupiter.api.Test;

/** Tests the codec against the reference implementation of Thrift and against malformed input. */
class MessageDecoderTest {
    private static final MessageFormat FRAMED = new MessageFormat(true, ThriftEncoding.BINARY);
    private static final MessageFormat COMPACT = new MessageFormat(false, ThriftEncoding.COMPACT);

    /** Decodes bytes that arrive in chunks, each ending before one of the given positions. */
    private static List<Object> decode(byte[] bytes, int... cuts) {
        EmbeddedChannel channel = new EmbeddedChannel(new MessageDecoder(MessageLimits.DEFAULT));
        int start = 0;
        for (int cut : cuts) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, start, cut - start));
            start = cut;
        }
        channel.writeInbound(Unpooled.copiedBuffer(bytes, start, bytes.length - start));
        List<Object> out = new ArrayList<>();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            out.add(message);
        }
        channel.finishAndReleaseAll();
        return out;
    }

    private static String failureOf(byte[] bytes) {
        List<Object> out = decode(bytes);
        assertEquals(1, out.size(), out.toString());
        return ((MalformedMessageException) out.get(0)).getMessage();
    }

    private static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Arrays.stream(parts).forEach(out::writeBytes);
        return out.toByteArray();
    }

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int i = 0; i < values.length; i++) {
            bytes[i] = (byte) values[i];
        }
        return bytes;
    }

    private static byte[] call(MessageFormat format) throws Exception {
        return MessageSamples.message(format, "pagar", 1, 7, to -> {
            to.writeFieldBegin(new TField("texto", TType.STRING, (short) 2));
            to.writeString("hola");
            to.writeFieldEnd();
        });
    }

    private static byte[] frame(byte[] message) {
        return concat(bytes(0, 0, message.length >> 8, message.length), message);
    }

    @Test
    void everyFormatIsDetectedFromItsFirstBytes() throws Exception {
        for (MessageFormat format : MessageSamples.FORMATS) {
            EmbeddedChannel channel = new EmbeddedChannel(new MessageDecoder(MessageLimits.DEFAULT));
            channel.writeInbound(Unpooled.copiedBuffer(call(format)));
            ThriftMessage message = channel.readInbound();
            assertEquals(new MessageHeader("pagar", Type.CALL, 7), message.header(), format.toString());
            assertEquals(format, channel.pipeline().get(MessageDecoder.class).format());
            assertFalse(channel.pipeline().get(MessageDecoder.class).hasUnreadBytes());
        }
    }

    /** Each message of the reference is decoded with its exact body in any chunks and encoded to the same bytes. */
    @Test
    void referenceMessagesAreDecodedHoweverTheyAreSplit() throws Exception {
        Random random = new Random(5);
        for (int i = 0; i < 3000; i++) {
            MessageFormat format = MessageSamples.FORMATS[i % MessageSamples.FORMATS.length];
            byte[] first = MessageSamples.random(format, random);
            byte[] second = MessageSamples.random(format, random);
            byte[] both = concat(first, second);
            List<Object> messages = decode(both);
            assertEquals(2, messages.size(), format + " " + messages);
            int[] cuts =
                    random.ints(random.nextInt(6), 0, both.length + 1).sorted().toArray();
            assertSameMessages(messages, decode(both, cuts));
            assertSameMessages(messages.subList(0, 1), decode(first));
            ThriftMessage message = (ThriftMessage) messages.get(0);
            assertTrue(first.length >= message.body().length);
            assertArrayEquals(
                    Arrays.copyOfRange(first, first.length - message.body().length, first.length), message.body());
            ByteBuf encoded = Unpooled.buffer();
            MessageEncoder.write(message, format.framed(), encoded);
            byte[] written = new byte[encoded.readableBytes()];
            encoded.readBytes(written);
            assertArrayEquals(first, written, "the encoder must write the bytes of the reference");
        }
    }

    private static void assertSameMessages(List<Object> expected, List<Object> actual) {
        assertEquals(expected.size(), actual.size());
        for (int i = 0; i < expected.size(); i++) {
            if (expected.get(i) instanceof MalformedMessageException malformed) {
                assertEquals(malformed.getMessage(), ((MalformedMessageException) actual.get(i)).getMessage());
                continue;
            }
            ThriftMessage one = (ThriftMessage) expected.get(i);
            ThriftMessage other = (ThriftMessage) actual.get(i);
            assertEquals(one.header(), other.header());
            assertArrayEquals(one.body(), other.body());
        }
    }

    @Test
    void messageArrivingByteByByteIsDecodedOnce() throws Exception {
        byte[] bytes = MessageSamples.message(FRAMED, "m", 1, 1, to -> {
            to.writeFieldBegin(new TField("f", TType.STRING, (short) 1));
            to.writeString("x".repeat(30_000));
            to.writeFieldEnd();
        });
        int[] cuts = new int[bytes.length - 1];
        Arrays.setAll(cuts, i -> i + 1);
        assertSameMessages(decode(bytes), decode(bytes, cuts));
    }

    @Test
    void referenceReadsWhatStructWriterWrites() throws Exception {
        for (ThriftEncoding encoding : ThriftEncoding.values()) {
            byte[] inner = new StructWriter(encoding)
                    .string(1, "r-1")
                    .i64(40, -5)
                    .bool(41, true)
                    .bool(42, false)
                    .end();
            byte[] body =
                    new StructWriter(encoding).struct(1, inner).i32(2, -77).end();
            ByteBuf out = Unpooled.buffer();
            MessageEncoder.write(
                    new ThriftMessage(encoding, new MessageHeader("saldo", Type.CALL, -3), body), false, out);
            TProtocol in =
                    MessageSamples.protocol(encoding, new TMemoryInputTransport(out.array(), 0, out.readableBytes()));
            TMessage header = in.readMessageBegin();
            assertEquals("saldo", header.name);
            assertEquals(-3, header.seqid);
            in.readStructBegin();
            assertEquals(1, in.readFieldBegin().id);
            in.readStructBegin();
            assertEquals(1, in.readFieldBegin().id);
            assertEquals("r-1", in.readString());
            assertEquals(40, in.readFieldBegin().id);
            assertEquals(-5, in.readI64());
            assertEquals(41, in.readFieldBegin().id);
            assertTrue(in.readBool());
            assertEquals(42, in.readFieldBegin().id);
            assertFalse(in.readBool());
            assertEquals(TType.STOP, in.readFieldBegin().type);
            in.readStructEnd();
            assertEquals(2, in.readFieldBegin().id);
            assertEquals(-77, in.readI32());
            assertEquals(TType.STOP, in.readFieldBegin().type);
        }
    }

    @Test
    void structReaderFindsFieldsAfterAnyReferenceValue() throws Exception {
        Random random = new Random(11);
        for (int i = 0; i < 3000; i++) {
            MessageFormat format = MessageSamples.FORMATS[i % MessageSamples.FORMATS.length];
            ThriftMessage message = (ThriftMessage)
                    decode(MessageSamples.withoutUuids(format, random)).get(0);
            StructReader reader = new StructReader(message.encoding(), message.body());
            TProtocol in = MessageSamples.protocol(
                    format.encoding(), new TMemoryInputTransport(message.body(), 0, message.body().length));
            in.readStructBegin();
            while (reader.next()) {
                TField field = in.readFieldBegin();
                assertEquals(field.id, reader.id());
                switch (field.type) {
                    case TType.I64 -> assertEquals(in.readI64(), reader.number());
                    case TType.I32 -> assertEquals(in.readI32(), reader.number().intValue());
                    case TType.I16 -> assertEquals(in.readI16(), reader.number().shortValue());
                    case TType.BYTE -> assertEquals(
                            in.readByte(), reader.number().byteValue());
                    case TType.BOOL -> assertEquals(in.readBool(), reader.bool());
                    case TType.STRING -> {
                        byte[] bytes = new byte[in.readBinary().remaining()];
                        assertNull(reader.number());
                        assertTrue(bytes.length == 0 || !reader.string().isEmpty());
                    }
                    default -> TProtocolUtil.skip(in, field.type); // StructReader skips it by itself
                }
                in.readFieldEnd();
            }
            assertEquals(TType.STOP, in.readFieldBegin().type);
        }
    }

    @Test
    void invalidFrameLengthsAreRejected() throws Exception {
        assertTrue(failureOf(concat(bytes(0, 0, 0, 0), bytes(0x80, 1, 0, 1)))
                .contains("frame of 0 bytes; expected 1 to 65536"));
        assertTrue(failureOf(bytes(0xff, 0xff, 0xff, 0xff, 0x80)).contains("0xff begins neither"));
        assertTrue(failureOf(bytes(0x7f, 0xff, 0xff, 0xff, 0x80, 1))
                .contains("frame of 2147483647 bytes; expected 1 to 65536"));
        EmbeddedChannel fixed = new EmbeddedChannel(new MessageDecoder(MessageLimits.DEFAULT, FRAMED));
        fixed.writeInbound(Unpooled.copiedBuffer(bytes(0x80, 0, 0, 0, 0x80)));
        assertTrue(((MalformedMessageException) fixed.readInbound())
                .getMessage()
                .contains("frame of -2147483648 bytes; expected 1 to 65536"));
    }

    @Test
    void framesWhoseLengthDiffersFromTheMessageAreRejected() throws Exception {
        byte[] message = call(new MessageFormat(false, ThriftEncoding.BINARY));
        assertTrue(failureOf(frame(concat(message, bytes(1)))).contains("bytes contains a message of"));
        assertTrue(failureOf(frame(Arrays.copyOf(message, message.length - 1))).contains("longer than"));
        assertTrue(
                failureOf(frame(concat(message, message))).contains("bytes contains a message of"),
                "two calls in one frame");
    }

    @Test
    void lengthsAndCountsBeyondTheRemainingBytesAreRejectedAtOnce() {
        byte[] compact = bytes(0x82, 0x21, 1, 1, 'm');
        byte[] binary = bytes(0x80, 1, 0, 1, 0, 0, 0, 1, 'm', 0, 0, 0, 1);
        for (byte[] message : List.of(
                concat(binary, bytes(11, 0, 1, 0x7f, 0xff, 0xff, 0xff)),
                concat(binary, bytes(11, 0, 1, 0xff, 0, 0, 0)),
                concat(binary, bytes(15, 0, 1, 12, 0x7f, 0xff, 0xff, 0xff)),
                concat(binary, bytes(14, 0, 1, 3, 0xff, 0, 0, 0)),
                concat(binary, bytes(13, 0, 1, 3, 3, 0x40, 0, 0, 0)),
                concat(binary, bytes(13, 0, 1, 3, 3, 0x80, 0, 0, 0)),
                concat(compact, bytes(0x18, 0xff, 0xff, 0xff, 0xff, 0x0f)),
                concat(compact, bytes(0x19, 0xf3, 0xff, 0xff, 0xff, 0x7f)),
                concat(compact, bytes(0x1b, 0xff, 0xff, 0xff, 0x7f, 0x33)))) {
            assertTrue(failureOf(message).startsWith("declares "), failureOf(message));
        }
    }

    @Test
    void unterminatedVarintsAndUnknownTypesAndVersionsAreRejected() {
        byte[] compact = bytes(0x82, 0x21, 1, 1, 'm');
        byte[] unterminated = bytes(0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff);
        int[][] typesAndMaxLengths = {{0x14, 3}, {0x15, 5}, {0x16, 10}, {0x18, 5}, {0x1b, 5}};
        for (int[] typeAndMaxLength : typesAndMaxLengths) {
            assertEquals(
                    "varint longer than " + typeAndMaxLength[1] + " bytes",
                    failureOf(concat(compact, bytes(typeAndMaxLength[0]), unterminated)));
        }
        assertEquals("varint longer than 5 bytes", failureOf(concat(bytes(0x82, 0x21), unterminated)));
        assertTrue(failureOf(concat(compact, bytes(0x1e))).contains("unknown type 14"));
        assertTrue(failureOf(concat(compact, bytes(0x10))).contains("type 0"));
        assertTrue(
                failureOf(concat(compact, bytes(0x19, 0x10))).contains("type 0"), "elements that would take no bytes");
        assertTrue(failureOf(bytes(0x82, 0x22, 1)).contains("version"));
        assertTrue(failureOf(bytes(0x80, 2, 0, 1, 0, 0, 0, 1)).contains("version"));
        assertTrue(failureOf(bytes(0x80, 1, 0, 9, 0, 0, 0, 1)).contains("unknown message type 9"));
        byte[] binary = bytes(0x80, 1, 0, 1, 0, 0, 0, 1, 'm', 0, 0, 0, 1);
        assertTrue(failureOf(concat(binary, bytes(1, 0, 1))).contains("unknown type 1 "));
        assertTrue(failureOf(concat(binary, bytes(99, 0, 1))).contains("unknown type 99"));
        assertTrue(failureOf(bytes(0x80, 1, 0, 1, 0x7f, 0, 0, 0))
                .contains("method name of 2130706432 bytes; at most 128"));
        assertTrue(failureOf(bytes(0x80, 1, 0, 1, 0, 0, 0, 1, '\n', 0, 0, 0, 1)).contains("character 0x0a"));
        assertTrue(failureOf("GET / HTTP/1.1\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII))
                .contains("unknown message format: length 1195725856 followed by byte 0x2f"));
    }

    @Test
    void deepNestingIsRejected() {
        byte[] deep = new byte[10_020];
        byte[] header = bytes(0x82, 0x21, 1, 1, 'm');
        System.arraycopy(header, 0, deep, 0, header.length);
        Arrays.fill(deep, header.length, deep.length, (byte) 0x1c);
        assertEquals("nested more than 32 levels deep", failureOf(deep));
        Arrays.fill(deep, header.length, deep.length, (byte) 0x19); // nested lists of one element
        assertEquals("nested more than 32 levels deep", failureOf(deep));
    }

    @Test
    void messageOverTheLimitIsRejectedBeforeItIsBuffered() throws Exception {
        byte[] large = MessageSamples.message(COMPACT, "m", 1, 1, to -> {
            for (int i = 1; i < 5; i++) {
                to.writeFieldBegin(new TField("f", TType.STRING, (short) i));
                to.writeString("x".repeat(20_000));
                to.writeFieldEnd();
            }
        });
        assertTrue(failureOf(large).contains("20000 bytes where"), failureOf(large));
    }

    @Test
    void nothingIsDecodedAfterAMessageOfAnotherFormat() throws Exception {
        List<Object> out = decode(concat(call(FRAMED), call(COMPACT), call(FRAMED)));
        assertEquals(2, out.size());
        assertTrue(out.get(1) instanceof MalformedMessageException);
    }

    /**
     * Each of 200,000 mutated messages yields a message or a {@link MalformedMessageException}, the same in chunks as
     * in one piece, and {@link StructReader} can iterate over every body that the decoder accepts.
     */
    @Test
    void mutatedMessagesDecodeTheSameInPiecesAsWhole() throws Exception {
        Random random = new Random(42);
        int decoded = 0;
        List<byte[]> seeds = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            seeds.add(MessageSamples.random(MessageSamples.FORMATS[i % MessageSamples.FORMATS.length], random));
        }
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes = seeds.get(random.nextInt(seeds.size())).clone();
            if (random.nextInt(8) == 0) {
                bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length + 8));
            }
            for (int m = random.nextInt(4); m >= 0 && bytes.length > 0; m--) {
                int at = random.nextInt(bytes.length);
                switch (random.nextInt(4)) {
                    case 0 -> bytes[at] = (byte) random.nextInt();
                    case 1 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                    case 2 -> bytes[at] = (byte) (random.nextBoolean() ? 0xff : 0x7f);
                    default -> Arrays.fill(bytes, at, Math.min(bytes.length, at + 4), (byte) random.nextInt());
                }
            }
            List<Object> messages = decode(bytes);
            int cut = random.nextInt(bytes.length + 1);
            assertSameMessages(messages, decode(bytes, cut));
            for (Object decodedObject : messages) {
                if (decodedObject instanceof ThriftMessage message) {
                    decoded++;
                    StructReader reader = new StructReader(message.encoding(), message.body());
                    while (reader.next()) {
                        if (random.nextBoolean()) {
                            reader.string();
                        }
                    }
                }
            }
        }
        assertTrue(decoded > 20_000 && decoded < 190_000, decoded + " of the mutated messages are still valid");
    }
}
