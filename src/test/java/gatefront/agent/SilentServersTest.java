package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.budget.ResourcePurpose;
import gatefront.policy.Balancer;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Servers that fall silent in the middle of a response: some go on with it, others never do. */
@Timeout(60)
class SilentServersTest {
    private static final long CLIENT_TIMEOUT_MS = 1_600;
    /** A response of which nothing has arrived for this long is stalled. */
    private static final long STALL_MS = 4_000;
    /** How late the agent may notice that. */
    private static final long CHECK_SLACK_MS = 1_000;

    private static final int HUNG_BODY_BYTES = 200_000;

    private AgentFixture fixture;
    private ExecutorService clients;

    /** How a server delimits a response. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        UNTIL_CLOSE
    }

    /**
     * A response in parts, with a silence before each part but the first one; an empty part ends it after a silence.
     */
    private record InterruptedResponse(Framing framing, int[] partBytes, long[] silencesMs) {
        int bytes() {
            int sum = 0;
            for (int bytes : partBytes) {
                sum += bytes;
            }
            return sum;
        }

        void write(Socket socket) throws Exception {
            ScriptedPeer.write(
                    socket,
                    "HTTP/1.1 200 OK\r\n"
                            + switch (framing) {
                                case LENGTH -> "Content-Length: " + bytes() + "\r\n\r\n";
                                case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n";
                                case UNTIL_CLOSE -> "Connection: close\r\n\r\n";
                            });
            for (int i = 0; i < partBytes.length; i++) {
                TimeUnit.MILLISECONDS.sleep(i == 0 ? 0 : silencesMs[i - 1]);
                writePart(socket, partBytes[i]);
            }
            if (framing == Framing.CHUNKED) {
                ScriptedPeer.write(socket, "0\r\n\r\n");
            } else if (framing == Framing.UNTIL_CLOSE) {
                socket.close();
            }
        }

        private void writePart(Socket socket, int bytes) throws IOException {
            if (bytes > 0) {
                String part = "x".repeat(bytes);
                ScriptedPeer.write(
                        socket,
                        framing == Framing.CHUNKED ? Integer.toHexString(bytes) + "\r\n" + part + "\r\n" : part);
            }
        }

