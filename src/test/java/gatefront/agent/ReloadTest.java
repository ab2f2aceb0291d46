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

/** Reloading the configuration at run time, over loopback sockets. */
class ReloadTest {
    @TempDir
    private Path dir;

    private AgentFixture fixture;
    private Path file;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
        file = dir.resolve("config.json");
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    /** Writes the current configuration with another address of discovery. */
    private void writeConfig(String discovery) throws IOException {
        ObjectNode copy = fixture.config.deepCopy();
        Files.writeString(file, copy.put("discovery", discovery).toString());
    }

    /** Creates another discovery that lists only this server and then has no changes; it records the calls. */
    private ScriptedPeer discoveryOf(ScriptedPeer server) throws IOException {
        return fixture.peer((message, socket) -> {
            if (!message.target().contains("since")) {
                ScriptedPeer.respond(
                        socket,
                        200,
                        "",
                        "{\"index\":1,\"snapshot\":true,\"endpoints\":["
                                + AgentFixture.endpoint(9, server.address(), "Ready") + "]}");
            }
        });
    }

    private static List<String> discoveryCalls(ScriptedPeer discovery) {
        return discovery.requests.stream().map(ScriptedPeer.Message::target).toList();
    }

    @Test
    void fullListIsFetchedAtTheNewAddressWithoutDisturbingRequests() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedPeer oldServer = fixture.server((message, socket) -> {
            release.await();
            ScriptedPeer.respond(socket, 200, "", "old");
        });
        ScriptedPeer newServer = fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "new"));
        ScriptedPeer newDiscovery = discoveryOf(newServer);
        fixture.start();
        Socket pending = fixture.dial();
        ScriptedPeer.write(pending, fixture.request("order", 8000, "body"));
        AgentFixture.await(() -> oldServer.requests.size() == 1);
        writeConfig(newDiscovery.address());
        for (int i = 0; i < 5; i++) { // repeated reloads have the effect of one
            fixture.agent.reload(file, null);
        }
        AgentFixture.await(() -> discoveryCalls(newDiscovery).stream().anyMatch(target -> target.contains("since=1&")));
        assertEquals("/v1/servers", discoveryCalls(newDiscovery).get(0));
        assertEquals(
                1,
                discoveryCalls(newDiscovery).stream()
                        .filter(target -> target.equals("/v1/servers"))
                        .count());
        for (int i = 0; i < 5; i++) {
            assertEquals("new", fixture.call("order").text(), "the new list replaces the old one");
        }
        release.countDown();
        assertEquals("old", ScriptedPeer.read(pending.getInputStream()).text());
    }

    /** Guards against an agent without servers while the new discovery is not up yet. */
    @Test
    void oldListIsUsedUntilTheNewOneArrives() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
        ScriptedPeer newServer = fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "new"));
        ScriptedPeer newDiscovery = discoveryOf(newServer);
        ScriptedPeer unreachableDiscovery = fixture.peer((message, socket) -> ScriptedPeer.reset(socket));
        fixture.start();
        writeConfig(unreachableDiscovery.address());
        fixture.agent.reload(file, null);
        AgentFixture.await(() -> unreachableDiscovery.requests.size() >= 2);
        assertEquals("old", fixture.call("lookup").text());
        writeConfig(newDiscovery.address());
        fixture.agent.reload(file, null);
        AgentFixture.await(() -> discoveryCalls(newDiscovery).stream().anyMatch(target -> target.contains("since=1&")));
        assertEquals("new", fixture.call("lookup").text());
    }

    @Test
    void unusableFileChangesNothing() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
        fixture.start();
        for (String text : List.of("", "{", "{}", "{\"discovery\":\"nowhere\"}")) {
            Files.writeString(file, text);
            fixture.agent.reload(file, null);
        }
        fixture.agent.reload(dir.resolve("missing"), null);
        int before = fixture.discovery.requests.size();
        fixture.discoveryUpdates.add(AgentFixture.delta(1, AgentFixture.endpoint(2, "127.0.0.1:9", "Terminating")));
        AgentFixture.await(() -> fixture.discovery.requests.size() > before);
        assertEquals("old", fixture.call("lookup").text());
    }

    /**
     * Guards against the default action of the signal, which terminates the JVM, also during a graceful shutdown.
     */
    @Test
    void programSurvivesSighupAndEndsOnSigterm() throws Exception {
        ScriptedPeer oldServer = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "old"));
        ScriptedPeer newDiscovery = discoveryOf(oldServer);
        writeConfig(fixture.discovery.address());
        Process process = startProgram("-Xmx48m");
        try {
            AgentFixture.await(
                    () -> discoveryCalls(fixture.discovery).stream().anyMatch(target -> target.contains("since")));
            writeConfig(newDiscovery.address());
            signal(process, "HUP");
            AgentFixture.await(
                    () -> discoveryCalls(newDiscovery).stream().anyMatch(target -> target.contains("since=1&")));
            assertTrue(process.isAlive());
            signal(process, "TERM");
            for (int i = 0; i < 3; i++) {
                signal(process, "HUP");
            }
            assertTrue(process.waitFor(AgentFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    /** A padrón that does not answer must neither delay the shutdown of a process nor make it exit with an error. */
    @Test
    void programStopsCleanlyWhileItsFirstListIsAwaited() throws Exception {
        ScriptedPeer silentDiscovery = fixture.peer((message, socket) -> {});
        writeConfig(silentDiscovery.address());
        Process process = startProgram("-Xmx48m");
        try {
            AgentFixture.await(() -> !silentDiscovery.requests.isEmpty());
            signal(process, "TERM");
            assertTrue(process.waitFor(AgentFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    /** The address of discovery changes before its first response has arrived. */
    @Test
    void firstListIsFetchedFromTheReloadedDiscoveryAddress() throws Exception {
        ScriptedPeer silentDiscovery = fixture.peer((message, socket) -> {});
        ScriptedPeer newDiscovery =
                discoveryOf(fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "new")));
        writeConfig(silentDiscovery.address());
        Process process = startProgram("-Xmx48m");
        try {
            AgentFixture.await(() -> !silentDiscovery.requests.isEmpty());
            writeConfig(newDiscovery.address());
            signal(process, "HUP");
            AgentFixture.await(
                    () -> discoveryCalls(newDiscovery).stream().anyMatch(target -> target.contains("since=1&")));
            assertTrue(process.isAlive());
        } finally {
            process.destroyForcibly();
        }
    }

    /** The address of discovery changes during a shutdown: requests that still arrive are served by the new list. */
    @Test
    void stoppingAgentFollowsAReloadedDiscoveryAddress() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedPeer oldServer = fixture.server((message, socket) -> {
            release.await();
            ScriptedPeer.respond(socket, 200, "", "old");
        });
        ScriptedPeer newDiscovery =
                discoveryOf(fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "new")));
        fixture.start();
        Socket pending = fixture.dial();
        ScriptedPeer.write(pending, fixture.request("order", 8000, "body"));
        AgentFixture.await(() -> oldServer.requests.size() == 1);
        Thread stopping = ScriptedPeer.daemon(fixture.agent::stop);
        writeConfig(newDiscovery.address());
        fixture.agent.reload(file, null);
        AgentFixture.await(() -> discoveryCalls(newDiscovery).stream().anyMatch(target -> target.contains("since=1&")));
        assertEquals("new", fixture.call("lookup").text());
        release.countDown();
        assertEquals("old", ScriptedPeer.read(pending.getInputStream()).text());
        stopping.join(AgentFixture.TIMEOUT_MS);
        assertFalse(stopping.isAlive());
    }

    /**
     * Guards against slow start-up work that serves no request: creating Jackson's ObjectMapper or the code for string
     * concatenation takes a quarter of the start on a fraction of a core.
     */
    @Test
    void startLoadsNoSlowClasses() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", ""));
        writeConfig(fixture.discovery.address());
        Process process = startProgram("-Xlog:class+load");
        try {
            AgentFixture.await(
                    () -> discoveryCalls(fixture.discovery).stream().anyMatch(target -> target.contains("since")));
            signal(process, "TERM");
            assertTrue(process.waitFor(AgentFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            String loaded = Files.readString(dir.resolve("log"));
            assertTrue(loaded.contains(" gatefront.padron.Discovery$ResponseHandler "));
            assertFalse(loaded.contains(" com.fasterxml.jackson.databind.ObjectMapper "));
            try (InputStream code = gatefront.config.Config.class.getResourceAsStream("Config.class")) {
                String text = new String(code.readAllBytes(), StandardCharsets.ISO_8859_1);
                assertFalse(text.contains("makeConcatWithConstants"), "string concatenation must be compiled inline");
            }
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against reloads that silently never happen: under nohup, SIGHUP is ignored. */
    @Test
    void programReportsThatSighupIsIgnored() throws Exception {
        writeConfig(fixture.discovery.address());
        Process process = startProgram("-Xmx48m", "--ignore-signal=HUP");
        try {
            AgentFixture.await(
                    () -> discoveryCalls(fixture.discovery).stream().anyMatch(target -> target.contains("since")));
            signal(process, "TERM");
            assertTrue(process.waitFor(AgentFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertTrue(Files.readString(dir.resolve("log")).contains("reload: SIGHUP is ignored here"));
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Starts the program with the default action for SIGHUP, as a service has it, whatever the test runner has set.
     */
    private Process startProgram(String option) throws IOException {
        return startProgram(option, "--default-signal=HUP");
    }

    private Process startProgram(String option, String signals) throws IOException {
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
