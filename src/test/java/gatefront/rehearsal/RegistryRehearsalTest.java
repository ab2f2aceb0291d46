package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.plan.PlanReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Agents that have their list from a registry which goes down, is silent and forgets: nothing new to what was drained
 * past the rule's time, and all is told within the stated time of the registry's return.
 */
class RegistryRehearsalTest {
    @ParameterizedTest
    @ValueSource(strings = {"etcd", "consul"})
    void drainsAreToldInTimeAndKept(String source) throws Exception {
        Plan plan = PlanReader.builtIn("registry").withSource(source).withSeconds(45);
        for (int seed = 5; seed < 9; seed++) { // with 5 the changes since are compacted while the registry is down
            RehearsalResult outcome = new Rehearsal(plan, seed).play();
            assertEquals(0, outcome.broken(), outcome.line() + " " + outcome.breaches());
            assertTrue(outcome.service() > 0.4, outcome.line());
        }
    }

    /** Here a silent connection is given up 2 ms before the registry writes to it, and the registry goes down then. */
    @Test
    void whatIsWrittenToAConnectionThatHasBeenGivenUpIsNotHeldAgainstTheAgent() throws Exception {
        RehearsalResult outcome = new Rehearsal(PlanReader.builtIn("registry"), 439).play();
        assertEquals(0, outcome.broken(), outcome.line() + " " + outcome.breaches());
    }

    @Test
    void theSameSeedGivesTheSameReport() throws Exception {
        Plan plan = PlanReader.builtIn("registry").withSeconds(15);
        assertEquals(
                new String(JsonReport.toBytes(new Rehearsal(plan, 3).play())),
                new String(JsonReport.toBytes(new Rehearsal(plan, 3).play())));
    }
}
