package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.plan.Fault;
import gatefront.rehearsal.plan.Fault.Kind;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.plan.PlanReader;
import gatefront.rehearsal.plan.PlanWriter;
import gatefront.toml.NumberRange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Each kind of fault alone, by what the agents or the nodos show of it; and the rules are kept under each. */
class FaultsTest {
    private static final int SECONDS = 20;

    private static NumberRange at(double figure) {
        return new NumberRange(figure, figure);
    }

    private static Fault fault(Kind kind, double at, double lasts, double size, String... names) {
        return new Fault(kind, at(at), at(lasts), 0, List.of(names), at(size), at(1));
    }

    private static RehearsalResult play(Fault... faults) throws Exception {
        Plan plan = PlanReader.builtIn("calm").withSeconds(SECONDS).withFaults(List.of(faults));
        RehearsalResult outcome = new Rehearsal(plan, 2).play();
        assertEquals(List.of(), outcome.breaches());
        return outcome;
    }

    private static void says(RehearsalResult outcome, double from, double until, String line) {
        assertTrue(said(outcome, from, until, line), line + " is not among " + outcome.log());
    }

    private static boolean said(RehearsalResult outcome, double from, double until, String line) {
        return outcome.log().stream()
                .anyMatch(each -> each.contains(line)
                        && Double.parseDouble(each.split(" ")[0]) >= from
                        && Double.parseDouble(each.split(" ")[0]) <= until);
    }

    /** What a nodo held a core on average in some seconds. */
    private static double held(RehearsalResult outcome, int nodo, int from, int until) {
        double sum = 0;
        for (int s = from; s < until; s++) {
            sum += outcome.record().load.get(nodo - 1)[s];
        }
        return sum / (until - from);
    }

    @Test
    void dyingNodosLeaveTheListAndComeBackCold() throws Exception {
        RehearsalResult outcome = play(fault(Kind.DIE, 5, 5, 1, "nodo-1", "nodo-2", "nodo-3"));
        assertEquals(-1, held(outcome, 1, 6, 9));
        says(outcome, 5, 9, "nodo-1 gone from the list");
        says(outcome, 10, 13, "nodo-2 cold: listed as just started");
    }

    private static int served(RehearsalResult outcome, int nodo, int from, int until) {
        return java.util.Arrays.stream(outcome.record().served.get(nodo - 1), from, until)
                .sum();
    }

    @Test
    void slowNodosAndThoseThatLoseProcessorServeLess() throws Exception {
        RehearsalResult slow = play(fault(Kind.SLOW, 5, 10, 4, "nodo-1"));
        assertTrue(served(slow, 1, 7, 12) < 0.6 * served(slow, 1, 0, 5), "slow");
        RehearsalResult taken = play(fault(Kind.TAKEN, 5, 10, 0.8, "nodo-1"));
        assertTrue(served(taken, 1, 5, 15) < 1.6 * served(taken, 1, 0, 5), "taken");
    }

    @Test
    void failingNodosAndThoseThatBreakOffAreRemovedForAWhile() throws Exception {
        RehearsalResult fail = play(fault(Kind.FAIL, 5, 10, 0.9, "nodo-1"));
        says(fail, 5, 15, "nodo-1 passive Unhealthy");
        assertFalse(said(fail, 0, 5, "nodo-1 passive Unhealthy"));
        says(play(fault(Kind.BREAK_OFF, 5, 10, 0.9, "nodo-1")), 5, 15, "nodo-1 passive Unhealthy");
    }

    @Test
    void drainsAreHeardOfAndTakenBack() throws Exception {
        RehearsalResult outcome = play(fault(Kind.DRAIN, 5, 5, 1, "nodo-4"));
        says(outcome, 5, 8, "nodo-4 draining: nothing new is sent");
        says(outcome, 10, 13, "nodo-4 ready");
        assertEquals(0, held(outcome, 4, 9, 10), "and nothing new went there");
    }

    @Test
    void aNodoThatLeavesIsToldToDrainAndThenGone() throws Exception {
        RehearsalResult outcome = play(fault(Kind.LEAVE, 5, 4, 1, "nodo-4"));
        says(outcome, 5, 8, "nodo-4 draining: nothing new is sent");
        says(outcome, 9, 12, "nodo-4 gone from the list");
        assertEquals(-1, held(outcome, 4, 15, 18));
    }

    @Test
    void aMachineThatVanishesFailsItsProbes() throws Exception {
        RehearsalResult outcome = play(fault(Kind.VANISH, 5, 8, 1, "nodo-4"));
        says(outcome, 5, 13, "nodo-4 active Unhealthy: 2 probes failed");
        says(outcome, 13, 16, "nodo-4 cold: listed as just started");
    }

