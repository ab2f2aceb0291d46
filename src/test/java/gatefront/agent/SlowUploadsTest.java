package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against final responses that come long after the client's time because a server reads a long request slowly or
 * not at all. A client's time counts from the last byte that it has written.
 */
@Timeout(60)
class SlowUploadsTest {
    /** How long after its time a request may be answered. */
    private static final long LATE_MS = 500;

    /** Within this time a client that has stopped in the middle of a request is told. */
    private static final long STOPPED_CLIENT_MS = 3_000;

    private static final int STOPPED_PART_BYTES = 80_000;
    private static final int READ_BYTES = 4 << 10;
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 8 << 10;

    private AgentFixture fixture;
    private final List<Closeable> closeables = new ArrayList<>();

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
        for (Closeable closeable : closeables) {
            closeable.close();
        }
    }

    /** Handles a connection of which nothing has been read. */
    private interface Handler {
        void handle(Socket socket) throws Exception;
    }

    private void list(Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        closeables.add(listener);
        fixture.list("127.0.0.1:" + listener.getLocalPort());
        ScriptedPeer.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                closeables.add(socket);
                ScriptedPeer.daemon(() -> handler.handle(socket));
            }
        });
    }

    /** Reads at a pace up to a number of bytes, and then nothing more. */
    private void listSlowServers(int bytesPerSecond, long stopsAt) throws IOException {
        for (int i = 0; i < 2; i++) {
            list(socket -> {
                long taken = 0;
                long startNanos = System.nanoTime();
                InputStream in = socket.getInputStream();
                while (taken < stopsAt) {
                    int read = in.readNBytes(READ_BYTES).length;
                    if (read == 0) {
                        return;
                    }
                    taken += read;
                    long dueNanos = startNanos + TimeUnit.SECONDS.toNanos(1) * taken / bytesPerSecond;
                    LockSupport.parkNanos(dueNanos - System.nanoTime());
                }
                TimeUnit.HOURS.sleep(1);
            });
        }
    }

    private String head(String requestClass, long timeoutMs, boolean chunked, int bytes) {
        String head = fixture.request(requestClass, timeoutMs, "");
        return chunked
                ? head.replace("Content-Length: 0", "Transfer-Encoding: chunked")
                : head.replace("Content-Length: 0", "Content-Length: " + bytes);
    }

    private static void writeBody(Socket client, boolean chunked, int bytes, int pieceBytes, long pauseMs)
            throws Exception {
        byte[] piece = new byte[pieceBytes];
        for (int offset = 0; offset < bytes; offset += pieceBytes) {
            int size = Math.min(pieceBytes, bytes - offset);
            if (chunked) {
                ScriptedPeer.write(client, Integer.toHexString(size) + "\r\n");
            }
            client.getOutputStream().write(piece, 0, size);
            if (chunked) {
                ScriptedPeer.write(client, "\r\n");
            }
            TimeUnit.MILLISECONDS.sleep(pauseMs);
        }
        if (chunked) {
            ScriptedPeer.write(client, "0\r\n\r\n");
        }
    }

    /** Up to some 2.6 MB fit in the system's buffers on the way to a server, and as many on the way from a client. */
    @ParameterizedTest
    @CsvSource({
        // bytes, chunked, bytes a second that the server reads, where it stops, timeout, the client's piece and pause
        "3200000, false, 85000, 99000000, 898, 65536, 0",
        "4000000, false, 400000, 99000000, 790, 100000, 20",
        "4000000, true, 85000, 99000000, 1900, 65536, 0",
        "3500000, true, 99000000, 27598, 600, 65536, 0",
        "4500000, false, 99000000, 30904, 753, 65536, 0",
        "3200000, true, 99000000, 15893, 603, 65536, 5",
        "4000000, false, 99000000, 2000000, 300, 400000, 0",
        "865656, false, 85000, 99000000, 898, 65536, 0",
        "289502, true, 99000000, 27598, 600, 65536, 0",
        "90000, false, 99000000, 8192, 400, 90000, 0",
    })
    void responseIsInTimeWhereAServerReadsALongRequestSlowly(
            int bytes, boolean chunked, int bytesPerSecond, long stopsAt, long timeoutMs, int pieceBytes, long pauseMs)
            throws Exception {
        listSlowServers(bytesPerSecond, stopsAt);
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, head("pay", timeoutMs, chunked, bytes));
        writeBody(client, chunked, bytes, pieceBytes, pauseMs);
        long sentNanos = System.nanoTime();
        int status = ScriptedPeer.read(client.getInputStream()).status();
        long afterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        assertTrue(afterMs <= timeoutMs + LATE_MS, status + " came after " + afterMs + " ms");
    }

    /** A server that reads as fast as the client writes gets the whole body, however long that takes. */
    @ParameterizedTest
    @CsvSource({
        "600000, false, 20000, 60, 700",
        "400000, true, 10000, 60, 700",
        "300000, false, 70000, 500, 700",
    })
    void clientThatWritesALongRequestForLongerThanItWaitsIsServed(
            int bytes, boolean chunked, int pieceBytes, long pauseMs, long timeoutMs) throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "" + message.body().length));
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, head("pay", timeoutMs, chunked, bytes));
        writeBody(client, chunked, bytes, pieceBytes, pauseMs);
        ScriptedPeer.Message response = ScriptedPeer.read(client.getInputStream());
        assertEquals("200 " + bytes, response.status() + " " + response.text());
    }

    @Test
    void clientThatWritesAtFullSpeedForLongerThanItWaitsIsServed() throws Exception {
        assertServedThoughWritingTakesLongerThanTheTimeout(false);
    }

    /** Guards against failing a request whose server is slower than its client, which has not written the end yet. */
    @Test
    void clientThatWritesAChunkedBodyForLongerThanItWaitsIsServed() throws Exception {
        assertServedThoughWritingTakesLongerThanTheTimeout(true);
    }

    /**
     * Guards against failing a request whose client writes in bursts that make the agent pause reading, though its
     * server takes each of them at once.
     */
    @ParameterizedTest
    @CsvSource({
        // bytes, chunked, the client's piece and pause, timeout
        "2000000, false, 70000, 30, 300",
        "2000000, true, 70000, 30, 300",
        "2000000, true, 90000, 20, 400",
        "3000000, true, 150000, 60, 400",
        "3000000, false, 150000, 60, 400",
        "2000000, true, 100000, 90, 600",
    })
    void clientThatWritesInBurstsForLongerThanItWaitsIsServed(
            int bytes, boolean chunked, int pieceBytes, long pauseMs, long timeoutMs) throws Exception {
        assertServed(bytes, chunked, pieceBytes, pauseMs, timeoutMs);
    }

    private void assertServedThoughWritingTakesLongerThanTheTimeout(boolean chunked) throws Exception {
        assertServed(30_000_000, chunked, 65_536, 1, 150);
    }

    private void assertServed(int bytes, boolean chunked, int pieceBytes, long pauseMs, long timeoutMs)
            throws Exception {
        list(socket -> {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[64 << 10];
            long taken = 0;
            String end = "";
            for (int read = in.read(buffer); read > 0; read = in.read(buffer)) {
                taken += read;
                String tail = new String(buffer, Math.max(0, read - 5), Math.min(5, read), StandardCharsets.US_ASCII);
                end = (end + tail).substring(Math.max(0, end.length() + tail.length() - 5));
                if (taken >= bytes && (!chunked || end.equals("0\r\n\r\n"))) {
                    ScriptedPeer.respond(socket, 200, "", "served");
                    taken = 0;
                }
            }
        });
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, head("pay", timeoutMs, chunked, bytes));
        writeBody(client, chunked, bytes, pieceBytes, pauseMs);
        assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
    }

    /** What the server is told is what the client, which may have written all, still waits. */
    @Test
    void bodyThatFillsTheBuffersOfTheSystemIsServedWhereItIsReadInTime() throws Exception {
        int bytes = 16 << 20;
        list(socket -> {
            InputStream in = socket.getInputStream();
            long startNanos = System.nanoTime();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) in.read());
            }
            if (head.indexOf("/healthz") >= 0) {
                return;
            }
            byte[] buffer = new byte[64 << 10];
            for (long taken = 0; taken < bytes; ) {
                int read = in.read(buffer);
                if (read < 0) {
                    throw new EOFException();
                }
                taken += read;
                // 8 MiB a second: the client is still writing when its timeout has passed since its first byte.
                long dueNanos = startNanos + TimeUnit.SECONDS.toNanos(1) * taken / (8 << 20);
                LockSupport.parkNanos(dueNanos - System.nanoTime());
            }
            ScriptedPeer.respond(socket, 200, "", "served");
        });
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, head("pay", 1_500, false, bytes));
        writeBody(client, false, bytes, 1 << 20, 0);
        assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
    }

    /** A client that stops in the middle of a request and stays gets an error or a close, whenever it stops. */
    @ParameterizedTest
    @CsvSource({"0, false", "300, true", "1200, false", "1200, true", "2300, false"})
    void clientThatStopsInTheMiddleOfALongRequestIsToldInTime(long pauseMs, boolean chunked) throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, head("pay", 8_000, chunked, 10_000_000));
        for (int part = 0; part < 2; part++) {
            String piece = "x".repeat(STOPPED_PART_BYTES);
            ScriptedPeer.write(client, chunked ? Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n" : piece);
            TimeUnit.MILLISECONDS.sleep(part == 0 ? pauseMs : 0);
        }
        long stoppedNanos = System.nanoTime();
        int first = client.getInputStream().read();
        long afterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedNanos);
        assertTrue(afterMs <= STOPPED_CLIENT_MS, first + " came after " + afterMs + " ms");
    }
}
