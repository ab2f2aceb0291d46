package gatefront.recovery;

/** The kinds of state that an agent can restore at start. */
public enum StateKind {
    /** Servers that operators have drained manually or put back. */
    BANS("calls by hand"),
    /** The server list. */
    SERVER_LIST("the list");

    private final String label;

    StateKind(String label) {
        this.label = label;
    }

    /** Returns the words used in log lines. */
    public String label() {
        return label;
    }
}