    @Test
    void aMachineThatIsCutOffFailsItsProbesAndAnswersAgain() throws Exception {
        RehearsalResult outcome = play(fault(Kind.CUT_OFF, 5, 6, 1, "nodo-4"));
        says(outcome, 5, 11, "nodo-4 active Unhealthy: 2 probes failed");
        says(outcome, 11, 15, "nodo-4 active Healthy: probe answered");
    }

    @Test
    void aReplacementIsAnotherNodoAtTheSameAddress() throws Exception {
        RehearsalResult outcome = play(fault(Kind.REPLACE, 5, 1, 1, "nodo-4"));
        says(outcome, 5, 9, "nodo-4 gone from the list");
        says(outcome, 5, 9, "nodo-15 cold: listed as just started");
        assertEquals(-1, held(outcome, 4, 10, 15));
        assertTrue(held(outcome, 15, 10, 18) > 0, "and it is used");
    }

    /** Those of one sala, and one after the other. */
    @Test
    void aSalaIsReplacedOneNodoAfterTheOther() throws Exception {
        RehearsalResult outcome = play(new Fault(Kind.REPLACE, at(4), at(1), 1, List.of(), at(1), at(1), 1, at(8)));
        int sala = 7; // of 14 nodos in two salas: those with even numbers
        for (int nodo = 1; nodo <= 2 * sala; nodo++) {
            assertEquals(nodo % 2 == 0, held(outcome, nodo, 14, 18) < 0, "nodo-" + nodo);
        }
        assertEquals(3 * sala, outcome.record().nodoNames.size());
        long early = outcome.cast().nodos().size() + starts(outcome, 8);
        assertTrue(early < 3 * sala && early > 2 * sala, early + " started by the middle of the time");
    }

    /** How many nodos beyond the first ones have run by this second. */
    private static long starts(RehearsalResult outcome, int second) {
        return java.util.stream.IntStream.range(14, outcome.record().load.size())
                .filter(i -> outcome.record().load.get(i)[second] >= 0)
                .count();
    }

    @Test
    void aJumpBringsMoreTries() throws Exception {
        RehearsalResult outcome = play(fault(Kind.JUMP, 5, 5, 2));
        int before = 0;
        int during = 0;
        for (int s = 0; s < 5; s++) {
            before += outcome.record().tries[s];
            during += outcome.record().tries[s + 5];
        }
        assertTrue(during > 1.6 * before, during + " after " + before);
    }

    @Test
    void aSilentPadronIsAskedAgainAndItsNewsComeLater() throws Exception {
        RehearsalResult outcome = play(fault(Kind.PADRON_SILENT, 3, 10, 1), fault(Kind.LEAVE, 5, 2, 1, "nodo-4"));
        says(outcome, 5, 13, "discovery: no answer");
        assertFalse(said(outcome, 5, 13, "nodo-4 draining"));
        says(outcome, 13, 16, "nodo-4 gone from the list");
    }

    @Test
    void killedAndRestartedAgentsListenAgain() throws Exception {
        RehearsalResult killed = play(fault(Kind.AGENT_KILL, 5, 3, 1, "agent-1", "agent-2"));
        says(killed, 7.9, 8.2, "agent-1 listening on");
        assertTrue(killed.record().counts[0][RunRecorder.Fate.UNANSWERED.ordinal()] > 0, "nobody answered meanwhile");
        RehearsalResult restarted = play(fault(Kind.AGENT_RESTART, 5, 3, 1, "agent-1", "agent-2"));
        says(restarted, 5.5, 9, "agent-1 listening on");
        says(restarted, 8.5, 12, "agent-2 listening on");
    }

    @Test
    void aReloadMovesEveryAgentToThePadronsNewAddress() throws Exception {
        RehearsalResult outcome = play(
                fault(Kind.AGENT_RELOAD, 5, 1, 1, "agent-1", "agent-2", "agent-3", "agent-4", "agent-5"),
                fault(Kind.LEAVE, 10, 3, 1, "nodo-4"));
        for (int i = 1; i <= 5; i++) {
            says(outcome, 10, 13, "agent-" + i + " server nodo-4 draining: nothing new is sent");
        }
    }

