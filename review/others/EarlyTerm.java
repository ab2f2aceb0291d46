import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** In an upgrade, while discovery is down, the new process gets SIGTERM before its yes. It has to end. */
final class EarlyTerm {
    public static void main(String[] args) throws Exception {
        Rig.run(args, EarlyTerm::ruleHolds);
    }

    private static boolean ruleHolds(Rig rig) throws Exception {
        List<Rig.Nodo> nodos = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            nodos.add(rig.new Nodo("nodo-" + i, "sala-centro", (nodo, request, connection) -> "done"));
        }
        Rig.Padron padron = rig.new Padron(nodos);
        int port = Rig.freePort();
        int doorA = Rig.freePort();
        int doorB = Rig.freePort();
        Path file = rig.temp.resolve("config.json");
        Rig.replace(file, Rig.config(port, padron.port, "automatic",
                List.of(Rig.type("consulta-saldo", "safe", 500, 2_000, "")), List.of("mitla", "etla")));
        Path common = Files.createDirectories(rig.temp.resolve("common"));
        Rig.Agent a = rig.startAgent("first", file,
                Map.of("TMPDIR", common.toString(), "RELAY_MANAGEMENT", "127.0.0.1:" + doorA));
        a.awaitReady(doorA, "/healthcheck", 20_000);
        Rig.sleep(1_000);
        if (rig.trouble) {
            padron.silenceAll();
        }
        Rig.Agent b = rig.startAgent("second", file,
                Map.of("TMPDIR", common.toString(), "RELAY_MANAGEMENT", "127.0.0.1:" + doorB));
        if (rig.trouble) {
            while (true) {
                try (Rig.Client client = new Rig.Client(doorB)) {
                    int status = client.call("GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n", 1000).status;
                    rig.note("second: " + status);
                    break;
                } catch (java.io.IOException e) {
                    Rig.sleep(2);
                }
            }
        } else {
            b.awaitReady(doorB, "/healthcheck", 10_000);
        }
        b.signal("TERM");
        boolean ended = b.awaitEnd(3_700);
        if (!ended) {
            for (int i = 0; i < 10; i++) {
                // An answer of 503 is the second process's, which should have gone.
                try (Rig.Client client = new Rig.Client(port)) {
                    rig.note("health check at the clients' address: "
                            + client.call("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 1000).status);
                }
            }
            b.awaitEnd(10_000);
        }
        b.noteLog();
        return ended;
    }
}
