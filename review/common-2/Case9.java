import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An agent whose ledger has reached its bound is restarted as planned. */
final class Case9 {
    private static final long READY_MILLIS = 30_000;
    private static final int REQUESTS_PER_SECOND = 800;
    private static final long MAX_LOAD_MILLIS = 75_000;

    private Case9() {}

    public static void main(String[] args) {
        Rig.main(Case9::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Rig.Backend> backends = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            backends.add(new Rig.Backend(rig, "s-0000001" + i, i % 2 == 0 ? "sala-centro" : "sala-norte", i));
            backends.get(i).workMillis = 3;
        }
        Rig.Discovery discovery = new Rig.Discovery(rig, backends);
        Path disk = Files.createDirectory(Rig.WORK.resolve("disk"));
        Path extensions = Rig.WORK.resolve("extensions.toml");
        Files.writeString(
                extensions,
                "[ledger]\nfolder = \"" + disk.resolve("ledger")
                        + "\"\ninstance = \"agente-1\"\nwrite_s = 0.1\ndisk_mb = 1\n");
        Path config = rig.config("config.json", 0, discovery.server.address(), Rig.list(backends), Settings.oaxaca());
        Rig.Agent agent = new Rig.Agent(
                rig, "agente-1", config, extensions, Files.createDirectory(Rig.WORK.resolve("tmp-1")), null);
        if (!agent.awaitReady(READY_MILLIS)) {
            agent.noteLog(20);
            return Rig.COULD_NOT_RUN;
        }
        Load load = new Load(rig, agent.port, 64, REQUESTS_PER_SECOND, Settings.OAXACA_TENANTS);
        long start = rig.millis();
        for (long next = start + 5_000; !full(agent); ) {
            if (rig.millis() - start > MAX_LOAD_MILLIS) {
                rig.note("the bound was not reached; " + load.summary());
                return Rig.COULD_NOT_RUN;
            }
            Rig.sleep(100);
            if (rig.millis() >= next) {
                next += 5_000;
                rig.note(load.summary());
            }
        }
        int served = load.ok.get();
        Rig.sleep(2_000);
        load.stop();
        rig.note("the bound is reached, " + (load.ok.get() - served) + " were served since; " + load.summary());
        if (load.ok.get() == served) {
            return Rig.BROKEN;
        }
        if (Rig.TROUBLE) {
            agent.signal("TERM");
            if (!agent.awaitEnd(2_700)) {
                agent.signal("KILL");
                agent.awaitEnd(1_000);
            }
            agent.noteLog(20);
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
                rig.note("BROKEN: after a planned restart the agent is not ready; its process "
                        + (agent.process.isAlive() ? "hangs" : "has ended"));
                return Rig.BROKEN;
            }
        }
        Load after = new Load(rig, agent.port, 8, 50, Settings.OAXACA_TENANTS);
        Rig.sleep(3_000);
        after.stop();
        rig.note("at the end: " + after.summary());
        return after.ok.get() > 0 && agent.process.isAlive() ? Rig.HELD : Rig.BROKEN;
    }

    private static boolean full(Rig.Agent agent) throws Exception {
        return Files.readString(agent.log, StandardCharsets.UTF_8).contains("ledger: write failed");
    }
}
