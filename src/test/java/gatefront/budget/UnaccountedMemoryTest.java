package gatefront.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the growth of memory outside heap and buffers. */
class UnaccountedMemoryTest {
    private static final long MIB = 1 << 20;

    private final UnaccountedMemory memory = new UnaccountedMemory(32 * MIB);

    private long observe(long resident, long heap, long buffers) {
        return memory.observe(resident * MIB, heap * MIB, buffers * MIB) / MIB;
    }

    @Test
    void baselineHeapAndBuffersAreNotCountedAsGrowth() {
        assertEquals(0, observe(100, 32, 8));
        assertEquals(0, observe(300, 200, 40));
        assertEquals(0, observe(131, 32, 8));
    }

    @Test
    void growthIsReportedOnceAndAgainWhenDoubled() {
        observe(100, 32, 8);
        assertEquals(40, observe(140, 32, 8));
        assertEquals(0, observe(150, 32, 8));
        assertEquals(0, observe(179, 32, 8));
        assertEquals(80, observe(180, 32, 8));
    }

    @Test
    void unavailableResidentMemoryIsNotReported() {
        assertEquals(0, memory.observe(-1, MIB, MIB));
        assertEquals(0, observe(200, 32, 8), "the first available value is the baseline");
    }
}
