package gatefront.rehearsal;

import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.StructReader;
import gatefront.thrift.codec.StructWriter;
import gatefront.thrift.codec.ThriftEncoding;
import gatefront.thrift.codec.ThriftMessage;

/**
 * Thrift payloads of clients and nodos, according to docs/idl/gatefront.thrift. Independent of the agent's codec of
 * the same messages.
 */
final class ThriftPayloads {
    static final String HEALTH = "gatefrontHealth";
    private static final int LOAD_FIELD = 32_000;

    /** The fields of a call that a nodo reads. */
    record CallFields(String requestId, String key) {}

    /** The fields of a reply that a client reads: the body if it was served, otherwise the advised wait, 0 for none. */
    record ReplyFields(String success, boolean refused, long retryAfterMicros) {}

    private ThriftPayloads() {}

    /** Returns the message format for a plan's protocol, or null for HTTP. */
    static MessageFormat format(String protocol) {
        return protocol.equals("http")
                ? null
                : new MessageFormat(
                        protocol.startsWith("framed"),
                        protocol.endsWith("compact") ? ThriftEncoding.COMPACT : ThriftEncoding.BINARY);
    }

    /** Encodes the arguments of a call; null arguments are omitted. */
    static byte[] encodeCall(
            ThriftEncoding encoding,
            String requestId,
            long timeoutMs,
            String tenant,
            long hintMicros,
            boolean retry,
            String key,
            String body) {
        StructWriter metadata = new StructWriter(encoding).string(1, requestId).i64(2, timeoutMs);
        if (tenant != null) {
            metadata.string(3, tenant);
        }
        metadata.i64(5, hintMicros).bool(6, retry);
        if (key != null) {
            metadata.string(7, key);
        }
        return new StructWriter(encoding)
                .struct(1, metadata.end())
                .string(2, body)
                .end();
    }

    static CallFields readCall(ThriftMessage call) {
        String id = "";
        String key = "";
        StructReader arguments = new StructReader(call.encoding(), call.body());
        while (arguments.next()) {
            if (arguments.id() == 1 && arguments.isStruct()) {
                StructReader metadata = arguments.struct();
                while (metadata.next()) {
                    if (metadata.id() == 1) {
                        id = metadata.string();
                    } else if (metadata.id() == 7) {
                        key = metadata.string();
                    }
                }
            }
        }
        return new CallFields(id, key);
    }

    static byte[] success(ThriftEncoding encoding, String body, String load) {
        return new StructWriter(encoding)
                .string(0, body)
                .string(LOAD_FIELD, load)
                .end();
    }

    static byte[] refused(ThriftEncoding encoding, String load) {
        return exception(encoding, 100, load);
    }

    static byte[] failed(ThriftEncoding encoding, String load) {
        return exception(encoding, 101, load);
    }

    private static byte[] exception(ThriftEncoding encoding, int id, String load) {
        return new StructWriter(encoding)
                .struct(id, new StructWriter(encoding).string(1, "nodo").end())
                .string(LOAD_FIELD, load)
                .end();
    }

    static byte[] health(ThriftEncoding encoding, String load) {
        return new StructWriter(encoding)
                .struct(
                        0,
                        new StructWriter(encoding).bool(1, true).string(2, load).end())
                .end();
    }

    static ReplyFields readReply(ThriftMessage reply) {
        String success = null;
        boolean refused = false;
        long retryAfterMicros = 0;
        StructReader fields = new StructReader(reply.encoding(), reply.body());
        while (fields.next()) {
            if (fields.id() == 0) {
                success = fields.string();
            } else if (fields.id() == 100 && fields.isStruct()) {
                refused = true;
                StructReader exception = fields.struct();
                while (exception.next()) {
                    if (exception.id() == 2) {
                        Long millis = exception.number();
                        retryAfterMicros = millis == null ? 0 : 1000 * millis;
                    }
                }
            }
        }
        return new ReplyFields(success, refused, retryAfterMicros);
    }
}
