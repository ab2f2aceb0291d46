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

/** Runs each kind of fault alone and checks its effect on agents or nodos; no rule may be broken. */
class FaultsTest {
    private static final int SECONDS = 20;

    private static NumberRange exactly(double value) {
        return new NumberRange(value, value);
    }

    private static Fault fault(Kind kind, double atSeconds, double durationSeconds, double size, String... names) {
        return new Fault(
                kind, exactly(atSeconds), exactly(durationSeconds), 0, List.of(names), exactly(size), exactly(1));
    }

    private static RehearsalResult run(Fault... faults) throws Exception {
        Plan plan = PlanReader.builtIn("calm").withSeconds(SECONDS).withFaults(List.of(faults));
        RehearsalResult result = new Rehearsal(plan, 2).run();
        assertEquals(List.of(), result.breaches());
        return result;
    }

    private static void assertLogged(RehearsalResult result, double from, double until, String line) {
        assertTrue(isLogged(result, from, until, line), line + " is not among " + result.log());
    }

    private static boolean isLogged(RehearsalResult result, double from, double until, String line) {
        return result.log().stream()
                .anyMatch(logLine -> logLine.contains(line)
                        && Double.parseDouble(logLine.split(" ")[0]) >= from
                        && Double.parseDouble(logLine.split(" ")[0]) <= until);
    }

    /** Returns the mean number of requests held per core of a nodo between two seconds. */
    private static double meanLoad(RehearsalResult result, int nodo, int from, int until) {
        double sum = 0;
        for (int s = from; s < until; s++) {
            sum += result.recorder().loadByNodo.get(nodo - 1)[s];
        }
        return sum / (until - from);
    }

    @Test
    void killedNodosLeaveTheListAndReturnCold() throws Exception {
        RehearsalResult result = run(fault(Kind.DIE, 5, 5, 1, "nodo-1", "nodo-2", "nodo-3"));
        assertEquals(-1, meanLoad(result, 1, 6, 9));
        assertLogged(result, 5, 9, "nodo-1 gone from the list");
        assertLogged(result, 10, 13, "nodo-2 cold: listed as just started");
    }

    private static int served(RehearsalResult result, int nodo, int from, int until) {
        return java.util.Arrays.stream(result.recorder().servedByNodo.get(nodo - 1), from, until)
                .sum();
    }

    @Test
    void slowNodosAndNodosThatLoseCpuServeLess() throws Exception {
        RehearsalResult slow = run(fault(Kind.SLOW, 5, 10, 4, "nodo-1"));
        assertTrue(served(slow, 1, 7, 12) < 0.6 * served(slow, 1, 0, 5), "slow");
        RehearsalResult sharing = run(fault(Kind.TAKEN, 5, 10, 0.8, "nodo-1"));
        assertTrue(served(sharing, 1, 5, 15) < 1.6 * served(sharing, 1, 0, 5), "taken");
    }

    @Test
    void nodosThatFailOrBreakOffResponsesAreEjected() throws Exception {
        RehearsalResult failing = run(fault(Kind.FAIL, 5, 10, 0.9, "nodo-1"));
        assertLogged(failing, 5, 15, "nodo-1 passive Unhealthy");
        assertFalse(isLogged(failing, 0, 5, "nodo-1 passive Unhealthy"));
        assertLogged(run(fault(Kind.BREAK_OFF, 5, 10, 0.9, "nodo-1")), 5, 15, "nodo-1 passive Unhealthy");
    }

    @Test
    void drainsAreFollowedAndEnded() throws Exception {
        RehearsalResult result = run(fault(Kind.DRAIN, 5, 5, 1, "nodo-4"));
        assertLogged(result, 5, 8, "nodo-4 draining: nothing new is sent");
        assertLogged(result, 10, 13, "nodo-4 ready");
        assertEquals(0, meanLoad(result, 4, 9, 10), "nothing new is sent to a draining nodo");
    }

    @Test
    void leavingNodoDrainsAndIsThenRemoved() throws Exception {
        RehearsalResult result = run(fault(Kind.LEAVE, 5, 4, 1, "nodo-4"));
        assertLogged(result, 5, 8, "nodo-4 draining: nothing new is sent");
        assertLogged(result, 9, 12, "nodo-4 gone from the list");
        assertEquals(-1, meanLoad(result, 4, 15, 18));
    }

