package gatefront.policy;

import static gatefront.policy.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Permits;
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
}
