package gatefront.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Permits;
import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import gatefront.policy.Balancer.Server;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests health checks, outlier ejection, server selection, zone fallback, subsetting, limits and admission credit. */
class MechanismTest {
    private static final long SECOND = BalancerHarness.SECOND;
    private static final double[] NO_LOAD = new double[0];

    private static BalancerHarness fourServers() {
        return new BalancerHarness(BalancerHarness.safeSettings())
                .fullList(
                        BalancerHarness.server(1, 0),
                        BalancerHarness.server(2, 0),
                        BalancerHarness.server(3, 0),
                        BalancerHarness.server(4, 1));
    }

    private static void failProbes(BalancerHarness harness, long server, int times) {
        for (int i = 0; i < times; i++) {
            harness.balancer.probeOutcome(harness.now, server, Outcome.TIMEOUT, SECOND, NO_LOAD);
        }
    }

    @Test
    void everyServerOfTheOwnZoneIsProbedOncePerIntervalAndProbesAreSpreadOut() {
        // A single agent does not share the probe interval with others.
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(4, false, true, true, false, 0),
                        2,
                        1))
                .fullList(
                        BalancerHarness.server(1, 0),
                        BalancerHarness.server(2, 0),
                        BalancerHarness.server(3, 0),
                        BalancerHarness.server(4, 0),
                        BalancerHarness.server(5, 1));
        for (int i = 0; i < 1000; i++) {
            harness.advance(BalancerHarness.TICK);
            for (BalancerHarness.RecordedAction probe : List.copyOf(harness.actionsOfKind("probe"))) {
                if (probe.value() == harness.now) {
                    harness.balancer.probeOutcome(harness.now, probe.server(), Outcome.OK, 1000, NO_LOAD);
                }
            }
        }
        List<BalancerHarness.RecordedAction> probes = harness.actionsOfKind("probe");
        assertEquals(
                4,
                probes.stream()
                        .map(BalancerHarness.RecordedAction::server)
                        .distinct()
                        .count());
        assertTrue(probes.size() >= 16 && probes.size() <= 24, "probes in 5 s: " + probes.size());
        assertEquals(
                probes.size(),
                probes.stream()
                        .map(BalancerHarness.RecordedAction::value)
                        .distinct()
                        .count());
    }

    /**
     * Guards against every agent probing every server once a second, so that probes grow with the number of agents.
     */
    @Test
    void probeRatePerServerDoesNotGrowWithTheNumberOfAgents() {
        for (int agents : new int[] {5, 50, 500}) {
            int probes = 0;
            for (int seed = 0; seed < agents; seed++) {
                BalancerHarness harness = new BalancerHarness(
                                BalancerHarness.settings(
                                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                                        new Permits(4, false, true, true, false, 0),
                                        1,
                                        agents),
                                seed)
                        .fullList(
                                BalancerHarness.server(1, 0),
                                BalancerHarness.server(2, 0),
                                BalancerHarness.server(3, 0),
                                BalancerHarness.server(4, 0));
                for (int i = 0; i < 1000; i++) {
                    int before = harness.actionsOfKind("probe").size();
                    harness.advance(2 * BalancerHarness.TICK);
                    for (BalancerHarness.RecordedAction probe : harness.actionsOfKind("probe")
                            .subList(before, harness.actionsOfKind("probe").size())) {
                        harness.balancer.probeOutcome(harness.now, probe.server(), Outcome.OK, 1000, NO_LOAD);
                    }
                }
                probes += harness.actionsOfKind("probe").size();
            }
            // 4 servers over 10 s, each probed once a second by all agents together: 40 probes.
            assertTrue(probes >= 20 && probes <= 80, agents + " agents: " + probes);
        }
    }

    /** Guards against a probe interval that does not depend on the price of probes. */
    @Test
    void probeIntervalGrowsWithTheProbePrice() {
        int[] probes = new int[2];
        for (int expensive = 0; expensive < 2; expensive++) {
            var s = BalancerHarness.settings(
                    List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                    new Permits(4, false, true, true, false, 0),
                    1,
                    1);
            BalancerHarness harness = new BalancerHarness(BalancerHarness.withPrices(
                            s,
                            new Balancer.Prices(0.2, expensive == 0 ? 0.01 : 0.12, 0.05, 0.05, 0.01),
                            s.obligations()))
                    .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
            for (int i = 0; i < 6000; i++) {
                int before = harness.actionsOfKind("probe").size();
                harness.advance(BalancerHarness.TICK);
                harness.actionsOfKind("probe").stream()
                        .skip(before)
                        .toList()
                        .forEach(probe ->
                                harness.balancer.probeOutcome(harness.now, probe.server(), Outcome.OK, 1000, NO_LOAD));
            }
            probes[expensive] = harness.actionsOfKind("probe").size();
        }
        assertTrue(probes[0] >= 48 && probes[0] <= 72, "30 s, two servers, one probe a second each: " + probes[0]);
        assertTrue(probes[1] >= 14 && probes[1] <= 27, "a third of the probes at three times the price: " + probes[1]);
    }

    @Test
    void noProbesAreSentIfTheHostForbidsThem() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(3, false, true, false, false, 0),
                        1,
                        1))
                .fullList(BalancerHarness.server(1, 0));
        harness.advance(5 * SECOND);
        assertTrue(harness.actionsOfKind("probe").isEmpty());
    }

    @Test
    void consecutiveFailedProbesMakeAServerUnhealthyAndOneSuccessHealthy() {
        BalancerHarness harness = fourServers();
        failProbes(harness, 1, 1);
        assertFalse(harness.hasLogged("active Unhealthy"));
        harness.balancer.probeOutcome(harness.now, 1, Outcome.OK, 1000, NO_LOAD);
        failProbes(harness, 1, 1);
        assertFalse(harness.hasLogged("active Unhealthy"), "the success in between resets the count");
        failProbes(harness, 1, 1);
        assertTrue(harness.hasLogged("server 1 active Unhealthy"));
        for (int i = 0; i < 30; i++) {
            assertNotEquals(1, harness.lastServer(harness.request()));
        }
        harness.balancer.probeOutcome(harness.now, 1, Outcome.OK, 1000, NO_LOAD);
        assertTrue(harness.hasLogged("server 1 active Healthy"));
    }

    @Test
    void probeTimeoutsOfAServerThatAnswersRequestsAreIgnored() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 4; i++) {
            harness.serveRequest(10_000);
            failProbes(harness, 1, 1);
        }
        assertFalse(harness.hasLogged("active Unhealthy"));
    }

    /** Sends requests until the given number of them have failed at server 1; all others succeed. */
    private static void failOnServerOne(BalancerHarness harness, int failures, Outcome outcome) {
        int failed = 0;
        for (int i = 0; i < 400 && failed < failures; i++) {
            long id = harness.request();
            boolean fails = harness.lastServer(id) == 1;
            failed += fails ? 1 : 0;
            harness.endAttempt(id, 0, fails ? outcome : Outcome.OK, 10_000);
            if (fails && harness.sends(id).size() > 1) {
                harness.endAttempt(id, 1, Outcome.OK, 10_000);
            }
            harness.advance(20_000);
        }
        assertEquals(failures, failed, "too few requests were sent to server 1");
    }

    @Test
    void failureRateOverTheLimitEjectsAServerUntilReactivation() {
        BalancerHarness harness = fourServers();
        failOnServerOne(harness, 4, Outcome.TIMEOUT);
        assertFalse(harness.hasLogged("passive Unhealthy"), "below the minimum count");
        failOnServerOne(harness, 1, Outcome.TIMEOUT);
        assertTrue(harness.hasLogged("server 1 passive Unhealthy: 5 of 5 failed"));
        for (int i = 0; i < 20; i++) {
            long id = harness.request();
            assertNotEquals(1, harness.lastServer(id));
            harness.endAttempt(id, 0, Outcome.OK, 10_000);
        }
        harness.advance(6 * SECOND);
        Set<Long> seen = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            seen.add(harness.lastServer(harness.request()));
        }
        assertTrue(seen.contains(1L));
        assertTrue(harness.hasLogged("server 1 passive Unknown: reactivated"));
    }

    @Test
    void failureRateBelowTheLimitDoesNotEject() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 40; i++) {
            long id = harness.request();
            harness.endAttempt(id, 0, i % 4 == 3 ? Outcome.TIMEOUT : Outcome.OK, 10_000);
            harness.advance(50_000);
        }
        assertFalse(harness.hasLogged("passive Unhealthy"));
    }

    @Test
    void failuresCommonToAllServersDoNotEjectThem() {
        BalancerHarness harness = fourServers();
        for (int i = 0; i < 100; i++) {
            long id = harness.request();
            if (harness.lastServer(id) > 0) {
                harness.advance(20_000);
                harness.endAttempt(id, 0, i % 2 == 0 ? Outcome.TIMEOUT : Outcome.OK, 20_000);
            }
            harness.advance(100_000);
        }
        long ejected = harness.logLines.stream()
                .filter(l -> l.contains("passive Unhealthy"))
                .count();
        assertTrue(ejected <= 2, "ejected " + ejected);
    }

    @Test
    void ofTwoServersTheOneWithFewerRequestsInFlightIsPicked() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.safeSettings())
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        long first = harness.lastServer(harness.request());
        assertNotEquals(first, harness.lastServer(harness.request()));
    }

    @Test
    void otherZonesAreUsedOnlyAfterTheOwnZoneIsFullAndTheWaitEqualsTheCrossingPrice() {
        BalancerHarness harness = fourServers();
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            ids.add(harness.request());
        }
        assertTrue(ids.stream().noneMatch(id -> harness.lastServer(id) == 4), "own zone first, then the request waits");
        assertTrue(ids.stream().anyMatch(id -> harness.lastServer(id) == -1));
        harness.advance(250_000);
        assertTrue(
                ids.stream().anyMatch(id -> harness.lastServer(id) == 4),
                "after a wait that equals the price of crossing");
    }

    @Test
    void otherZonesAreUsedAtOnceIfNoServerOfTheOwnZoneIsAvailable() {
        BalancerHarness harness = fourServers();
        for (long server = 1; server <= 3; server++) {
            failProbes(harness, server, 2);
        }
        assertEquals(4, harness.lastServer(harness.request()));
    }

    @Test
    void allServersAreEligibleIfNoneIsAvailableInAnyZone() {
        BalancerHarness harness = fourServers();
        for (long server = 1; server <= 4; server++) {
            failProbes(harness, server, 2);
        }
        assertTrue(harness.lastServer(harness.request()) > 0);
    }

    @Test
    void aServerThatFailsFastBacksOffAndDoesNotAttractAllRequests() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.safeSettings())
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        for (int i = 0; i < 20; i++) {
            harness.serveRequest(50_000);
        }
        int sentToServerOne = 0;
        for (int i = 0; i < 40; i++) {
            long id = harness.request();
            for (int attempt = 0; attempt < harness.sends(id).size(); attempt++) {
                boolean atServerOne = harness.sends(id).get(attempt).server() == 1;
                sentToServerOne += atServerOne ? 1 : 0;
                harness.endAttempt(id, attempt, atServerOne ? Outcome.FULL : Outcome.OK, atServerOne ? 4_000 : 50_000);
            }
            harness.advance(10_000);
        }
        assertTrue(sentToServerOne <= 6, "sent " + sentToServerOne);
    }

    @Test
    void aTimeoutBacksOffASilentServerButNotOneThatAnswersOtherRequests() {
        BalancerHarness silent =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        long lost = silent.request();
        silent.advance(SECOND / 2);
        silent.endAttempt(lost, 0, Outcome.TIMEOUT, SECOND / 2);
        assertEquals(0, silent.sends(silent.request()).size());

        BalancerHarness busy =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        long heavy = busy.request();
        busy.advance(SECOND / 4);
        busy.serveRequest(SECOND / 8);
        busy.advance(SECOND / 8);
        busy.endAttempt(heavy, 0, Outcome.TIMEOUT, SECOND / 2);
        assertEquals(1, busy.sends(busy.request()).size());
    }

    @Test
    void theMoreValuableOfTwoQueuedClassesIsDispatchedFirst() {
        var lowWorth = new Balancer.RequestClass(SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, false);
        var highWorth = new Balancer.RequestClass(SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 8, 0, false);
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(
                        List.of(lowWorth, highWorth), new Permits(3, false, true, true, false, 0), 1, 2))
                .fullList(BalancerHarness.server(1, 0));
        List<Long> first = new ArrayList<>();
        while (first.isEmpty() || harness.lastServer(first.get(first.size() - 1)) == 1) {
            first.add(harness.request(0, 0));
        }
        long waiting = first.get(first.size() - 1);
        long valuable = harness.request(1, 0);
        harness.advance(100_000);
        assertEquals(-1, harness.lastServer(valuable));
        harness.endAttempt(first.get(0), 0, Outcome.OK, 100_000);
        assertEquals(1, harness.lastServer(valuable));
        assertEquals(-1, harness.lastServer(waiting));
    }

    @Test
    void aMarkedClientRetryPastItsAimIsRefusedAtOnceAndNotSent() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 60; i++) {
            harness.serveRequest(300_000);
        }
        for (int i = 0; i < 60; i++) {
            harness.request(); // more than one server can handle: most wait and are refused
        }
        harness.advance(SECOND);
        harness.balancer.request(
                harness.now, new Balancer.Request(9999, 0, 0, 0, 0, harness.now + 3 * SECOND, true, false));
        assertEquals(1, harness.actionsFor("refuse", 9999).size());
        assertTrue(harness.sends(9999).isEmpty());
    }

    @Test
    void theNewestQueuedRequestThatMayCrossZonesIsSentRatherThanTheOldest() {
        BalancerHarness harness = fourServers();
        List<Long> old = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            old.add(harness.request());
        }
        harness.advance(100_000);
        List<Long> newer = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            newer.add(harness.request());
        }
        harness.advance(200_000); // the older requests may cross after 200 ms and have filled the other zone
        assertTrue(newer.stream().noneMatch(id -> harness.lastServer(id) == 4));
        harness.advance(30_000); // now the newer requests may cross as well
        harness.actions.stream()
                .filter(a -> a.kind().equals("send") && a.server() == 4)
                .toList()
                .forEach(a -> harness.endAttempt(a.id(), 0, Outcome.OK, 200_000));
        assertTrue(newer.stream().anyMatch(id -> harness.lastServer(id) == 4));
    }

    @Test
    void aColdServerGetsNoRequestThatItIsNotExpectedToAnswerInTime() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.safeSettings())
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        for (int i = 0; i < 40; i++) {
            harness.serveRequest(400_000);
        }
        harness.updateServers(Balancer.ListKind.FULL, BalancerHarness.server(3, 0, Balancer.Phase.READY, harness.now));
        long earlyRequest =
                harness.request(); // at a fifth of its capacity a request takes two seconds, and the aim is one
        assertEquals(-1, harness.lastServer(earlyRequest));
        harness.advance(15 * SECOND);
        assertEquals(3, harness.lastServer(harness.request()));
    }

    @Test
    void aSuspectedRestartExpiresUnlessTheServerListConfirmsIt() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 20; i++) {
            harness.serveRequest(50_000);
        }
        failProbes(harness, 1, 3); // the first is ignored because of the responses before it
        harness.advance(SECOND);
        harness.balancer.probeOutcome(harness.now, 1, Outcome.OK, 1000, NO_LOAD);
        harness.serveRequest(50_000); // the only request that a cold server may have in flight
        assertEquals(-1, harness.lastServer(harness.request()));
        harness.advance(6 * SECOND);
        for (int i = 0; i < 3; i++) {
            assertEquals(1, harness.lastServer(harness.request()));
        }
    }

    @Test
    void aLimitBelowOnePausesTheServerUntilAFewFastResponses() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(3, false, true, true, false, 0),
                        1,
                        13))
                .fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 10; i++) {
            harness.serveRequest(900_000); // slow
            harness.advance(2 * SECOND);
        }
        harness.serveRequest(20_000);
        long paused = harness.request();
        assertEquals(-1, harness.lastServer(paused), "one request of each of thirteen agents would be too much");
        harness.advance(100_000);
        assertEquals(1, harness.lastServer(paused));
        harness.endAttempt(paused, 0, Outcome.OK, 100_000);
        harness.advance(SECOND);
        harness.serveRequest(20_000);
        assertEquals(1, harness.lastServer(harness.request()), "three fast responses have raised the limit above one");
    }

    /** Returns a harness with one server, where first tries have a timeout of 3 s out of the 4 s for all tries. */
    private static BalancerHarness harnessWithKnownUsualTimeout(boolean busy) {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 60; i++) {
            harness.serveRequest(100_000);
        }
        for (int i = 0; busy && i < 30; i++) {
            harness.request();
        }
        return harness;
    }

    private static BalancerHarness.RecordedAction requestWithTimeout(BalancerHarness harness, long timeout) {
        int before = harness.actions.size();
        harness.balancer.request(
                harness.now, new Balancer.Request(777, 0, 0, 0, 0, harness.now + timeout, false, false));
        return harness.actions.subList(before, harness.actions.size()).stream()
                .filter(a -> a.id() == 777 && !a.kind().equals("timer"))
                .findFirst()
                .orElse(null);
    }

    @Test
    void anUnmarkedClientRetryIsRecognizedByItsShorterTimeoutAndRefusedWhileOthersWait() {
        assertEquals(
                "refuse",
                requestWithTimeout(harnessWithKnownUsualTimeout(true), 2 * SECOND)
                        .kind(),
                "two of four seconds have passed");
        assertEquals(null, requestWithTimeout(harnessWithKnownUsualTimeout(true), 3 * SECOND), "a first try is queued");
        assertEquals(
                null,
                requestWithTimeout(harnessWithKnownUsualTimeout(true), 3 * SECOND + 900_000),
                "an early retry has time left");
        assertEquals(
                "send",
                requestWithTimeout(harnessWithKnownUsualTimeout(false), 2 * SECOND)
                        .kind(),
                "it is served while no other request waits");
    }

    @Test
    void firstTriesAreNotTakenForRetriesIfEarlyRetriesHaveALongerTimeout() {
        BalancerHarness harness = harnessWithKnownUsualTimeout(false);
        for (int i = 0; i < 3; i++) {
            harness.balancer.request(
                    harness.now,
                    new Balancer.Request(900 + i, 0, 0, 0, 0, harness.now + 3 * SECOND + 900_000, false, false));
            harness.endAttempt(900 + i, 0, Outcome.OK, 1000);
        }
        for (int i = 0; i < 30; i++) {
            harness.request();
        }
        assertEquals(null, requestWithTimeout(harness, 3 * SECOND), "queued, not refused");
    }

    /**
     * With one agent and sixty servers, the limits of the servers are not reached and only the admission credit
     * applies.
     */
    private static BalancerHarness oneAgentWithSixtyServers() {
        Server[] servers = new Server[60];
        Arrays.setAll(servers, i -> BalancerHarness.server(i + 1, 0));
        return new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(1, false, true, false, false, 0),
                        1,
                        1))
                .fullList(servers);
    }

    /** Guards against sending on to servers where all requests time out: 26 of 50 requests per second were sent. */
    @Test
    void admissionCreditLimitsAttemptsThatTimeOutUntilResponsesReplenishIt() {
        BalancerHarness harness = oneAgentWithSixtyServers();
        assertTrue(harness.runLoad(4, Outcome.OK, 40_000, 50, 0) > 195, "all requests are sent while servers respond");
        harness.runLoad(8, Outcome.TIMEOUT, 900_000, 50, 0);
        int sent = harness.runLoad(2, Outcome.TIMEOUT, 900_000, 50, 0);
        assertTrue(sent > 0 && sent < 10, "some are still sent: " + sent);
        harness.runLoad(12, Outcome.OK, 40_000, 50, 0);
        assertTrue(harness.runLoad(2, Outcome.OK, 40_000, 50, 0) > 95, "all are sent again once servers respond");
    }

    /** Guards against slowly streamed responses that hold their credit until nothing is sent any more. */
    @Test
    void streamingResponsesHoldNoCredit() {
        BalancerHarness harness = withLimitedCredit(oneAgentWithSixtyServers());
        for (int i = 0; i < 60; i++) {
            long id = harness.request();
            harness.advance(20_000);
            assertEquals(1, harness.sends(id).size(), "after " + i + " streaming responses");
            harness.balancer.streamStarted(harness.now, id, 0, harness.lastServer(id), 20_000);
        }
    }

    /** Lets one attempt time out at an overloaded server; from then on the admission credit is limited. */
    private static BalancerHarness withLimitedCredit(BalancerHarness harness) {
        long lost = harness.request();
        harness.advance(900_000);
        harness.endAttempt(lost, 0, Outcome.TIMEOUT, 900_000);
        return harness;
    }

    /** Returns how many of a hundred simultaneous requests are sent. */
    private static int sentOfOneHundred(BalancerHarness harness) {
        int before = harness.actionsOfKind("send").size();
        for (int i = 0; i < 100; i++) {
            harness.request();
        }
        return harness.actionsOfKind("send").size() - before;
    }

    @Test
    void accumulatedCreditIsBounded() {
        assertEquals(
                100, sentOfOneHundred(oneAgentWithSixtyServers()), "no attempt has found an overloaded server yet");
        int sentWithLimitedCredit = sentOfOneHundred(withLimitedCredit(oneAgentWithSixtyServers()));
        assertTrue(
                sentWithLimitedCredit >= 10 && sentWithLimitedCredit < 30,
                "after one timeout: " + sentWithLimitedCredit);
        BalancerHarness served = withLimitedCredit(oneAgentWithSixtyServers());
        served.runLoad(60, Outcome.OK, 10_000, 20, 0);
        int sentAfterResponses = sentOfOneHundred(served);
        assertTrue(
                sentAfterResponses >= 20 && sentAfterResponses < 50,
                "not all credit of a minute's responses is kept: " + sentAfterResponses);
    }

    @Test
    void aStreamedResponseEarnsCreditOnlyOnce() {
        BalancerHarness harness = withLimitedCredit(oneAgentWithSixtyServers());
        sentOfOneHundred(harness); // uses up the credit
        int before = harness.actionsOfKind("send").size();
        List<BalancerHarness.RecordedAction> inFlight =
                harness.actionsOfKind("send").subList(1, before);
        for (BalancerHarness.RecordedAction send : inFlight) {
            harness.balancer.streamStarted(harness.now, send.id(), 0, send.server(), 20_000);
        }
        int sentAfterStart = harness.actionsOfKind("send").size() - before;
        for (BalancerHarness.RecordedAction send : inFlight) {
            harness.endAttempt(send.id(), 0, Outcome.OK, 20_000);
        }
        int sentAfterEnd = harness.actionsOfKind("send").size() - before - sentAfterStart;
        assertTrue(
                sentAfterStart >= inFlight.size() && sentAfterEnd <= 2,
                sentAfterStart + " sent when " + inFlight.size() + " streams started, " + sentAfterEnd
                        + " when they ended");
    }

    /** Attempts that fail fast did not find an overloaded server and cost no credit. */
    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "RESET", "CONNECT_FAILED", "NEVER_SENT"})
    void failuresNotCausedByOverloadReturnTheirCredit(Outcome outcome) {
        BalancerHarness harness = withLimitedCredit(oneAgentWithSixtyServers());
        for (int i = 0; i < 40; i++) {
            long id = harness.request();
            harness.advance(10_000);
            assertEquals(1, harness.sends(id).size(), "after " + i);
            harness.endAttempt(id, 0, outcome, 10_000);
        }
    }

    @Test
    void timeoutsOfClientsWithShortDeadlinesCostNoCredit() {
        BalancerHarness harness = oneAgentWithSixtyServers();
        harness.runLoad(10, Outcome.OK, 100_000, 20, 0);
        for (int i = 0; i < 100; i++) {
            long id = 1_000 + i;
            assertEquals("send", requestWithShortDeadline(harness, id, 5_000 + i, false), "after " + i);
            harness.advance(49_000);
            harness.endAttempt(id, 0, Outcome.TIMEOUT, 49_000);
            harness.advance(SECOND);
        }
    }

    /** If clients mark their retries and send no cost hints, a request with a short timeout is a first try. */
    @Test
    void shortTimeoutsAreNotTakenForRetriesOnceClientsMarkThem() {
        BalancerHarness harness = harnessWithKnownUsualTimeout(false);
        harness.serveRequest(100_000);
        harness.clientRetry();
        harness.endAttempt(
                harness.actionsOfKind("send")
                        .get(harness.actionsOfKind("send").size() - 1)
                        .id(),
                0,
                Outcome.OK,
                1_000);
        int sentBefore = harness.actionsOfKind("send").size();
        for (int i = 0; i < 30; i++) {
            harness.request();
        }
        assertEquals(null, requestWithTimeout(harness, 2 * SECOND), "queued like all others, not refused");
        assertTrue(harness.actionsOfKind("send").size() > sentBefore);
    }

    /** The elapsed time is counted from the first try, not from the previous one. */
    @Test
    void theElapsedTimeOfAThirdTryCountsFromTheFirst() {
        BalancerHarness harness = harnessWithKnownUsualTimeout(false);
        for (int i = 0; i < 2; i++) {
            harness.balancer.request(
                    harness.now, new Balancer.Request(901 + i, 0, 0, 0, 5_000, harness.now + 3 * SECOND, i > 0, false));
            harness.balancer.clientLeft(harness.now, 901 + i);
            harness.endAttempt(901 + i, 0, Outcome.CANCELLED, 0);
            harness.advance(600_000);
        }
        harness.balancer.request(
                harness.now, new Balancer.Request(903, 0, 0, 0, 5_000, harness.now + 3 * SECOND, true, false));
        assertEquals(1, harness.actionsFor("refuse", 903).size(), "1.2 s have passed of an aim of 1 s");
    }

    @Test
    void recordedUnservedRequestsAreBounded() {
        BalancerHarness harness = harnessWithKnownUsualTimeout(false);
        for (int i = 0; i < 1_100; i++) {
            requestWithShortDeadline(harness, 2_000 + i, 5_000 + i, false);
            harness.balancer.clientLeft(harness.now, 2_000 + i);
            if (!harness.sends(2_000 + i).isEmpty()) {
                harness.endAttempt(2_000 + i, 0, Outcome.CANCELLED, 0);
            }
        }
        harness.advance(3 * SECOND);
        for (int i : new int[] {0, 1_099}) { // the first has been dropped, the last is known to be past its aim
            harness.balancer.request(
                    harness.now,
                    new Balancer.Request(9_000 + i, 0, 0, 0, 5_000 + i, harness.now + 3 * SECOND, true, false));
            assertEquals(i == 0 ? 0 : 1, harness.actionsFor("refuse", 9_000 + i).size(), "number " + i);
        }
    }

    private static Server drainingServer(long id) {
        return BalancerHarness.server(id, 0, Balancer.Phase.DRAINING, 0);
    }

    @Test
    void queuedRetriesMoveToOtherServersWhenHalfTheSubsetDrainsAndEndOnce() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(6, false, true, false, false, 0),
                        1,
                        1))
                .fullList(
                        BalancerHarness.server(1, 0),
                        BalancerHarness.server(2, 0),
                        BalancerHarness.server(3, 0),
                        BalancerHarness.server(4, 0),
                        BalancerHarness.server(5, 0),
                        BalancerHarness.server(6, 0));
        for (int i = 0; i < 100; i++) {
            harness.request(); // more than all servers have capacity for
        }
        List<BalancerHarness.RecordedAction> first = List.copyOf(harness.actionsOfKind("send"));
        List<BalancerHarness.RecordedAction> failed = first.subList(0, 8);
        failed.forEach(send -> harness.endAttempt(send.id(), 0, Outcome.ERROR, 1_000));
        assertTrue(failed.stream().anyMatch(send -> harness.sends(send.id()).size() == 1), "retries wait");
        int before = harness.actionsOfKind("send").size();
        harness.updateServers(Balancer.ListKind.DELTA, drainingServer(1), drainingServer(2), drainingServer(3));
        harness.advance(100_000);
        first.subList(8, first.size()).forEach(send -> harness.endAttempt(send.id(), 0, Outcome.OK, 100_000));
        harness.advance(2 * SECOND);
        List<BalancerHarness.RecordedAction> after = harness.actionsOfKind("send")
                .subList(before, harness.actionsOfKind("send").size());
        assertTrue(after.stream().allMatch(send -> send.server() > 3), "no new request to draining servers");
        assertTrue(
                after.stream().anyMatch(send -> failed.stream().anyMatch(failedSend -> failedSend.id() == send.id())),
                "retries are sent");
        for (BalancerHarness.RecordedAction send : failed) {
            assertEquals(
                    1,
                    harness.actionsFor("refuse", send.id()).size()
                            + harness.actionsFor("fail", send.id()).size(),
                    "one final answer");
        }
    }

    /** The clock advances by the processor time used and may jump. Nothing may be sent after its expiry then. */
    @Test
    void aQueuedRequestThatExpiresInAClockJumpIsRefusedAndNotSent() {
        BalancerHarness harness = harnessWithKnownUsualTimeout(true);
        BalancerHarness.RecordedAction out =
                harness.actionsOfKind("send").get(harness.actionsOfKind("send").size() - 1);
        harness.balancer.request(
                harness.now, new Balancer.Request(901, 0, 0, 0, 5_000, harness.now + 150_000, false, false));
        assertTrue(
                harness.sends(901).isEmpty()
                        && harness.actionsFor("refuse", 901).isEmpty(),
                "queued");
        harness.now += 200_000; // no timer has fired yet
        int sent = harness.actionsOfKind("send").size();
        harness.endAttempt(
                out.id(), 0, Outcome.OK, 100_000); // frees capacity for one, and the newest is considered first
        assertTrue(harness.sends(901).isEmpty());
        harness.advance(BalancerHarness.TICK);
        assertEquals(1, harness.actionsFor("refuse", 901).size(), "refused at once");
        harness.advance(50_000);
        assertTrue(harness.actionsOfKind("send").size() > sent, "there is capacity, and another request is sent");
    }

    /** Sends a request of a client that waits only a fraction of the usual latency; returns the immediate action. */
    private static String requestWithShortDeadline(BalancerHarness harness, long id, long cost, boolean repeated) {
        int before = harness.actions.size();
        harness.balancer.request(
                harness.now, new Balancer.Request(id, 0, 0, 0, cost, harness.now + 50_000, repeated, false));
        return harness.actions.subList(before, harness.actions.size()).stream()
                .filter(a -> a.id() == id && !a.kind().equals("timer"))
                .map(BalancerHarness.RecordedAction::kind)
                .findFirst()
                .orElse("queued");
    }

    /** Guards against refusing such a retry at once because its short timeout is taken for elapsed time. */
    @Test
    void theRetryOfAClientWithAShortDeadlineIsServedIfThereIsCapacity() {
        BalancerHarness harness = harnessWithKnownUsualTimeout(false);
        assertEquals("send", requestWithShortDeadline(harness, 901, 5_000, false));
        harness.advance(49_000);
        harness.endAttempt(901, 0, Outcome.TIMEOUT, 49_000);
        harness.advance(300_000);
        assertEquals("send", requestWithShortDeadline(harness, 902, 5_000, true));
    }

    /** Guards against estimating the time since a retry's first try from other requests of its class. */
    @Test
    void aRetryRecognizedByItsCostHintIsRefusedOnceItsFirstTryIsPastTheAim() {
        BalancerHarness harness = harnessWithKnownUsualTimeout(false);
        requestWithShortDeadline(harness, 901, 5_000, false);
        harness.balancer.clientLeft(harness.now, 901);
        harness.endAttempt(901, 0, Outcome.CANCELLED, 0);
        harness.advance(500_000);
        assertEquals("send", requestWithShortDeadline(harness, 902, 6_000, true), "the retry of another request");
        harness.advance(3 * SECOND);
        harness.balancer.request(
                harness.now, new Balancer.Request(903, 0, 0, 0, 5_000, harness.now + 3 * SECOND, true, false));
        assertEquals(1, harness.actionsFor("refuse", 903).size());
        assertTrue(harness.sends(903).isEmpty());
    }

    /** Guards against requests that are unlikely to be answered in time taking capacity from those that are. */
    @Test
    void clientsWithShortDeadlinesAreRefusedWhileOtherRequestsAreShed() {
        BalancerHarness harness = harnessWithKnownUsualTimeout(true);
        harness.clientRetry(); // clients mark their retries
        harness.advance(SECOND + 10_000); // the queued requests are shed
        assertEquals("refuse", requestWithShortDeadline(harness, 901, 5_000, false));
        harness.actionsOfKind("send").stream()
                .filter(send -> send.id() < 900)
                .forEach(send -> harness.endAttempt(send.id(), 0, Outcome.TIMEOUT, SECOND));
        harness.advance(6 * SECOND);
        assertEquals(
                "send", requestWithShortDeadline(harness, 902, 6_000, false), "a second later there is capacity again");
    }

    @Test
    void allAgentsSendAKeyToTheSameTwoServers() {
        var settings = BalancerHarness.settings(
                List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                new Permits(3, false, true, true, false, 0),
                1,
                2,
                false,
                true,
                List.of());
        BalancerHarness one = new BalancerHarness(settings, 1);
        BalancerHarness other = new BalancerHarness(settings, 2);
        for (BalancerHarness harness : List.of(one, other)) {
            harness.fullList(
                    BalancerHarness.server(1, 0),
                    BalancerHarness.server(2, 0),
                    BalancerHarness.server(3, 0),
                    BalancerHarness.server(4, 0));
        }
        for (long key = 1; key < 30; key++) {
            long a = one.request(0, key);
            long b = other.request(0, key);
            assertEquals(one.lastServer(a), other.lastServer(b));
            one.endAttempt(a, 0, Outcome.OK, 1000);
            other.endAttempt(b, 0, Outcome.OK, 1000);
        }
    }

    private static Balancer.Settings warmKeySettings(int zones) {
        return BalancerHarness.settings(
                List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                new Permits(3, false, true, true, false, 0),
                zones,
                2,
                false,
                true,
                List.of());
    }

    @Test
    void aHotKeySpreadsBeforeItsServersAreFull() {
        BalancerHarness harness = new BalancerHarness(warmKeySettings(1), 1);
        harness.fullList(
                BalancerHarness.server(1, 0),
                BalancerHarness.server(2, 0),
                BalancerHarness.server(3, 0),
                BalancerHarness.server(4, 0));
        Map<Long, Integer> sent = new HashMap<>();
        for (int i = 0; i < 12; i++) {
            sent.merge(harness.lastServer(harness.request(0, 42)), 1, Integer::sum);
        }
        assertTrue(sent.size() >= 3, sent.toString());
        assertTrue(Collections.max(sent.values()) <= 5, sent.toString());
    }

    @Test
    void ofAKeysTwoServersTheLessBusyIsPickedAndTheFirstOnATie() {
        BalancerHarness harness = new BalancerHarness(warmKeySettings(1), 1);
        harness.fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        List<Long> sent = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sent.add(harness.lastServer(harness.request(0, 42)));
        }
        long firstServer = sent.get(0);
        assertEquals(List.of(firstServer, 3 - firstServer, firstServer, 3 - firstServer), sent);
    }

    @Test
    void sameKeysCrossZonesAtOnceAfterRequestsHadToWait() {
        BalancerHarness harness = new BalancerHarness(warmKeySettings(2), 1);
        harness.fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        Set<Long> crossedAtFirst = keysSentToOtherZone(harness);
        assertEquals(Set.of(), crossedAtFirst);
        for (int round = 0; round < 20; round++) {
            List<Long> out = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                out.add(harness.request(0, 1000 + i));
            }
            harness.advance(SECOND / 4);
            while (!out.isEmpty()) {
                List<Long> sent =
                        out.stream().filter(r -> !harness.sends(r).isEmpty()).toList();
                sent.forEach(r -> harness.endAttempt(r, 0, Outcome.OK, SECOND / 4));
                out.removeAll(sent);
                out.removeIf(r -> !harness.actionsFor("refuse", r).isEmpty());
                harness.advance(BalancerHarness.TICK);
            }
            harness.advance(2 * SECOND);
        }
        Set<Long> crossedKeys = keysSentToOtherZone(harness);
        assertTrue(!crossedKeys.isEmpty() && crossedKeys.size() < 100, crossedKeys.size() + " of 100 keys cross zones");
        assertTrue(
                crossedKeys.containsAll(keysSentToOtherZone(harness)), "the same keys, and fewer as the zone is idle");
    }

    /** Returns which of a hundred keys, requested one at a time, are sent to zone 1 at once. */
    private static Set<Long> keysSentToOtherZone(BalancerHarness harness) {
        Set<Long> crossed = new TreeSet<>();
        for (long key = 1; key <= 100; key++) {
            long id = harness.request(0, key);
            if (harness.lastServer(id) == 2) {
                crossed.add(key);
            }
            harness.endAttempt(id, 0, Outcome.OK, SECOND / 4);
        }
        return crossed;
    }

    @Test
    void discoverySubscriptionIsRetriedAfterAFailureWithBackoff() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(
                List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                new Permits(3, false, true, true, false, 0),
                1,
                2,
                true,
                false,
                List.of()));
        assertEquals(1, harness.actionsOfKind("watch").size());
        for (int i = 0; i < 3; i++) {
            harness.updateServers(Balancer.ListKind.FAILED);
            harness.advance(9 * SECOND);
        }
        List<BalancerHarness.RecordedAction> watches = harness.actionsOfKind("watch");
        assertEquals(4, watches.size());
    }

    private static BalancerHarness oneOfMany(int agents, int servers) {
        Server[] list = new Server[servers];
        for (int i = 0; i < servers; i++) {
            list[i] = BalancerHarness.server(i + 1, 0);
        }
        return new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(4, false, true, false, false, 0),
                        1,
                        agents))
                .fullList(list);
    }

    private static long serversUsed(BalancerHarness harness) {
        return harness.actionsOfKind("send").stream()
                .map(BalancerHarness.RecordedAction::server)
                .distinct()
                .count();
    }

    /** Guards against an agent with little traffic, one of hundreds, opening connections to every server. */
    @Test
    void aLightAgentAmongManyUsesFewServersAndABusyOneUsesMore() {
        BalancerHarness light = oneOfMany(400, 40);
        for (int i = 0; i < 60; i++) {
            light.serveRequest(50_000);
            light.advance(SECOND);
        }
        assertTrue(serversUsed(light) >= 2 && serversUsed(light) <= 4, "used " + serversUsed(light));
        BalancerHarness heavy = oneOfMany(400, 40);
        for (int i = 0; i < 400; i++) {
            List<Long> ids = new ArrayList<>();
            for (int k = 0; k < 8; k++) {
                ids.add(heavy.request());
            }
            heavy.advance(50_000);
            for (long id : ids) {
                if (!heavy.sends(id).isEmpty()) {
                    heavy.endAttempt(id, heavy.sends(id).size() - 1, Outcome.OK, 50_000);
                }
            }
        }
        assertTrue(serversUsed(heavy) >= 12, "used " + serversUsed(heavy));
        BalancerHarness agentOfFour = oneOfMany(4, 40);
        for (int i = 0; i < 400; i++) {
            agentOfFour.serveRequest(50_000);
        }
        assertTrue(serversUsed(agentOfFour) >= 30, "used " + serversUsed(agentOfFour));
    }

    /** Guards against a subset that grows with the requests in flight, which would increase an overload. */
    @Test
    void overloadDoesNotWidenTheSubset() {
        BalancerHarness harness = oneOfMany(400, 40);
        for (int i = 0; i < 20; i++) {
            harness.serveRequest(50_000);
            harness.advance(SECOND / 2);
        }
        for (int i = 0; i < 60; i++) {
            long id = harness.request();
            harness.advance(2 * SECOND);
            if (!harness.sends(id).isEmpty()) {
                harness.endAttempt(id, 0, Outcome.OK, 2 * SECOND);
            }
        }
        assertTrue(serversUsed(harness) <= 4, "used " + serversUsed(harness));
    }

    @Test
    void failedServersOfASubsetAreReplaced() {
        BalancerHarness harness = oneOfMany(400, 40);
        for (int i = 0; i < 20; i++) {
            harness.serveRequest(50_000);
        }
        List<Long> first = harness.actionsOfKind("send").stream()
                .map(BalancerHarness.RecordedAction::server)
                .distinct()
                .toList();
        for (long server : first) {
            harness.balancer.probeOutcome(harness.now, server, Outcome.CONNECT_FAILED, SECOND, NO_LOAD);
            harness.advance(SECOND);
            harness.balancer.probeOutcome(harness.now, server, Outcome.CONNECT_FAILED, SECOND, NO_LOAD);
        }
        long id = harness.request();
        assertTrue(!first.contains(harness.lastServer(id)) && harness.lastServer(id) > 0);
    }

    /** Replacements of failed servers have to be probed too, or the health of the servers in use would be unknown. */
    @Test
    void replacementServersAreProbedIfAWholeSubsetFails() {
        Server[] list = new Server[40];
        for (int i = 0; i < list.length; i++) {
            list[i] = BalancerHarness.server(i + 1, 0);
        }
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(4, false, true, true, false, 0),
                        1,
                        400))
                .fullList(list);
        for (int i = 0; i < 200_000 && harness.actionsOfKind("probe").size() < 30; i++) {
            int before = harness.actionsOfKind("probe").size();
            harness.advance(20 * BalancerHarness.TICK);
            harness.actionsOfKind("probe").stream()
                    .skip(before)
                    .toList()
                    .forEach(probe -> harness.balancer.probeOutcome(
                            harness.now, probe.server(), Outcome.CONNECT_FAILED, SECOND, NO_LOAD));
        }
        long probed = harness.actionsOfKind("probe").stream()
                .map(BalancerHarness.RecordedAction::server)
                .distinct()
                .count();
        assertTrue(probed > 3, "probed " + probed);
    }

    /**
     * A server with a full connection table refuses connections while it serves the existing ones. So it has to back
     * off for every class, but has not restarted.
     */
    @Test
    void aRefusedConnectionBacksOffTheServerForEveryClassAndIsNotARestart() {
        var types = List.of(
                BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL),
                BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL));
        BalancerHarness harness = new BalancerHarness(
                        BalancerHarness.settings(types, new Permits(4, false, true, false, false, 0), 1, 2))
                .fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 20; i++) {
            harness.serveRequest(100_000);
        }
        long refused = harness.request();
        harness.endAttempt(refused, 0, Outcome.CONNECT_FAILED, 1_000);
        assertEquals(-1, harness.lastServer(harness.request(1, 0)), "the other class waits as well");
        harness.advance(SECOND);
        assertEquals(1, harness.lastServer(harness.request(1, 0)));
        harness.advance(SECOND);
        harness.serveRequest(100_000);
        assertTrue(!harness.hasLogged("cold"), String.join("; ", harness.logLines));
    }

    /** Guards against taking a relisted server for idle while requests are in flight there. */
    @Test
    void aRelistedServerKeepsItsCountOfRequestsInFlight() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(4, false, true, false, false, 0),
                        1,
                        2))
                .fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 3; i++) {
            harness.request();
        }
        assertEquals(3, harness.actionsOfKind("send").size());
        harness.fullList(BalancerHarness.server(2, 0));
        harness.fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        for (int i = 0; i < 3; i++) {
            assertEquals(2, harness.lastServer(harness.request()), "the less loaded server");
        }
    }

    @Test
    void ofTwoServersWithEqualRequestsInFlightTheFasterIsPickedMoreOften() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(4, false, true, false, false, 0),
                        1,
                        4))
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        int toFast = 0;
        for (int i = 0; i < 100; i++) {
            long id = harness.request();
            long elapsed = harness.lastServer(id) == 1 ? 40_000 : 120_000;
            harness.advance(elapsed);
            harness.endAttempt(id, 0, Outcome.OK, elapsed);
            toFast += harness.lastServer(id) == 1 ? 1 : 0;
        }
        assertTrue(toFast >= 85, "sent to the faster server: " + toFast);
    }

    /** Guards against hundreds of agents that each send a request to every server of their subsets at once. */
    @Test
    void manyAgentsTogetherStartWithFewRequestsInFlight() {
        BalancerHarness harness = oneOfMany(400, 40);
        for (int i = 0; i < 10; i++) {
            harness.request();
        }
        assertEquals(1, harness.actionsOfKind("send").size());
        BalancerHarness agentOfTwo = oneOfMany(2, 3);
        for (int i = 0; i < 10; i++) {
            agentOfTwo.request();
        }
        assertEquals(10, agentOfTwo.actionsOfKind("send").size());
    }

    /** Guards against pausing a server after a late response for no longer than after a slow one. */
    @Test
    void aResponsePastTheAimPausesAServerForLongerThanASlowOne() {
        long[] sentAgainAfter = new long[2];
        for (int run = 0; run < 2; run++) {
            BalancerHarness harness = oneOfMany(100, 1);
            for (int i = 0; i < 5; i++) {
                harness.serveRequest(50_000);
                harness.advance(SECOND);
            }
            long slow = harness.request();
            long elapsed = run == 0 ? 900_000 : 1_100_000; // the aim is one second
            harness.advance(elapsed);
            harness.balancer.outcome(
                    harness.now, slow, 0, harness.lastServer(slow), Outcome.OK, elapsed, true, NO_LOAD);
            long began = harness.now;
            int sends = harness.actionsOfKind("send").size();
            while (harness.actionsOfKind("send").size() == sends && harness.now < began + 60 * SECOND) {
                harness.request();
                harness.advance(SECOND / 10);
            }
            sentAgainAfter[run] = harness.now - began;
        }
        assertTrue(sentAgainAfter[1] >= 2 * sentAgainAfter[0], sentAgainAfter[0] + " and " + sentAgainAfter[1]);
    }
}
