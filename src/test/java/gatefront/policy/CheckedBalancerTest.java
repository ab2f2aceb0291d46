package gatefront.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Request;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Wrong use makes the checked balancer throw; the unchecked one ignores it, as the README documents. */
class CheckedBalancerTest {
    private static final double[] NO_LOAD = new double[0];
    private final BalancerHarness harness = new BalancerHarness(BalancerHarness.safeSettings());
    private final Balancer checkedBalancer =
            new CheckedBalancer(BalancerHarness.safeSettings(), 1, harness.now, harness);

    private Request request(long id, int requestClass) {
        return new Request(id, requestClass, 0, 0, 0, harness.now + BalancerHarness.SECOND, false, false);
    }

    private void listTwoServers(Balancer balancer) {
        balancer.servers(
                harness.now, ListKind.FULL, List.of(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0)));
    }

    private static String message(Class<? extends Exception> type, org.junit.jupiter.api.function.Executable wrong) {
        return assertThrows(type, wrong).getMessage();
    }

    @Test
    void correctUseIsDelegated() {
        listTwoServers(checkedBalancer);
        checkedBalancer.request(harness.now, request(5, 0));
        assertEquals(1, harness.sends(5).size());
        checkedBalancer.outcome(harness.now, 5, 0, harness.lastServer(5), Outcome.OK, 100, true, NO_LOAD);
        checkedBalancer.request(harness.now, request(5, 0));
        assertEquals(2, harness.sends(5).size(), "an id may be used again once its request has ended");
    }

    @Test
    void nullArgumentsAreRejectedByName() {
        assertEquals("settings", message(NullPointerException.class, () -> new CheckedBalancer(null, 1, 0, harness)));
        assertEquals(
                "actions",
                message(
                        NullPointerException.class,
                        () -> new CheckedBalancer(BalancerHarness.safeSettings(), 1, 0, null)));
        assertEquals("request", message(NullPointerException.class, () -> checkedBalancer.request(harness.now, null)));
        assertEquals(
                "entries",
                message(NullPointerException.class, () -> checkedBalancer.servers(harness.now, ListKind.FULL, null)));
        assertEquals(
                "an entry",
                message(
                        NullPointerException.class,
                        () -> checkedBalancer.servers(harness.now, ListKind.FULL, Collections.singletonList(null))));
        assertEquals(
                "kind",
                message(NullPointerException.class, () -> checkedBalancer.servers(harness.now, null, List.of())));
        assertEquals(
                "outcome",
                message(
                        NullPointerException.class,
                        () -> checkedBalancer.probeOutcome(harness.now, 1, null, 0, NO_LOAD)));
        assertEquals(
                "load",
                message(
                        NullPointerException.class,
                        () -> checkedBalancer.probeOutcome(harness.now, 1, Outcome.OK, 0, null)));
        assertEquals(
                "message", message(NullPointerException.class, () -> checkedBalancer.message(harness.now, 1, null)));
    }

    @Test
    void timeThatRunsBackwardsIsRejected() {
        checkedBalancer.timer(harness.now + 10, 99);
        assertEquals(
                "time runs backwards: " + (harness.now + 9) + " after " + (harness.now + 10),
                message(IllegalArgumentException.class, () -> checkedBalancer.timer(harness.now + 9, 99)));
    }

    @Test
    void duplicateIdsAndUnknownClassesAreRejected() {
        checkedBalancer.request(harness.now, request(5, 0));
        assertEquals(
                "request id 5 is still in use",
                message(IllegalArgumentException.class, () -> checkedBalancer.request(harness.now, request(5, 0))));
        assertThrows(IndexOutOfBoundsException.class, () -> checkedBalancer.request(harness.now, request(6, 1)));
    }

    @Test
    void outcomesOfUnknownRequestsOrAttemptsAndDuplicateOutcomesAreRejected() {
        listTwoServers(checkedBalancer);
        assertEquals(
                "request 4 is not known, or has ended",
                message(
                        IllegalArgumentException.class,
                        () -> checkedBalancer.outcome(harness.now, 4, 0, 1, Outcome.OK, 1, true, NO_LOAD)));
        checkedBalancer.request(harness.now, request(5, 0));
        assertThrows(
                IndexOutOfBoundsException.class,
                () -> checkedBalancer.outcome(harness.now, 5, 1, 1, Outcome.OK, 1, true, NO_LOAD));
        checkedBalancer.outcome(harness.now, 5, 0, harness.lastServer(5), Outcome.ERROR, 1, false, NO_LOAD);
        assertEquals(
                "attempt 0 of request 5 has ended",
                message(
                        IllegalArgumentException.class,
                        () -> checkedBalancer.outcome(harness.now, 5, 0, 1, Outcome.OK, 1, true, NO_LOAD)));
    }

    @Test
    void anActionThatCallsBackIsRejected() {
        Balancer[] self = new Balancer[1];
        BalancerHarness reentrant = new BalancerHarness(BalancerHarness.safeSettings()) {
            @Override
            public void send(long request, long server, long timeout) {
                self[0].timer(now, 1);
            }
        };
        self[0] = new CheckedBalancer(BalancerHarness.safeSettings(), 1, reentrant.now, reentrant);
        listTwoServers(self[0]);
        assertEquals(
                "an action has called back into the balancer",
                message(IllegalStateException.class, () -> self[0].request(reentrant.now, request(5, 0))));
    }

    @Test
    void theUncheckedBalancerIgnoresUnknownRequestsAndServers() {
        listTwoServers(harness.balancer);
        long id = harness.request();
        long server = harness.lastServer(id);
        harness.endAttempt(id, 0, Outcome.OK, 100);
        List<BalancerHarness.RecordedAction> before = List.copyOf(harness.actions);
        harness.balancer.outcome(harness.now, id, 0, server, Outcome.TIMEOUT, 100, false, NO_LOAD);
        harness.balancer.outcome(harness.now, 777, 0, server, Outcome.OK, 100, true, NO_LOAD);
        harness.balancer.clientLeft(harness.now, 777);
        harness.balancer.streamStarted(harness.now, 777, 0, server, 1);
        harness.balancer.probeOutcome(harness.now, 777, Outcome.TIMEOUT, 1, NO_LOAD);
        harness.balancer.timer(harness.now, 777);
        harness.balancer.message(harness.now, 3, new byte[] {1});
        assertEquals(before, harness.actions);
    }

    @Test
    void theUncheckedBalancerToleratesAClockThatStepsBack() {
        listTwoServers(harness.balancer);
        harness.serveRequest(1000);
        harness.now -= 30 * BalancerHarness.SECOND;
        for (int i = 0; i < 20; i++) {
            harness.serveRequest(1000);
        }
        harness.advance(60 * BalancerHarness.SECOND);
        harness.serveRequest(1000);
        assertEquals(22, harness.actionsOfKind("send").size());
        assertTrue(Arrays.asList("refuse", "fail").stream()
                .allMatch(w -> harness.actionsOfKind(w).isEmpty()));
    }
}
