package gatefront.thrift;

/** The numbers of {@code docs/idl/gatefront.thrift}: what both sides of a call agree on beside its method. */
final class ThriftConventions {
    /** The argument of every method that holds the {@code Metadata}, and the fields of it. */
    static final int METADATA = 1;

    static final int REQUEST_ID = 1;
    static final int TIMEOUT_MS = 2;
    static final int TENANT = 3;
    static final int AFFINITY_KEY = 4;
    static final int WORK_HINT = 5;
    static final int CLIENT_RETRY = 6;
    static final int IDEMPOTENCY_KEY = 7;
    /** The exceptions that methods declare, as fields of their results; and the fields of both. */
    static final int REFUSED = 100;

    static final int FAILED = 101;
    static final int REASON = 1;
    static final int RETRY_AFTER_MS = 2;
    /** A load report beside a result; readers that do not know it pass over it, as the specification has it. */
    static final int LOAD = 32_000;
    /** The method that asks for health, and the fields of its result. */
    static final String HEALTH = "gatefrontHealth";

    static final int SUCCESS = 0;
    static final int READY = 1;
    static final int HEALTH_LOAD = 2;
    /** The fields of a TApplicationException, and its kinds that are used here. */
    static final int APPLICATION_MESSAGE = 1;

    static final int APPLICATION_TYPE = 2;
    static final int UNKNOWN_METHOD = 1;
    static final int INVALID_MESSAGE_TYPE = 2;
    static final int INTERNAL_ERROR = 6;
    static final int PROTOCOL_ERROR = 7;
    static final int INVALID_TRANSFORM = 8;
    static final int INVALID_PROTOCOL = 9;
    static final int UNSUPPORTED_CLIENT_TYPE = 10;

    private ThriftConventions() {}
}
