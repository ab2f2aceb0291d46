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

/** Tests the four rules: one final answer in time, no duplicate effects, drains and cold servers. */
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

    // ---- no duplicate effects ----

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
            assertEquals(2, harness.sends(id).size(), "both servers of the zone have been tried");
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
        assertEquals(
                1, harness.actionsFor("refuse", id).size(), "all servers share the scope, so a refusal is harmless");
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

    private static int sentTo(BalancerHarness harness, long server, long firstId) {
        return (int) harness.actionsOfKind("send").stream()
                .filter(a -> a.server() == server && a.id() >= firstId)
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
        // Its share of 40 requests a second is 13. A fifth of that is the warm share, and twice that may be sent: 5
        // in this second, and 1 at the start.
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
        harness.advance(1_000_000); // a restart of a process takes at least that long
        harness.balancer.probeOutcome(harness.now, 1, Outcome.OK, 1000, new double[0]);
        assertTrue(harness.hasLogged("cold: answers again after a break"));
    }

    /** Guards against treating each connection reset as a restart, which made the server cold for 5 s. */
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
     * Checks rule 4 over all agents. Guards against each agent having a token for each cold server from its start, and
     * against taking the rate of the few servers that it has just used for that of all servers.
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
            // All agents together send some 350 requests a second, 17 to a server; each uses its own small subset.
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
            // The warm share is 0.2 to 0.28 during these 2 s: 8 requests, and twice that may be sent. Guards against
            // agents that divide their rate over servers outside their subset: only 4 and 0 were sent.
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
