package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.plan.PlanReader;
import gatefront.rehearsal.plan.PlanWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole days over Thrift: callers, agents and nodos speak it, and the rules are those of HTTP. */
class ThriftRehearsalTest {
    /** The built-in rush with the same seed: the protocol costs nothing that a caller would notice. */
    @ParameterizedTest
    @ValueSource(strings = {"framed-binary", "framed-compact", "unframed-binary", "unframed-compact"})
    void theRushOverThriftIsServedAsOverHttp(String protocol) throws Exception {
        Plan plan = PlanReader.builtIn("cashier-rush").withSeconds(30);
        RehearsalResult http = new Rehearsal(plan, 1).play();
        RehearsalResult thrift = new Rehearsal(plan.withProtocol(protocol), 1).play();
        assertTrue(thrift.breaches().isEmpty(), () -> thrift.breaches().get(0).toString());
        assertEquals(http.service(), thrift.service(), 0.04, thrift.line());
    }

    @Test
    void roughDaysOverThriftKeepTheRulesAndRepeatExactly() throws Exception {
        Plan plan = PlanReader.builtIn("rough").withProtocol("framed-compact");
        for (int seed = 1; seed <= 6; seed++) {
            RehearsalResult outcome = new Rehearsal(plan, seed).play();
            assertTrue(
                    outcome.breaches().isEmpty(),
                    () -> outcome.breaches().get(0).toString());
        }
        assertArrayEquals(
                JsonReport.toBytes(new Rehearsal(plan, 3).play()), JsonReport.toBytes(new Rehearsal(plan, 3).play()));
        Plan again = PlanReader.parse("again", PlanWriter.text(plan));
        assertEquals("framed-compact", again.network().protocol());
    }
}
