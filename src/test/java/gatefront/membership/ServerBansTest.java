package gatefront.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Server;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Servers out by hand, against a plain model where orders are random. */
class ServerBansTest {
    private final ServerBans bans = new ServerBans();

    private static Endpoint endpoint(String name, Phase phase, long startedAt) {
        return new Endpoint(
                new Server(name.hashCode(), 0, 0, 0, phase, 1, startedAt), name, new InetSocketAddress("127.0.0.1", 1));
    }

    private static Phase phase(List<Endpoint> told) {
        return told.get(0).server().phase();
    }

    @Test
    void outHoldsWhateverTheListSaysUntilTheOneCallBack() {
        assertEquals(ServerBans.Outcome.UNKNOWN_SERVER, bans.setDrained("a", true, 5));
        bans.update(ListKind.FULL, List.of(endpoint("a", Phase.READY, 0), endpoint("b", Phase.READY, 0)));
        assertEquals(ServerBans.Outcome.APPLIED, bans.setDrained("a", true, 5));
        assertEquals(ServerBans.Outcome.APPLIED, bans.setDrained("a", true, 6));
        assertEquals(Phase.DRAINING, phase(bans.effectiveEndpoint("a")));
        assertEquals(1, bans.drainedCount());
        assertEquals(Phase.GONE, phase(bans.update(ListKind.DELTA, List.of(endpoint("a", Phase.GONE, 0)))));
        assertEquals(0, bans.drainedCount(), "a server that is not listed is not in the pool");
        assertEquals(Phase.DRAINING, phase(bans.update(ListKind.DELTA, List.of(endpoint("a", Phase.READY, 9)))));
        assertEquals(Phase.DRAINING, phase(bans.update(ListKind.FULL, List.of(endpoint("a", Phase.READY, 9)))));
        assertEquals(ServerBans.Outcome.APPLIED, bans.setDrained("a", false, 7));
        assertEquals(Phase.READY, phase(bans.effectiveEndpoint("a")));
    }

    @Test
    void putBackCountsAsStartedThenAlsoInLaterLists() {
        bans.update(ListKind.FULL, List.of(endpoint("a", Phase.READY, 3)));
        bans.setDrained("a", true, 5);
        bans.setDrained("a", false, 8);
        assertEquals(8, bans.effectiveEndpoint("a").get(0).server().startedAt());
        assertEquals(
                8,
                bans.update(ListKind.DELTA, List.of(endpoint("a", Phase.READY, 3)))
                        .get(0)
                        .server()
                        .startedAt());
        assertEquals(
                9,
                bans.update(ListKind.DELTA, List.of(endpoint("a", Phase.READY, 9)))
                        .get(0)
                        .server()
                        .startedAt());
    }

    @Test
    void aBanOnAServerThatHasLeftStaysAndCanBeLifted() {
        bans.update(ListKind.FULL, List.of(endpoint("a", Phase.READY, 0)));
        bans.setDrained("a", true, 5);
        bans.update(ListKind.FULL, List.of());
        assertEquals(ServerBans.Outcome.APPLIED, bans.setDrained("a", false, 6));
        assertEquals(List.of(), bans.effectiveEndpoint("a"));
        bans.setDrained("b", true, 7 + ServerBans.READMITTED_RETENTION_MICROS);
        assertEquals(1, bans.entries().size(), "nothing was taken in, so nothing is dropped");
        bans.update(ListKind.FULL, List.of(endpoint("b", Phase.READY, 0)));
        bans.setDrained("b", true, 7 + ServerBans.READMITTED_RETENTION_MICROS);
        assertEquals(Set.of("b"), bans.entries().keySet(), "what was put back and left is forgotten");
    }

    /** Two processes get calls at random and hear of each other in any order, twice at times: both end at the last. */
    @Test
    void twoProcessesEndAtTheLastCallOfEach() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            ServerBans[] both = {new ServerBans(), new ServerBans()};
            Map<String, Boolean> model = new HashMap<>();
            Map<String, Phase> list = new HashMap<>();
            long now = 0;
            for (int step = 0; step < 60; step++) {
                now += 1 + random.nextInt(3);
                String name = "s" + random.nextInt(4);
                int which = random.nextInt(2);
                switch (random.nextInt(4)) {
                    case 0 -> {
                        boolean out = random.nextBoolean();
                        // Operators know what they did last: a call comes after both have heard of those before.
                        exchange(both);
                        if (both[which].setDrained(name, out, now) == ServerBans.Outcome.APPLIED) {
                            model.put(name, out);
                        }
                    }
                    case 1 -> {
                        boolean gone = random.nextInt(3) == 0;
                        list.put(name, gone ? Phase.GONE : Phase.READY);
                        for (ServerBans each : both) {
                            each.update(ListKind.DELTA, List.of(endpoint(name, list.get(name), 0)));
                        }
                    }
                    case 2 -> both[which].merge(both[1 - which].entries());
                    default -> both[which].merge(both[which].entries());
                }
            }
            exchange(both);
            Set<String> out = new HashSet<>();
            model.forEach((name, is) -> {
                if (is && list.get(name) == Phase.READY) {
                    out.add(name);
                }
            });
            for (ServerBans each : both) {
                Set<String> drained = new HashSet<>();
                list.keySet().forEach(name -> each.effectiveEndpoint(name).stream()
                        .filter(line -> line.server().phase() == Phase.DRAINING)
                        .forEach(line -> drained.add(name)));
                assertEquals(out, drained, "seed " + seed);
                assertEquals(out.size(), each.drainedCount());
            }
            assertTrue(both[0].entries().equals(both[1].entries()), "seed " + seed);
        }
    }

    private static void exchange(ServerBans[] both) {
        both[0].merge(both[1].entries());
        both[1].merge(both[0].entries());
    }
}
