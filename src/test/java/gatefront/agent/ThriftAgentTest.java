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

/** An agent between clients and servers of the reference implementation, in every form of Thrift. */
class ThriftAgentTest {
    private static final AtomicInteger IDS = new AtomicInteger();

    static Stream<MessageFormat> forms() {
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

    private static void hold(CountDownLatch until) throws TException {
        try {
            until.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new TException(e);
        }
    }

    @ParameterizedTest
    @MethodSource("forms")
    void callsOfEachClassAreServedWithTheirArgumentsAndWhatIsLeftOfTheirTime(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            Map<String, Args> seen = new HashMap<>();
            stage.server((method, args) -> {
                seen.put(method, args);
                return served(method + " " + args.text);
            });
            Client client = stage.start().client();
            for (int i = 0; i < 3; i++) {
                for (String type : List.of("lookup", "pay", "order")) {
                    Args args = args(type, 5_000, "ñandú " + i);
                    assertEquals(type + " ñandú " + i, client.call(type, args).success);
                    Args came = seen.get(type);
                    assertEquals(args.requestId, came.requestId);
                    assertEquals(args.key, came.key);
                    assertTrue(came.timeoutMs > 0 && came.timeoutMs < 5_000, "left: " + came.timeoutMs);
                }
            }
        }
    }

