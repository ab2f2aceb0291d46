package gatefront.agent;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A server that behaves as the header {@code Do} of each request says, and keeps what has reached it. */
final class SoakServer implements Closeable {
    /** What a server does with a request. */
    enum Behaviour {
        /** Responds at once. */
        SERVE,
        /** Says after a while that it has not begun. */
        TURN_AWAY,
        /** Responds with a head at once and the body, without a length, after a while. */
        LATE_BODY,
        /** Reads the body at a pace, and responds then. */
        READ_SLOWLY,
        /** Reads a part of the body, and then nothing more. */
        STOP_READING
    }

    /** A request whose head has arrived; a request that was turned away has not run. */
    record Arrival(String id, long headNanos, Behaviour behaviour) {}

    static final byte[] LATE_BODY = new byte[150_000];
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 8 << 10;
    private static final int PIECE_BYTES = 8 << 10;

    private final ServerSocket listener = new ServerSocket();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

    SoakServer() throws IOException {
        Arrays.fill(LATE_BODY, (byte) 'b');
        listener.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        ScriptedPeer.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                ScriptedPeer.daemon(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), PIECE_BYTES);
            while (true) {
                Map<String, String> head = readHead(in);
                if (head.containsKey("Request-Id")) {
                    handle(head, in, socket);
                } else {
                    ScriptedPeer.respond(socket, 200, "", "");
                }
            }
        }
    }

    private void handle(Map<String, String> head, InputStream in, Socket socket) throws Exception {
        Behaviour behaviour = Behaviour.valueOf(head.getOrDefault("Do", "SERVE"));
        long valueOfBehaviour = Long.parseLong(head.getOrDefault("Do-Value", "0"));
        arrivals.add(new Arrival(head.get("Request-Id"), System.nanoTime(), behaviour));
        switch (behaviour) {
            case SERVE -> {
                readBody(head, in, Long.MAX_VALUE, Long.MAX_VALUE);
                ScriptedPeer.respond(socket, 200, "", "served");
            }
            case TURN_AWAY -> {
                readBody(head, in, Long.MAX_VALUE, Long.MAX_VALUE);
                TimeUnit.MILLISECONDS.sleep(valueOfBehaviour);
                ScriptedPeer.respond(socket, 503, "Not-Started: 1\r\n", "");
            }
            case LATE_BODY -> {
                ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                TimeUnit.MILLISECONDS.sleep(valueOfBehaviour);
                socket.getOutputStream().write(LATE_BODY);
                socket.close();
            }
            case READ_SLOWLY -> {
                readBody(head, in, valueOfBehaviour, Long.MAX_VALUE);
                ScriptedPeer.respond(socket, 200, "", "served");
            }
            case STOP_READING -> {
                readBody(head, in, Long.MAX_VALUE, valueOfBehaviour);
                TimeUnit.HOURS.sleep(1);
            }
            default -> throw new AssertionError(behaviour);
        }
    }

    private static Map<String, String> readHead(InputStream in) throws IOException {
        Map<String, String> head = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(": ");
            head.put(colon < 0 ? "" : line.substring(0, colon), colon < 0 ? line : line.substring(colon + 2));
        }
        return head;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            line.append((char) c);
        }
        return line.toString().stripTrailing();
    }

    /** Reads a body at most at a pace, and only so much of it. */
    private static void readBody(Map<String, String> head, InputStream in, long bytesPerSecond, long stopAt)
            throws IOException {
        long startNanos = System.nanoTime();
        long taken = 0;
        if (!head.containsKey("Transfer-Encoding")) {
            long length = Long.parseLong(head.getOrDefault("Content-Length", "0"));
            while (taken < Math.min(length, stopAt)) {
                taken += skip(in, Math.min(PIECE_BYTES, length - taken));
                pause(startNanos, taken, bytesPerSecond);
            }
            return;
        }
        for (int size = Integer.parseInt(readLine(in), 16);
                size > 0 && taken < stopAt;
                size = Integer.parseInt(readLine(in), 16)) {
            taken += skip(in, size);
            readLine(in);
            pause(startNanos, taken, bytesPerSecond);
        }
        if (taken < stopAt) {
            readLine(in);
        }
    }

    private static long skip(InputStream in, long bytes) throws IOException {
        in.skipNBytes(bytes);
        return bytes;
    }

    private static void pause(long startNanos, long taken, long bytesPerSecond) {
        double dueNanos = TimeUnit.SECONDS.toNanos(1) * (double) taken / bytesPerSecond;
        LockSupport.parkNanos(startNanos + (long) dueNanos - System.nanoTime());
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
