import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/**
 * 1,000 connections arrive that write half of a head and stay. Meanwhile usual clients send requests on new connections.
 * Each of these has to get its final answer, or a close with nothing read.
 */
final class HalfWritten {
    private static final int HALF_WRITTEN = 1_000;
    private static final int REQUESTS = 60;
    private static final int TIMEOUT_MS = 1_500;
    /** The time that the pages allow after the client's own: 0.5 s, and 50 ms on sockets. */
    private static final int ALLOWED_LATE_MS = 550;

    private static final int WATCHED_MS = 10_000;

    public static void main(String[] args) throws Exception {
        Rig.run(args, HalfWritten::ruleHolds);
    }

    private static final class Sent {
        final String id = Rig.newId();
        volatile long lastByteAt = -1;
        volatile long endedAt = -1;
        volatile String end = "nothing";
    }

    private static boolean ruleHolds(Rig rig) throws Exception {
        List<Rig.Nodo> nodos = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodos.add(rig.new Nodo("nodo-" + i, "sala-centro", (nodo, request, connection) -> {
                Rig.sleep(20);
                return "done";
            }));
        }
        Rig.Padron padron = rig.new Padron(nodos);
        int port = Rig.freePort();
        Path file = rig.temp.resolve("config.json");
        Rig.replace(
                file,
                Rig.config(
                                port,
                                padron.port,
                                "automatic",
                                List.of(Rig.type("consulta-saldo", "safe", 500, 2_000, "")),
                                List.of("oaxaca-centro", "santa-lucia", "mitla", "etla"))
                        .replace("\"sockets\":1024", "\"sockets\":512"));
        Rig.Agent agent = rig.startAgent("agente-1", file, Map.of());
        agent.awaitReady(port, "/healthz", 20_000);
        Rig.sleep(1_000);

        if (rig.trouble) {
            rig.note(HALF_WRITTEN + " connections arrive, each writes half of a head and stays");
            for (int i = 0; i < HALF_WRITTEN; i++) {
                int number = i;
                Rig.daemon(() -> {
                    Rig.sleep(number);
                    try (Rig.Client client = new Rig.Client(port)) {
                        client.write(Rig.ascii("GET /consulta-saldo HTTP/1.1\r\nHost: origin.svc\r\nReque"));
                        client.answer(60_000);
                    }
                });
            }
            Rig.sleep(HALF_WRITTEN);
        }
        List<Sent> sent = new CopyOnWriteArrayList<>();
        CountDownLatch done = new CountDownLatch(REQUESTS);
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            Rig.daemon(() -> {
                try {
                    Rig.sleep(50L * number);
                    send(rig, port, sent);
                } finally {
                    done.countDown();
                }
            });
        }
        done.await();
        agent.noteLog();
        int lost = 0;
        for (Sent request : sent) {
            long took = request.endedAt < 0 ? -1 : request.endedAt - request.lastByteAt;
            rig.note(request.id + ": " + request.end + " after " + took + " ms");
            if (request.endedAt < 0 || took > TIMEOUT_MS + ALLOWED_LATE_MS) {
                lost++;
                rig.note("BROKEN: " + request.id + " had no final answer and no close "
                        + (TIMEOUT_MS + ALLOWED_LATE_MS) + " ms after its last byte");
            }
        }
        rig.note(sent.size() + " requests written whole to accepted connections, " + lost + " of them lost");
        if (sent.size() < REQUESTS / 2) {
            throw new Rig.CannotRun("too few requests were taken");
        }
        return lost == 0;
    }

    private static void send(Rig rig, int port, List<Sent> sent) throws Exception {
        try (Rig.Client client = new Rig.Client(port)) {
            Sent request = new Sent();
            client.write(Rig.ascii(Rig.head("consulta-saldo", "mitla", true, null, request.id, TIMEOUT_MS, 0)));
            request.lastByteAt = rig.millis();
            sent.add(request);
            try {
                request.end = String.valueOf(client.answer(WATCHED_MS).status);
                request.endedAt = rig.millis();
            } catch (java.net.SocketTimeoutException e) {
                request.end = "nothing";
            } catch (IOException e) {
                request.end = "closed, " + e;
                request.endedAt = rig.millis();
            }
        }
    }
}
