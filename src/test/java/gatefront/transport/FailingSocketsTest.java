package gatefront.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.config.Config;
import gatefront.engine.Payload;
import gatefront.engine.Upstream;
import gatefront.http.HttpUpstream;
import gatefront.membership.Endpoint;
import gatefront.padron.Discovery;
import gatefront.policy.Balancer;
import gatefront.policy.Balancer.ListKind;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a failure of the agent's own machine to open or connect a socket: it holds no attempt until its
 * deadline, is no evidence against a server, leaks nothing and touches no state off the event loop.
 */
@Timeout(60)
class FailingSocketsTest {
    private static final long ATTEMPT_TIMEOUT_MICROS = 5_000_000;
    private static final int FEW_FAILURES = 3;
    private static final int LASTING = Integer.MAX_VALUE;

    private final SocketTransport sockets = new SocketTransport();
    private final ResourceBudget budget = new ResourceBudget(1 << 24, Map.of());
    private final AtomicInteger openFailuresLeft = new AtomicInteger();
    private final AtomicInteger connectFailuresLeft = new AtomicInteger();
    private ServerSocket server;

    private static boolean takeFailure(AtomicInteger left) {
        return left.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }

    /** Sockets that fail to open and to connect, as often as the test says. */
    private final class FailingSocketTransport implements Transport {
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
            return sockets.serverChannels();
        }

        @Override
        public ChannelFactory<? extends Channel> clientChannels() {
            return () -> {
                if (takeFailure(openFailuresLeft)) {
                    throw new ChannelException("Failed to open a socket.", new SocketException("Too many open files"));
                }
                return new NioSocketChannel() {
                    @Override
                    protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
                        if (takeFailure(connectFailuresLeft)) {
                            throw new BindException("Cannot assign requested address");
                        }
                        return super.doConnect(remote, local);
                    }
                };
            };
        }

        @Override
        public boolean hasNoUnreadInput(Channel channel) {
            return channel.isActive();
        }

        @Override
        public long maxMemoryBytes() {
            return sockets.maxMemoryBytes();
        }

        @Override
        public void log(String line) {}

        @Override
        public void close(Runnable onClosed) {
            sockets.close(onClosed);
        }
    }

    private final Transport transport = new FailingSocketTransport();

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        Thread responder = new Thread(() -> {
            while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                    socket.getInputStream().readNBytes(16);
                    respond(socket, "hecho");
                } catch (IOException e) {
                    // the test is over
                }
            }
        });
        responder.setDaemon(true);
        responder.start();
    }

    private static void respond(Socket socket, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    @AfterEach
    void close() throws IOException {
        sockets.close(() -> {});
        server.close();
    }

    /** The result of an attempt, how long it took, and whether it was reported on the event loop. */
    private record Attempted(Balancer.Outcome outcome, long millis, boolean onLoop) {}

    private Attempted attempt() throws Exception {
        CompletableFuture<Attempted> result = new CompletableFuture<>();
        long start = System.nanoTime();
        transport
                .loop()
                .submit(() -> {
                    HttpUpstream upstream = new HttpUpstream(
                            transport, Config.read(Path.of("src/test/resources/config.json")), 50, budget);
                    upstream.updateServer(new Endpoint(
                            new Balancer.Server(7, 0, 0, 0, Balancer.Phase.READY, 1, 0), "s-1", (InetSocketAddress)
                                    server.getLocalSocketAddress()));
                    Payload request = new HttpUpstream.OutgoingRequest(
                            HttpMethod.GET, "/lookup", new DefaultHttpHeaders(), HttpUpstream.NO_BODY);
                    Upstream.Listener listener = ended -> result.complete(new Attempted(
                            ended.outcome(),
                            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start),
                            transport.loop().inEventLoop()));
                    upstream.send(7, request, ATTEMPT_TIMEOUT_MICROS, listener);
                })
                .get();
        Attempted attempted = result.get(10, TimeUnit.SECONDS);
        assertTrue(attempted.onLoop, "reported on the event loop");
        return attempted;
    }

    private void assertNothingIsHeld() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        long held;
        do {
            held = transport
                    .loop()
                    .submit(() ->
                            budget.account(ResourcePurpose.SERVER_CONNECTIONS).entries())
                    .get();
        } while (held > 0 && System.nanoTime() < end);
        assertEquals(0, held, "connections that are still accounted for");
    }

    @Test
    void attemptOutlastsShortFailuresToOpenASocket() throws Exception {
        openFailuresLeft.set(FEW_FAILURES);
        Attempted attempted = attempt();
        assertEquals(Balancer.Outcome.OK, attempted.outcome);
        assertTrue(attempted.millis < 500, attempted.millis + " ms");
        assertNothingIsHeld();
    }

    @Test
    void attemptOutlastsShortFailuresToConnectASocket() throws Exception {
        connectFailuresLeft.set(FEW_FAILURES);
        assertEquals(Balancer.Outcome.OK, attempt().outcome);
        assertNothingIsHeld();
    }

    @Test
    void lastingFailureToOpenASocketEndsTheAttemptSoonWithoutBlame() throws Exception {
        openFailuresLeft.set(LASTING);
        Attempted attempted = attempt();
        assertEquals(Balancer.Outcome.NEVER_SENT, attempted.outcome);
        assertTrue(attempted.millis < 500, attempted.millis + " ms");
        assertNothingIsHeld();
    }

    @Test
    void lastingFailureToConnectASocketEndsTheAttemptSoonWithoutBlame() throws Exception {
        connectFailuresLeft.set(LASTING);
        assertEquals(Balancer.Outcome.NEVER_SENT, attempt().outcome);
        assertNothingIsHeld();
    }

    @Test
    void refusedConnectionIsStillTheServersFailure() throws Exception {
        server.close();
        assertEquals(Balancer.Outcome.CONNECT_FAILED, attempt().outcome);
        assertNothingIsHeld();
    }

    @Test
    void discoveryOutlastsFailuresToOpenASocketAndReportsThemOnTheLoop() throws Exception {
        openFailuresLeft.set(FEW_FAILURES);
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
                    events.add(transport.loop().inEventLoop() ? "on loop" : "off loop");
                }
            });
            transport.loop().execute(discovery::watch);
            listener.setSoTimeout(10_000);
            try (Socket socket = listener.accept()) {
                socket.getInputStream().readNBytes(16);
                respond(socket, "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}");
                for (int failure = 0; failure < FEW_FAILURES; failure++) {
                    assertEquals("on loop", events.poll(10, TimeUnit.SECONDS));
                }
                assertEquals("FULL", events.poll(10, TimeUnit.SECONDS));
            }
            transport.loop().submit(discovery::close).get();
        }
    }
}
