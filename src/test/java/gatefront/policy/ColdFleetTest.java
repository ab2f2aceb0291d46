package gatefront.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Permits;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import gatefront.policy.Balancer.Server;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what all agents together send to servers that have just started, if many start at once. */
class ColdFleetTest {
    private static final int AGENTS = 14;
    private static final int SERVERS = 30;
    /** Requests per second of each agent. Each server's share of all requests is 14 per second. */
    private static final int REQUESTS_PER_SECOND = 30;

    private static BalancerHarness harness(long seed, int zones) {
        return new BalancerHarness(
                BalancerHarness.settings(
                        List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                        new Permits(4, false, true, false, false, 0),
                        zones,
                        AGENTS),
                seed);
    }

    private static Server[] servers(int from, int count, int zone, long startedAt) {
        Server[] list = new Server[count];
        for (int i = 0; i < count; i++) {
            list[i] = BalancerHarness.server(from + i, zone, Phase.READY, startedAt);
        }
        return list;
    }

    /** Sends requests at an even rate; each attempt is answered after the given latency in microseconds. */
    private static void runLoad(BalancerHarness harness, double seconds, long latency) {
        runLoad(harness, seconds, latency, REQUESTS_PER_SECOND);
    }

    private static void runLoad(BalancerHarness harness, double seconds, long latency, int requestsPerSecond) {
        harness.runLoad(seconds, Outcome.OK, latency, requestsPerSecond, 0);
    }

    private static long sentToServersFrom(BalancerHarness harness, long id) {
        return harness.actionsOfKind("send").stream()
                .filter(action -> action.server() >= id)
                .count();
    }

    /**
     * An agent that has just started does not know the request rate of any warm server. Guards against sending too
     * little to a zone that started together with the agent: only 15 of 120 requests were sent.
     */
    @Test
    void anAgentThatStartsTogetherWithItsColdZoneUsesIt() {
        BalancerHarness harness = harness(7, 1).fullList(servers(1, SERVERS, 0, BalancerHarness.SECOND * 98));
        runLoad(harness, 4, 50_000);
        long sent = sentToServersFrom(harness, 1);
        assertTrue(sent > 4 * REQUESTS_PER_SECOND * 0.6, "sent " + sent);
    }

    /** Guards against an agent sending almost nothing to a restarted zone that it has not used before. */
    @Test
    void aColdZoneIsUsedByAgentsThatNeverSentToItBefore() {
        BalancerHarness harness = harness(7, 2).fullList(servers(1, 2, 0, 0));
        runLoad(harness, 5, 400_000); // far more than two servers can handle
        Server[] both = new Server[SERVERS + 2];
        System.arraycopy(servers(1, 2, 0, 0), 0, both, 0, 2);
        System.arraycopy(servers(101, SERVERS, 1, harness.now), 0, both, 2, SERVERS);
        harness.fullList(both);
        runLoad(harness, 4, 400_000);
        long sent = sentToServersFrom(harness, 101);
        assertTrue(sent > 20, "sent " + sent);
    }

