package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/** Checks the figures of the fleet's load against figures computed by hand. */
class FleetLoadTest {
    private final FleetLoad fleetLoad = new FleetLoad(3);

    private ObjectNode json() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        fleetLoad.writeTo(node);
        return node;
    }

    @Test
    void pairsCountOnceAndConnectionsWithinHalfASecondAreSimultaneous() {
        fleetLoad.connectionUsed(0, 0, 7);
        fleetLoad.connectionUsed(100_000, 1, 7);
        fleetLoad.connectionUsed(200_000, 1, 7);
        fleetLoad.connectionUsed(499_999, 0, 8);
        fleetLoad.connectionUsed(500_000, 2, 7); // the first connection is outside the interval by then
        assertEquals(4, fleetLoad.firstMeetings());
        assertEquals(2, json().get("agents_at_one_nodo_at_once").asInt());
        fleetLoad.connectionUsed(550_000, 0, 7);
        assertEquals(3, json().get("agents_at_one_nodo_at_once").asInt());
        assertEquals(6, json().get("connections").asInt());
    }

    @Test
    void reusedConnectionsAreCountedOnce() {
        fleetLoad.connectionUsed(0, 0, 1);
        fleetLoad.connectionUsed(0, 1, 1);
        fleetLoad.connectionReused();
        assertEquals(0.5, fleetLoad.reusedConnectionShare());
    }

    @Test
    void refusalCountsAsMadeWithIdleCapacityIfAFifthIsIdle() {
        fleetLoad.requestRefused(0.19);
        fleetLoad.requestRefused(0.2);
        fleetLoad.requestRefused(0.6);
        fleetLoad.requestRefused(0);
        assertEquals(0.5, fleetLoad.refusalsWithIdleCapacityShare());
        assertEquals(0.2475, json().get("idle_at_refusals").asDouble());
    }

    @Test
    void latestObservationOfAColdNodoCountsAndWarmNodosDoNot() {
        fleetLoad.coldNodoObserved(1, 0, 0);
        assertEquals(0, fleetLoad.coldCapacityUsed());
        fleetLoad.coldNodoObserved(2, 10, 20);
        fleetLoad.coldNodoObserved(2, 30, 40);
        fleetLoad.coldNodoObserved(3, 10, 60);
        assertEquals(0.4, fleetLoad.coldCapacityUsed());
        assertEquals(
                "[0.1667,0.1667,0.1667,0.1667,0.75]",
                json().get("cold_sent_of_borne_quartiles").toString());
        assertEquals(2, json().get("cold_nodos").asInt());
    }

    @Test
    void emptyRunHasFigures() {
        assertEquals(0, fleetLoad.reusedConnectionShare());
        assertEquals(0, fleetLoad.refusalsWithIdleCapacityShare());
        assertEquals("[]", json().get("cold_sent_of_borne_quartiles").toString());
    }
}
