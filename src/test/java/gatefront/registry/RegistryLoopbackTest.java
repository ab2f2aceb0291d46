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

/**
 * The main part of the registry contract over real sockets and in real time: disconnections, compaction and members
 * that go down.
 */
class RegistryLoopbackTest {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    @ParameterizedTest
    @EnumSource(RegistrySettings.Kind.class)
    void noChangeIsLostOrReportedTwice(RegistrySettings.Kind kind) throws Exception {
        // The stand-ins and the client share one event loop and use real sockets.
        SocketTransport sockets = new SocketTransport();
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
        List<KeyChange> reported = new ArrayList<>();
        RegistryClient client = new RegistryClient(
                sockets,
                RegistrySettings.of(
                        kind,
                        addresses,
                        "a/",
                        new FollowerLimits(
                                5_000, 50_000, etcd ? 0 : 2_000, etcd ? 100_000 : 0, 500_000, 2_000_000, 0, 1_000)),
                1,
                (full, changes, all) -> reported.addAll(changes));
        try {
            sockets.loop().submit(client::start).sync();
            SplittableRandom random = new SplittableRandom(4);
            boolean[] down = new boolean[members.size()];
            for (int i = 0; i < 300; i++) {
                int step = i;
                int fault = random.nextInt(12);
                int member = random.nextInt(members.size());
                sockets.loop()
                        .submit(() -> {
                            store.put("a/" + step % 7, "v" + step);
                            if (fault == 0) {
                                members.get(member).closeConnections();
                            } else if (fault == 1) {
                                store.compact(store.revision() - 1);
                            } else if (fault == 2 && !down[member]) {
                                down[member] = true;
                                members.get(member).setDown(true, null);
                                // The event loop releases a socket only in its next iteration.
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
            long timeoutNanos = System.nanoTime() + TIMEOUT_NANOS;
            List<KeyEntry> expected = store.range("a/", KeyValueStore.prefixEnd("a/"), store.revision()).stream()
                    .map(entry -> new KeyEntry(entry.key(), entry.value(), entry.createRevision(), entry.modRevision()))
                    .toList();
            while (!sockets.loop()
                    .submit(() -> List.copyOf(client.follower().entries().values()))
                    .get()
                    .equals(expected)) {
                assertTrue(System.nanoTime() < timeoutNanos, "the entries do not reach the state of the registry");
                Thread.sleep(5);
            }
            Map<String, Long> newestRevisions = new HashMap<>();
            for (KeyChange change :
                    sockets.loop().submit(() -> List.copyOf(reported)).get()) {
                Long before = newestRevisions.put(change.key(), change.modRevision());
                assertTrue(before == null || before < change.modRevision(), change + " after " + before);
            }
            assertEquals(7, newestRevisions.size());
        } finally {
            CountDownLatch ended = new CountDownLatch(1);
            sockets.loop().execute(() -> {
                client.close();
                members.forEach(member -> member.setDown(true, null));
                sockets.close(ended::countDown);
            });
            ended.await();
        }
    }
}
