package gatefront.agent;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.config.Config;
import gatefront.engine.Engine;
import gatefront.policy.AdaptiveBalancer;
import gatefront.policy.Balancer;
import java.io.Closeable;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/** An agent on a loopback port with scripted discovery and scripted servers. */
final class AgentFixture implements Closeable {
    static final long TIMEOUT_MS = 20_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    final ObjectNode config;
    final List<ScriptedPeer> servers = new ArrayList<>();
    /** Further peers that are closed with the fixture. */
    final List<ScriptedPeer> peers = new ArrayList<>();
    /** Responses of discovery to the calls after the first, one each; a call waits while there is none. */
    final BlockingQueue<ScriptedPeer.Script> discoveryUpdates = new LinkedBlockingQueue<>();

    final ScriptedPeer discovery;
    Agent agent;
    private final List<Socket> clients = new ArrayList<>();
    private int requests;

    AgentFixture() throws IOException {
        config = (ObjectNode) JSON.readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
        discovery = new ScriptedPeer((message, socket) -> {
            if (message.target().contains("since")) {
                discoveryUpdates.take().handle(message, socket);
            } else {
                ScriptedPeer.respond(socket, 200, "", config.get("known").toString());
            }
        });
        config.put("discovery", discovery.address());
    }

    /** Adds a server to the known list, which is also the first response of discovery. */
    ScriptedPeer server(ScriptedPeer.Script script) throws IOException {
        ScriptedPeer peer = new ScriptedPeer(script);
        servers.add(peer);
        ((ArrayNode) config.get("known").get("endpoints")).add(endpoint(servers.size(), peer.address(), "Ready"));
        return peer;
    }

    /** Adds a server that is not the fixture's to the known list. */
    void list(String address) {
        ArrayNode endpoints = (ArrayNode) config.get("known").get("endpoints");
        endpoints.add(endpoint(endpoints.size() + 1, address, "Ready"));
    }

    /** Creates a server that is not listed. */
    ScriptedPeer peer(ScriptedPeer.Script script) throws IOException {
        ScriptedPeer peer = new ScriptedPeer(script);
        peers.add(peer);
        return peer;
    }

    static ObjectNode endpoint(int number, String address, String status) {
        return JSON.createObjectNode()
                .put("name", "s-" + number)
                .put("address", address)
                .put("zone", "a")
                .put("type", "small")
                .put("group", 0)
                .put("status", status)
                .put("weight", 1.0)
                .put("since_ms", 0);
    }

    /** Returns a response of discovery with changes. */
    static ScriptedPeer.Script delta(int index, ObjectNode... entries) {
        ObjectNode list = JSON.createObjectNode().put("index", index).put("snapshot", false);
        list.putArray("endpoints").addAll(List.of(entries));
        return (message, socket) -> ScriptedPeer.respond(socket, 200, "", list.toString());
    }

    AgentFixture settings(String group, Consumer<ObjectNode> change) {
        change.accept((ObjectNode) config.get("settings").get(group));
        return this;
    }

    AgentFixture start() throws IOException {
        agent = Agent.start(Config.fromJson(config));
        awaitReady();
        return this;
    }

    AgentFixture start(Extensions extensions) throws IOException {
        agent = Agent.start(Config.fromJson(config), extensions);
        awaitReady();
        return this;
    }

    AgentFixture start(Function<Engine, Balancer> module) throws IOException {
        agent = Agent.start(Config.fromJson(config), module);
        awaitReady();
        return this;
    }

    /**
     * Returns a factory of the standard balancer behind a proxy that first passes each event to a callback, which may
     * throw.
     */
    Function<Engine, Balancer> interceptedBalancer(BiConsumer<String, Object[]> interceptor) {
        return agent -> {
            Balancer balancer = new AdaptiveBalancer(Config.fromJson(config).settings(), 1, 0, agent);
            return (Balancer) Proxy.newProxyInstance(
                    Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, details) -> {
                        interceptor.accept(method.getName(), details);
                        return method.invoke(balancer, details);
                    });
        };
    }

    private void awaitReady() {
        await(() -> {
            try (Socket socket = dial()) {
                ScriptedPeer.write(socket, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
                return ScriptedPeer.read(socket.getInputStream()).status() == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    /** Opens a client connection to the agent. */
    Socket dial() throws IOException {
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), agent.address().getPort());
        socket.setSoTimeout((int) TIMEOUT_MS);
        clients.add(socket);
        return socket;
    }

    /** Returns a request as a client sends it. The classes are lookup (safe), pay (keyed) and order (unsafe). */
    String request(String requestClass, long timeoutMs, String body) {
        String method = requestClass.equals("lookup") ? "GET" : "POST";
        return method + " /" + requestClass + "?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: id" + ++requests
                + "\r\nRequest-Class: " + requestClass + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\n"
                + (requestClass.equals("pay") ? "Idempotency-Key: k" + requests + "\r\n" : "")
                + (method.equals("POST") ? "Content-Length: " + body.length() + "\r\n" : "") + "\r\n" + body;
    }

    /** Sends a request on a new connection and returns its response. */
    ScriptedPeer.Message call(String requestClass) throws IOException {
        return exchange(dial(), request(requestClass, 8000, "body"));
    }

    static ScriptedPeer.Message exchange(Socket socket, String request) throws IOException {
        ScriptedPeer.write(socket, request);
        return ScriptedPeer.read(socket.getInputStream());
    }

    /** Returns the number of requests that have reached the servers. */
    int requestsReceived() {
        return servers.stream().mapToInt(server -> server.requests.size()).sum();
    }

    /**
     * Returns once an agent has read what was sent to it before: the poll that finds this call's request finds that,
     * too, and tasks run after what was polled has been read.
     */
    static void awaitInputRead(Agent agent) throws Exception {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), agent.address().getPort())) {
            exchange(socket, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        agent.loop().submit(() -> {}).sync();
    }

    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met within " + TIMEOUT_MS + " ms");
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** Closes the client connections. */
    void closeClients() throws IOException {
        for (Socket socket : clients) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        closeClients();
        if (agent != null) {
            ScriptedPeer.daemon(agent::stop); // runs in the background, so that the next test need not wait for it
        }
        discovery.close();
        for (ScriptedPeer server : servers) {
            server.close();
        }
        for (ScriptedPeer peer : peers) {
            peer.close();
        }
    }
}
