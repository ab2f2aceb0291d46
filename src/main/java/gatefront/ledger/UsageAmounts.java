package gatefront.ledger;

/**
 * The amounts of an entry or a total. They are integers, so that sums are exact in any order, and may be negative in
 * corrections.
 *
 * @param requests the number of requests served
 * @param worth the worth of those requests, in millionths
 * @param work the work of the servers, in microseconds
 * @param bytes the size of requests and responses, in bytes
 */
public record UsageAmounts(long requests, long worth, long work, long bytes) {
    /** All amounts zero. */
    public static final UsageAmounts ZERO = new UsageAmounts(0, 0, 0, 0);

    /**
     * Returns the sum of both.
     *
     * @throws ArithmeticException if an amount overflows, which only wrong entries can cause
     */
    public UsageAmounts plus(UsageAmounts other) {
        return new UsageAmounts(
                Math.addExact(requests, other.requests),
                Math.addExact(worth, other.worth),
                Math.addExact(work, other.work),
                Math.addExact(bytes, other.bytes));
    }

    /** Returns the amounts that cancel these. */
    public UsageAmounts negated() {
        return new UsageAmounts(
                Math.negateExact(requests), Math.negateExact(worth), Math.negateExact(work), Math.negateExact(bytes));
    }

    /** Returns whether all amounts are zero. */
    public boolean isZero() {
        return equals(ZERO);
    }

    /** Returns the text that digests include. It must not change: digests are compared with those of other versions. */
    @Override
    public String toString() {
        return "Amounts[requests=" + requests + ", worth=" + worth + ", work=" + work + ", bytes=" + bytes + "]";
    }
}
