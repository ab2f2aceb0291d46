package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.agent.ThriftTestService.Args;
import gatefront.agent.ThriftTestService.Client;
import gatefront.agent.ThriftTestService.Result;
import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.ThriftEncoding;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TException;
import org.apache.thrift.TMultiplexedProcessor;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClient;
import org.apache.thrift.async.TAsyncClientManager;
import org.apache.thrift.async.TAsyncMethodCall;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TMultiplexedProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.junit.jupiter.api.Test;

/** Other clients and servers of the reference implementation: asynchronous, nonblocking and multiplexed. */
class ThriftPeersTest {
    private static final AtomicInteger IDS = new AtomicInteger();

    private static Args args(String text) {
        return new Args("peer" + IDS.incrementAndGet(), 8_000, null, text);
    }

    private static Result served(String text) {
        Result result = new Result();
        result.success = text;
        return result;
    }

    /** A call as in code generated for asynchronous clients. */
    private static final class Lookup extends TAsyncMethodCall<Result> {
        private final Args args;
        private final TProtocolFactory protocols;

        Lookup(
                TAsyncClient client,
                TProtocolFactory protocols,
                TNonblockingSocket socket,
                Args args,
                AsyncMethodCallback<Result> callback) {
            super(client, protocols, socket, callback, false);
            this.args = args;
            this.protocols = protocols;
        }

        @Override
        protected void write_args(TProtocol out) throws TException {
            out.writeMessageBegin(new TMessage("lookup", TMessageType.CALL, 0));
            args.write(out);
            out.writeMessageEnd();
        }

        @Override
        protected Result getResult() throws Exception {
            TProtocol in = protocols.getProtocol(
                    new TMemoryInputTransport(getFrameBuffer().array()));
            TMessage message = in.readMessageBegin();
            assertEquals("lookup", message.name);
            Result result = new Result();
            result.read(in);
            return result;
        }
    }

    private static final class AsyncClient extends TAsyncClient {
        AsyncClient(TProtocolFactory protocols, TAsyncClientManager manager, TNonblockingSocket socket) {
            super(protocols, manager, socket);
        }

        CompletableFuture<Result> call(TProtocolFactory protocols, TNonblockingSocket socket, Args args)
                throws TException {
            CompletableFuture<Result> result = new CompletableFuture<>();
            checkReady();
            ___currentMethod = new Lookup(this, protocols, socket, args, new AsyncMethodCallback<>() {
                @Override
                public void onComplete(Result response) {
                    result.complete(response);
                }

                @Override
                public void onError(Exception exception) {
                    result.completeExceptionally(exception);
                }
            });
            ___manager.call(___currentMethod);
            return result;
        }
    }

    @Test
    void asynchronousClientsAndNonblockingServersAreServed() throws Exception {
        for (ThriftEncoding encoding : List.of(ThriftEncoding.BINARY, ThriftEncoding.COMPACT)) {
            TProtocolFactory protocols =
                    encoding == ThriftEncoding.COMPACT ? new TCompactProtocol.Factory() : new TBinaryProtocol.Factory();
            try (ThriftAgentFixture fixture = new ThriftAgentFixture(new MessageFormat(true, encoding))) {
                fixture.server(address -> new TThreadedSelectorServer(
                        new TThreadedSelectorServer.Args(new TNonblockingServerSocket(address))
                                .protocolFactory(protocols)
                                .processor(new ThriftTestService.Processor((method, args) -> served(args.text)))));
                fixture.start();
                TAsyncClientManager manager = new TAsyncClientManager();
                List<CompletableFuture<Result>> results = new ArrayList<>();
                for (int i = 0; i < 20; i++) {
                    TNonblockingSocket socket = new TNonblockingSocket(
                            "127.0.0.1", fixture.agent.thriftAddress().getPort());
                    results.add(new AsyncClient(protocols, manager, socket).call(protocols, socket, args("a" + i)));
                }
                for (int i = 0; i < 20; i++) {
                    assertEquals("a" + i, results.get(i).get(20, TimeUnit.SECONDS).success);
                }
                manager.stop();
            }
        }
    }

    @Test
    void multiplexedServicesAreRoutedByMethodAndKeepTheirNames() throws Exception {
        for (ThriftEncoding encoding : List.of(ThriftEncoding.BINARY, ThriftEncoding.COMPACT)) {
            TProtocolFactory protocols =
                    encoding == ThriftEncoding.COMPACT ? new TCompactProtocol.Factory() : new TBinaryProtocol.Factory();
            try (ThriftAgentFixture fixture = new ThriftAgentFixture(new MessageFormat(true, encoding))) {
                TMultiplexedProcessor services = new TMultiplexedProcessor();
                services.registerProcessor(
                        "Cuentas", new ThriftTestService.Processor((method, args) -> served("cuentas " + method)));
                services.registerProcessor(
                        "Avisos", new ThriftTestService.Processor((method, args) -> served("avisos " + method)));
                services.registerDefault(
                        new ThriftTestService.Processor((method, args) -> served("default " + method)));
                fixture.server(address -> new TThreadPoolServer(new TThreadPoolServer.Args(new TServerSocket(address))
                        .processor(services)
                        .protocolFactory(protocols)
                        .transportFactory(new TFramedTransport.Factory())));
                fixture.start();
                for (String service : List.of("Cuentas", "Avisos")) {
                    TProtocol plain = protocols.getProtocol(new TFramedTransport(new TSocket(fixture.dial())));
                    Client client = new Client(new TMultiplexedProtocol(plain, service));
                    Result result = client.call("lookup", args(""));
                    assertTrue(
                            result.success.equals(service.toLowerCase(java.util.Locale.ROOT) + " lookup"),
                            result.success);
                }
                assertEquals("default lookup", fixture.client().call("lookup", args("")).success);
            }
        }
    }
}
