package gatefront.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.thrift.codec.MessageHeader;
import gatefront.thrift.codec.StructWriter;
import gatefront.thrift.codec.ThriftEncoding;
import gatefront.thrift.codec.ThriftMessage;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that call metadata is parsed or rejected with a reason, and that the timeout is replaced in place. */
class CallMetadataTest {
    private static CallMetadata.ParseResult parse(ThriftEncoding encoding, byte[] arguments) {
        return CallMetadata.parse(
                new ThriftMessage(encoding, new MessageHeader("m", MessageHeader.Type.CALL, 1), arguments));
    }

    private static StructWriter defaultMetadata(ThriftEncoding encoding, long timeoutMs) {
        return new StructWriter(encoding)
                .string(1, "r-1")
                .i64(2, timeoutMs)
                .string(3, "etla")
                .string(4, "casa")
                .i64(5, 700)
                .bool(6, true)
                .string(7, "k-1");
    }

    @Test
    void allFieldsAreReadAndUnknownOnesSkipped() {
        for (ThriftEncoding encoding : ThriftEncoding.values()) {
            byte[] metadata = defaultMetadata(encoding, 250)
                    .string(60, "later")
                    .struct(61, new StructWriter(encoding).end())
                    .end();
            CallMetadata data = parse(
                            encoding,
                            new StructWriter(encoding)
                                    .struct(1, metadata)
                                    .i32(2, 5)
                                    .end())
                    .metadata();
            assertEquals("r-1", data.requestId);
            assertEquals(250, data.timeoutMs);
            assertEquals("etla", data.tenant);
            assertEquals("casa", data.affinityKey);
            assertEquals(700, data.workHint);
            assertTrue(data.clientRetry);
            assertEquals("k-1", data.idempotencyKey);
        }
    }

    /** Guards against a duplicate of which the agent and the server use different copies. */
    @Test
    void duplicateMistypedOrMissingMetadataIsReported() {
        for (ThriftEncoding encoding : ThriftEncoding.values()) {
            byte[] metadata = defaultMetadata(encoding, 250).end();
            assertEquals(
                    "argument 1 comes twice",
                    parse(
                                    encoding,
                                    new StructWriter(encoding)
                                            .struct(1, metadata)
                                            .i32(2, 5)
                                            .struct(1, metadata)
                                            .end())
                            .error());
            assertEquals(
                    "metadata field 1 comes twice",
                    parse(
                                    encoding,
                                    new StructWriter(encoding)
                                            .struct(
                                                    1,
                                                    defaultMetadata(encoding, 250)
                                                            .string(1, "r-2")
                                                            .end())
                                            .end())
                            .error());
            assertEquals(
                    "metadata field 2 has another type",
                    parse(
                                    encoding,
                                    new StructWriter(encoding)
                                            .struct(
                                                    1,
                                                    new StructWriter(encoding)
                                                            .string(1, "r-1")
                                                            .string(2, "250")
                                                            .end())
                                            .end())
                            .error());
            assertEquals(
                    "metadata field 7 has another type",
                    parse(
                                    encoding,
                                    new StructWriter(encoding)
                                            .struct(
                                                    1,
                                                    new StructWriter(encoding)
                                                            .string(1, "r-1")
                                                            .i64(7, 1)
                                                            .end())
                                            .end())
                            .error());
            assertEquals(
                    "argument 1 is not the metadata struct",
                    parse(encoding, new StructWriter(encoding).string(1, "r-1").end())
                            .error());
            assertEquals(
                    "argument 1, the metadata, is missing",
                    parse(
                                    encoding,
                                    new StructWriter(encoding)
                                            .struct(2, metadata)
                                            .end())
                            .error());
        }
    }

    /** Guards against a remaining time that exceeds the encoded length and would be read as another value. */
    @Test
    void timeoutThatDoesNotFitIsNotWritten() {
        byte[] arguments = new StructWriter(ThriftEncoding.COMPACT)
                .struct(1, defaultMetadata(ThriftEncoding.COMPACT, 63).end())
                .end();
        ThriftMessage call = new ThriftMessage(
                ThriftEncoding.COMPACT, new MessageHeader("m", MessageHeader.Type.CALL, 1), arguments);
        CallMetadata data = CallMetadata.parse(call).metadata();
        assertEquals(1, data.timeoutBytes);
        assertEquals(
                63,
                parse(ThriftEncoding.COMPACT, new ThriftCall(call, data.timeoutOffset, 1).bodyWithTimeout(64))
                        .metadata()
                        .timeoutMs);
        assertEquals(
                62,
                parse(ThriftEncoding.COMPACT, new ThriftCall(call, data.timeoutOffset, 1).bodyWithTimeout(62))
                        .metadata()
                        .timeoutMs);
    }

    /** The remaining time replaces the timeout, and no other byte changes. */
    @Test
    void remainingTimeReplacesTheTimeoutInPlace() {
        Random random = new Random(3);
        for (int i = 0; i < 20_000; i++) {
            ThriftEncoding encoding = ThriftEncoding.values()[i % 3];
            long timeout = 1 + random.nextInt(1 << 1 + random.nextInt(21));
            long remainingMillis = 1 + (long) (random.nextDouble() * timeout);
            byte[] arguments = new StructWriter(encoding)
                    .struct(1, defaultMetadata(encoding, timeout).end())
                    .i32(2, 5)
                    .end();
            ThriftMessage call =
                    new ThriftMessage(encoding, new MessageHeader("m", MessageHeader.Type.CALL, 1), arguments);
            CallMetadata before = CallMetadata.parse(call).metadata();
            byte[] sent =
                    new ThriftCall(call, before.timeoutOffset, before.timeoutBytes).bodyWithTimeout(remainingMillis);
            CallMetadata after = parse(encoding, sent).metadata();
            assertEquals(remainingMillis, after.timeoutMs, encoding + " " + timeout);
            assertEquals(arguments.length, sent.length);
            for (int at = 0; at < sent.length; at++) {
                boolean inside = at >= before.timeoutOffset && at < before.timeoutOffset + before.timeoutBytes;
                assertTrue(inside || sent[at] == arguments[at], "byte " + at);
            }
            assertEquals("k-1", after.idempotencyKey);
        }
        assertNull(parse(
                        ThriftEncoding.COMPACT,
                        new StructWriter(ThriftEncoding.COMPACT)
                                .struct(
                                        1,
                                        defaultMetadata(ThriftEncoding.COMPACT, 9)
                                                .end())
                                .end())
                .error());
    }
}
