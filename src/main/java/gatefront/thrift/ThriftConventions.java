package gatefront.thrift;

/** Field ids, method names and exception types defined in {@code docs/idl/gatefront.thrift} and by Thrift itself. */
final class ThriftConventions {
    /** Id of the argument that holds the {@code Metadata} in every method. */
    static final int METADATA = 1;

    /** Ids of the fields of {@code Metadata}. */
    static final int REQUEST_ID = 1;

    static final int TIMEOUT_MS = 2;
    static final int TENANT = 3;
    static final int AFFINITY_KEY = 4;
    static final int WORK_HINT = 5;
    static final int CLIENT_RETRY = 6;
    static final int IDEMPOTENCY_KEY = 7;
    /** Result field ids of the declared exceptions. */
    static final int REFUSED = 100;

    static final int FAILED = 101;
    /** Field ids of the declared exceptions. */
    static final int REASON = 1;

    static final int RETRY_AFTER_MS = 2;
    /** Result field id of the load report; readers that do not know the field skip it, as Thrift specifies. */
    static final int LOAD = 32_000;
    /** Name of the health method. */
    static final String HEALTH = "gatefrontHealth";

    /** Id of the result field that holds a method's return value. */
    static final int SUCCESS = 0;

    /** Field ids of the health result. */
    static final int READY = 1;

    static final int HEALTH_LOAD = 2;
    /** Field ids of TApplicationException. */
    static final int APPLICATION_MESSAGE = 1;

    static final int APPLICATION_TYPE = 2;
    /** Types of TApplicationException. */
    static final int UNKNOWN_METHOD = 1;

    static final int INVALID_MESSAGE_TYPE = 2;
    static final int INTERNAL_ERROR = 6;
    static final int PROTOCOL_ERROR = 7;
    static final int INVALID_TRANSFORM = 8;
    static final int INVALID_PROTOCOL = 9;
    static final int UNSUPPORTED_CLIENT_TYPE = 10;

    private ThriftConventions() {}
}
