package gatefront.recovery;

/** What an agent may know from before its start. */
public enum StateKind {
    /** Servers that staff have taken out or put back by hand. */
    BANS("calls by hand"),
    /** The list of servers. */
    LIST("the list");

    private final String words;

    StateKind(String words) {
        this.words = words;
    }

    /** As a line of the log has it. */
    public String words() {
        return words;
    }
}
