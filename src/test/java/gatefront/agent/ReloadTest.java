package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A new configuration under way, over loopback sockets. */
class ReloadTest {
    @TempDir
    private Path dir;

    private AgentFixture stage;
    private Path file;

    @BeforeEach
    void set() throws IOException {
        stage = new AgentFixture();
        file = dir.resolve("config.json");
    }

    @AfterEach
    void strike() throws IOException {
        stage.close();
    }

    /** The file as it is, but with discovery elsewhere. */
    private void write(String discovery) throws IOException {
        ObjectNode copy = stage.config.deepCopy();
        Files.writeString(file, copy.put("discovery", discovery).toString());
    }

    /** Another discovery that lists this one server and then has no news; it notes the calls. */
    private ScriptedPeer discoveryOf(ScriptedPeer server) throws IOException {
        return stage.peer((message, socket) -> {
            if (!message.target().contains("since")) {
                ScriptedPeer.answer(
                        socket,
                        200,
                        "",
                        "{\"index\":1,\"snapshot\":true,\"endpoints\":["
                                + AgentFixture.endpoint(9, server.address(), "Ready") + "]}");
            }
        });
    }

    private static List<String> asked(ScriptedPeer discovery) {
        return discovery.requests.stream().map(ScriptedPeer.Message::target).toList();
    }

