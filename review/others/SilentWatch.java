import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Discovery is asked (not pushed). The open watch falls silent, and right after one of four servers begins to drain.
 * Nothing new may go there later than the grace after the agent counts as told.
 */
final class SilentWatch {
    public static void main(String[] args) throws Exception {
        Rig.run(args, SilentWatch::ruleHolds);
    }

    private static boolean ruleHolds(Rig rig) throws Exception {
        List<Long> atDraining = new CopyOnWriteArrayList<>();
        List<Rig.Nodo> nodos = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            boolean drains = i == 0;
            nodos.add(rig.new Nodo("nodo-" + i, "sala-centro", (nodo, request, connection) -> {
                if (drains) {
                    atDraining.add(rig.millis());
                    rig.note(nodo.name + " gets " + request.header("Request-Id"));
                }
                Rig.sleep(30);
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
                        "subscribe",
                        List.of(Rig.type("consulta-saldo", "safe", 500, 2_000, "")),
                        List.of("oaxaca-centro", "santa-lucia", "mitla", "etla")));
        Rig.Agent agent = rig.startAgent("agente-1", file, Map.of());
        agent.awaitReady(port, "/healthz", 20_000);
        for (int i = 0; i < 4; i++) {
            int number = i;
            Rig.daemon(() -> {
                Rig.sleep(25L * number);
                try (Rig.Client client = new Rig.Client(port)) {
                    while (true) {
                        client.call(Rig.head("consulta-saldo", "mitla", true, null, Rig.newId(), 1_500, 0), 3_000);
                        Rig.sleep(60);
                    }
                }
            });
        }
        Rig.sleep(1_000);
        int seen = padron.watches();
        while (padron.watches() == seen) {
            Rig.sleep(5);
        }
        long watchAt = padron.lastWatchMillis();
        Rig.sleep(200);
        long silentAt = rig.millis();
        if (rig.trouble) {
            padron.silenceOpenConnections();
        }
        Rig.sleep(300);
        padron.set(nodos.get(0), "Terminating");
        // The watch waits 5 s. Told: 6 s after the silence, or 2 s after that wait if that is later.
        long toldAt = Math.max(silentAt + 6_000, watchAt + 5_000 + 2_000) + 50;
        long latest = toldAt + 500 + 50;
        Rig.sleep(latest + 5_000 - rig.millis());
        agent.noteLog();
        long broken = atDraining.stream().filter(at -> at > latest).count();
        rig.note("the agent counts as told at " + toldAt + " ms, the last send is allowed at " + latest + " ms; "
                + "requests to the draining server later than that: " + broken
                + (broken == 0 ? "" : ", the last at " + atDraining.get(atDraining.size() - 1) + " ms"));
        if (atDraining.isEmpty()) {
            throw new Rig.CannotRun("the server that drains got nothing before either");
        }
        return broken == 0;
    }
}
