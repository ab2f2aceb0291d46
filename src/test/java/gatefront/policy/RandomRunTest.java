package gatefront.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Permits;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.RequestClass;
import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import gatefront.policy.Balancer.Server;
import gatefront.policy.Balancer.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Legal events in a random order over varied settings, with a checker of its own for the rules on answers,
 * repeats and drains, and for determinism. Outcomes are drawn by lot: there is no model of a server here.
 */
class RandomRunTest {
    private static final long SECOND = BalancerHarness.SECOND;

    /** What the checker knows of a request. */
    private static final class TrackedRequest {
        final RequestClass requestClass;
        final long deadline;
        final List<Long> servers = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();
        int finalAnswers;
        boolean clientLeft;

        TrackedRequest(RequestClass type, long deadline) {
            this.requestClass = type;
            this.deadline = deadline;
        }

        boolean mayHaveRun(int attempt) {
            return outcomes.get(attempt) == null || !outcomes.get(attempt).neverRan();
        }
    }

    private final Map<Long, TrackedRequest> requests = new HashMap<>();
    private final Map<Long, Server> listedServers = new HashMap<>();
    private BalancerHarness harness;
    private Permits permits;
    private int checkedActions;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void rulesHoldAndEqualEventsGiveEqualActions(long seed) {
        List<BalancerHarness.RecordedAction> first = run(seed);
        long sent = first.stream().filter(a -> a.kind().equals("send")).count();
        assertTrue(sent > 100, "too little was sent: " + sent);
        requests.clear();
        listedServers.clear();
        checkedActions = 0;
        assertEquals(first, run(seed));
    }

