package gatefront.budget;

/**
 * Tracks memory of the process that is neither heap nor buffers: code, classes, stacks, and native leaks. The first
 * observation is the baseline; growth above a threshold is reported once, and again each time it has doubled.
 *
 * <p>State: the baseline and the next value to report.
 */
public final class UnaccountedMemory {
    private final long thresholdBytes;
    private long baselineBytes = -1;
    private long nextReportBytes;

    /** Creates a tracker that reports growth of at least the given number of bytes. */
    public UnaccountedMemory(long thresholdBytes) {
        this.thresholdBytes = thresholdBytes;
        this.nextReportBytes = thresholdBytes;
    }

    /**
     * Records the memory of the process.
     *
     * @param resident the resident memory of the process in bytes; negative if unavailable
     * @param heap the committed heap in bytes
     * @param buffers the bytes of buffers outside the heap
     * @return by how many bytes the remainder has grown, if that is due to be reported to operators; 0 otherwise
     */
    public long observe(long resident, long heap, long buffers) {
        if (resident < 0) {
            return 0;
        }
        long unaccountedBytes = resident - heap - buffers;
        if (baselineBytes < 0) {
            baselineBytes = Math.max(0, unaccountedBytes);
        }
        long growth = unaccountedBytes - baselineBytes;
        if (growth < nextReportBytes) {
            return 0;
        }
        nextReportBytes = 2 * growth;
        return growth;
    }
}