    @Test
    void theWholeListIsFetchedAtTheNewAddressAndNoRequestIsDisturbed() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer old = stage.server((message, socket) -> {
            go.await();
            ScriptedPeer.answer(socket, 200, "", "old");
        });
        ScriptedPeer fresh = stage.peer((message, socket) -> ScriptedPeer.answer(socket, 200, "", "new"));
        ScriptedPeer other = discoveryOf(fresh);
        stage.start();
        Socket held = stage.dial();
        ScriptedPeer.write(held, stage.request("order", 8000, "body"));
        AgentFixture.await(() -> old.requests.size() == 1);
        write(other.address());
        for (int i = 0; i < 5; i++) { // several in a row do no more than one
            stage.agent.reload(file, null);
        }
        AgentFixture.await(() -> asked(other).stream().anyMatch(each -> each.contains("since=1&")));
        assertEquals("/v1/servers", asked(other).get(0));
        assertEquals(
                1,
                asked(other).stream().filter(each -> each.equals("/v1/servers")).count());
        for (int i = 0; i < 5; i++) {
            assertEquals("new", stage.call("order").text(), "the new list is the whole list");
        }
        go.countDown();
        assertEquals("old", ScriptedPeer.read(held.getInputStream()).text());
    }

    /** Guards against an agent without servers while the new discovery is not up yet. */
    @Test
    void theOldListStaysUntilTheNewOneComes() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "old"));
        ScriptedPeer fresh = stage.peer((message, socket) -> ScriptedPeer.answer(socket, 200, "", "new"));
        ScriptedPeer up = discoveryOf(fresh);
        ScriptedPeer down = stage.peer((message, socket) -> ScriptedPeer.reset(socket));
        stage.start();
        write(down.address());
        stage.agent.reload(file, null);
        AgentFixture.await(() -> down.requests.size() >= 2);
        assertEquals("old", stage.call("lookup").text());
        write(up.address());
        stage.agent.reload(file, null);
        AgentFixture.await(() -> asked(up).stream().anyMatch(each -> each.contains("since=1&")));
        assertEquals("new", stage.call("lookup").text());
    }

    @Test
    void anUnusableFileChangesNothing() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "old"));
        stage.start();
        for (String text : List.of("", "{", "{}", "{\"discovery\":\"nowhere\"}")) {
            Files.writeString(file, text);
            stage.agent.reload(file, null);
        }
        stage.agent.reload(dir.resolve("missing"), null);
        int before = stage.discovery.requests.size();
        stage.news.add(AgentFixture.delta(1, AgentFixture.endpoint(2, "127.0.0.1:9", "Terminating")));
        AgentFixture.await(() -> stage.discovery.requests.size() > before);
        assertEquals("old", stage.call("lookup").text());
    }

    /** Guards against the signal's usual effect, which is the end of the JVM, also while it ends in order. */
    @Test
    void theProgramLivesThroughSighupsAndEndsOnSigterm() throws Exception {
        ScriptedPeer old = stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "old"));
        ScriptedPeer other = discoveryOf(old);
        write(stage.discovery.address());
        Process process = program("-Xmx48m");
        try {
            AgentFixture.await(() -> asked(stage.discovery).stream().anyMatch(each -> each.contains("since")));
            write(other.address());
            signal(process, "HUP");
            AgentFixture.await(() -> asked(other).stream().anyMatch(each -> each.contains("since=1&")));
            assertTrue(process.isAlive());
            signal(process, "TERM");
            for (int i = 0; i < 3; i++) {
                signal(process, "HUP");
            }
            assertTrue(process.waitFor(AgentFixture.GENEROUS_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    /** A padrón that says nothing must not keep a process that is asked to end, nor make its end a failure. */
    @Test
    void theProgramEndsInOrderWhileItsFirstListIsAwaited() throws Exception {
        ScriptedPeer silent = stage.peer((message, socket) -> {});
        write(silent.address());
        Process process = program("-Xmx48m");
        try {
            AgentFixture.await(() -> !silent.requests.isEmpty());
            signal(process, "TERM");
            assertTrue(process.waitFor(AgentFixture.GENEROUS_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    /** Discovery moves before its first answer has come. */
    @Test
    void theProgramTakesItsFirstListFromWhereDiscoveryHasMoved() throws Exception {
        ScriptedPeer silent = stage.peer((message, socket) -> {});
        ScriptedPeer other = discoveryOf(stage.peer((message, socket) -> ScriptedPeer.answer(socket, 200, "", "new")));
        write(silent.address());
        Process process = program("-Xmx48m");
        try {
            AgentFixture.await(() -> !silent.requests.isEmpty());
            write(other.address());
            signal(process, "HUP");
            AgentFixture.await(() -> asked(other).stream().anyMatch(each -> each.contains("since=1&")));
            assertTrue(process.isAlive());
        } finally {
            process.destroyForcibly();
        }
    }

    /** Discovery moves in the middle of a restart: whoever still comes is served by the new list. */
    @Test
    void anAgentToldToEndFollowsDiscoveryWhileItServesOn() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer old = stage.server((message, socket) -> {
            go.await();
            ScriptedPeer.answer(socket, 200, "", "old");
        });
        ScriptedPeer other = discoveryOf(stage.peer((message, socket) -> ScriptedPeer.answer(socket, 200, "", "new")));
        stage.start();
        Socket held = stage.dial();
        ScriptedPeer.write(held, stage.request("order", 8000, "body"));
        AgentFixture.await(() -> old.requests.size() == 1);
        Thread ending = ScriptedPeer.daemon(stage.agent::stop);
        write(other.address());
        stage.agent.reload(file, null);
        AgentFixture.await(() -> asked(other).stream().anyMatch(each -> each.contains("since=1&")));
        assertEquals("new", stage.call("lookup").text());
        go.countDown();
        assertEquals("old", ScriptedPeer.read(held.getInputStream()).text());
        ending.join(AgentFixture.GENEROUS_MS);
        assertFalse(ending.isAlive());
    }

    /**
     * Guards against a start that takes its time over what serves no request: making the library's mapper or
     * code for concatenations is a quarter of it on a part of a core, and nobody is served meanwhile.
     */
    @Test
    void theStartLoadsNothingThatTakesLongToSetUp() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", ""));
        write(stage.discovery.address());
        Process process = program("-Xlog:class+load");
        try {
            AgentFixture.await(() -> asked(stage.discovery).stream().anyMatch(each -> each.contains("since")));
            signal(process, "TERM");
            assertTrue(process.waitFor(AgentFixture.GENEROUS_MS, TimeUnit.MILLISECONDS));
            String loaded = Files.readString(dir.resolve("log"));
            assertTrue(loaded.contains(" gatefront.padron.Discovery$Answers "));
            assertFalse(loaded.contains(" com.fasterxml.jackson.databind.ObjectMapper "));
            try (InputStream code = gatefront.config.Config.class.getResourceAsStream("Config.class")) {
                String text = new String(code.readAllBytes(), StandardCharsets.ISO_8859_1);
                assertFalse(text.contains("makeConcatWithConstants"), "concatenations are made by the compiler");
            }
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against a reload that never comes and that nobody misses: under nohup SIGHUP is ignored. */
    @Test
    void theProgramSaysWhenSighupCannotReachIt() throws Exception {
        write(stage.discovery.address());
        Process process = program("-Xmx48m", "--ignore-signal=HUP");
        try {
            AgentFixture.await(() -> asked(stage.discovery).stream().anyMatch(each -> each.contains("since")));
            signal(process, "TERM");
            assertTrue(process.waitFor(AgentFixture.GENEROUS_MS, TimeUnit.MILLISECONDS));
            assertTrue(Files.readString(dir.resolve("log")).contains("reload: SIGHUP is ignored here"));
        } finally {
            process.destroyForcibly();
        }
    }

    /** With SIGHUP as a service has it, whatever ran the tests. */
    private Process program(String option) throws IOException {
        return program(option, "--default-signal=HUP");
    }

    private Process program(String option, String signals) throws IOException {
        ProcessBuilder program = new ProcessBuilder(
                        "env",
                        signals,
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        option,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gatefront.cli.Main",
                        "serve")
                .redirectErrorStream(true)
                .redirectOutput(dir.resolve("log").toFile());
        program.environment().put("RELAY_CONFIG", file.toString());
        return program.start();
    }

    private static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }
}