    /** Checks rule 4 at 0.7 of the capacity: three times the warm share is never reached. */
    @Test
    void allAgentsTogetherDoNotOverloadAColdServer() {
        assertNoColdServerIsOverloaded(REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
    }

    /** Checks the same if one agent has ten times the requests of each other agent. */
    @Test
    void allAgentsTogetherDoNotOverloadAColdServerIfOneHasTenTimesTheRequests() {
        assertNoColdServerIsOverloaded(10 * REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
    }

    private static void assertNoColdServerIsOverloaded(int first, int others) {
        double capacity = (first + (AGENTS - 1) * others) / 0.7 / SERVERS;
        long[] sent = new long[SERVERS + 1];
        for (int agent = 0; agent < AGENTS; agent++) {
            int requestsPerSecond = agent == 0 ? first : others;
            BalancerHarness harness = harness(agent, 1).fullList(servers(1, SERVERS, 0, 0));
            runLoad(harness, 5, 50_000, requestsPerSecond);
            harness.fullList(servers(1, SERVERS, 0, harness.now));
            int before = harness.actionsOfKind("send").size();
            runLoad(harness, 1, 50_000, requestsPerSecond);
            harness.actionsOfKind("send").stream().skip(before).forEach(action -> sent[(int) action.server()]++);
        }
        for (long count : sent) {
            assertTrue(count < 3 * 0.2 * capacity, count + " of " + 3 * 0.2 * capacity);
        }
    }

    /** Full size: 120 of 200 servers start at once, and all 100 agents learn of it in the same millisecond. */
    @Test
    void aHundredAgentsDoNotOverloadManyServersThatStartAtOnce() {
        int requestsPerSecond = 10;
        long[] sent = new long[221];
        for (int agent = 0; agent < 100; agent++) {
            BalancerHarness harness = new BalancerHarness(
                            BalancerHarness.forAgent(
                                    agent,
                                    BalancerHarness.settings(
                                            List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                                            new Permits(4, false, true, false, false, 0),
                                            1,
                                            100)),
                            agent)
                    .fullList(servers(1, 80, 0, 0));
            runLoad(harness, 5, 50_000, requestsPerSecond);
            harness.updateServers(ListKind.DELTA, servers(101, 120, 0, harness.now));
            int before = harness.actionsOfKind("send").size();
            runLoad(harness, 3, 50_000, requestsPerSecond);
            harness.actionsOfKind("send").stream().skip(before).forEach(action -> sent[(int) action.server()]++);
        }
        long[] fresh = Arrays.stream(sent).skip(101).sorted().toArray();
        // Each can handle 0.2 to 0.32 of 1,000 / 0.7 / 200 a second: 5.6 in the 3 s, and fails at three times that.
        double capacity = 3 * 0.26 * 100 * requestsPerSecond / 0.7 / 200;
        assertTrue(fresh[119] < 3 * capacity, "maximum " + fresh[119] + " of " + 3 * capacity);
        assertTrue(fresh[60] > 0.5 * capacity, "half of the servers got at most " + fresh[60] + " of " + capacity);
    }

    /**
     * The settings give the worst-case latency of a cold server. Guards against a cold server that is faster than that
     * getting no requests for as long as one that is not.
     */
    @Test
    void measuredColdLatencyDecidesWhetherColdServersAreUsed() {
        BalancerHarness fast = harness(7, 1).fullList(servers(1, SERVERS, 0, 0));
        runLoad(fast, 5, 300_000); // at a fifth of the capacity it takes 1.5 s, and the aim is 1 s
        fast.fullList(servers(101, SERVERS, 0, fast.now));
        runLoad(fast, 3, 400_000);
        assertTrue(sentToServersFrom(fast, 101) > 3 * REQUESTS_PER_SECOND / 2, "fast: " + sentToServersFrom(fast, 101));
        BalancerHarness slow = harness(7, 1).fullList(servers(1, SERVERS, 0, 0));
        runLoad(slow, 5, 300_000);
        slow.fullList(servers(101, SERVERS, 0, slow.now));
        runLoad(slow, 3, 1_400_000);
        assertTrue(
                2 * sentToServersFrom(slow, 101) < sentToServersFrom(fast, 101),
                "slow: " + sentToServersFrom(slow, 101));
    }

    private static BalancerHarness harnessWithLoadReports(int agents) {
        var s = BalancerHarness.settings(
                List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                new Permits(4, false, true, false, false, 0),
                1,
                agents);
        return new BalancerHarness(
                BalancerHarness.withPrices(s, s.prices(), s.obligations(), Balancer.LoadField.QUEUED), 7);
    }

    /** Returns how many requests are sent to cold servers that report the given number of queued requests. */
    private static int sentWithQueueReport(double queued) {
        BalancerHarness harness = harnessWithLoadReports(AGENTS);
        harness.loadReport = new double[] {queued};
        runLoad(harness, 5, 50_000);
        harness.fullList(servers(1, SERVERS, 0, harness.now));
        int before = harness.actionsOfKind("send").size();
        runLoad(harness, 4, 50_000);
        return harness.actionsOfKind("send").size() - before;
    }

    /**
     * A cold server's load report reflects the requests of all agents. Guards against a server that keeps up easily
     * getting no more than one that has a queue.
     */
    @Test
    void aColdServerThatKeepsUpGetsMoreThanOneThatReportsAQueue() {
        int idle = sentWithQueueReport(0);
        int queueing = sentWithQueueReport(3);
        assertTrue(idle > 1.3 * queueing, idle + " and " + queueing);
        assertTrue(queueing > 0);
        assertTrue(sentWithQueueReport(Double.NaN) < idle, "an invalid report is ignored");
    }

    /** Guards against an agent overloading a server that reports a queue because its own responses are in time. */
    @Test
    void aServerThatReportsAQueueGetsFewerRequestsAtOnce() {
        int[] sent = new int[2];
        for (int busy = 0; busy < 2; busy++) {
            BalancerHarness harness =
                    harnessWithLoadReports(2).fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
            harness.loadReport = new double[] {busy == 0 ? 0 : 2};
            runLoad(harness, 5, 100_000);
            for (int i = 0; i < 20; i++) {
                harness.request();
            }
            sent[busy] = (int) harness.actionsOfKind("send").stream()
                    .filter(action -> action.id() > 150)
                    .count();
        }
        assertTrue(sent[1] < sent[0], sent[0] + " and " + sent[1]);
    }

    /**
     * The rate is bounded even if the server keeps up, since reports lag behind and all agents act on the same
     * report.
     */
    @Test
    void theRateToAColdServerThatKeepsUpIsBounded() {
        var s = BalancerHarness.settings(
                List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                new Permits(4, false, true, false, false, 0),
                1,
                1);
        double warmShare = 0.02;
        BalancerHarness harness = new BalancerHarness(
                BalancerHarness.withPrices(
                        s,
                        s.prices(),
                        new Balancer.Obligations(
                                20_000,
                                500_000,
                                warmShare,
                                10_000 * BalancerHarness.SECOND,
                                3,
                                BalancerHarness.SECOND,
                                10 * BalancerHarness.SECOND),
                        Balancer.LoadField.QUEUED),
                7);
        harness.loadReport = new double[] {0};
        harness.fullList(servers(1, 4, 0, 0));
        int requestsPerSecond = 200; // one request per tick
        runLoad(harness, 3, 10_000, requestsPerSecond);
        harness.fullList(servers(1, 4, 0, harness.now));
        runLoad(harness, 10, 10_000, requestsPerSecond);
        int before = harness.actionsOfKind("send").size();
        runLoad(harness, 5, 10_000, requestsPerSecond);
        int sent = harness.actionsOfKind("send").size() - before;
        double max = 5 * requestsPerSecond * warmShare * 4;
        assertTrue(sent > max / 2 && sent <= 1.2 * max, sent + " sent of at most " + max);
    }

    /** Guards against counting client retries as demand, so that the rate to cold servers grows with the overload. */
    @Test
    void clientRetriesDoNotRaiseTheRateToColdServers() {
        int[] sent = new int[2];
        for (int retries = 0; retries < 2; retries++) {
            BalancerHarness harness = harness(7, 1).fullList(servers(1, SERVERS, 0, 0));
            runLoad(harness, 5, 50_000);
            harness.fullList(servers(1, SERVERS, 0, harness.now));
            int before = harness.actionsOfKind("send").size();
            harness.runLoad(3, Outcome.OK, 20_000, REQUESTS_PER_SECOND, 5 * retries);
            sent[retries] = harness.actionsOfKind("send").size() - before;
        }
        assertTrue(
                sent[0] > REQUESTS_PER_SECOND && sent[1] < 2 * sent[0],
                sent[0] + " without and " + sent[1] + " with retries");
    }

    /**
     * Lets attempts at cold servers time out after the given times; returns whether a long request is then sent
     * there.
     */
    private static boolean isUsedAfterTimeouts(long... timeouts) {
        var types = List.of(
                BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL),
                BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL));
        BalancerHarness harness = new BalancerHarness(
                        BalancerHarness.settings(types, new Permits(1, false, true, false, false, 0), 1, 1), 7)
                .fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 40; i++) {
            for (int type = 0; type < 2; type++) {
                long id = harness.request(type, 0);
                harness.endAttempt(id, 0, Outcome.OK, type == 0 ? 20_000 : 450_000);
                harness.advance(10_000);
            }
        }
        harness.fullList(servers(101, 300, 0, harness.now));
        harness.advance(timeouts.length == 0 ? BalancerHarness.SECOND / 2 : 0);
        for (long timeout : timeouts) {
            int ended = 0;
            for (int i = 0; i < 2_000; i++) { // few are sent once timeouts have used up the credit
                long id = harness.request(0, 0);
                if (harness.lastServer(id) > 100) {
                    harness.endAttempt(id, 0, Outcome.TIMEOUT, timeout);
                    ended++;
                }
                harness.advance(BalancerHarness.TICK);
            }
            assertTrue(ended > 20, "timeouts: " + ended);
        }
        harness.advance(BalancerHarness.SECOND); // the backoff after the timeouts is over, and there is capacity again
        return harness.lastServer(harness.request(1, 0)) > 100;
    }

    /**
     * An attempt that times out would have taken longer, however short its timeout was. Guards against attempts that
     * are sent late in a request's lifetime making cold servers seem faster.
     */
    @Test
    void timeoutsNeverMakeColdServersSeemFaster() {
        assertTrue(isUsedAfterTimeouts(), "initial estimate: 1 s of work at a fifth of the capacity, halved");
        assertFalse(isUsedAfterTimeouts(900_000), "cold servers are slow");
        assertFalse(isUsedAfterTimeouts(900_000, 1_000), "and do not seem faster after short timeouts");
    }

    /** Servers may report their load to probes only. */
    @Test
    void loadReportsOfProbesCountLikeThoseOfResponses() {
        int[] sent = new int[2];
        for (int queued = 0; queued < 2; queued++) {
            BalancerHarness harness = harnessWithLoadReports(AGENTS);
            runLoad(harness, 5, 50_000);
            harness.fullList(servers(1, SERVERS, 0, harness.now));
            for (int i = 0; i < 8; i++) {
                for (int server = 1; server <= SERVERS; server++) {
                    harness.balancer.probeOutcome(harness.now, server, Outcome.OK, 1_000, new double[] {3 * queued});
                }
            }
            int before = harness.actionsOfKind("send").size();
            runLoad(harness, 3, 50_000);
            sent[queued] = harness.actionsOfKind("send").size() - before;
        }
        assertTrue(sent[0] > 1.3 * sent[1], sent[0] + " and " + sent[1]);
    }

    /** Requests to cold servers are shared by their listed weights. */
    @Test
    void aColdServerOfHigherWeightGetsMoreRequests() {
        BalancerHarness harness = harness(7, 1);
        Server[] list = new Server[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            list[i] = new Server(i + 1, 0, 0, 0, Phase.READY, i < SERVERS / 2 ? 1 : 4, harness.now);
        }
        harness.fullList(list);
        runLoad(harness, 5, 20_000, 4 * REQUESTS_PER_SECOND);
        long heavy = sentToServersFrom(harness, SERVERS / 2 + 1);
        long light = sentToServersFrom(harness, 1) - heavy;
        assertTrue(heavy > 1.8 * light, heavy + " and " + light);
    }

    /** The server list comes from outside and may contain invalid weights. */
    @Test
    void invalidWeightsDoNotStarveAServer() {
        for (double weight : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
            BalancerHarness harness = harness(7, 1);
            harness.updateServers(
                    ListKind.FULL, new Server(1, 0, 0, 0, Phase.READY, weight, BalancerHarness.SECOND * 99));
            runLoad(harness, 2, 50_000);
            assertTrue(sentToServersFrom(harness, 1) > 2, "weight " + weight);
        }
    }
}
