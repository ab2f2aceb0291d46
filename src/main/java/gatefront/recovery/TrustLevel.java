package gatefront.recovery;

/** How far a piece of restored state may be used. */
public enum TrustLevel {
    /** The state is valid. */
    TRUSTED("believed"),
    /**
     * The state is applied only where that is the safe side: servers that it drains stay drained, but a server that it
     * lists as available is not thereby confirmed to be available.
     */
    UNCONFIRMED("doubted"),
    /** The state is ignored. */
    DISCARDED("dropped");

    private final String label;

    TrustLevel(String label) {
        this.label = label;
    }

    /** Returns the word used in log lines. */
    public String label() {
        return label;
    }
}
