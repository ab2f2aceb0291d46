package gatefront.storage;

import java.io.IOException;

/** Somebody else has a store open. */
public final class InUseException extends IOException {
    private static final long serialVersionUID = 1;

    InUseException() {
        super("somebody else has this store open");
    }
}
