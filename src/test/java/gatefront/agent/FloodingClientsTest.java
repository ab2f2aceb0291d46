package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.agent.ThriftTestService.Args;
import gatefront.agent.ThriftTestService.Result;
import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.ThriftEncoding;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.protocol.TMessageType;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * One client that sends small or invalid input at full speed, to an agent with the memory limits of the deploy file:
 * other clients get their responses in time, and memory does not grow.
 */
@Timeout(60)
class FloodingClientsTest {
    private static final int SERVERS = 4;
    private static final int TIMEOUT_MS = 300;
    /** How long after its time a request may still be answered. */
    private static final int LATE_MS = 500;

    private static final int READ_TIMEOUT_MS = 5_000;
    private static final int FLOOD_SECONDS = 4;
    private static final int BATCH_BYTES = 64 << 10;
    private static final long REQUEST_INTERVAL_MS = 10;
    /** What an agent may take of memory, by the README. */
    private static final int MAX_MEMORY_MB = 128;

    private static final Set<Integer> FINAL_STATUSES = Set.of(200, 502, 503, 504);
    private static final MessageFormat FORMAT = new MessageFormat(true, ThriftEncoding.BINARY);

    /** What the client sends again and again, with another number each time. */
    private enum Flood {
        HEALTH_CHECKS,
        REQUESTS,
        UNSAFE_REQUESTS,
        REQUESTS_OF_ONE_ID,
        UNKNOWN_CLASSES,
        UNKNOWN_TENANTS,
        GARBAGE,
        EMPTY_LINES,
        EXPECTATIONS,
        HEAD_WITHOUT_END,
        SMALL_CHUNKS,
        SMALL_CHUNKS_TO_SLOW_SERVERS,
        EMPTY_BODIES
    }

    @TempDir
    private Path folder;

