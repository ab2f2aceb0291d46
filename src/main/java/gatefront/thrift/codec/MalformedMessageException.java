package gatefront.thrift.codec;

/** Bytes that are no message; the message says why. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    /** Has no stack trace: a peer can have many of these made. */
    public MalformedMessageException(String why) {
        super(why, null, false, false);
    }
}
