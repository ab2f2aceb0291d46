package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.agent.ThriftTestService.Args;
import gatefront.agent.ThriftTestService.Processor;
import gatefront.agent.ThriftTestService.Result;
import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.ThriftEncoding;
import gatefront.transport.HeldLoop;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against forwarding a request whose client has closed its connection: where the close has arrived before an
 * attempt begins, no server gets the request.
 */
class DepartedClientsTest {
    /** Longer than the time after a client's close within which an attempt may still begin. */
    private static final long HOLD_MS = 300;
    /** Requests on one connection, more than the agent reads ahead of the first response. */
    private static final int MANY_PIPELINED = 8;

    private static final int ROUNDS = 20;
    private static final int MAX_THRIFT_CALLS_IN_PROGRESS = 32;
    /** How long a client goes on writing before it leaves. */
    private static final long WRITE_MS = 100;

    private AgentFixture fixture;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private static void respond(ScriptedPeer.Message message, Socket socket) throws IOException {
        ScriptedPeer.respond(socket, 200, "", "served");
    }

    private static void pass(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    private void sendAndLeave(Socket client, String requests) throws IOException {
        ScriptedPeer.write(client, requests);
        client.close();
    }

    private HeldLoop hold() throws InterruptedException {
        return HeldLoop.hold(fixture.agent.loop(), () -> {});
    }

    /** Waits until the loop has handled what has arrived so far, in a few turns. */
    private void settle() throws Exception {
        for (int turn = 0; turn < 5; turn++) {
            pass(20);
            fixture.agent.loop().submit(() -> {}).get();
        }
    }

    private void holdForAWhileAndRelease(HeldLoop held) throws Exception {
        pass(HOLD_MS);
        held.release();
        settle();
    }

    private int forwarded(String requestClass) {
        return (int) fixture.servers.stream()
                .flatMap(server -> server.requests.stream())
                .filter(message -> message.target().startsWith("/" + requestClass))
                .count();
    }

    @Test
    void requestOnAKeptConnectionIsNotForwardedAfterAHold() throws Exception {
        fixture.server(DepartedClientsTest::respond);
        fixture.start();
        Socket client = fixture.dial();
        AgentFixture.exchange(client, fixture.request("lookup", 2_000, ""));
        HeldLoop held = hold();
        sendAndLeave(client, fixture.request("pay", 2_000, "body"));
        holdForAWhileAndRelease(held);
        assertEquals(0, forwarded("pay"));
    }

    @Test
    void requestInTheAcceptQueueIsNotForwardedAfterAHold() throws Exception {
        fixture.server(DepartedClientsTest::respond);
        fixture.start();
        HeldLoop held = hold();
        sendAndLeave(fixture.dial(), fixture.request("pay", 2_000, "body"));
        holdForAWhileAndRelease(held);
        assertEquals(0, forwarded("pay"));
    }

    /** The server's failure and the client's close arrive during the same hold, the failure first. */
    @Test
    void requestIsNotRetriedAfterAHold() throws Exception {
        CountDownLatch fail = new CountDownLatch(1);
        for (int server = 0; server < 2; server++) {
            fixture.server((message, socket) -> {
                if (message.target().startsWith("/lookup")) {
                    fail.await();
                    ScriptedPeer.respond(socket, 503, "Not-Started: 1\r\n", "");
                }
            });
        }
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, fixture.request("lookup", 8_000, ""));
        AgentFixture.await(() -> forwarded("lookup") == 1);
        HeldLoop held = hold();
        fail.countDown();
        pass(50);
        client.close();
        holdForAWhileAndRelease(held);
        assertEquals(1, forwarded("lookup"));
    }

