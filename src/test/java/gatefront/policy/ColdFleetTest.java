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

/** What all agents together send to servers that have just started, where many have at once. */
class ColdFleetTest {
    private static final int AGENTS = 14;
    private static final int SERVERS = 30;
    /** Requests a second that come to each agent: a server's part of all is 14 a second. */
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

    /** Lets requests come evenly for so many seconds, each attempt answered after that time. */
    private static void runLoad(BalancerHarness harness, double seconds, long answer) {
        runLoad(harness, seconds, answer, REQUESTS_PER_SECOND);
    }

    private static void runLoad(BalancerHarness harness, double seconds, long answer, int demand) {
        harness.runLoad(seconds, Outcome.OK, answer, demand, 0);
    }

    private static long sentToServersFrom(BalancerHarness harness, long id) {
        return harness.actionsOfKind("send").stream()
                .filter(act -> act.server() >= id)
                .count();
    }

    /**
     * An agent that has just started knows of no warm server's rate. Failed before: it sent 5 / 14 a second, times the
     * part that is warm, to each server of a zone that had come back with it: 15 of 120 requests.
     */
    @Test
    void anAgentThatStartsTogetherWithItsColdZoneUsesIt() {
        BalancerHarness harness = harness(7, 1).fullList(servers(1, SERVERS, 0, BalancerHarness.SECOND * 98));
        runLoad(harness, 4, 50_000);
        long sent = sentToServersFrom(harness, 1);
        assertTrue(sent > 4 * REQUESTS_PER_SECOND * 0.6, "sent " + sent);
    }

    /** Failed before: an agent that had not met a zone while it was warm sent it next to nothing when it was back. */
    @Test
    void aColdZoneIsUsedByAgentsThatNeverSentToItBefore() {
        BalancerHarness harness = harness(7, 2).fullList(servers(1, 2, 0, 0));
        runLoad(harness, 5, 400_000); // far more than two can do
        Server[] both = new Server[SERVERS + 2];
        System.arraycopy(servers(1, 2, 0, 0), 0, both, 0, 2);
        System.arraycopy(servers(101, SERVERS, 1, harness.now), 0, both, 2, SERVERS);
        harness.fullList(both);
        runLoad(harness, 4, 400_000);
        long sent = sentToServersFrom(harness, 101);
        assertTrue(sent > 20, "sent " + sent);
    }

