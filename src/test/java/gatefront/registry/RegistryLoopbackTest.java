package gatefront.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.registry.follower.FollowerLimits;
import gatefront.registry.follower.KeyChange;
import gatefront.registry.follower.KeyEntry;
import gatefront.rehearsal.registry.ConsulStandIn;
import gatefront.rehearsal.registry.EtcdStandIn;
import gatefront.rehearsal.registry.RegistryStandIn;
import gatefront.rehearsal.world.KeyValueStore;
import gatefront.transport.SocketTransport;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The contract's heart over real sockets: cuts, compaction and members that go down, in real time. */
class RegistryLoopbackTest {
    private static final long GENEROUS_NANOS = TimeUnit.SECONDS.toNanos(30);

    @ParameterizedTest
    @EnumSource(RegistrySettings.Kind.class)
    void noChangeIsMissedOrToldTwice(RegistrySettings.Kind kind) throws Exception {
        SocketTransport sockets = new SocketTransport(); // stands and client share one loop, and real sockets
        KeyValueStore store = new KeyValueStore(3);
        List<RegistryStandIn> members = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            RegistryStandIn member = kind == RegistrySettings.Kind.ETCD
                    ? new EtcdStandIn(sockets, () -> store)
                    : new ConsulStandIn(sockets, () -> store);
            member.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync();
            members.add(member);
            addresses.add(member.address());
        }
        boolean etcd = kind == RegistrySettings.Kind.ETCD;
        List<KeyChange> told = new ArrayList<>();
        RegistryClient client = new RegistryClient(
                sockets,
                RegistrySettings.of(
                        kind,
                        addresses,
                        "a/",
                        new FollowerLimits(
                                5_000, 50_000, etcd ? 0 : 2_000, etcd ? 100_000 : 0, 500_000, 2_000_000, 0, 1_000)),
                1,
                (full, changes, all) -> told.addAll(changes));
        try {
            sockets.loop().submit(client::start).sync();
            SplittableRandom random = new SplittableRandom(4);
            boolean[] down = new boolean[members.size()];
            for (int i = 0; i < 300; i++) {
                int step = i;
                int what = random.nextInt(12);
                int member = random.nextInt(members.size());
                sockets.loop()
                        .submit(() -> {
                            store.put("a/" + step % 7, "v" + step);
                            if (what == 0) {
                                members.get(member).closeConnections();
                            } else if (what == 1) {
                                store.compact(store.revision() - 1);
                            } else if (what == 2 && !down[member]) {
                                down[member] = true;
                                members.get(member).setDown(true, null);
                                // A socket is free only after its loop has looked once more.
                                sockets.loop()
                                        .schedule(
                                                () -> {
                                                    members.get(member).setDown(false, addresses.get(member));
                                                    down[member] = false;
                                                },
                                                20,
                                                TimeUnit.MILLISECONDS);
                            }
                            members.forEach(RegistryStandIn::storeChanged);
                        })
                        .sync();
                Thread.sleep(random.nextInt(8));
            }
            long end = System.nanoTime() + GENEROUS_NANOS;
            List<KeyEntry> there = store.range("a/", KeyValueStore.prefixEnd("a/"), store.revision()).stream()
                    .map(each -> new KeyEntry(each.key(), each.value(), each.createRevision(), each.modRevision()))
                    .toList();
            while (!sockets.loop()
                    .submit(() -> List.copyOf(client.follower().entries().values()))
                    .get()
                    .equals(there)) {
                assertTrue(System.nanoTime() < end, "does not come to the registry's state");
                Thread.sleep(5);
            }
            Map<String, Long> newest = new HashMap<>();
            for (KeyChange each : sockets.loop().submit(() -> List.copyOf(told)).get()) {
                Long before = newest.put(each.key(), each.modified());
                assertTrue(before == null || before < each.modified(), each + " after " + before);
            }
            assertEquals(7, newest.size());
        } finally {
            CountDownLatch ended = new CountDownLatch(1);
            sockets.loop().execute(() -> {
                client.close();
                members.forEach(each -> each.setDown(true, null));
                sockets.close(ended::countDown);
            });
            ended.await();
        }
    }
}
