package gatefront.toml;

/** A TOML file that cannot be used. The message is one line with file, line, key and what was expected. */
public final class TomlException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception with this one-line message. */
    public TomlException(String message) {
        super(message);
    }
}
