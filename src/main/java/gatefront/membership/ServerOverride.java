package gatefront.membership;

/**
 * An override that operators apply to a server or a zone, whichever source lists it.
 *
 * @param drain whether the server receives no new requests
 * @param weightFactor the factor by which the listed weight is multiplied
 */
public record ServerOverride(boolean drain, double weightFactor) {
    /** The override that changes nothing. */
    public static final ServerOverride NONE = new ServerOverride(false, 1);

    ServerOverride combine(ServerOverride other) {
        return new ServerOverride(drain || other.drain, weightFactor * other.weightFactor);
    }
}
