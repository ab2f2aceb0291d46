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

/** An agent whose servers a registry lists, over loopback sockets. */
class RegistrySourceTest {
    @TempDir
    private Path folder;

    private AgentFixture stage;
    private SocketTransport sockets;
    private final KeyValueStore keys = new KeyValueStore(1);
    private RegistryStandIn registry;

    @BeforeEach
    void set() throws Exception {
        stage = new AgentFixture();
        sockets = new SocketTransport();
    }

    @AfterEach
    void end() throws Exception {
        stage.close();
        sockets.close(() -> {});
    }

    private void serve(RegistrySettings.Kind kind) throws Exception {
        registry = kind == RegistrySettings.Kind.ETCD
                ? new EtcdStandIn(sockets, () -> keys)
                : new ConsulStandIn(sockets, () -> keys);
        registry.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync();
    }

    private Extensions extensions(RegistrySettings.Kind kind, String rest) throws TomlException {
        return Extensions.parse(
                "x.toml",
                """
            [registry]
            kind = "%s"
            endpoints = ["127.0.0.1:%d"]
            prefix = "oaxaca/"
            %s
            """
                        .formatted(kind.name().toLowerCase(), registry.address().getPort(), rest),
                Config.of(stage.config));
    }

    private void put(String key, ObjectNode value) throws Exception {
        sockets.loop()
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
        return stage.peer((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
    }

    /** Requests go to one server alone, from soon after on. */
    private void only(ScriptedPeer one, ScriptedPeer other) throws Exception {
        AgentFixture.await(() -> {
            try {
                int before = other.requests.size();
                int sent = one.requests.size();
                for (int i = 0; i < 40; i++) { // of two that may be drawn, both are, but for a chance in 2^40
                    assertEquals(200, stage.call("lookup").status());
                }
                return other.requests.size() == before && one.requests.size() == sent + 40;
            } catch (java.io.IOException e) {
                return false;
            }
        });
    }

    /** A limit holds at once, is lifted with its key, and one that cannot be read leaves the last good one. */
    @ParameterizedTest
    @EnumSource(RegistrySettings.Kind.class)
    void aClassOverItsLimitIsRefusedAndTheOthersAreServed(RegistrySettings.Kind kind) throws Exception {
        serve(kind);
        put("nodos/s-1", nodo(1, peer()));
        stage.start(extensions(kind, "padron = \"instead\""));
        assertEquals(200, stage.call("lookup").status());
        put("policies/clases/lookup", stage.config.objectNode().put("v", 1).put("in_progress", 0));
        AgentFixture.await(() -> status("lookup") == 503);
        assertEquals(200, status("order"));
        put("policies/clases/lookup", stage.config.objectNode().put("v", 1).put("in_progress", "many"));
        put("policies/clases/order", stage.config.objectNode().put("v", 1).put("in_progress", 0));
        AgentFixture.await(() -> status("order") == 503); // so what came before it has been looked at
        assertEquals(503, status("lookup"));
        put("policies/clases/lookup", stage.config.objectNode().put("v", 1).put("in_progress", 1));
        AgentFixture.await(() -> status("lookup") == 200);
        for (int i = 0; i < 5; i++) {
            assertEquals(200, status("lookup"), "the one before has ended");
        }
    }

    private int status(String kind) {
        try {
            return stage.call(kind).status();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    @ParameterizedTest
    @EnumSource(RegistrySettings.Kind.class)
    void whatTheRegistryListsIsUsedAndWhatItDrainsIsNot(RegistrySettings.Kind kind) throws Exception {
        serve(kind);
        ScriptedPeer first = peer();
        ScriptedPeer second = peer();
        put("nodos/s-1", nodo(1, first));
        put("nodos/s-2", nodo(2, second));
        stage.start(extensions(kind, "padron = \"instead\""));
        for (int i = 0; i < 20; i++) {
            assertEquals(200, stage.call("lookup").status());
        }
        assertTrue(first.requests.size() > 0 && second.requests.size() > 0);
        put("policies/nodos/s-1", stage.config.objectNode().put("drain", true));
        only(second, first);
        put("policies/nodos/s-1", null);
        put("nodos/s-2", null);
        only(first, second);
        // Of a version that is not understood, however well it reads: the last good one stays.
        put("nodos/s-1", nodo(1, first).put("v", 2).put("status", "Terminating"));
        put("policies/clases/order", stage.config.objectNode().put("v", 1).put("in_progress", 0));
        AgentFixture.await(() -> status("order") == 503); // so what came before it has been looked at
        assertEquals(200, stage.call("lookup").status());
        assertEquals(0, stage.discovery.requests.size(), "the padrón is not asked");
    }

    @Test
    void besideThePadronTheWorseOfBothHolds() throws Exception {
        serve(RegistrySettings.Kind.ETCD);
        ScriptedPeer first = stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        ScriptedPeer second = stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        put("nodos/s-1", nodo(1, first));
        stage.start(extensions(RegistrySettings.Kind.ETCD, ""));
        for (int i = 0; i < 20; i++) {
            assertEquals(200, stage.call("lookup").status());
        }
        assertTrue(first.requests.size() > 0 && second.requests.size() > 0);
        put("nodos/s-1", null); // the padrón lists it still
        only(second, first);
    }

    @Test
    void aRegistryThatIsDownAtTheStartLeavesWhatIsOnTheDisk() throws Exception {
        serve(RegistrySettings.Kind.ETCD);
        ScriptedPeer first = peer();
        put("nodos/s-1", nodo(1, first));
        Path state = folder.resolve("state");
        String rest = "padron = \"instead\"\nstate_file = \"" + state + "\"";
        stage.start(extensions(RegistrySettings.Kind.ETCD, rest));
        assertEquals(200, stage.call("lookup").status());
        AgentFixture.await(() -> Files.exists(state));
        stage.agent.stop();
        int port = registry.address().getPort();
        sockets.loop().submit(() -> registry.setDown(true, null)).sync();
        stage.start(extensions(RegistrySettings.Kind.ETCD, rest));
        assertEquals(200, stage.call("lookup").status());
        ScriptedPeer second = peer();
        put("nodos/s-2", nodo(2, second));
        put("nodos/s-1", null);
        sockets.loop()
                .submit(() -> registry.setDown(false, new InetSocketAddress(InetAddress.getLoopbackAddress(), port)))
                .sync();
        only(second, first);
    }
}
