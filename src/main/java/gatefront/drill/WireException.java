package gatefront.drill;

/** Input that violates the simulator's protocol; the message names the frame, the record and the problem. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
