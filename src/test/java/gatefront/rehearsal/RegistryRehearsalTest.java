package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.plan.PlanReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Agents get their server list from a registry that goes down, is silent and compacts its history. They send nothing
 * new to a drained nodo after the rule's grace period, and they know all changes within the stated time after the
 * registry's return.
 */
class RegistryRehearsalTest {
    @ParameterizedTest
    @ValueSource(strings = {"etcd", "consul"})
    void drainsAreAnnouncedInTimeAndFollowed(String source) throws Exception {
        Plan plan = PlanReader.builtIn("registry").withSource(source).withSeconds(45);
        for (int seed = 5; seed < 9; seed++) { // with seed 5 the changes are compacted while the registry is down
            RehearsalResult result = new Rehearsal(plan, seed).run();
            assertEquals(0, result.breachCount(), result.summary() + " " + result.breaches());
            assertTrue(result.service() > 0.4, result.summary());
        }
    }

    /**
     * With this seed an agent gives up a silent connection 2 ms before the registry writes to it, and then the
     * registry goes down.
     */
    @Test
    void changesWrittenToAnAbandonedConnectionDoNotCountAsAnnounced() throws Exception {
        RehearsalResult result = new Rehearsal(PlanReader.builtIn("registry"), 439).run();
        assertEquals(0, result.breachCount(), result.summary() + " " + result.breaches());
    }

    @Test
    void sameSeedGivesTheSameReport() throws Exception {
        Plan plan = PlanReader.builtIn("registry").withSeconds(15);
        assertEquals(
                new String(JsonReport.toBytes(new Rehearsal(plan, 3).run())),
                new String(JsonReport.toBytes(new Rehearsal(plan, 3).run())));
    }
}
