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
 * Sends legal events in random order under varied settings, and checks the rules on final answers, retries and
 * drains, and that runs are deterministic. Outcomes are random; servers are not modelled.
 */
class RandomRunTest {
    private static final long SECOND = BalancerHarness.SECOND;

    /** The checker's record of a request. */
    private static final class TrackedRequest {
        final RequestClass requestClass;
        final long deadline;
        final List<Long> servers = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();
        int finalAnswers;
        boolean clientLeft;

        TrackedRequest(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
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
        assertTrue(sent > 100, "too few requests were sent: " + sent);
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
            TrackedRequest tracked = e.getValue();
            boolean served = tracked.outcomes.contains(Outcome.OK);
            assertTrue(
                    tracked.clientLeft || served && tracked.finalAnswers == 0 || tracked.finalAnswers == 1,
                    "request " + e.getKey());
        }
        return List.copyOf(harness.actions);
    }

    private void randomEvent(SplittableRandom random, List<RequestClass> classes, int zones) {
        int kind = random.nextInt(20);
        if (kind == 0) {
            Server server = new Server(
                    1 + random.nextInt(8),
                    random.nextInt(zones),
                    random.nextInt(3),
                    0,
                    Phase.values()[Math.max(0, random.nextInt(8) - 5)],
                    1,
                    random.nextInt(9) == 0 ? harness.now : 0);
            Server before = listedServers.get(server.id());
            if (before != null) { // a server keeps its zone and cell
                server =
                        new Server(server.id(), before.zone(), before.cell(), 0, server.phase(), 1, server.startedAt());
            }
            listedServers.put(server.id(), server);
            harness.updateServers(ListKind.DELTA, server);
        } else if (kind == 1) {
            harness.balancer.probeOutcome(
                    harness.now,
                    1 + random.nextInt(8),
                    Outcome.values()[Math.max(0, random.nextInt(20) - 16)],
                    1000,
                    new double[0]);
        } else if (kind == 2) {
            harness.updateServers(ListKind.FAILED);
        } else if (kind < 10) {
            int classNumber = random.nextInt(classes.size());
            long deadline = harness.now + 300_000 + random.nextLong(3 * SECOND);
            long id = 1_000_000 + requests.size();
            requests.put(id, new TrackedRequest(classes.get(classNumber), deadline));
            harness.balancer.request(
                    harness.now,
                    new Balancer.Request(
                            id,
                            classNumber,
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
        TrackedRequest tracked = requests.get(id);
        int roll = random.nextInt(60);
        if (roll == 0 && tracked.finalAnswers == 0 && !tracked.outcomes.contains(Outcome.OK)) {
            tracked.clientLeft = true;
            harness.balancer.clientLeft(harness.now, id);
            checkNewActions();
        }
        for (int attempt = 0; attempt < tracked.outcomes.size(); attempt++) {
            if (tracked.outcomes.get(attempt) == null && roll < 20) {
                Outcome outcome = Outcome.values()[Math.max(0, random.nextInt(40) - 32)];
                boolean closed = tracked.clientLeft || tracked.finalAnswers > 0 || outcome == Outcome.OK;
                tracked.outcomes.set(attempt, outcome);
                harness.balancer.outcome(
                        harness.now, id, attempt, tracked.servers.get(attempt), outcome, 1000, closed, new double[0]);
                checkNewActions();
            }
        }
    }

    /** Checks the actions since the last call. */
    private void checkNewActions() {
        for (; checkedActions < harness.actions.size(); checkedActions++) {
            BalancerHarness.RecordedAction action = harness.actions.get(checkedActions);
            TrackedRequest tracked = requests.get(action.id());
            switch (action.kind()) {
                case "send" -> checkSend(action, tracked);
                case "refuse", "fail" -> {
                    assertEquals(0, tracked.finalAnswers, "one final answer");
                    assertFalse(tracked.clientLeft || tracked.outcomes.contains(Outcome.OK), "no answer is due");
                    assertTrue(harness.now <= tracked.deadline + 20_000, "in time");
                    tracked.finalAnswers++;
                    for (int attempt = 0;
                            attempt < tracked.outcomes.size() && action.kind().equals("refuse");
                            attempt++) {
                        boolean harmless = tracked.requestClass.semantics() == Semantics.SAFE
                                || !tracked.mayHaveRun(attempt)
                                || tracked.requestClass.semantics() == Semantics.KEYED
                                        && tracked.requestClass.scope() == Scope.ALL;
                        assertTrue(harmless, "a refusal is harmless");
                    }
                }
                case "cancel" -> assertTrue(permits.cancel(), "cancelling is permitted");
                case "probe" -> assertTrue(permits.probes(), "probing is permitted");
                default -> {}
            }
        }
    }

    private void checkSend(BalancerHarness.RecordedAction action, TrackedRequest tracked) {
        assertEquals(0, tracked.finalAnswers, "nothing is sent after the answer");
        assertFalse(tracked.clientLeft || tracked.outcomes.contains(Outcome.OK), "nothing is sent after the end");
        assertEquals(Phase.READY, listedServers.get(action.server()).phase());
        assertTrue(tracked.outcomes.size() < permits.maxAttempts(), "maximum number of attempts");
        for (int attempt = 0; attempt < tracked.outcomes.size(); attempt++) {
            if (tracked.outcomes.get(attempt) == null) {
                assertTrue(
                        permits.duplicates() && tracked.requestClass.semantics() == Semantics.SAFE,
                        "two attempts in flight");
            }
            if (tracked.mayHaveRun(attempt)) {
                assertTrue(tracked.requestClass.semantics() != Semantics.UNSAFE, "an unsafe request may have run");
                if (tracked.requestClass.semantics() == Semantics.KEYED) {
                    assertTrue(
                            harness.now < tracked.sentAt.get(attempt) + tracked.requestClass.window(),
                            "deduplication window");
                    Server old = listedServers.get(tracked.servers.get(attempt));
                    Server next = listedServers.get(action.server());
                    assertTrue(
                            tracked.requestClass.scope() == Scope.ALL
                                    || tracked.requestClass.scope() == Scope.ZONE && old.zone() == next.zone()
                                    || tracked.requestClass.scope() == Scope.CELL && old.cell() == next.cell(),
                            "deduplication scope");
                }
            }
        }
        tracked.servers.add(action.server());
        tracked.sentAt.add(harness.now);
        tracked.outcomes.add(null);
    }
}
