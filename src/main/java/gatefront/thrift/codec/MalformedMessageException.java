package gatefront.thrift.codec;

/** Input that is not a valid Thrift message. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception without a stack trace, because a peer can provoke it at a high rate. */
    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
