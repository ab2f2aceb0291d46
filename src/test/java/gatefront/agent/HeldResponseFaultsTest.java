package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Faults while the response to a request that arrived late in a shutdown is held back: its client gets one final
 * response in time.
 */
@Timeout(60)
class HeldResponseFaultsTest {
    /** When an agent may be killed after it was told to end; the longest deadline counts as 3 s. */
    private static final long KILL_MS = 3_700;

    private static final String LENGTH = "Content-Length: 1280000\r\n\r\n";

    private AgentFixture fixture;
    private Socket client;
    private long stopNanos;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    /** Starts an agent whose servers respond by the script, has it end, and returns after {@code millis}. */
    private void endAgent(long millis, ScriptedPeer.Script script) throws Exception {
        for (int i = 0; i < 3; i++) {
            fixture.server((message, socket) -> {
                if (message.target().startsWith("/pay")) {
                    ScriptedPeer.respond(socket, 200, "", "warm");
                } else {
                    script.handle(message, socket);
                }
            });
        }
        fixture.start();
        client = fixture.dial();
        AgentFixture.exchange(client, fixture.request("pay", 2_000, "body"));
        stopNanos = System.nanoTime();
        fixture.agent.startShutdown();
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    private static void begin(Socket socket, String framing) throws IOException {
        ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\n" + framing);
    }

    private static void writeSlowly(Socket socket) throws Exception {
        for (int i = 0; i < 80; i++) {
            ScriptedPeer.write(socket, "x".repeat(16_000));
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private long millisSinceStop() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopNanos);
    }

    /** Guards against a request without a response: the end of a broken response is told to a client that has it. */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "closed", "spoilt chunk"})
    void requestWhoseHeldResponseBreaksFails(String fault) throws Exception {
        endAgent(1_000, (message, socket) -> {
            boolean chunked = fault.equals("spoilt chunk");
            begin(socket, chunked ? "Transfer-Encoding: chunked\r\n\r\nffff\r\n" : LENGTH);
            ScriptedPeer.write(socket, "x".repeat(chunked ? 0xffff : 100_000));
            TimeUnit.MILLISECONDS.sleep(300);
            if (chunked) {
                ScriptedPeer.write(socket, "\r\nno size\r\n");
            } else if (fault.equals("reset")) {
                ScriptedPeer.reset(socket);
            } else {
                socket.close();
            }
        });
        int status = AgentFixture.exchange(client, fixture.request("lookup", 1_600, ""))
                .status();
        assertEquals(502, status);
        assertTrue(millisSinceStop() <= 1_800, "answered after " + millisSinceStop() + " ms");
    }

    /** A response that is held has its client's deadline, unlike one that is passed on. */
    @Test
    void requestWhoseHeldResponseStopsFailsInItsTime() throws Exception {
        endAgent(1_000, (message, socket) -> {
            begin(socket, LENGTH);
            ScriptedPeer.write(socket, "x".repeat(100_000));
            TimeUnit.HOURS.sleep(1);
        });
        int status = AgentFixture.exchange(client, fixture.request("lookup", 700, ""))
                .status();
        assertEquals(504, status);
        assertTrue(millisSinceStop() <= 2_200, "answered after " + millisSinceStop() + " ms");
    }

    /** Guards against a response that is still held when the process is killed, as its client would wait longer. */
    @Test
    void requestWhoseResponseIsHeldIsAnsweredBeforeTheKill() throws Exception {
        endAgent(1_900, (message, socket) -> {
            begin(socket, "Connection: close\r\n\r\n");
            writeSlowly(socket);
        });
        int status = AgentFixture.exchange(client, fixture.request("lookup", 8_000, ""))
                .status();
        assertEquals(504, status);
        assertTrue(millisSinceStop() <= KILL_MS, "answered after " + millisSinceStop() + " ms");
    }

    /** A request arrives with its last byte: one that began before it was late may end late. */
    @Test
    void requestWhoseBodyEndsLateIsLate() throws Exception {
        endAgent(300, (message, socket) -> {
            begin(socket, LENGTH);
            writeSlowly(socket);
        });
        String request = fixture.request("order", 1_600, "x".repeat(200_000));
        ScriptedPeer.write(client, request.substring(0, 120_000));
        TimeUnit.MILLISECONDS.sleep(900);
        ScriptedPeer.write(client, request.substring(120_000));
        assertEquals(502, ScriptedPeer.read(client.getInputStream()).status());
        assertTrue(millisSinceStop() <= KILL_MS, "answered after " + millisSinceStop() + " ms");
    }
}
