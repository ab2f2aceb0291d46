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

/** What a relay does to the bytes of one connection, on loopback. */
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

    /** Shapes it, and waits until the loop has heard: what is read in the same turn would come before. */
    private void shape(Flow way, LinkConditions shape) throws InterruptedException {
        relay.setConditions(way, shape);
        group.next().submit(() -> {}).sync();
    }

    @AfterEach
    void end() throws IOException {
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
    void everyByteAndBothEndsPassInTheirOrder() throws Exception {
        byte[] much = bytes(3 << 20);
        Thread writer = new Thread(() -> {
            try {
                near.getOutputStream().write(much);
                near.shutdownOutput();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        writer.start();
        assertArrayEquals(much, far.getInputStream().readAllBytes());
        far.getOutputStream().write(bytes(7)); // after the other direction has ended
        far.close();
        assertArrayEquals(bytes(7), near.getInputStream().readAllBytes());
        writer.join();
    }

    @Test
    void aResetArrivesAsAReset() throws Exception {
        far.setSoLinger(true, 0);
        far.close();
        assertThrows(SocketException.class, () -> near.getInputStream().read());
    }

    @Test
    void aSideThatRefusesIsToldByAReset() throws Exception {
        server.close();
        try (Socket late = dial()) {
            assertThrows(SocketException.class, () -> late.getInputStream().read());
        }
    }

    @Test
    void aCutHoldsOneDirectionAndHealingBringsIt() throws Exception {
        shape(Flow.UPSTREAM, LinkConditions.BLOCKED);
        near.getOutputStream().write(bytes(5));
        far.setSoTimeout(200);
        assertThrows(SocketTimeoutException.class, () -> far.getInputStream().read());
        far.getOutputStream().write(bytes(4));
        assertArrayEquals(bytes(4), near.getInputStream().readNBytes(4), "the other direction goes on");
        assertTrue(!relay.isClear());
        far.setSoTimeout(5_000);
        shape(Flow.UPSTREAM, LinkConditions.CLEAR);
        assertArrayEquals(bytes(5), far.getInputStream().readNBytes(5));
    }

    @Test
    void aConnectionToACutLinkStaysSilentUntilItIsHealed() throws Exception {
        shape(Flow.DOWNSTREAM, LinkConditions.BLOCKED);
        try (Socket other = dial()) {
            other.getOutputStream().write(bytes(3));
            server.setSoTimeout(200);
            assertThrows(SocketTimeoutException.class, () -> server.accept());
            shape(Flow.DOWNSTREAM, LinkConditions.CLEAR);
            server.setSoTimeout(5_000);
            try (Socket reached = server.accept()) {
                assertArrayEquals(bytes(3), reached.getInputStream().readNBytes(3));
            }
        }
    }

    @Test
    void delayAndThrottleTakeAtLeastTheirTime() throws Exception {
        shape(Flow.UPSTREAM, new LinkConditions(false, 150_000, 0));
        long at = System.nanoTime();
        near.getOutputStream().write(bytes(5));
        assertArrayEquals(bytes(5), far.getInputStream().readNBytes(5));
        assertTrue(System.nanoTime() - at >= 140_000_000);
        shape(Flow.UPSTREAM, new LinkConditions(false, 0, 100_000));
        at = System.nanoTime();
        near.getOutputStream().write(bytes(30_000));
        assertArrayEquals(bytes(30_000), far.getInputStream().readNBytes(30_000));
        assertTrue(System.nanoTime() - at >= 200_000_000);
    }

    @Test
    void halfOpenEndsTheFarSideAndTellsTheNearOneNothing() throws Exception {
        relay.halfOpen();
        assertThrows(SocketException.class, () -> far.getInputStream().read());
        near.setSoTimeout(200);
        near.getOutputStream().write(bytes(9));
        assertThrows(SocketTimeoutException.class, () -> near.getInputStream().read());
    }

    @Test
    void resetEndsBothSides() {
        relay.reset();
        assertThrows(SocketException.class, () -> near.getInputStream().read());
        assertThrows(SocketException.class, () -> far.getInputStream().read());
    }

    @Test
    void aConduitKeepsOrderAndRate() {
        Random random = new Random(7);
        for (int run = 0; run < 1_000; run++) {
            TrafficShaper conduit = new TrafficShaper();
            long now = 0;
            long last = 0;
            long bytes = 0;
            LinkConditions shape = new LinkConditions(false, random.nextInt(1_000), 1 + random.nextInt(100_000));
            for (int i = 0; i < 50; i++) {
                now += random.nextInt(2_000);
                int size = random.nextInt(1_000);
                bytes += size;
                long due = conduit.departureTime(now, size, shape);
                assertTrue(due >= last && due >= now + shape.delayMicros());
                assertTrue(due >= 1e6 * bytes / shape.bytesPerSecond() - 1, "never faster than the link");
                last = due;
            }
            assertEquals(
                    Math.max(last, now),
                    conduit.departureTime(now, 0, LinkConditions.CLEAR),
                    "what comes later does not overtake");
        }
    }
}
