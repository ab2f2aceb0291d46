import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A planned restart while usual clients ask for answers that take two seconds to write. */
final class Case8 {
    private static final int BACKENDS = 10;
    /** The longest deadline of the settings. */
    private static final long LONGEST_DEADLINE_MILLIS = 2_000;
    /** SIGKILL comes no sooner than this after the longest deadline. */
    private static final long KILL_AFTER_MILLIS = 700;
    /** Each time limit is 50 ms longer. */
    private static final long SLACK_MILLIS = 50;

    private Case8() {}

    public static void main(String[] args) {
        Rig.main(Case8::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Rig.Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Rig.Backend backend =
                    new Rig.Backend(rig, "s-000000" + (10 + i), i % 2 == 0 ? "sala-centro" : "sala-norte", i / 6);
            backend.longTarget = LongAnswers.TARGET;
            backend.pieces = 40;
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
        LongAnswers clients = new LongAnswers(rig, agent.port, 24, 100);
        Rig.sleep(7_000);
        int before = clients.whole.get();
        rig.note(before + " long answers whole; usual traffic: " + load.summary());
        long termMillis = Long.MAX_VALUE / 2;
        load.stop();
        if (Rig.TROUBLE) {
            clients.opensNoConnections = true;
            termMillis = rig.millis();
            agent.signal("TERM");
            if (!agent.awaitEnd(LONGEST_DEADLINE_MILLIS + KILL_AFTER_MILLIS + SLACK_MILLIS)) {
                agent.signal("KILL");
                agent.awaitEnd(1_000);
            }
            Rig.sleep(300);
        } else {
            Rig.sleep(6_000);
        }
        clients.stop(5_000);
        agent.noteLog(20);
        int broken = 0;
        for (LongAnswers.Asked asked : List.copyOf(clients.cut)) {
            long came = asked.writtenMillis - termMillis;
            boolean judged =
                    LongAnswers.isCutOff(asked) && (!Rig.TROUBLE || came > KILL_AFTER_MILLIS + SLACK_MILLIS);
            broken += judged ? 1 : 0;
            rig.note((judged ? "BROKEN: " : "not judged: ") + asked.id + " came " + came
                    + " ms after SIGTERM, its answer began at " + (asked.begunMillis - termMillis) + " ms and ended at "
                    + (asked.endMillis - termMillis) + " ms after " + asked.bytes + " bytes: " + asked.broken);
        }
        rig.note(before + " long answers whole before SIGTERM, " + (clients.whole.get() - before) + " since; " + broken
                + " that came later than " + (KILL_AFTER_MILLIS + SLACK_MILLIS) + " ms after it were lost");
        return broken > 0 ? Rig.BROKEN : before == 0 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }
}
