package gatefront.thrift;

import gatefront.thrift.codec.StructWriter;
import gatefront.thrift.codec.ThriftEncoding;

/** The bodies of answers that no server has made. */
final class ErrorResults {
    private ErrorResults() {}

    /** A TApplicationException. */
    static byte[] application(ThriftEncoding encoding, int type, String message) {
        return new StructWriter(encoding)
                .string(ThriftConventions.APPLICATION_MESSAGE, message)
                .i32(ThriftConventions.APPLICATION_TYPE, type)
                .end();
    }

    /** A result that is the declared exception Refused. */
    static byte[] refused(ThriftEncoding encoding, String reason, long retryAfterMs) {
        return new StructWriter(encoding)
                .struct(
                        ThriftConventions.REFUSED,
                        new StructWriter(encoding)
                                .string(ThriftConventions.REASON, reason)
                                .i64(ThriftConventions.RETRY_AFTER_MS, retryAfterMs)
                                .end())
                .end();
    }

    /** A result that is the declared exception Failed. */
    static byte[] failed(ThriftEncoding encoding, String reason) {
        return new StructWriter(encoding)
                .struct(
                        ThriftConventions.FAILED,
                        new StructWriter(encoding)
                                .string(ThriftConventions.REASON, reason)
                                .end())
                .end();
    }

    /** The result of the question for health. */
    static byte[] health(ThriftEncoding encoding, boolean ready) {
        return new StructWriter(encoding)
                .struct(
                        ThriftConventions.SUCCESS,
                        new StructWriter(encoding)
                                .bool(ThriftConventions.READY, ready)
                                .end())
                .end();
    }
}
