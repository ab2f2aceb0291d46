package gatefront.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.config.Config;
import gatefront.engine.ClientRequest;
import gatefront.engine.Exchange;
import gatefront.engine.Frontend;
import gatefront.transport.HeldLoop;
import gatefront.transport.SocketTransport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that no peer is judged by its silence while the event loop was held up: what arrived in that time counts.
 */
class HeldLoopTest {
    private static final int MAX_CONNECTIONS = 12;
    private static final String HEALTH_CHECK = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    private final SocketTransport transport = new SocketTransport();
    private final List<Socket> clients = new ArrayList<>();
    private final ResourceBudget budget = new ResourceBudget(1 << 24, Map.of());
    private HttpFrontend frontend;

    @BeforeEach
    void listen() {
        frontend = new HttpFrontend(
                transport,
                Config.read(Path.of("src/test/resources/config.json")),
                MAX_CONNECTIONS,
                () -> true,
                budget,
                new Frontend.Listener() {
                    @Override
                    public void request(ClientRequest request, long sentNanos, Exchange exchange) {
                        throw new IllegalStateException("only health checks are sent");
                    }

                    @Override
                    public void clientLeft(Exchange exchange) {}
                });
        assertTrue(frontend.listen().awaitUninterruptibly().isSuccess());
    }

    @AfterEach
    void close() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        transport.close(() -> {});
    }

    private Socket dial() throws IOException {
        Socket client = new Socket(
                InetAddress.getLoopbackAddress(),
                ((InetSocketAddress) frontend.channel().localAddress()).getPort());
        client.setSoTimeout(10_000);
        clients.add(client);
        return client;
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static int status(Socket client) throws IOException {
        String start = new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        return start.isEmpty() ? 0 : Integer.parseInt(start.substring(9));
    }

    private void awaitConnections(int count) throws Exception {
        while (transport
                .loop()
                .submit(() -> budget.account(ResourcePurpose.CALLER_CONNECTIONS).entries() < count)
                .get()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static void pass(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    /** Guards against closing a new connection, to admit another, over a request that the loop has not read. */
    @Test
    void evictionReadsWhatArrivedInTheMeantime() throws Exception {
        for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
            dial();
        }
        awaitConnections(MAX_CONNECTIONS - 1);
        pass(150);
        HeldLoop held = HeldLoop.hold(transport.loop(), () -> {});
        for (int i = 0; i < 4; i++) {
            dial(); // before the requests, so that the loop accepts first
        }
        for (Socket client : clients) {
            send(client, HEALTH_CHECK);
        }
        pass(300);
        held.release();
        for (Socket client : clients) {
            assertEquals(200, status(client));
        }
    }

    /** Guards against losing a request at shutdown that arrived just before: on a new and on an idle connection. */
    @Test
    void drainReadsWhatArrivedInTheMeantime() throws Exception {
        Socket idle = dial();
        send(idle, HEALTH_CHECK);
        assertEquals(200, status(idle));
        idle.getInputStream().skipNBytes(idle.getInputStream().available());
        Socket silent = dial();
        awaitConnections(2);
        HeldLoop held = HeldLoop.hold(transport.loop(), frontend::drain);
        send(idle, HEALTH_CHECK);
        send(silent, HEALTH_CHECK);
        pass(50);
        held.release();
        assertEquals(200, status(silent));
        String rest = new String(idle.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(rest.contains("HTTP/1.1 200"), rest);
    }

    /** Guards against resetting a request whose connection is still in the accept queue when the listener closes. */
    @Test
    void stopAnswersWhatWaitsInTheAcceptQueue() throws Exception {
        HeldLoop held = HeldLoop.hold(transport.loop(), frontend::stopListening);
        Socket client = dial();
        send(client, HEALTH_CHECK);
        pass(50);
        held.release();
        assertEquals(200, status(client));
    }

    /** Guards against losing the rest of a request that arrived just before the listener closes. */
    @Test
    void stopReadsTheRestOfARequest() throws Exception {
        Socket client = dial();
        send(client, HEALTH_CHECK.substring(0, 10));
        awaitConnections(1);
        pass(50);
        HeldLoop held = HeldLoop.hold(transport.loop(), frontend::stopListening);
        send(client, HEALTH_CHECK.substring(10));
        pass(50);
        held.release();
        assertEquals(200, status(client));
    }

    /** Guards against a first-byte timeout, due in the turn in which the loop was held up, over a sent request. */
    @Test
    void firstByteTimeoutReadsWhatArrivedInTheMeantime() throws Exception {
        Socket client = dial();
        awaitConnections(1);
        pass(1_700);
        HeldLoop held = HeldLoop.holdBeforeTimers(transport.loop(), 150);
        send(client, HEALTH_CHECK);
        pass(400);
        held.release();
        assertEquals(200, status(client));
    }

    /** Guards against taking the time of a hold, in which clients were held up as well, for a connection's silence. */
    @Test
    void evictionDoesNotCountTheTimeOfAHold() throws Exception {
        for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
            dial();
        }
        awaitConnections(MAX_CONNECTIONS - 1);
        HeldLoop held = HeldLoop.hold(transport.loop(), () -> {});
        for (int i = 0; i < 4; i++) {
            dial();
        }
        pass(300);
        held.release();
        awaitConnections(MAX_CONNECTIONS);
        for (Socket client : clients) {
            send(client, HEALTH_CHECK);
        }
        for (Socket client : clients) {
            assertEquals(200, status(client));
        }
    }

    /** Guards against silent connections that shut out others for as long as they stay open. */
    @Test
    void silentConnectionsAreEvictedAtTheLimit() throws Exception {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            dial();
        }
        awaitConnections(MAX_CONNECTIONS);
        long start = System.nanoTime();
        Socket client = dial();
        send(client, HEALTH_CHECK);
        assertEquals(200, status(client));
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertTrue(waitedMs < 1_000, "below the first-byte timeout: " + waitedMs + " ms");
    }
}
