package gatefront.recovery;

/** What becomes of a claim. */
public enum TrustLevel {
    /** It holds. */
    TRUSTED,
    /** It holds to the safe side alone: what it takes out stays out, what it lets in proves nothing. */
    UNCONFIRMED,
    /** As if it had never been. */
    DISCARDED
}
