package gatefront.rehearsal.processes;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.processes.Relay.Flow;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a relay does to the bytes of a connection, on loopback. */
class RelayTest {
    private static final InetAddress HOST = InetAddress.getLoopbackAddress();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private ServerSocket server;
    private Relay relay;
    private Socket near;
    private Socket far;

    @BeforeEach
    void connect() throws IOException {
        server = new ServerSocket(0, 50, HOST);
        relay = new Relay(group.next(), HOST, (InetSocketAddress) server.getLocalSocketAddress());
        near = dial();
        far = server.accept();
        far.setSoTimeout(5_000);
    }

    private Socket dial() throws IOException {
        Socket socket = new Socket();
        socket.connect(relay.address(), 5_000);
        socket.setSoTimeout(5_000);
        return socket;
    }

    /** Sets the conditions and waits until the event loop has applied them, so that later bytes are subject to them. */
    private void setConditions(Flow flow, LinkConditions conditions) throws InterruptedException {
        relay.setConditions(flow, conditions);
        group.next().submit(() -> {}).sync();
    }

    @AfterEach
    void tearDown() throws IOException {
        relay.close();
        near.close();
        far.close();
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static byte[] bytes(int n) {
        byte[] bytes = new byte[n];
        new Random(n).nextBytes(bytes);
        return bytes;
    }

    @Test
    void bytesAndHalfClosesPassInOrder() throws Exception {
        byte[] payload = bytes(3 << 20);
        Thread writer = new Thread(() -> {
            try {
                near.getOutputStream().write(payload);
                near.shutdownOutput();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        writer.start();
        assertArrayEquals(payload, far.getInputStream().readAllBytes());
        far.getOutputStream().write(bytes(7)); // the other direction is closed already
        far.close();
        assertArrayEquals(bytes(7), near.getInputStream().readAllBytes());
        writer.join();
    }

    @Test
    void resetIsForwardedAsReset() throws Exception {
        far.setSoLinger(true, 0);
        far.close();
        assertThrows(SocketException.class, () -> near.getInputStream().read());
    }

    /** The relay may have reset the connection before connect() returns, which then reports the reset. */
    @Test
    void refusedConnectionIsForwardedAsReset() throws Exception {
        server.close();
        SocketException reset = assertThrows(SocketException.class, this::dialAndRead);
        assertTrue(reset.getMessage().contains("reset"), reset.getMessage());
    }

    private void dialAndRead() throws IOException {
        try (Socket socket = dial()) {
            socket.getInputStream().read();
        }
    }

    @Test
    void blockedDirectionIsDeliveredOnceRestored() throws Exception {
        setConditions(Flow.UPSTREAM, LinkConditions.BLOCKED);
        near.getOutputStream().write(bytes(5));
        far.setSoTimeout(200);
        assertThrows(SocketTimeoutException.class, () -> far.getInputStream().read());
        far.getOutputStream().write(bytes(4));
        assertArrayEquals(bytes(4), near.getInputStream().readNBytes(4), "the other direction is not blocked");
        assertTrue(!relay.isClear());
        far.setSoTimeout(5_000);
        setConditions(Flow.UPSTREAM, LinkConditions.CLEAR);
        assertArrayEquals(bytes(5), far.getInputStream().readNBytes(5));
    }

    @Test
    void connectionOverBlockedLinkStaysSilentUntilRestored() throws Exception {
        setConditions(Flow.DOWNSTREAM, LinkConditions.BLOCKED);
        try (Socket other = dial()) {
            other.getOutputStream().write(bytes(3));
            server.setSoTimeout(200);
            assertThrows(SocketTimeoutException.class, () -> server.accept());
            setConditions(Flow.DOWNSTREAM, LinkConditions.CLEAR);
            server.setSoTimeout(5_000);
            try (Socket reached = server.accept()) {
                assertArrayEquals(bytes(3), reached.getInputStream().readNBytes(3));
            }
        }
    }

    @Test
    void delayAndThrottleTakeAtLeastTheirTime() throws Exception {
        setConditions(Flow.UPSTREAM, new LinkConditions(false, 150_000, 0));
        long startNanos = System.nanoTime();
        near.getOutputStream().write(bytes(5));
        assertArrayEquals(bytes(5), far.getInputStream().readNBytes(5));
        assertTrue(System.nanoTime() - startNanos >= 140_000_000);
        setConditions(Flow.UPSTREAM, new LinkConditions(false, 0, 100_000));
        startNanos = System.nanoTime();
        near.getOutputStream().write(bytes(30_000));
        assertArrayEquals(bytes(30_000), far.getInputStream().readNBytes(30_000));
        assertTrue(System.nanoTime() - startNanos >= 200_000_000);
    }

    @Test
    void halfOpenClosesTheFarEndWithoutNoticeToTheNearEnd() throws Exception {
        relay.halfOpen();
        assertThrows(SocketException.class, () -> far.getInputStream().read());
        near.setSoTimeout(200);
        near.getOutputStream().write(bytes(9));
        assertThrows(SocketTimeoutException.class, () -> near.getInputStream().read());
    }

    @Test
    void resetClosesBothEnds() {
        relay.reset();
        assertThrows(SocketException.class, () -> near.getInputStream().read());
        assertThrows(SocketException.class, () -> far.getInputStream().read());
    }

    @Test
    void shaperKeepsOrderAndRate() {
        Random random = new Random(7);
        for (int run = 0; run < 1_000; run++) {
            TrafficShaper shaper = new TrafficShaper();
            long now = 0;
            long last = 0;
            long bytes = 0;
            LinkConditions conditions = new LinkConditions(false, random.nextInt(1_000), 1 + random.nextInt(100_000));
            for (int i = 0; i < 50; i++) {
                now += random.nextInt(2_000);
                int size = random.nextInt(1_000);
                bytes += size;
                long due = shaper.departureTime(now, size, conditions);
                assertTrue(due >= last && due >= now + conditions.delayMicros());
                assertTrue(due >= 1e6 * bytes / conditions.bytesPerSecond() - 1, "never faster than the bandwidth");
                last = due;
            }
            assertEquals(
                    Math.max(last, now),
                    shaper.departureTime(now, 0, LinkConditions.CLEAR),
                    "later bytes do not overtake");
        }
    }
}
