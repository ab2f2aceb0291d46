package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The caps that hold where no file sets others. */
class DefaultCapsTest {
    /** Guards against purposes that may fill the memory together; unread responses may take twice their cap. */
    @Test
    void allPurposesThatHoldBytesFitInTheMemoryTogether() {
        long memory = 32 << 20;
        Map<ResourcePurpose, ResourceBudget.Cap> caps = DefaultCaps.of(memory, 492);
        long sum = 0;
        for (ResourcePurpose purpose : ResourcePurpose.values()) {
            if (purpose.limitsBytes()) {
                long bytes = caps.containsKey(purpose) ? caps.get(purpose).bytes() : -1;
                assertTrue(bytes > 0, purpose.label() + " has no cap on its bytes");
                sum += purpose == ResourcePurpose.ANSWERS ? 2 * bytes : bytes;
            }
        }
        assertTrue(sum < memory, sum + " bytes of " + memory);
    }
}
