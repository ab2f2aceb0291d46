package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/** What the fleet does to the nodos, reckoned by hand. */
class FleetLoadTest {
    private final FleetLoad crowd = new FleetLoad(3);

    private ObjectNode json() {
        ObjectNode into = JsonNodeFactory.instance.objectNode();
        crowd.json(into);
        return into;
    }

    @Test
    void eachPairMeetsOnceAndThoseOfHalfASecondComeAtOnce() {
        crowd.dialled(0, 0, 7);
        crowd.dialled(100_000, 1, 7);
        crowd.dialled(200_000, 1, 7);
        crowd.dialled(499_999, 0, 8);
        crowd.dialled(500_000, 2, 7); // the first has gone by then
        assertEquals(4, crowd.firstMeetings());
        assertEquals(2, json().get("agents_at_one_nodo_at_once").asInt());
        crowd.dialled(550_000, 0, 7);
        assertEquals(3, json().get("agents_at_one_nodo_at_once").asInt());
        assertEquals(6, json().get("connections").asInt());
    }

    @Test
    void connectionsThatCarryASecondRequestAreCountedOnce() {
        crowd.dialled(0, 0, 1);
        crowd.dialled(0, 1, 1);
        crowd.usedAgain();
        assertEquals(0.5, crowd.usedAgainPart());
    }

    @Test
    void aRefusalIsBesideRoomWhereAFifthStandsIdle() {
        crowd.refused(0.19);
        crowd.refused(0.2);
        crowd.refused(0.6);
        crowd.refused(0);
        assertEquals(0.5, crowd.besideRoomPart());
        assertEquals(0.2475, json().get("idle_at_refusals").asDouble());
    }

    @Test
    void ofColdNodosTheLastLookCountsAndWarmOnesDoNot() {
        crowd.cold(1, 0, 0);
        assertEquals(0, crowd.coldPart());
        crowd.cold(2, 10, 20);
        crowd.cold(2, 30, 40);
        crowd.cold(3, 10, 60);
        assertEquals(0.4, crowd.coldPart());
        assertEquals(
                "[0.1667,0.1667,0.1667,0.1667,0.75]",
                json().get("cold_sent_of_borne_quartiles").toString());
        assertEquals(2, json().get("cold_nodos").asInt());
    }

    @Test
    void anEmptyDayHasFigures() {
        assertEquals(0, crowd.usedAgainPart());
        assertEquals(0, crowd.besideRoomPart());
        assertEquals("[]", json().get("cold_sent_of_borne_quartiles").toString());
    }
}
