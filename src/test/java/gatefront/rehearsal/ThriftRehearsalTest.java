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

/** Runs whole plans over Thrift between clients, agents and nodos, with the same rules as over HTTP. */
class ThriftRehearsalTest {
    /** The built-in rush with the same seed: the protocol costs nothing that a client would notice. */
    @ParameterizedTest
    @ValueSource(strings = {"framed-binary", "framed-compact", "unframed-binary", "unframed-compact"})
    void rushOverThriftIsServedAsOverHttp(String protocol) throws Exception {
        Plan plan = PlanReader.builtIn("cashier-rush").withSeconds(30);
        RehearsalResult http = new Rehearsal(plan, 1).run();
        RehearsalResult thrift = new Rehearsal(plan.withProtocol(protocol), 1).run();
        assertTrue(thrift.breaches().isEmpty(), () -> thrift.breaches().get(0).toString());
        assertEquals(http.service(), thrift.service(), 0.04, thrift.summary());
    }

    @Test
    void roughPlanOverThriftKeepsTheRulesAndIsReproducible() throws Exception {
        Plan plan = PlanReader.builtIn("rough").withProtocol("framed-compact");
        for (int seed = 1; seed <= 6; seed++) {
            RehearsalResult result = new Rehearsal(plan, seed).run();
            assertTrue(
                    result.breaches().isEmpty(), () -> result.breaches().get(0).toString());
        }
        assertArrayEquals(
                JsonReport.toBytes(new Rehearsal(plan, 3).run()), JsonReport.toBytes(new Rehearsal(plan, 3).run()));
        Plan reread = PlanReader.parse("again", PlanWriter.text(plan));
        assertEquals("framed-compact", reread.network().protocol());
    }
}