    private AgentFixture fixture;
    private AgentProcess agent;
    private volatile boolean flooding = true;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
    }

    @AfterEach
    void tearDown() throws IOException {
        flooding = false;
        if (agent != null) {
            agent.close();
        }
        fixture.close();
    }

    private static String start(Flood flood) {
        return switch (flood) {
            case SMALL_CHUNKS, SMALL_CHUNKS_TO_SLOW_SERVERS -> "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Id: flood"
                    + System.nanoTime()
                    + "\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n";
            case HEAD_WITHOUT_END -> "GET /lookup HTTP/1.1\r\nHost: a\r\n";
            default -> "";
        };
    }

    private static String piece(Flood flood, long number) {
        String head = " HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: 1000\r\nRequest-Id: flood" + number + "\r\n";
        return switch (flood) {
            case HEALTH_CHECKS -> "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
            case REQUESTS -> "GET /lookup" + head + "Request-Class: lookup\r\n\r\n";
            case UNSAFE_REQUESTS -> "POST /order" + head + "Request-Class: order\r\nContent-Length: 1\r\n\r\nx";
            case REQUESTS_OF_ONE_ID -> "GET /lookup" + head.replace("" + number, "") + "Request-Class: lookup\r\n\r\n";
            case UNKNOWN_CLASSES -> "GET /class" + number + head + "Request-Class: class" + number + "\r\nname" + number
                    + ": x\r\n\r\n";
            case UNKNOWN_TENANTS -> "GET /lookup" + head + "Request-Class: lookup\r\nTenant: tenant" + number
                    + "\r\nAffinity-Key: k" + number + "\r\nname" + number + ": x\r\n\r\n";
            case GARBAGE -> "\u0001garbage" + number;
            case EMPTY_LINES -> "\r\n";
            case EXPECTATIONS -> "POST /order" + head
                    + "Request-Class: order\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx";
            case HEAD_WITHOUT_END -> "name" + number + ": x\r\n";
            case SMALL_CHUNKS, SMALL_CHUNKS_TO_SLOW_SERVERS -> "1\r\nx\r\n";
            case EMPTY_BODIES -> "POST /order" + head + "Request-Class: order\r\nContent-Length: 0\r\n\r\n";
        };
    }

    /** Sends at full speed, on a new connection whenever one has ended. */
    private void flood(Flood flood, boolean reads) {
        ScriptedPeer.daemon(() -> {
            long number = 0;
            while (flooding) {
                try (Socket socket = agent.dial()) {
                    if (reads) {
                        discardInput(socket);
                    }
                    OutputStream out = socket.getOutputStream();
                    out.write(start(flood).getBytes(StandardCharsets.ISO_8859_1));
                    while (flooding) {
                        StringBuilder batch = new StringBuilder();
                        while (batch.length() < BATCH_BYTES) {
                            batch.append(piece(flood, number++));
                        }
                        out.write(batch.toString().getBytes(StandardCharsets.ISO_8859_1));
                    }
                } catch (IOException e) {
                    // the agent has ended the connection
                }
            }
        });
    }

    private static void discardInput(Socket socket) {
        ScriptedPeer.daemon(() -> {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[BATCH_BYTES];
            while (in.read(buffer) >= 0) {
                continue;
            }
        });
    }

    private void assertOthersAreAnswered() throws Exception {
        int served = 0;
        int answered = 0;
        long worstMs = 0;
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(FLOOD_SECONDS);
        while (System.nanoTime() < endNanos) {
            String request = fixture.request("lookup", TIMEOUT_MS, "").replace("\r\n\r\n", "\r\nShort: 1\r\n\r\n");
            try (Socket socket = agent.dial()) {
                socket.setSoTimeout(READ_TIMEOUT_MS);
                long startNanos = System.nanoTime();
                int status = AgentFixture.exchange(socket, request).status();
                worstMs = Math.max(worstMs, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
                assertTrue(FINAL_STATUSES.contains(status), "status " + status);
                served += status == 200 ? 1 : 0;
                answered++;
            }
            TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MS);
        }
        long peakMb = agent.peakMemoryBytes() >> 20;
        String seen = served + " of " + answered + " served, the slowest after " + worstMs + " ms, peak memory "
                + peakMb + " MB";
        assertTrue(worstMs <= TIMEOUT_MS + LATE_MS, seen);
        assertTrue(2 * served >= answered, seen);
        assertTrue(peakMb <= MAX_MEMORY_MB, seen);
        assertFalse(agent.log().contains("OutOfMemory"), agent.log());
    }

    private void startAgent(Flood flood) throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            fixture.server((message, socket) -> {
                if (message.header("Short") == null && flood == Flood.SMALL_CHUNKS_TO_SLOW_SERVERS) {
                    TimeUnit.SECONDS.sleep(1);
                }
                ScriptedPeer.respond(socket, 200, "", "served");
            });
        }
        agent = new AgentProcess(folder, fixture.config, "");
    }

    @ParameterizedTest
    @EnumSource(Flood.class)
    void othersAreAnsweredBesideAClientThatFloodsAndReads(Flood flood) throws Exception {
        startAgent(flood);
        flood(flood, true);
        assertOthersAreAnswered();
    }

    @ParameterizedTest
    @EnumSource(
            value = Flood.class,
            names = {"HEALTH_CHECKS", "REQUESTS", "UNKNOWN_CLASSES", "EXPECTATIONS", "REQUESTS_OF_ONE_ID"})
    void othersAreAnsweredBesideAClientThatFloodsAndDoesNotRead(Flood flood) throws Exception {
        startAgent(flood);
        flood(flood, false);
        assertOthersAreAnswered();
    }

    /** Calls of unknown methods get an error each, and the connection stays. */
    @ParameterizedTest
    @CsvSource({"unknown, true", "unknown, false", "lookup, true", "lookup, false", "oneway, true", "reply, true"})
    void othersAreAnsweredBesideAThriftClientThatFloods(String kind, boolean reads) throws Exception {
        try (ThriftAgentFixture thrift = new ThriftAgentFixture(FORMAT)) {
            for (int i = 0; i < SERVERS; i++) {
                thrift.server((name, args) -> new Result());
            }
            int port;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
            for (int i = 0; i < SERVERS; i++) {
                fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
            }
            agent = new AgentProcess(
                    folder,
                    fixture.config,
                    "[thrift]\nlisten = \"127.0.0.1:" + port + "\"\nframing = \"any\"\nprotocol = \"any\"\n"
                            + "nodo_port = " + thrift.port() + "\nnodo_framed = true\nprobes = \"http\"\n"
                            + "[[thrift.methods]]\nname = \"lookup\"\nclass = \"lookup\"\ndeclares = true\n");
            floodThrift(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), kind, reads);
            assertOthersAreAnswered();
        }
    }

    private void floodThrift(InetSocketAddress listen, String kind, boolean reads) {
        ScriptedPeer.daemon(() -> {
            int number = 0;
            while (flooding) {
                try (Socket socket = new Socket(listen.getAddress(), listen.getPort())) {
                    if (reads) {
                        discardInput(socket);
                    }
                    OutputStream out = socket.getOutputStream();
                    while (flooding) {
                        ByteArrayOutputStream batch = new ByteArrayOutputStream();
                        while (batch.size() < BATCH_BYTES) {
                            number++;
                            batch.write(ThriftAgentFixture.message(
                                    FORMAT,
                                    kind.equals("unknown") ? "method" + number : "lookup",
                                    switch (kind) {
                                        case "oneway" -> TMessageType.ONEWAY;
                                        case "reply" -> TMessageType.REPLY;
                                        default -> TMessageType.CALL;
                                    },
                                    number,
                                    new Args("flood" + number, TIMEOUT_MS, null, "")));
                        }
                        out.write(batch.toByteArray());
                    }
                } catch (IOException e) {
                    // the agent has ended the connection
                }
            }
        });
    }
}
