package gatefront.engine;

import gatefront.policy.Balancer;

/**
 * A client's request without anything specific to its protocol; class and tenant are indexes into its settings.
 *
 * @param snapshot the settings that were in force when it began to arrive
 * @param id chosen by the client; only one request with an id is in progress at a time, across all protocols
 * @param requestClass index of the request class
 * @param tenant index of the tenant
 * @param affinityKey selects the preferred servers; 0 if not given
 * @param costHint expected cost of the request; 0 if not given
 * @param timeoutMs time until the client's deadline, in milliseconds
 * @param clientRetry whether the client says that it is repeating the request
 * @param payload the content to send to the server
 */
public record ClientRequest(
        SettingsSnapshot snapshot,
        String id,
        int requestClass,
        int tenant,
        long affinityKey,
        long costHint,
        long timeoutMs,
        boolean clientRetry,
        Payload payload) {
    private static final int MAX_ID_LENGTH = 128;

    /** Returns the settings of its class. */
    public Balancer.RequestClass classSettings() {
        return snapshot.settings().classes().get(requestClass);
    }

    /** Returns whether it may run any number of times. */
    public boolean isSafe() {
        return classSettings().semantics() == Balancer.Semantics.SAFE;
    }

    /** Returns the name of its class. */
    public String className() {
        return snapshot.classes().get(requestClass);
    }

    /** Returns the name of its tenant; empty if requests have none. */
    public String tenantName() {
        return snapshot.tenants().isEmpty() ? "" : snapshot.tenants().get(tenant);
    }

    /** Returns the same request with another content. */
    public ClientRequest withPayload(Payload newPayload) {
        return new ClientRequest(
                snapshot, id, requestClass, tenant, affinityKey, costHint, timeoutMs, clientRetry, newPayload);
    }

    /**
     * Returns whether {@code text} is a valid id or key: ASCII letters, digits and {@code - _ . :}, up to 128 in all.
     */
    public static boolean isValidId(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_ID_LENGTH
                && text.chars()
                        .allMatch(c -> c < 128
                                && (Character.isLetterOrDigit(c) || c == '-' || c == '_' || c == '.' || c == ':'));
    }
}
