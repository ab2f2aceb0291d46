package gatefront.thrift;

import gatefront.thrift.codec.StructWriter;
import gatefront.thrift.codec.ThriftEncoding;

/** Encodes the result bodies that the agent creates itself. */
final class ErrorResults {
    private ErrorResults() {}

    /** Encodes a TApplicationException. */
    static byte[] application(ThriftEncoding encoding, int type, String message) {
        return new StructWriter(encoding)
                .string(ThriftConventions.APPLICATION_MESSAGE, message)
                .i32(ThriftConventions.APPLICATION_TYPE, type)
                .end();
    }

    /** Encodes a result with the declared exception Refused. */
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

    /** Encodes a result with the declared exception Failed. */
    static byte[] failed(ThriftEncoding encoding, String reason) {
        return new StructWriter(encoding)
                .struct(
                        ThriftConventions.FAILED,
                        new StructWriter(encoding)
                                .string(ThriftConventions.REASON, reason)
                                .end())
                .end();
    }

    /** Encodes the result of the health method. */
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
