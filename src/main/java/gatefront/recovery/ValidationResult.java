package gatefront.recovery;

/**
 * A verdict on a claim.
 *
 * @param claim the claim
 * @param verdict what becomes of it
 * @param why in words for staff
 */
public record ValidationResult(RestoredState claim, TrustLevel verdict, String why) {
    /** As a line of the log. */
    public String line() {
        return claim.piece().words() + " from " + claim.source().words() + ": "
                + switch (verdict) {
                    case BELIEVED -> "believed";
                    case DOUBTED -> "doubted";
                    case DROPPED -> "dropped";
                } + ", " + why;
    }
}