    /** The hard case: what is in flight when a quarter dies is tried again, and the quarter comes back cold. */
    @Test
    void overlappingFaultsInTheMiddleOfRetriesKeepTheRules() throws Exception {
        RehearsalResult outcome = play(
                fault(Kind.FAIL, 4, 10, 0.5, "nodo-5", "nodo-6", "nodo-7"),
                fault(Kind.DIE, 6, 4, 1, "nodo-1", "nodo-2", "nodo-3"),
                fault(Kind.JUMP, 5, 6, 1.8),
                fault(Kind.DRAIN, 7, 4, 1, "nodo-8"),
                fault(Kind.CUT_OFF, 8, 3, 1, "nodo-9"),
                fault(Kind.AGENT_KILL, 8, 2, 1, "agent-3"),
                fault(Kind.AGENT_RESTART, 7, 2, 1, "agent-1"));
        int attempts = 0;
        int tries = 0;
        for (int s = 4; s < 10; s++) {
            attempts += outcome.record().attempts[s];
            tries += outcome.record().tries[s];
        }
        assertTrue(attempts > 0.3 * tries, "they were in the middle of it");
        assertTrue(outcome.service() < 0.99, outcome.line());
    }

    /**
     * Nodos close what is idle, at times while a request is on its way to them: it is sent again and nothing is
     * lost.
     */
    @Test
    void idleConnectionsThatNodosCloseCostNothing() throws Exception {
        String text = PlanWriter.text(PlanReader.builtIn("calm").withSeconds(SECONDS))
                .replaceAll("idle_s = .*", "idle_s = 0.2");
        RehearsalResult outcome = new Rehearsal(PlanReader.parse("idle", text), 2).play();
        assertEquals(List.of(), outcome.breaches());
        assertTrue(outcome.record().closedIdle > 50, outcome.record().closedIdle + " closed");
        assertTrue(outcome.service() > 0.95, outcome.line());
        assertEquals(0, play().record().closedIdle, "with the usual minute none is closed on so short a day");
    }

    /**
     * The hard case: nodos die with keyed requests whole in their hands, which may have run. What is tried again stays
     * in the sala that drops repeats, and in its window.
     */
    @Test
    void whatADeadNodoHeldWholeIsTriedAgainInItsSalaAndWindowOnly() throws Exception {
        List<String> wrong = new ArrayList<>();
        int[] again = new int[2];
        int[] seen = new int[1];
        List<Fault> waves = new ArrayList<>(List.of(fault(Kind.JUMP, 2, 16, 1.6)));
        for (int i = 0; i < 12; i++) {
            int first = 1 + 4 * (i % 3);
            waves.add(fault(
                    Kind.DIE,
                    3 + i,
                    1,
                    1,
                    "nodo-" + first,
                    "nodo-" + (first + 1),
                    "nodo-" + (first + 2),
                    "nodo-" + (first + 3)));
        }
        Plan plan = PlanReader.builtIn("calm").withSeconds(SECONDS).withFaults(waves);
        int keyed =
                plan.classes().stream().map(Plan.RequestClass::name).toList().indexOf("pago-recibo");
        long window = (long) (1000 * plan.classes().get(keyed).windowMs());
        RehearsalResult outcome = new Rehearsal(plan, 2, agent -> new FaultyAgentTest.Faulty(agent) {
                    private final Map<Long, Integer> zones = new HashMap<>();
                    private final Map<Long, Long> lost = new HashMap<>();
                    private final Map<Long, Integer> lostIn = new HashMap<>();
                    private final Set<Long> payments = new HashSet<>();

                    @Override
                    public void servers(long now, ListKind kind, List<Server> entries) {
                        entries.forEach(each -> zones.put(each.id(), each.zone()));
                        super.servers(now, kind, entries);
                    }

                    @Override
                    public void request(long now, Request request) {
                        if (request.requestClass() == keyed) {
                            payments.add(request.id());
                        }
                        super.request(now, request);
                    }

                    @Override
                    public void outcome(
                            long now,
                            long request,
                            int attempt,
                            long server,
                            Outcome how,
                            long spent,
                            boolean closed,
                            double[] load) {
                        Long since = lost.get(request);
                        if (since != null) {
                            again[how == Outcome.OK ? 0 : 1]++;
                            if (!zones.get(server).equals(lostIn.get(request)) || now - spent > since + window) {
                                wrong.add(request + " at " + server);
                            }
                        } else if (how == Outcome.RESET && payments.contains(request)) {
                            seen[0]++;
                            lost.put(request, now - spent);
                            lostIn.put(request, zones.get(server));
                        }
                        super.outcome(now, request, attempt, server, how, spent, closed, load);
                    }
                })
                .play();
        assertEquals(List.of(), outcome.breaches());
        assertEquals(List.of(), wrong);
        assertTrue(
                again[0] > 3,
                again[0] + " payments were served by the attempt after, " + again[1] + " not, lost " + seen[0]);
    }
}
