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

/** Wrong use: an exception from the checked balancer; from the module alone the disregard that README states. */
class CheckedBalancerTest {
    private static final double[] NO_LOAD = new double[0];
    private final BalancerHarness hand = new BalancerHarness(BalancerHarness.safe());
    private final Balancer checked = new CheckedBalancer(BalancerHarness.safe(), 1, hand.now, hand);

    private Request request(long id, int requestClass) {
        return new Request(id, requestClass, 0, 0, 0, hand.now + BalancerHarness.SECOND, false, false);
    }

    private void listTwo(Balancer balancer) {
        balancer.servers(hand.now, ListKind.FULL, List.of(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0)));
    }

    private static String message(Class<? extends Exception> type, org.junit.jupiter.api.function.Executable wrong) {
        return assertThrows(type, wrong).getMessage();
    }

    @Test
    void rightUseIsHandedOn() {
        listTwo(checked);
        checked.request(hand.now, request(5, 0));
        assertEquals(1, hand.sends(5).size());
        checked.outcome(hand.now, 5, 0, hand.target(5), Outcome.OK, 100, true, NO_LOAD);
        checked.request(hand.now, request(5, 0));
        assertEquals(2, hand.sends(5).size(), "an id may come again once its request has ended");
    }

    @Test
    void nullsAreNamed() {
        assertEquals("settings", message(NullPointerException.class, () -> new CheckedBalancer(null, 1, 0, hand)));
        assertEquals(
                "actions",
                message(NullPointerException.class, () -> new CheckedBalancer(BalancerHarness.safe(), 1, 0, null)));
        assertEquals("request", message(NullPointerException.class, () -> checked.request(hand.now, null)));
        assertEquals(
                "entries", message(NullPointerException.class, () -> checked.servers(hand.now, ListKind.FULL, null)));
        assertEquals(
                "an entry",
                message(
                        NullPointerException.class,
                        () -> checked.servers(hand.now, ListKind.FULL, Collections.singletonList(null))));
        assertEquals("kind", message(NullPointerException.class, () -> checked.servers(hand.now, null, List.of())));
        assertEquals(
                "outcome", message(NullPointerException.class, () -> checked.probed(hand.now, 1, null, 0, NO_LOAD)));
        assertEquals(
                "load", message(NullPointerException.class, () -> checked.probed(hand.now, 1, Outcome.OK, 0, null)));
        assertEquals("message", message(NullPointerException.class, () -> checked.message(hand.now, 1, null)));
    }

    @Test
    void timeThatRunsBackwardsIsNamed() {
        checked.timer(hand.now + 10, 99);
        assertEquals(
                "time runs backwards: " + (hand.now + 9) + " after " + (hand.now + 10),
                message(IllegalArgumentException.class, () -> checked.timer(hand.now + 9, 99)));
    }

    @Test
    void idsUsedTwiceAndUnknownClassesAreNamed() {
        checked.request(hand.now, request(5, 0));
        assertEquals(
                "request 5 has come before",
                message(IllegalArgumentException.class, () -> checked.request(hand.now, request(5, 0))));
        assertThrows(IndexOutOfBoundsException.class, () -> checked.request(hand.now, request(6, 1)));
    }

    @Test
    void outcomesOfUnknownRequestsAndAttemptsAndOutcomesToldTwiceAreNamed() {
        listTwo(checked);
        assertEquals(
                "request 4 is not known, or has ended",
                message(
                        IllegalArgumentException.class,
                        () -> checked.outcome(hand.now, 4, 0, 1, Outcome.OK, 1, true, NO_LOAD)));
        checked.request(hand.now, request(5, 0));
        assertThrows(
                IndexOutOfBoundsException.class,
                () -> checked.outcome(hand.now, 5, 1, 1, Outcome.OK, 1, true, NO_LOAD));
        checked.outcome(hand.now, 5, 0, hand.target(5), Outcome.ERROR, 1, false, NO_LOAD);
        assertEquals(
                "attempt 0 of request 5 has ended",
                message(
                        IllegalArgumentException.class,
                        () -> checked.outcome(hand.now, 5, 0, 1, Outcome.OK, 1, true, NO_LOAD)));
    }

    @Test
    void anActionThatCallsBackIsNamed() {
        Balancer[] self = new Balancer[1];
        BalancerHarness rash = new BalancerHarness(BalancerHarness.safe()) {
            @Override
            public void send(long request, long server, long timeout) {
                self[0].timer(now, 1);
            }
        };
        self[0] = new CheckedBalancer(BalancerHarness.safe(), 1, rash.now, rash);
        listTwo(self[0]);
        assertEquals(
                "an action has called back into the balancer",
                message(IllegalStateException.class, () -> self[0].request(rash.now, request(5, 0))));
    }

    @Test
    void theModuleAloneDisregardsWhatItCannotPlace() {
        listTwo(hand.balancer);
        long id = hand.request();
        long server = hand.target(id);
        hand.end(id, 0, Outcome.OK, 100);
        List<BalancerHarness.Act> before = List.copyOf(hand.acts);
        hand.balancer.outcome(hand.now, id, 0, server, Outcome.TIMEOUT, 100, false, NO_LOAD);
        hand.balancer.outcome(hand.now, 777, 0, server, Outcome.OK, 100, true, NO_LOAD);
        hand.balancer.clientLeft(hand.now, 777);
        hand.balancer.streamStarted(hand.now, 777, 0, server, 1);
        hand.balancer.probed(hand.now, 777, Outcome.TIMEOUT, 1, NO_LOAD);
        hand.balancer.timer(hand.now, 777);
        hand.balancer.message(hand.now, 3, new byte[] {1});
        assertEquals(before, hand.acts);
    }

    @Test
    void theModuleAloneBearsAClockThatStepsBack() {
        listTwo(hand.balancer);
        hand.serve(1000);
        hand.now -= 30 * BalancerHarness.SECOND;
        for (int i = 0; i < 20; i++) {
            hand.serve(1000);
        }
        hand.pass(60 * BalancerHarness.SECOND);
        hand.serve(1000);
        assertEquals(22, hand.all("send").size());
        assertTrue(Arrays.asList("refuse", "fail").stream()
                .allMatch(w -> hand.all(w).isEmpty()));
    }
}
