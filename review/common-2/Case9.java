import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** Clients pipeline a small request and one with a large body. */
final class Case9 {
    private static final int BODY_BYTES = 512 << 10;
    private static final long TRY_MILLIS = 1_600;
    private static final int ROUNDS = 10;

    private Case9() {}

    public static void main(String[] args) {
        Rig.main(Case9::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Rig.Backend> backends = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            backends.add(new Rig.Backend(rig, "s-0000001" + i, i % 2 == 0 ? "sala-centro" : "sala-norte", i));
            backends.get(i).workMillis = 60;
        }
        Rig.Discovery discovery = new Rig.Discovery(rig, backends);
        Path config = rig.config("config.json", 0, discovery.server.address(), Rig.list(backends), Settings.oaxaca());
        Rig.Agent agent =
                new Rig.Agent(rig, "agente-1", config, null, Files.createDirectory(Rig.WORK.resolve("tmp")), null);
        if (!agent.awaitReady(30_000)) {
            agent.noteLog(20);
            return Rig.COULD_NOT_RUN;
        }
        int lost = 0;
        int written = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Rig.sleep(500);
            try (Rig.Client client = new Rig.Client(agent.port)) {
                client.socket.setSoTimeout((int) TRY_MILLIS + 550);
                String small = Rig.newId();
                String large = Rig.newId();
                AtomicBoolean whole = new AtomicBoolean();
                byte[] first = (Rig.head("GET", "consulta-saldo", small, "mitla", TRY_MILLIS, "") + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
                String head = Rig.head(
                        "POST", "pago-recibo", large, "mitla", TRY_MILLIS, "\r\nIdempotency-Key: " + Rig.newId());
                client.out.write(first);
                if (!Rig.TROUBLE) {
                    answer(rig, client, small); // one request at a time
                }
                Thread writer = Rig.thread("writer", () -> {
                    try {
                        Rig.write(client.out, head, new byte[BODY_BYTES]);
                        whole.set(true);
                        rig.note("request " + large + ": its last byte is written");
                    } catch (IOException e) {
                        rig.note("request " + large + ": not written whole, " + e);
                    }
                });
                boolean firstAnswered = !Rig.TROUBLE || answer(rig, client, small);
                boolean answered = firstAnswered && answer(rig, client, large);
                writer.join(3_000);
                written += whole.get() ? 1 : 0;
                if (whole.get() && !answered) {
                    lost++;
                    rig.note("request " + large + ": BROKEN, it was written whole and the agent has "
                            + "ended the connection or left it without an answer");
                }
            }
        }
        int ran = backends.stream().mapToInt(Rig.Backend::count).sum();
        rig.note(written + " large requests written whole, " + lost + " lost; the backends got " + ran + " requests");
        agent.noteLog(20);
        return lost > 0 ? Rig.BROKEN : written == 0 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }

    /** Reads one answer; false if the connection ends or nothing comes until half a second after the request's time. */
    private static boolean answer(Rig rig, Rig.Client client, String id) {
        try {
            Rig.Message answer = Rig.read(client.in);
            rig.note("request " + id + ": " + (answer == null ? "the connection has ended" : answer.start
                    + (answer.header("Connection").isEmpty() ? "" : ", Connection: " + answer.header("Connection"))));
            return answer != null;
        } catch (SocketException e) {
            rig.note("request " + id + ": " + e);
            return false;
        } catch (IOException e) {
            rig.note("request " + id + ": no whole answer, " + e);
            return false;
        }
    }
}
