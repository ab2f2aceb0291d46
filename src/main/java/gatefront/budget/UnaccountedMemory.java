package gatefront.budget;

/**
 * Memory of the process that neither the heap nor the buffers account for: code, classes, stacks, and what leaks beside
 * them. What there was at the first look is the base; growth over a limit is said once, and again when it has doubled.
 *
 * <p>State: two figures.
 */
public final class UnaccountedMemory {
    private final long thresholdBytes;
    private long baselineBytes = -1;
    private long nextReportBytes;

    /** Growth over so many bytes is said. */
    public UnaccountedMemory(long limit) {
        this.thresholdBytes = limit;
        this.nextReportBytes = limit;
    }

    /**
     * Looks at the process.
     *
     * @param resident bytes of memory in use by the process; below 0 if they cannot be had
     * @param heap bytes of heap that the process has taken
     * @param buffers bytes of buffers outside it
     * @return by how many bytes the rest has grown, if staff are to hear it now; else 0
     */
    public long observe(long resident, long heap, long buffers) {
        if (resident < 0) {
            return 0;
        }
        long rest = resident - heap - buffers;
        if (baselineBytes < 0) {
            baselineBytes = Math.max(0, rest);
        }
        long grown = rest - baselineBytes;
        if (grown < nextReportBytes) {
            return 0;
        }
        nextReportBytes = 2 * grown;
        return grown;
    }
}
