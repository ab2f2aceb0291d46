package gatefront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.registry.ConsulStandIn;
import gatefront.rehearsal.registry.EtcdStandIn;
import gatefront.rehearsal.registry.RegistryStandIn;
import gatefront.rehearsal.world.KeyValueStore;
import gatefront.transport.SocketTransport;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the output of the command registry watch. */
class RegistryCommandTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        return Main.run(args, new PrintStream(out), new PrintStream(err));
    }

    @ParameterizedTest
    @ValueSource(strings = {"etcd", "consul"})
    void existingKeysArePrintedWithTheirRevisions(String kind) throws Exception {
        SocketTransport sockets = new SocketTransport();
        try {
            KeyValueStore keys = new KeyValueStore(1);
            keys.put("oaxaca/nodos/a", "1");
            keys.put("elsewhere", "2");
            keys.put("oaxaca/nodos/b", "3");
            RegistryStandIn standIn =
                    kind.equals("etcd") ? new EtcdStandIn(sockets, () -> keys) : new ConsulStandIn(sockets, () -> keys);
            standIn.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync();
            String url = kind + "://127.0.0.1:" + standIn.address().getPort();
            assertEquals(0, run("registry", "watch", "--once", url, "oaxaca/"), err.toString());
            assertEquals("2 put oaxaca/nodos/a 1\n4 put oaxaca/nodos/b 3\n", out.toString());
        } finally {
            sockets.close(() -> {});
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"etdc://127.0.0.1:1", "etcd://somewhere:1", "etcd"})
    void anInvalidAddressIsReportedInOneLine(String url) {
        assertEquals(1, run("registry", "watch", "--once", url, "oaxaca/"));
        assertTrue(err.toString().startsWith("gatefront: command line:"), err.toString());
        assertEquals(1, err.toString().lines().count(), err.toString());
    }
}
