package gatefront.storage;

import java.io.IOException;

/** Nothing of what was handed over is kept. */
public final class StoreFailedException extends IOException {
    private static final long serialVersionUID = 1;

    /** Why that is so. */
    public enum Reason {
        /** The files would take more room than they may. */
        SIZE_LIMIT,
        /** The disk would not take it: it is full, or broken. */
        IO_ERROR
    }

    private final Reason reason;

    StoreFailedException(Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Why. */
    public Reason reason() {
        return reason;
    }
}
