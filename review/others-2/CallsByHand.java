import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Staff take backends out at the door of the process that takes over, while the old one ends; calls that the door says
 * are not kept are made again, as the page on recovery tells. Later the agent is killed and started again.
 */
final class CallsByHand {
    private static final int BACKENDS = 20;
    private static final int OUT = 14;
    /** Between two calls of the same hand, as a script makes them. */
    private static final long CALL_INTERVAL_MILLIS = 30;

    /** The page on recovery: only a plain "out" says that the call is on the disk. */
    private static final String KEPT = "200 out";

    private CallsByHand() {}

    public static void main(String[] args) {
        Rig.main(CallsByHand::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Rig.Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(new Rig.Backend(rig, "s-000000" + (10 + i), "sala-centro", i / 7));
            backends.get(i).workMillis = 8;
        }
        Rig.Discovery discovery = new Rig.Discovery(rig, backends);
        Path shared = Files.createDirectory(Rig.WORK.resolve("tmp-1"));
        Path disk = Files.createDirectory(Rig.WORK.resolve("disk"));
        Path extensions = Rig.WORK.resolve("extensions.toml");
        Files.writeString(
                extensions, "[recovery]\nfolder = \"" + disk.resolve("kept") + "\"\ninstance = \"agente-1\"\n");
        int port = Rig.freePort();
        int oldDoor = Rig.freePort();
        int newDoor = Rig.freePort();
        Path config =
                rig.config("config.json", port, discovery.server.address(), Rig.list(backends), Settings.oaxaca());
        Rig.Agent old = new Rig.Agent(rig, "old process", config, extensions, shared, "127.0.0.1:" + oldDoor);
        if (!old.awaitReady(30_000)) {
            old.noteLog(20);
            return Rig.COULD_NOT_RUN;
        }
        Load load = new Load(rig, port, 24, 100, Settings.OAXACA_TENANTS);
        Rig.sleep(2_500);

        // The upgrade, as the page on upgrades has it.
        Rig.Agent agent = new Rig.Agent(rig, "new process", config, extensions, shared, "127.0.0.1:" + newDoor);
        long until = rig.millis() + 6_000;
        while (!Rig.door(newDoor, "GET", "/healthcheck").startsWith("200")) {
            if (rig.millis() > until) {
                agent.noteLog(20);
                return Rig.COULD_NOT_RUN;
            }
            Rig.sleep(30);
        }
        rig.note("the new process says yes; " + load.summary());
        old.signal("TERM");
        if (!Rig.TROUBLE) {
            end(old);
        }
        String[] answers = new String[OUT];
        for (int i = 0; i < OUT; i++) {
            long next = rig.millis() + CALL_INTERVAL_MILLIS;
            answers[i] = takeOut(rig, newDoor, backends.get(i));
            Rig.sleep(next - rig.millis());
        }
        if (Rig.TROUBLE) {
            end(old);
        }
        Rig.sleep(2_500);
        for (int i = 0; i < OUT; i++) {
            for (int calls = 0; calls < 3 && !answers[i].equals(KEPT); calls++) {
                rig.note(backends.get(i).name + " was not kept, so the call is made again");
                answers[i] = takeOut(rig, newDoor, backends.get(i));
            }
        }
        noteRecovery(rig, newDoor);
        Rig.sleep(1_500);
        rig.note(load.summary());

        agent.signal("KILL");
        agent.awaitEnd(1_000);
        agent = new Rig.Agent(
                rig,
                "process after the kill",
                config,
                extensions,
                Files.createDirectory(Rig.WORK.resolve("tmp-2")),
                "127.0.0.1:" + newDoor);
        if (!agent.awaitReady(30_000)) {
            agent.noteLog(20);
            return Rig.COULD_NOT_RUN;
        }
        int[] before = new int[OUT];
        for (int i = 0; i < OUT; i++) {
            before[i] = backends.get(i).count();
        }
        Rig.sleep(5_000);
        load.stop();
        rig.note(load.summary());
        noteRecovery(rig, newDoor);
        agent.noteLog(20);
        int broken = 0;
        int judged = 0;
        for (int i = 0; i < OUT; i++) {
            Rig.Backend backend = backends.get(i);
            int got = backend.count() - before[i];
            judged += answers[i].equals(KEPT) ? 1 : 0;
            broken += answers[i].equals(KEPT) && got > 0 ? 1 : 0;
            rig.note(backend.name + ": last answer \"" + answers[i] + "\", requests since the restart: " + got
                    + (answers[i].equals(KEPT) && got > 0 ? "  BROKEN" : ""));
        }
        return broken > 0 ? Rig.BROKEN : judged == 0 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }

    private static void end(Rig.Agent old) throws Exception {
        if (!old.awaitEnd(2_700)) { // the longest deadline and 0.7 s
            old.signal("KILL");
            old.awaitEnd(1_000);
        }
    }

    private static String takeOut(Rig rig, int door, Rig.Backend backend) {
        String answer = Rig.door(door, "POST", "/backends/" + backend.name + "/maint");
        rig.note("maint " + backend.name + ": " + answer);
        return answer;
    }

    private static void noteRecovery(Rig rig, int door) {
        Rig.door(door, "GET", "/stats")
                .lines()
                .filter(line -> line.startsWith("recovery"))
                .forEach(line -> rig.note("stats: " + line));
    }
}
