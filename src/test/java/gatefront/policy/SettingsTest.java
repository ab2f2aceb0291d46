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

/** Tests that the rules are kept with settings at the limits of their ranges. */
class SettingsTest {
    private static final long SECOND = BalancerHarness.SECOND;
    private static final Permits ALL = new Permits(4, false, true, true, false, SECOND);

    private static Settings withPricesAndTenants(Settings s, Prices prices, List<Tenant> tenants) {
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

    private static BalancerHarness harness(RequestClass type, Permits permits, int zones) {
        return new BalancerHarness(BalancerHarness.settings(List.of(type), permits, zones, 2));
    }

    @Test
    void requestsWaitWhileTheServerListIsEmptyAndAreServedOnceServersAppear() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.safeSettings()).fullList();
        long id = harness.request();
        harness.advance(SECOND / 10);
        assertEquals(0, harness.sends(id).size());
        harness.fullList(BalancerHarness.server(1, 0));
        assertEquals(1, harness.sends(id).size());
    }

    @Test
    void withoutServersEachRequestIsRefusedOnceAndInTime() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.safeSettings()).fullList();
        long id = harness.request();
        harness.advance(2 * SECOND);
        assertEquals(1, harness.actionsFor("refuse", id).size());
        assertEquals(0, harness.actionsFor("fail", id).size());
    }

    @Test
    void aSingleServerIsUsedEvenIfItsProbesFail() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.safeSettings()).fullList(BalancerHarness.server(1, 0));
        for (int i = 0; i < 3; i++) {
            harness.balancer.probeOutcome(harness.now, 1, Outcome.CONNECT_FAILED, 1000, new double[0]);
        }
        assertTrue(harness.hasLogged("active Unhealthy"));
        assertEquals(1, harness.sends(harness.request()).size());
    }

    @Test
    void atAZeroPriceRequestsCrossZonesAsSoonAsTheOwnZoneIsFull() {
        BalancerHarness harness = new BalancerHarness(
                        withPricesAndTenants(BalancerHarness.safeSettings(), new Prices(0, 0, 0, 0, 0), List.of()))
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        List<Long> servers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            servers.add(harness.lastServer(harness.request()));
        }
        assertEquals(1, servers.get(0));
        assertEquals(2, servers.get(9));
    }

    @Test
    void atAPriceOverOneRequestsNeverCrossWhileTheOwnZoneIsAvailable() {
        BalancerHarness harness = new BalancerHarness(
                        withPricesAndTenants(BalancerHarness.safeSettings(), new Prices(3, 0, 0, 0, 0), List.of()))
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 1));
        for (int i = 0; i < 20; i++) {
            harness.request();
        }
        harness.advance(2 * SECOND);
        assertTrue(harness.actionsOfKind("send").stream().allMatch(a -> a.server() == 1));
    }

    @Test
    void ofFiveZonesTheOwnOneIsUsedFirstAndAnyOtherIfItIsMissing() {
        BalancerHarness harness = harness(BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL), ALL, 5);
        List<Server> servers = new ArrayList<>();
        for (int zone = 0; zone < 5; zone++) {
            servers.add(BalancerHarness.server(10 + zone, zone));
        }
        harness.fullList(servers.toArray(Server[]::new));
        assertEquals(10, harness.lastServer(harness.request()));
        harness.fullList(servers.subList(1, 5).toArray(Server[]::new));
        assertTrue(harness.lastServer(harness.request()) > 10);
    }

    @Test
    void withoutCancellationAnExpiredRequestIsAnsweredOnceAndItsAttemptIsNotCancelled() {
        BalancerHarness harness = harness(
                BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL),
                new Permits(1, false, false, false, false, 0),
                1);
        harness.fullList(BalancerHarness.server(1, 0));
        long id = harness.request();
        harness.advance(5 * SECOND);
        assertEquals(
                1,
                harness.actionsFor("refuse", id).size()
                        + harness.actionsFor("fail", id).size());
        assertEquals(0, harness.actionsOfKind("cancel").size());
        assertEquals(0, harness.actionsOfKind("probe").size());
        harness.endAttempt(id, 0, Outcome.OK, 5 * SECOND);
        assertEquals(1, harness.sends(id).size());
    }

    @Test
    void oneAttemptPermittedIsOneAttemptMade() {
        BalancerHarness harness = harness(
                BalancerHarness.requestClass(Semantics.SAFE, Scope.ALL),
                new Permits(1, false, true, true, false, 0),
                1);
        harness.fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        long id = harness.request();
        harness.endAttempt(id, 0, Outcome.CONNECT_FAILED, 1000);
        assertEquals(1, harness.sends(id).size());
        assertEquals(1, harness.actionsFor("refuse", id).size());
    }

    @Test
    void aStartedStreamIsNotCancelledOrAnsweredAgain() {
        RequestClass streamed = new RequestClass(SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, true);
        BalancerHarness harness = harness(streamed, ALL, 1);
        harness.fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        long id = harness.request();
        assertEquals(0, harness.sends(id).get(0).value(), "no timeout");
        harness.balancer.streamStarted(harness.now, id, 0, harness.lastServer(id), 1000);
        harness.advance(8 * SECOND);
        assertEquals(
                0,
                harness.actionsFor("refuse", id).size()
                        + harness.actionsFor("fail", id).size()
                        + harness.actionsFor("cancel", id).size());
        harness.endAttempt(id, 0, Outcome.OK, 8 * SECOND);
        assertEquals(1, harness.sends(id).size());
    }

    @Test
    void aStreamThatNeverStartsIsEndedInTime() {
        RequestClass streamed = new RequestClass(SECOND, 0, 4 * SECOND, Semantics.SAFE, Scope.ALL, 0, 1, 0, true);
        BalancerHarness harness = harness(streamed, ALL, 1);
        harness.fullList(BalancerHarness.server(1, 0));
        long id = harness.request();
        harness.advance(4 * SECOND);
        assertEquals(
                1,
                harness.actionsFor("refuse", id).size()
                        + harness.actionsFor("fail", id).size());
        assertEquals(1, harness.actionsFor("cancel", id).size());
    }

    @Test
    void aRequestKeyedByCellThatMayHaveRunStaysInItsCell() {
        BalancerHarness harness = harness(BalancerHarness.requestClass(Semantics.KEYED, Scope.CELL), ALL, 1);
        harness.fullList(
                new Server(1, 0, 5, 0, Balancer.Phase.READY, 1, 0),
                new Server(2, 0, 6, 0, Balancer.Phase.READY, 1, 0),
                new Server(3, 0, 6, 0, Balancer.Phase.READY, 1, 0));
        int resent = 0;
        for (int i = 0; i < 12; i++) {
            long id = harness.request(0, 9);
            long first = harness.lastServer(id);
            harness.advance(BalancerHarness.TICK);
            harness.endAttempt(id, 0, Outcome.RESET, BalancerHarness.TICK);
            harness.advance(SECOND);
            for (BalancerHarness.RecordedAction send : harness.sends(id)) {
                assertEquals(first == 1, send.server() == 1);
            }
            if (harness.sends(id).size() > 1) {
                resent++;
                harness.endAttempt(id, 1, Outcome.OK, SECOND);
            }
            harness.advance(4 * SECOND);
        }
        assertTrue(resent > 0, "some requests were retried");
    }

    @Test
    void requestsAreServedWithManyTenantsAndWithNone() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            tenants.add(new Tenant(1, 0.02));
        }
        for (List<Tenant> tenantsOfAgent : List.of(tenants, List.<Tenant>of())) {
            BalancerHarness harness = new BalancerHarness(withPricesAndTenants(
                            BalancerHarness.safeSettings(),
                            BalancerHarness.safeSettings().prices(),
                            tenantsOfAgent))
                    .fullList(BalancerHarness.server(1, 0));
            harness.balancer.request(
                    harness.now,
                    new Request(
                            900, 0, Math.max(0, tenantsOfAgent.size() - 1), 0, 0, harness.now + SECOND, false, false));
            assertEquals(1, harness.sends(900).size());
        }
    }
}
