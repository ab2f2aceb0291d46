package gatefront.membership;

/**
 * What staff lay over a server or a zone, whoever lists it.
 *
 * @param drain it is to get nothing new
 * @param weightFactor its weight is so many times what is listed
 */
public record ServerOverride(boolean drain, double weightFactor) {
    /** Nothing. */
    public static final ServerOverride NONE = new ServerOverride(false, 1);

    ServerOverride combine(ServerOverride other) {
        return new ServerOverride(drain || other.drain, weightFactor * other.weightFactor);
    }
}