    @Test
    void vanishedMachineFailsItsProbes() throws Exception {
        RehearsalResult result = run(fault(Kind.VANISH, 5, 8, 1, "nodo-4"));
        assertLogged(result, 5, 13, "nodo-4 active Unhealthy: 2 probes failed");
        assertLogged(result, 13, 16, "nodo-4 cold: listed as just started");
    }

    @Test
    void isolatedMachineFailsItsProbesAndRecovers() throws Exception {
        RehearsalResult result = run(fault(Kind.CUT_OFF, 5, 6, 1, "nodo-4"));
        assertLogged(result, 5, 11, "nodo-4 active Unhealthy: 2 probes failed");
        assertLogged(result, 11, 15, "nodo-4 active Healthy: probe answered");
    }

    @Test
    void replacementIsANewNodoAtTheSameAddress() throws Exception {
        RehearsalResult result = run(fault(Kind.REPLACE, 5, 1, 1, "nodo-4"));
        assertLogged(result, 5, 9, "nodo-4 gone from the list");
        assertLogged(result, 5, 9, "nodo-15 cold: listed as just started");
        assertEquals(-1, meanLoad(result, 4, 10, 15));
        assertTrue(meanLoad(result, 15, 10, 18) > 0, "the replacement is used");
    }

    /** Replaces the nodos of one sala one at a time. */
    @Test
    void salaIsReplacedOneNodoAtATime() throws Exception {
        RehearsalResult result = run(
                new Fault(Kind.REPLACE, exactly(4), exactly(1), 1, List.of(), exactly(1), exactly(1), 1, exactly(8)));
        int nodosPerSala = 7; // of 14 nodos in two salas: those with even numbers
        for (int nodo = 1; nodo <= 2 * nodosPerSala; nodo++) {
            assertEquals(nodo % 2 == 0, meanLoad(result, nodo, 14, 18) < 0, "nodo-" + nodo);
        }
        assertEquals(3 * nodosPerSala, result.recorder().nodoNames.size());
        long startedEarly = result.resolvedPlan().nodos().size() + runningReplacements(result, 8);
        assertTrue(
                startedEarly < 3 * nodosPerSala && startedEarly > 2 * nodosPerSala,
                startedEarly + " nodos started by the middle of the rollout");
    }

    /** Returns the number of nodos added to the initial ones that run in a second. */
    private static long runningReplacements(RehearsalResult result, int second) {
        return java.util.stream.IntStream.range(14, result.recorder().loadByNodo.size())
                .filter(i -> result.recorder().loadByNodo.get(i)[second] >= 0)
                .count();
    }

    @Test
    void jumpInDemandCausesMoreTries() throws Exception {
        RehearsalResult result = run(fault(Kind.JUMP, 5, 5, 2));
        int before = 0;
        int during = 0;
        for (int s = 0; s < 5; s++) {
            before += result.recorder().tries[s];
            during += result.recorder().tries[s + 5];
        }
        assertTrue(during > 1.6 * before, during + " after " + before);
    }

    @Test
    void changesWhileThePadronIsSilentArriveLater() throws Exception {
        RehearsalResult result = run(fault(Kind.PADRON_SILENT, 3, 10, 1), fault(Kind.LEAVE, 5, 2, 1, "nodo-4"));
        assertLogged(result, 5, 13, "discovery: no answer");
        assertFalse(isLogged(result, 5, 13, "nodo-4 draining"));
        assertLogged(result, 13, 16, "nodo-4 gone from the list");
    }

    @Test
    void killedAndRestartedAgentsListenAgain() throws Exception {
        RehearsalResult killed = run(fault(Kind.AGENT_KILL, 5, 3, 1, "agent-1", "agent-2"));
        assertLogged(killed, 7.9, 8.2, "agent-1 listening on");
        assertTrue(
                killed.recorder().operationCounts[0][RunRecorder.Outcome.UNANSWERED.ordinal()] > 0,
                "requests to a killed agent are unanswered");
        RehearsalResult restarted = run(fault(Kind.AGENT_RESTART, 5, 3, 1, "agent-1", "agent-2"));
        assertLogged(restarted, 5.5, 9, "agent-1 listening on");
        assertLogged(restarted, 8.5, 12, "agent-2 listening on");
    }

    @Test
    void reloadMovesEveryAgentToThePadronsNewAddress() throws Exception {
        RehearsalResult result = run(
                fault(Kind.AGENT_RELOAD, 5, 1, 1, "agent-1", "agent-2", "agent-3", "agent-4", "agent-5"),
                fault(Kind.LEAVE, 10, 3, 1, "nodo-4"));
        for (int i = 1; i <= 5; i++) {
            assertLogged(result, 10, 13, "agent-" + i + " server nodo-4 draining: nothing new is sent");
        }
    }

