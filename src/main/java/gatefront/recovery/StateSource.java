package gatefront.recovery;

/** Where restored state comes from. */
public enum StateSource {
    /** The configuration file of the platform. */
    CONFIGURATION("the configuration"),
    /** The store written by this instance. */
    STORE("the store"),
    /** Another process of this instance, during an upgrade or before a restart. */
    PREVIOUS_PROCESS("the process before");

    private final String label;

    StateSource(String label) {
        this.label = label;
    }

    /** Returns the words used in log lines. */
    public String label() {
        return label;
    }
}
