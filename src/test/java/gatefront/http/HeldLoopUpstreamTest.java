package gatefront.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.engine.BodyStream;
import gatefront.engine.Payload;
import gatefront.engine.Upstream;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer;
import gatefront.transport.HeldLoop;
import gatefront.transport.SocketTransport;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a server is not blamed for the time in which the event loop was held up. */
class HeldLoopUpstreamTest {
    /** More than is buffered of a response before it is streamed. */
    private static final int LONG_BODY_BYTES = 100_000;

    private final SocketTransport transport = new SocketTransport();

    @AfterEach
    void close() {
        transport.close(() -> {});
    }

    /** Guards against counting a timeout against a server whose response arrived while the loop was held up. */
    @Test
    void attemptTimeoutReadsAResponseThatHasArrived() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Upstream.Result> result = new CompletableFuture<>();
            transport
                    .loop()
                    .submit(() -> sendRequest((InetSocketAddress) listener.getLocalSocketAddress(), result))
                    .get();
            Socket server = listener.accept();
            server.getInputStream().readNBytes(16);
            HeldLoop held = HeldLoop.holdBeforeTimers(transport.loop(), 400); // the attempt's timeout of 300 ms passes
            server.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhecho".getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(50);
            held.release();
            assertEquals(Balancer.Outcome.OK, result.get(10, TimeUnit.SECONDS).outcome());
        }
    }

    /** Guards against cutting off a long response that begins to be streamed as its timeout is due, after a hold. */
    @Test
    void attemptTimeoutDoesNotCutOffAResponseThatHasBegun() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Upstream.Result> result = new CompletableFuture<>();
            transport
                    .loop()
                    .submit(() -> sendRequest((InetSocketAddress) listener.getLocalSocketAddress(), result))
                    .get();
            Socket server = listener.accept();
            server.getInputStream().readNBytes(16);
            HeldLoop held = HeldLoop.holdBeforeTimers(transport.loop(), 400); // the attempt's timeout of 300 ms passes
            OutputStream out = server.getOutputStream();
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + 2 * LONG_BODY_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            out.write(new byte[LONG_BODY_BYTES]);
            TimeUnit.MILLISECONDS.sleep(50);
            held.release();
            TimeUnit.MILLISECONDS.sleep(100);
            assertFalse(result.isDone(), "the response is being streamed");
            out.write(new byte[LONG_BODY_BYTES]);
            assertEquals(Balancer.Outcome.OK, result.get(10, TimeUnit.SECONDS).outcome());
        }
    }

    /** Guards against writing a request whose time passed during a hold, before its connection was established. */
    @Test
    void requestWhoseTimePassedBeforeItWasWrittenIsNotSent() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Upstream.Result> result = new CompletableFuture<>();
            HeldLoop held = HeldLoop.hold(transport.loop(), () -> {});
            transport.loop().execute(() -> sendRequest((InetSocketAddress) listener.getLocalSocketAddress(), result));
            HeldLoop beforeConnected = HeldLoop.hold(transport.loop(), held);
            TimeUnit.MILLISECONDS.sleep(500); // the attempt's timeout of 300 ms passes
            beforeConnected.release();
            Balancer.Outcome outcome = result.get(10, TimeUnit.SECONDS).outcome();
            assertTrue(outcome.neverRan(), outcome.name());
            Socket server = listener.accept();
            TimeUnit.MILLISECONDS.sleep(50);
            assertEquals(0, server.getInputStream().available(), "bytes sent to the server");
        }
    }

    private void sendRequest(InetSocketAddress address, CompletableFuture<Upstream.Result> result) {
        HttpUpstream upstream = new HttpUpstream(
                transport,
                Config.read(Path.of("src/test/resources/config.json")),
                50,
                new ResourceBudget(1 << 24, Map.of()));
        upstream.updateServer(
                new Endpoint(new Balancer.Server(7, 0, 0, 0, Balancer.Phase.READY, 1, 0), "s-1", address));
        Payload request = new HttpUpstream.OutgoingRequest(
                HttpMethod.GET, "/lookup", new DefaultHttpHeaders(), HttpUpstream.NO_BODY);
        upstream.send(7, request, 300_000, new Upstream.Listener() {
            @Override
            public void onResult(Upstream.Result ended) {
                result.complete(ended);
            }

            @Override
            public void onResponseStreaming(Payload response) {
                BodyStream body = ((HttpUpstream.ServedResponse) response).bodyStream();
                body.attach(new DiscardingConsumer(body));
            }
        });
    }

    /** Reads a streamed body to its end. */
    private record DiscardingConsumer(BodyStream body) implements BodyStream.Consumer {
        @Override
        public void onChunk(ByteBuf chunk) {
            int bytes = chunk.readableBytes();
            chunk.release();
            body.chunkWritten(bytes);
        }

        @Override
        public void onComplete() {}

        @Override
        public void onAbort() {}
    }
}
