package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.agent.ThriftTestService.Args;
import gatefront.agent.ThriftTestService.Client;
import gatefront.agent.ThriftTestService.Processor;
import gatefront.agent.ThriftTestService.Result;
import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourcePurpose;
import gatefront.connection.AbstractFrontend;
import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.ThriftEncoding;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** An agent between clients and servers of the reference implementation, in every message format of Thrift. */
class ThriftAgentTest {
    private static final AtomicInteger IDS = new AtomicInteger();

    static Stream<MessageFormat> formats() {
        return Stream.of(
                new MessageFormat(true, ThriftEncoding.BINARY),
                new MessageFormat(true, ThriftEncoding.COMPACT),
                new MessageFormat(false, ThriftEncoding.BINARY),
                new MessageFormat(false, ThriftEncoding.COMPACT),
                new MessageFormat(true, ThriftEncoding.BINARY_OLD),
                new MessageFormat(false, ThriftEncoding.BINARY_OLD));
    }

    private static Args args(String type, long timeoutMs, String text) {
        return new Args("id" + IDS.incrementAndGet(), timeoutMs, type.equals("pay") ? "k" + IDS.get() : null, text);
    }

    private static Result served(String text) {
        Result result = new Result();
        result.success = text;
        result.load = "queue=0,inflight=1";
        return result;
    }

    private static Result refused() {
        Result result = new Result();
        result.refused = "full";
        return result;
    }

    private static Result failed() {
        Result result = new Result();
        result.failed = "broken";
        return result;
    }

    private static void awaitLatch(CountDownLatch until) throws TException {
        try {
            until.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new TException(e);
        }
    }

