package gatefront.rehearsal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.DuplexChannel;
import java.net.ConnectException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The in-memory network behaves like sockets, on virtual time. The one-way latency is 1 ms. */
class NetworkTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final VirtualTime time = new VirtualTime();
    private final Network network = new Network(time, 0, (from, to, bytes) -> NANOS_PER_MILLI + bytes);
    private VirtualHost clientHost;
    private VirtualHost serverHost;
    private final List<String> events = new ArrayList<>();
    private Channel accepted;

    @BeforeEach
    void createHosts() throws Exception {
        clientHost = host("client", 1);
        serverHost = host("server", 2);
    }

    private VirtualHost host(String name, int lastByte) throws Exception {
        return network.host(
                name, InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) lastByte}), 0, 1 << 20, line -> {});
    }

    /** Records the events of a channel with their time in milliseconds. */
    private final class EventRecorder extends ChannelInboundHandlerAdapter {
        private final String name;

        EventRecorder(String name) {
            this.name = name;
        }

        private void record(String event) {
            events.add(time.nanoTime() / NANOS_PER_MILLI + " " + name + " " + event);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            record("up");
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            record("read "
                    + (bytes.readableBytes() < 20 ? bytes.toString(StandardCharsets.US_ASCII) : bytes.readableBytes()));
            bytes.release();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            record(event.getClass().getSimpleName());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            record("down");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            record(cause.getMessage());
        }
    }

    private void listen(boolean halfClosure) {
        new ServerBootstrap()
                .group(serverHost.loop())
                .channelFactory(serverHost.serverChannels())
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, halfClosure)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accepted = ch;
                        ch.pipeline().addLast(new EventRecorder("server"));
                    }
                })
                .bind(serverHost.address(80));
        runUntil(0);
    }

    private ChannelFuture dial() {
        return new Bootstrap()
                .group(clientHost.loop())
                .channelFactory(clientHost.clientChannels())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2000)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new EventRecorder("client"))
                .connect(serverHost.address(80));
    }

    private Channel connect(boolean halfClosure) {
        listen(halfClosure);
        ChannelFuture dialled = dial();
        runUntil(10);
        assertTrue(dialled.isSuccess());
        events.clear();
        return dialled.channel();
    }

    private void runUntil(long untilMs) {
        time.run(untilMs * NANOS_PER_MILLI);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Test
    void connectTakesARoundTripAndBytesKeepTheirOrder() {
        listen(false);
        Channel client = dial().channel();
        runUntil(10);
        assertEquals(List.of("1 server up", "2 client up"), events);
        events.clear();
        client.write(bytes("a"));
        client.writeAndFlush(bytes("b"));
        accepted.writeAndFlush(bytes("c"));
        runUntil(20);
        assertEquals(
                List.of("11 client read c", "11 server read a", "11 server read b"),
                events.stream().sorted().toList());
    }

    @Test
    void connectIsRefusedWithoutAListenerAndTimesOutForAnIsolatedMachine() {
        ChannelFuture refused = dial();
        runUntil(10);
        assertInstanceOf(ConnectException.class, refused.cause());
        listen(false);
        serverHost.isolate();
        ChannelFuture unanswered = dial();
        runUntil(2009);
        assertFalse(unanswered.isDone());
        runUntil(2011);
        assertInstanceOf(ConnectTimeoutException.class, unanswered.cause());
    }

    @Test
    void dataHeldForAnIsolatedMachineArrivesOnceAfterReconnecting() {
        Channel client = connect(false);
        serverHost.isolate();
        client.writeAndFlush(bytes("late"));
        runUntil(3000);
        assertEquals(List.of(), events);
        serverHost.reconnect();
        runUntil(3010);
        assertEquals(List.of("3001 server read late"), events);
    }

    /** RFC 9293: a reset drops undelivered data; a close does not. */
    @Test
    void dataHeldForAnIsolatedMachineIsDroppedWhenItsSenderResets() {
        Channel client = connect(false);
        serverHost.isolate();
        client.writeAndFlush(bytes("payment"));
        client.config().setOption(ChannelOption.SO_LINGER, 0);
        client.close();
        runUntil(100);
        serverHost.reconnect();
        runUntil(200);
        assertEquals(List.of("10 client down", "101 server Connection reset by peer", "101 server down"), events);
    }

    @Test
    void killedProcessResetsItsConnectionsAndRefusesNewOnes() {
        connect(false);
        serverHost.kill();
        ChannelFuture refused = dial();
        runUntil(20);
        assertEquals(List.of("11 client Connection reset by peer", "11 client down"), events);
        assertInstanceOf(ConnectException.class, refused.cause());
        assertEquals(0, clientHost.openChannels() + serverHost.openChannels());
    }

    @Test
    void isolatedMachineResetsOldConnectionsOnlyAfterReconnecting() {
        connect(false);
        serverHost.isolate();
        serverHost.kill();
        runUntil(5000);
        assertEquals(List.of(), events);
        serverHost.reconnect();
        serverHost.boot();
        runUntil(5010);
        assertEquals(List.of("5001 client Connection reset by peer", "5001 client down"), events);
    }

    @Test
    void halfCloseEndsOneDirectionOnly() {
        DuplexChannel client = (DuplexChannel) connect(true);
        client.writeAndFlush(bytes("last"));
        client.shutdownOutput();
        runUntil(20);
        assertTrue(events.contains("11 server read last"));
        assertTrue(events.contains("11 server ChannelInputShutdownEvent"), events.toString());
        accepted.writeAndFlush(bytes("answer"));
        runUntil(30);
        assertTrue(events.contains("21 client read answer"), events.toString());
        assertTrue(client.isActive());
    }

    @Test
    void closeWithUnreadBytesResetsAndOtherwiseShutsDownInOrder() {
        Channel client = connect(false);
        accepted.config().setAutoRead(false);
        runUntil(11);
        client.writeAndFlush(bytes("first")); // read by the read call that is already pending
        client.writeAndFlush(bytes("unread"));
        runUntil(20);
        accepted.close();
        runUntil(30);
        assertTrue(events.contains("21 client Connection reset by peer"), events.toString());
        events.clear();
        Channel second = dial().channel();
        runUntil(40);
        accepted.writeAndFlush(bytes("end"));
        accepted.close();
        runUntil(50);
        assertTrue(events.contains("41 client read end"), events.toString());
        assertFalse(events.toString().contains("reset"));
        assertFalse(second.isOpen());
    }

    @Test
    void readerThatDoesNotReadBlocksItsWriter() {
        Channel client = connect(false);
        accepted.config().setAutoRead(false);
        for (int i = 0; i < 64; i++) {
            client.writeAndFlush(Unpooled.wrappedBuffer(new byte[8 << 10]));
        }
        runUntil(100);
        assertFalse(client.isWritable());
        accepted.config().setAutoRead(true);
        runUntil(1000);
        assertTrue(client.isWritable());
        assertEquals(
                64, events.stream().filter(event -> event.contains("read 8192")).count());
    }

    @Test
    void channelWithUnreadBytesIsNotSilent() {
        Channel client = connect(false);
        assertTrue(clientHost.hasNoUnreadInput(client));
        client.config().setAutoRead(false);
        accepted.writeAndFlush(bytes("x"));
        accepted.writeAndFlush(bytes("y"));
        runUntil(20);
        assertFalse(clientHost.hasNoUnreadInput(client));
    }

    /**
     * The documented order within one instant: loops in the order of their creation, tasks of a loop by deadline and
     * then by scheduling, and a task that one loop gives another for now in the next round.
     */
    @Test
    void eventsOfOneInstantRunInTheDocumentedOrder() {
        serverHost.loop().schedule(() -> events.add("server a"), 5, TimeUnit.MILLISECONDS);
        clientHost
                .loop()
                .schedule(
                        () -> {
                            events.add("client a");
                            clientHost.loop().execute(() -> events.add("client, scheduled by client"));
                            serverHost.loop().execute(() -> events.add("server, scheduled by client"));
                        },
                        5,
                        TimeUnit.MILLISECONDS);
        clientHost.loop().schedule(() -> events.add("client b"), 5, TimeUnit.MILLISECONDS);
        serverHost
                .loop()
                .schedule(
                        () -> {
                            events.add("server b");
                            clientHost.loop().execute(() -> events.add("client, scheduled by server"));
                        },
                        5,
                        TimeUnit.MILLISECONDS);
        clientHost.loop().schedule(() -> events.add("client earlier"), 4, TimeUnit.MILLISECONDS);
        runUntil(10);
        assertEquals(
                List.of(
                        "client earlier",
                        "client a",
                        "client b",
                        "client, scheduled by client",
                        "server, scheduled by client",
                        "server a",
                        "server b",
                        "client, scheduled by server"),
                events);
    }

    @Test
    void timersOfAKilledProcessAreDropped() {
        boolean[] fired = {false};
        serverHost.loop().schedule(() -> fired[0] = true, 5, TimeUnit.MILLISECONDS);
        serverHost.kill();
        runUntil(10);
        assertFalse(fired[0]);
    }

    /** Guards against a rehearsal that hangs: time that does not advance is detected and its event loop is named. */
    @Test
    void tasksThatKeepSchedulingImmediateTasksAreDetected() {
        assertTimeoutPreemptively(Duration.ofSeconds(60), () -> {
            VirtualTime ownTime = new VirtualTime(); // loops belong to the thread that created their clock
            VirtualHost host = new Network(ownTime, 0, (from, to, bytes) -> NANOS_PER_MILLI)
                    .host("client", InetAddress.getLoopbackAddress(), 0, 1 << 20, line -> {});
            ownTime.run(10 * NANOS_PER_MILLI);
            Runnable[] task = new Runnable[1];
            task[0] = () -> host.loop().schedule(task[0], 0, TimeUnit.NANOSECONDS);
            task[0].run();
            String message = assertThrows(VirtualTime.LivelockException.class, () -> ownTime.run(20 * NANOS_PER_MILLI))
                    .getMessage();
            assertTrue(message.contains("client") && message.contains("0.010000 s"), message);
        });
    }
}
