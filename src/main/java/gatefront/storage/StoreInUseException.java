package gatefront.storage;

import java.io.IOException;

/** Somebody else has a store open. */
public final class StoreInUseException extends IOException {
    private static final long serialVersionUID = 1;

    StoreInUseException() {
        super("somebody else has this store open");
    }
}
