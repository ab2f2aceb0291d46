package gatefront.registry;

import gatefront.registry.follower.FollowerLimits;
import gatefront.rehearsal.registry.ConsulStandIn;
import gatefront.rehearsal.registry.EtcdStandIn;
import gatefront.rehearsal.registry.RegistryStandIn;
import gatefront.rehearsal.world.KeyValueStore;
import gatefront.transport.SocketTransport;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Time to resync over loopback, for the design note; by hand: {@code mvn test -Dtest=ResyncFigures}. */
class ResyncFigures {
    private static final int KEYS = 10_000;
    private static final int ROUNDS = 40;

    /** From the moment the connection is cut, and all behind it compacted, to the newest state in the follower. */
    @ParameterizedTest
    @EnumSource(RegistrySettings.Kind.class)
    void timeToResync(RegistrySettings.Kind kind) throws Exception {
        SocketTransport there = new SocketTransport();
        SocketTransport here = new SocketTransport();
        KeyValueStore store = new KeyValueStore(1);
        TreeMap<String, String> all = new TreeMap<>();
        for (int i = 0; i < KEYS; i++) {
            all.put(
                    "oaxaca/nodos/nodo-" + i,
                    "{\"address\":\"10.1.0." + i % 250 + ":3000\",\"zone\":\"a\","
                            + "\"type\":\"m2\",\"group\":3,\"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0}");
        }
        store.commit(all);
        boolean etcd = kind == RegistrySettings.Kind.ETCD;
        RegistryStandIn member = etcd ? new EtcdStandIn(there, () -> store) : new ConsulStandIn(there, () -> store);
        member.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync();
        RegistryClient client = new RegistryClient(
                here,
                RegistrySettings.of(
                        kind,
                        List.of(member.address()),
                        "oaxaca/",
                        new FollowerLimits(
                                50_000,
                                1_000_000,
                                etcd ? 0 : 60_000,
                                etcd ? 2_000_000 : 0,
                                8_000_000,
                                30_000_000,
                                0,
                                20_000)),
                1,
                (full, changes, now) -> {});
        here.loop().submit(client::start).sync();
        double[] millis = new double[ROUNDS];
        for (int round = -5; round < ROUNDS; round++) {
            int value = round;
            there.loop()
                    .submit(() -> {
                        store.put("oaxaca/nodos/nodo-1", "{" + value + "}");
                        store.compact(store.revision());
                        member.closeConnections();
                    })
                    .sync();
            long began = System.nanoTime();
            while (here.loop().submit(() -> client.follower().revision()).get() < store.revision()) {
                Thread.sleep(1);
            }
            if (round >= 0) {
                millis[round] = (System.nanoTime() - began) / 1e6;
            }
        }
        Arrays.sort(millis);
        System.out.printf(
                "%s, %d nodos: median %.0f ms, worst of %d %.0f ms%n",
                kind, KEYS, millis[ROUNDS / 2], ROUNDS, millis[ROUNDS - 1]);
        here.loop().submit(client::close).sync();
    }
}
