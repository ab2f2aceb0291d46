package gatefront.status;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gatefront.transport.HeldLoop;
import gatefront.transport.SocketTransport;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that an operator's request that arrived while the event loop was held up is answered. */
class HeldLoopOperatorTest {
    private static final int MAX_CONNECTIONS = 2;
    private static final long REQUEST_TIMEOUT_MS = 300;

    private final SocketTransport transport = new SocketTransport();
    private OperatorHttpServer server;

    @BeforeEach
    void listen() {
        server =
                new OperatorHttpServer(
                        transport,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        MAX_CONNECTIONS,
                        REQUEST_TIMEOUT_MS) {
                    @Override
                    protected void handle(FullHttpRequest request, Consumer<Response> responder) {
                        responder.accept(Response.plain(200, "ok\n"));
                    }
                };
        server.listen().syncUninterruptibly();
    }

    @AfterEach
    void close() {
        transport.close(() -> {});
    }

    private Socket dial() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
    }

    private static void send(Socket client) throws IOException {
        client.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    private static String statusLine(Socket client) throws IOException {
        client.setSoTimeout(10_000);
        return new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
    }

    /** Guards against a request timeout over a request that has arrived. */
    @Test
    void requestTimeoutReadsWhatHasArrived() throws Exception {
        try (Socket client = dial()) {
            TimeUnit.MILLISECONDS.sleep(50);
            HeldLoop held = HeldLoop.holdBeforeTimers(transport.loop(), REQUEST_TIMEOUT_MS);
            send(client);
            TimeUnit.MILLISECONDS.sleep(50);
            held.release();
            assertEquals("HTTP/1.1 200", statusLine(client));
        }
    }

    /** Guards against closing the oldest connection, to admit another, over a request that has arrived. */
    @Test
    void limitReadsWhatHasArrived() throws Exception {
        try (Socket oldest = dial();
                Socket second = dial()) {
            TimeUnit.MILLISECONDS.sleep(50);
            HeldLoop held = HeldLoop.hold(transport.loop(), () -> {});
            try (Socket third = dial()) {
                send(oldest); // after the connect, so that the loop accepts first
                send(second);
                send(third);
                TimeUnit.MILLISECONDS.sleep(50);
                held.release();
                assertEquals("HTTP/1.1 200", statusLine(oldest));
                assertEquals("HTTP/1.1 200", statusLine(third));
            }
        }
    }
}
