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

/** The in-memory network behaves as sockets do, on virtual time. One way takes 1 ms. */
class NetworkTest {
    private static final long MS = 1_000_000;

    private final VirtualTime time = new VirtualTime();
    private final Network network = new Network(time, 0, (from, to, bytes) -> MS + bytes);
    private VirtualHost here;
    private VirtualHost there;
    private final List<String> heard = new ArrayList<>();
    private Channel accepted;

    @BeforeEach
    void set() throws Exception {
        here = host("here", 1);
        there = host("there", 2);
    }

    private VirtualHost host(String name, int last) throws Exception {
        return network.host(
                name, InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) last}), 0, 1 << 20, line -> {});
    }

    /** Notes with the time in milliseconds what a channel's handler hears. */
    private final class Notes extends ChannelInboundHandlerAdapter {
        private final String name;

        Notes(String name) {
            this.name = name;
        }

        private void note(String what) {
            heard.add(time.nanoTime() / MS + " " + name + " " + what);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            note("up");
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            note("read "
                    + (bytes.readableBytes() < 20 ? bytes.toString(StandardCharsets.US_ASCII) : bytes.readableBytes()));
            bytes.release();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            note(event.getClass().getSimpleName());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            note("down");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            note(cause.getMessage());
        }
    }

    private void listen(boolean halfClosure) {
        new ServerBootstrap()
                .group(there.loop())
                .channelFactory(there.serverChannels())
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, halfClosure)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accepted = ch;
                        ch.pipeline().addLast(new Notes("server"));
                    }
                })
                .bind(there.at(80));
        run(0);
    }

    private ChannelFuture dial() {
        return new Bootstrap()
                .group(here.loop())
                .channelFactory(here.clientChannels())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2000)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Notes("client"))
                .connect(there.at(80));
    }

    private Channel connect(boolean halfClosure) {
        listen(halfClosure);
        ChannelFuture dialled = dial();
        run(10);
        assertTrue(dialled.isSuccess());
        heard.clear();
        return dialled.channel();
    }

    private void run(long untilMs) {
        time.run(untilMs * MS);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Test
    void aConnectionComesUpAfterTheWayThereAndBackAndBytesKeepTheirOrder() {
        listen(false);
        Channel client = dial().channel();
        run(10);
        assertEquals(List.of("1 server up", "2 client up"), heard);
        heard.clear();
        client.write(bytes("a"));
        client.writeAndFlush(bytes("b"));
        accepted.writeAndFlush(bytes("c"));
        run(20);
        assertEquals(
                List.of("11 client read c", "11 server read a", "11 server read b"),
                heard.stream().sorted().toList());
    }

    @Test
    void nobodyListeningRefusesAndAVanishedMachineSaysNothing() {
        ChannelFuture refused = dial();
        run(10);
        assertInstanceOf(ConnectException.class, refused.cause());
        listen(false);
        there.vanish();
        ChannelFuture unanswered = dial();
        run(2009);
        assertFalse(unanswered.isDone());
        run(2011);
        assertInstanceOf(ConnectTimeoutException.class, unanswered.cause());
    }

    @Test
    void whatIsHeldWhileAMachineIsCutOffArrivesLateAndOnce() {
        Channel client = connect(false);
        there.vanish();
        client.writeAndFlush(bytes("late"));
        run(3000);
        assertEquals(List.of(), heard);
        there.appear();
        run(3010);
        assertEquals(List.of("3001 server read late"), heard);
    }

    /** RFC 9293: a reset drops what was not delivered; a close does not. */
    @Test
    void bytesHeldOfAConnectionThatItsSenderHasResetNeverArrive() {
        Channel client = connect(false);
        there.vanish();
        client.writeAndFlush(bytes("payment"));
        client.config().setOption(ChannelOption.SO_LINGER, 0);
        client.close();
        run(100);
        there.appear();
        run(200);
        assertEquals(List.of("10 client down", "101 server Connection reset by peer", "101 server down"), heard);
    }

    @Test
    void aProcessThatDiesResetsItsConnectionsAndRefusesNewOnes() {
        connect(false);
        there.kill();
        ChannelFuture refused = dial();
        run(20);
        assertEquals(List.of("11 client Connection reset by peer", "11 client down"), heard);
        assertInstanceOf(ConnectException.class, refused.cause());
        assertEquals(0, here.openChannels() + there.openChannels());
    }

    @Test
    void aMachineThatVanishesAndBootsResetsWhatWasOpenOnlyWhenItIsBack() {
        connect(false);
        there.vanish();
        there.kill();
        run(5000);
        assertEquals(List.of(), heard);
        there.appear();
        there.boot();
        run(5010);
        assertEquals(List.of("5001 client Connection reset by peer", "5001 client down"), heard);
    }

    @Test
    void aHalfCloseEndsOneDirectionAndTheOtherGoesOn() {
        DuplexChannel client = (DuplexChannel) connect(true);
        client.writeAndFlush(bytes("last"));
        client.shutdownOutput();
        run(20);
        assertTrue(heard.contains("11 server read last"));
        assertTrue(heard.contains("11 server ChannelInputShutdownEvent"), heard.toString());
        accepted.writeAndFlush(bytes("answer"));
        run(30);
        assertTrue(heard.contains("21 client read answer"), heard.toString());
        assertTrue(client.isActive());
    }

    @Test
    void aCloseWithBytesUnreadResetsAndOneWithoutEndsInOrder() {
        Channel client = connect(false);
        accepted.config().setAutoRead(false);
        run(11);
        client.writeAndFlush(bytes("first")); // read by the call already made
        client.writeAndFlush(bytes("unread"));
        run(20);
        accepted.close();
        run(30);
        assertTrue(heard.contains("21 client Connection reset by peer"), heard.toString());
        heard.clear();
        Channel second = dial().channel();
        run(40);
        accepted.writeAndFlush(bytes("end"));
        accepted.close();
        run(50);
        assertTrue(heard.contains("41 client read end"), heard.toString());
        assertFalse(heard.toString().contains("reset"));
        assertFalse(second.isOpen());
    }

    @Test
    void aReaderThatDoesNotReadStopsItsWriter() {
        Channel client = connect(false);
        accepted.config().setAutoRead(false);
        for (int i = 0; i < 64; i++) {
            client.writeAndFlush(Unpooled.wrappedBuffer(new byte[8 << 10]));
        }
        run(100);
        assertFalse(client.isWritable());
        accepted.config().setAutoRead(true);
        run(1000);
        assertTrue(client.isWritable());
        assertEquals(
                64, heard.stream().filter(each -> each.contains("read 8192")).count());
    }

    @Test
    void bytesUnreadShowThatAChannelIsNotSilent() {
        Channel client = connect(false);
        assertTrue(here.hasNoUnreadInput(client));
        client.config().setAutoRead(false);
        accepted.writeAndFlush(bytes("x"));
        accepted.writeAndFlush(bytes("y"));
        run(20);
        assertFalse(here.hasNoUnreadInput(client));
    }

    /**
     * The documented order of one instant: loops as they were made, within a loop by deadline and then by scheduling,
     * and what one gives another for now in the next round.
     */
    @Test
    void eventsOfOneInstantRunInTheDocumentedOrder() {
        there.loop().schedule(() -> heard.add("there a"), 5, TimeUnit.MILLISECONDS);
        here.loop()
                .schedule(
                        () -> {
                            heard.add("here a");
                            here.loop().execute(() -> heard.add("here, made now"));
                            there.loop().execute(() -> heard.add("there, given now"));
                        },
                        5,
                        TimeUnit.MILLISECONDS);
        here.loop().schedule(() -> heard.add("here b"), 5, TimeUnit.MILLISECONDS);
        there.loop()
                .schedule(
                        () -> {
                            heard.add("there b");
                            here.loop().execute(() -> heard.add("here, given now"));
                        },
                        5,
                        TimeUnit.MILLISECONDS);
        here.loop().schedule(() -> heard.add("here earlier"), 4, TimeUnit.MILLISECONDS);
        run(10);
        assertEquals(
                List.of(
                        "here earlier",
                        "here a",
                        "here b",
                        "here, made now",
                        "there, given now",
                        "there a",
                        "there b",
                        "here, given now"),
                heard);
    }

    @Test
    void timersOfTheDeadAreDropped() {
        boolean[] rang = {false};
        there.loop().schedule(() -> rang[0] = true, 5, TimeUnit.MILLISECONDS);
        there.kill();
        run(10);
        assertFalse(rang[0]);
    }

    /** Guards against a rehearsal that hangs: time that stands still is found, with the loop that holds it. */
    @Test
    void tasksThatMakeTasksForNowAreFound() {
        assertTimeoutPreemptively(Duration.ofSeconds(60), () -> {
            VirtualTime own = new VirtualTime(); // loops belong to the thread that made their clock
            VirtualHost host = new Network(own, 0, (from, to, bytes) -> MS)
                    .host("here", InetAddress.getLoopbackAddress(), 0, 1 << 20, line -> {});
            own.run(10 * MS);
            Runnable[] again = new Runnable[1];
            again[0] = () -> host.loop().schedule(again[0], 0, TimeUnit.NANOSECONDS);
            again[0].run();
            String said = assertThrows(VirtualTime.LivelockException.class, () -> own.run(20 * MS))
                    .getMessage();
            assertTrue(said.contains("here") && said.contains("0.010000 s"), said);
        });
    }
}
