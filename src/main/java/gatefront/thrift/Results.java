package gatefront.thrift;

import gatefront.thrift.codec.Encoding;
import gatefront.thrift.codec.StructWriter;

/** The bodies of answers that no server has made. */
final class Results {
    private Results() {}

    /** A TApplicationException. */
    static byte[] application(Encoding encoding, int type, String message) {
        return new StructWriter(encoding)
                .string(Conventions.APPLICATION_MESSAGE, message)
                .i32(Conventions.APPLICATION_TYPE, type)
                .end();
    }

    /** A result that is the declared exception Refused. */
    static byte[] refused(Encoding encoding, String reason, long retryAfterMs) {
        return new StructWriter(encoding)
                .struct(
                        Conventions.REFUSED,
                        new StructWriter(encoding)
                                .string(Conventions.REASON, reason)
                                .i64(Conventions.RETRY_AFTER_MS, retryAfterMs)
                                .end())
                .end();
    }

    /** A result that is the declared exception Failed. */
    static byte[] failed(Encoding encoding, String reason) {
        return new StructWriter(encoding)
                .struct(
                        Conventions.FAILED,
                        new StructWriter(encoding)
                                .string(Conventions.REASON, reason)
                                .end())
                .end();
    }

    /** The result of the question for health. */
    static byte[] health(Encoding encoding, boolean ready) {
        return new StructWriter(encoding)
                .struct(
                        Conventions.SUCCESS,
                        new StructWriter(encoding)
                                .bool(Conventions.READY, ready)
                                .end())
                .end();
    }
}
