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

/**
 * Measures the time to resynchronise over loopback, for the design note. Run it manually: {@code mvn test
 * -Dtest=ResyncFigures}.
 */
class ResyncFigures {
    private static final int KEYS = 10_000;
    private static final int ROUNDS = 40;

    /** Measures from the disconnection, with all changes compacted, until the follower has the newest state. */
    @ParameterizedTest
    @EnumSource(RegistrySettings.Kind.class)
    void timeToResync(RegistrySettings.Kind kind) throws Exception {
        SocketTransport registryTransport = new SocketTransport();
        SocketTransport clientTransport = new SocketTransport();
        KeyValueStore store = new KeyValueStore(1);
        TreeMap<String, String> entries = new TreeMap<>();
        for (int i = 0; i < KEYS; i++) {
            entries.put(
                    "oaxaca/nodos/nodo-" + i,
                    "{\"address\":\"10.1.0." + i % 250 + ":3000\",\"zone\":\"a\","
                            + "\"type\":\"m2\",\"group\":3,\"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0}");
        }
        store.commit(entries);
        boolean etcd = kind == RegistrySettings.Kind.ETCD;
        RegistryStandIn member = etcd
                ? new EtcdStandIn(registryTransport, () -> store)
                : new ConsulStandIn(registryTransport, () -> store);
        member.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync();
        RegistryClient client = new RegistryClient(
                clientTransport,
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
        clientTransport.loop().submit(client::start).sync();
        double[] millis = new double[ROUNDS];
        for (int round = -5; round < ROUNDS; round++) {
            int value = round;
            registryTransport
                    .loop()
                    .submit(() -> {
                        store.put("oaxaca/nodos/nodo-1", "{" + value + "}");
                        store.compact(store.revision());
                        member.closeConnections();
                    })
                    .sync();
            long startNanos = System.nanoTime();
            while (clientTransport
                            .loop()
                            .submit(() -> client.follower().revision())
                            .get()
                    < store.revision()) {
                Thread.sleep(1);
            }
            if (round >= 0) {
                millis[round] = (System.nanoTime() - startNanos) / 1e6;
            }
        }
        Arrays.sort(millis);
        System.out.printf(
                "%s, %d nodos: median %.0f ms, worst of %d %.0f ms%n",
                kind, KEYS, millis[ROUNDS / 2], ROUNDS, millis[ROUNDS - 1]);
        clientTransport.loop().submit(client::close).sync();
    }
}