    /** Rule 4 where the demand is 0.7 of the capacity: three times what is surely warm is never reached. */
    @Test
    void allAgentsTogetherDoNotOverloadAColdServer() {
        assertNoColdServerIsOverloaded(REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
    }

    /** The same where one agent has ten times another's requests. */
    @Test
    void allAgentsTogetherDoNotOverloadAColdServerIfOneHasTenTimesTheRequests() {
        assertNoColdServerIsOverloaded(10 * REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
    }

    private static void assertNoColdServerIsOverloaded(int first, int others) {
        double capacity = (first + (AGENTS - 1) * others) / 0.7 / SERVERS;
        long[] sent = new long[SERVERS + 1];
        for (int agent = 0; agent < AGENTS; agent++) {
            int demand = agent == 0 ? first : others;
            BalancerHarness harness = harness(agent, 1).fullList(servers(1, SERVERS, 0, 0));
            runLoad(harness, 5, 50_000, demand);
            harness.fullList(servers(1, SERVERS, 0, harness.now));
            int before = harness.actionsOfKind("send").size();
            runLoad(harness, 1, 50_000, demand);
            harness.actionsOfKind("send").stream().skip(before).forEach(act -> sent[(int) act.server()]++);
        }
        for (long each : sent) {
            assertTrue(each < 3 * 0.2 * capacity, each + " of " + 3 * 0.2 * capacity);
        }
    }

    /** At full size: 120 of 200 servers are new in one turn, and all 100 agents hear of it in the same millisecond. */
    @Test
    void aHundredAgentsDoNotOverloadManyServersThatStartAtOnce() {
        int demand = 10;
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
            runLoad(harness, 5, 50_000, demand);
            harness.updateServers(ListKind.DELTA, servers(101, 120, 0, harness.now));
            int before = harness.actionsOfKind("send").size();
            runLoad(harness, 3, 50_000, demand);
            harness.actionsOfKind("send").stream().skip(before).forEach(act -> sent[(int) act.server()]++);
        }
        long[] fresh = Arrays.stream(sent).skip(101).sorted().toArray();
        // Each bears 0.2 to 0.32 of 1,000 / 0.7 / 200 a second: 5.6 in the 3 s, and topples at three times that.
        double bears = 3 * 0.26 * 100 * demand / 0.7 / 200;
        assertTrue(fresh[119] < 3 * bears, "the most " + fresh[119] + " of " + 3 * bears);
        assertTrue(fresh[60] > 0.5 * bears, "half got " + fresh[60] + " of " + bears + " or less");
    }

    /**
     * The settings tell how slow a cold server may be at the worst. Failed before: one that was never as slow got
     * nothing for as long as one that was.
     */
    @Test
    void measuredColdLatencyDecidesWhetherColdServersAreUsed() {
        BalancerHarness quick = harness(7, 1).fullList(servers(1, SERVERS, 0, 0));
        runLoad(quick, 5, 300_000); // a fifth of the capacity makes 1.5 s of it, and 1 s is wanted
        quick.fullList(servers(101, SERVERS, 0, quick.now));
        runLoad(quick, 3, 400_000);
        assertTrue(
                sentToServersFrom(quick, 101) > 3 * REQUESTS_PER_SECOND / 2, "quick " + sentToServersFrom(quick, 101));
        BalancerHarness slow = harness(7, 1).fullList(servers(1, SERVERS, 0, 0));
        runLoad(slow, 5, 300_000);
        slow.fullList(servers(101, SERVERS, 0, slow.now));
        runLoad(slow, 3, 1_400_000);
        assertTrue(
                2 * sentToServersFrom(slow, 101) < sentToServersFrom(quick, 101),
                "slow " + sentToServersFrom(slow, 101));
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

    /** The same requests to cold servers, whose answers report so many waiting. */
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
     * What a cold server reports comes of all agents together. Failed before: one that kept up with ease got no more
     * than one that had requests waiting.
     */
    @Test
    void aColdServerThatKeepsUpGetsMoreThanOneThatReportsAQueue() {
        int idle = sentWithQueueReport(0);
        int crowded = sentWithQueueReport(3);
        assertTrue(idle > 1.3 * crowded, idle + " and " + crowded);
        assertTrue(crowded > 0);
        assertTrue(sentWithQueueReport(Double.NaN) < idle, "what makes no sense is no report");
    }

    /** Failed before: an agent whose own answers are in time fills a server that tells that requests wait there. */
    @Test
    void aServerThatReportsAQueueGetsFewerRequestsAtOnce() {
        int[] most = new int[2];
        for (int busy = 0; busy < 2; busy++) {
            BalancerHarness harness =
                    harnessWithLoadReports(2).fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
            harness.loadReport = new double[] {busy == 0 ? 0 : 2};
            runLoad(harness, 5, 100_000);
            for (int i = 0; i < 20; i++) {
                harness.request();
            }
            most[busy] = (int) harness.actionsOfKind("send").stream()
                    .filter(act -> act.id() > 150)
                    .count();
        }
        assertTrue(most[1] < most[0], most[0] + " and " + most[1]);
    }

    /** However well it keeps up, its room ends: a report is late, and the agents have it alike. */
    @Test
    void theRateToAColdServerThatKeepsUpIsBounded() {
        var s = BalancerHarness.settings(
                List.of(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL)),
                new Permits(4, false, true, false, false, 0),
                1,
                1);
        double surely = 0.02;
        BalancerHarness harness = new BalancerHarness(
                BalancerHarness.withPrices(
                        s,
                        s.prices(),
                        new Balancer.Obligations(
                                20_000,
                                500_000,
                                surely,
                                10_000 * BalancerHarness.SECOND,
                                3,
                                BalancerHarness.SECOND,
                                10 * BalancerHarness.SECOND),
                        Balancer.LoadField.QUEUED),
                7);
        harness.loadReport = new double[] {0};
        harness.fullList(servers(1, 4, 0, 0));
        int demand = 200; // one for each tick
        runLoad(harness, 3, 10_000, demand);
        harness.fullList(servers(1, 4, 0, harness.now));
        runLoad(harness, 10, 10_000, demand);
        int before = harness.actionsOfKind("send").size();
        runLoad(harness, 5, 10_000, demand);
        int sent = harness.actionsOfKind("send").size() - before;
        double most = 5 * demand * surely * 4;
        assertTrue(sent > most / 2 && sent <= 1.2 * most, sent + " where " + most + " may be");
    }

    /** Failed before: a client's repeats counted as demand, and the budget grew with the trouble. */
    @Test
    void clientRetriesDoNotRaiseTheRateToColdServers() {
        int[] sent = new int[2];
        for (int repeats = 0; repeats < 2; repeats++) {
            BalancerHarness harness = harness(7, 1).fullList(servers(1, SERVERS, 0, 0));
            runLoad(harness, 5, 50_000);
            harness.fullList(servers(1, SERVERS, 0, harness.now));
            int before = harness.actionsOfKind("send").size();
            harness.runLoad(3, Outcome.OK, 20_000, REQUESTS_PER_SECOND, 5 * repeats);
            sent[repeats] = harness.actionsOfKind("send").size() - before;
        }
        assertTrue(
                sent[0] > REQUESTS_PER_SECOND && sent[1] < 2 * sent[0],
                sent[0] + " without and " + sent[1] + " with repeats");
    }

    /** Attempts at cold servers that end by time after so long, then whether one that needs long is sent there. */
    private static boolean isUsedAfterTimeouts(long... spent) {
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
        harness.advance(spent.length == 0 ? BalancerHarness.SECOND / 2 : 0);
        for (long each : spent) {
            int ended = 0;
            for (int i = 0; i < 2_000; i++) { // few are sent once time-outs have used up the credit
                long id = harness.request(0, 0);
                if (harness.lastServer(id) > 100) {
                    harness.endAttempt(id, 0, Outcome.TIMEOUT, each);
                    ended++;
                }
                harness.advance(BalancerHarness.TICK);
            }
            assertTrue(ended > 20, "time-outs " + ended);
        }
        harness.advance(BalancerHarness.SECOND); // what rests for its time-outs has rested, and there is room again
        return harness.lastServer(harness.request(1, 0)) > 100;
    }

    /**
     * An attempt that ends by time would have taken longer: however soon that was, cold servers are none the quicker.
     * Failed before: attempts sent late in a request's time made them seem so.
     */
    @Test
    void timeoutsNeverMakeColdServersSeemFaster() {
        assertTrue(isUsedAfterTimeouts(), "what is hoped of them: 1 s of work at a fifth, halved");
        assertFalse(isUsedAfterTimeouts(900_000), "slow as they are");
        assertFalse(isUsedAfterTimeouts(900_000, 1_000), "and none the quicker");
    }

    /** Where the load is told to probes only, they tell of cold servers, too. */
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

    /** Its listed weight is its part: where weights differ, so does what is sent to it while cold. */
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

    /** Weights that make no sense come from a socket. */
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
