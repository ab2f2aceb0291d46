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

    private static BalancerHarness threeServers(Semantics semantics, Scope scope) {
        return new BalancerHarness(BalancerHarness.settings(semantics, scope))
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0), BalancerHarness.server(3, 1));
    }

    // ---- one final answer, in time ----

    @Test
    void anAttemptThatNeverEndsStillGetsOneFinalAnswerBeforeTheDeadline() {
        BalancerHarness harness = threeServers(Semantics.SAFE, Scope.ALL);
        long id = harness.request();
        harness.advance(2 * SECOND);
        assertEquals(
                1,
                harness.actionsFor("refuse", id).size()
                        + harness.actionsFor("fail", id).size());
        harness.advance(2 * SECOND);
        assertEquals(
                1,
                harness.actionsFor("refuse", id).size()
                        + harness.actionsFor("fail", id).size());
        assertEquals(1, harness.sends(id).size());
    }

    @Test
    void theRequestsOwnDeadlineApplies() {
        BalancerHarness harness = threeServers(Semantics.UNSAFE, Scope.ALL);
        harness.balancer.request(
                harness.now, new Balancer.Request(99, 0, 0, 0, 0, harness.now + 200_000, false, false));
        harness.advance(215_000);
        assertEquals(1, harness.actionsFor("fail", 99).size());
    }

    @Test
    void withoutAnyServerARequestIsRefusedInTime() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(Semantics.UNSAFE, Scope.ALL)).fullList();
        long id = harness.request();
        harness.advance(SECOND + 10_000);
        assertEquals(1, harness.actionsFor("refuse", id).size());
        assertTrue(harness.sends(id).isEmpty());
    }

    @Test
    void outcomesTimersAndDisconnectsOfClosedRequestsAreIgnored() {
        BalancerHarness harness = threeServers(Semantics.SAFE, Scope.ALL);
        long id = harness.request();
        harness.endAttempt(id, 0, Outcome.OK, 1000);
        int before = harness.actions.size();
        harness.endAttempt(id, 0, Outcome.OK, 1000);
        harness.balancer.clientLeft(harness.now, id);
        harness.balancer.timer(harness.now, 0);
        assertEquals(before, harness.actions.size());
    }

    @Test
    void nothingIsSentForARequestWhoseClientLeft() {
        BalancerHarness harness = threeServers(Semantics.SAFE, Scope.ALL);
        long id = harness.request();
        harness.balancer.clientLeft(harness.now, id);
        harness.endAttempt(id, 0, Outcome.CONNECT_FAILED, 1000);
        harness.advance(3 * SECOND);
        assertEquals(1, harness.sends(id).size());
        assertTrue(harness.actionsFor("refuse", id).isEmpty()
                && harness.actionsFor("fail", id).isEmpty());
    }

    @Test
    void aStartedStreamHasNoDeadline() {
        var streamed = new Balancer.RequestClass(SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, true);
        BalancerHarness harness = new BalancerHarness(
                        BalancerHarness.settings(List.of(streamed), new Permits(3, false, true, true, false, 0), 1, 1))
                .fullList(BalancerHarness.server(1, 0));
        long id = harness.request();
        harness.balancer.streamStarted(harness.now, id, 0, 1, 100);
        harness.advance(10 * SECOND);
        assertTrue(harness.actionsFor("fail", id).isEmpty()
                && harness.actionsFor("refuse", id).isEmpty());
    }

    // ---- no effect twice ----

    @Test
    void anUnsafeRequestIsRetriedOnlyAfterProofThatItNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK || outcome == Outcome.NEVER_SENT) {
                continue;
            }
            BalancerHarness harness = threeServers(Semantics.UNSAFE, Scope.ALL);
            long id = harness.request();
            harness.endAttempt(id, 0, outcome, 1000);
            boolean proven = outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED;
            harness.advance(50_000);
            if (proven) {
                harness.endAttempt(id, 1, Outcome.OK, 1000);
            }
            harness.advance(SECOND);
            assertEquals(proven ? 2 : 1, harness.sends(id).size(), outcome.toString());
            assertEquals(proven ? 0 : 1, harness.actionsFor("fail", id).size(), outcome.toString());
            assertTrue(harness.actionsFor("refuse", id).isEmpty(), outcome.toString());
        }
    }

    @Test
    void aRequestKeyedByZoneIsRetriedOnlyInsideTheZone() {
        for (long seed = 0; seed < 20; seed++) {
            BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(Semantics.KEYED, Scope.ZONE), seed)
                    .fullList(
                            BalancerHarness.server(1, 0),
                            BalancerHarness.server(2, 0),
                            BalancerHarness.server(3, 1),
                            BalancerHarness.server(4, 1));
            long id = harness.request();
            harness.endAttempt(id, 0, Outcome.RESET, 1000);
            harness.advance(10_000);
            assertEquals(2, harness.sends(id).size());
            assertTrue(harness.sends(id).get(1).server() <= 2);
            harness.endAttempt(id, 1, Outcome.ERROR, 1000);
            harness.advance(2 * SECOND);
            assertEquals(2, harness.sends(id).size(), "the only two servers of the group have been tried");
            assertTrue(harness.actionsFor("refuse", id).isEmpty());
            assertEquals(1, harness.actionsFor("fail", id).size());
        }
    }

    @Test
    void aRequestKeyedByCellStaysInTheCellEvenIfTheZoneHasMoreServers() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(Semantics.KEYED, Scope.CELL))
                .fullList(
                        new Balancer.Server(1, 0, 10, 0, Phase.READY, 1, 0),
                        new Balancer.Server(2, 0, 11, 0, Phase.READY, 1, 0));
        long id = harness.request();
        harness.endAttempt(id, 0, Outcome.ERROR, 1000);
        harness.advance(2 * SECOND);
        assertEquals(1, harness.sends(id).size());
        assertEquals(1, harness.actionsFor("fail", id).size());
    }

    @Test
    void aKeyedRequestIsNotSentAfterTheDeduplicationWindow() {
        var late =
                new Balancer.RequestClass(3 * SECOND, 0, 4 * SECOND, Semantics.KEYED, Scope.ALL, SECOND, 1, 0, false);
        BalancerHarness harness = new BalancerHarness(
                        BalancerHarness.settings(List.of(late), new Permits(4, false, true, true, false, 0), 1, 1))
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        long id = harness.request();
        harness.advance(900_000);
        harness.endAttempt(id, 0, Outcome.RESET, 900_000);
        harness.advance(3 * SECOND);
        assertEquals(1, harness.sends(id).size());
        assertEquals(1, harness.actionsFor("refuse", id).size(), "the group is all, so a refusal is harmless");
    }

    @Test
    void noSecondAttemptIsInFlightIfTheHostForbidsIt() {
        BalancerHarness harness = threeServers(Semantics.SAFE, Scope.ALL);
        long id = harness.request();
        harness.advance(900_000);
        assertEquals(1, harness.sends(id).size());
    }

    @Test
    void theAttemptLimitIsKept() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(2, false, true, true, false, 0),
                        1,
                        1))
                .fullList(
                        BalancerHarness.server(1, 0),
                        BalancerHarness.server(2, 0),
                        BalancerHarness.server(3, 0),
                        BalancerHarness.server(4, 0));
        long id = harness.request();
        harness.endAttempt(id, 0, Outcome.CONNECT_FAILED, 1000);
        harness.endAttempt(id, 1, Outcome.CONNECT_FAILED, 1000);
        harness.advance(2 * SECOND);
        assertEquals(2, harness.sends(id).size());
        assertEquals(1, harness.actionsFor("refuse", id).size());
    }

    // ---- drains ----

    @Test
    void nothingIsSentToADrainingOrRemovedServerEvenIfItIsTheOnlyOne() {
        for (Phase phase : List.of(Phase.DRAINING, Phase.GONE)) {
            BalancerHarness harness =
                    new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
            harness.updateServers(ListKind.DELTA, BalancerHarness.server(1, 0, phase, 0));
            long id = harness.request();
            harness.advance(2 * SECOND);
            assertTrue(harness.sends(id).isEmpty());
        }
    }

    @Test
    void aServerMissingFromAFullListIsNotUsedAndOneReadyAgainIs() {
        BalancerHarness harness = threeServers(Semantics.SAFE, Scope.ALL);
        harness.fullList(BalancerHarness.server(2, 0));
        for (int i = 0; i < 6; i++) {
            long id = harness.request();
            assertEquals(2, harness.lastServer(id));
            harness.endAttempt(id, 0, Outcome.OK, 1000);
        }
        harness.fullList(BalancerHarness.server(2, 0, Phase.DRAINING, 0), BalancerHarness.server(1, 0));
        assertEquals(1, harness.lastServer(harness.request()));
        harness.updateServers(
                ListKind.DELTA, BalancerHarness.server(2, 0), BalancerHarness.server(1, 0, Phase.GONE, 0));
        assertEquals(2, harness.lastServer(harness.request()));
    }

    // ---- cold servers ----

    private static int sentTo(BalancerHarness harness, long server, long id0) {
        return (int) harness.actionsOfKind("send").stream()
                .filter(a -> a.server() == server && a.id() >= id0)
                .count();
    }

    @Test
    void aColdServerGetsItsWarmShareOfAWarmServersRateAndNoBurst() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.safeSettings())
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        for (int i = 0; i < 200; i++) {
            harness.serveRequest(25_000);
        }
        harness.updateServers(ListKind.DELTA, BalancerHarness.server(3, 0, Phase.READY, harness.now));
        long from = harness.request();
        harness.endAttempt(from, 0, Outcome.OK, 1000);
        for (int i = 0; i < 40; i++) {
            harness.serveRequest(25_000);
        }
        // Its part of 40 a second is 13; a fifth of it is sure, and twice that leaves room: 5 in this second, 1 to
        // begin.
        int sent = sentTo(harness, 3, from);
        assertTrue(sent >= 2 && sent <= 7, "sent " + sent);
    }

    @Test
    void aSingleColdServerIsNeitherFloodedNorStarved() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.safeSettings())
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        for (int i = 0; i < 200; i++) {
            harness.serveRequest(25_000);
        }
        harness.fullList(BalancerHarness.server(3, 0, Phase.READY, harness.now));
        for (int i = 0; i < 100; i++) {
            harness.request();
            harness.advance(10_000);
        }
        int sent = sentTo(harness, 3, 0);
        assertTrue(sent >= 1 && sent <= 8, "sent " + sent);
    }

    @Test
    void aServerThatAnswersAfterAnOutageIsTreatedAsColdWhateverTheListSays() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        harness.serveRequest(25_000);
        long one = harness.request();
        long other = harness.request();
        harness.endAttempt(one, 0, Outcome.RESET, 1000);
        harness.endAttempt(other, 0, Outcome.CONNECT_FAILED, 1000);
        harness.advance(1_000_000); // a process takes at least that long to come back
        harness.balancer.probeOutcome(harness.now, 1, Outcome.OK, 1000, new double[0]);
        assertTrue(harness.hasLogged("cold: answers again after a break"));
    }

    /** Connections that break now and then are no restart. Failed before: each made its server cold for 5 s. */
    @Test
    void aServerThatAnswersSoonAfterAConnectionResetIsNotCold() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 10; i++) {
            harness.serveRequest(20_000);
        }
        for (int i = 0; i < 3; i++) {
            long id = harness.request();
            harness.advance(5_000);
            harness.endAttempt(id, 0, Outcome.RESET, 5_000);
            harness.advance(50_000);
        }
        harness.advance(100_000);
        harness.serveRequest(20_000);
        assertFalse(harness.hasLogged("cold"));
    }

    /**
     * Rule 4 summed over agents. Failed before: each agent had a token for each cold server from its first
     * moment, and took the rate of the few servers it had just met for that of all.
     */
    @Test
    void manyLightAgentsTogetherSendAColdServerItsWarmShareOfAWarmServersRate() {
        for (int agents : new int[] {40, 400}) {
            Server[] list = new Server[20];
            for (int i = 0; i < list.length; i++) {
                list[i] = BalancerHarness.server(i + 1, 0);
            }
            int cold = 0;
            int all = 0;
            // All agents together send some 350 requests a second, 17 to a server; each draws from its own few servers.
            for (int seed = 0; seed < agents; seed++) {
                BalancerHarness harness = new BalancerHarness(
                                BalancerHarness.forAgent(
                                        seed,
                                        BalancerHarness.settings(
                                                List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                                                new Permits(4, false, true, false, false, 0),
                                                1,
                                                agents)),
                                seed)
                        .fullList(list);
                SplittableRandom random = new SplittableRandom(seed);
                long from = 0;
                long began = harness.now;
                while (harness.now < began + 14 * BalancerHarness.SECOND) {
                    if (from == 0 && harness.now >= began + 12 * BalancerHarness.SECOND) {
                        harness.updateServers(ListKind.DELTA, BalancerHarness.server(1, 0, Phase.READY, harness.now));
                        from = harness.serveRequest(20_000);
                        continue;
                    }
                    if (random.nextDouble() < 200.0 / agents * 0.04) {
                        harness.serveRequest(20_000);
                    }
                    harness.advance(20_000);
                }
                cold += sentTo(harness, 1, from);
                long first = from;
                all += (int) harness.actionsOfKind("send").stream()
                        .filter(a -> a.id() >= first)
                        .count();
            }
            // A fifth of it is surely warm, up to 0.28 after these 2 s: 8, and twice that may be sent. Failed before:
            // that
            // was 4 and 0, for each agent shared its demand over servers that it never draws from.
            assertTrue(cold >= (agents == 40 ? 6 : 3) && cold <= 18, agents + " agents: " + cold + " of " + all);
        }
    }

    @Test
    void entriesForUnknownOrRemovedServersAndDuplicateEntriesChangeNothing() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        harness.updateServers(ListKind.DELTA, BalancerHarness.server(9, 0, Phase.GONE, 0));
        harness.updateServers(
                ListKind.DELTA,
                BalancerHarness.server(9, 0, Phase.GONE, 0),
                BalancerHarness.server(1, 0),
                BalancerHarness.server(1, 0));
        harness.balancer.probeOutcome(harness.now, 77, Outcome.OK, 1000, new double[0]);
        for (int i = 0; i < 20; i++) {
            assertEquals(1, harness.lastServer(harness.serveRequest(20_000)));
        }
        harness.updateServers(
                ListKind.DELTA,
                BalancerHarness.server(8, 0, Phase.DRAINING, 0),
                BalancerHarness.server(1, 0, Phase.DRAINING, 0));
        assertEquals(-1, harness.lastServer(harness.request()));
    }
}
