package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.budget.ResourcePurpose;
import gatefront.engine.Engine;
import gatefront.policy.Balancer;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

    /**
     * A response in parts, with a silence before each part but the first one; an empty part ends it after a silence.
     */
    private record InterruptedResponse(ResponseFraming framing, int[] partBytes, long[] silencesMs) {
        int bytes() {
            int sum = 0;
            for (int bytes : partBytes) {
                sum += bytes;
            }
            return sum;
        }

        void write(Socket socket) throws Exception {
            framing.writeHead(socket, bytes());
            for (int i = 0; i < partBytes.length; i++) {
                TimeUnit.MILLISECONDS.sleep(i == 0 ? 0 : silencesMs[i - 1]);
                framing.writePart(socket, partBytes[i]);
            }
            framing.writeEnd(socket);
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

    private static InterruptedResponse silentFor(ResponseFraming framing, long silenceMs, int... partBytes) {
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
        for (ResponseFraming framing : ResponseFraming.values()) {
            shapes.add(silentFor(framing, 6_000, 208_000, 272_000));
            shapes.add(silentFor(framing, 8_500, 300_000, 1));
            shapes.add(silentFor(framing, 5_500, 100, 100_000, 70_000)); // two silences in a row
            shapes.add(silentFor(framing, 6_000, 70_000, 0, 70_000, 0)); // of 12 s, and before the end
        }
        shapes.add(silentFor(ResponseFraming.LENGTH, 6_000, 0, 100_000)); // right behind the head
        shapes.add(silentFor(ResponseFraming.CHUNKED, 6_000, 10, 10));
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
                silentFor(ResponseFraming.LENGTH, 6_000, 100_000, 100_000).write(socket));
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
                silentFor(ResponseFraming.LENGTH, 6_000, 100_000, 100_000).write(socket);
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

    /** Guards against long waits for a response that its server does not go on with while it answers others. */
    @Test
    void responseOfAServerThatAnswersOthersIsWaitedForLess() throws Exception {
        hungServer();
        fixture.start();
        Socket waiting = beginHungResponse();
        for (int i = 0; i < 18; i++) {
            assertEquals(200, fixture.call("pay").status());
            TimeUnit.MILLISECONDS.sleep(500);
        }
        assertTrue(isOpen(waiting), "it is waited for beyond the stall");
        for (int i = 0; i < 5; i++) {
            assertEquals(200, fixture.call("pay").status());
            TimeUnit.MILLISECONDS.sleep(500);
        }
        assertFalse(isOpen(waiting));
    }

    /** Guards against holding connections to a server that is active, has turned a request away and may need them. */
    @Test
    void responseOfAServerThatTurnsRequestsAwayGivesWay() throws Exception {
        fixture.server((message, socket) -> {
            if (message.target().startsWith("/lookup")) {
                ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + HUNG_BODY_BYTES + "\r\n\r\nbegun");
            } else if (message.target().startsWith("/pay")) {
                ScriptedPeer.respond(socket, 200, "", "served");
            } else {
                ScriptedPeer.respond(socket, 503, "Not-Started: 1\r\n", "");
            }
        });
        fixture.start();
        Socket waiting = beginHungResponse();
        for (int i = 0; i < 11; i++) {
            assertEquals(200, fixture.call("pay").status());
            TimeUnit.MILLISECONDS.sleep(500);
        }
        assertTrue(isOpen(waiting));
        assertEquals(503, fixture.call("order").status());
        TimeUnit.MILLISECONDS.sleep(500);
        assertFalse(isOpen(waiting));
    }

    /** Guards against requests that are refused because those before them wait for a silent server. */
    @Test
    void stalledResponseTakesNoPlaceInTheLimitOfItsClass() throws Exception {
        hungServer();
        AtomicReference<Engine> engine = new AtomicReference<>();
        fixture.start(host -> {
            engine.set(host);
            return Engine.createDefaultBalancer(host);
        });
        fixture.agent
                .loop()
                .submit(() -> engine.get().setClassLimits(Map.of(0, 1)))
                .sync();
        Socket waiting = beginHungResponse();
        assertEquals(503, fixture.call("lookup").status(), "the class is at its limit");
        TimeUnit.MILLISECONDS.sleep(STALL_MS + CHECK_SLACK_MS);
        Socket second = beginHungResponse();
        assertTrue(isOpen(second));
        assertTrue(isOpen(waiting));
        assertEquals(503, fixture.call("lookup").status(), "the second one takes the place");
        waiting.close();
        TimeUnit.MILLISECONDS.sleep(200);
        assertEquals(503, fixture.call("lookup").status(), "the end of the first one frees no place");
    }

    /** Guards against cutting off a response because its server drains, or has left the list, while it is silent. */
    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone"})
    void responseOfAServerThatLeavesTheListWhileItIsSilentIsWhole(String status) throws Exception {
        ScriptedPeer server = fixture.server((message, socket) ->
                silentFor(ResponseFraming.LENGTH, 6_000, 100_000, 100_000).write(socket));
        fixture.start();
        Socket socket = fixture.dial();
        Future<ScriptedPeer.Message> response =
                clients.submit(() -> AgentFixture.exchange(socket, fixture.request("lookup", CLIENT_TIMEOUT_MS, "")));
        TimeUnit.MILLISECONDS.sleep(1_000);
        fixture.discoveryUpdates.add(AgentFixture.delta(2, AgentFixture.endpoint(1, server.address(), status)));
        assertEquals(200_000, response.get().body().length);
    }
}
