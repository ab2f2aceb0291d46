package gatefront.recovery;

/**
 * A verdict on a claim.
 *
 * @param state the claim
 * @param trust what becomes of it
 * @param reason in words for staff
 */
public record ValidationResult(RestoredState state, TrustLevel trust, String reason) {
    /** As a line of the log. */
    public String logLine() {
        return state.kind().label() + " from " + state.source().label() + ": "
                + switch (trust) {
                    case TRUSTED -> "believed";
                    case UNCONFIRMED -> "doubted";
                    case DISCARDED -> "dropped";
                } + ", " + reason;
    }
}