    /** The response to the first request and the client's close arrive during the same hold, the response first. */
    @Test
    void pipelinedRequestIsNotForwardedAfterAHold() throws Exception {
        CountDownLatch serve = new CountDownLatch(1);
        fixture.server((message, socket) -> {
            serve.await();
            respond(message, socket);
        });
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, fixture.request("lookup", 8_000, "") + fixture.request("pay", 8_000, "body"));
        AgentFixture.await(() -> forwarded("lookup") == 1);
        HeldLoop held = hold();
        serve.countDown();
        pass(50);
        client.close();
        holdForAWhileAndRelease(held);
        assertEquals(0, forwarded("pay"));
    }

    /** The agent has stopped reading from the connection, behind as many requests as it reads ahead. */
    @Test
    void requestsOfAConnectionThatIsNotReadAreNotForwarded() throws Exception {
        CountDownLatch serve = new CountDownLatch(1);
        fixture.server((message, socket) -> {
            serve.await();
            respond(message, socket);
        });
        fixture.start();
        Socket client = fixture.dial();
        StringBuilder requests = new StringBuilder(fixture.request("lookup", 8_000, ""));
        for (int i = 1; i < MANY_PIPELINED; i++) {
            requests.append(fixture.request("pay", 8_000, "body"));
        }
        ScriptedPeer.write(client, requests.toString());
        AgentFixture.await(() -> forwarded("lookup") == 1);
        client.close();
        pass(HOLD_MS);
        serve.countDown();
        settle();
        assertEquals(0, forwarded("pay"));
    }

    /** Writes as much as the sockets take, in the background, and then closes the connection. */
    private void writeAndLeave(Socket client, String requests, boolean reset) throws Exception {
        Thread writer = ScriptedPeer.daemon(() -> ScriptedPeer.write(client, requests));
        writer.join(WRITE_MS);
        if (reset) {
            ScriptedPeer.reset(client);
        } else {
            client.close();
        }
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private String manyRequests(String requestClass, int count, int bodyBytes) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < count; i++) {
            requests.append(fixture.request(requestClass, 8_000, "x".repeat(bodyBytes)));
        }
        return requests.toString();
    }

    /** The client's close lies behind more input than the agent reads ahead. */
    @ParameterizedTest
    @CsvSource({
        "8, 60000, false",
        "12, 60000, false",
        "40, 60000, true",
        "100, 3500, false",
        "300, 900, false",
        "1500, 0, false",
        "6, 200000, false",
        "3, 1500000, false",
    })
    void requestsBehindMuchUnreadInputAreNotForwarded(int count, int bodyBytes, boolean reset) throws Exception {
        CountDownLatch serve = new CountDownLatch(1);
        fixture.server((message, socket) -> {
            serve.await();
            respond(message, socket);
        });
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, fixture.request("lookup", 8_000, ""));
        AgentFixture.await(() -> forwarded("lookup") == 1);
        writeAndLeave(client, manyRequests("order", count, bodyBytes), reset);
        pass(HOLD_MS);
        serve.countDown();
        settle();
        settle();
        assertEquals(0, forwarded("order"));
    }

    /** The request's first attempt is turned away after the client has left behind much that the agent has not read. */
    @ParameterizedTest
    @CsvSource({"12, 60000", "100, 3500", "1500, 0", "6, 200000"})
    void requestBeforeMuchUnreadInputIsNotRetried(int count, int bodyBytes) throws Exception {
        CountDownLatch fail = new CountDownLatch(1);
        for (int server = 0; server < 2; server++) {
            fixture.server((message, socket) -> {
                fail.await();
                ScriptedPeer.respond(socket, 503, "Not-Started: 1\r\n", "");
            });
        }
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, fixture.request("order", 8_000, "first"));
        AgentFixture.await(() -> forwarded("order") == 1);
        writeAndLeave(client, manyRequests("order", count, bodyBytes), false);
        pass(HOLD_MS);
        fail.countDown();
        settle();
        settle();
        assertEquals(1, forwarded("order"));
    }

    /** Clients that stay get a response to each request, however much they send ahead of the responses. */
    @ParameterizedTest
    @CsvSource({"50, 900", "25, 4000", "30, 60000"})
    void clientsThatSendMuchAheadAndStayAreAnswered(int count, int bodyBytes) throws Exception {
        fixture.server(DepartedClientsTest::respond);
        fixture.start();
        Socket client = fixture.dial();
        String requests = manyRequests("pay", count, bodyBytes);
        ScriptedPeer.daemon(() -> ScriptedPeer.write(client, requests));
        int served = 0;
        for (int i = 0; i < count; i++) {
            int status = ScriptedPeer.read(client.getInputStream()).status();
            assertTrue(status == 200 || status == 503, "status " + status);
            served += status == 200 ? 1 : 0;
        }
        assertTrue(served > 0, "none of " + count + " was served");
    }

    /** The agent has stopped reading from the connection, because what follows the request is invalid. */
    @Test
    void requestBeforeInvalidInputIsNotRetried() throws Exception {
        CountDownLatch fail = new CountDownLatch(1);
        for (int server = 0; server < 2; server++) {
            fixture.server((message, socket) -> {
                fail.await();
                ScriptedPeer.respond(socket, 503, "Not-Started: 1\r\n", "");
            });
        }
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, fixture.request("lookup", 8_000, "") + "this is no request\r\n\r\n");
        AgentFixture.await(() -> forwarded("lookup") == 1);
        client.close();
        pass(HOLD_MS);
        fail.countDown();
        settle();
        assertEquals(1, forwarded("lookup"));
    }

    /** Requests that arrive while earlier ones are being processed are read ahead; their responses keep their order. */
    @Test
    void responsesKeepTheOrderOfRequestsThatAreReadAhead() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", message.header("Request-Id")));
        fixture.start();
        Socket client = fixture.dial();
        for (int round = 0; round < ROUNDS; round++) {
            StringBuilder requests = new StringBuilder();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < 2 * MANY_PIPELINED; i++) {
                boolean safe = i % 3 == 0;
                String request = fixture.request(safe ? "lookup" : "pay", 8_000, safe ? "" : "x".repeat(100 * i));
                ids.add(request.replaceFirst("(?s).*Request-Id: (\\w+).*", "$1"));
                requests.append(request);
            }
            HeldLoop held = hold();
            // Two parts, so that the second one is in the socket while the first is being processed.
            int half = requests.length() / 2;
            ScriptedPeer.write(client, requests.substring(0, half));
            ScriptedPeer.write(client, requests.substring(half));
            held.release();
            for (String id : ids) {
                ScriptedPeer.Message response = ScriptedPeer.read(client.getInputStream());
                assertEquals("200 " + id, response.status() + " " + response.text());
            }
        }
    }

    /** The end of a streamed body and the client's close arrive during the same hold. */
    @Test
    void streamedRequestIsNotCompletedAfterAHold() throws Exception {
        fixture.server(DepartedClientsTest::respond);
        fixture.start();
        String request = fixture.request("pay", 8_000, "x".repeat(200_000));
        Socket client = fixture.dial();
        ScriptedPeer.write(client, request.substring(0, 150_000));
        AgentFixture.await(this::hasOutstandingAttempt);
        settle();
        HeldLoop held = hold();
        sendAndLeave(client, request.substring(150_000));
        holdForAWhileAndRelease(held);
        assertEquals(0, forwarded("pay"));
    }

    private boolean hasOutstandingAttempt() {
        return fixture.agent
                .loop()
                .submit(() -> fixture.agent.outstanding().attempts() == 1)
                .syncUninterruptibly()
                .getNow();
    }

    @Test
    void thriftCallIsNotForwardedAfterAHold() throws Exception {
        MessageFormat format = new MessageFormat(true, ThriftEncoding.BINARY);
        try (ThriftAgentFixture thrift = new ThriftAgentFixture(format)) {
            Processor processor = thrift.server((name, args) -> new Result());
            thrift.start();
            HeldLoop held = HeldLoop.hold(thrift.agent.loop(), () -> {});
            Socket client = thrift.dial();
            new ThriftTestService.Client(
                            ThriftAgentFixture.protocol(format.encoding(), new TFramedTransport(new TSocket(client))))
                    .send("lookup", new Args("departed1", 2_000, null, "text"));
            client.close();
            pass(HOLD_MS);
            held.release();
            pass(100);
            assertEquals(0, processor.calls.get());
        }
    }

    /** As many calls are in progress as the agent takes from one connection; the client's close lies behind others. */
    @ParameterizedTest
    @CsvSource({"40, 50000", "400, 1000"})
    void thriftCallsBehindMuchUnreadInputAreNotForwarded(int count, int textBytes) throws Exception {
        MessageFormat format = new MessageFormat(true, ThriftEncoding.BINARY);
        CountDownLatch serve = new CountDownLatch(1);
        try (ThriftAgentFixture thrift = new ThriftAgentFixture(format)) {
            Processor processor = thrift.server((name, args) -> {
                awaitUnchecked(serve);
                return new Result();
            });
            thrift.start();
            Socket client = thrift.dial();
            ThriftTestService.Client calls = new ThriftTestService.Client(
                    ThriftAgentFixture.protocol(format.encoding(), new TFramedTransport(new TSocket(client))));
            Thread writer = ScriptedPeer.daemon(() -> {
                for (int i = 0; i < MAX_THRIFT_CALLS_IN_PROGRESS + count; i++) {
                    calls.send("order", new Args("departed" + i, 8_000, null, "x".repeat(textBytes)));
                }
            });
            writer.join(WRITE_MS);
            client.close();
            pass(HOLD_MS);
            int before = processor.calls.get();
            serve.countDown();
            pass(HOLD_MS);
            assertEquals(before, processor.calls.get());
        }
    }
}
