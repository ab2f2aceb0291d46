import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An agent is told to end while a quarter of the servers hang; the settings have a class with a deadline of 6 s. What it
 * takes later than 0.7 s after SIGTERM has to be answered before SIGKILL.
 */
final class LongDeadline {
    public static void main(String[] args) throws Exception {
        Rig.run(args, LongDeadline::ruleHolds);
    }

    private static final class Sent {
        final long at;
        volatile long answeredAt = -1;
        volatile String answer = "none";

        Sent(long at) {
            this.at = at;
        }
    }

    private static boolean ruleHolds(Rig rig) throws Exception {
        boolean[] hanging = {false};
        Set<String> begun = ConcurrentHashMap.newKeySet();
        List<Rig.Nodo> nodos = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            boolean hangs = i == 0;
            // A quarter of the servers hang.
            nodos.add(rig.new Nodo("nodo-" + i, "sala-centro", (nodo, request, connection) -> {
                begun.add(request.header("Request-Id"));
                rig.note(nodo.name + " has " + request.header("Request-Id") + ", which it is told to answer within "
                        + request.header("Request-Timeout-Ms") + " ms");
                if (hangs && hanging[0]) {
                    Rig.sleep(60_000);
                    return null;
                }
                Rig.sleep(50);
                return "done";
            }));
        }
        Rig.Padron padron = rig.new Padron(nodos);
        int port = Rig.freePort();
        Path file = rig.temp.resolve("config.json");
        Rig.replace(file, config(port, padron.port));
        Rig.Agent agent = rig.startAgent("agente-1", file, Map.of());
        agent.awaitReady(port, "/healthz", 20_000);
        Rig.sleep(1_000);

        // 40 connections, each with a request every 400 ms while it stays open.
        Map<String, Sent> sent = new ConcurrentHashMap<>();
        for (int i = 0; i < 40; i++) {
            int number = i;
            Rig.daemon(() -> {
                Rig.sleep(10L * number);
                try (Rig.Client client = new Rig.Client(port)) {
                    while (true) {
                        String id = Rig.newId();
                        client.write(Rig.ascii(Rig.head("informe-anual", "mitla", true, null, id, 4_800, 0)));
                        Sent request = new Sent(rig.millis());
                        sent.put(id, request);
                        rig.note("client: " + id + " is sent");
                        try {
                            Rig.Message answer = client.answer(8_000);
                            request.answer = String.valueOf(answer.status);
                            request.answeredAt = rig.millis();
                            rig.note("client: " + id + " is answered " + answer.status);
                            if (answer.header("Connection").equalsIgnoreCase("close")) {
                                return;
                            }
                        } catch (IOException e) {
                            request.answer = String.valueOf(e);
                            rig.note("client: " + id + " is not answered, " + e);
                            return;
                        }
                        Rig.sleep(350);
                    }
                }
            });
        }
        Rig.sleep(2_000);
        hanging[0] = true;
        rig.note("nodo-0 hangs from now on");
        long termAt = rig.millis();
        if (rig.trouble) {
            agent.signal("TERM");
        }
        boolean ended = rig.trouble && agent.awaitEnd(termAt + 3_000 + 700 + 200 - rig.millis());
        if (!rig.trouble) {
            Rig.sleep(8_000);
        }
        long killAt = rig.millis();
        if (rig.trouble && !ended) {
            agent.signal("KILL");
            agent.awaitEnd(5_000);
        }
        Rig.sleep(500);
        agent.noteLog();
        int counted = 0;
        int lost = 0;
        for (Map.Entry<String, Sent> entry : sent.entrySet()) {
            Sent request = entry.getValue();
            // Only what a server had: the agent has read it. Without the disruption, only what has had its time.
            if (!begun.contains(entry.getKey())
                    || request.at < termAt + 750
                    || !rig.trouble && request.at > killAt - 4_800 - 500) {
                continue;
            }
            counted++;
            long late = request.answeredAt - request.at - 4_800 - 500;
            if (request.answeredAt < 0 || late > 0) {
                lost++;
                rig.note("BROKEN: " + entry.getKey() + ", sent " + (request.at - termAt)
                        + " ms after SIGTERM, had no final answer at the kill " + (killAt - termAt)
                        + " ms after SIGTERM: " + request.answer);
            }
        }
        rig.note(counted + " requests counted that came later than 0.75 s after SIGTERM and were sent on; " + lost
                + " of them lost");
        if (counted < 5) {
            throw new Rig.CannotRun("too few requests were taken after SIGTERM");
        }
        return lost == 0;
    }

    private static String config(int port, int discovery) {
        return Rig.config(
                port,
                discovery,
                "automatic",
                List.of(
                        Rig.type("consulta-saldo", "safe", 500, 2_000, ""),
                        Rig.type("informe-anual", "safe", 4_000, 6_000, "")),
                List.of("oaxaca-centro", "santa-lucia", "mitla", "etla"));
    }
}
