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

/** Settings that change on SIGHUP, over loopback sockets; and files that are not whole. */
class SettingsReloadTest {
    @TempDir
    private Path dir;

    private AgentFixture stage;
    private Path file;
    private final CountDownLatch go = new CountDownLatch(1);
    /** How often the module was told of other settings. */
    private final AtomicInteger told = new AtomicInteger();

    @BeforeEach
    void set() throws IOException {
        stage = new AgentFixture();
        stage.config.put("management", "127.0.0.1:0");
        file = dir.resolve("config.json");
        stage.server((message, socket) -> {
            if (message.target().contains("held")) {
                go.await();
            }
            ScriptedPeer.answer(socket, 200, "", "served");
        });
        stage.start(stage.overheard((event, details) -> {
            if (event.equals("settings")) {
                told.incrementAndGet();
            }
        }));
    }

    @AfterEach
    void strike() throws IOException {
        go.countDown();
        stage.close();
    }

    private static ArrayNode classes(ObjectNode config) {
        return (ArrayNode) config.get("settings").get("classes");
    }

    private void reload(String text) throws IOException {
        Files.writeString(file, text);
        long before = figure("config_applied") + figure("config_rejected");
        stage.agent.reload(file, null);
        AgentFixture.await(() -> figure("config_applied") + figure("config_rejected") == before + 1);
    }

    private void reload(Consumer<ObjectNode> change) throws IOException {
        ObjectNode copy = stage.config.deepCopy();
        change.accept(copy);
        reload(copy.toString());
    }

    private String stats() {
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), stage.agent.management().getPort())) {
            ScriptedPeer.write(socket, "GET /stats HTTP/1.1\r\nHost: a\r\n\r\n");
            return ScriptedPeer.read(socket.getInputStream()).text();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private long figure(String name) {
        return stats().lines()
                .filter(line -> line.startsWith(name + "="))
                .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(-1);
    }

    private int status(String type) throws IOException {
        return AgentFixture.exchange(
                        stage.dial(), stage.request("order", 8000, "body").replace("order", type))
                .status();
    }

    @Test
    void aClassIsAddedAndAnotherDroppedUnderItsNumber() throws Exception {
        assertEquals(400, status("extra"));
        assertEquals(200, status("order"));
        reload(config -> {
            ArrayNode classes = classes(config);
            ObjectNode extra = classes.get(2).deepCopy();
            JsonNode first = classes.remove(0);
            classes.insert(0, extra.put("name", "extra"));
            classes.add(first); // another order besides
        });
        assertEquals(200, status("extra"));
        assertEquals(200, status("order"));
        reload(config -> classes(config).remove(2));
        assertEquals(400, status("order"));
        assertEquals(400, status("extra"));
        assertEquals(200, stage.call("lookup").status());
        assertEquals(2, told.get());
        assertEquals(2, figure("ok.order"), "counts of a dropped class stay");
        assertEquals(1, figure("ok.extra"));
        assertEquals(1, figure("ok.lookup"));
        reload(config -> {});
        assertEquals(200, status("order"));
        assertEquals(3, figure("ok.order"), "a name keeps its number");
    }

    @Test
    void anOpenRequestKeepsItsClassAndOthersHaveTheNewOne() throws Exception {
        Socket held = stage.dial();
        ScriptedPeer.write(held, stage.request("order", 8000, "body").replace("?q=1", "?held"));
        AgentFixture.await(() -> stage.arrived() > 0
                && stage.servers.get(0).requests.stream()
                        .anyMatch(each -> each.target().contains("held")));
        reload(config -> ((ObjectNode) classes(config).get(2)).put("semantics", "safe"));
        assertEquals(400, stage.call("order").status(), "a POST is no form of a safe class");
        String get = stage.request("lookup", 8000, "").replace("lookup", "order");
        assertEquals(200, AgentFixture.exchange(stage.dial(), get).status());
        go.countDown();
        assertEquals(200, ScriptedPeer.read(held.getInputStream()).status());
    }

    /** Replaced by a rename at any moment, it is one file or the other; the last signal ends with the last file. */
    @Test
    void aFileReplacedWhileItIsReadIsTakenWholeAndTheLastOneHolds() throws Exception {
        String[] texts = new String[2];
        for (int i = 0; i < 2; i++) {
            ObjectNode copy = stage.config.deepCopy();
            ((ObjectNode) classes(copy).get(0)).put("name", "class" + i);
            texts[i] = copy.put("filling", "x".repeat(200_000)).toString();
        }
        Files.writeString(file, texts[0]);
        for (int i = 0; i < 200; i++) {
            Path fresh = dir.resolve("fresh");
            Files.writeString(fresh, texts[i % 2]);
            stage.agent.reload(file, null);
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
            stage.agent.reload(file, null);
        }
        AgentFixture.await(() -> figure("config_applied") + figure("config_rejected") == 400);
        assertEquals(0, figure("config_rejected"));
        assertEquals(400, status("class0"));
        String get = stage.request("lookup", 8000, "").replace("lookup", "class1");
        assertEquals(200, AgentFixture.exchange(stage.dial(), get).status());
    }

    @Test
    void aFileThatIsNotWholeChangesNothing() throws Exception {
        String whole = stage.config.toString();
        List<String> broken = new ArrayList<>(List.of("", "{", "null", "[]", "7"));
        for (int cut = 1; cut < whole.length() - 1; cut += 97) {
            broken.add(whole.substring(0, cut));
        }
        List<Consumer<ObjectNode>> changes = List.of(
                c -> c.remove("settings"),
                c -> c.remove("limits"),
                c -> c.remove("discovery"),
                c -> ((ObjectNode) c.get("settings")).remove("classes"),
                c -> ((ObjectNode) c.get("settings")).remove("caps"),
                c -> ((ObjectNode) c.get("settings")).remove("deductions"),
                c -> ((ObjectNode) c.get("settings").get("caps")).remove("max-attempts"),
                c -> ((ObjectNode) c.get("settings").get("caps")).put("max-attempts", 0),
                c -> ((ObjectNode) c.get("settings").get("caps")).put("max-attempts", "many"),
                c -> classes(c).removeAll(),
                c -> ((ObjectNode) classes(c).get(1)).put("give-up-us", 0),
                c -> ((ObjectNode) classes(c).get(1)).put("give-up-us", -5),
                c -> ((ObjectNode) classes(c).get(1)).remove("give-up-us"),
                c -> ((ObjectNode) classes(c).get(1)).remove("worth"),
                c -> ((ObjectNode) classes(c).get(1)).remove("name"),
                c -> ((ObjectNode) classes(c).get(1)).put("name", "order"),
                c -> ((ObjectNode) classes(c).get(1)).put("semantics", "sometimes"));
        for (Consumer<ObjectNode> each : changes) {
            ObjectNode copy = stage.config.deepCopy();
            ((ObjectNode) classes(copy).get(0)).put("name", "other");
            each.accept(copy);
            broken.add(copy.toString());
        }
        for (String each : broken) {
            reload(each);
            assertEquals(0, figure("config_applied"), each);
        }
        assertTrue(figure("config_rejected") == broken.size());
        assertEquals(0, told.get(), "nothing is half taken");
        assertEquals(200, stage.call("lookup").status());
        assertEquals(400, status("other"));
    }
}
