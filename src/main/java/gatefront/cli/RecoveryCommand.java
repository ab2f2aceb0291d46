package gatefront.cli;

import gatefront.membership.ServerBans;
import gatefront.persistence.RecoveryStore;
import gatefront.persistence.StoredState;
import gatefront.recovery.Recovery;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The commands with which operators inspect and create the recovery store of an agent. */
@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        subcommands = {RecoveryCommand.Show.class, RecoveryCommand.Begin.class},
        description = {
            "Inspect what an agent keeps across restarts, or create a store for a new agent.",
            "Exit status: 0 success, 3 the store is missing or damaged, 2 invalid usage, 1 the command failed."
        })
final class RecoveryCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Commands.USAGE;
    }

    private static String time(long micros) {
        return micros < 0 ? "never" : Instant.ofEpochMilli(micros / 1000).toString();
    }

    /** Prints the contents of a store. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Print the instance of a store, the time up to which it was written, and the manual drains. "
                    + "Read-only.")
    static final class Show implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FOLDER", description = "Folder of the store.")
        private Path folder;

        @Option(names = "--json", description = "Print one line of JSON.")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            PrintWriter out = spec.commandLine().getOut();
            RecoveryStore.Inspection inspection = RecoveryStore.inspect(folder);
            StoredState state = inspection.contents();
            if (json) {
                var root = com.fasterxml.jackson.databind.node.JsonNodeFactory.instance
                        .objectNode()
                        .put("instance", state.instance())
                        .put("life", state.startNumber())
                        .put("up_to_us", state.writtenUntilMicros())
                        .put("list_at_us", state.serverListMicros())
                        .put("damage", inspection.damage());
                var bans = root.putObject("by_hand");
                new TreeMap<>(state.bans())
                        .forEach((name, entry) ->
                                bans.putObject(name).put("out", entry.drained()).put("at_us", entry.changedAtMicros()));
                out.println(root);
            } else if (state.instance() == null && inspection.damage() == null) {
                out.println(
                        "MISSING " + folder + ": there is no store here; it was never created, or it has been lost");
            } else {
                out.println("instance " + state.instance() + ", start number " + state.startNumber()
                        + ", written up to " + time(state.writtenUntilMicros()) + ", server list of "
                        + time(state.serverListMicros()));
                for (Map.Entry<String, ServerBans.Entry> ban : new TreeMap<>(state.bans()).entrySet()) {
                    out.println("  " + ban.getKey() + (ban.getValue().drained() ? " drained" : " reactivated")
                            + " since " + time(ban.getValue().changedAtMicros()));
                }
                if (inspection.damage() != null) {
                    out.println("DAMAGED " + inspection.damage() + "; the lines above are what could still be read");
                }
            }
            return inspection.damage() != null || state.instance() == null ? Commands.CHECK_FAILED : 0;
        }
    }

    /** Creates an empty store for an agent that has never run. */
    @Command(
            name = "begin",
            mixinStandardHelpOptions = true,
            description = {
                "Create an empty store for an agent that has never run, "
                        + "so that its first start does not report a lost store.",
                "The agent must not be running."
            })
    static final class Begin implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FOLDER", description = "Folder of the new store; its parent folder must exist.")
        private Path folder;

        @Option(
                names = "--instance",
                paramLabel = "NAME",
                required = true,
                description = "Instance name of the agent, unique among all agents.")
        private String instance;

        @Override
        public Integer call() throws Exception {
            if (java.nio.file.Files.exists(folder)) {
                throw new IOException(folder + " already exists; nothing was changed");
            }
            RecoveryStore.Opened opened = RecoveryStore.open(
                    folder, instance, Runnable::run, () -> TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()));
            CountDownLatch closed = new CountDownLatch(1);
            opened.store().close(closed::countDown);
            closed.await();
            if (opened.status() != Recovery.StoreStatus.MISSING) {
                throw new IOException(opened.detail());
            }
            spec.commandLine().getOut().println("created store " + folder + " for instance " + instance);
            return 0;
        }
    }
}
