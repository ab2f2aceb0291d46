package gatefront.policy;

import static gatefront.policy.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Permits;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Prices;
import gatefront.policy.Balancer.Request;
import gatefront.policy.Balancer.RequestClass;
import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import gatefront.policy.Balancer.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that began under settings that have been replaced before the module hears of them, or while they wait. */
class ChangedSettingsTest {
    private static final long REQUEST_ID = 1_000;

    private static Settings settings(Semantics semantics, Scope scope, long window, int maxAttempts) {
        RequestClass type = new RequestClass(SECOND, 0, 4 * SECOND, semantics, scope, window, 1, 0, false);
        return BalancerHarness.settings(List.of(type), new Permits(maxAttempts, false, true, false, false, 0), 2, 1);
    }

    /** Returns how often a request that began under {@code before} is sent, all attempts failing after 50 ms. */
    private static int attempts(Settings before, Settings after) {
        BalancerHarness harness = new BalancerHarness(before)
                .fullList(
                        BalancerHarness.server(1, 0),
                        BalancerHarness.server(2, 0),
                        BalancerHarness.server(3, 1),
                        BalancerHarness.server(4, 1));
        harness.balancer.settings(harness.now, after);
        harness.balancer.request(
                harness.now, new Request(REQUEST_ID, 0, 0, 0, 0, harness.now + 3 * SECOND, false, false), before);
        int ended = 0;
        for (int i = 0; i < 40; i++) {
            harness.advance(50_000);
            for (; ended < harness.sends(REQUEST_ID).size(); ended++) {
                harness.endAttempt(REQUEST_ID, ended, Outcome.ERROR, 50_000);
            }
        }
        return ended;
    }

    /** Guards against a request that is repeated though it began under settings that forbid it. */
    @Test
    void requestIsRepeatedOnlyAsTheSettingsThatItBeganUnderAllow() {
        Settings safe = settings(Semantics.SAFE, Scope.ALL, 0, 4);
        assertEquals(4, attempts(safe, safe));
        assertEquals(1, attempts(settings(Semantics.UNSAFE, Scope.ALL, 0, 4), safe), "its effect");
        assertEquals(2, attempts(settings(Semantics.SAFE, Scope.ALL, 0, 2), safe), "its number of attempts");
        Settings keyed = settings(Semantics.KEYED, Scope.ALL, 3 * SECOND, 4);
        assertEquals(1, attempts(settings(Semantics.KEYED, Scope.ALL, 10_000, 4), keyed), "its window");
        assertEquals(2, attempts(settings(Semantics.KEYED, Scope.ZONE, 3 * SECOND, 4), keyed), "its scope");
        assertEquals(4, attempts(safe, settings(Semantics.UNSAFE, Scope.ALL, 0, 1)), "what it began under goes on");
    }

    /** Begins a request under {@code before}, after the settings have changed to {@code after}. */
    private static void begin(BalancerHarness harness, Settings before, Settings after, long timeout) {
        harness.balancer.settings(harness.now, after);
        harness.balancer.request(
                harness.now, new Request(REQUEST_ID, 0, 0, 0, 0, harness.now + timeout, false, false), before);
    }

    /** Guards against a refusal with the retry-after of settings that the request did not begin under. */
    @Test
    void refusalHasTheRetryAfterThatTheRequestBeganUnder() {
        RequestClass type = BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL);
        Settings before =
                BalancerHarness.settings(List.of(type), new Permits(4, false, true, false, false, 300_000), 2, 1);
        Settings after =
                BalancerHarness.settings(List.of(type), new Permits(4, false, true, false, false, 700_000), 2, 1);
        BalancerHarness harness = new BalancerHarness(before).fullList(BalancerHarness.server(1, 0, Phase.DRAINING, 0));
        begin(harness, before, after, 3 * SECOND);
        assertEquals(300_000, harness.actionsFor("refuse", REQUEST_ID).get(0).value());
    }

    /** Guards against an attempt that goes on for nobody, because later settings do not permit to cancel it. */
    @Test
    void attemptIsCancelledIfTheSettingsThatItsRequestBeganUnderPermitIt() {
        RequestClass type = BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL);
        Settings before = BalancerHarness.settings(List.of(type), new Permits(4, false, true, false, false, 0), 2, 1);
        Settings after = BalancerHarness.settings(List.of(type), new Permits(4, false, false, false, false, 0), 2, 1);
        BalancerHarness harness = new BalancerHarness(before).fullList(BalancerHarness.server(1, 0));
        begin(harness, before, after, 3 * SECOND);
        harness.balancer.clientLeft(harness.now, REQUEST_ID);
        assertEquals(1, harness.actionsFor("cancel", REQUEST_ID).size());
    }

    private static Settings withCrossingPrice(double price) {
        Settings settings = settings(Semantics.SAFE, Scope.ALL, 0, 4);
        Prices prices = settings.prices();
        return BalancerHarness.withPrices(
                settings,
                new Prices(price, prices.probe(), prices.waste(), prices.lateFailure(), prices.message()),
                settings.obligations());
    }

    /** Returns whether a request whose attempt in its own zone failed is sent to the other zone within 100 ms. */
    private static boolean crossesSoon(Settings before, Settings after) {
        BalancerHarness harness =
                new BalancerHarness(before).fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        begin(harness, before, after, 3 * SECOND);
        harness.advance(10_000);
        harness.endAttempt(REQUEST_ID, 0, Outcome.ERROR, 10_000);
        harness.advance(100_000);
        return harness.sends(REQUEST_ID).size() > 1;
    }

    /** Guards against a request that waits for its own zone by a price that it did not begin under. */
    @Test
    void requestCrossesZonesByThePriceThatItBeganUnder() {
        assertTrue(crossesSoon(withCrossingPrice(0), withCrossingPrice(0.9)));
        assertFalse(crossesSoon(withCrossingPrice(0.9), withCrossingPrice(0)));
    }

    private static Settings withGiveUp(long giveUp) {
        RequestClass type = new RequestClass(3_500_000, 0, giveUp, Semantics.SAFE, Scope.ALL, 0, 1, 0, false);
        return BalancerHarness.settings(List.of(type), new Permits(4, false, true, false, false, 0), 1, 1);
    }

    /** Guards against a request whose time is reckoned by a patience that its client did not have. */
    @Test
    void timeThatAClientHasWaitedIsReckonedByTheSettingsThatItsRequestBeganUnder() {
        Settings before = withGiveUp(1_200_000);
        BalancerHarness harness = new BalancerHarness(before).fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 40; i++) {
            harness.serveRequest(10_000); // they all have a timeout of 3 s
        }
        begin(harness, before, withGiveUp(4 * SECOND), SECOND);
        long timeout = harness.sends(REQUEST_ID).get(0).value();
        assertTrue(timeout > 900_000, timeout + " us, expected nearly the second that the client waits");
    }
}
