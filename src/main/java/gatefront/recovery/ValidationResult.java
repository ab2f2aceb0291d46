package gatefront.recovery;

/**
 * The result of validating a piece of restored state.
 *
 * @param state the state that was validated
 * @param trust how far it may be used
 * @param reason the reason, for operators
 */
public record ValidationResult(RestoredState state, TrustLevel trust, String reason) {
    /** Returns the result as text for a log line. */
    public String logLine() {
        return state.kind().label() + " from " + state.source().label() + ": " + trust.label() + ", " + reason;
    }
}
