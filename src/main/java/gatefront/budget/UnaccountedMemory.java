package gatefront.budget;

/**
 * Memory of the process that neither the heap nor the buffers account for: code, classes, stacks, and what leaks beside
 * them. What there was at the first look is the base; growth over a limit is said once, and again when it has doubled.
 *
 * <p>State: two figures.
 */
public final class UnaccountedMemory {
    private final long limit;
    private long base = -1;
    private long sayAt;

    /** Growth over so many bytes is said. */
    public UnaccountedMemory(long limit) {
        this.limit = limit;
        this.sayAt = limit;
    }

    /**
     * Looks at the process.
     *
     * @param resident bytes of memory in use by the process; below 0 if they cannot be had
     * @param heap bytes of heap that the process has taken
     * @param buffers bytes of buffers outside it
     * @return by how many bytes the rest has grown, if staff are to hear it now; else 0
     */
    public long seen(long resident, long heap, long buffers) {
        if (resident < 0) {
            return 0;
        }
        long rest = resident - heap - buffers;
        if (base < 0) {
            base = Math.max(0, rest);
        }
        long grown = rest - base;
        if (grown < sayAt) {
            return 0;
        }
        sayAt = 2 * grown;
        return grown;
    }
}
