import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A fifth of the backends fall silent for 6 s in the middle of long answers, and then go on with them. */
final class Case6 {
    private static final int BACKENDS = 10;
    private static final int SILENT = 2;
    private static final long SILENCE_MILLIS = 6_000;

    private Case6() {}

    public static void main(String[] args) {
        Rig.main(Case6::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Rig.Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Rig.Backend backend =
                    new Rig.Backend(rig, "s-000000" + (10 + i), i % 2 == 0 ? "sala-centro" : "sala-norte", i / 6);
            backend.longTarget = LongAnswers.TARGET;
            backend.pieces = 30;
            backend.pieceBytes = 16_000;
            backend.pieceMillis = 50;
            backends.add(backend);
        }
        Rig.Discovery discovery = new Rig.Discovery(rig, backends);
        Path config = rig.config("config.json", 0, discovery.server.address(), Rig.list(backends), Settings.oaxaca());
        Rig.Agent agent =
                new Rig.Agent(rig, "agente-1", config, null, Files.createDirectory(Rig.WORK.resolve("tmp")), null);
        if (!agent.awaitReady(30_000)) {
            agent.noteLog(20);
            return Rig.COULD_NOT_RUN;
        }
        Load load = new Load(rig, agent.port, 16, 100, Settings.OAXACA_TENANTS);
        LongAnswers clients = new LongAnswers(rig, agent.port, 12, 100);
        Rig.sleep(6_000);
        int before = clients.whole.get();
        long silenceMillis = rig.millis();
        if (Rig.TROUBLE) {
            // Any fifth will do; the two with most long answers under way.
            List<Rig.Backend> silent = backends.stream()
                    .sorted(Comparator.comparingLong(Rig.Backend::longAnswersUnderWay).reversed())
                    .limit(SILENT)
                    .toList();
            silenceMillis = rig.millis();
            for (Rig.Backend backend : silent) {
                backend.silentUntilMillis = silenceMillis + SILENCE_MILLIS;
                rig.note(backend.name + " falls silent for " + SILENCE_MILLIS + " ms, "
                        + backend.longAnswersUnderWay() + " long answers under way");
            }
        }
        Rig.sleep(SILENCE_MILLIS + 3_000);
        load.stop();
        clients.stop(5_000);
        agent.noteLog(20);
        rig.note("usual traffic: " + load.summary());
        int broken = 0;
        for (LongAnswers.Asked asked : List.copyOf(clients.cut)) {
            for (Rig.Backend backend : backends) {
                Rig.LongAnswer given = backend.longAnswers.get(asked.id);
                // Judged: the agent had begun to pass it on in its time, and the backend could not go on for the agent's close.
                if (given == null || given.failedMillis == 0 || !LongAnswers.isCutOff(asked)) {
                    continue;
                }
                broken++;
                rig.note("BROKEN: " + asked.id + ": cut off " + (asked.endMillis - silenceMillis)
                        + " ms after the silence began, after " + asked.bytes + " bytes, " + asked.broken + "; "
                        + backend.name + " went on with it at " + (given.failedMillis - silenceMillis)
                        + " ms, to a connection that the agent had closed");
            }
        }
        rig.note(before + " long answers whole before, " + (clients.whole.get() - before) + " since; " + broken
                + " cut off by the agent");
        return broken > 0 ? Rig.BROKEN : before == 0 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }
}
