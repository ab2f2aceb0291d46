package gatefront.toml;

/** A file that cannot be used; the message is one line with file, line, key and what was meant. */
public final class TomlException extends Exception {
    private static final long serialVersionUID = 1;

    /** With that line. */
    public TomlException(String message) {
        super(message);
    }
}
