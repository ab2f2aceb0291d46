import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that ask for long answers, one request at a time on a connection each, and read them as they come. */
final class LongAnswers {
    /** What the targets of such requests contain. */
    static final String TARGET = "informe";

    static final long TRY_MILLIS = 1_600;

    /** One request. Times are those of the rig; 0 for what has not happened. */
    static final class Asked {
        final String id = Rig.newId();
        /** Whether the client gave up waiting, so that the end is none of the agent's. */
        volatile boolean givenUp;
        /** When its last byte was written. */
        volatile long writtenMillis;
        /** When the head and a first part of the answer had come. */
        volatile long begunMillis;

        volatile int bytes;
        volatile long endMillis;
        /** Why the answer ended before it was whole; null if it has not. */
        volatile String broken;

        volatile int status;
    }

    final AtomicInteger whole = new AtomicInteger();
    /** Answers of status 200 that ended before they were whole. */
    final List<Asked> cut = new ArrayList<>();

    private final Rig rig;
    private final int port;
    private final long restMillis;
    private volatile boolean stopped;
    /** Whether clients use the connections that they have, and open no others. */
    volatile boolean opensNoConnections;

    private final List<Thread> threads = new ArrayList<>();

    LongAnswers(Rig rig, int port, int clients, long restMillis) {
        this.rig = rig;
        this.port = port;
        this.restMillis = restMillis;
        for (int i = 0; i < clients; i++) {
            long offset = i * 137L;
            threads.add(Rig.thread("long answers " + i, () -> run(offset)));
        }
    }

    void stop(long millis) throws InterruptedException {
        stopped = true;
        long until = rig.millis() + millis;
        for (Thread thread : threads) {
            thread.join(Math.max(1, until - rig.millis()));
        }
    }

    private void run(long offset) {
        Rig.sleep(offset);
        Rig.Client client = null;
        while (!stopped) {
            Asked asked = new Asked();
            if (client == null && opensNoConnections) {
                return;
            }
            try {
                client = client == null ? new Rig.Client(port) : client;
                client.socket.setSoTimeout(20_000);
                String head = Rig.head("GET", "consulta-saldo", asked.id, "mitla", TRY_MILLIS, "")
                        .replaceFirst("/consulta-saldo", "/consulta-saldo?" + TARGET + "=1");
                client.out.write((head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                asked.writtenMillis = rig.millis();
                if (read(client, asked)) {
                    client.close();
                    client = null;
                }
                whole.addAndGet(asked.status == 200 ? 1 : 0);
            } catch (IOException e) {
                asked.endMillis = rig.millis();
                asked.broken = e.toString();
                asked.givenUp = e instanceof java.net.SocketTimeoutException;
                if (asked.begunMillis > 0) {
                    synchronized (cut) {
                        cut.add(asked);
                    }
                }
                close(client);
                client = null;
                Rig.sleep(50);
            }
            Rig.sleep(restMillis);
        }
        close(client);
    }

    /** Whether the agent ended an answer whose first bytes had come in the request's time. */
    static boolean isCutOff(Asked asked) {
        return !asked.givenUp && asked.begunMillis - asked.writtenMillis <= TRY_MILLIS;
    }

    /** Reads an answer whose length its head tells; returns whether the agent says that it closes the connection. */
    private boolean read(Rig.Client client, Asked asked) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = client.in.read();
            if (b < 0) {
                throw new EOFException("the connection ended before the answer");
            }
            head.append((char) b);
        }
        String[] lines = head.toString().split("\r\n");
        asked.status = Integer.parseInt(lines[0].split(" ")[1]);
        long length = 0;
        boolean closes = false;
        for (String line : lines) {
            String lower = line.toLowerCase(java.util.Locale.ROOT);
            length = lower.startsWith("content-length:") ? Long.parseLong(lower.substring(15).trim()) : length;
            closes |= lower.startsWith("connection:") && lower.contains("close");
        }
        byte[] part = new byte[16 << 10];
        while (asked.bytes < length) {
            int read = client.in.read(part, 0, (int) Math.min(part.length, length - asked.bytes));
            if (read < 0) {
                throw new EOFException("the connection ended after " + asked.bytes + " of " + length + " bytes");
            }
            asked.bytes += read;
            if (asked.status == 200 && asked.begunMillis == 0) {
                asked.begunMillis = rig.millis();
            }
        }
        asked.endMillis = rig.millis();
        return closes;
    }

    private static void close(Rig.Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // it is closed
        }
    }
}
