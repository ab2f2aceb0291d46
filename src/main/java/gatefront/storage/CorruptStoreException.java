package gatefront.storage;

import java.io.IOException;

/** Signals that a store's file does not hold what was durably written: bytes have changed or are missing. */
public final class CorruptStoreException extends IOException {
    private static final long serialVersionUID = 1;

    private final transient String file;
    private final long offset;

    /** Creates an exception for damage found at an offset of a file; {@code problem} says what was found. */
    CorruptStoreException(String file, long offset, String problem) {
        super(file + " at " + offset + ": " + problem);
        this.file = file;
        this.offset = offset;
    }

    /** Returns the name of the damaged file. */
    public String file() {
        return file;
    }

    /** Returns the offset at which the damage was found, in bytes from the start of the file. */
    public long offset() {
        return offset;
    }
}
