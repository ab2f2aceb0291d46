import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An agent starts while discovery is slow; then a backend begins to drain, and stays up. */
final class Case10 {
    /** How long a call takes: the site lets one wait for 3 s before it fails. */
    private static final long SLOW_CALL_MILLIS = 2_500;

    private static final long USUAL_CALL_MILLIS = 250;
    /** A change counts as told 6 s after discovery had it, at the latest. */
    private static final long TOLD_MILLIS = 6_000;
    /** The grace of the settings, and 50 ms on sockets. */
    private static final long GRACE_MILLIS = 550;

    private Case10() {}

    public static void main(String[] args) {
        Rig.main(Case10::run);
    }

    private static int run(Rig rig) throws Exception {
        String[] zones = {"atlanta", "dallas", "charlotte"};
        List<Rig.Backend> backends = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            backends.add(new Rig.Backend(rig, "s-0000001" + i, zones[i % 3], i / 3));
            backends.get(i).workMillis = 20;
            backends.get(i).reportsInAnswers = false;
        }
        Rig.Discovery discovery = new Rig.Discovery(rig, backends);
        discovery.callMillis = Rig.TROUBLE ? SLOW_CALL_MILLIS : USUAL_CALL_MILLIS;
        Path config =
                rig.config("config.json", 0, discovery.server.address(), Rig.list(backends), Settings.southernRefill());
        Rig.Agent agent =
                new Rig.Agent(rig, "agente-1", config, null, Files.createDirectory(Rig.WORK.resolve("tmp")), null);
        if (!agent.awaitReady(30_000)) {
            agent.noteLog(20);
            return Rig.COULD_NOT_RUN;
        }
        Rig.Backend drained = backends.get(0);
        long start = rig.millis();
        long drainMillis = -1;
        int answers = 0;
        while (rig.millis() - start < 40_000) {
            if (drainMillis < 0 && rig.millis() - start > 5_000) {
                discovery.change(drained, "Terminating");
                drainMillis = rig.millis();
            }
            try (Rig.Client client = new Rig.Client(agent.port)) {
                client.socket.setSoTimeout(2_000);
                client.out.write((Rig.head("GET", "status", Rig.newId(), "bayou-drug", 1_000, "") + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                Rig.Message answer = Rig.read(client.in);
                answers += answer != null && answer.status() == 200 ? 1 : 0;
            }
            Rig.sleep(50);
        }
        agent.noteLog(40);
        int late = 0;
        int before = 0;
        for (Rig.Arrival arrival : List.copyOf(drained.arrivals)) {
            before += arrival.atMillis() <= drainMillis ? 1 : 0;
            if (arrival.atMillis() > drainMillis + TOLD_MILLIS + GRACE_MILLIS) {
                late++;
                if (late <= 5 || late % 20 == 0) {
                    rig.note("BROKEN: " + drained.name + " got request " + arrival.id() + " "
                            + (arrival.atMillis() - drainMillis) + " ms after discovery had that it drains");
                }
            }
        }
        backends.forEach(backend -> rig.note(backend.name + " got " + backend.count() + " requests"));
        rig.note(answers + " served; " + drained.name + " got " + before + " before it drained, and " + late
                + " later than " + (TOLD_MILLIS + GRACE_MILLIS) + " ms after");
        return late > 0 ? Rig.BROKEN : before == 0 || answers == 0 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }
}
