package gatefront.storage;

import java.io.IOException;

/** Signals that none of the records passed to a store operation were stored. */
public final class StoreFailedException extends IOException {
    private static final long serialVersionUID = 1;

    /** The cause of the failure. */
    public enum Reason {
        /** The files would exceed the store's size limit. */
        SIZE_LIMIT,
        /** A disk operation failed, for example because the disk is full. */
        IO_ERROR
    }

    private final Reason reason;

    StoreFailedException(Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Returns the cause of the failure. */
    public Reason reason() {
        return reason;
    }
}
