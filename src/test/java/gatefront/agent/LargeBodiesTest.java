package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** Bodies that are never held whole, over loopback sockets: read and written slowly, broken off, cut anywhere. */
@Timeout(60)
class LargeBodiesTest {
    private static final int MIB = 1 << 20;
    private AgentFixture stage;

    @BeforeEach
    void set() throws IOException {
        stage = new AgentFixture();
    }

    @AfterEach
    void strike() throws IOException {
        stage.close();
    }

    private static byte[] bytes(int size) {
        byte[] bytes = new byte[size];
        new Random(size).nextBytes(bytes);
        return bytes;
    }

    private static void write(Socket socket, byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    private static void chunked(Socket socket, byte[] bytes, int each) throws IOException {
        for (int at = 0; at < bytes.length; at += each) {
            int size = Math.min(each, bytes.length - at);
            ScriptedPeer.write(socket, Integer.toHexString(size) + ";some=\"extension\"\r\n");
            socket.getOutputStream().write(bytes, at, size);
            ScriptedPeer.write(socket, "\r\n");
        }
        ScriptedPeer.write(socket, "0\r\nTrailer: value\r\n\r\n");
    }

    private void idle() {
        AgentFixture.await(
                () -> stage.agent.budget().account(ResourcePurpose.CALLS).entries() == 0);
    }

    @Test
    void answersOfAnyLengthAndFormPassWhole() throws Exception {
        byte[] body = bytes(5 * MIB + 7);
        stage.server((message, socket) -> {
            if (message.target().startsWith("/lookup")) {
                ScriptedPeer.write(
                        socket,
                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                write(socket, body);
            } else if (message.target().startsWith("/pay")) {
                ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                chunked(socket, body, 70_001);
            } else {
                ScriptedPeer.write(socket, "HTTP/1.0 200 OK\r\n\r\n");
                write(socket, body);
                socket.close();
            }
        });
        stage.start();
        for (String type : List.of("lookup", "pay", "order", "lookup")) {
            ScriptedPeer.Message answer = stage.call(type);
            assertEquals(200, answer.status());
            assertArrayEquals(body, answer.body(), type);
        }
        idle();
    }

    /** The first bytes do not wait for the rest, and the rest may take longer than the deadline. */
    @Test
    void anAnswerThatHasBegunPassesAtOnceAndIsNotCutByItsDeadline() throws Exception {
        stage.server((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
            for (int i = 0; i < 10; i++) {
                write(socket, new byte[10_000]);
                Thread.sleep(150);
            }
        });
        stage.start();
        Socket socket = stage.dial();
        long begin = System.nanoTime();
        ScriptedPeer.write(socket, stage.request("lookup", 600, ""));
        InputStream in = socket.getInputStream();
        in.read();
        assertTrue(System.nanoTime() - begin < 500_000_000L, "the first bytes");
        assertTrue(in.readNBytes(100_000).length == 100_000, "the rest");
    }

    @Test
    void aServerThatBreaksOffEndsInAnAnswerThatIsVisiblyNotWhole() throws Exception {
        stage.server((message, socket) -> {
            ScriptedPeer.write(
                    socket,
                    message.target().startsWith("/lookup")
                            ? "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"
                            : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n");
            write(socket, new byte[200_000]);
            socket.close();
        });
        stage.start();
        assertThrows(IOException.class, () -> stage.call("lookup"));
        assertThrows(IOException.class, () -> stage.call("order"));
        idle();
    }

    /** Twenty callers that read nothing of 32 MB each: what is held does not follow the bodies. */
    @Test
    void slowReadersHoldOnlyTheirOwnBuffers() throws Exception {
        int callers = 20;
        byte[] piece = new byte[64 << 10];
        stage.server((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + 32 * MIB + "\r\n\r\n");
            for (int i = 0; i < 512; i++) {
                socket.getOutputStream().write(piece);
            }
        });
        stage.start();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            Socket each = stage.dial();
            ScriptedPeer.write(each, stage.request("lookup", 8000, ""));
            sockets.add(each);
        }
        Thread.sleep(1500);
        ResourceBudget budget = stage.agent.budget();
        assertTrue(
                budget.account(ResourcePurpose.ANSWERS).peakBytes() < callers * 100 << 10,
                budget.account(ResourcePurpose.ANSWERS).peakBytes() + " bytes of answers");
        assertTrue(budget.account(ResourcePurpose.ANSWERS).peakBytes() > 0);
        ScriptedPeer.Message one = ScriptedPeer.read(sockets.get(3).getInputStream());
        assertEquals(32 * MIB, one.body().length);
        for (Socket each : sockets) {
            each.close();
        }
        AgentFixture.await(() -> budget.account(ResourcePurpose.ANSWERS).bytes() == 0);
        idle();
    }

    @Test
    void uploadsOfAnyFormArriveWhole() throws Exception {
        byte[] body = bytes(3 * MIB + 11);
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "got " + message.body().length));
        stage.start();
        Socket socket = stage.dial();
        String head = stage.request("order", 8000, "");
        ScriptedPeer.write(socket, head.replace("Content-Length: 0", "Content-Length: " + body.length));
        write(socket, body);
        assertEquals(
                "got " + body.length, ScriptedPeer.read(socket.getInputStream()).text());
        head = stage.request("pay", 8000, "");
        ScriptedPeer.write(socket, head.replace("Content-Length: 0", "Transfer-Encoding: chunked"));
        chunked(socket, body, 9_999);
        assertEquals(
                "got " + body.length, ScriptedPeer.read(socket.getInputStream()).text());
        assertEquals(
                "got 4",
                AgentFixture.exchange(socket, stage.request("order", 8000, "body"))
                        .text());
        for (ScriptedPeer.Message each : stage.servers.get(0).requests) {
            if (each.body().length > 4) {
                assertArrayEquals(body, each.body());
            }
        }
        AgentFixture.await(
                () -> stage.agent.budget().account(ResourcePurpose.REQUESTS).bytes() == 0);
    }

    /** It never ran, for its last byte never left: the caller hears that trying again is harmless. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anUploadWhoseServerDiesInTheMiddleIsRefused(boolean chunked) throws Exception {
        ScriptedPeer.Script dead = (message, socket) -> {};
        ScriptedPeer server = stage.server(dead);
        stage.start();
        Socket socket = stage.dial();
        String head = stage.request("order", 8000, "");
        ScriptedPeer.write(
                socket,
                head.replace("Content-Length: 0", chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + 4 * MIB)
                        + (chunked ? "400000\r\n" : ""));
        write(socket, new byte[200_000]);
        AgentFixture.await(() -> !server.sockets.isEmpty());
        Thread.sleep(200);
        for (Socket each : server.sockets) {
            ScriptedPeer.reset(each);
        }
        ScriptedPeer.Message answer = ScriptedPeer.read(socket.getInputStream());
        assertEquals(503, answer.status());
        assertNotNull(answer.header("Retry-After"));
        idle();
    }

    /** Nobody gets a body that cannot be read to its end, and its caller hears at once. */
    @Test
    void anUploadThatTurnsToNoiseEndsWithAnError() throws Exception {
        ScriptedPeer server = stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        stage.start();
        Socket socket = stage.dial();
        ScriptedPeer.write(
                socket,
                stage.request("order", 8000, "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                        + "30d40\r\n");
        write(socket, new byte[200_000]);
        ScriptedPeer.write(socket, "\r\nnoise\r\n");
        long begin = System.nanoTime();
        assertEquals(400, ScriptedPeer.read(socket.getInputStream()).status());
        assertTrue(System.nanoTime() - begin < 1_000_000_000L);
        idle();
        assertEquals(0, server.requests.size());
    }

    /** The module hears of the time to the answer's head: what goes ahead of it does not count, nor its writing. */
    @Test
    void theTimeToldIsThatToTheAnswersHead() throws Exception {
        stage.server((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
            Thread.sleep(message.target().startsWith("/order") ? 400 : 0);
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo");
            Thread.sleep(message.target().startsWith("/order") ? 0 : 400);
            ScriptedPeer.write(socket, "dy");
        });
        List<Long> spent = new CopyOnWriteArrayList<>();
        stage.start(stage.overheard((event, details) -> {
            if (event.equals("outcome")) {
                spent.add((Long) details[5]);
            }
        }));
        assertEquals("body", stage.call("order").text());
        assertEquals("body", stage.call("lookup").text());
        AgentFixture.await(() -> spent.size() == 2);
        assertTrue(spent.get(0) >= 350_000, spent + " us");
        assertTrue(spent.get(1) < 350_000, spent + " us");
    }

    @Test
    void whatIsLongerThanAnyBodyIsTurnedAway() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", ""));
        stage.start();
        Socket socket = stage.dial();
        ScriptedPeer.write(
                socket, stage.request("order", 8000, "").replace("Content-Length: 0", "Content-Length: 60000000"));
        assertEquals(413, ScriptedPeer.read(socket.getInputStream()).status());
        Socket unknown = stage.dial();
        ScriptedPeer.write(
                unknown, stage.request("order", 8000, "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
        byte[] chunk = new byte[MIB];
        ScriptedPeer.daemon(() -> {
            for (int i = 0; i < 60; i++) {
                ScriptedPeer.write(unknown, "100000\r\n");
                write(unknown, chunk);
                ScriptedPeer.write(unknown, "\r\n");
            }
        });
        assertEquals(413, ScriptedPeer.read(unknown.getInputStream()).status());
        idle();
    }

    @Test
    void slowHeadsAndSlowBodiesAreServed() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", message.text()));
        stage.start();
        Socket socket = stage.dial();
        String request = stage.request("order", 8000, "slow body of a slow caller");
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
