package gatefront.storage;

import java.io.IOException;

/** Signals that a store is already open, in this process or another. */
public final class StoreInUseException extends IOException {
    private static final long serialVersionUID = 1;

    StoreInUseException() {
        super("the store is locked: it is already open in this or another process");
    }
}
