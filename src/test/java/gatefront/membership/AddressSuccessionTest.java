package gatefront.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Server;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class AddressSuccessionTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 8080);
    private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.2", 8080);

    private final List<String> log = new ArrayList<>();
    private final AddressSuccession succession = new AddressSuccession(log::add);

    private static Endpoint endpoint(long id, InetSocketAddress address, Phase phase, long startedAt) {
        return new Endpoint(new Server(id, 0, 0, 0, phase, 1, startedAt), "s-" + id, address);
    }

    /** Returns the last phase of each server in the result. */
    private Map<String, Phase> apply(ListKind kind, Endpoint... endpoints) {
        Map<String, Phase> phases = new TreeMap<>();
        succession
                .apply(kind, List.of(endpoints))
                .forEach(endpoint ->
                        phases.put(endpoint.name(), endpoint.server().phase()));
        return phases;
    }

    @Test
    void serverWhoseAddressHasAnotherIsGoneAndItIsLoggedOnce() {
        apply(ListKind.FULL, endpoint(1, ADDRESS, Phase.READY, 0), endpoint(3, OTHER, Phase.READY, 0));
        assertEquals(
                Map.of("s-1", Phase.GONE, "s-2", Phase.READY),
                apply(ListKind.DELTA, endpoint(2, ADDRESS, Phase.READY, 7)));
        assertEquals(
                Map.of("s-1", Phase.GONE, "s-2", Phase.READY),
                apply(ListKind.FULL, endpoint(2, ADDRESS, Phase.READY, 7), endpoint(1, ADDRESS, Phase.READY, 0)));
        assertEquals(List.of("list: server s-1 is left out, its address 127.0.0.1:8080 has s-2 by now"), log);
    }

    @Test
    void laterChangeOfTheFormerServerDoesNotBringItBack() {
        apply(ListKind.FULL, endpoint(2, ADDRESS, Phase.READY, 7));
        assertEquals(Map.of("s-1", Phase.GONE), apply(ListKind.DELTA, endpoint(1, ADDRESS, Phase.READY, 3)));
    }

    @Test
    void addressIsFreeOnceItsServerIsGoneOrHasMoved() {
        apply(ListKind.FULL, endpoint(1, ADDRESS, Phase.READY, 5));
        assertEquals(
                Map.of("s-1", Phase.GONE, "s-2", Phase.READY),
                apply(ListKind.DELTA, endpoint(1, ADDRESS, Phase.GONE, 5), endpoint(2, ADDRESS, Phase.READY, 0)));
        apply(ListKind.DELTA, endpoint(2, OTHER, Phase.READY, 0));
        assertEquals(Map.of("s-3", Phase.READY), apply(ListKind.DELTA, endpoint(3, ADDRESS, Phase.READY, 0)));
        assertEquals(List.of(), log);
    }

    @Test
    void serversAtAddressesOfTheirOwnAreLeftAsTheyAre() {
        assertEquals(
                Map.of("s-1", Phase.DRAINING, "s-2", Phase.READY),
                apply(ListKind.FULL, endpoint(1, ADDRESS, Phase.DRAINING, 0), endpoint(2, OTHER, Phase.READY, 0)));
        assertEquals(Map.of("s-1", Phase.READY), apply(ListKind.DELTA, endpoint(1, ADDRESS, Phase.READY, 9)));
    }
}
