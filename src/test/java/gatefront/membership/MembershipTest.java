package gatefront.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Server;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests how the lists of two sources are merged, in particular where they differ. */
class MembershipTest {
    private static final int PADRON = 0;
    private static final int OTHER = 1;

    private final List<String> lines = new ArrayList<>();
    private final Membership membership = new Membership(List.of("padrón", "registry"), lines::add);

    private static Endpoint nodo(String name, Phase phase, long startedAt, int port) {
        return new Endpoint(
                new Server(name.hashCode(), 0, 0, 0, phase, 2, startedAt),
                name,
                InetSocketAddress.createUnresolved("127.0.0.1", port));
    }

    private static Endpoint ready(String name) {
        return nodo(name, Phase.READY, 0, 80);
    }

    private static String text(List<Endpoint> endpoints) {
        return endpoints.stream()
                .map(endpoint -> endpoint.name() + " " + endpoint.server().phase() + " "
                        + endpoint.server().weight())
                .sorted()
                .collect(Collectors.joining(", "));
    }

    private String update(int source, ListKind kind, Endpoint... endpoints) {
        return text(membership.update(source, kind, List.of(endpoints)));
    }

    @Test
    void mergedListHoldsServersOfAllSources() {
        assertEquals("a READY 2.0", update(PADRON, ListKind.FULL, ready("a")));
        assertEquals("b READY 2.0", update(OTHER, ListKind.FULL, ready("a"), ready("b")));
        assertEquals("a READY 2.0, b READY 2.0", text(membership.endpoints()));
    }

    @Test
    void drainReportedByOneSourceHolds() {
        update(PADRON, ListKind.FULL, ready("a"));
        update(OTHER, ListKind.FULL, ready("a"));
        assertEquals("a DRAINING 2.0", update(OTHER, ListKind.DELTA, nodo("a", Phase.DRAINING, 0, 80)));
        assertEquals("", update(PADRON, ListKind.FULL, ready("a")), "a list of the other source does not lift it");
        assertEquals("a READY 2.0", update(OTHER, ListKind.DELTA, ready("a")));
    }

    @Test
    void serverWithdrawnByOneSourceIsGone() {
        update(PADRON, ListKind.FULL, ready("a"), ready("b"));
        update(OTHER, ListKind.FULL, ready("a"));
        assertEquals("a GONE 2.0", update(OTHER, ListKind.FULL));
        assertEquals("", update(PADRON, ListKind.FULL, ready("a"), ready("b")), "it stays gone");
        assertEquals("a READY 2.0", update(OTHER, ListKind.DELTA, ready("a")), "until that source lists it again");
        update(OTHER, ListKind.FULL);
        assertEquals(
                "a READY 2.0",
                update(PADRON, ListKind.DELTA, nodo("a", Phase.READY, 9, 80)),
                "or another source reports a later start");
    }

    @Test
    void onlyALaterStartRestoresAWithdrawnServer() {
        update(PADRON, ListKind.FULL, nodo("a", Phase.READY, 5, 80));
        update(OTHER, ListKind.FULL, nodo("a", Phase.READY, 5, 80));
        update(OTHER, ListKind.FULL);
        assertEquals("", update(PADRON, ListKind.FULL, nodo("a", Phase.READY, 5, 80)));
        assertEquals("a READY 2.0", update(PADRON, ListKind.FULL, nodo("a", Phase.READY, 6, 80)));
    }

    @Test
    void serverThatNoSourceListsIsForgotten() {
        update(PADRON, ListKind.FULL, ready("a"));
        update(OTHER, ListKind.FULL, ready("a"));
        update(OTHER, ListKind.FULL);
        update(PADRON, ListKind.FULL);
        assertEquals("a READY 2.0", update(PADRON, ListKind.FULL, ready("a")));
    }

    @Test
    void sourceThatNeverListedAServerCannotWithdrawIt() {
        update(PADRON, ListKind.FULL, ready("a"));
        assertEquals("", update(OTHER, ListKind.FULL));
        assertEquals("a READY 2.0", text(membership.endpoints()));
    }

    @Test
    void cachedListIsReplacedByFirstFullList() {
        update(PADRON, ListKind.CACHED, ready("a"), ready("b"));
        assertEquals("b GONE 2.0, c READY 2.0", update(PADRON, ListKind.FULL, ready("a"), ready("c")));
    }

    @Test
    void addressConflictIsLoggedOnceAndFirstSourceWins() {
        update(PADRON, ListKind.FULL, ready("a"));
        assertEquals("", update(OTHER, ListKind.FULL, nodo("a", Phase.READY, 0, 81)));
        update(OTHER, ListKind.DELTA, nodo("a", Phase.READY, 0, 81));
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains("registry has a at"), lines.get(0));
    }

    @Test
    void overridesApplyToServersOfAllSources() {
        update(PADRON, ListKind.FULL, ready("a"), ready("b"));
        assertEquals(
                "a DRAINING 1.0", text(membership.setOverrides(Map.of("a", new ServerOverride(true, 0.5)), Map.of())));
        assertEquals(
                "a READY 1.0, b READY 1.0",
                text(membership.setOverrides(Map.of(), Map.of(0, new ServerOverride(false, 0.5)))));
        assertEquals("c READY 1.0", update(OTHER, ListKind.FULL, ready("c")));
        assertEquals("a READY 2.0, b READY 2.0, c READY 2.0", text(membership.setOverrides(Map.of(), Map.of())));
    }

    /** Random updates of two sources: the changes returned add up to the merged list, and no state is left over. */
    @Test
    void changesAddUpToTheMergedList() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Membership merged = new Membership(List.of("padrón", "registry"), line -> {});
            Map<String, Endpoint> known = new HashMap<>();
            for (int step = 0; step < 200; step++) {
                List<Endpoint> reported = new ArrayList<>();
                for (int i = random.nextInt(4); i > 0; i--) {
                    reported.add(
                            nodo("n" + random.nextInt(5), Phase.values()[random.nextInt(3)], random.nextInt(3), 80));
                }
                ListKind kind = random.nextBoolean() ? ListKind.DELTA : ListKind.FULL;
                List<Endpoint> changed = random.nextInt(6) == 0
                        ? merged.setOverrides(Map.of("n1", new ServerOverride(random.nextBoolean(), 0.5)), Map.of())
                        : merged.update(random.nextInt(2), kind, reported);
                for (Endpoint endpoint : changed) {
                    if (endpoint.server().phase() == Phase.GONE) {
                        assertTrue(known.remove(endpoint.name()) != null, "reported as gone twice");
                    } else {
                        assertTrue(!endpoint.equals(known.put(endpoint.name(), endpoint)), "reported without a change");
                    }
                }
                assertEquals(
                        Map.copyOf(known),
                        merged.endpoints().stream().collect(Collectors.toMap(Endpoint::name, e -> e)));
            }
            merged.update(PADRON, ListKind.FULL, List.of());
            merged.update(OTHER, ListKind.FULL, List.of());
            assertEquals(List.of(), merged.endpoints());
        }
    }
}
