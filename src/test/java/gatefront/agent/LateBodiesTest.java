package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against cutting off a response whose head arrives in time and whose body comes slowly, after the attempt's or
 * the client's time.
 */
@Timeout(60)
class LateBodiesTest {
    private static final int SERVERS = 2;
    private static final int AIM_MICROS = 400_000;
    private static final int PIECES = 8;
    /** How long after its time a client may still get the first byte of its response. */
    private static final long LATE_MS = 500;

    private AgentFixture fixture;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
        for (JsonNode requestClass : fixture.config.get("settings").get("classes")) {
            ((ObjectNode) requestClass).put("aim-us", AIM_MICROS);
        }
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

    /** Sends the head at once and, after a pause, the body in pieces, with as many pauses of a tenth between them. */
    private static void respondSlowly(Socket socket, boolean chunked, byte[] body, long pauseMs) throws Exception {
        ScriptedPeer.write(
                socket,
                "HTTP/1.1 200 OK\r\n" + (chunked ? "Transfer-Encoding: chunked" : "Connection: close") + "\r\n\r\n");
        TimeUnit.MILLISECONDS.sleep(pauseMs);
        int pieceBytes = Math.max(1, body.length / PIECES);
        for (int offset = 0; offset < body.length; offset += pieceBytes) {
            int size = Math.min(pieceBytes, body.length - offset);
            if (chunked) {
                ScriptedPeer.write(socket, Integer.toHexString(size) + "\r\n");
            }
            socket.getOutputStream().write(body, offset, size);
            if (chunked) {
                ScriptedPeer.write(socket, "\r\n");
            }
            TimeUnit.MILLISECONDS.sleep(pauseMs / 10);
        }
        if (chunked) {
            ScriptedPeer.write(socket, "0\r\n\r\n");
        } else {
            socket.close();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "lookup, false, 123186, 600, 2000",
        "lookup, true, 208245, 600, 2000",
        "pay, true, 117034, 900, 2000",
        "order, false, 129961, 600, 1500",
        "order, true, 400, 700, 1500",
        "pay, false, 40000, 450, 1500",
        "lookup, true, 1000000, 1300, 2000",
        // The client's time ends before the attempt's would.
        "lookup, false, 150000, 600, 300",
        "order, true, 150000, 500, 350",
    })
    void responseWhoseBodyComesLateIsNotCutOff(
            String requestClass, boolean chunked, int bytes, long pauseMs, long timeoutMs) throws Exception {
        byte[] body = randomBytes(bytes);
        for (int i = 0; i < SERVERS; i++) {
            fixture.server((message, socket) -> respondSlowly(socket, chunked, body, pauseMs));
        }
        fixture.start();
        Socket client = fixture.dial();
        long sentNanos = System.nanoTime();
        ScriptedPeer.write(client, fixture.request(requestClass, timeoutMs, "body"));
        InputStream in = client.getInputStream();
        ByteArrayOutputStream start = new ByteArrayOutputStream();
        start.write(in.read());
        long firstByteMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        assertTrue(firstByteMs <= timeoutMs + LATE_MS, "first byte after " + firstByteMs + " ms");
        ScriptedPeer.Message response = ScriptedPeer.read(
                new java.io.SequenceInputStream(new java.io.ByteArrayInputStream(start.toByteArray()), in));
        assertEquals(200, response.status());
        assertArrayEquals(body, response.body());
        assertEquals(1, fixture.requestsReceived());
    }
}
