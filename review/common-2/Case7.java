import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An agent with a ledger serves for a while and is restarted as planned. */
final class Case7 {
    /** Longest time until a started agent is ready: "takes over 30 s to be ready". */
    private static final long READY_MILLIS = 30_000;

    private static final int MUNICIPIOS = 40;
    /** Under the "four times as many" of 320 requests a second. */
    private static final int REQUESTS_PER_SECOND = 1_250;

    private static final int SERVED = 72_000;
    private static final long MAX_LOAD_MILLIS = 66_000;
    private static final long END_MILLIS = 113_000;
    /** Longer than any client waits, and than any stall that the pages allow an agent. */
    private static final long HANG_MILLIS = 6_000;

    private Case7() {}

    public static void main(String[] args) {
        Rig.main(Case7::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Rig.Backend> backends = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            backends.add(new Rig.Backend(rig, "s-0000001" + i, i % 2 == 0 ? "sala-centro" : "sala-norte", i));
            backends.get(i).workMillis = 3;
        }
        Rig.Discovery discovery = new Rig.Discovery(rig, backends);
        String[] municipios = new String[MUNICIPIOS];
        for (int i = 0; i < municipios.length; i++) {
            municipios[i] = "heroica-villa-de-san-pedro-y-san-pablo-" + (10 + i) + "-distrito-de-valles-centrales-estado-libre-y-soberano-de-oaxaca";
        }
        Path disk = Files.createDirectory(Rig.WORK.resolve("disk"));
        Path extensions = Rig.WORK.resolve("extensions.toml");
        Files.writeString(
                extensions,
                "[ledger]\nfolder = \"" + disk.resolve("ledger") + "\"\ninstance = \"agente-ventanillas-oaxaca-centro-1\"\nwrite_s = 0.1\n");
        Path config =
                rig.config("config.json", 0, discovery.server.address(), Rig.list(backends), Settings.oaxaca(municipios));
        Rig.Agent agent = new Rig.Agent(
                rig, "agente-1", config, extensions, Files.createDirectory(Rig.WORK.resolve("tmp-1")), null);
        if (!agent.awaitReady(READY_MILLIS)) {
            agent.noteLog(20);
            return Rig.COULD_NOT_RUN;
        }
        Load load = new Load(rig, agent.port, 64, REQUESTS_PER_SECOND, municipios);
        long start = rig.millis();
        for (long next = start + 5_000; load.ok.get() < SERVED && rig.millis() - start < MAX_LOAD_MILLIS; ) {
            Rig.sleep(100);
            if (rig.millis() >= next) {
                next += 5_000;
                rig.note(load.summary() + "; the books have " + bytes(disk.resolve("ledger")) / 1024 + " KiB");
            }
        }
        load.stop();
        rig.note(load.summary() + "; the books have " + bytes(disk.resolve("ledger")) / 1024 + " KiB");
        if (load.ok.get() < SERVED / 3) {
            return Rig.COULD_NOT_RUN;
        }
        if (Rig.TROUBLE) {
            agent.signal("TERM");
            if (!agent.awaitEnd(3_700)) {
                agent.signal("KILL");
                agent.awaitEnd(1_000);
            }
            agent.noteLog(10);
            agent = new Rig.Agent(
                    rig,
                    "agente-1 again",
                    config,
                    extensions,
                    Files.createDirectory(Rig.WORK.resolve("tmp-2")),
                    null);
            boolean ready = agent.awaitReady(READY_MILLIS);
            agent.noteLog(20);
            if (!ready) {
                rig.note("BROKEN: after a planned restart the agent is not ready within 30 s; its process "
                        + (agent.process.isAlive() ? "hangs" : "has ended"));
                return Rig.BROKEN;
            }
        }
        if (!Rig.TROUBLE) {
            return serves(rig, agent, municipios, 5_000, 50);
        }
        return serves(rig, agent, municipios, END_MILLIS - rig.millis(), REQUESTS_PER_SECOND);
    }

    /** Goes on sending; the agent hangs if none of its clients has got any answer for some seconds. */
    private static int serves(Rig rig, Rig.Agent agent, String[] municipios, long millis, int perSecond) throws Exception {
        Load load = new Load(rig, agent.port, 64, perSecond, municipios);
        long until = rig.millis() + millis;
        long answeredMillis = rig.millis();
        for (int answered = 0; rig.millis() < until; Rig.sleep(100)) {
            int now = load.ok.get() + load.refused.get() + load.failed.get();
            answeredMillis = now > answered ? rig.millis() : answeredMillis;
            answered = now;
            if (!agent.process.isAlive() || rig.millis() - answeredMillis > HANG_MILLIS) {
                rig.note(load.summary());
                agent.noteLog(20);
                rig.note("BROKEN: no client has got an answer for " + (rig.millis() - answeredMillis)
                        + " ms; the agent's process " + (agent.process.isAlive() ? "hangs" : "has ended"));
                return Rig.BROKEN;
            }
        }
        rig.note("at the end: " + load.summary());
        load.stop();
        agent.noteLog(20);
        return load.ok.get() > 0 ? Rig.HELD : Rig.BROKEN;
    }

    private static long bytes(Path folder) throws Exception {
        long bytes = 0;
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                bytes += Files.exists(file) ? Files.size(file) : 0;
            }
        }
        return bytes;
    }
}
