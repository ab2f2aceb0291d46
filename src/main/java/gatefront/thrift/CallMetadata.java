package gatefront.thrift;

import gatefront.thrift.codec.StructReader;
import gatefront.thrift.codec.ThriftMessage;

/** The metadata struct that a client sends as the first argument of each call. */
final class CallMetadata {
    String requestId = "";
    long timeoutMs;
    String tenant = "";
    String affinityKey = "";
    long workHint;
    boolean clientRetry;
    String idempotencyKey;
    /** Offset of the timeout value in the body; -1 if the call has none. */
    int timeoutOffset = -1;

    /** Encoded length of the timeout value. */
    int timeoutBytes;

    private CallMetadata() {}

    /**
     * The outcome of parsing.
     *
     * @param metadata the metadata; meaningless if there is an error
     * @param error why the metadata cannot be used; null if it can
     */
    record ParseResult(CallMetadata metadata, String error) {}

    /** Parses the metadata from argument 1 of a call. */
    static ParseResult parse(ThriftMessage call) {
        StructReader arguments = new StructReader(call.encoding(), call.body());
        // A duplicate is rejected: the agent and the server could each use a different copy.
        CallMetadata metadata = null;
        while (arguments.next()) {
            if (arguments.id() != ThriftConventions.METADATA) {
                continue;
            }
            if (metadata != null) {
                return new ParseResult(null, "argument 1 comes twice");
            }
            StructReader fields = arguments.struct();
            if (fields == null) {
                return new ParseResult(null, "argument 1 is not the metadata struct");
            }
            metadata = new CallMetadata();
            String error = metadata.read(fields);
            if (error != null) {
                return new ParseResult(null, error);
            }
        }
        return new ParseResult(metadata, metadata == null ? "argument 1, the metadata, is missing" : null);
    }

    private String read(StructReader fields) {
        long seenIds = 0;
        while (fields.next()) {
            int id = fields.id();
            if (id < ThriftConventions.REQUEST_ID || id > ThriftConventions.IDEMPOTENCY_KEY) {
                continue; // field of a later version of the IDL
            }
            if ((seenIds & 1L << id) != 0) {
                return "metadata field " + id + " comes twice";
            }
            seenIds |= 1L << id;
            if (!readField(id, fields)) {
                return "metadata field " + id + " has another type";
            }
        }
        return null;
    }

    private boolean readField(int id, StructReader fields) {
        switch (id) {
            case ThriftConventions.TIMEOUT_MS -> {
                timeoutOffset = fields.position();
                Long value = fields.number();
                timeoutBytes = fields.position() - timeoutOffset;
                timeoutMs = value == null ? 0 : value;
                return value != null;
            }
            case ThriftConventions.WORK_HINT -> {
                Long value = fields.number();
                workHint = value == null ? 0 : value;
                return value != null;
            }
            case ThriftConventions.CLIENT_RETRY -> {
                Boolean value = fields.bool();
                clientRetry = Boolean.TRUE.equals(value);
                return value != null;
            }
            default -> {
                String value = fields.string();
                switch (id) {
                    case ThriftConventions.REQUEST_ID -> requestId = value;
                    case ThriftConventions.TENANT -> tenant = value;
                    case ThriftConventions.AFFINITY_KEY -> affinityKey = value;
                    default -> idempotencyKey = value;
                }
                return value != null;
            }
        }
    }
}
