package gatefront.status;

import io.netty.buffer.PooledByteBufAllocator;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the process takes as a whole, to be held against what the accounts say. The management beans would tell the same
 * and take 2 MB to load; the kernel's files are read in some microseconds, and only where somebody asks.
 *
 * @param heapUsed bytes, garbage with it
 * @param heapCommitted bytes that the process has of the system for it
 * @param heapMax bytes
 * @param buffers bytes of buffers outside the heap, as the allocator has them
 * @param resident bytes of memory in use; -1 where the system does not tell
 * @param descriptors open ones; -1 where the system does not tell
 */
public record ProcessMetrics(
        long heapUsed, long heapCommitted, long heapMax, long buffers, long resident, long descriptors) {
    private static final Path MEMORY = Path.of("/proc/self/statm");
    private static final Path DESCRIPTORS = Path.of("/proc/self/fd");
    private static final long PAGE = 4_096;

    /** As they are now. */
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
            return PAGE * Long.parseLong(Files.readString(MEMORY).split(" ")[1]);
        } catch (IOException | RuntimeException e) {
            return -1;
        }
    }

    private static long descriptorsNow() {
        long count = -1; // that of the folder itself
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
