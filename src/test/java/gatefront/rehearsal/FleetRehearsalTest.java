package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.plan.PlanReader;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** 14 agents and 60 nodos: the three troubles of a large fleet, each with bounds that the code before them broke. */
class FleetRehearsalTest {
    private static RehearsalResult play(String plan, double seconds) throws Exception {
        RehearsalResult outcome = new Rehearsal(PlanReader.builtIn(plan).withSeconds(seconds), 3).play();
        assertEquals(0, outcome.broken(), () -> outcome.breaches().toString());
        return outcome;
    }

    private static int served(RehearsalResult outcome, int firstNodo, int step, int from, int until) {
        int sum = 0;
        for (int i = firstNodo; i < outcome.record().served.size(); i += step) {
            sum += Arrays.stream(outcome.record().served.get(i), from, until).sum();
        }
        return sum;
    }

    @Test
    void aSalaThatComesBackColdIsUsedFromItsFirstSeconds() throws Exception {
        RehearsalResult outcome = play("fleet-zone", 22);
        int back = served(outcome, 1, 2, 14, 20); // the nodos with even numbers stand in sala-norte
        assertTrue(back > 350, "served there " + back + "; 94 before");
    }

    @Test
    void newNodosAreUsedFromTheirFirstSeconds() throws Exception {
        RehearsalResult outcome = play("fleet-join", 22);
        int fresh = served(outcome, 60, 1, 8, 18);
        assertTrue(fresh > 1_150, "served there " + fresh + "; 884 before");
    }

    /**
     * 100 agents, each with few requests. Failed before: cold nodos were sent half of what they bear, for an agent's
     * part of each was that of a fleet it never draws from, and callers in a hurry were refused as if they were late:
     * 0.51 and 0.94 in the day's 25 s, 0.73 and 0.42 now.
     */
    @Test
    void aHundredAgentsTogetherUseNewNodosAndRefuseLittleBesideRoom() throws Exception {
        FleetLoad crowd = play("mass-join", 18).record().crowd;
        assertTrue(crowd.coldPart() > 0.6, "cold nodos were sent " + crowd.coldPart() + " of what they could do");
        assertTrue(crowd.besideRoomPart() < 0.7, "refused beside room: " + crowd.besideRoomPart());
        // 3,257 with twice as many nodos to draw from: each agent then knew a nodo half as well.
        assertTrue(crowd.firstMeetings() < 2_800, crowd.firstMeetings() + " first meetings");
    }

    @Test
    void agentsKilledTogetherAreBackThoughThePadronIsOverbooked() throws Exception {
        RehearsalResult outcome = play("fleet-herd", 20);
        int turnedAway = Arrays.stream(outcome.record().listTurnedAway).sum();
        int calls = Arrays.stream(outcome.record().listCalls).sum();
        assertTrue(turnedAway > 0, "the padrón is overbooked");
        assertTrue(calls < 650, calls + " calls for the list; 759 before");
        assertTrue(outcome.service() > 0.85, "service " + outcome.service());
    }
}
