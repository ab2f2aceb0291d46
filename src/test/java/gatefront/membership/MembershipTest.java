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

/** What two sources say together, where they disagree. */
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
                .map(each -> each.name() + " " + each.server().phase() + " "
                        + each.server().weight())
                .sorted()
                .collect(Collectors.joining(", "));
    }

    private String told(int source, ListKind kind, Endpoint... endpoints) {
        return text(membership.update(source, kind, List.of(endpoints)));
    }

    @Test
    void whatEitherListsIsThere() {
        assertEquals("a READY 2.0", told(PADRON, ListKind.FULL, ready("a")));
        assertEquals("b READY 2.0", told(OTHER, ListKind.FULL, ready("a"), ready("b")));
        assertEquals("a READY 2.0, b READY 2.0", text(membership.endpoints()));
    }

    @Test
    void aDrainToldByOneHolds() {
        told(PADRON, ListKind.FULL, ready("a"));
        told(OTHER, ListKind.FULL, ready("a"));
        assertEquals("a DRAINING 2.0", told(OTHER, ListKind.DELTA, nodo("a", Phase.DRAINING, 0, 80)));
        assertEquals("", told(PADRON, ListKind.FULL, ready("a")), "the other's word does not undo it");
        assertEquals("a READY 2.0", told(OTHER, ListKind.DELTA, ready("a")));
    }

    @Test
    void whatOneWithdrawsIsGoneThoughTheOtherListsIt() {
        told(PADRON, ListKind.FULL, ready("a"), ready("b"));
        told(OTHER, ListKind.FULL, ready("a"));
        assertEquals("a GONE 2.0", told(OTHER, ListKind.FULL));
        assertEquals("", told(PADRON, ListKind.FULL, ready("a"), ready("b")), "it stays gone");
        assertEquals("a READY 2.0", told(OTHER, ListKind.DELTA, ready("a")), "until that source lists it again");
        told(OTHER, ListKind.FULL);
        assertEquals("a READY 2.0", told(PADRON, ListKind.DELTA, nodo("a", Phase.READY, 9, 80)), "or it started anew");
    }

    @Test
    void theStartThatWasKnownWhenItWasWithdrawnDoesNotBringItBack() {
        told(PADRON, ListKind.FULL, nodo("a", Phase.READY, 5, 80));
        told(OTHER, ListKind.FULL, nodo("a", Phase.READY, 5, 80));
        told(OTHER, ListKind.FULL);
        assertEquals("", told(PADRON, ListKind.FULL, nodo("a", Phase.READY, 5, 80)));
        assertEquals("a READY 2.0", told(PADRON, ListKind.FULL, nodo("a", Phase.READY, 6, 80)));
    }

    @Test
    void whatNobodyListsAnyMoreIsForgottenSoThatWhoListsItAnewIsBelieved() {
        told(PADRON, ListKind.FULL, ready("a"));
        told(OTHER, ListKind.FULL, ready("a"));
        told(OTHER, ListKind.FULL);
        told(PADRON, ListKind.FULL);
        assertEquals("a READY 2.0", told(PADRON, ListKind.FULL, ready("a")));
    }

    @Test
    void aSourceThatNeverListedItHasNoSay() {
        told(PADRON, ListKind.FULL, ready("a"));
        assertEquals("", told(OTHER, ListKind.FULL));
        assertEquals("a READY 2.0", text(membership.endpoints()));
    }

    @Test
    void aListFromEarlierIsReplacedByTheFirstOne() {
        told(PADRON, ListKind.CACHED, ready("a"), ready("b"));
        assertEquals("b GONE 2.0, c READY 2.0", told(PADRON, ListKind.FULL, ready("a"), ready("c")));
    }

    @Test
    void addressesThatDifferAreSaidOnceAndTheFirstSourceIsHeeded() {
        told(PADRON, ListKind.FULL, ready("a"));
        assertEquals("", told(OTHER, ListKind.FULL, nodo("a", Phase.READY, 0, 81)));
        told(OTHER, ListKind.DELTA, nodo("a", Phase.READY, 0, 81));
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains("registry has a at"), lines.get(0));
    }

    @Test
    void policiesLieOverWhateverSource() {
        told(PADRON, ListKind.FULL, ready("a"), ready("b"));
        assertEquals(
                "a DRAINING 1.0", text(membership.setOverrides(Map.of("a", new ServerOverride(true, 0.5)), Map.of())));
        assertEquals(
                "a READY 1.0, b READY 1.0",
                text(membership.setOverrides(Map.of(), Map.of(0, new ServerOverride(false, 0.5)))));
        assertEquals("c READY 1.0", told(OTHER, ListKind.FULL, ready("c")));
        assertEquals("a READY 2.0, b READY 2.0, c READY 2.0", text(membership.setOverrides(Map.of(), Map.of())));
    }

    /** Whatever two sources say in whatever order: the changes told add up to the list, and nothing is kept in vain. */
    @Test
    void theChangesAddUpToTheList() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Membership mixed = new Membership(List.of("padrón", "registry"), line -> {});
            Map<String, Endpoint> known = new HashMap<>();
            for (int step = 0; step < 200; step++) {
                List<Endpoint> some = new ArrayList<>();
                for (int i = random.nextInt(4); i > 0; i--) {
                    some.add(nodo("n" + random.nextInt(5), Phase.values()[random.nextInt(3)], random.nextInt(3), 80));
                }
                ListKind kind = random.nextBoolean() ? ListKind.DELTA : ListKind.FULL;
                List<Endpoint> changed = random.nextInt(6) == 0
                        ? mixed.setOverrides(Map.of("n1", new ServerOverride(random.nextBoolean(), 0.5)), Map.of())
                        : mixed.update(random.nextInt(2), kind, some);
                for (Endpoint each : changed) {
                    if (each.server().phase() == Phase.GONE) {
                        assertTrue(known.remove(each.name()) != null, "gone twice");
                    } else {
                        assertTrue(!each.equals(known.put(each.name(), each)), "no change");
                    }
                }
                assertEquals(
                        Map.copyOf(known),
                        mixed.endpoints().stream().collect(Collectors.toMap(Endpoint::name, e -> e)));
            }
            mixed.update(PADRON, ListKind.FULL, List.of());
            mixed.update(OTHER, ListKind.FULL, List.of());
            assertEquals(List.of(), mixed.endpoints());
        }
    }
}
