package gatefront.status;

import io.netty.buffer.PooledByteBufAllocator;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Memory and file descriptors of the whole process, for comparison with the resource accounts. The management beans
 * report the same but take 2 MB to load; the files under /proc are read in a few microseconds, and only on demand.
 *
 * @param heapUsed heap in use, including garbage, in bytes
 * @param heapCommitted heap committed by the JVM, in bytes
 * @param heapMax maximum heap, in bytes
 * @param buffers buffers outside the heap according to the allocator, in bytes
 * @param resident resident memory in bytes; -1 if unknown
 * @param descriptors open file descriptors; -1 if unknown
 */
public record ProcessMetrics(
        long heapUsed, long heapCommitted, long heapMax, long buffers, long resident, long descriptors) {
    private static final Path MEMORY = Path.of("/proc/self/statm");
    private static final Path DESCRIPTORS = Path.of("/proc/self/fd");
    /** Bytes of a memory page. */
    private static final long PAGE_BYTES = 4_096;

    /** Reads the current values. */
    public static ProcessMetrics now() {
        Runtime jvm = Runtime.getRuntime();
        return new ProcessMetrics(
                jvm.totalMemory() - jvm.freeMemory(),
                jvm.totalMemory(),
                jvm.maxMemory(),
                PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory(),
                residentNow(),
                descriptorsNow());
    }

    private static long residentNow() {
        try {
            return PAGE_BYTES * Long.parseLong(Files.readString(MEMORY).split(" ")[1]);
        } catch (IOException | RuntimeException e) {
            return -1;
        }
    }

    private static long descriptorsNow() {
        long count = -1; // does not count the descriptor of the directory being read
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(DESCRIPTORS)) {
            for (Path entry : entries) {
                count++;
            }
            return count;
        } catch (IOException | RuntimeException e) {
            return -1;
        }
    }
}