    @ParameterizedTest
    @MethodSource("formats")
    void callsOfEachClassAreServedWithTheirArgumentsAndRemainingTime(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            Map<String, Args> receivedArgs = new HashMap<>();
            fixture.server((method, args) -> {
                receivedArgs.put(method, args);
                return served(method + " " + args.text);
            });
            Client client = fixture.start().client();
            for (int i = 0; i < 3; i++) {
                for (String type : List.of("lookup", "pay", "order")) {
                    Args args = args(type, 5_000, "ñandú " + i);
                    assertEquals(type + " ñandú " + i, client.call(type, args).success);
                    Args received = receivedArgs.get(type);
                    assertEquals(args.requestId, received.requestId);
                    assertEquals(args.key, received.key);
                    assertTrue(received.timeoutMs > 0 && received.timeoutMs < 5_000, "left: " + received.timeoutMs);
                }
            }
        }
    }

    @ParameterizedTest
    @MethodSource("formats")
    void refusedCallsAreRetriedElsewhereAndThenRefusedWithRetryAfter(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            AtomicInteger refusals = new AtomicInteger(1);
            ThriftTestService.Handler handler =
                    (method, args) -> refusals.getAndDecrement() > 0 ? refused() : served("done");
            Processor first = fixture.server(handler);
            Processor second = fixture.server(handler);
            Client client = fixture.start().client();
            assertEquals("done", client.call("order", args("order", 5_000, "")).success);
            assertEquals(2, first.calls.get() + second.calls.get(), "a refusal proves that nothing ran");
            refusals.set(1_000);
            Result result = client.call("order", args("order", 1_000, ""));
            assertNotNull(result.refused, result.failed);
            assertTrue(result.retryAfterMs > 0);
        }
    }

    @ParameterizedTest
    @MethodSource("formats")
    void callsThatMayHaveRunAreRetriedOnlyIfTheirClassPermits(MessageFormat format) throws Exception {
        for (String failure : List.of("failed", "internal", "cut")) {
            try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
                AtomicInteger failures = new AtomicInteger();
                ThriftTestService.Handler handler = (method, args) -> {
                    if (failures.getAndDecrement() <= 0) {
                        return served("done");
                    }
                    switch (failure) {
                        case "failed":
                            return failed();
                        case "internal":
                            throw new TApplicationException(TApplicationException.INTERNAL_ERROR, "oh");
                        default:
                            throw new TTransportException("the connection ends");
                    }
                };
                Processor first = fixture.server(handler);
                Processor second = fixture.server(handler);
                Client client = fixture.start().client();
                for (int i = 0; i < 40; i++) { // earns retry budget, which is a fraction of the requests
                    assertEquals("done", client.call("lookup", args("lookup", 5_000, "")).success);
                }
                failures.set(1);
                int before = first.calls.get() + second.calls.get();
                assertNotNull(client.call("order", args("order", 5_000, "")).failed, failure + ": at most once");
                assertEquals(before + 1, first.calls.get() + second.calls.get(), failure);
                for (String retriedClass : List.of("lookup", "pay")) {
                    failures.set(1);
                    Result result = client.call(retriedClass, args(retriedClass, 5_000, ""));
                    assertEquals(
                            "done",
                            result.success,
                            retriedClass + " " + failure + " " + result.refused + result.failed);
                }
            }
        }
    }

    @ParameterizedTest
    @MethodSource("formats")
    void exceptionsThatBlameTheCallAreReturnedWithoutRetry(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            ThriftTestService.Handler handler = (method, args) -> {
                throw new TApplicationException(Integer.parseInt(args.text), "no");
            };
            Processor first = fixture.server(handler);
            Processor second = fixture.server(handler);
            fixture.start();
            int before = 0;
            for (int type : new int[] {
                TApplicationException.UNKNOWN_METHOD,
                TApplicationException.INVALID_PROTOCOL,
                TApplicationException.PROTOCOL_ERROR,
                TApplicationException.INVALID_MESSAGE_TYPE
            }) {
                Args args = args("lookup", 5_000, String.valueOf(type));
                assertEquals(
                        type,
                        assertThrows(TApplicationException.class, () -> fixture.client()
                                        .call("lookup", args))
                                .getType());
                assertEquals(++before, first.calls.get() + second.calls.get());
            }
        }
    }

    @ParameterizedTest
    @MethodSource("formats")
    void lateReplyIsNotServedToTheNextCall(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            CountDownLatch releaseLate = new CountDownLatch(1);
            fixture.server((method, args) -> {
                if (args.text.equals("late")) {
                    awaitLatch(releaseLate);
                }
                return served(args.text);
            });
            Client client = fixture.start().client();
            Result result = client.call("order", args("order", 300, "late"));
            assertNotNull(result.failed, "its deadline applies");
            releaseLate.countDown();
            for (int i = 0; i < 5; i++) {
                assertEquals("next" + i, client.call("order", args("order", 5_000, "next" + i)).success);
            }
        }
    }

    /** Writes the reply of a nodo to a call, as the test defines it. */
    private interface ReplyWriter {
        void write(TMessage call, TProtocol out) throws TException;
    }

    private static void rawServerReplying(
            ThriftAgentFixture fixture, MessageFormat format, AtomicInteger calls, ReplyWriter response)
            throws Exception {
        fixture.rawServer(socket -> {
            TTransport plain = new TSocket(socket);
            TTransport transport = format.framed() ? new TFramedTransport(plain) : plain;
            TProtocol protocol = ThriftAgentFixture.protocol(format.encoding(), transport);
            while (true) {
                TMessage call = protocol.readMessageBegin();
                TProtocolUtil.skip(protocol, TType.STRUCT);
                calls.incrementAndGet();
                response.write(call, protocol);
                transport.flush();
            }
        });
    }

    @ParameterizedTest
    @MethodSource("formats")
    void repliesToAnotherCallOrOfAnotherKindAreRejected(MessageFormat format) throws Exception {
        List<ReplyWriter> invalidReplies = List.of(
                (call, out) -> reply(out, call.name, TMessageType.REPLY, call.seqid + 1),
                (call, out) -> reply(out, "another", TMessageType.REPLY, call.seqid),
                (call, out) -> reply(out, call.name, TMessageType.CALL, call.seqid),
                (call, out) -> reply(out, call.name, (byte) 4, call.seqid),
                (call, out) -> out.getTransport().write(new byte[] {0x7f, 1, 2, 3, 4, 5, 6, 7, 8, 9}));
        for (ReplyWriter invalidReply : invalidReplies) {
            try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
                AtomicInteger calls = new AtomicInteger();
                rawServerReplying(fixture, format, calls, invalidReply);
                Result result = fixture.start().client().call("order", args("order", 5_000, ""));
                assertNotNull(result.failed, "the reply is not served, and the call may have run");
                assertEquals(1, calls.get(), "at most once");
            }
        }
    }

    private static void reply(TProtocol out, String name, byte type, int seqid) throws TException {
        out.writeMessageBegin(new TMessage(name, type, seqid));
        served("a lie").write(out);
        out.writeMessageEnd();
    }

    @ParameterizedTest
    @MethodSource("formats")
    void pipelinedCallsAreAnsweredBySeqidAndInOrderWithinASeqid(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            CountDownLatch releaseSlow = new CountDownLatch(1);
            fixture.server((method, args) -> {
                if (args.text.startsWith("slow")) {
                    awaitLatch(releaseSlow);
                }
                return served(args.text);
            });
            fixture.start();
            Socket socket = fixture.dial();
            TTransport transport = format.framed() ? new TFramedTransport(new TSocket(socket)) : new TSocket(socket);
            TProtocol protocol = ThriftAgentFixture.protocol(format.encoding(), transport);
            send(protocol, 7, "slow 7");
            send(protocol, 8, "quick 8");
            send(protocol, 7, "second 7");
            assertEquals("8 quick 8", receive(protocol));
            releaseSlow.countDown();
            assertEquals("7 slow 7", receive(protocol));
            assertEquals("7 second 7", receive(protocol));
        }
    }

    private static void send(TProtocol protocol, int seqid, String text) throws TException {
        protocol.writeMessageBegin(new TMessage("lookup", TMessageType.CALL, seqid));
        args("lookup", 8_000, text).write(protocol);
        protocol.writeMessageEnd();
        protocol.getTransport().flush();
    }

    private static String receive(TProtocol protocol) throws TException {
        TMessage message = protocol.readMessageBegin();
        Result result = new Result();
        result.read(protocol);
        protocol.readMessageEnd();
        return message.seqid + " " + result.success;
    }

    @ParameterizedTest
    @MethodSource("formats")
    void invalidCallClosesTheConnectionAfterPendingReplies(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            fixture.server((method, args) -> served(args.text));
            fixture.start();
            Socket socket = fixture.dial();
            TTransport transport = format.framed() ? new TFramedTransport(new TSocket(socket)) : new TSocket(socket);
            TProtocol protocol = ThriftAgentFixture.protocol(format.encoding(), transport);
            send(protocol, 1, "before");
            socket.getOutputStream().write(new byte[] {(byte) 0xff, 1, 2, 3, 4, 5, 6, 7});
            assertEquals("1 before", receive(protocol));
            assertEquals(-1, socket.getInputStream().read(), "the connection is closed");
        }
    }

    @ParameterizedTest
    @MethodSource("formats")
    void unacceptableCallsAreAnsweredBySeqidAndTheConnectionStaysOpen(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            Processor nodo = fixture.server((method, args) -> served("done"));
            Client client = fixture.start().client();
            assertEquals(
                    TApplicationException.UNKNOWN_METHOD,
                    assertThrows(TApplicationException.class, () -> client.call("nada", args("lookup", 5_000, "")))
                            .getType());
            for (Args invalid : List.of(
                    new Args("", 5_000, null, ""),
                    new Args("a b", 5_000, null, ""),
                    new Args("x1", 0, null, ""),
                    new Args("x2", -1, null, ""),
                    new Args("x3", 5_000, "key", ""))) {
                assertEquals(
                        TApplicationException.PROTOCOL_ERROR,
                        assertThrows(TApplicationException.class, () -> client.call("lookup", invalid))
                                .getType());
            }
            assertEquals(
                    TApplicationException.PROTOCOL_ERROR,
                    assertThrows(TApplicationException.class, () -> client.call("pay", new Args("x4", 5_000, null, "")))
                            .getType(),
                    "a payment without its key");
            assertEquals(0, nodo.calls.get(), "none of the calls was forwarded");
            assertEquals("done", client.call("lookup", args("lookup", 5_000, "")).success);
        }
    }

    @ParameterizedTest
    @MethodSource("formats")
    void methodWithoutDeclaredExceptionsGetsAnApplicationException(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            fixture.server((method, args) -> refused());
            Client client = fixture.start().client();
            TApplicationException exception = assertThrows(
                    TApplicationException.class, () -> client.call("undeclared", args("lookup", 1_000, "")));
            assertEquals(TApplicationException.INTERNAL_ERROR, exception.getType());
            assertTrue(exception.getMessage().contains("retry_after_ms="), exception.getMessage());
        }
    }

    @ParameterizedTest
    @MethodSource("formats")
    void onewayCallIsSentOnceAndTheConnectionStaysOpen(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            Processor nodo = fixture.server((method, args) -> served(args.text));
            Client client = fixture.start().client();
            client.oneway("order", args("order", 5_000, "no answer"));
            AgentFixture.await(() -> nodo.calls.get() == 1);
            assertEquals("next", client.call("lookup", args("lookup", 5_000, "next")).success);
            assertEquals(2, nodo.calls.get());
        }
    }

    /** A call whose last byte never arrives is not run, and does not occupy its connection forever. */
    @ParameterizedTest
    @MethodSource("formats")
    void incompleteCallTimesOutAndClosesTheConnection(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            Processor nodo = fixture.server((method, args) -> served(""));
            fixture.start();
            TMemoryBuffer memory = new TMemoryBuffer(256);
            TTransport transport = format.framed() ? new TFramedTransport(memory) : memory;
            send(ThriftAgentFixture.protocol(format.encoding(), transport), 1, "half");
            Socket socket = fixture.dial();
            socket.getOutputStream().write(memory.getArray(), 0, memory.length() - 1);
            assertEquals(-1, socket.getInputStream().read());
            assertEquals(0, nodo.calls.get());
        }
    }

    /** A stopping agent answers its open calls, accepts no more and terminates, even if a client keeps sending. */
    @ParameterizedTest
    @MethodSource("formats")
    void stoppingAgentAnswersItsCallsAndCloses(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            CountDownLatch release = new CountDownLatch(1);
            Processor nodo = fixture.server((method, args) -> {
                if (args.text.equals("held")) {
                    awaitLatch(release);
                }
                return served(args.text);
            });
            fixture.start();
            Client pending = fixture.client();
            pending.send("order", args("order", 8_000, "held"));
            Client idle = fixture.client();
            assertEquals("idle", idle.call("lookup", args("lookup", 5_000, "idle")).success);
            AgentFixture.await(() -> nodo.calls.get() == 2);
            Thread stopping = ScriptedPeer.daemon(fixture.agent::stop);
            Client otherClient = fixture.client();
            assertEquals(
                    "asked",
                    otherClient.call("lookup", args("lookup", 5_000, "asked")).success,
                    "it keeps serving for a moment");
            release.countDown();
            assertEquals("held", pending.receive("order").success);
            AgentFixture.await(() -> isClosed(idle));
            stopping.join(AgentFixture.TIMEOUT_MS);
            assertTrue(!stopping.isAlive(), "the agent has terminated");
        }
    }

    private static boolean isClosed(Client client) {
        try {
            client.call("lookup", args("lookup", 2_000, "again"));
            return false;
        } catch (TException e) {
            return true;
        }
    }

    /**
     * Guards against executing a request twice: of two requests with one id over both protocols at once, the second
     * fails and the first is served.
     */
    @Test
    void sameRequestIdOverHttpAndThriftIsAcceptedOnce() throws Exception {
        MessageFormat format = new MessageFormat(true, ThriftEncoding.BINARY);
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            CountDownLatch release = new CountDownLatch(1);
            Processor nodo = fixture.server((method, args) -> {
                awaitLatch(release);
                return served("first");
            });
            fixture.start();
            Client client = fixture.client();
            Args args = args("pay", 8_000, "");
            client.send("pay", args);
            AgentFixture.await(() -> nodo.calls.get() == 1);
            try (Socket http = new Socket("127.0.0.1", fixture.agent.address().getPort())) {
                ScriptedPeer.write(
                        http,
                        "POST /pay HTTP/1.1\r\nHost: a\r\nRequest-Id: " + args.requestId + "\r\nRequest-Class: "
                                + "pay\r\nRequest-Timeout-Ms: 5000\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n");
                assertEquals(409, ScriptedPeer.read(http.getInputStream()).status());
            }
            release.countDown();
            Result result = client.receive("pay");
            assertEquals("first", result.success);
            assertNull(result.failed);
            assertEquals(1, nodo.calls.get());
        }
    }

    private static void awaitBytes(ThriftAgentFixture fixture, ResourcePurpose purpose, long least, long most) {
        AgentFixture.await(() -> {
            long bytes = fixture.agent.budget().account(purpose).bytes();
            return bytes >= least && bytes <= most;
        });
    }

    /** Sends 40,000 bytes of a call, and returns the connection once they are counted. */
    private static Socket sendPartOfCall(ThriftAgentFixture fixture, MessageFormat format) throws Exception {
        long before = fixture.agent.budget().account(ResourcePurpose.REQUESTS).bytes();
        byte[] call = ThriftAgentFixture.message(
                format, "order", TMessageType.CALL, 1, args("order", 8_000, "x".repeat(50_000)));
        Socket client = fixture.dial();
        client.getOutputStream().write(call, 0, 40_000);
        awaitBytes(fixture, ResourcePurpose.REQUESTS, before + 39_990, before + 40_000);
        return client;
    }

    /** Guards against memory exhausted by calls that clients send in part, which no account contained. */
    @ParameterizedTest
    @MethodSource("formats")
    void callReceivedInPartIsCountedUntilItsConnectionEnds(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            fixture.server((method, args) -> served("done"));
            fixture.start();
            Socket client = sendPartOfCall(fixture, format);
            client.close();
            awaitBytes(fixture, ResourcePurpose.REQUESTS, 0, 0);
        }
    }

    /** Guards against slow senders that hold all memory for requests, so that others are refused. */
    @ParameterizedTest
    @MethodSource("formats")
    void slowestSenderIsClosedForACallThatArrivesWhole(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            fixture.server((method, args) -> served("done"));
            fixture.start();
            ResourceAccount account = fixture.agent.budget().account(ResourcePurpose.REQUESTS);
            long other = account.bytesCap() - 45_000;
            account.add(0, other);
            Socket slow = sendPartOfCall(fixture, format);
            TimeUnit.MILLISECONDS.sleep(AbstractFrontend.MIN_DISCARD_MS);
            assertEquals("done", fixture.client().call("order", args("order", 8_000, "x".repeat(20_000))).success);
            assertEquals(-1, slow.getInputStream().read());
            awaitBytes(fixture, ResourcePurpose.REQUESTS, other, other);
        }
    }

    /** Guards against memory exhausted by replies that servers send in part, which no account contained. */
    @ParameterizedTest
    @MethodSource("formats")
    void replyReceivedInPartIsCountedUntilItsAttemptEnds(MessageFormat format) throws Exception {
        try (ThriftAgentFixture fixture = new ThriftAgentFixture(format)) {
            byte[] reply =
                    ThriftAgentFixture.message(format, "order", TMessageType.REPLY, 1, served("x".repeat(50_000)));
            fixture.rawServer(socket -> {
                socket.getInputStream().read();
                socket.getOutputStream().write(reply, 0, 40_000);
            });
            Client client = fixture.start().client();
            client.send("order", args("order", 1_500, ""));
            awaitBytes(fixture, ResourcePurpose.SERVER_ANSWERS, 39_990, 40_000);
            assertNotNull(client.receive("order").failed);
            awaitBytes(fixture, ResourcePurpose.SERVER_ANSWERS, 0, 0);
        }
    }
}
