package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Bodies that are streamed, not buffered as a whole, over loopback sockets: slow, interrupted and split at any byte.
 */
@Timeout(60)
class LargeBodiesTest {
    private static final int MIB = 1 << 20;
    private AgentFixture fixture;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private static byte[] randomBytes(int size) {
        byte[] bytes = new byte[size];
        new Random(size).nextBytes(bytes);
        return bytes;
    }

    private static void write(Socket socket, byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    private static void writeChunked(Socket socket, byte[] bytes, int chunkSize) throws IOException {
        for (int offset = 0; offset < bytes.length; offset += chunkSize) {
            int size = Math.min(chunkSize, bytes.length - offset);
            ScriptedPeer.write(socket, Integer.toHexString(size) + ";some=\"extension\"\r\n");
            socket.getOutputStream().write(bytes, offset, size);
            ScriptedPeer.write(socket, "\r\n");
        }
        ScriptedPeer.write(socket, "0\r\nTrailer: value\r\n\r\n");
    }

    private void awaitIdle() {
        AgentFixture.await(
                () -> fixture.agent.budget().account(ResourcePurpose.CALLS).entries() == 0);
    }

    @Test
    void responsesOfAnyLengthAndFramingPassWhole() throws Exception {
        byte[] body = randomBytes(5 * MIB + 7);
        fixture.server((message, socket) -> {
            if (message.target().startsWith("/lookup")) {
                ScriptedPeer.write(
                        socket,
                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                write(socket, body);
            } else if (message.target().startsWith("/pay")) {
                ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                writeChunked(socket, body, 70_001);
            } else {
                ScriptedPeer.write(socket, "HTTP/1.0 200 OK\r\n\r\n");
                write(socket, body);
                socket.close();
            }
        });
        fixture.start();
        for (String type : List.of("lookup", "pay", "order", "lookup")) {
            ScriptedPeer.Message response = fixture.call(type);
            assertEquals(200, response.status());
            assertArrayEquals(body, response.body(), type);
        }
        awaitIdle();
    }

    /** The first bytes are forwarded without waiting for the rest, which may take longer than the deadline. */
    @Test
    void startedResponseIsForwardedAtOnceAndNotCutByItsDeadline() throws Exception {
        fixture.server((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
            for (int i = 0; i < 10; i++) {
                write(socket, new byte[10_000]);
                Thread.sleep(150);
            }
        });
        fixture.start();
        Socket socket = fixture.dial();
        long startNanos = System.nanoTime();
        ScriptedPeer.write(socket, fixture.request("lookup", 600, ""));
        InputStream in = socket.getInputStream();
        in.read();
        assertTrue(System.nanoTime() - startNanos < 500_000_000L, "the first bytes");
        assertTrue(in.readNBytes(100_000).length == 100_000, "the rest");
    }

    @Test
    void serverDisconnectMidBodyGivesAVisiblyTruncatedResponse() throws Exception {
        fixture.server((message, socket) -> {
            ScriptedPeer.write(
                    socket,
                    message.target().startsWith("/lookup")
                            ? "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"
                            : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n");
            write(socket, new byte[200_000]);
            socket.close();
        });
        fixture.start();
        assertThrows(IOException.class, () -> fixture.call("lookup"));
        assertThrows(IOException.class, () -> fixture.call("order"));
        awaitIdle();
    }

    /**
     * Twenty clients that do not read their responses of 32 MB: the memory held is independent of the size of the
     * bodies.
     */
    @Test
    void slowReadersHoldOnlyTheirOwnBuffers() throws Exception {
        int clients = 20;
        byte[] chunk = new byte[64 << 10];
        fixture.server((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + 32 * MIB + "\r\n\r\n");
            for (int i = 0; i < 512; i++) {
                socket.getOutputStream().write(chunk);
            }
        });
        fixture.start();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            Socket client = fixture.dial();
            ScriptedPeer.write(client, fixture.request("lookup", 8000, ""));
            sockets.add(client);
        }
        Thread.sleep(1500);
        ResourceBudget budget = fixture.agent.budget();
        assertTrue(
                budget.account(ResourcePurpose.ANSWERS).peakBytes() < clients * 100 << 10,
                budget.account(ResourcePurpose.ANSWERS).peakBytes() + " bytes of answers");
        assertTrue(budget.account(ResourcePurpose.ANSWERS).peakBytes() > 0);
        ScriptedPeer.Message response = ScriptedPeer.read(sockets.get(3).getInputStream());
        assertEquals(32 * MIB, response.body().length);
        for (Socket client : sockets) {
            client.close();
        }
        AgentFixture.await(() -> budget.account(ResourcePurpose.ANSWERS).bytes() == 0);
        awaitIdle();
    }

    @Test
    void uploadsOfAnyFramingArriveWhole() throws Exception {
        byte[] body = randomBytes(3 * MIB + 11);
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "got " + message.body().length));
        fixture.start();
        Socket socket = fixture.dial();
        String head = fixture.request("order", 8000, "");
        ScriptedPeer.write(socket, head.replace("Content-Length: 0", "Content-Length: " + body.length));
        write(socket, body);
        assertEquals(
                "got " + body.length, ScriptedPeer.read(socket.getInputStream()).text());
        head = fixture.request("pay", 8000, "");
        ScriptedPeer.write(socket, head.replace("Content-Length: 0", "Transfer-Encoding: chunked"));
        writeChunked(socket, body, 9_999);
        assertEquals(
                "got " + body.length, ScriptedPeer.read(socket.getInputStream()).text());
        assertEquals(
                "got 4",
                AgentFixture.exchange(socket, fixture.request("order", 8000, "body"))
                        .text());
        for (ScriptedPeer.Message request : fixture.servers.get(0).requests) {
            if (request.body().length > 4) {
                assertArrayEquals(body, request.body());
            }
        }
        AgentFixture.await(
                () -> fixture.agent.budget().account(ResourcePurpose.REQUESTS).bytes() == 0);
    }

    /** Guards against bodies that stop when other bodies have left them the smallest window. */
    @Test
    void bodiesPassWholeThroughTheSmallestWindow() throws Exception {
        byte[] body = randomBytes(MIB + 5);
        fixture.server((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + message.body().length + "\r\n\r\n");
            write(socket, message.body());
        });
        fixture.start();
        for (ResourcePurpose purpose : List.of(ResourcePurpose.REQUESTS, ResourcePurpose.ANSWERS)) {
            ResourceAccount account = fixture.agent.budget().account(purpose);
            account.add(0, account.bytesCap() / 2);
        }
        Socket socket = fixture.dial();
        String head = fixture.request("order", 8_000, "");
        ScriptedPeer.write(socket, head.replace("Content-Length: 0", "Content-Length: " + body.length));
        ScriptedPeer.daemon(() -> write(socket, body));
        assertArrayEquals(body, ScriptedPeer.read(socket.getInputStream()).body());
    }

    /** Guards against a stream that is cut off after 30 s though its client reads all that comes. */
    @Test
    void streamThatTakesLongerThanAClientMayReadNothingIsWhole() throws Exception {
        byte[] piece = randomBytes(100_000);
        fixture.server((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + 12 * piece.length + "\r\n\r\n");
            for (int i = 0; i < 12; i++) {
                write(socket, piece);
                Thread.sleep(i < 11 ? 2_800 : 0); // 31 s in all, and less than a server may be silent
            }
        });
        fixture.start();
        Socket socket = fixture.dial();
        ScriptedPeer.write(socket, fixture.request("lookup", 8_000, ""));
        assertEquals(
                12 * piece.length, ScriptedPeer.read(socket.getInputStream()).body().length);
    }

    /** The request never ran, since its last byte was never sent: the client is told that it may retry safely. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void uploadIsRefusedWhenItsServerDiesMidBody(boolean chunked) throws Exception {
        ScriptedPeer.Script silent = (message, socket) -> {};
        ScriptedPeer server = fixture.server(silent);
        fixture.start();
        Socket socket = fixture.dial();
        String head = fixture.request("order", 8000, "");
        ScriptedPeer.write(
                socket,
                head.replace("Content-Length: 0", chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + 4 * MIB)
                        + (chunked ? "400000\r\n" : ""));
        write(socket, new byte[200_000]);
        AgentFixture.await(() -> !server.sockets.isEmpty());
        Thread.sleep(200);
        for (Socket connection : server.sockets) {
            ScriptedPeer.reset(connection);
        }
        ScriptedPeer.Message response = ScriptedPeer.read(socket.getInputStream());
        assertEquals(503, response.status());
        assertNotNull(response.header("Retry-After"));
        awaitIdle();
    }

    /** A body that cannot be parsed to its end is not passed on, and the client gets an error at once. */
    @Test
    void malformedUploadEndsWithAnError() throws Exception {
        ScriptedPeer server = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        fixture.start();
        Socket socket = fixture.dial();
        ScriptedPeer.write(
                socket,
                fixture.request("order", 8000, "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                        + "30d40\r\n");
        write(socket, new byte[200_000]);
        ScriptedPeer.write(socket, "\r\nnoise\r\n");
        long startNanos = System.nanoTime();
        assertEquals(400, ScriptedPeer.read(socket.getInputStream()).status());
        assertTrue(System.nanoTime() - startNanos < 1_000_000_000L);
        awaitIdle();
        assertEquals(0, server.requests.size());
    }

    /**
     * The balancer gets the time to the response head: interim responses and the transfer of the body do not count.
     */
    @Test
    void reportedLatencyIsTheTimeToTheResponseHead() throws Exception {
        fixture.server((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
            Thread.sleep(message.target().startsWith("/order") ? 400 : 0);
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo");
            Thread.sleep(message.target().startsWith("/order") ? 0 : 400);
            ScriptedPeer.write(socket, "dy");
        });
        List<Long> latencies = new CopyOnWriteArrayList<>();
        fixture.start(fixture.interceptedBalancer((event, details) -> {
            if (event.equals("outcome")) {
                latencies.add((Long) details[5]);
            }
        }));
        assertEquals("body", fixture.call("order").text());
        assertEquals("body", fixture.call("lookup").text());
        AgentFixture.await(() -> latencies.size() == 2);
        assertTrue(latencies.get(0) >= 350_000, latencies + " us");
        assertTrue(latencies.get(1) < 350_000, latencies + " us");
    }

    @Test
    void bodyOverTheMaximumIsRejected() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", ""));
        fixture.start();
        Socket socket = fixture.dial();
        ScriptedPeer.write(
                socket, fixture.request("order", 8000, "").replace("Content-Length: 0", "Content-Length: 60000000"));
        assertEquals(413, ScriptedPeer.read(socket.getInputStream()).status());
        Socket unknown = fixture.dial();
        ScriptedPeer.write(
                unknown, fixture.request("order", 8000, "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
        byte[] chunk = new byte[MIB];
        ScriptedPeer.daemon(() -> {
            for (int i = 0; i < 60; i++) {
                ScriptedPeer.write(unknown, "100000\r\n");
                write(unknown, chunk);
                ScriptedPeer.write(unknown, "\r\n");
            }
        });
        assertEquals(413, ScriptedPeer.read(unknown.getInputStream()).status());
        awaitIdle();
    }

    @Test
    void slowHeadsAndSlowBodiesAreServed() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", message.text()));
        fixture.start();
        Socket socket = fixture.dial();
        String request = fixture.request("order", 8000, "slow body of a slow caller");
        int end = request.indexOf("\r\n\r\n");
        for (int i = 0; i < 19; i++) {
            ScriptedPeer.write(socket, request.substring(i, i + 1));
            Thread.sleep(100);
        }
        ScriptedPeer.write(socket, request.substring(19, end + 4));
        for (int i = end + 4; i < request.length(); i++) {
            ScriptedPeer.write(socket, request.substring(i, i + 1));
            Thread.sleep(100);
        }
        assertEquals(
                "slow body of a slow caller",
                ScriptedPeer.read(socket.getInputStream()).text());
    }
}
