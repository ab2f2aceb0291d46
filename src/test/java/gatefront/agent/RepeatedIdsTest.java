package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.agent.ThriftTestService.Args;
import gatefront.agent.ThriftTestService.Processor;
import gatefront.agent.ThriftTestService.Result;
import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.ThriftEncoding;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against running a request twice whose id comes again, after its client has left or at another process. */
@Timeout(60)
class RepeatedIdsTest {
    private static final int CONFLICT = 409;
    private static final long TIMEOUT_MS = 2_000;
    private static final long TERMINATION_MS = 15_000;

    @TempDir
    private Path folder;

    private static long sent(AgentFixture fixture, String requestClass) {
        return fixture.servers.stream()
                .flatMap(server -> server.requests.stream())
                .filter(message -> message.target().startsWith("/" + requestClass))
                .count();
    }

    private static int statusOf(Socket client, String request) throws IOException {
        return AgentFixture.exchange(client, request).status();
    }

    @ParameterizedTest
    @CsvSource({"order, 0", "pay, 0", "order, 70000", "pay, 70000"})
    void requestWhoseClientHasLeftIsNotSentAgainUnderItsId(String requestClass, int bodyBytes) throws Exception {
        CountDownLatch serve = new CountDownLatch(1);
        try (AgentFixture fixture = new AgentFixture()) {
            for (int i = 0; i < 2; i++) {
                fixture.server((message, socket) -> {
                    serve.await();
                    ScriptedPeer.respond(socket, 200, "", "served");
                });
            }
            fixture.start();
            String request = fixture.request(requestClass, TIMEOUT_MS, "x".repeat(bodyBytes));
            Socket client = fixture.dial();
            ScriptedPeer.write(client, request);
            AgentFixture.await(() -> sent(fixture, requestClass) == 1);
            client.close();
            AgentFixture.awaitInputRead(fixture.agent);
            assertEquals(CONFLICT, statusOf(fixture.dial(), request));
            serve.countDown();
            assertEquals(1, sent(fixture, requestClass));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"order", "pay"})
    void requestThatWasAnsweredIsNotSentAgainUnderItsId(String requestClass) throws Exception {
        try (AgentFixture fixture = new AgentFixture()) {
            fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
            fixture.start();
            String request = fixture.request(requestClass, TIMEOUT_MS, "body");
            Socket client = fixture.dial();
            assertEquals(200, statusOf(client, request));
            assertEquals(CONFLICT, statusOf(client, request));
            assertEquals(1, sent(fixture, requestClass));
        }
    }

    @Test
    void requestThatWasTurnedAwayIsSentAgainUnderItsId() throws Exception {
        CountDownLatch turnedAway = new CountDownLatch(1);
        try (AgentFixture fixture = new AgentFixture()) {
            fixture.server((message, socket) -> {
                boolean serves = turnedAway.getCount() == 0;
                turnedAway.countDown();
                ScriptedPeer.respond(socket, serves ? 200 : 503, serves ? "" : "Not-Started: 1\r\n", "");
            });
            fixture.start();
            String request = fixture.request("order", 300, "body");
            assertEquals(503, statusOf(fixture.dial(), request));
            AgentFixture.await(() -> {
                try {
                    return statusOf(fixture.dial(), request) == 200;
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
        }
    }

    @Test
    void safeRequestIsSentAgainUnderItsId() throws Exception {
        try (AgentFixture fixture = new AgentFixture()) {
            fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
            fixture.start();
            String request = fixture.request("lookup", TIMEOUT_MS, "");
            assertEquals(200, statusOf(fixture.dial(), request));
            assertEquals(200, statusOf(fixture.dial(), request));
        }
    }

    @Test
    void thriftCallWhoseClientHasLeftIsNotSentAgainUnderItsId() throws Exception {
        MessageFormat format = new MessageFormat(true, ThriftEncoding.BINARY);
        CountDownLatch serve = new CountDownLatch(1);
        try (ThriftAgentFixture thrift = new ThriftAgentFixture(format)) {
            Processor processor = thrift.server((name, args) -> {
                awaitUnchecked(serve);
                return new Result();
            });
            thrift.start();
            Args order = new Args("again1", (int) TIMEOUT_MS, null, "text");
            Socket client = thrift.dial();
            client(format, client).send("order", order);
            AgentFixture.await(() -> processor.calls.get() == 1);
            client.close();
            AgentFixture.awaitInputRead(thrift.agent);
            Socket again = thrift.dial();
            client(format, again).send("order", order);
            assertTrue(again.getInputStream().read() >= 0, "the second call is answered");
            assertEquals(1, processor.calls.get());
            serve.countDown();
        }
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static ThriftTestService.Client client(MessageFormat format, Socket socket) throws Exception {
        return new ThriftTestService.Client(
                ThriftAgentFixture.protocol(format.encoding(), new TFramedTransport(new TSocket(socket))));
    }

    /**
     * Real processes: the request is in progress at the old process, or was, when its id comes to the new one. One has
     * been running for longer than ids are kept, so that clocks that begin with the process would differ by more.
     */
    @ParameterizedTest
    @CsvSource({"order, true, 0", "order, false, 0", "pay, true, 0", "order, true, 22000"})
    void requestOfTheOldProcessIsNotSentAgainByTheNewOne(String requestClass, boolean clientLeaves, long runningMs)
            throws Exception {
        CountDownLatch serve = new CountDownLatch(1);
        try (AgentFixture fixture = new AgentFixture()) {
            for (int i = 0; i < 2; i++) {
                fixture.server((message, socket) -> {
                    serve.await();
                    ScriptedPeer.respond(socket, 200, "", "served");
                });
            }
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                fixture.config.put("listen", "127.0.0.1:" + free.getLocalPort());
            }
            Map<String, String> environment = Map.of("RELAY_MANAGEMENT", "127.0.0.1:0");
            try (AgentProcess old = new AgentProcess(folder, fixture.config, "", environment)) {
                TimeUnit.MILLISECONDS.sleep(runningMs);
                Socket client = old.dial();
                String request = fixture.request(requestClass, 8_000, "body");
                ScriptedPeer.write(client, request);
                AgentFixture.await(() -> sent(fixture, requestClass) == 1);
                if (clientLeaves) {
                    client.close();
                }
                try (AgentProcess successor = new AgentProcess(folder, fixture.config, "", environment)) {
                    Thread ends = ScriptedPeer.daemon(() -> old.terminate(TERMINATION_MS));
                    // The old process no longer accepts connections once it has handed over.
                    TimeUnit.MILLISECONDS.sleep(500);
                    assertEquals(CONFLICT, statusOf(successor.dial(), request));
                    serve.countDown();
                    if (!clientLeaves) {
                        assertEquals(
                                200, ScriptedPeer.read(client.getInputStream()).status());
                    }
                    ends.join();
                    assertEquals(1, sent(fixture, requestClass));
                }
            }
        }
    }
}
