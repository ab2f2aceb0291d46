package gatefront.ledger;

/**
 * How much was used. Whole numbers, so that sums are exact in any order; negative in corrections.
 *
 * @param requests served
 * @param worth of them in millionths
 * @param work of the servers in microseconds
 * @param bytes of requests and answers
 */
public record UsageAmounts(long requests, long worth, long work, long bytes) {
    /** Nothing. */
    public static final UsageAmounts ZERO = new UsageAmounts(0, 0, 0, 0);

    /** Both together; more than fits is a fault of who made them, and is told. */
    public UsageAmounts plus(UsageAmounts other) {
        return new UsageAmounts(
                Math.addExact(requests, other.requests),
                Math.addExact(worth, other.worth),
                Math.addExact(work, other.work),
                Math.addExact(bytes, other.bytes));
    }

    /** What takes it back. */
    public UsageAmounts negated() {
        return new UsageAmounts(
                Math.negateExact(requests), Math.negateExact(worth), Math.negateExact(work), Math.negateExact(bytes));
    }

    /** Whether nothing was used. */
    public boolean isZero() {
        return equals(ZERO);
    }

    /** The text that digests are made of: it stays as it is, for another would not compare with digests made before. */
    @Override
    public String toString() {
        return "Amounts[requests=" + requests + ", worth=" + worth + ", work=" + work + ", bytes=" + bytes + "]";
    }
}
