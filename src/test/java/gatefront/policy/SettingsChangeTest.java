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

/** Settings that change under way, without sockets: open requests keep the class that they came with. */
class SettingsChangeTest {
    private static Settings settings(int attempts, Semantics... classes) {
        List<Balancer.RequestClass> types = new ArrayList<>();
        for (Semantics each : classes) {
            types.add(BalancerHarness.type(each, Scope.ALL));
        }
        return BalancerHarness.settings(
                types, new Permits(attempts, false, true, true, false, BalancerHarness.SECOND), 2, 2);
    }

    /** One request comes before a change and one after it, both fail: how many attempts each has had then. */
    private static List<Integer> attempts(Settings before, Settings after) {
        BalancerHarness hand =
                new BalancerHarness(before).full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        long first = hand.request();
        hand.balancer.settings(hand.now, after);
        long second = hand.request();
        hand.end(first, 0, Outcome.ERROR, 10_000);
        hand.end(second, 0, Outcome.ERROR, 10_000);
        return List.of(hand.sends(first).size(), hand.sends(second).size());
    }

    @Test
    void aKeyedRequestWhoseClassTurnsUnsafeMayStillGoAgainAndTheNextMayNot() {
        assertEquals(List.of(2, 1), attempts(settings(4, Semantics.KEYED), settings(4, Semantics.UNSAFE)));
    }

    @Test
    void anUnsafeRequestWhoseClassTurnsSafeDoesNotGoAgain() {
        assertEquals(
                1,
                attempts(settings(4, Semantics.UNSAFE), settings(4, Semantics.SAFE))
                        .get(0));
    }

    @Test
    void fewerAttemptsHoldForWhatComesFromThenOn() {
        assertEquals(List.of(2, 1), attempts(settings(4, Semantics.SAFE), settings(1, Semantics.SAFE)));
    }

    @Test
    void aNewClassIsServedByServersKnownBefore() {
        BalancerHarness hand = new BalancerHarness(settings(4, Semantics.SAFE))
                .full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        hand.balancer.settings(hand.now, settings(4, Semantics.SAFE, Semantics.UNSAFE));
        long id = hand.request(1, 0);
        hand.end(id, 0, Outcome.OK, 10_000);
        assertEquals(1, hand.sends(id).size());
    }

    @Test
    void aBanOnTheLastServerOfAZoneSendsWhatComesToTheOthersAtOnce() {
        BalancerHarness hand = new BalancerHarness(settings(4, Semantics.UNSAFE))
                .full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        hand.list(Balancer.ListKind.DELTA, BalancerHarness.server(1, 0, Balancer.Phase.DRAINING, 0));
        for (int i = 0; i < 3; i++) {
            assertEquals(2, hand.target(hand.request()));
        }
    }

    /** Where every listed server drains, or is out by hand, waiting brings nothing; where none is listed yet it may. */
    @Test
    void whileEveryServerDrainsWhatComesIsRefusedAtOnce() {
        BalancerHarness hand = new BalancerHarness(settings(4, Semantics.UNSAFE));
        long first = hand.request();
        assertEquals(
                0,
                hand.acts.stream().filter(each -> each.what().equals("refuse")).count());
        hand.full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        assertEquals(1, hand.sends(first).size(), "what came before the list has waited for it");
        hand.full(
                BalancerHarness.server(1, 0, Balancer.Phase.DRAINING, 0),
                BalancerHarness.server(2, 1, Balancer.Phase.DRAINING, 0));
        long id = hand.request();
        assertEquals(
                1,
                hand.acts.stream()
                        .filter(each -> each.what().equals("refuse") && each.id() == id)
                        .count());
        hand.full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        assertEquals(1, hand.sends(hand.request()).size());
    }

    @Test
    void theCheckedModuleHoldsItsHostToTheNumbersOfClasses() {
        Balancer checked = new CheckedBalancer(
                settings(4, Semantics.SAFE, Semantics.SAFE), 1, 0, new BalancerHarness(settings(4, Semantics.SAFE)));
        assertThrows(IllegalArgumentException.class, () -> checked.settings(1, settings(4, Semantics.SAFE)));
        checked.settings(1, settings(4, Semantics.SAFE, Semantics.KEYED, Semantics.SAFE));
        checked.request(1, new Balancer.Request(1, 2, 0, 0, 0, 1_000_000, false, false));
    }
}