    @ParameterizedTest
    @MethodSource("forms")
    void whatANodoRefusesIsSentToAnotherAndWhatAllRefuseIsRefusedWithAWait(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            AtomicInteger refusals = new AtomicInteger(1);
            ThriftTestService.Work work = (method, args) -> refusals.getAndDecrement() > 0 ? refused() : served("done");
            Processor one = stage.server(work);
            Processor other = stage.server(work);
            Client client = stage.start().client();
            assertEquals("done", client.call("order", args("order", 5_000, "")).success);
            assertEquals(2, one.calls.get() + other.calls.get(), "a refusal proves that nothing ran");
            refusals.set(1_000);
            Result result = client.call("order", args("order", 1_000, ""));
            assertNotNull(result.refused, result.failed);
            assertTrue(result.retryAfterMs > 0);
        }
    }

    @ParameterizedTest
    @MethodSource("forms")
    void whatMayHaveRunIsSentAgainOnlyAsItsClassPermits(MessageFormat form) throws Exception {
        for (String how : List.of("failed", "internal", "cut")) {
            try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
                AtomicInteger failures = new AtomicInteger();
                ThriftTestService.Work work = (method, args) -> {
                    if (failures.getAndDecrement() <= 0) {
                        return served("done");
                    }
                    switch (how) {
                        case "failed":
                            return failed();
                        case "internal":
                            throw new TApplicationException(TApplicationException.INTERNAL_ERROR, "oh");
                        default:
                            throw new TTransportException("the connection ends");
                    }
                };
                Processor one = stage.server(work);
                Processor other = stage.server(work);
                Client client = stage.start().client();
                for (int i = 0; i < 40; i++) { // the module repeats a part of what it is asked, not all of it
                    assertEquals("done", client.call("lookup", args("lookup", 5_000, "")).success);
                }
                failures.set(1);
                int before = one.calls.get() + other.calls.get();
                assertNotNull(client.call("order", args("order", 5_000, "")).failed, how + ": at most once");
                assertEquals(before + 1, one.calls.get() + other.calls.get(), how);
                for (String again : List.of("lookup", "pay")) {
                    failures.set(1);
                    Result result = client.call(again, args(again, 5_000, ""));
                    assertEquals("done", result.success, again + " " + how + " " + result.refused + result.failed);
                }
            }
        }
    }

    @ParameterizedTest
    @MethodSource("forms")
    void exceptionsThatBlameTheCallGoToTheCallerAndTheCallNowhereElse(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            ThriftTestService.Work work = (method, args) -> {
                throw new TApplicationException(Integer.parseInt(args.text), "no");
            };
            Processor one = stage.server(work);
            Processor other = stage.server(work);
            stage.start();
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
                        assertThrows(TApplicationException.class, () -> stage.client()
                                        .call("lookup", args))
                                .getType());
                assertEquals(++before, one.calls.get() + other.calls.get());
            }
        }
    }

    @ParameterizedTest
    @MethodSource("forms")
    void aLateReplyIsNotTheNextCallsAnswer(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            CountDownLatch late = new CountDownLatch(1);
            stage.server((method, args) -> {
                if (args.text.equals("late")) {
                    hold(late);
                }
                return served(args.text);
            });
            Client client = stage.start().client();
            Result result = client.call("order", args("order", 300, "late"));
            assertNotNull(result.failed, "its deadline is kept");
            late.countDown();
            for (int i = 0; i < 5; i++) {
                assertEquals("next" + i, client.call("order", args("order", 5_000, "next" + i)).success);
            }
        }
    }

    /** A nodo that reads calls and answers each with bytes that a test makes of it. */
    private interface Answer {
        void write(TMessage call, TProtocol out) throws TException;
    }

    private static void liar(ThriftAgentFixture stage, MessageFormat form, AtomicInteger calls, Answer answer)
            throws Exception {
        stage.raw(socket -> {
            TTransport plain = new TSocket(socket);
            TTransport transport = form.framed() ? new TFramedTransport(plain) : plain;
            TProtocol protocol = ThriftAgentFixture.protocol(form.encoding(), transport);
            while (true) {
                TMessage call = protocol.readMessageBegin();
                TProtocolUtil.skip(protocol, TType.STRUCT);
                calls.incrementAndGet();
                answer.write(call, protocol);
                transport.flush();
            }
        });
    }

    @ParameterizedTest
    @MethodSource("forms")
    void repliesToAnotherCallOrOfAnotherKindAreNoAnswers(MessageFormat form) throws Exception {
        List<Answer> lies = List.of(
                (call, out) -> reply(out, call.name, TMessageType.REPLY, call.seqid + 1),
                (call, out) -> reply(out, "another", TMessageType.REPLY, call.seqid),
                (call, out) -> reply(out, call.name, TMessageType.CALL, call.seqid),
                (call, out) -> reply(out, call.name, (byte) 4, call.seqid),
                (call, out) -> out.getTransport().write(new byte[] {0x7f, 1, 2, 3, 4, 5, 6, 7, 8, 9}));
        for (Answer lie : lies) {
            try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
                AtomicInteger calls = new AtomicInteger();
                liar(stage, form, calls, lie);
                Result result = stage.start().client().call("order", args("order", 5_000, ""));
                assertNotNull(result.failed, "nothing of it is served, and it may have run");
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
    @MethodSource("forms")
    void callsInFlightOnOneConnectionAreAnsweredBySeqidAndOfOneSeqidInOrder(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            CountDownLatch slow = new CountDownLatch(1);
            stage.server((method, args) -> {
                if (args.text.startsWith("slow")) {
                    hold(slow);
                }
                return served(args.text);
            });
            stage.start();
            Socket socket = stage.dial();
            TTransport transport = form.framed() ? new TFramedTransport(new TSocket(socket)) : new TSocket(socket);
            TProtocol protocol = ThriftAgentFixture.protocol(form.encoding(), transport);
            send(protocol, 7, "slow 7");
            send(protocol, 8, "quick 8");
            send(protocol, 7, "second 7");
            assertEquals("8 quick 8", receive(protocol));
            slow.countDown();
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
    @MethodSource("forms")
    void whatIsNoCallEndsTheConnectionAfterTheAnswerBeforeIt(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            stage.server((method, args) -> served(args.text));
            stage.start();
            Socket socket = stage.dial();
            TTransport transport = form.framed() ? new TFramedTransport(new TSocket(socket)) : new TSocket(socket);
            TProtocol protocol = ThriftAgentFixture.protocol(form.encoding(), transport);
            send(protocol, 1, "before");
            socket.getOutputStream().write(new byte[] {(byte) 0xff, 1, 2, 3, 4, 5, 6, 7});
            assertEquals("1 before", receive(protocol));
            assertEquals(-1, socket.getInputStream().read(), "and then it ends");
        }
    }

    @ParameterizedTest
    @MethodSource("forms")
    void callsThatTheAgentCannotTakeAreAnsweredByTheirSeqidAndTheConnectionGoesOn(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            Processor nodo = stage.server((method, args) -> served("done"));
            Client client = stage.start().client();
            assertEquals(
                    TApplicationException.UNKNOWN_METHOD,
                    assertThrows(TApplicationException.class, () -> client.call("nada", args("lookup", 5_000, "")))
                            .getType());
            for (Args wrong : List.of(
                    new Args("", 5_000, null, ""),
                    new Args("a b", 5_000, null, ""),
                    new Args("x1", 0, null, ""),
                    new Args("x2", -1, null, ""),
                    new Args("x3", 5_000, "key", ""))) {
                assertEquals(
                        TApplicationException.PROTOCOL_ERROR,
                        assertThrows(TApplicationException.class, () -> client.call("lookup", wrong))
                                .getType());
            }
            assertEquals(
                    TApplicationException.PROTOCOL_ERROR,
                    assertThrows(TApplicationException.class, () -> client.call("pay", new Args("x4", 5_000, null, "")))
                            .getType(),
                    "a payment without its key");
            assertEquals(0, nodo.calls.get(), "nothing of it was sent on");
            assertEquals("done", client.call("lookup", args("lookup", 5_000, "")).success);
        }
    }

    @ParameterizedTest
    @MethodSource("forms")
    void aMethodThatDeclaresNoExceptionsGetsThatOfTheProtocol(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            stage.server((method, args) -> refused());
            Client client = stage.start().client();
            TApplicationException said = assertThrows(
                    TApplicationException.class, () -> client.call("undeclared", args("lookup", 1_000, "")));
            assertEquals(TApplicationException.INTERNAL_ERROR, said.getType());
            assertTrue(said.getMessage().contains("retry_after_ms="), said.getMessage());
        }
    }

    @ParameterizedTest
    @MethodSource("forms")
    void aOnewayCallIsSentOnceAndTheConnectionGoesOn(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            Processor nodo = stage.server((method, args) -> served(args.text));
            Client client = stage.start().client();
            client.oneway("order", args("order", 5_000, "no answer"));
            AgentFixture.await(() -> nodo.calls.get() == 1);
            assertEquals("next", client.call("lookup", args("lookup", 5_000, "next")).success);
            assertEquals(2, nodo.calls.get());
        }
    }

    /** A call whose last byte never comes is not run, and does not hold its connection for ever. */
    @ParameterizedTest
    @MethodSource("forms")
    void halfACallAndSilenceEndsTheConnection(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            Processor nodo = stage.server((method, args) -> served(""));
            stage.start();
            TMemoryBuffer memory = new TMemoryBuffer(256);
            TTransport transport = form.framed() ? new TFramedTransport(memory) : memory;
            send(ThriftAgentFixture.protocol(form.encoding(), transport), 1, "half");
            Socket socket = stage.dial();
            socket.getOutputStream().write(memory.getArray(), 0, memory.length() - 1);
            assertEquals(-1, socket.getInputStream().read());
            assertEquals(0, nodo.calls.get());
        }
    }

    /** An agent that ends answers what it holds, takes nothing more, and is gone, though its caller goes on asking. */
    @ParameterizedTest
    @MethodSource("forms")
    void anAgentThatEndsAnswersWhatItHoldsAndCloses(MessageFormat form) throws Exception {
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            CountDownLatch go = new CountDownLatch(1);
            Processor nodo = stage.server((method, args) -> {
                if (args.text.equals("held")) {
                    hold(go);
                }
                return served(args.text);
            });
            stage.start();
            Client held = stage.client();
            held.send("order", args("order", 8_000, "held"));
            Client idle = stage.client();
            assertEquals("idle", idle.call("lookup", args("lookup", 5_000, "idle")).success);
            AgentFixture.await(() -> nodo.calls.get() == 2);
            Thread ending = ScriptedPeer.daemon(stage.agent::stop);
            Client asking = stage.client();
            assertEquals(
                    "asked",
                    asking.call("lookup", args("lookup", 5_000, "asked")).success,
                    "it serves on while it may");
            go.countDown();
            assertEquals("held", held.receive("order").success);
            AgentFixture.await(() -> ended(idle));
            ending.join(AgentFixture.GENEROUS_MS);
            assertTrue(!ending.isAlive(), "it has ended");
        }
    }

    private static boolean ended(Client client) {
        try {
            client.call("lookup", args("lookup", 2_000, "again"));
            return false;
        } catch (TException e) {
            return true;
        }
    }

    /** The same request at once over both protocols would be two effects; the second is failed and the first served. */
    @Test
    void theSameRequestOverHttpAndThriftAtOnceIsTakenOnce() throws Exception {
        MessageFormat form = new MessageFormat(true, ThriftEncoding.BINARY);
        try (ThriftAgentFixture stage = new ThriftAgentFixture(form)) {
            CountDownLatch go = new CountDownLatch(1);
            Processor nodo = stage.server((method, args) -> {
                hold(go);
                return served("first");
            });
            stage.start();
            Client client = stage.client();
            Args args = args("pay", 8_000, "");
            client.send("pay", args);
            AgentFixture.await(() -> nodo.calls.get() == 1);
            try (Socket http = new Socket("127.0.0.1", stage.agent.address().getPort())) {
                ScriptedPeer.write(
                        http,
                        "POST /pay HTTP/1.1\r\nHost: a\r\nRequest-Id: " + args.requestId + "\r\nRequest-Class: "
                                + "pay\r\nRequest-Timeout-Ms: 5000\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n");
                assertEquals(409, ScriptedPeer.read(http.getInputStream()).status());
            }
            go.countDown();
            Result result = client.receive("pay");
            assertEquals("first", result.success);
            assertNull(result.failed);
            assertEquals(1, nodo.calls.get());
        }
    }
}