        @Override
        public String toString() {
            return framing + " " + List.of(partBytes.length, bytes()) + " silent for "
                    + java.util.Arrays.toString(silencesMs);
        }
    }

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
        clients = Executors.newCachedThreadPool();
    }

    @AfterEach
    void tearDown() throws IOException {
        clients.shutdownNow();
        fixture.close();
    }

    private static InterruptedResponse silentFor(Framing framing, long silenceMs, int... partBytes) {
        long[] silences = new long[partBytes.length - 1];
        java.util.Arrays.fill(silences, silenceMs);
        return new InterruptedResponse(framing, partBytes, silences);
    }

    /** A server that begins responses and never goes on with those to requests of class lookup. */
    private ScriptedPeer hungServer() throws IOException {
        return fixture.server((message, socket) -> {
            if (message.target().startsWith("/lookup")) {
                ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + HUNG_BODY_BYTES + "\r\n\r\nbegun");
            } else {
                ScriptedPeer.respond(socket, 200, "", "served");
            }
        });
    }

    /** Sends a request whose response never ends, and reads its first byte. */
    private Socket beginHungResponse() throws IOException {
        Socket socket = fixture.dial();
        ScriptedPeer.write(socket, fixture.request("lookup", CLIENT_TIMEOUT_MS, ""));
        assertEquals('H', socket.getInputStream().read());
        return socket;
    }

    private static boolean isOpen(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
            return false;
        } catch (java.net.SocketTimeoutException e) {
            return true;
        } catch (java.net.SocketException e) {
            return false;
        }
    }

    private static int countOpen(List<Socket> sockets) throws IOException {
        int open = 0;
        for (Socket socket : sockets) {
            open += isOpen(socket) ? 1 : 0;
        }
        return open;
    }

    private long held(ResourcePurpose purpose) {
        return fixture.agent.budget().account(purpose).entries();
    }

    /** Guards against cutting off a long response whose server is silent for some seconds and then goes on with it. */
    @Test
    void responseOfAServerThatGoesOnAfterASilenceIsWhole() throws Exception {
        List<InterruptedResponse> shapes = new ArrayList<>();
        for (Framing framing : Framing.values()) {
            shapes.add(silentFor(framing, 6_000, 208_000, 272_000));
            shapes.add(silentFor(framing, 8_500, 300_000, 1));
            shapes.add(silentFor(framing, 5_500, 100, 100_000, 70_000)); // two silences in a row
            shapes.add(silentFor(framing, 6_000, 70_000, 0, 70_000, 0)); // of 12 s, and before the end
        }
        shapes.add(silentFor(Framing.LENGTH, 6_000, 0, 100_000)); // right behind the head
        shapes.add(silentFor(Framing.CHUNKED, 6_000, 10, 10));
        for (int i = 0; i < 3; i++) {
            fixture.server((message, socket) -> shapes.get(Integer.parseInt(message.header("Affinity-Key"), 16))
                    .write(socket));
        }
        fixture.start();
        List<Future<Integer>> lengths = new ArrayList<>();
        for (int i = 0; i < shapes.size(); i++) {
            String requestClass = List.of("lookup", "pay", "order").get(i % 3);
            Socket socket = fixture.dial();
            String request = fixture.request(requestClass, CLIENT_TIMEOUT_MS, "body")
                    .replaceFirst("\r\n", "\r\nAffinity-Key: " + String.format("%016x", i) + "\r\n");
            lengths.add(
                    clients.submit(() -> AgentFixture.exchange(socket, request).body().length));
        }
        List<String> failures = new ArrayList<>();
        for (int i = 0; i < shapes.size(); i++) {
            try {
                assertEquals(shapes.get(i).bytes(), lengths.get(i).get());
            } catch (ExecutionException e) {
                failures.add(shapes.get(i) + ": " + e.getCause());
            }
        }
        assertEquals(List.of(), failures);
        AgentFixture.await(() -> held(ResourcePurpose.CALLS) == 0);
    }

    /**
     * Guards against requests that are still sent to a server that does not go on with its responses, because its
     * clients are waiting: the decision module counts a stalled response as timed out, once.
     */
    @Test
    void stalledResponseCountsAsTimedOutWhileItsClientWaits() throws Exception {
        fixture.server((message, socket) ->
                silentFor(Framing.LENGTH, 6_000, 100_000, 100_000).write(socket));
        List<Balancer.Outcome> outcomes = new CopyOnWriteArrayList<>();
        List<Boolean> closed = new CopyOnWriteArrayList<>();
        fixture.start(fixture.interceptedBalancer((event, details) -> {
            if (event.equals("outcome")) {
                outcomes.add((Balancer.Outcome) details[4]);
                closed.add((Boolean) details[6]);
            }
        }));
        Socket socket = fixture.dial();
        Future<ScriptedPeer.Message> response =
                clients.submit(() -> AgentFixture.exchange(socket, fixture.request("lookup", CLIENT_TIMEOUT_MS, "")));
        TimeUnit.MILLISECONDS.sleep(STALL_MS + CHECK_SLACK_MS);
        assertEquals(List.of(Balancer.Outcome.TIMEOUT), outcomes);
        assertEquals(List.of(true), closed);
        assertFalse(response.isDone());
        assertEquals(200_000, response.get().body().length);
        AgentFixture.await(() -> held(ResourcePurpose.CALLS) == 0);
        assertEquals(List.of(Balancer.Outcome.TIMEOUT), outcomes, "no second outcome of the attempt");
        fixture.agent
                .loop()
                .submit(() -> assertEquals(0, fixture.agent.outstanding().attempts()))
                .sync();
    }

    /** Guards against waiting for a server that cannot go on: the list says that it has started anew. */
    @Test
    void responseOfAServerThatHasRestartedIsNotWaitedFor() throws Exception {
        ScriptedPeer server = hungServer();
        ScriptedPeer other = hungServer();
        fixture.start();
        List<Socket> waiting = new ArrayList<>();
        while (server.requests.isEmpty() || other.requests.isEmpty()) {
            waiting.add(beginHungResponse());
        }
        int ofServer = server.requests.size();
        TimeUnit.MILLISECONDS.sleep(500);
        long restartMs = System.currentTimeMillis();
        ObjectNode restarted =
                AgentFixture.endpoint(1, server.address(), "Ready").put("since_ms", restartMs);
        fixture.discoveryUpdates.add(AgentFixture.delta(2, restarted));
        TimeUnit.MILLISECONDS.sleep(STALL_MS + CHECK_SLACK_MS);
        assertEquals(waiting.size() - ofServer, countOpen(waiting), "responses of the other server are waited for");
    }

    /** Guards against clients that are not admitted because others wait for servers that may never go on. */
    @Test
    void stalledResponsesGiveWayToOtherClients() throws Exception {
        ((ObjectNode) fixture.config.get("limits")).put("sockets", 100); // 30 connections of clients
        hungServer();
        fixture.start();
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 28; i++) {
            waiting.add(beginHungResponse());
        }
        List<Socket> others = new ArrayList<>();
        TimeUnit.MILLISECONDS.sleep(STALL_MS + CHECK_SLACK_MS);
        int kept = countOpen(waiting);
        assertTrue(kept >= 10 && kept <= 18, kept + " are still waited for");
        assertEquals(kept, countOpen(waiting.subList(28 - kept, 28)), "the longest stalled have given way");
        for (int i = 0; i < 20; i++) {
            others.add(fixture.dial());
        }
        for (Socket client : others) {
            long startNanos = System.nanoTime();
            assertEquals(
                    200,
                    AgentFixture.exchange(client, fixture.request("pay", CLIENT_TIMEOUT_MS, "body"))
                            .status());
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(elapsedMs < 1_000, elapsedMs + " ms");
        }
    }

    /** Guards against connections that are held for clients that have left, also behind requests that wait. */
    @Test
    void clientThatLeavesAStalledResponseFreesItsConnections() throws Exception {
        ScriptedPeer server = hungServer();
        fixture.start();
        Socket alone = beginHungResponse();
        Socket pipelining = beginHungResponse();
        for (int i = 0; i < 6; i++) {
            ScriptedPeer.write(pipelining, fixture.request("pay", CLIENT_TIMEOUT_MS, "body"));
        }
        TimeUnit.MILLISECONDS.sleep(200);
        assertEquals(2, held(ResourcePurpose.CALLS));
        alone.close();
        AgentFixture.await(() -> held(ResourcePurpose.CALLS) == 1);
        pipelining.close();
        TimeUnit.MILLISECONDS.sleep(STALL_MS + CHECK_SLACK_MS);
        assertEquals(0, held(ResourcePurpose.CALLS));
        assertEquals(2, server.requests.size(), "no request of a client that has left is sent");
    }

    /** Guards against an agent that does not end because servers are silent, and against responses cut off early. */
    @Test
    void shutdownWaitsForSilentServersNoLongerThanItMay() throws Exception {
        fixture.server((message, socket) -> {
            if (message.target().startsWith("/lookup")) {
                ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + HUNG_BODY_BYTES + "\r\n\r\nbegun");
            } else {
                silentFor(Framing.LENGTH, 6_000, 100_000, 100_000).write(socket);
            }
        });
        fixture.start();
        Socket socket = fixture.dial();
        Future<ScriptedPeer.Message> resumed =
                clients.submit(() -> AgentFixture.exchange(socket, fixture.request("pay", CLIENT_TIMEOUT_MS, "")));
        TimeUnit.MILLISECONDS.sleep(3_500);
        for (int i = 0; i < 40; i++) {
            beginHungResponse();
        }
        long stopNanos = System.nanoTime();
        fixture.agent.stop();
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopNanos);
        assertEquals(200_000, resumed.get().body().length, "it went on before the agent had to end");
        assertTrue(elapsedMs < STALL_MS + 2 * CHECK_SLACK_MS, elapsedMs + " ms");
    }

    /** Guards against charging a client, which may read nothing for 30 s, with the silence of its server. */
    @Test
    void clientMayStopReadingAfterASilenceOfItsServer() throws Exception {
        int bytes = 24 << 20;
        fixture.server((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n");
            TimeUnit.SECONDS.sleep(9);
            socket.getOutputStream().write(new byte[bytes]);
        });
        fixture.start();
        Socket socket = fixture.dial();
        ScriptedPeer.write(socket, fixture.request("lookup", CLIENT_TIMEOUT_MS, ""));
        TimeUnit.SECONDS.sleep(32);
        assertEquals(bytes, ScriptedPeer.read(socket.getInputStream()).body().length);
    }

    /** A client sees that a response has ended before it was whole, also when that was chunked. */
    @Test
    void responseThatGivesWayIsVisiblyIncomplete() throws Exception {
        fixture.server((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n");
            TimeUnit.HOURS.sleep(1);
        });
        fixture.start();
        Socket socket = fixture.dial();
        ScriptedPeer.write(socket, fixture.request("lookup", CLIENT_TIMEOUT_MS, ""));
        TimeUnit.MILLISECONDS.sleep(STALL_MS + CHECK_SLACK_MS);
        fixture.agent.loop().submit(() -> fixture.agent.budget().reclaim()).sync();
        assertThrows(EOFException.class, () -> ScriptedPeer.read(socket.getInputStream()));
        assertFalse(fixture.agent
                .loop()
                .submit(() -> fixture.agent.budget().reclaim())
                .get());
    }
}
