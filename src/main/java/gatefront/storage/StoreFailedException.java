package gatefront.storage;

import java.io.IOException;

/** Nothing of what was handed over is kept. */
public final class StoreFailedException extends IOException {
    private static final long serialVersionUID = 1;

    /** Why that is so. */
    public enum Why {
        /** The files would take more room than they may. */
        BOUND,
        /** The disk would not take it: it is full, or broken. */
        DISK
    }

    private final Why why;

    StoreFailedException(Why why, String message, Throwable cause) {
        super(message, cause);
        this.why = why;
    }

    /** Why. */
    public Why why() {
        return why;
    }
}
