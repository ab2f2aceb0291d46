package gatefront.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Permits;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import gatefront.policy.Balancer.Server;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The four rules, with their awkward cases. */
class AdaptiveBalancerTest {
    private static final long SECOND = BalancerHarness.SECOND;

    private static BalancerHarness two(Semantics semantics, Scope scope) {
        return new BalancerHarness(BalancerHarness.settings(semantics, scope))
                .full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0), BalancerHarness.server(3, 1));
    }

    // ---- one final answer, in time ----

    @Test
    void anAttemptThatNeverEndsStillGetsOneFinalAnswerBeforeTheDeadline() {
        BalancerHarness hand = two(Semantics.SAFE, Scope.ALL);
        long id = hand.request();
        hand.pass(2 * SECOND);
        assertEquals(1, hand.of("refuse", id).size() + hand.of("fail", id).size());
        hand.pass(2 * SECOND);
        assertEquals(1, hand.of("refuse", id).size() + hand.of("fail", id).size());
        assertEquals(1, hand.sends(id).size());
    }

    @Test
    void theDeadlineIsTheRequestsOwn() {
        BalancerHarness hand = two(Semantics.UNSAFE, Scope.ALL);
        hand.balancer.request(hand.now, new Balancer.Request(99, 0, 0, 0, 0, hand.now + 200_000, false, false));
        hand.pass(215_000);
        assertEquals(1, hand.of("fail", 99).size());
    }

    @Test
    void withoutAnyServerARequestIsRefusedInTime() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.settings(Semantics.UNSAFE, Scope.ALL)).full();
        long id = hand.request();
        hand.pass(SECOND + 10_000);
        assertEquals(1, hand.of("refuse", id).size());
        assertTrue(hand.sends(id).isEmpty());
    }

    @Test
    void outcomesTimersAndDeparturesOfClosedRequestsArePassedOver() {
        BalancerHarness hand = two(Semantics.SAFE, Scope.ALL);
        long id = hand.request();
        hand.end(id, 0, Outcome.OK, 1000);
        int before = hand.acts.size();
        hand.end(id, 0, Outcome.OK, 1000);
        hand.balancer.clientLeft(hand.now, id);
        hand.balancer.timer(hand.now, 0);
        assertEquals(before, hand.acts.size());
    }

    @Test
    void nothingIsSentForARequestWhoseClientLeft() {
        BalancerHarness hand = two(Semantics.SAFE, Scope.ALL);
        long id = hand.request();
        hand.balancer.clientLeft(hand.now, id);
        hand.end(id, 0, Outcome.CONNECT_FAILED, 1000);
        hand.pass(3 * SECOND);
        assertEquals(1, hand.sends(id).size());
        assertTrue(hand.of("refuse", id).isEmpty() && hand.of("fail", id).isEmpty());
    }

    @Test
    void aStartedStreamHasNoDeadline() {
        var streamed = new Balancer.RequestClass(SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, true);
        BalancerHarness hand = new BalancerHarness(
                        BalancerHarness.settings(List.of(streamed), new Permits(3, false, true, true, false, 0), 1, 1))
                .full(BalancerHarness.server(1, 0));
        long id = hand.request();
        hand.balancer.streamStarted(hand.now, id, 0, 1, 100);
        hand.pass(10 * SECOND);
        assertTrue(hand.of("fail", id).isEmpty() && hand.of("refuse", id).isEmpty());
    }

    // ---- no effect twice ----

    @Test
    void unsafeGoesAgainOnlyAfterAProofThatItNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK || outcome == Outcome.NEVER_SENT) {
                continue;
            }
            BalancerHarness hand = two(Semantics.UNSAFE, Scope.ALL);
            long id = hand.request();
            hand.end(id, 0, outcome, 1000);
            boolean proven = outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED;
            hand.pass(50_000);
            if (proven) {
                hand.end(id, 1, Outcome.OK, 1000);
            }
            hand.pass(SECOND);
            assertEquals(proven ? 2 : 1, hand.sends(id).size(), outcome.toString());
            assertEquals(proven ? 0 : 1, hand.of("fail", id).size(), outcome.toString());
            assertTrue(hand.of("refuse", id).isEmpty(), outcome.toString());
        }
    }

    @Test
    void keyedByZoneGoesAgainOnlyInsideTheZone() {
        for (long seed = 0; seed < 20; seed++) {
            BalancerHarness hand = new BalancerHarness(BalancerHarness.settings(Semantics.KEYED, Scope.ZONE), seed)
                    .full(
                            BalancerHarness.server(1, 0),
                            BalancerHarness.server(2, 0),
                            BalancerHarness.server(3, 1),
                            BalancerHarness.server(4, 1));
            long id = hand.request();
            hand.end(id, 0, Outcome.RESET, 1000);
            hand.pass(10_000);
            assertEquals(2, hand.sends(id).size());
            assertTrue(hand.sends(id).get(1).server() <= 2);
            hand.end(id, 1, Outcome.ERROR, 1000);
            hand.pass(2 * SECOND);
            assertEquals(2, hand.sends(id).size(), "the only two servers of the group have been tried");
            assertTrue(hand.of("refuse", id).isEmpty());
            assertEquals(1, hand.of("fail", id).size());
        }
    }

    @Test
    void keyedByCellStaysInTheCellEvenWhenTheZoneHasMore() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.settings(Semantics.KEYED, Scope.CELL))
                .full(
                        new Balancer.Server(1, 0, 10, 0, Phase.READY, 1, 0),
                        new Balancer.Server(2, 0, 11, 0, Phase.READY, 1, 0));
        long id = hand.request();
        hand.end(id, 0, Outcome.ERROR, 1000);
        hand.pass(2 * SECOND);
        assertEquals(1, hand.sends(id).size());
        assertEquals(1, hand.of("fail", id).size());
    }

    @Test
    void keyedIsNotSentAfterTheWindow() {
        var late =
                new Balancer.RequestClass(3 * SECOND, 0, 4 * SECOND, Semantics.KEYED, Scope.ALL, SECOND, 1, 0, false);
        BalancerHarness hand = new BalancerHarness(
                        BalancerHarness.settings(List.of(late), new Permits(4, false, true, true, false, 0), 1, 1))
                .full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        long id = hand.request();
        hand.pass(900_000);
        hand.end(id, 0, Outcome.RESET, 900_000);
        hand.pass(3 * SECOND);
        assertEquals(1, hand.sends(id).size());
        assertEquals(1, hand.of("refuse", id).size(), "the group is all, so a refusal is harmless");
    }

    @Test
    void neverTwoAttemptsOutWhereTheHostForbidsIt() {
        BalancerHarness hand = two(Semantics.SAFE, Scope.ALL);
        long id = hand.request();
        hand.pass(900_000);
        assertEquals(1, hand.sends(id).size());
    }

    @Test
    void theAttemptsCapHolds() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.type(Semantics.SAFE, Scope.ALL)),
                        new Permits(2, false, true, true, false, 0),
                        1,
                        1))
                .full(
                        BalancerHarness.server(1, 0),
                        BalancerHarness.server(2, 0),
                        BalancerHarness.server(3, 0),
                        BalancerHarness.server(4, 0));
        long id = hand.request();
        hand.end(id, 0, Outcome.CONNECT_FAILED, 1000);
        hand.end(id, 1, Outcome.CONNECT_FAILED, 1000);
        hand.pass(2 * SECOND);
        assertEquals(2, hand.sends(id).size());
        assertEquals(1, hand.of("refuse", id).size());
    }

    // ---- drains ----

    @Test
    void nothingGoesToADrainingOrGoneServerNotEvenWhenItIsTheOnlyOne() {
        for (Phase phase : List.of(Phase.DRAINING, Phase.GONE)) {
            BalancerHarness hand = new BalancerHarness(BalancerHarness.safe()).full(BalancerHarness.server(1, 0));
            hand.list(ListKind.DELTA, BalancerHarness.server(1, 0, phase, 0));
            long id = hand.request();
            hand.pass(2 * SECOND);
            assertTrue(hand.sends(id).isEmpty());
        }
    }

    @Test
    void aServerMissingFromAFullListIsGoneAndOneReadyAgainIsUsed() {
        BalancerHarness hand = two(Semantics.SAFE, Scope.ALL);
        hand.full(BalancerHarness.server(2, 0));
        for (int i = 0; i < 6; i++) {
            long id = hand.request();
            assertEquals(2, hand.target(id));
            hand.end(id, 0, Outcome.OK, 1000);
        }
        hand.full(BalancerHarness.server(2, 0, Phase.DRAINING, 0), BalancerHarness.server(1, 0));
        assertEquals(1, hand.target(hand.request()));
        hand.list(ListKind.DELTA, BalancerHarness.server(2, 0), BalancerHarness.server(1, 0, Phase.GONE, 0));
        assertEquals(2, hand.target(hand.request()));
    }

    // ---- cold servers ----

    private static int sentTo(BalancerHarness hand, long server, long id0) {
        return (int) hand.all("send").stream()
                .filter(a -> a.server() == server && a.id() >= id0)
                .count();
    }

    @Test
    void aColdServerGetsItsSurePartOfAWarmServersRateAndNoBurst() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.safe())
                .full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        for (int i = 0; i < 200; i++) {
            hand.serve(25_000);
        }
        hand.list(ListKind.DELTA, BalancerHarness.server(3, 0, Phase.READY, hand.now));
        long from = hand.request();
        hand.end(from, 0, Outcome.OK, 1000);
        for (int i = 0; i < 40; i++) {
            hand.serve(25_000);
        }
        // Its part of 40 a second is 13; a fifth of it is sure, and twice that leaves room: 5 in this second, 1 to
        // begin.
        int sent = sentTo(hand, 3, from);
        assertTrue(sent >= 2 && sent <= 7, "sent " + sent);
    }

    @Test
    void aColdServerIsNotFloodedWhenItIsAloneButIsNotStarvedEither() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.safe())
                .full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        for (int i = 0; i < 200; i++) {
            hand.serve(25_000);
        }
        hand.full(BalancerHarness.server(3, 0, Phase.READY, hand.now));
        for (int i = 0; i < 100; i++) {
            hand.request();
            hand.pass(10_000);
        }
        int sent = sentTo(hand, 3, 0);
        assertTrue(sent >= 1 && sent <= 8, "sent " + sent);
    }

    @Test
    void aServerThatAnswersAgainAfterABreakIsTreatedAsColdWhateverTheListSays() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.safe()).full(BalancerHarness.server(1, 0));
        hand.serve(25_000);
        long one = hand.request();
        long other = hand.request();
        hand.end(one, 0, Outcome.RESET, 1000);
        hand.end(other, 0, Outcome.CONNECT_FAILED, 1000);
        hand.pass(1_000_000); // a process takes at least that long to come back
        hand.balancer.probed(hand.now, 1, Outcome.OK, 1000, new double[0]);
        assertTrue(hand.logged("cold: answers again after a break"));
    }

    /** Connections that break now and then are no restart. Failed before: each made its server cold for 5 s. */
    @Test
    void aServerThatAnswersAtOnceAfterABreakIsNotCold() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.safe()).full(BalancerHarness.server(1, 0));
        for (int i = 0; i < 10; i++) {
            hand.serve(20_000);
        }
        for (int i = 0; i < 3; i++) {
            long id = hand.request();
            hand.pass(5_000);
            hand.end(id, 0, Outcome.RESET, 5_000);
            hand.pass(50_000);
        }
        hand.pass(100_000);
        hand.serve(20_000);
        assertFalse(hand.logged("cold"));
    }

    /**
     * Rule 4 summed over agents. Failed before: each agent had a token for each cold server from its first
     * moment, and took the rate of the few servers it had just met for that of all.
     */
    @Test
    void manyLightAgentsTogetherSendAColdServerItsSurePartOfAWarmOnesRate() {
        for (int agents : new int[] {40, 400}) {
            Server[] list = new Server[20];
            for (int i = 0; i < list.length; i++) {
                list[i] = BalancerHarness.server(i + 1, 0);
            }
            int cold = 0;
            int all = 0;
            // All agents together send some 350 requests a second, 17 to a server; each draws from its own few servers.
            for (int seed = 0; seed < agents; seed++) {
                BalancerHarness hand = new BalancerHarness(
                                BalancerHarness.as(
                                        seed,
                                        BalancerHarness.settings(
                                                List.of(BalancerHarness.type(Semantics.SAFE, Scope.ALL)),
                                                new Permits(4, false, true, false, false, 0),
                                                1,
                                                agents)),
                                seed)
                        .full(list);
                SplittableRandom random = new SplittableRandom(seed);
                long from = 0;
                long began = hand.now;
                while (hand.now < began + 14 * BalancerHarness.SECOND) {
                    if (from == 0 && hand.now >= began + 12 * BalancerHarness.SECOND) {
                        hand.list(ListKind.DELTA, BalancerHarness.server(1, 0, Phase.READY, hand.now));
                        from = hand.serve(20_000);
                        continue;
                    }
                    if (random.nextDouble() < 200.0 / agents * 0.04) {
                        hand.serve(20_000);
                    }
                    hand.pass(20_000);
                }
                cold += sentTo(hand, 1, from);
                long first = from;
                all += (int)
                        hand.all("send").stream().filter(a -> a.id() >= first).count();
            }
            // A fifth of it is surely warm, up to 0.28 after these 2 s: 8, and twice that may be sent. Failed before:
            // that
            // was 4 and 0, for each agent shared its demand over servers that it never draws from.
            assertTrue(cold >= (agents == 40 ? 6 : 3) && cold <= 18, agents + " agents: " + cold + " of " + all);
        }
    }

    @Test
    void entriesForUnknownOrAlreadyGoneServersAndRepeatsChangeNothing() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.safe()).full(BalancerHarness.server(1, 0));
        hand.list(ListKind.DELTA, BalancerHarness.server(9, 0, Phase.GONE, 0));
        hand.list(
                ListKind.DELTA,
                BalancerHarness.server(9, 0, Phase.GONE, 0),
                BalancerHarness.server(1, 0),
                BalancerHarness.server(1, 0));
        hand.balancer.probed(hand.now, 77, Outcome.OK, 1000, new double[0]);
        for (int i = 0; i < 20; i++) {
            assertEquals(1, hand.target(hand.serve(20_000)));
        }
        hand.list(
                ListKind.DELTA,
                BalancerHarness.server(8, 0, Phase.DRAINING, 0),
                BalancerHarness.server(1, 0, Phase.DRAINING, 0));
        assertEquals(-1, hand.target(hand.request()));
    }
}
