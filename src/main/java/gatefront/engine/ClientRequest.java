package gatefront.engine;

/**
 * What a caller asks, protocol aside, its names resolved to the settings' indexes.
 *
 * @param id as the caller gave it; one of a name is held at a time, whatever protocols they came by
 * @param requestClass index of its class
 * @param tenant index of its tenant
 * @param affinityKey for affinity, 0 if not given
 * @param costHint of its cost, 0 if not given
 * @param timeoutMs the caller's time, in milliseconds from now
 * @param clientRetry whether the caller says that it has asked before
 * @param payload what goes to the server
 */
public record ClientRequest(
        String id,
        int requestClass,
        int tenant,
        long affinityKey,
        long costHint,
        long timeoutMs,
        boolean clientRetry,
        Payload payload) {
    private static final int MAX_ID_LENGTH = 128;

    /** Whether a text has the form of an id or key: letters, digits and a few marks, and not too many. */
    public static boolean isValidId(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_ID_LENGTH
                && text.chars()
                        .allMatch(c -> c < 128
                                && (Character.isLetterOrDigit(c) || c == '-' || c == '_' || c == '.' || c == ':'));
    }
}
