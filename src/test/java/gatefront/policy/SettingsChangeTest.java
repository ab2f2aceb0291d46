package gatefront.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Permits;
import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import gatefront.policy.Balancer.Settings;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests changes of the settings at run time: open requests keep the class settings that they arrived with. */
class SettingsChangeTest {
    private static Settings settings(int attempts, Semantics... classes) {
        List<Balancer.RequestClass> requestClasses = new ArrayList<>();
        for (Semantics semantics : classes) {
            requestClasses.add(BalancerHarness.requestClass(semantics, Scope.ALL));
        }
        return BalancerHarness.settings(
                requestClasses, new Permits(attempts, false, true, true, false, BalancerHarness.SECOND), 2, 2);
    }

    /** Returns the number of attempts of a failing request that arrives before the change, and of one after it. */
    private static List<Integer> attempts(Settings before, Settings after) {
        BalancerHarness harness =
                new BalancerHarness(before).fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        long first = harness.request();
        harness.balancer.settings(harness.now, after);
        long second = harness.request();
        harness.endAttempt(first, 0, Outcome.ERROR, 10_000);
        harness.endAttempt(second, 0, Outcome.ERROR, 10_000);
        return List.of(harness.sends(first).size(), harness.sends(second).size());
    }

    @Test
    void aKeyedRequestIsStillRetriedAfterItsClassTurnsUnsafeAndTheNextIsNot() {
        assertEquals(List.of(2, 1), attempts(settings(4, Semantics.KEYED), settings(4, Semantics.UNSAFE)));
    }

    @Test
    void anUnsafeRequestIsNotRetriedAfterItsClassTurnsSafe() {
        assertEquals(
                1,
                attempts(settings(4, Semantics.UNSAFE), settings(4, Semantics.SAFE))
                        .get(0));
    }

    @Test
    void aLowerAttemptLimitAppliesToLaterRequestsOnly() {
        assertEquals(List.of(2, 1), attempts(settings(4, Semantics.SAFE), settings(1, Semantics.SAFE)));
    }

    @Test
    void aNewClassIsServedByAlreadyKnownServers() {
        BalancerHarness harness = new BalancerHarness(settings(4, Semantics.SAFE))
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        harness.balancer.settings(harness.now, settings(4, Semantics.SAFE, Semantics.UNSAFE));
        long id = harness.request(1, 0);
        harness.endAttempt(id, 0, Outcome.OK, 10_000);
        assertEquals(1, harness.sends(id).size());
    }

    @Test
    void drainingTheLastServerOfAZoneSendsRequestsToOtherZonesAtOnce() {
        BalancerHarness harness = new BalancerHarness(settings(4, Semantics.UNSAFE))
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        harness.updateServers(Balancer.ListKind.DELTA, BalancerHarness.server(1, 0, Balancer.Phase.DRAINING, 0));
        for (int i = 0; i < 3; i++) {
            assertEquals(2, harness.lastServer(harness.request()));
        }
    }

    /**
     * If every listed server drains or is in manual drain, waiting is useless; if none is listed yet, one may appear.
     */
    @Test
    void requestsAreRefusedAtOnceWhileEveryServerDrains() {
        BalancerHarness harness = new BalancerHarness(settings(4, Semantics.UNSAFE));
        long first = harness.request();
        assertEquals(
                0,
                harness.actions.stream()
                        .filter(action -> action.kind().equals("refuse"))
                        .count());
        harness.fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        assertEquals(1, harness.sends(first).size(), "a request that arrives before the server list waits for it");
        harness.fullList(
                BalancerHarness.server(1, 0, Balancer.Phase.DRAINING, 0),
                BalancerHarness.server(2, 1, Balancer.Phase.DRAINING, 0));
        long id = harness.request();
        assertEquals(
                1,
                harness.actions.stream()
                        .filter(action -> action.kind().equals("refuse") && action.id() == id)
                        .count());
        harness.fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        assertEquals(1, harness.sends(harness.request()).size());
    }

    @Test
    void theCheckedBalancerRejectsSettingsWithFewerClasses() {
        Balancer checked = new CheckedBalancer(
                settings(4, Semantics.SAFE, Semantics.SAFE), 1, 0, new BalancerHarness(settings(4, Semantics.SAFE)));
        assertThrows(IllegalArgumentException.class, () -> checked.settings(1, settings(4, Semantics.SAFE)));
        checked.settings(1, settings(4, Semantics.SAFE, Semantics.KEYED, Semantics.SAFE));
        checked.request(1, new Balancer.Request(1, 2, 0, 0, 0, 1_000_000, false, false));
    }
}
