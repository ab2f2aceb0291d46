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
import java.util.List;
import java.util.Map;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportFactory;
import org.apache.thrift.transport.layered.TFramedTransport;

/** An agent between clients and servers of the reference implementation, in one form of Thrift. */
final class ThriftAgentFixture implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();

    final MessageFormat form;
    final ObjectNode config;
    final List<TServer> servers = new ArrayList<>();
    final List<Closeable> sockets = new ArrayList<>();
    final ScriptedPeer discovery;
    /** Where the nodos listen: one port, an address each. */
    private final int port;

    private int nodos;
    Agent agent;

    ThriftAgentFixture(MessageFormat form) throws IOException {
        this.form = form;
        config = (ObjectNode) JSON.readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
        discovery = new ScriptedPeer((message, socket) -> {
            if (!message.target().contains("since")) {
                ScriptedPeer.answer(socket, 200, "", config.get("known").toString());
            }
        });
        config.put("discovery", discovery.address());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
    }

    static TProtocol protocol(ThriftEncoding encoding, TTransport transport) {
        return encoding == ThriftEncoding.COMPACT
                ? new TCompactProtocol(transport)
                : new TBinaryProtocol(transport, encoding == ThriftEncoding.BINARY, encoding == ThriftEncoding.BINARY);
    }

    /** Lists a nodo at an address of its own, and returns that. */
    InetSocketAddress list() {
        String host = "127.0.77." + ++nodos;
        ((ArrayNode) config.get("known").get("endpoints"))
                .add(AgentFixture.endpoint(nodos, host + ":" + port, "Ready"));
        return new InetSocketAddress(host, port);
    }

    /** A nodo of the reference implementation. */
    ThriftTestService.Processor server(ThriftTestService.Work work) throws TException {
        ThriftTestService.Processor processor = new ThriftTestService.Processor(work);
        TProtocolFactory protocols = transport -> protocol(form.encoding(), transport);
        TServer server = new TThreadPoolServer(new TThreadPoolServer.Args(new TServerSocket(list()))
                .processor(processor)
                .protocolFactory(protocols)
                .transportFactory(form.framed() ? new TFramedTransport.Factory() : new TTransportFactory()));
        servers.add(server);
        ScriptedPeer.daemon(server::serve);
        return processor;
    }

    /** A nodo of the reference implementation of another kind. */
    void server(ThriftTestService.Serve server) throws TException {
        TServer made = server.at(list());
        servers.add(made);
        ScriptedPeer.daemon(made::serve);
    }

    /** A nodo that does with the first bytes of each connection what a test says. */
    void raw(ScriptedPeer.Serving work) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(list());
        sockets.add(listener);
        ScriptedPeer.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                ScriptedPeer.daemon(() -> work.run(socket));
            }
        });
    }

    ThriftAgentFixture start() throws IOException {
        Config read = Config.fromJson(config);
        List<String> classes = read.classes();
        Map<String, Method> methods = new java.util.HashMap<>();
        for (String each : List.of("lookup", "pay", "order")) {
            methods.put(each, new Method(classes.indexOf(each), true));
        }
        methods.put("undeclared", new Method(classes.indexOf("lookup"), false));
        agent = Agent.start(
                read,
                new Extensions(
                        new ThriftSettings(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                null,
                                port,
                                form.framed(),
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
        socket.setSoTimeout((int) AgentFixture.GENEROUS_MS);
        sockets.add(socket);
        return socket;
    }

    ThriftTestService.Client client() throws IOException, TException {
        TTransport transport = new TSocket(dial());
        return new ThriftTestService.Client(
                protocol(form.encoding(), form.framed() ? new TFramedTransport(transport) : transport));
    }

    @Override
    public void close() throws IOException {
        for (Closeable each : sockets) {
            each.close();
        }
        servers.forEach(TServer::stop);
        if (agent != null) {
            ScriptedPeer.daemon(agent::stop);
        }
        discovery.close();
    }
}