    /**
     * Several faults overlap with retries: requests in flight on a quarter of the nodos are retried when these are
     * killed, and the nodos return cold.
     */
    @Test
    void overlappingFaultsDuringRetriesKeepTheRules() throws Exception {
        RehearsalResult result = run(
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
            attempts += result.recorder().attempts[s];
            tries += result.recorder().tries[s];
        }
        assertTrue(attempts > 0.3 * tries, "the faults overlap with retries");
        assertTrue(result.service() < 0.99, result.summary());
    }

    /**
     * Nodos close idle connections, at times while a request is in transit to them. Such a request is sent again and
     * nothing is lost.
     */
    @Test
    void idleConnectionsClosedByNodosCostNothing() throws Exception {
        String text = PlanWriter.text(PlanReader.builtIn("calm").withSeconds(SECONDS))
                .replaceAll("idle_s = .*", "idle_s = 0.2");
        RehearsalResult result = new Rehearsal(PlanReader.parse("idle", text), 2).run();
        assertEquals(List.of(), result.breaches());
        assertTrue(result.recorder().idleConnectionsClosed > 50, result.recorder().idleConnectionsClosed + " closed");
        assertTrue(result.service() > 0.95, result.summary());
        assertEquals(
                0,
                run().recorder().idleConnectionsClosed,
                "with the default idle time of a minute, a run this short closes none");
    }

    /**
     * Nodos are killed while they hold complete keyed requests, which may have run. Retries must stay in the sala
     * that drops duplicates, and within its window.
     */
    @Test
    void keyedRequestsOfAKilledNodoAreRetriedOnlyInTheirSalaAndWindow() throws Exception {
        List<String> violations = new ArrayList<>();
        int[] retriesByResult = new int[2];
        int[] lostPayments = new int[1];
        List<Fault> waves = new ArrayList<>(List.of(fault(Kind.JUMP, 2, 16, 1.6)));
        for (int i = 0; i < 12; i++) {
            int firstNodo = 1 + 4 * (i % 3);
            waves.add(fault(
                    Kind.DIE,
                    3 + i,
                    1,
                    1,
                    "nodo-" + firstNodo,
                    "nodo-" + (firstNodo + 1),
                    "nodo-" + (firstNodo + 2),
                    "nodo-" + (firstNodo + 3)));
        }
        Plan plan = PlanReader.builtIn("calm").withSeconds(SECONDS).withFaults(waves);
        int keyedClass =
                plan.classes().stream().map(Plan.RequestClass::name).toList().indexOf("pago-recibo");
        long windowMicros = (long) (1000 * plan.classes().get(keyedClass).windowMs());
        RehearsalResult result = new Rehearsal(plan, 2, engine -> new FaultyAgentTest.FaultyBalancer(engine) {
                    private final Map<Long, Integer> zones = new HashMap<>();
                    private final Map<Long, Long> lostSince = new HashMap<>();
                    private final Map<Long, Integer> lostZone = new HashMap<>();
                    private final Set<Long> payments = new HashSet<>();

                    @Override
                    public void servers(long now, ListKind kind, List<Server> entries) {
                        entries.forEach(each -> zones.put(each.id(), each.zone()));
                        super.servers(now, kind, entries);
                    }

                    @Override
                    public void request(long now, Request request) {
                        if (request.requestClass() == keyedClass) {
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
                            Outcome outcome,
                            long elapsedMicros,
                            boolean closed,
                            double[] load) {
                        Long since = lostSince.get(request);
                        if (since != null) {
                            retriesByResult[outcome == Outcome.OK ? 0 : 1]++;
                            if (!zones.get(server).equals(lostZone.get(request))
                                    || now - elapsedMicros > since + windowMicros) {
                                violations.add(request + " at " + server);
                            }
                        } else if (outcome == Outcome.RESET && payments.contains(request)) {
                            lostPayments[0]++;
                            lostSince.put(request, now - elapsedMicros);
                            lostZone.put(request, zones.get(server));
                        }
                        super.outcome(now, request, attempt, server, outcome, elapsedMicros, closed, load);
                    }
                })
                .run();
        assertEquals(List.of(), result.breaches());
        assertEquals(List.of(), violations);
        assertTrue(
                retriesByResult[0] > 3,
                retriesByResult[0] + " payments served by a retry, " + retriesByResult[1] + " not, attempts lost: "
                        + lostPayments[0]);
    }
}
