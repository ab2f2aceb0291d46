import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** An agent is stopped for 6 s; discovery writes to it meanwhile that a backend drains. Then it goes on. */
final class Woken {
    /** What a call for the whole list, or a watch's begin, takes in its turn. */
    private static final long CALL_MILLIS = 1_200;

    private static final long STOP_MILLIS = 6_000;
    /** The grace of the settings, and 50 ms on sockets. */
    private static final long GRACE_MILLIS = 550;

    private Woken() {}

    public static void main(String[] args) {
        Rig.main(Woken::run);
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
        discovery.callMillis = CALL_MILLIS;
        Path extensions = Rig.WORK.resolve("extensions.toml");
        Files.writeString(
                extensions,
                "[recovery]\nfolder = \"" + Files.createDirectory(Rig.WORK.resolve("disk")).resolve("kept")
                        + "\"\ninstance = \"agente-1\"\n");
        Path config =
                rig.config("config.json", 0, discovery.server.address(), Rig.list(backends), Settings.southernRefill());
        Rig.Agent agent = new Rig.Agent(
                rig, "agente-1", config, extensions, Files.createDirectory(Rig.WORK.resolve("tmp")), null);
        if (!agent.awaitReady(30_000)) {
            agent.noteLog(20);
            return Rig.COULD_NOT_RUN;
        }
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < 8; i++) {
            Rig.thread("client " + i, () -> send(agent.port, served));
        }
        Rig.sleep(6_000);
        // A watch is open, so that discovery has somewhere to write the change to.
        long until = rig.millis() + 15_000;
        while (!watches(rig, discovery)) {
            if (rig.millis() > until) {
                rig.note("no watch is open");
                return Rig.COULD_NOT_RUN;
            }
            Rig.sleep(10);
        }
        int servedBefore = served.get();
        Rig.Backend drained = backends.get(0);
        int before = drained.count();
        long wokenMillis = 0;
        if (Rig.TROUBLE) {
            agent.stopOrContinue("STOP");
            Rig.sleep(500);
            discovery.change(drained, "Terminating");
            Rig.sleep(STOP_MILLIS - 500);
            agent.stopOrContinue("CONT");
            wokenMillis = rig.millis();
        } else {
            discovery.change(drained, "Terminating");
            Rig.sleep(STOP_MILLIS);
        }
        Rig.sleep(4_000);
        agent.noteLog(20);
        Long writtenMillis = discovery.writtenMillis.get(drained.name);
        if (writtenMillis == null || Rig.TROUBLE && writtenMillis >= wokenMillis) {
            rig.note("discovery did not write the change in time");
            return Rig.COULD_NOT_RUN;
        }
        int late = 0;
        for (Rig.Arrival arrival : List.copyOf(drained.arrivals)) {
            // A stopped process owes nothing: the grace runs from when it goes on.
            if (arrival.atMillis() > Math.max(writtenMillis, wokenMillis) + GRACE_MILLIS) {
                late++;
                rig.note("BROKEN: " + drained.name + " got request " + arrival.id() + " "
                        + (arrival.atMillis() - writtenMillis) + " ms after discovery wrote to the agent that it drains"
                        + (Rig.TROUBLE ? ", " + (arrival.atMillis() - wokenMillis) + " ms after the agent went on" : ""));
            }
        }
        rig.note("discovery wrote the change at " + writtenMillis + " ms; " + drained.name + " got " + before
                + " requests before, and " + late + " too late; " + servedBefore + " served before, "
                + (served.get() - servedBefore) + " since");
        return late > 0
                ? Rig.BROKEN
                : before == 0 || served.get() == servedBefore ? Rig.COULD_NOT_RUN : Rig.HELD;
    }

    private static boolean watches(Rig rig, Rig.Discovery discovery) {
        long since = discovery.watchingSinceMillis;
        long waited = rig.millis() - since;
        return since > 0 && waited > 200 && waited < 2_000;
    }

    /** One request after the other, each on a connection of its own. */
    private static void send(int port, AtomicInteger served) {
        while (true) {
            try (Rig.Client client = new Rig.Client(port)) {
                client.socket.setSoTimeout(1_600);
                client.out.write((Rig.head("GET", "status", Rig.newId(), "bayou-drug", 1_000, "") + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                Rig.Message answer = Rig.read(client.in);
                served.addAndGet(answer != null && answer.status() == 200 ? 1 : 0);
            } catch (IOException e) {
                // no answer in its time, as while the agent is stopped
            }
            Rig.sleep(40);
        }
    }
}
