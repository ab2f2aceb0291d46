package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A seeded soak of an agent in a process of its own beside servers that fall silent: as a whole, or in one response,
 * once or twice, for a while or for ever; resets, clients that leave, and short requests beside them. Properties {@code
 * soak.seeds} (as 1..50) and {@code soak.seconds} choose other seeds and a longer run.
 */
@Timeout(1_200)
class SilentServersSoakTest {
    private static final String DEFAULT_SEEDS = "1..2";
    private static final int SERVERS = 8;
    private static final int CLIENTS = 40;
    private static final int SHORT_CLIENTS = 4;
    private static final long RUN_SECONDS = Long.getLong("soak.seconds", 18);
    private static final long CLIENT_TIMEOUT_MS = 1_600;
    /** Longest silence of a server as a whole in this soak; the agent waits for twice as long and more. */
    private static final long MAX_SILENCE_MS = 11_000;
    /** Longest silence in one response while its server is active. */
    private static final long MAX_SILENCE_OF_ACTIVE_MS = 8_000;
    /** How long after its time a request may be answered. */
    private static final long LATE_MS = 500;

    private static final int READ_TIMEOUT_MS = 45_000;
    /** A server that leaves more responses unfinished is not waited for. */
    private static final int MAX_HUNG_OF_A_SERVER = 2;

    @TempDir
    private Path folder;

    private final List<ScriptedPeer> servers = new ArrayList<>();
    private final List<AtomicLong> silentUntilNanos = new ArrayList<>();
    private final ConcurrentLinkedQueue<String> breaches = new ConcurrentLinkedQueue<>();
    /** Responses that their servers would have gone on with, by the ids of their requests. */
    private final Map<String, String> cutOff = new ConcurrentHashMap<>();
    /** Ids of requests whose clients have got a part of the response, and waited for the rest. */
    private final Set<String> incomplete = ConcurrentHashMap.newKeySet();

    private final AtomicLong ids = new AtomicLong();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger resumed = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean running = true;
    private AgentProcess agent;

