package gatefront.padron;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.config.Config;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer.ListKind;
import gatefront.transport.HeldLoop;
import gatefront.transport.SocketTransport;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that a server list that arrived while the event loop was held up is used. */
class HeldLoopDiscoveryTest {
    /** Guards against a timeout that drops a list which has arrived. */
    @Test
    void listTimeoutReadsAListThatHasArrived() throws Exception {
        SocketTransport transport = new SocketTransport();
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            ObjectNode root = (ObjectNode)
                    new ObjectMapper().readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
            root.put("discovery", "127.0.0.1:" + listener.getLocalPort());
            Discovery discovery = new Discovery(transport, Config.fromJson(root), new Discovery.Listener() {
                @Override
                public void listReceived(ListKind kind, List<Endpoint> endpoints) {
                    events.add(kind.name());
                }

                @Override
                public void requestFailed(String reason) {
                    events.add(reason);
                }
            });
            transport.loop().execute(discovery::watch);
            try (Socket server = listener.accept()) {
                server.getInputStream().readNBytes(16);
                HeldLoop held = HeldLoop.holdBeforeTimers(transport.loop(), 2_100); // the timeout is 2 s
                String list = "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}";
                server.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.US_ASCII));
                TimeUnit.MILLISECONDS.sleep(50);
                held.release();
                assertEquals("FULL", events.poll(10, TimeUnit.SECONDS));
            }
            transport.loop().submit(discovery::close).get();
        } finally {
            transport.close(() -> {});
        }
    }
}
