package gatefront.drill;

/** Input that does not follow the wire; the message says what is wrong and where. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
