package gatefront.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Server;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class OwnAddressFilterTest {
    private static final InetSocketAddress OWN = new InetSocketAddress("127.0.0.1", 8080);
    private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.2", 8080);

    private final List<String> log = new ArrayList<>();
    private final OwnAddressFilter filter = new OwnAddressFilter(OWN::equals, log::add);

    private static Endpoint endpoint(long id, InetSocketAddress address) {
        return new Endpoint(new Server(id, 0, 0, 0, Phase.READY, 1, 0), "s-" + id, address);
    }

    private List<Phase> phases(Endpoint... endpoints) {
        return filter.apply(List.of(endpoints)).stream()
                .map(endpoint -> endpoint.server().phase())
                .toList();
    }

    @Test
    void onlyTheServerAtTheOwnAddressIsGoneAndItIsLoggedOnce() {
        assertEquals(List.of(Phase.GONE, Phase.READY), phases(endpoint(1, OWN), endpoint(2, OTHER)));
        assertEquals(List.of(Phase.GONE), phases(endpoint(1, OWN)));
        assertEquals(List.of("list: server s-1 is left out, its address 127.0.0.1:8080 is this agent's own"), log);
    }

    @Test
    void serverThatMovesToAnotherAddressIsBack() {
        phases(endpoint(1, OWN));
        assertEquals(List.of(Phase.READY), phases(endpoint(1, OTHER)));
        phases(endpoint(1, OWN));
        assertEquals(2, log.size());
    }
}
