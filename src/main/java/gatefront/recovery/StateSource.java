package gatefront.recovery;

/** From where an agent has it. */
public enum StateSource {
    /** The platform's file. */
    CONFIGURATION("the configuration"),
    /** What this instance kept itself. */
    STORE("the store"),
    /** Another process of this instance, during an upgrade or before a restart. */
    PREVIOUS_PROCESS("the process before");

    private final String label;

    StateSource(String words) {
        this.label = words;
    }

    /** As a line of the log has it. */
    public String label() {
        return label;
    }
}
