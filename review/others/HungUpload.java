import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/**
 * One of five servers hangs for 6 s, and just then clients send requests with bodies of 5 to 8 MB. Each request whose
 * last byte the client could write has to get a final answer before it counts as lost.
 */
final class HungUpload {
    private static final int REQUESTS = 16;
    private static final int TIMEOUT_MS = 1_500;
    /** The time that the pages allow after the client's own: 0.5 s, and 50 ms on sockets. */
    private static final int ALLOWED_LATE_MS = 550;

    private static final int HANG_MS = 6_000;
    private static final int WATCHED_MS = 12_000;

    public static void main(String[] args) throws Exception {
        Rig.run(args, HungUpload::ruleHolds);
    }

    private static final class Sent {
        final String id = Rig.newId();
        int bytes;
        volatile long lastByteAt = -1;
        volatile long answeredAt = -1;
        volatile String answer = "none";
    }

    private static boolean ruleHolds(Rig rig) throws Exception {
        List<Rig.Nodo> nodos = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            nodos.add(rig.new Nodo("nodo-" + i, "sala-centro", (nodo, request, connection) -> {
                rig.note(nodo.name + " runs " + request.header("Request-Id") + ", body of " + request.body.length);
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
                        List.of(Rig.type("pago-recibo", "keyed", 500, 2_000, ",\"key-scope\":\"zone\",\"window-us\":4000000")),
                        List.of("oaxaca-centro", "santa-lucia", "mitla", "etla")));
        Rig.Agent agent = rig.startAgent("agente-1", file, Map.of());
        agent.awaitReady(port, "/healthz", 20_000);
        Rig.sleep(1_000);

        if (rig.trouble) {
            nodos.get(0).hangs = true;
            rig.note("nodo-0 hangs from now on, for " + HANG_MS + " ms");
            Rig.daemon(() -> {
                Rig.sleep(HANG_MS);
                nodos.get(0).hangs = false;
                rig.note("nodo-0 goes on");
            });
        }
        List<Sent> sent = new CopyOnWriteArrayList<>();
        CountDownLatch done = new CountDownLatch(REQUESTS);
        for (int i = 0; i < REQUESTS; i++) {
            Sent request = new Sent();
            request.bytes = (5 + i % 4) << 20;
            sent.add(request);
            int number = i;
            Rig.daemon(() -> {
                try {
                    Rig.sleep(10L * number);
                    send(rig, port, request);
                } finally {
                    done.countDown();
                }
            });
        }
        done.await();
        agent.noteLog();
        int taken = 0;
        int lost = 0;
        for (Sent request : sent) {
            if (request.lastByteAt < 0) {
                continue; // the agent has not taken it
            }
            taken++;
            if (request.answeredAt < 0 || request.answeredAt - request.lastByteAt > TIMEOUT_MS + ALLOWED_LATE_MS) {
                lost++;
                rig.note("BROKEN: " + request.id + ", whose last of " + request.bytes + " bytes was written at "
                        + request.lastByteAt + " ms, had no final answer " + (TIMEOUT_MS + ALLOWED_LATE_MS)
                        + " ms later; what came: " + request.answer
                        + (request.answeredAt < 0
                                ? ""
                                : ", " + (request.answeredAt - request.lastByteAt) + " ms after its last byte"));
            }
        }
        rig.note(taken + " of " + REQUESTS + " requests taken, " + lost + " of them lost");
        if (taken < REQUESTS / 2) {
            throw new Rig.CannotRun("too few requests were taken");
        }
        return lost == 0;
    }

    private static void send(Rig rig, int port, Sent request) throws Exception {
        try (Rig.Client client = new Rig.Client(port)) {
            Rig.daemon(() -> {
                client.write(Rig.ascii(Rig.head(
                        "pago-recibo", "mitla", false, Rig.newId(), request.id, TIMEOUT_MS, request.bytes)));
                client.write(new byte[request.bytes]);
                request.lastByteAt = rig.millis();
                rig.note("client: the last byte of " + request.id + " is written, body of " + request.bytes);
            });
            try {
                request.answer = String.valueOf(client.answer(WATCHED_MS).status);
                request.answeredAt = rig.millis();
            } catch (IOException e) {
                request.answer = "none within " + WATCHED_MS + " ms, " + e;
            }
            rig.note("client: the answer to " + request.id + ": " + request.answer);
        }
    }
}
