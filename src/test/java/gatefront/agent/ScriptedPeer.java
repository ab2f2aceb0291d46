package gatefront.agent;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A peer on a loopback port that handles each message by the test's script. */
final class ScriptedPeer implements Closeable {
    /** Handles a message; if it returns without a response, the peer stays silent. */
    interface Script {
        void handle(Message message, Socket socket) throws Exception;
    }

    /** An HTTP message as it was on the wire. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    final ServerSocket listener;
    /** All requests except health checks, in order of arrival. */
    final List<Message> requests = new CopyOnWriteArrayList<>();

    final List<Socket> sockets = new CopyOnWriteArrayList<>();
    /** Connections that the other side has closed. */
    final List<Socket> closedByPeer = new CopyOnWriteArrayList<>();

    /** Runs before each health check is answered. */
    volatile Task beforeHealthCheck = () -> {};

    private final Script script;

    ScriptedPeer(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                daemon(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            while (true) {
                Message message = read(socket.getInputStream());
                if (message.target().equals("/healthz")) {
                    beforeHealthCheck.run();
                    write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                requests.add(message);
                script.handle(message, socket);
            }
        } finally {
            closedByPeer.add(socket);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** A task that runs on its own thread and may fail when its sockets are closed. */
    interface Task {
        void run() throws Exception;
    }

    /** Handles a connection. */
    interface ConnectionHandler {
        void run(Socket socket) throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // expected when the sockets are closed
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Writes a response with a body. */
    static void respond(Socket socket, int status, String headers, String body) throws IOException {
        write(
                socket,
                "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Closes a connection with a reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Reads one message; throws EOFException if the connection ends first. */
    static Message read(InputStream in) throws IOException {
        String startLine = line(in);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        if ("chunked".equals(headers.get("Transfer-Encoding"))) {
            return new Message(startLine, headers, chunks(in));
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        return new Message(startLine, headers, body);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in).split(";")[0], 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new EOFException();
            }
            body.write(chunk);
            if (size == 0) {
                while (!line(in).isEmpty()) {
                    continue; // trailers
                }
                return body.toByteArray();
            }
            line(in);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }
}
