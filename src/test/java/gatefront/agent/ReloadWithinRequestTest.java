package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.agent.ThriftTestService.Args;
import gatefront.agent.ThriftTestService.Processor;
import gatefront.agent.ThriftTestService.Result;
import gatefront.config.Config;
import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.ThriftEncoding;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Configurations that change while requests arrive or wait, over loopback sockets. */
@Timeout(60)
class ReloadWithinRequestTest {
    private static final int LARGEST_WHOLE_BODY = 60_000;
    private static final MessageFormat FORMAT = new MessageFormat(true, ThriftEncoding.BINARY);

    private AgentFixture fixture;
    private final CountDownLatch release = new CountDownLatch(1);

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
    }

    @AfterEach
    void tearDown() throws IOException {
        release.countDown();
        fixture.close();
    }

    private static void reload(Agent agent, ObjectNode config, Consumer<ObjectNode> change) throws Exception {
        ObjectNode changed = config.deepCopy();
        change.accept((ObjectNode) changed.get("settings"));
        agent.reload(() -> Config.fromJson(changed));
        agent.loop().submit(() -> {}).sync(); // the reload is a task of the loop
    }

    private static void setClass(ObjectNode settings, String name, String key, String value) {
        settings.get("classes").forEach(type -> {
            if (type.get("name").asText().equals(name)) {
                ((ObjectNode) type).put(key, value);
            }
        });
    }

    /** Fails all requests after they have run. */
    private void startWithFailingServers() throws IOException {
        for (int i = 0; i < 3; i++) {
            fixture.server((message, socket) -> {
                if (message.target().contains("held")) {
                    release.await();
                }
                ScriptedPeer.respond(socket, 500, "", "");
            });
        }
        fixture.start();
    }

    private long runs(String id) {
        return fixture.servers.stream()
                .flatMap(server -> server.requests.stream())
                .filter(message -> id.equals(message.header("Request-Id")))
                .count();
    }

    private static String id(String request) {
        return request.replaceAll("(?s).*Request-Id: (\\S+).*", "$1");
    }

    /** Guards against an unsafe request that runs twice because a reload makes its class safe while it arrives. */
    @ParameterizedTest
    @CsvSource({"100, 20", "100, 200", "40000, 300", "40000, 39000", "200000, 300", "200000, 150000"})
    void unsafeRequestPartlyReceivedAtTheReloadRunsOnce(int bodyBytes, int receivedBytes) throws Exception {
        startWithFailingServers();
        Socket client = fixture.dial();
        String request = fixture.request("order", 8_000, "x".repeat(bodyBytes));
        ScriptedPeer.write(client, request.substring(0, receivedBytes));
        AgentFixture.awaitInputRead(fixture.agent);
        reload(fixture.agent, fixture.config, settings -> setClass(settings, "order", "semantics", "safe"));
        ScriptedPeer.write(client, request.substring(receivedBytes));
        assertEquals(502, ScriptedPeer.read(client.getInputStream()).status());
        assertEquals(1, runs(id(request)));
    }

    /** Guards against the same for a request that waits behind another one on its connection. */
    @Test
    void unsafeRequestQueuedBehindAnotherAtTheReloadRunsOnce() throws Exception {
        startWithFailingServers();
        Socket client = fixture.dial();
        String queued = fixture.request("order", 8_000, "body");
        ScriptedPeer.write(client, fixture.request("order", 8_000, "").replace("?q=1", "?held") + queued);
        AgentFixture.await(() -> fixture.requestsReceived() == 1);
        reload(fixture.agent, fixture.config, settings -> setClass(settings, "order", "semantics", "safe"));
        release.countDown();
        assertEquals(502, ScriptedPeer.read(client.getInputStream()).status());
        assertEquals(502, ScriptedPeer.read(client.getInputStream()).status());
        assertEquals(1, runs(id(queued)));
    }

    /** Guards against a request that is repeated more often than the settings that it began under allow. */
    @Test
    void requestPartlyReceivedAtTheReloadKeepsItsNumberOfAttempts() throws Exception {
        fixture.settings("caps", caps -> caps.put("max-attempts", 1));
        startWithFailingServers();
        Socket client = fixture.dial();
        String request = fixture.request("lookup", 8_000, "");
        ScriptedPeer.write(client, request.substring(0, 30));
        AgentFixture.awaitInputRead(fixture.agent);
        reload(fixture.agent, fixture.config, settings -> ((ObjectNode) settings.get("caps")).put("max-attempts", 3));
        ScriptedPeer.write(client, request.substring(30));
        ScriptedPeer.read(client.getInputStream());
        assertEquals(1, runs(id(request)));
    }

    /** Guards against a request answered 400 because its class is dropped while it arrives. */
    @Test
    void requestPartlyReceivedAtTheReloadIsServedThoughItsClassIsDropped() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        fixture.start();
        Socket client = fixture.dial();
        String request = fixture.request("lookup", 8_000, "");
        ScriptedPeer.write(client, request.substring(0, 30));
        AgentFixture.awaitInputRead(fixture.agent);
        reload(fixture.agent, fixture.config, settings -> ((ArrayNode) settings.get("classes")).remove(0));
        ScriptedPeer.write(client, request.substring(30));
        assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
        assertEquals(400, fixture.call("lookup").status(), "a request that begins afterwards");
    }

    private static Result failed() {
        Result result = new Result();
        result.failed = "broken";
        return result;
    }

    private static byte[] orderCall(String id, int seqid, String key, String text) throws TException {
        return ThriftAgentFixture.message(FORMAT, "order", TMessageType.CALL, seqid, new Args(id, 8_000, key, text));
    }

    /** Returns a reader of all replies on a connection; it may read more of them ahead than it returns. */
    private static ThriftTestService.Client replyReader(Socket client) throws Exception {
        return new ThriftTestService.Client(
                ThriftAgentFixture.protocol(FORMAT.encoding(), new TFramedTransport(new TSocket(client))));
    }

    private static Result readReply(Socket client) throws Exception {
        return replyReader(client).receive("order");
    }

    /** Guards against an unsafe Thrift call that runs twice because a reload makes its class safe while it arrives. */
    @ParameterizedTest
    @CsvSource({"100, 4", "100, 10", "40000, 20000", "60000, 59990"}) // 4 is the length of the frame alone
    void unsafeThriftCallPartlyReceivedAtTheReloadRunsOnce(int textBytes, int receivedBytes) throws Exception {
        try (ThriftAgentFixture thrift = new ThriftAgentFixture(FORMAT)) {
            Processor first = thrift.server((method, args) -> failed());
            Processor second = thrift.server((method, args) -> failed());
            thrift.start();
            byte[] call = orderCall("half-sent", 0, null, "x".repeat(textBytes));
            Socket client = thrift.dial();
            client.getOutputStream().write(orderCall("before", 0, null, ""));
            assertNotNull(readReply(client).failed);
            client.getOutputStream().write(call, 0, receivedBytes);
            AgentFixture.awaitInputRead(thrift.agent);
            reload(thrift.agent, thrift.config, settings -> setClass(settings, "order", "semantics", "safe"));
            client.getOutputStream().write(call, receivedBytes, call.length - receivedBytes);
            assertNotNull(readReply(client).failed);
            assertEquals(2, first.calls.get() + second.calls.get());
        }
    }

    /** Guards against the same for a call that waits behind another one with its seqid. */
    @Test
    void unsafeThriftCallQueuedBehindAnotherAtTheReloadRunsOnce() throws Exception {
        try (ThriftAgentFixture thrift = new ThriftAgentFixture(FORMAT)) {
            CountDownLatch held = new CountDownLatch(1);
            ThriftTestService.Handler handler = (method, args) -> {
                try {
                    held.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                return failed();
            };
            Processor first = thrift.server(handler);
            Processor second = thrift.server(handler);
            thrift.start();
            Socket client = thrift.dial();
            client.getOutputStream().write(orderCall("first", 0, null, ""));
            client.getOutputStream().write(orderCall("queued", 0, null, ""));
            AgentFixture.await(() -> first.calls.get() + second.calls.get() == 1);
            reload(thrift.agent, thrift.config, settings -> setClass(settings, "order", "semantics", "safe"));
            held.countDown();
            ThriftTestService.Client replies = replyReader(client);
            assertNotNull(replies.receive("order").failed);
            assertNotNull(replies.receive("order").failed);
            assertEquals(2, first.calls.get() + second.calls.get());
        }
    }

    /** Guards against calls over Thrift that are judged by the settings of the start for good. */
    @Test
    void thriftCallsThatBeginAfterTheReloadAreJudgedByTheNewSettings() throws Exception {
        try (ThriftAgentFixture thrift = new ThriftAgentFixture(FORMAT)) {
            Result served = new Result();
            served.success = "served";
            thrift.server((method, args) -> served);
            thrift.start();
            Socket client = thrift.dial();
            reload(thrift.agent, thrift.config, settings -> {
                setClass(settings, "order", "semantics", "keyed");
                setClass(settings, "order", "key-scope", "all");
                settings.get("classes").forEach(type -> ((ObjectNode) type).put("window-us", 8_000_000));
            });
            client.getOutputStream().write(orderCall("keyed", 0, "k1", ""));
            assertEquals("served", readReply(client).success);
        }
    }

    /** Guards against calls over Thrift that are still served after their class was dropped. */
    @Test
    void thriftCallOfADroppedClassIsAnUnknownMethod() throws Exception {
        try (ThriftAgentFixture thrift = new ThriftAgentFixture(FORMAT)) {
            Processor server = thrift.server((method, args) -> failed());
            thrift.start();
            Socket client = thrift.dial();
            reload(thrift.agent, thrift.config, settings -> ((ArrayNode) settings.get("classes")).remove(2));
            client.getOutputStream().write(orderCall("dropped", 0, null, ""));
            TApplicationException answer = assertThrows(TApplicationException.class, () -> readReply(client));
            assertEquals(TApplicationException.UNKNOWN_METHOD, answer.getType());
            assertEquals(0, server.calls.get());
        }
    }

    /** Guards against a request that is judged by the settings under which the body of the one before it arrived. */
    @Test
    void requestBehindABodyThatArrivedBeforeTheReloadFollowsTheNewSettings() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        fixture.start();
        Socket client = fixture.dial();
        String request = fixture.request("order", 8_000, "x".repeat(100));
        ScriptedPeer.write(client, request.substring(0, request.length() - 50));
        AgentFixture.awaitInputRead(fixture.agent);
        reload(fixture.agent, fixture.config, settings -> setClass(settings, "order", "semantics", "safe"));
        ScriptedPeer.write(client, request.substring(request.length() - 50));
        assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
        String get = fixture.request("lookup", 8_000, "").replace("lookup", "order");
        assertEquals(200, AgentFixture.exchange(client, get).status());
    }

    /** Guards against a request on a kept connection that is judged by the settings of the one before it. */
    @Test
    void requestThatBeginsAfterTheReloadFollowsTheNewSettings() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        fixture.start();
        Socket client = fixture.dial();
        assertEquals(
                200,
                AgentFixture.exchange(client, fixture.request("order", 8_000, "b"))
                        .status());
        reload(fixture.agent, fixture.config, settings -> setClass(settings, "order", "semantics", "safe"));
        String get = fixture.request("lookup", 8_000, "").replace("lookup", "order");
        client.getOutputStream().write(get.getBytes(StandardCharsets.US_ASCII));
        assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
    }
}
