package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.config.Config;
import gatefront.registry.RegistrySettings;
import gatefront.rehearsal.registry.ConsulStandIn;
import gatefront.rehearsal.registry.EtcdStandIn;
import gatefront.rehearsal.registry.RegistryStandIn;
import gatefront.rehearsal.world.KeyValueStore;
import gatefront.toml.TomlException;
import gatefront.transport.SocketTransport;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** An agent that takes its server list from a registry, over loopback sockets. */
class RegistrySourceTest {
    @TempDir
    private Path folder;

    private AgentFixture fixture;
    private SocketTransport transport;
    private final KeyValueStore keys = new KeyValueStore(1);
    private RegistryStandIn registry;

    @BeforeEach
    void setUp() throws Exception {
        fixture = new AgentFixture();
        transport = new SocketTransport();
    }

    @AfterEach
    void tearDown() throws Exception {
        fixture.close();
        transport.close(() -> {});
    }

    private void serve(RegistrySettings.Kind kind) throws Exception {
        registry = kind == RegistrySettings.Kind.ETCD
                ? new EtcdStandIn(transport, () -> keys)
                : new ConsulStandIn(transport, () -> keys);
        registry.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync();
    }

    private Extensions extensions(RegistrySettings.Kind kind, String settings) throws TomlException {
        return Extensions.parse(
                "x.toml",
                """
            [registry]
            kind = "%s"
            endpoints = ["127.0.0.1:%d"]
            prefix = "oaxaca/"
            %s
            """
                        .formatted(kind.name().toLowerCase(), registry.address().getPort(), settings),
                Config.fromJson(fixture.config));
    }

    private void put(String key, ObjectNode value) throws Exception {
        transport
                .loop()
                .submit(() -> {
                    if (value == null) {
                        keys.delete("oaxaca/" + key);
                    } else {
                        keys.put("oaxaca/" + key, value.toString());
                    }
                    registry.storeChanged();
                })
                .sync();
    }

    private ObjectNode nodo(int number, ScriptedPeer peer) {
        return AgentFixture.endpoint(number, peer.address(), "Ready");
    }

    private ScriptedPeer peer() throws Exception {
        return fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
    }

    /** Waits until all requests go to one server only. */
    private void awaitOnlyServer(ScriptedPeer expected, ScriptedPeer other) throws Exception {
        AgentFixture.await(() -> {
            try {
                int before = other.requests.size();
                int sent = expected.requests.size();
                for (int i = 0; i < 40; i++) { // if both were eligible, 40 of 40 to one has a chance of 2^-40
                    assertEquals(200, fixture.call("lookup").status());
                }
                return other.requests.size() == before && expected.requests.size() == sent + 40;
            } catch (java.io.IOException e) {
                return false;
            }
        });
    }

    /**
     * A limit applies at once and can be raised again; one that cannot be read leaves the last valid one in force.
     */
    @ParameterizedTest
    @EnumSource(RegistrySettings.Kind.class)
    void classOverItsLimitIsRefusedAndOthersAreServed(RegistrySettings.Kind kind) throws Exception {
        serve(kind);
        put("nodos/s-1", nodo(1, peer()));
        fixture.start(extensions(kind, "padron = \"instead\""));
        assertEquals(200, fixture.call("lookup").status());
        put("policies/clases/lookup", fixture.config.objectNode().put("v", 1).put("in_progress", 0));
        AgentFixture.await(() -> status("lookup") == 503);
        assertEquals(200, status("order"));
        put("policies/clases/lookup", fixture.config.objectNode().put("v", 1).put("in_progress", "many"));
        put("policies/clases/order", fixture.config.objectNode().put("v", 1).put("in_progress", 0));
        AgentFixture.await(() -> status("order") == 503); // so the earlier change has been processed
        assertEquals(503, status("lookup"));
        put("policies/clases/lookup", fixture.config.objectNode().put("v", 1).put("in_progress", 1));
        AgentFixture.await(() -> status("lookup") == 200);
        for (int i = 0; i < 5; i++) {
            assertEquals(200, status("lookup"), "the previous request has ended");
        }
    }

    private int status(String kind) {
        try {
            return fixture.call(kind).status();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    @ParameterizedTest
    @EnumSource(RegistrySettings.Kind.class)
    void listedServersAreUsedAndDrainingOnesAreNot(RegistrySettings.Kind kind) throws Exception {
        serve(kind);
        ScriptedPeer first = peer();
        ScriptedPeer second = peer();
        put("nodos/s-1", nodo(1, first));
        put("nodos/s-2", nodo(2, second));
        fixture.start(extensions(kind, "padron = \"instead\""));
        for (int i = 0; i < 20; i++) {
            assertEquals(200, fixture.call("lookup").status());
        }
        assertTrue(first.requests.size() > 0 && second.requests.size() > 0);
        put("policies/nodos/s-1", fixture.config.objectNode().put("drain", true));
        awaitOnlyServer(second, first);
        put("policies/nodos/s-1", null);
        put("nodos/s-2", null);
        awaitOnlyServer(first, second);
        // An entry of an unknown version is ignored even if it can be parsed: the last valid one stays.
        put("nodos/s-1", nodo(1, first).put("v", 2).put("status", "Terminating"));
        put("policies/clases/order", fixture.config.objectNode().put("v", 1).put("in_progress", 0));
        AgentFixture.await(() -> status("order") == 503); // so the earlier change has been processed
        assertEquals(200, fixture.call("lookup").status());
        assertEquals(0, fixture.discovery.requests.size(), "the padrón is not asked");
    }

    @Test
    void worseStateOfPadronAndRegistryApplies() throws Exception {
        serve(RegistrySettings.Kind.ETCD);
        ScriptedPeer first = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        ScriptedPeer second = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        put("nodos/s-1", nodo(1, first));
        fixture.start(extensions(RegistrySettings.Kind.ETCD, ""));
        for (int i = 0; i < 20; i++) {
            assertEquals(200, fixture.call("lookup").status());
        }
        assertTrue(first.requests.size() > 0 && second.requests.size() > 0);
        put("nodos/s-1", null); // still listed by the padrón
        awaitOnlyServer(second, first);
    }

    @Test
    void stateFileIsUsedWhileTheRegistryIsDownAtStart() throws Exception {
        serve(RegistrySettings.Kind.ETCD);
        ScriptedPeer first = peer();
        put("nodos/s-1", nodo(1, first));
        Path state = folder.resolve("state");
        String settings = "padron = \"instead\"\nstate_file = \"" + state + "\"";
        fixture.start(extensions(RegistrySettings.Kind.ETCD, settings));
        assertEquals(200, fixture.call("lookup").status());
        AgentFixture.await(() -> Files.exists(state));
        fixture.agent.stop();
        int port = registry.address().getPort();
        transport.loop().submit(() -> registry.setDown(true, null)).sync();
        fixture.start(extensions(RegistrySettings.Kind.ETCD, settings));
        assertEquals(200, fixture.call("lookup").status());
        ScriptedPeer second = peer();
        put("nodos/s-2", nodo(2, second));
        put("nodos/s-1", null);
        transport
                .loop()
                .submit(() -> registry.setDown(false, new InetSocketAddress(InetAddress.getLoopbackAddress(), port)))
                .sync();
        awaitOnlyServer(second, first);
    }
}
