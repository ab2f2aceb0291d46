import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Half-written connections take all that the agent accepts. Clients send two requests with bodies of 100 kB
 * on a new connection, one behind the other, and leave after 0.15 s. No attempt may begin later than 0.1 s after its client's close.
 */
final class LeftUpload {
    private static final int ROUNDS = 2;
    private static final int HALF_WRITTEN = 150;
    private static final int REQUESTS = 30;
    private static final int BODY_BYTES = 100_000;

    public static void main(String[] args) throws Exception {
        Rig.run(args, LeftUpload::ruleHolds);
    }

    private static boolean ruleHolds(Rig rig) throws Exception {
        Map<String, Long> closedAt = new ConcurrentHashMap<>();
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        List<Rig.Nodo> nodos = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodos.add(rig.new Nodo("nodo-" + i, "sala-centro", (nodo, request, connection) -> {
                runs.incrementAndGet();
                Long closed = closedAt.get(request.header("Request-Id"));
                // Longer by the 50 ms of every limit, and by 50 ms for the body itself.
                if (closed != null && rig.millis() - closed > 200) {
                    broken.incrementAndGet();
                    rig.note("BROKEN: " + nodo.name + " has all of " + request.header("Request-Id") + ", "
                            + (rig.millis() - closed) + " ms after its client's close");
                }
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
                                List.of(Rig.type(
                                        "pago-recibo",
                                        "keyed",
                                        500,
                                        2_000,
                                        ",\"key-scope\":\"zone\",\"window-us\":4000000")),
                                List.of("oaxaca-centro", "santa-lucia", "mitla", "etla"))
                        .replace("\"sockets\":1024", "\"sockets\":256"));
        Rig.Agent agent = rig.startAgent("agente-1", file, Map.of());
        agent.awaitReady(port, "/healthz", 20_000);
        Rig.sleep(1_000);
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; rig.trouble && i < HALF_WRITTEN; i++) {
                Rig.daemon(() -> {
                    try (Rig.Client client = new Rig.Client(port)) {
                        client.write(Rig.ascii("GET /pago-recibo HTTP/1.1\r\nHost"));
                        Rig.sleep(3_000);
                    }
                });
            }
            Rig.sleep(100);
            CountDownLatch done = new CountDownLatch(REQUESTS);
            for (int i = 0; i < REQUESTS; i++) {
                Rig.daemon(() -> {
                    String id = Rig.newId();
                    try (Rig.Client client = new Rig.Client(port)) {
                        client.write(Rig.ascii(
                                Rig.head("pago-recibo", "mitla", false, Rig.newId(), id, 1_500, BODY_BYTES)));
                        client.write(new byte[BODY_BYTES]);
                        // A second one behind it, before the answer to the first.
                        client.write(Rig.ascii(Rig.head(
                                "pago-recibo", "mitla", false, Rig.newId(), Rig.newId(), 1_500, BODY_BYTES)));
                        client.write(new byte[BODY_BYTES]);
                        Rig.sleep(150);
                    } catch (IOException e) {
                        rig.note("client: " + e);
                    } finally {
                        closedAt.put(id, rig.millis());
                        done.countDown();
                    }
                });
            }
            done.await();
            Rig.sleep(3_500);
        }
        agent.noteLog();
        rig.note(closedAt.size() + " requests whose clients left, " + runs + " reached a server, " + broken
                + " of them later than 0.2 s after the close");
        return broken.get() == 0;
    }
}
