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

/** A small peer on a loopback port that does with each message what the test's script says. */
final class ScriptedPeer implements Closeable {
    /** What to do with a message; returning without an answer leaves the peer silent. */
    interface Script {
        void handle(Message message, Socket socket) throws Exception;
    }

    /** One HTTP message as it stood on the wire. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String target() {
            return first.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    final ServerSocket listener;
    /** All requests but health checks, in the order of their arrival. */
    final List<Message> requests = new CopyOnWriteArrayList<>();

    final List<Socket> sockets = new CopyOnWriteArrayList<>();
    /** Connections that the other side has ended. */
    final List<Socket> ended = new CopyOnWriteArrayList<>();

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
                    write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                requests.add(message);
                script.handle(message, socket);
            }
        } finally {
            ended.add(socket);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Something that runs on a thread of its own and may fail when its sockets close. */
    interface Task {
        void run() throws Exception;
    }

    /** What is done with a connection. */
    interface Serving {
        void run(Socket socket) throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the sockets have been closed
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

    /** An answer with a body. */
    static void answer(Socket socket, int status, String headers, String body) throws IOException {
        write(
                socket,
                "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Ends a connection with a reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Reads one message; EOFException where the connection ends first. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        if ("chunked".equals(headers.get("Transfer-Encoding"))) {
            return new Message(first, headers, chunks(in));
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        return new Message(first, headers, body);
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
