package gatefront.membership;

/**
 * What staff lay over a server or a zone, whoever lists it.
 *
 * @param drain it is to get nothing new
 * @param factor its weight is so many times what is listed
 */
public record Policy(boolean drain, double factor) {
    /** Nothing. */
    public static final Policy NONE = new Policy(false, 1);

    Policy and(Policy other) {
        return new Policy(drain || other.drain, factor * other.factor);
    }
}
