package gatefront.rehearsal;

import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.StructReader;
import gatefront.thrift.codec.StructWriter;
import gatefront.thrift.codec.ThriftEncoding;
import gatefront.thrift.codec.ThriftMessage;

/** What callers and nodos say over Thrift, as docs/idl/gatefront.thrift has it; written apart from the agent's. */
final class ThriftPayloads {
    static final String HEALTH = "gatefrontHealth";
    private static final int LOAD = 32_000;

    /** What a nodo reads of a call. */
    record Said(String requestId, String key) {}

    /** What a caller reads of a reply: the body if it was served, else the wait advised; 0 for none. */
    record Heard(String success, boolean refused, long retryAfterMicros) {}

    private ThriftPayloads() {}

    /** The form that a plan's protocol stands for, or null for HTTP. */
    static MessageFormat form(String protocol) {
        return protocol.equals("http")
                ? null
                : new MessageFormat(
                        protocol.startsWith("framed"),
                        protocol.endsWith("compact") ? ThriftEncoding.COMPACT : ThriftEncoding.BINARY);
    }

    /** The arguments of a call; what is null is left out. */
    static byte[] call(
            ThriftEncoding encoding,
            String requestId,
            long timeoutMs,
            String tenant,
            long hint,
            boolean retry,
            String key,
            String text) {
        StructWriter metadata = new StructWriter(encoding).string(1, requestId).i64(2, timeoutMs);
        if (tenant != null) {
            metadata.string(3, tenant);
        }
        metadata.i64(5, hint).bool(6, retry);
        if (key != null) {
            metadata.string(7, key);
        }
        return new StructWriter(encoding)
                .struct(1, metadata.end())
                .string(2, text)
                .end();
    }

    static Said said(ThriftMessage call) {
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
        return new Said(id, key);
    }

    static byte[] success(ThriftEncoding encoding, String body, String load) {
        return new StructWriter(encoding).string(0, body).string(LOAD, load).end();
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
                .string(LOAD, load)
                .end();
    }

    static byte[] health(ThriftEncoding encoding, String load) {
        return new StructWriter(encoding)
                .struct(
                        0,
                        new StructWriter(encoding).bool(1, true).string(2, load).end())
                .end();
    }

    static Heard heard(ThriftMessage reply) {
        String success = null;
        boolean refused = false;
        long wait = 0;
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
                        wait = millis == null ? 0 : 1000 * millis;
                    }
                }
            }
        }
        return new Heard(success, refused, wait);
    }
}
