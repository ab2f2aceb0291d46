package gatefront.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Permits;
import gatefront.policy.Balancer.Prices;
import gatefront.policy.Balancer.Request;
import gatefront.policy.Balancer.RequestClass;
import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import gatefront.policy.Balancer.Server;
import gatefront.policy.Balancer.Settings;
import gatefront.policy.Balancer.Tenant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Settings at the ends of their ranges: sane behaviour and kept rules. */
class SettingsTest {
    private static final long SECOND = BalancerHarness.SECOND;
    private static final Permits ALL = new Permits(4, false, true, true, false, SECOND);

    private static Settings with(Settings s, Prices prices, List<Tenant> tenants) {
        return new Settings(
                s.agent(),
                s.agents(),
                s.zone(),
                s.zones(),
                s.tick(),
                s.askDiscovery(),
                s.warmKeys(),
                s.listedWeights(),
                s.worthByWork(),
                s.overQuotaWorth(),
                s.permits(),
                s.obligations(),
                prices,
                s.goal(),
                s.classes(),
                tenants,
                s.loadFields());
    }

    private static BalancerHarness hand(RequestClass type, Permits permits, int zones) {
        return new BalancerHarness(BalancerHarness.settings(List.of(type), permits, zones, 2));
    }

    @Test
    void anEmptyListForAWhileHoldsRequestsAndServesThemOnceServersCome() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.safe()).full();
        long id = hand.request();
        hand.pass(SECOND / 10);
        assertEquals(0, hand.sends(id).size());
        hand.full(BalancerHarness.server(1, 0));
        assertEquals(1, hand.sends(id).size());
    }

    @Test
    void withoutAnyServerEachRequestIsRefusedOnceAndInTime() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.safe()).full();
        long id = hand.request();
        hand.pass(2 * SECOND);
        assertEquals(1, hand.of("refuse", id).size());
        assertEquals(0, hand.of("fail", id).size());
    }

    @Test
    void aSingleServerIsUsedThoughItsProbesFail() {
        BalancerHarness hand = new BalancerHarness(BalancerHarness.safe()).full(BalancerHarness.server(1, 0));
        for (int i = 0; i < 3; i++) {
            hand.balancer.probed(hand.now, 1, Outcome.CONNECT_FAILED, 1000, new double[0]);
        }
        assertTrue(hand.logged("active Unhealthy"));
        assertEquals(1, hand.sends(hand.request()).size());
    }

    @Test
    void zeroPricesCrossZonesAsSoonAsTheOwnOneIsFull() {
        BalancerHarness hand = new BalancerHarness(with(BalancerHarness.safe(), new Prices(0, 0, 0, 0, 0), List.of()))
                .full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        List<Long> targets = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            targets.add(hand.target(hand.request()));
        }
        assertEquals(1, targets.get(0));
        assertEquals(2, targets.get(9));
    }

    @Test
    void aPriceOverOneNeverCrossesWhileTheOwnZoneIsAvailable() {
        BalancerHarness hand = new BalancerHarness(with(BalancerHarness.safe(), new Prices(3, 0, 0, 0, 0), List.of()))
                .full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        for (int i = 0; i < 20; i++) {
            hand.request();
        }
        hand.pass(2 * SECOND);
        assertTrue(hand.all("send").stream().allMatch(a -> a.server() == 1));
    }

    @Test
    void withFiveZonesTheOwnOneIsTakenFirstAndAnyOtherWhenItIsGone() {
        BalancerHarness hand = hand(BalancerHarness.type(Semantics.SAFE, Scope.ALL), ALL, 5);
        List<Server> servers = new ArrayList<>();
        for (int zone = 0; zone < 5; zone++) {
            servers.add(BalancerHarness.server(10 + zone, zone));
        }
        hand.full(servers.toArray(Server[]::new));
        assertEquals(10, hand.target(hand.request()));
        hand.full(servers.subList(1, 5).toArray(Server[]::new));
        assertTrue(hand.target(hand.request()) > 10);
    }

    @Test
    void withoutCancelARequestOutOfTimeIsAnsweredOnceAndItsAttemptLeftAlone() {
        BalancerHarness hand =
                hand(BalancerHarness.type(Semantics.SAFE, Scope.ALL), new Permits(1, false, false, false, false, 0), 1);
        hand.full(BalancerHarness.server(1, 0));
        long id = hand.request();
        hand.pass(5 * SECOND);
        assertEquals(1, hand.of("refuse", id).size() + hand.of("fail", id).size());
        assertEquals(0, hand.all("cancel").size());
        assertEquals(0, hand.all("probe").size());
        hand.end(id, 0, Outcome.OK, 5 * SECOND);
        assertEquals(1, hand.sends(id).size());
    }

    @Test
    void oneAttemptPermittedIsOneAttemptMade() {
        BalancerHarness hand =
                hand(BalancerHarness.type(Semantics.SAFE, Scope.ALL), new Permits(1, false, true, true, false, 0), 1);
        hand.full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        long id = hand.request();
        hand.end(id, 0, Outcome.CONNECT_FAILED, 1000);
        assertEquals(1, hand.sends(id).size());
        assertEquals(1, hand.of("refuse", id).size());
    }

    @Test
    void aStreamedAnswerThatHasBegunIsLeftToEndAndIsNotAnsweredAgain() {
        RequestClass streamed = new RequestClass(SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, true);
        BalancerHarness hand = hand(streamed, ALL, 1);
        hand.full(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        long id = hand.request();
        assertEquals(0, hand.sends(id).get(0).value(), "no time-out");
        hand.balancer.streamStarted(hand.now, id, 0, hand.target(id), 1000);
        hand.pass(8 * SECOND);
        assertEquals(
                0,
                hand.of("refuse", id).size()
                        + hand.of("fail", id).size()
                        + hand.of("cancel", id).size());
        hand.end(id, 0, Outcome.OK, 8 * SECOND);
        assertEquals(1, hand.sends(id).size());
    }

    @Test
    void aStreamThatNeverBeginsIsEndedInTime() {
        RequestClass streamed = new RequestClass(SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, true);
        BalancerHarness hand = hand(streamed, ALL, 1);
        hand.full(BalancerHarness.server(1, 0));
        long id = hand.request();
        hand.pass(4 * SECOND);
        assertEquals(1, hand.of("refuse", id).size() + hand.of("fail", id).size());
        assertEquals(1, hand.of("cancel", id).size());
    }

    @Test
    void aRequestKeyedByCellThatMayHaveRunStaysInItsCell() {
        BalancerHarness hand = hand(BalancerHarness.type(Semantics.KEYED, Scope.CELL), ALL, 1);
        hand.full(
                new Server(1, 0, 5, 0, Balancer.Phase.READY, 1, 0),
                new Server(2, 0, 6, 0, Balancer.Phase.READY, 1, 0),
                new Server(3, 0, 6, 0, Balancer.Phase.READY, 1, 0));
        int resent = 0;
        for (int i = 0; i < 12; i++) {
            long id = hand.request(0, 9);
            long first = hand.target(id);
            hand.pass(BalancerHarness.TICK);
            hand.end(id, 0, Outcome.RESET, BalancerHarness.TICK);
            hand.pass(SECOND);
            for (BalancerHarness.Act send : hand.sends(id)) {
                assertEquals(first == 1, send.server() == 1);
            }
            if (hand.sends(id).size() > 1) {
                resent++;
                hand.end(id, 1, Outcome.OK, SECOND);
            }
            hand.pass(4 * SECOND);
        }
        assertTrue(resent > 0, "some were sent again");
    }

    @Test
    void manyTenantsAndNoneAreServedAlike() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            tenants.add(new Tenant(1, 0.02));
        }
        for (List<Tenant> some : List.of(tenants, List.<Tenant>of())) {
            BalancerHarness hand = new BalancerHarness(
                            with(BalancerHarness.safe(), BalancerHarness.safe().prices(), some))
                    .full(BalancerHarness.server(1, 0));
            hand.balancer.request(
                    hand.now, new Request(900, 0, Math.max(0, some.size() - 1), 0, 0, hand.now + SECOND, false, false));
            assertEquals(1, hand.sends(900).size());
        }
    }
}
