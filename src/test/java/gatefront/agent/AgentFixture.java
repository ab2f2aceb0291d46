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

/** An agent on a loopback port with a scripted discovery and scripted servers. */
final class AgentFixture implements Closeable {
    static final long GENEROUS_MS = 20_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    final ObjectNode config;
    final List<ScriptedPeer> servers = new ArrayList<>();
    /** Others that close with the stage. */
    final List<ScriptedPeer> peers = new ArrayList<>();
    /** What discovery answers to the calls after the first, one each; it waits while there is none. */
    final BlockingQueue<ScriptedPeer.Script> news = new LinkedBlockingQueue<>();

    final ScriptedPeer discovery;
    Agent agent;
    private final List<Socket> clients = new ArrayList<>();
    private int requests;

    AgentFixture() throws IOException {
        config = (ObjectNode) JSON.readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
        discovery = new ScriptedPeer((message, socket) -> {
            if (message.target().contains("since")) {
                news.take().handle(message, socket);
            } else {
                ScriptedPeer.answer(socket, 200, "", config.get("known").toString());
            }
        });
        config.put("discovery", discovery.address());
    }

    /** Adds a server to the known list, which is also discovery's first answer. */
    ScriptedPeer server(ScriptedPeer.Script script) throws IOException {
        ScriptedPeer peer = new ScriptedPeer(script);
        servers.add(peer);
        ((ArrayNode) config.get("known").get("endpoints")).add(endpoint(servers.size(), peer.address(), "Ready"));
        return peer;
    }

    /** A server that is not listed. */
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

    /** Discovery's answer with changes. */
    static ScriptedPeer.Script delta(int index, ObjectNode... entries) {
        ObjectNode list = JSON.createObjectNode().put("index", index).put("snapshot", false);
        list.putArray("endpoints").addAll(List.of(entries));
        return (message, socket) -> ScriptedPeer.answer(socket, 200, "", list.toString());
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

    /** The usual module behind one that is told of each event before it, and may fail. */
    Function<Engine, Balancer> overheard(BiConsumer<String, Object[]> before) {
        return agent -> {
            Balancer rules = new AdaptiveBalancer(Config.fromJson(config).settings(), 1, 0, agent);
            return (Balancer) Proxy.newProxyInstance(
                    Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, details) -> {
                        before.accept(method.getName(), details);
                        return method.invoke(rules, details);
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

    /** A connection of the application's. */
    Socket dial() throws IOException {
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), agent.address().getPort());
        socket.setSoTimeout((int) GENEROUS_MS);
        clients.add(socket);
        return socket;
    }

    /** A request as a client sends it; the classes are safe, keyed and unsafe: lookup, pay, order. */
    String request(String type, long timeoutMs, String body) {
        String method = type.equals("lookup") ? "GET" : "POST";
        return method + " /" + type + "?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: id" + ++requests
                + "\r\nRequest-Class: " + type + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\n"
                + (type.equals("pay") ? "Idempotency-Key: k" + requests + "\r\n" : "")
                + (method.equals("POST") ? "Content-Length: " + body.length() + "\r\n" : "") + "\r\n" + body;
    }

    /** Sends a request on a new connection and returns its answer. */
    ScriptedPeer.Message call(String type) throws IOException {
        return exchange(dial(), request(type, 8000, "body"));
    }

    static ScriptedPeer.Message exchange(Socket socket, String request) throws IOException {
        ScriptedPeer.write(socket, request);
        return ScriptedPeer.read(socket.getInputStream());
    }

    /** How many requests have reached the servers. */
    int arrived() {
        return servers.stream().mapToInt(each -> each.requests.size()).sum();
    }

    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GENEROUS_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("did not come about");
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** Closes the application's connections. */
    void hangUp() throws IOException {
        for (Socket socket : clients) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        hangUp();
        if (agent != null) {
            ScriptedPeer.daemon(agent::stop); // it lingers; the next test need not wait for that
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
