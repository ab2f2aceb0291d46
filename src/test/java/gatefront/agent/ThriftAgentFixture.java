package gatefront.agent;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.config.Config;
import gatefront.thrift.ThriftSettings;
import gatefront.thrift.ThriftSettings.Method;
import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.ThriftEncoding;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportFactory;
import org.apache.thrift.transport.layered.TFramedTransport;

/** An agent between clients and servers of the reference implementation, in one message format of Thrift. */
final class ThriftAgentFixture implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();

    final MessageFormat format;
    final ObjectNode config;
    final List<TServer> servers = new ArrayList<>();
    final List<Closeable> sockets = new ArrayList<>();
    final ScriptedPeer discovery;
    /** The port of all nodos; each has its own address. */
    private final int port;

    private int nodoCount;
    Agent agent;

    ThriftAgentFixture(MessageFormat form) throws IOException {
        this.format = form;
        config = (ObjectNode) JSON.readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
        discovery = new ScriptedPeer((message, socket) -> {
            if (!message.target().contains("since")) {
                ScriptedPeer.respond(socket, 200, "", config.get("known").toString());
            }
        });
        config.put("discovery", discovery.address());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
    }

    /** Returns the port of all nodos. */
    int port() {
        return port;
    }

    static TProtocol protocol(ThriftEncoding encoding, TTransport transport) {
        return encoding == ThriftEncoding.COMPACT
                ? new TCompactProtocol(transport)
                : new TBinaryProtocol(transport, encoding == ThriftEncoding.BINARY, encoding == ThriftEncoding.BINARY);
    }

    /** Returns a message as it is on the wire. */
    static byte[] message(MessageFormat format, String name, byte type, int seqid, TBase<?, ?> body) throws TException {
        TMemoryBuffer buffer = new TMemoryBuffer(1 << 10);
        TTransport transport = format.framed() ? new TFramedTransport(buffer) : buffer;
        TProtocol out = protocol(format.encoding(), transport);
        out.writeMessageBegin(new TMessage(name, type, seqid));
        body.write(out);
        out.writeMessageEnd();
        transport.flush();
        return Arrays.copyOf(buffer.getArray(), buffer.length());
    }

    /** Lists a nodo at a new address and returns the address. */
    InetSocketAddress listNodo() {
        String host = "127.0.77." + ++nodoCount;
        ((ArrayNode) config.get("known").get("endpoints"))
                .add(AgentFixture.endpoint(nodoCount, host + ":" + port, "Ready"));
        return new InetSocketAddress(host, port);
    }

    /** Starts a nodo on the thread-pool server of the reference implementation. */
    ThriftTestService.Processor server(ThriftTestService.Handler handler) throws TException {
        ThriftTestService.Processor processor = new ThriftTestService.Processor(handler);
        TProtocolFactory protocols = transport -> protocol(format.encoding(), transport);
        TServer server = new TThreadPoolServer(new TThreadPoolServer.Args(new TServerSocket(listNodo()))
                .processor(processor)
                .protocolFactory(protocols)
                .transportFactory(format.framed() ? new TFramedTransport.Factory() : new TTransportFactory()));
        servers.add(server);
        ScriptedPeer.daemon(server::serve);
        return processor;
    }

    /** Starts a nodo on the given server of the reference implementation. */
    void server(ThriftTestService.ServerFactory server) throws TException {
        TServer started = server.create(listNodo());
        servers.add(started);
        ScriptedPeer.daemon(started::serve);
    }

    /** Starts a nodo whose connections are handled byte by byte by the test. */
    void rawServer(ScriptedPeer.ConnectionHandler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(listNodo());
        sockets.add(listener);
        ScriptedPeer.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                ScriptedPeer.daemon(() -> handler.run(socket));
            }
        });
    }

    ThriftAgentFixture start() throws IOException {
        Config parsed = Config.fromJson(config);
        List<String> classes = parsed.classes();
        Map<String, Method> methods = new java.util.HashMap<>();
        for (String type : List.of("lookup", "pay", "order")) {
            methods.put(type, new Method(classes.indexOf(type), true));
        }
        methods.put("undeclared", new Method(classes.indexOf("lookup"), false));
        agent = Agent.start(
                parsed,
                new Extensions(
                        new ThriftSettings(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                null,
                                port,
                                format.framed(),
                                true,
                                methods),
                        null,
                        null,
                        null));
        AgentFixture.await(() -> agent.isReady());
        return this;
    }

    Socket dial() throws IOException {
        Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), agent.thriftAddress().getPort());
        socket.setSoTimeout((int) AgentFixture.TIMEOUT_MS);
        sockets.add(socket);
        return socket;
    }

    ThriftTestService.Client client() throws IOException, TException {
        TTransport transport = new TSocket(dial());
        return new ThriftTestService.Client(
                protocol(format.encoding(), format.framed() ? new TFramedTransport(transport) : transport));
    }

    @Override
    public void close() throws IOException {
        for (Closeable socket : sockets) {
            socket.close();
        }
        servers.forEach(TServer::stop);
        if (agent != null) {
            ScriptedPeer.daemon(agent::stop);
        }
        discovery.close();
    }
}
