package gatefront.ledger;

/**
 * How much was used. Whole numbers, so that sums are exact in any order; negative in corrections.
 *
 * @param requests served
 * @param worth of them in millionths
 * @param work of the servers in microseconds
 * @param bytes of requests and answers
 */
public record Amounts(long requests, long worth, long work, long bytes) {
    /** Nothing. */
    public static final Amounts NONE = new Amounts(0, 0, 0, 0);

    /** Both together; more than fits is a fault of who made them, and is told. */
    public Amounts plus(Amounts other) {
        return new Amounts(
                Math.addExact(requests, other.requests),
                Math.addExact(worth, other.worth),
                Math.addExact(work, other.work),
                Math.addExact(bytes, other.bytes));
    }

    /** What takes it back. */
    public Amounts negated() {
        return new Amounts(
                Math.negateExact(requests), Math.negateExact(worth), Math.negateExact(work), Math.negateExact(bytes));
    }

    /** Whether nothing was used. */
    public boolean none() {
        return equals(NONE);
    }
}
