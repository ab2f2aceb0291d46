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
    private static final class Known {
        final RequestClass type;
        final long deadline;
        final List<Long> servers = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();
        int answers;
        boolean left;

        Known(RequestClass type, long deadline) {
            this.type = type;
            this.deadline = deadline;
        }

        boolean mayHaveRun(int attempt) {
            return outcomes.get(attempt) == null || !outcomes.get(attempt).neverRan();
        }
    }

    private final Map<Long, Known> requests = new HashMap<>();
    private final Map<Long, Server> listed = new HashMap<>();
    private BalancerHarness hand;
    private Permits permits;
    private int seen;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void theRulesHoldAndTheSameEventsGiveTheSameActions(long seed) {
        List<BalancerHarness.Act> first = play(seed);
        long sent = first.stream().filter(a -> a.what().equals("send")).count();
        assertTrue(sent > 100, "too little was sent: " + sent);
        requests.clear();
        listed.clear();
        seen = 0;
        assertEquals(first, play(seed));
    }

    private List<BalancerHarness.Act> play(long seed) {
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
        hand = new BalancerHarness(
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
            step(random, classes, zones);
            check();
            hand.pass(BalancerHarness.TICK);
            check();
        }
        for (long end = hand.now + 7 * SECOND; hand.now < end; ) {
            hand.pass(BalancerHarness.TICK);
            check();
        }
        for (Map.Entry<Long, Known> e : requests.entrySet()) {
            Known known = e.getValue();
            boolean served = known.outcomes.contains(Outcome.OK);
            assertTrue(known.left || served && known.answers == 0 || known.answers == 1, "request " + e.getKey());
        }
        return List.copyOf(hand.acts);
    }

    private void step(SplittableRandom random, List<RequestClass> classes, int zones) {
        int what = random.nextInt(20);
        if (what == 0) {
            Server server = new Server(
                    1 + random.nextInt(8),
                    random.nextInt(zones),
                    random.nextInt(3),
                    0,
                    Phase.values()[Math.max(0, random.nextInt(8) - 5)],
                    1,
                    random.nextInt(9) == 0 ? hand.now : 0);
            Server before = listed.get(server.id());
            if (before != null) { // a server keeps its place
                server =
                        new Server(server.id(), before.zone(), before.cell(), 0, server.phase(), 1, server.startedAt());
            }
            listed.put(server.id(), server);
            hand.list(ListKind.DELTA, server);
        } else if (what == 1) {
            hand.balancer.probed(
                    hand.now,
                    1 + random.nextInt(8),
                    Outcome.values()[Math.max(0, random.nextInt(20) - 16)],
                    1000,
                    new double[0]);
        } else if (what == 2) {
            hand.list(ListKind.FAILED);
        } else if (what < 10) {
            int c = random.nextInt(classes.size());
            long deadline = hand.now + 300_000 + random.nextLong(3 * SECOND);
            long id = 1_000_000 + requests.size();
            requests.put(id, new Known(classes.get(c), deadline));
            hand.balancer.request(
                    hand.now,
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
                end(random, ids.get(i));
            }
        }
    }

    private void end(SplittableRandom random, long id) {
        Known known = requests.get(id);
        int roll = random.nextInt(60);
        if (roll == 0 && known.answers == 0 && !known.outcomes.contains(Outcome.OK)) {
            known.left = true;
            hand.balancer.clientLeft(hand.now, id);
            check();
        }
        for (int a = 0; a < known.outcomes.size(); a++) {
            if (known.outcomes.get(a) == null && roll < 20) {
                Outcome outcome = Outcome.values()[Math.max(0, random.nextInt(40) - 32)];
                boolean closed = known.left || known.answers > 0 || outcome == Outcome.OK;
                known.outcomes.set(a, outcome);
                hand.balancer.outcome(hand.now, id, a, known.servers.get(a), outcome, 1000, closed, new double[0]);
                check();
            }
        }
    }

    /** Looks at the actions not seen yet. */
    private void check() {
        for (; seen < hand.acts.size(); seen++) {
            BalancerHarness.Act act = hand.acts.get(seen);
            Known known = requests.get(act.id());
            switch (act.what()) {
                case "send" -> checkSend(act, known);
                case "refuse", "fail" -> {
                    assertEquals(0, known.answers, "one final answer");
                    assertFalse(known.left || known.outcomes.contains(Outcome.OK), "nothing is owed");
                    assertTrue(hand.now <= known.deadline + 20_000, "in time");
                    known.answers++;
                    for (int a = 0; a < known.outcomes.size() && act.what().equals("refuse"); a++) {
                        boolean harmless = known.type.semantics() == Semantics.SAFE
                                || !known.mayHaveRun(a)
                                || known.type.semantics() == Semantics.KEYED && known.type.scope() == Scope.ALL;
                        assertTrue(harmless, "a refusal is harmless");
                    }
                }
                case "cancel" -> assertTrue(permits.cancel(), "cancelling is permitted");
                case "probe" -> assertTrue(permits.probes(), "probing is permitted");
                default -> {}
            }
        }
    }

    private void checkSend(BalancerHarness.Act act, Known known) {
        assertEquals(0, known.answers, "nothing is sent after the answer");
        assertFalse(known.left || known.outcomes.contains(Outcome.OK), "nothing is sent after the end");
        assertEquals(Phase.READY, listed.get(act.server()).phase());
        assertTrue(known.outcomes.size() < permits.maxAttempts(), "attempts");
        for (int a = 0; a < known.outcomes.size(); a++) {
            if (known.outcomes.get(a) == null) {
                assertTrue(permits.duplicates() && known.type.semantics() == Semantics.SAFE, "two at once");
            }
            if (known.mayHaveRun(a)) {
                assertTrue(known.type.semantics() != Semantics.UNSAFE, "unsafe may have run");
                if (known.type.semantics() == Semantics.KEYED) {
                    assertTrue(hand.now < known.sentAt.get(a) + known.type.window(), "window");
                    Server old = listed.get(known.servers.get(a));
                    Server next = listed.get(act.server());
                    assertTrue(
                            known.type.scope() == Scope.ALL
                                    || known.type.scope() == Scope.ZONE && old.zone() == next.zone()
                                    || known.type.scope() == Scope.CELL && old.cell() == next.cell(),
                            "group");
                }
            }
        }
        known.servers.add(act.server());
        known.sentAt.add(hand.now);
        known.outcomes.add(null);
    }
}
