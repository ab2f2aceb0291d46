package gatefront.storage;

import java.io.IOException;

/** A file is not what was written: bytes have changed, or are missing, that were certain before. */
public final class CorruptStoreException extends IOException {
    private static final long serialVersionUID = 1;

    private final transient String file;
    private final long offset;

    /** Damage in a file, seen at a place of it. */
    CorruptStoreException(String file, long offset, String problem) {
        super(file + " at " + offset + ": " + problem);
        this.file = file;
        this.offset = offset;
    }

    /** Which file. */
    public String file() {
        return file;
    }

    /** Where in it, in bytes from its beginning. */
    public long offset() {
        return offset;
    }
}
