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

/** Tests manual drains, in part against a reference model with random orders of events. */
class ServerBansTest {
    private final ServerBans bans = new ServerBans();

    private static Endpoint endpoint(String name, Phase phase, long startedAt) {
        return new Endpoint(
                new Server(name.hashCode(), 0, 0, 0, phase, 1, startedAt), name, new InetSocketAddress("127.0.0.1", 1));
    }

    private static Phase phase(List<Endpoint> endpoints) {
        return endpoints.get(0).server().phase();
    }

    @Test
    void drainHoldsAcrossListUpdatesUntilPutBackOnce() {
        assertEquals(ServerBans.Outcome.UNKNOWN_SERVER, bans.setDrained("a", true, 5));
        bans.update(ListKind.FULL, List.of(endpoint("a", Phase.READY, 0), endpoint("b", Phase.READY, 0)));
        assertEquals(ServerBans.Outcome.APPLIED, bans.setDrained("a", true, 5));
        assertEquals(ServerBans.Outcome.APPLIED, bans.setDrained("a", true, 6));
        assertEquals(Phase.DRAINING, phase(bans.effectiveEndpoint("a")));
        assertEquals(1, bans.drainedCount());
        assertEquals(Phase.GONE, phase(bans.update(ListKind.DELTA, List.of(endpoint("a", Phase.GONE, 0)))));
        assertEquals(0, bans.drainedCount(), "a server that is not listed is not counted");
        assertEquals(Phase.DRAINING, phase(bans.update(ListKind.DELTA, List.of(endpoint("a", Phase.READY, 9)))));
        assertEquals(Phase.DRAINING, phase(bans.update(ListKind.FULL, List.of(endpoint("a", Phase.READY, 9)))));
        assertEquals(ServerBans.Outcome.APPLIED, bans.setDrained("a", false, 7));
        assertEquals(Phase.READY, phase(bans.effectiveEndpoint("a")));
    }

    @Test
    void putBackServerCountsAsStartedAtThatTime() {
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
    void drainOfAnUnlistedServerStaysAndCanBeLifted() {
        bans.update(ListKind.FULL, List.of(endpoint("a", Phase.READY, 0)));
        bans.setDrained("a", true, 5);
        bans.update(ListKind.FULL, List.of());
        assertEquals(ServerBans.Outcome.APPLIED, bans.setDrained("a", false, 6));
        assertEquals(List.of(), bans.effectiveEndpoint("a"));
        bans.setDrained("b", true, 7 + ServerBans.READMITTED_RETENTION_MICROS);
        assertEquals(1, bans.entries().size(), "an unknown server adds no entry and evicts none");
        bans.update(ListKind.FULL, List.of(endpoint("b", Phase.READY, 0)));
        bans.setDrained("b", true, 7 + ServerBans.READMITTED_RETENTION_MICROS);
        assertEquals(Set.of("b"), bans.entries().keySet(), "an unlisted server that was put back is evicted");
    }

    /** Two processes get random changes and merge in any order, some twice: both converge to the last change. */
    @Test
    void twoProcessesConvergeToTheLastChangeOfEachServer() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            ServerBans[] processes = {new ServerBans(), new ServerBans()};
            Map<String, Boolean> model = new HashMap<>();
            Map<String, Phase> list = new HashMap<>();
            long now = 0;
            for (int step = 0; step < 60; step++) {
                now += 1 + random.nextInt(3);
                String name = "s" + random.nextInt(4);
                int index = random.nextInt(2);
                switch (random.nextInt(4)) {
                    case 0 -> {
                        boolean drained = random.nextBoolean();
                        // An operator acts on the present state: a change follows once both processes have merged
                        // earlier ones.
                        exchange(processes);
                        if (processes[index].setDrained(name, drained, now) == ServerBans.Outcome.APPLIED) {
                            model.put(name, drained);
                        }
                    }
                    case 1 -> {
                        boolean gone = random.nextInt(3) == 0;
                        list.put(name, gone ? Phase.GONE : Phase.READY);
                        for (ServerBans process : processes) {
                            process.update(ListKind.DELTA, List.of(endpoint(name, list.get(name), 0)));
                        }
                    }
                    case 2 -> processes[index].merge(processes[1 - index].entries());
                    default -> processes[index].merge(processes[index].entries());
                }
            }
            exchange(processes);
            Set<String> expected = new HashSet<>();
            model.forEach((name, drained) -> {
                if (drained && list.get(name) == Phase.READY) {
                    expected.add(name);
                }
            });
            for (ServerBans process : processes) {
                Set<String> drained = new HashSet<>();
                list.keySet().forEach(name -> process.effectiveEndpoint(name).stream()
                        .filter(line -> line.server().phase() == Phase.DRAINING)
                        .forEach(line -> drained.add(name)));
                assertEquals(expected, drained, "seed " + seed);
                assertEquals(expected.size(), process.drainedCount());
            }
            assertTrue(processes[0].entries().equals(processes[1].entries()), "seed " + seed);
        }
    }

    private static void exchange(ServerBans[] processes) {
        processes[0].merge(processes[1].entries());
        processes[1].merge(processes[0].entries());
    }
}
