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
        assertEquals(ServerBans.Answer.UNKNOWN, bans.call("a", true, 5));
        bans.told(ListKind.FULL, List.of(endpoint("a", Phase.READY, 0), endpoint("b", Phase.READY, 0)));
        assertEquals(ServerBans.Answer.YES, bans.call("a", true, 5));
        assertEquals(ServerBans.Answer.YES, bans.call("a", true, 6));
        assertEquals(Phase.DRAINING, phase(bans.line("a")));
        assertEquals(1, bans.out());
        assertEquals(Phase.GONE, phase(bans.told(ListKind.DELTA, List.of(endpoint("a", Phase.GONE, 0)))));
        assertEquals(0, bans.out(), "a server that is not listed is not in the pool");
        assertEquals(Phase.DRAINING, phase(bans.told(ListKind.DELTA, List.of(endpoint("a", Phase.READY, 9)))));
        assertEquals(Phase.DRAINING, phase(bans.told(ListKind.FULL, List.of(endpoint("a", Phase.READY, 9)))));
        assertEquals(ServerBans.Answer.YES, bans.call("a", false, 7));
        assertEquals(Phase.READY, phase(bans.line("a")));
    }

    @Test
    void putBackCountsAsStartedThenAlsoInLaterLists() {
        bans.told(ListKind.FULL, List.of(endpoint("a", Phase.READY, 3)));
        bans.call("a", true, 5);
        bans.call("a", false, 8);
        assertEquals(8, bans.line("a").get(0).server().startedAt());
        assertEquals(
                8,
                bans.told(ListKind.DELTA, List.of(endpoint("a", Phase.READY, 3)))
                        .get(0)
                        .server()
                        .startedAt());
        assertEquals(
                9,
                bans.told(ListKind.DELTA, List.of(endpoint("a", Phase.READY, 9)))
                        .get(0)
                        .server()
                        .startedAt());
    }

    @Test
    void aBanOnAServerThatHasLeftStaysAndCanBeLifted() {
        bans.told(ListKind.FULL, List.of(endpoint("a", Phase.READY, 0)));
        bans.call("a", true, 5);
        bans.told(ListKind.FULL, List.of());
        assertEquals(ServerBans.Answer.YES, bans.call("a", false, 6));
        assertEquals(List.of(), bans.line("a"));
        bans.call("b", true, 7 + ServerBans.KEPT);
        assertEquals(1, bans.entries().size(), "nothing was taken in, so nothing is dropped");
        bans.told(ListKind.FULL, List.of(endpoint("b", Phase.READY, 0)));
        bans.call("b", true, 7 + ServerBans.KEPT);
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
                        if (both[which].call(name, out, now) == ServerBans.Answer.YES) {
                            model.put(name, out);
                        }
                    }
                    case 1 -> {
                        boolean gone = random.nextInt(3) == 0;
                        list.put(name, gone ? Phase.GONE : Phase.READY);
                        for (ServerBans each : both) {
                            each.told(ListKind.DELTA, List.of(endpoint(name, list.get(name), 0)));
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
                list.keySet().forEach(name -> each.line(name).stream()
                        .filter(line -> line.server().phase() == Phase.DRAINING)
                        .forEach(line -> drained.add(name)));
                assertEquals(out, drained, "seed " + seed);
                assertEquals(out.size(), each.out());
            }
            assertTrue(both[0].entries().equals(both[1].entries()), "seed " + seed);
        }
    }

    private static void exchange(ServerBans[] both) {
        both[0].merge(both[1].entries());
        both[1].merge(both[0].entries());
    }
}