    private List<BalancerHarness.RecordedAction> run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> classes = new ArrayList<>();
        for (Semantics semantics : Semantics.values()) {
            for (Scope scope : Scope.values()) {
                classes.add(new RequestClass(
                        SECOND / 2 + random.nextLong(SECOND),
                        random.nextInt(2),
                        4 * SECOND,
                        semantics,
                        scope,
                        SECOND,
                        1 + random.nextInt(5),
                        random.nextInt(2) * 0.3,
                        false));
            }
        }
        permits = new Permits(
                1 + random.nextInt(5),
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextBoolean() ? SECOND : 0);
        int zones = 1 + random.nextInt(5);
        harness = new BalancerHarness(
                BalancerHarness.settings(
                        classes,
                        permits,
                        zones,
                        1 + random.nextInt(9),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        List.of(new Tenant(10, 0.5), new Tenant(10, 0.5))),
                seed);
        for (int step = 0; step < 4000; step++) {
            randomEvent(random, classes, zones);
            checkNewActions();
            harness.advance(BalancerHarness.TICK);
            checkNewActions();
        }
        for (long end = harness.now + 7 * SECOND; harness.now < end; ) {
            harness.advance(BalancerHarness.TICK);
            checkNewActions();
        }
        for (Map.Entry<Long, TrackedRequest> e : requests.entrySet()) {
            TrackedRequest known = e.getValue();
            boolean served = known.outcomes.contains(Outcome.OK);
            assertTrue(
                    known.clientLeft || served && known.finalAnswers == 0 || known.finalAnswers == 1,
                    "request " + e.getKey());
        }
        return List.copyOf(harness.actions);
    }

    private void randomEvent(SplittableRandom random, List<RequestClass> classes, int zones) {
        int what = random.nextInt(20);
        if (what == 0) {
            Server server = new Server(
                    1 + random.nextInt(8),
                    random.nextInt(zones),
                    random.nextInt(3),
                    0,
                    Phase.values()[Math.max(0, random.nextInt(8) - 5)],
                    1,
                    random.nextInt(9) == 0 ? harness.now : 0);
            Server before = listedServers.get(server.id());
            if (before != null) { // a server keeps its place
                server =
                        new Server(server.id(), before.zone(), before.cell(), 0, server.phase(), 1, server.startedAt());
            }
            listedServers.put(server.id(), server);
            harness.updateServers(ListKind.DELTA, server);
        } else if (what == 1) {
            harness.balancer.probeOutcome(
                    harness.now,
                    1 + random.nextInt(8),
                    Outcome.values()[Math.max(0, random.nextInt(20) - 16)],
                    1000,
                    new double[0]);
        } else if (what == 2) {
            harness.updateServers(ListKind.FAILED);
        } else if (what < 10) {
            int c = random.nextInt(classes.size());
            long deadline = harness.now + 300_000 + random.nextLong(3 * SECOND);
            long id = 1_000_000 + requests.size();
            requests.put(id, new TrackedRequest(classes.get(c), deadline));
            harness.balancer.request(
                    harness.now,
                    new Balancer.Request(
                            id,
                            c,
                            random.nextInt(2),
                            random.nextInt(5),
                            random.nextInt(50_000),
                            deadline,
                            random.nextInt(5) == 0,
                            false));
        } else {
            List<Long> ids = new ArrayList<>(requests.keySet());
            ids.sort(null);
            for (int i = Math.max(0, ids.size() - 40); i < ids.size(); i++) {
                endAttempts(random, ids.get(i));
            }
        }
    }

    private void endAttempts(SplittableRandom random, long id) {
        TrackedRequest known = requests.get(id);
        int roll = random.nextInt(60);
        if (roll == 0 && known.finalAnswers == 0 && !known.outcomes.contains(Outcome.OK)) {
            known.clientLeft = true;
            harness.balancer.clientLeft(harness.now, id);
            checkNewActions();
        }
        for (int a = 0; a < known.outcomes.size(); a++) {
            if (known.outcomes.get(a) == null && roll < 20) {
                Outcome outcome = Outcome.values()[Math.max(0, random.nextInt(40) - 32)];
                boolean closed = known.clientLeft || known.finalAnswers > 0 || outcome == Outcome.OK;
                known.outcomes.set(a, outcome);
                harness.balancer.outcome(
                        harness.now, id, a, known.servers.get(a), outcome, 1000, closed, new double[0]);
                checkNewActions();
            }
        }
    }

    /** Looks at the actions not seen yet. */
    private void checkNewActions() {
        for (; checkedActions < harness.actions.size(); checkedActions++) {
            BalancerHarness.RecordedAction act = harness.actions.get(checkedActions);
            TrackedRequest known = requests.get(act.id());
            switch (act.kind()) {
                case "send" -> checkSend(act, known);
                case "refuse", "fail" -> {
                    assertEquals(0, known.finalAnswers, "one final answer");
                    assertFalse(known.clientLeft || known.outcomes.contains(Outcome.OK), "nothing is owed");
                    assertTrue(harness.now <= known.deadline + 20_000, "in time");
                    known.finalAnswers++;
                    for (int a = 0; a < known.outcomes.size() && act.kind().equals("refuse"); a++) {
                        boolean harmless = known.requestClass.semantics() == Semantics.SAFE
                                || !known.mayHaveRun(a)
                                || known.requestClass.semantics() == Semantics.KEYED
                                        && known.requestClass.scope() == Scope.ALL;
                        assertTrue(harmless, "a refusal is harmless");
                    }
                }
                case "cancel" -> assertTrue(permits.cancel(), "cancelling is permitted");
                case "probe" -> assertTrue(permits.probes(), "probing is permitted");
                default -> {}
            }
        }
    }

    private void checkSend(BalancerHarness.RecordedAction act, TrackedRequest known) {
        assertEquals(0, known.finalAnswers, "nothing is sent after the answer");
        assertFalse(known.clientLeft || known.outcomes.contains(Outcome.OK), "nothing is sent after the end");
        assertEquals(Phase.READY, listedServers.get(act.server()).phase());
        assertTrue(known.outcomes.size() < permits.maxAttempts(), "attempts");
        for (int a = 0; a < known.outcomes.size(); a++) {
            if (known.outcomes.get(a) == null) {
                assertTrue(permits.duplicates() && known.requestClass.semantics() == Semantics.SAFE, "two at once");
            }
            if (known.mayHaveRun(a)) {
                assertTrue(known.requestClass.semantics() != Semantics.UNSAFE, "unsafe may have run");
                if (known.requestClass.semantics() == Semantics.KEYED) {
                    assertTrue(harness.now < known.sentAt.get(a) + known.requestClass.window(), "window");
                    Server old = listedServers.get(known.servers.get(a));
                    Server next = listedServers.get(act.server());
                    assertTrue(
                            known.requestClass.scope() == Scope.ALL
                                    || known.requestClass.scope() == Scope.ZONE && old.zone() == next.zone()
                                    || known.requestClass.scope() == Scope.CELL && old.cell() == next.cell(),
                            "group");
                }
            }
        }
        known.servers.add(act.server());
        known.sentAt.add(harness.now);
        known.outcomes.add(null);
    }
}
