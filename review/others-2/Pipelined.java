import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send many requests at once on each connection while the agent is told to end. */
final class Pipelined {
    private static final int CONNECTIONS = 64;
    private static final int AT_ONCE = 10;
    private static final long TRY_MILLIS = 1_600;
    /** SIGKILL comes no sooner after SIGTERM: the longest deadline of the settings, and 0.7 s. */
    private static final long KILL_MILLIS = 2_700;

    /** Planned restarts, one after the other, until something is lost. */
    private static final int RESTARTS = 9;

    private final Rig rig;
    private volatile int port;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean stopped;
    private volatile long termMillis = Long.MAX_VALUE / 2;

    private Pipelined(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(Pipelined::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Rig.Backend> backends = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            backends.add(new Rig.Backend(rig, "s-000000" + (10 + i), i % 2 == 0 ? "sala-centro" : "sala-norte", i / 7));
            backends.get(i).workMillis = 60;
        }
        Rig.Discovery discovery = new Rig.Discovery(rig, backends);
        Path config = rig.config("config.json", 0, discovery.server.address(), Rig.list(backends), Settings.oaxaca());
        Pipelined clients = new Pipelined(rig);
        List<Thread> threads = new ArrayList<>();
        for (int restart = 0; clients.lost.get() == 0 && restart < (Rig.TROUBLE ? RESTARTS : 1); restart++) {
            Rig.Agent agent = new Rig.Agent(
                    rig, "agente-1", config, null, Files.createDirectory(Rig.WORK.resolve("tmp-" + restart)), null);
            if (!agent.awaitReady(30_000)) {
                agent.noteLog(20);
                return Rig.COULD_NOT_RUN;
            }
            clients.termMillis = Long.MAX_VALUE / 2;
            clients.port = agent.port;
            for (int i = threads.size(); i < CONNECTIONS; i++) {
                threads.add(Rig.thread("client " + i, clients::send));
            }
            Rig.sleep(3_000);
            rig.note(clients.answered + " answered, " + clients.lost + " lost");
            if (clients.answered.get() == 0) {
                return Rig.COULD_NOT_RUN;
            }
            if (Rig.TROUBLE) {
                clients.termMillis = rig.millis();
                agent.signal("TERM");
                agent.awaitEnd(6_000);
            } else {
                Rig.sleep(20_000);
            }
            rig.note(clients.answered + " answered, " + clients.lost + " lost");
        }
        clients.stopped = true;
        for (Thread thread : threads) {
            thread.join(4_000);
        }
        return clients.lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Sends requests, many at once, and reads their answers in turn. */
    private void send() {
        Rig.Client client = null;
        while (!stopped) {
            String[] ids = new String[AT_ONCE];
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < AT_ONCE; i++) {
                ids[i] = Rig.newId();
                boolean keyed = i % 4 == 3;
                requests.append(Rig.head(
                                keyed ? "POST" : "GET",
                                keyed ? "pago-recibo" : "consulta-saldo",
                                ids[i],
                                "mitla",
                                TRY_MILLIS,
                                keyed ? "\r\nIdempotency-Key: " + Rig.newId() + "\r\nContent-Length: 64" : ""))
                        .append("\r\n\r\n")
                        .append(keyed ? "x".repeat(64) : "");
            }
            int got = 0;
            boolean said = false;
            long writtenMillis = 0;
            long firstMillis = 0;
            String end = "the connection has ended";
            try {
                client = client == null ? new Rig.Client(port) : client;
                client.socket.setSoTimeout((int) TRY_MILLIS + 2_000);
                client.out.write(requests.toString().getBytes(StandardCharsets.US_ASCII));
                writtenMillis = rig.millis();
                for (Rig.Message answer; got < AT_ONCE && (answer = Rig.read(client.in)) != null; got++) {
                    firstMillis = got == 0 ? rig.millis() : firstMillis;
                    said = answer.header("Connection").equalsIgnoreCase("close");
                    answered.incrementAndGet();
                }
            } catch (IOException e) {
                end = e.toString();
            }
            if (got < AT_ONCE) {
                judge(ids, got, said, writtenMillis, firstMillis, end);
            }
            if (got < AT_ONCE || said) {
                client = close(client);
                Rig.sleep(20);
            }
        }
        close(client);
    }

    /**
     * Requests without an answer are lost, unless the agent cannot have read them all: the close may have crossed them, or
     * the agent was killed. All were written at once, so where the first was answered after a backend's work, they
     * had all come. Where the agent has said that it closes, the client knows, and nothing is judged; nor is a request whose
     * time is up.
     */
    private void judge(String[] ids, int got, boolean said, long writtenMillis, long firstMillis, String end) {
        long now = rig.millis();
        boolean judged = got > 0 && firstMillis - writtenMillis >= 20 && !said && now - termMillis < KILL_MILLIS
                && now - writtenMillis < TRY_MILLIS;
        if (judged) {
            lost.addAndGet(ids.length - got);
            rig.note("BROKEN: " + ids.length + " requests were written at once, " + (now - writtenMillis) + " ms ago; " + got
                    + " were answered, the first after " + (firstMillis - writtenMillis) + " ms, the last one without "
                    + "Connection: close; then " + end + ", " + (now - termMillis) + " ms after SIGTERM; first request "
                    + "without an answer: " + ids[got] + (got % 4 == 3 ? ", a pago-recibo" : ""));
        }
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