    /** How a server gives a response. */
    private enum Behaviour {
        /** It pauses once or twice and goes on. */
        PAUSE,
        /** It never goes on. */
        HANG,
        /** It resets the connection. */
        RESET
    }

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", DEFAULT_SEEDS).split("\\.\\.");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
    }

    /** Guards against cutting off responses that their servers go on with, and against harm to others beside them. */
    @ParameterizedTest
    @MethodSource("seeds")
    void responsesThatServersGoOnWithAreWhole(long seed) throws Exception {
        Random random = new Random(seed);
        ObjectNode config = startServers(random);
        ScriptedPeer discovery = new ScriptedPeer((message, socket) -> {
            if (!message.target().contains("since")) {
                ScriptedPeer.respond(socket, 200, "", config.get("known").toString());
            }
        });
        config.put("discovery", discovery.address());
        agent = new AgentProcess(folder, config, "");
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS + SHORT_CLIENTS; i++) {
            Random own = new Random(random.nextLong());
            boolean isShort = i >= CLIENTS;
            threads.add(ScriptedPeer.daemon(() -> {
                while (running) {
                    if (isShort) {
                        askShort();
                    } else {
                        askLong(own);
                    }
                }
            }));
        }
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(RUN_SECONDS);
        while (System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(1_000 + random.nextInt(3_000));
            long silenceMs = 500 + random.nextInt((int) MAX_SILENCE_MS - 500);
            silentUntilNanos
                    .get(random.nextInt(SERVERS))
                    .set(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(silenceMs));
        }
        running = false;
        TimeUnit.MILLISECONDS.sleep(MAX_SILENCE_MS);
        assertTrue(agent.terminate(6_000), "the agent ends, whatever its servers do");
        for (Thread thread : threads) {
            thread.join(READ_TIMEOUT_MS);
        }
        agent.close();
        discovery.close();
        for (ScriptedPeer server : servers) {
            server.close();
        }
        System.out.println("silent servers, seed " + seed + ": " + whole + " whole, " + resumed
                + " of them after a silence of over 4 s, " + served + " short");
        cutOff.keySet().retainAll(incomplete);
        assertEquals(Map.of(), cutOff);
        assertEquals(List.of(), List.copyOf(breaches));
        assertTrue(whole.get() > CLIENTS, whole + " whole");
        assertTrue(served.get() > 100, served + " short ones served");
    }

    private ObjectNode startServers(Random random) throws IOException {
        ObjectNode config =
                (ObjectNode) new ObjectMapper().readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
        ArrayNode endpoints = (ArrayNode) config.get("known").get("endpoints");
        for (int i = 0; i < SERVERS; i++) {
            AtomicLong silentUntil = new AtomicLong(System.nanoTime());
            silentUntilNanos.add(silentUntil);
            Random own = new Random(random.nextLong());
            AtomicInteger hung = new AtomicInteger();
            ScriptedPeer server = new ScriptedPeer((message, socket) -> {
                if (message.target().startsWith("/pay")) {
                    awaitEndOfSilence(silentUntil);
                    ScriptedPeer.respond(socket, 200, "", "short");
                } else {
                    Random plan;
                    synchronized (own) {
                        plan = new Random(own.nextLong());
                    }
                    respondLong(message.header("Request-Id"), socket, silentUntil, plan, hung);
                }
            });
            server.beforeHealthCheck = () -> awaitEndOfSilence(silentUntil);
            servers.add(server);
            endpoints.add(AgentFixture.endpoint(i + 1, server.address(), "Ready"));
        }
        return config;
    }

    private static void awaitEndOfSilence(AtomicLong silentUntil) throws InterruptedException {
        while (System.nanoTime() - silentUntil.get() < 0) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private void respondLong(String id, Socket socket, AtomicLong silentUntil, Random plan, AtomicInteger hung)
            throws Exception {
        ResponseFraming framing = ResponseFraming.values()[plan.nextInt(3)];
        int parts = 2 + plan.nextInt(20);
        int partBytes =
                framing == ResponseFraming.LENGTH ? (70_000 + plan.nextInt(400_000)) / parts : 1 + plan.nextInt(20_000);
        int roll = plan.nextInt(100);
        Behaviour behaviour = roll < 4 ? Behaviour.HANG : roll < 8 ? Behaviour.RESET : Behaviour.PAUSE;
        int[] pauseAt = {plan.nextInt(parts), roll % 2 == 0 ? plan.nextInt(parts) : -1};
        long pauseMs = roll < 60 ? plan.nextInt(200) : plan.nextInt((int) MAX_SILENCE_OF_ACTIVE_MS);
        awaitEndOfSilence(silentUntil);
        framing.writeHead(socket, parts * partBytes);
        long longestSilenceMs = 0;
        long lastNanos = System.nanoTime();
        for (int part = 0; part < parts; part++) {
            awaitEndOfSilence(silentUntil);
            if (part == pauseAt[0] || part == pauseAt[1]) {
                if (behaviour == Behaviour.HANG && hung.incrementAndGet() <= MAX_HUNG_OF_A_SERVER) {
                    TimeUnit.HOURS.sleep(1);
                } else if (behaviour == Behaviour.RESET) {
                    ScriptedPeer.reset(socket);
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(pauseMs);
            }
            longestSilenceMs = Math.max(longestSilenceMs, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastNanos));
            lastNanos = System.nanoTime();
            if (!writePart(socket, framing, partBytes)) {
                cutOff.put(
                        id,
                        "cut off after part " + part + " of " + parts + ", framing " + framing + ", longest silence "
                                + longestSilenceMs + " ms");
                return;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        framing.writeEnd(socket);
        resumed.addAndGet(longestSilenceMs > 4_000 ? 1 : 0);
    }

    /** Writes a part of a response; returns whether the agent still takes it. */
    private static boolean writePart(Socket socket, ResponseFraming framing, int bytes) {
        try {
            framing.writePart(socket, bytes);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private String request(String requestClass, String id) {
        return "POST /" + requestClass + " HTTP/1.1\r\nHost: a\r\nRequest-Id: " + id + "\r\nRequest-Class: "
                + requestClass + "\r\nRequest-Timeout-Ms: " + CLIENT_TIMEOUT_MS + "\r\n"
                + (requestClass.equals("pay") ? "Idempotency-Key: k" + id + "\r\n" : "") + "Content-Length: 0\r\n\r\n";
    }

    private void askLong(Random random) throws Exception {
        String id = "long" + ids.incrementAndGet();
        boolean leaves = random.nextInt(10) == 0;
        boolean begun = false;
        try (Socket socket = agent.dial()) {
            socket.setSoTimeout(leaves ? 1 + random.nextInt(7_000) : READ_TIMEOUT_MS);
            ScriptedPeer.write(socket, request("order", id));
            PushbackInputStream in = new PushbackInputStream(socket.getInputStream());
            in.unread(in.read());
            begun = true;
            whole.addAndGet(ScriptedPeer.read(in).status() == 200 ? 1 : 0);
        } catch (SocketTimeoutException e) {
            TimeUnit.MILLISECONDS.sleep(20); // it leaves
        } catch (IOException e) {
            if (begun && running) {
                incomplete.add(id);
            }
        }
        TimeUnit.MILLISECONDS.sleep(random.nextInt(200));
    }

    private void askShort() throws Exception {
        try (Socket socket = agent.dial()) {
            long startNanos = System.nanoTime();
            ScriptedPeer.write(socket, request("pay", "short" + ids.incrementAndGet()));
            int status = ScriptedPeer.read(socket.getInputStream()).status();
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            served.addAndGet(status == 200 ? 1 : 0);
            if (elapsedMs > CLIENT_TIMEOUT_MS + LATE_MS) {
                breaches.add("a short request was answered after " + elapsedMs + " ms");
            }
        } catch (IOException e) {
            if (running) {
                breaches.add("a short request was not answered: " + e);
            }
        }
        TimeUnit.MILLISECONDS.sleep(20);
    }
}
