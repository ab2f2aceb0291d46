package gatefront.agent;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.config.Config;
import gatefront.thrift.ThriftSettings;
import gatefront.thrift.ThriftSettings.Method;
import gatefront.thrift.codec.Encoding;
import gatefront.thrift.codec.Form;
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
final class ThriftStage implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();

    final Form form;
    final ObjectNode config;
    final List<TServer> servers = new ArrayList<>();
    final List<Closeable> sockets = new ArrayList<>();
    final Peer discovery;
    /** Where the nodos listen: one port, an address each. */
    private final int port;

    private int nodos;
    Agent agent;

    ThriftStage(Form form) throws IOException {
        this.form = form;
        config = (ObjectNode) JSON.readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
        discovery = new Peer((message, socket) -> {
            if (!message.target().contains("since")) {
                Peer.answer(socket, 200, "", config.get("known").toString());
            }
        });
        config.put("discovery", discovery.address());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
    }

    static TProtocol protocol(Encoding encoding, TTransport transport) {
        return encoding == Encoding.COMPACT
                ? new TCompactProtocol(transport)
                : new TBinaryProtocol(transport, encoding == Encoding.BINARY, encoding == Encoding.BINARY);
    }

    /** Lists a nodo at an address of its own, and returns that. */
    InetSocketAddress list() {
        String host = "127.0.77." + ++nodos;
        ((ArrayNode) config.get("known").get("endpoints")).add(Stage.endpoint(nodos, host + ":" + port, "Ready"));
        return new InetSocketAddress(host, port);
    }

    /** A nodo of the reference implementation. */
    Cuenta.Processor server(Cuenta.Work work) throws TException {
        Cuenta.Processor processor = new Cuenta.Processor(work);
        TProtocolFactory protocols = transport -> protocol(form.encoding(), transport);
        TServer server = new TThreadPoolServer(new TThreadPoolServer.Args(new TServerSocket(list()))
                .processor(processor)
                .protocolFactory(protocols)
                .transportFactory(form.framed() ? new TFramedTransport.Factory() : new TTransportFactory()));
        servers.add(server);
        Peer.daemon(server::serve);
        return processor;
    }

    /** A nodo of the reference implementation of another kind. */
    void server(Cuenta.Serve server) throws TException {
        TServer made = server.at(list());
        servers.add(made);
        Peer.daemon(made::serve);
    }

    /** A nodo that does with the first bytes of each connection what a test says. */
    void raw(Peer.Serving work) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(list());
        sockets.add(listener);
        Peer.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                Peer.daemon(() -> work.run(socket));
            }
        });
    }

    ThriftStage start() throws IOException {
        Config read = Config.of(config);
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
        Stage.await(() -> agent.isReady());
        return this;
    }

    Socket dial() throws IOException {
        Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), agent.thriftAddress().getPort());
        socket.setSoTimeout((int) Stage.GENEROUS_MS);
        sockets.add(socket);
        return socket;
    }

    Cuenta.Client client() throws IOException, TException {
        TTransport transport = new TSocket(dial());
        return new Cuenta.Client(
                protocol(form.encoding(), form.framed() ? new TFramedTransport(transport) : transport));
    }

    @Override
    public void close() throws IOException {
        for (Closeable each : sockets) {
            each.close();
        }
        servers.forEach(TServer::stop);
        if (agent != null) {
            Peer.daemon(agent::stop);
        }
        discovery.close();
    }
}
