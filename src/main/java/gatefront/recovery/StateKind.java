package gatefront.recovery;

/** What an agent may know from before its start. */
public enum StateKind {
    /** Servers that staff have taken out or put back by hand. */
    BANS("calls by hand"),
    /** The list of servers. */
    SERVER_LIST("the list");

    private final String label;

    StateKind(String words) {
        this.label = words;
    }

    /** As a line of the log has it. */
    public String label() {
        return label;
    }
}
