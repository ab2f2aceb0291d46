package gatefront.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests listeners that share an address, and closing one of them. */
class SharedListenerTest {
    private final List<SocketTransport> transports = new ArrayList<>();
    private final List<Channel> accepted = new ArrayList<>();

    private Channel listen(int port) {
        SocketTransport transport = new SocketTransport();
        transports.add(transport);
        return new ServerBootstrap()
                .group(transport.loop())
                .channelFactory(transport.sharedServerChannels())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accepted.add(ch);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .syncUninterruptibly()
                .channel();
    }

    @AfterEach
    void closeTransports() {
        transports.forEach(transport -> transport.close(() -> {}));
    }

    @Test
    void twoListenersShareAnAddress() {
        Channel first = listen(0);
        Channel second = listen(((InetSocketAddress) first.localAddress()).getPort());
        assertEquals(first.localAddress(), second.localAddress());
    }

    /** Guards against connections in the accept queue being reset when their listener closes. */
    @Test
    void pendingConnectionsAreAcceptedBeforeTheListenerCloses() throws Exception {
        Channel listener = listen(0);
        SocketTransport transport = transports.get(0);
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch close = new CountDownLatch(1);
        transport.loop().execute(() -> {
            busy.countDown();
            try {
                close.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            transport.closeSharedListener(listener);
        });
        busy.await();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) { // more than one read of the loop accepts
            clients.add(new Socket(
                    InetAddress.getLoopbackAddress(), ((InetSocketAddress) listener.localAddress()).getPort()));
        }
        close.countDown();
        listener.closeFuture().sync();
        assertEquals(60, transport.loop().submit(() -> accepted.size()).sync().getNow());
        for (Socket client : clients) {
            client.close();
        }
    }
}
