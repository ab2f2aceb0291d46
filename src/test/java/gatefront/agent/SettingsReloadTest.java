package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Settings that change on a reload, over loopback sockets, and truncated files. */
class SettingsReloadTest {
    @TempDir
    private Path dir;

    private AgentFixture fixture;
    private Path file;
    private final CountDownLatch release = new CountDownLatch(1);
    /** Number of times that the balancer received new settings. */
    private final AtomicInteger settingsChanges = new AtomicInteger();

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
        fixture.config.put("management", "127.0.0.1:0");
        file = dir.resolve("config.json");
        fixture.server((message, socket) -> {
            if (message.target().contains("held")) {
                release.await();
            }
            ScriptedPeer.respond(socket, 200, "", "served");
        });
        fixture.start(fixture.interceptedBalancer((event, details) -> {
            if (event.equals("settings")) {
                settingsChanges.incrementAndGet();
            }
        }));
    }

    @AfterEach
    void tearDown() throws IOException {
        release.countDown();
        fixture.close();
    }

    private static ArrayNode classes(ObjectNode config) {
        return (ArrayNode) config.get("settings").get("classes");
    }

    private void reload(String text) throws IOException {
        Files.writeString(file, text);
        long before = statistic("config_applied") + statistic("config_rejected");
        fixture.agent.reload(file, null);
        AgentFixture.await(() -> statistic("config_applied") + statistic("config_rejected") == before + 1);
    }

    private void reload(Consumer<ObjectNode> change) throws IOException {
        ObjectNode copy = fixture.config.deepCopy();
        change.accept(copy);
        reload(copy.toString());
    }

    private String stats() {
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(),
                fixture.agent.managementAddress().getPort())) {
            ScriptedPeer.write(socket, "GET /stats HTTP/1.1\r\nHost: a\r\n\r\n");
            return ScriptedPeer.read(socket.getInputStream()).text();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private long statistic(String name) {
        return stats().lines()
                .filter(line -> line.startsWith(name + "="))
                .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(-1);
    }

    private int status(String type) throws IOException {
        return AgentFixture.exchange(
                        fixture.dial(), fixture.request("order", 8000, "body").replace("order", type))
                .status();
    }

    @Test
    void classIsAddedAndAnotherDroppedKeepingItsNumber() throws Exception {
        assertEquals(400, status("extra"));
        assertEquals(200, status("order"));
        reload(config -> {
            ArrayNode classes = classes(config);
            ObjectNode extra = classes.get(2).deepCopy();
            JsonNode first = classes.remove(0);
            classes.insert(0, extra.put("name", "extra"));
            classes.add(first); // the order of the classes changes, too
        });
        assertEquals(200, status("extra"));
        assertEquals(200, status("order"));
        reload(config -> classes(config).remove(2));
        assertEquals(400, status("order"));
        assertEquals(400, status("extra"));
        assertEquals(200, fixture.call("lookup").status());
        assertEquals(2, settingsChanges.get());
        assertEquals(2, statistic("ok.order"), "the counters of a dropped class are kept");
        assertEquals(1, statistic("ok.extra"));
        assertEquals(1, statistic("ok.lookup"));
        reload(config -> {});
        assertEquals(200, status("order"));
        assertEquals(3, statistic("ok.order"), "a name keeps its number");
    }

    @Test
    void openRequestKeepsItsClassWhileOthersUseTheNewOne() throws Exception {
        Socket pending = fixture.dial();
        ScriptedPeer.write(pending, fixture.request("order", 8000, "body").replace("?q=1", "?held"));
        AgentFixture.await(() -> fixture.requestsReceived() > 0
                && fixture.servers.get(0).requests.stream()
                        .anyMatch(message -> message.target().contains("held")));
        reload(config -> ((ObjectNode) classes(config).get(2)).put("semantics", "safe"));
        assertEquals(400, fixture.call("order").status(), "POST is not allowed for a safe class");
        String get = fixture.request("lookup", 8000, "").replace("lookup", "order");
        assertEquals(200, AgentFixture.exchange(fixture.dial(), get).status());
        release.countDown();
        assertEquals(200, ScriptedPeer.read(pending.getInputStream()).status());
    }

    /**
     * A file replaced by a rename at any moment is read as one version or the other, and the last reload applies the
     * last version.
     */
    @Test
    void fileReplacedWhileReadIsTakenWholeAndTheLastOneApplies() throws Exception {
        String[] texts = new String[2];
        for (int i = 0; i < 2; i++) {
            ObjectNode copy = fixture.config.deepCopy();
            ((ObjectNode) classes(copy).get(0)).put("name", "class" + i);
            texts[i] = copy.put("filling", "x".repeat(200_000)).toString();
        }
        Files.writeString(file, texts[0]);
        for (int i = 0; i < 200; i++) {
            Path fresh = dir.resolve("fresh");
            Files.writeString(fresh, texts[i % 2]);
            fixture.agent.reload(file, null);
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
            fixture.agent.reload(file, null);
        }
        AgentFixture.await(() -> statistic("config_applied") + statistic("config_rejected") == 400);
        assertEquals(0, statistic("config_rejected"));
        assertEquals(400, status("class0"));
        String get = fixture.request("lookup", 8000, "").replace("lookup", "class1");
        assertEquals(200, AgentFixture.exchange(fixture.dial(), get).status());
    }

    @Test
    void truncatedFileChangesNothing() throws Exception {
        String complete = fixture.config.toString();
        List<String> invalidFiles = new ArrayList<>(List.of("", "{", "null", "[]", "7"));
        for (int length = 1; length < complete.length() - 1; length += 97) {
            invalidFiles.add(complete.substring(0, length));
        }
        List<Consumer<ObjectNode>> changes = List.of(
                config -> config.remove("settings"),
                config -> config.remove("limits"),
                config -> config.remove("discovery"),
                config -> ((ObjectNode) config.get("settings")).remove("classes"),
                config -> ((ObjectNode) config.get("settings")).remove("caps"),
                config -> ((ObjectNode) config.get("settings")).remove("deductions"),
                config -> ((ObjectNode) config.get("settings").get("caps")).remove("max-attempts"),
                config -> ((ObjectNode) config.get("settings").get("caps")).put("max-attempts", 0),
                config -> ((ObjectNode) config.get("settings").get("caps")).put("max-attempts", "many"),
                config -> classes(config).removeAll(),
                config -> ((ObjectNode) classes(config).get(1)).put("give-up-us", 0),
                config -> ((ObjectNode) classes(config).get(1)).put("give-up-us", -5),
                config -> ((ObjectNode) classes(config).get(1)).remove("give-up-us"),
                config -> ((ObjectNode) classes(config).get(1)).remove("worth"),
                config -> ((ObjectNode) classes(config).get(1)).remove("name"),
                config -> ((ObjectNode) classes(config).get(1)).put("name", "order"),
                config -> ((ObjectNode) classes(config).get(1)).put("semantics", "sometimes"));
        for (Consumer<ObjectNode> change : changes) {
            ObjectNode copy = fixture.config.deepCopy();
            ((ObjectNode) classes(copy).get(0)).put("name", "other");
            change.accept(copy);
            invalidFiles.add(copy.toString());
        }
        for (String text : invalidFiles) {
            reload(text);
            assertEquals(0, statistic("config_applied"), text);
        }
        assertTrue(statistic("config_rejected") == invalidFiles.size());
        assertEquals(0, settingsChanges.get(), "no file is applied in part");
        assertEquals(200, fixture.call("lookup").status());
        assertEquals(400, status("other"));
    }
}
