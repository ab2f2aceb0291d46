package gatefront.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UnaccountedMemoryTest {
    private static final long MIB = 1 << 20;

    private final UnaccountedMemory unexplained = new UnaccountedMemory(32 * MIB);

    private long seen(long resident, long heap, long buffers) {
        return unexplained.observe(resident * MIB, heap * MIB, buffers * MIB) / MIB;
    }

    @Test
    void whatWasThereAtFirstAndWhatHeapAndBuffersTakeIsNoGrowth() {
        assertEquals(0, seen(100, 32, 8));
        assertEquals(0, seen(300, 200, 40));
        assertEquals(0, seen(131, 32, 8));
    }

    @Test
    void growthIsSaidOnceAndAgainWhenItHasDoubled() {
        seen(100, 32, 8);
        assertEquals(40, seen(140, 32, 8));
        assertEquals(0, seen(150, 32, 8));
        assertEquals(0, seen(179, 32, 8));
        assertEquals(80, seen(180, 32, 8));
    }

    @Test
    void whereTheSystemDoesNotTellNothingIsSaid() {
        assertEquals(0, unexplained.observe(-1, MIB, MIB));
        assertEquals(0, seen(200, 32, 8), "the base is the first figure that there is");
    }
}
