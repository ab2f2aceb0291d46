import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Steady traffic of cuentas-agua-oaxaca to one agent: all classes and municipios in turn. */
final class Load {
    private static final String[] CLASSES = {"consulta-saldo", "datos-contacto", "pago-recibo", "reconexion"};
    private static final long[] TRY_MILLIS = {1_600, 1_200, 1_600, 800};

    final AtomicInteger ok = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    /** Requests whose connection ended without an answer. */
    final AtomicInteger broken = new AtomicInteger();
    /** Requests that had no answer half a second after their time. */
    final AtomicInteger unanswered = new AtomicInteger();
    final AtomicInteger noConnection = new AtomicInteger();
    private final AtomicLong next = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;
    private volatile int port;
    private final Rig rig;
    private final String[] tenants;

    Load(Rig rig, int port, int clients, double perSecond, String[] tenants) {
        this.tenants = tenants;
        this.rig = rig;
        this.port = port;
        long periodNanos = (long) (1e9 * clients / perSecond);
        for (int i = 0; i < clients; i++) {
            long offset = periodNanos * i / clients;
            threads.add(Rig.thread("client " + i, () -> run(offset, periodNanos)));
        }
    }

    void port(int newPort) {
        port = newPort;
    }

    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(10_000);
        }
    }

    String summary() {
        return "ok " + ok + ", refused " + refused + ", failed " + failed + ", closed without an answer " + broken
                + ", never answered " + unanswered + ", no connection " + noConnection;
    }

    private void run(long offset, long periodNanos) {
        Rig.Client client = null;
        int clientPort = 0;
        long due = System.nanoTime() + offset;
        while (!stopped) {
            Rig.sleep((due - System.nanoTime()) / 1_000_000);
            due = Math.max(due + periodNanos, System.nanoTime() - periodNanos);
            long number = next.getAndIncrement();
            int type = (int) (number % CLASSES.length);
            String tenant = tenants[(int) (number / CLASSES.length % tenants.length)];
            String id = Rig.newId();
            boolean keyed = type >= 2;
            boolean sent = false;
            try {
                if (client == null || clientPort != port) {
                    clientPort = port;
                    client = new Rig.Client(port);
                }
                client.socket.setSoTimeout((int) TRY_MILLIS[type] + 550);
                String head = Rig.head(keyed ? "POST" : "GET", CLASSES[type], id, tenant, TRY_MILLIS[type],
                        keyed ? "\r\nIdempotency-Key: " + Rig.newId() : "");
                if (keyed) {
                    Rig.write(client.out, head, new byte[64]);
                } else {
                    client.out.write((head + "\r\n\r\n").getBytes(java.nio.charset.StandardCharsets.US_ASCII));
                }
                sent = true;
                Rig.Message answer = Rig.read(client.in);
                if (answer == null) {
                    throw new java.io.EOFException();
                }
                int status = answer.status();
                (status == 200 ? ok : status == 429 || status == 503 ? refused : failed).incrementAndGet();
                if (answer.header("Connection").equalsIgnoreCase("close")) {
                    client.close();
                    client = null;
                }
            } catch (java.net.SocketTimeoutException e) {
                if (sent) {
                    unanswered.incrementAndGet();
                    rig.note("request " + id + " of " + CLASSES[type] + ", " + TRY_MILLIS[type]
                            + " ms: no answer half a second after its time");
                }
                client = close(client);
            } catch (IOException e) {
                (sent ? broken : noConnection).incrementAndGet();
                client = close(client);
                Rig.sleep(50);
            }
        }
        close(client);
    }

    private static Rig.Client close(Rig.Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // it is closed
        }
        return null;
    }
}
