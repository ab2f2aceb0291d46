package gatefront.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.engine.ClientRequest;
import gatefront.engine.Exchange;
import gatefront.engine.Frontend;
import gatefront.transport.SocketTransport;
import gatefront.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against connections that wait long in the accept queue because one call of {@code accept} has failed. */
class FailingAcceptTest {
    private static final int ROUNDS = 10;
    /** Less than the shortest timeout of a client's request. */
    private static final long MAX_WAIT_MS = 50;

    private final SocketTransport sockets = new SocketTransport();
    private final AtomicInteger failuresLeft = new AtomicInteger();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private HttpFrontend frontend;

    /** Sockets whose listeners fail to accept, as often as the test says. */
    private final class FailingAcceptTransport implements Transport {
        @Override
        public EventLoop loop() {
            return sockets.loop();
        }

        @Override
        public long wallMicros() {
            return sockets.wallMicros();
        }

        @Override
        public ChannelFactory<? extends ServerChannel> serverChannels() {
            return () -> new NioServerSocketChannel() {
                @Override
                protected int doReadMessages(List<Object> accepted) throws Exception {
                    if (failuresLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                        throw new IOException("Too many open files in system");
                    }
                    return super.doReadMessages(accepted);
                }
            };
        }

        @Override
        public ChannelFactory<? extends Channel> clientChannels() {
            return sockets.clientChannels();
        }

        @Override
        public boolean hasNoUnreadInput(Channel channel) {
            return sockets.hasNoUnreadInput(channel);
        }

        @Override
        public long maxMemoryBytes() {
            return sockets.maxMemoryBytes();
        }

        @Override
        public void log(String line) {
            log.add(line);
        }

        @Override
        public void close(Runnable onClosed) {
            sockets.close(onClosed);
        }
    }

    @BeforeEach
    void listen() {
        frontend = new HttpFrontend(
                new FailingAcceptTransport(),
                Config.read(Path.of("src/test/resources/config.json")),
                100,
                () -> true,
                new ResourceBudget(1 << 24, Map.of()),
                new Frontend.Listener() {
                    @Override
                    public void request(ClientRequest request, long sentNanos, Exchange exchange) {
                        throw new IllegalStateException("only health checks are sent");
                    }

                    @Override
                    public void clientLeft(Exchange exchange) {}
                });
        assertTrue(frontend.listen().awaitUninterruptibly().isSuccess());
        assertTrue(healthCheckMillis() >= 0, "warmed up");
    }

    @AfterEach
    void close() {
        sockets.close(() -> {});
    }

    /** Returns how long a health check on a new connection takes. */
    private long healthCheckMillis() {
        long start = System.nanoTime();
        try (Socket client = new Socket(
                InetAddress.getLoopbackAddress(),
                ((InetSocketAddress) frontend.channel().localAddress()).getPort())) {
            client.setSoTimeout(10_000);
            client.getOutputStream()
                    .write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 200", new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    @Test
    void connectionIsAcceptedSoonAfterAFailure() {
        for (int round = 0; round < ROUNDS; round++) {
            failuresLeft.set(1);
            long waitedMs = healthCheckMillis();
            assertTrue(waitedMs <= MAX_WAIT_MS, "round " + round + ": " + waitedMs + " ms");
        }
    }

    @Test
    void failuresAreLoggedOnceInAWhileAndDoNotTurnTheLoop() throws Exception {
        failuresLeft.set(1_000_000);
        try (Socket client = new Socket(
                InetAddress.getLoopbackAddress(),
                ((InetSocketAddress) frontend.channel().localAddress()).getPort())) {
            TimeUnit.MILLISECONDS.sleep(500);
            assertTrue(client.isConnected());
        }
        int failures = 1_000_000 - failuresLeft.getAndSet(0);
        assertTrue(failures >= 5 && failures <= 200, failures + " calls in 0.5 s");
        assertEquals(
                1,
                log.stream()
                        .filter(line -> line.startsWith("accepting connections failed"))
                        .count());
        healthCheckMillis();
    }
}
