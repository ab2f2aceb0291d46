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

/** What staff do with what an agent keeps over its death. */
@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        subcommands = {RecoveryCommand.Show.class, RecoveryCommand.Begin.class},
        description = {
            "Look at what an agent keeps over its death, and begin a store for a new one.",
            "Exit status: 0 all is well, 3 no store or damage, 2 wrong usage, 1 it cannot be done."
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

    /** What is in a store. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Print whose it is, up to when it was written, and what is out by hand. Changes nothing.")
    static final class Show implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FOLDER", description = "where the store is")
        private Path folder;

        @Option(names = "--json", description = "As one line of JSON.")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            PrintWriter out = spec.commandLine().getOut();
            RecoveryStore.Inspection look = RecoveryStore.inspect(folder);
            StoredState kept = look.contents();
            if (json) {
                var root = com.fasterxml.jackson.databind.node.JsonNodeFactory.instance
                        .objectNode()
                        .put("instance", kept.instance())
                        .put("life", kept.startNumber())
                        .put("up_to_us", kept.writtenUntilMicros())
                        .put("list_at_us", kept.serverListMicros())
                        .put("damage", look.damage());
                var bans = root.putObject("by_hand");
                new TreeMap<>(kept.bans())
                        .forEach((name, entry) ->
                                bans.putObject(name).put("out", entry.drained()).put("at_us", entry.changedAtMicros()));
                out.println(root);
            } else if (kept.instance() == null && look.damage() == null) {
                out.println("MISSING " + folder + ": no store is here; it was never begun, or it is lost");
            } else {
                out.println("instance " + kept.instance() + ", life " + kept.startNumber() + ", written up to "
                        + time(kept.writtenUntilMicros()) + ", list of " + time(kept.serverListMicros()));
                for (Map.Entry<String, ServerBans.Entry> each : new TreeMap<>(kept.bans()).entrySet()) {
                    out.println("  " + each.getKey() + (each.getValue().drained() ? " out" : " back") + " since "
                            + time(each.getValue().changedAtMicros()));
                }
                if (look.damage() != null) {
                    out.println("DAMAGED " + look.damage() + "; what is above could be read");
                }
            }
            return look.damage() != null || kept.instance() == null ? Commands.BROKEN : 0;
        }
    }

    /** A store for an agent that has never run. */
    @Command(
            name = "begin",
            mixinStandardHelpOptions = true,
            description = {
                "Make an empty store for an agent that has never run, "
                        + "so that its first start does not say that one is lost.",
                "The agent must not run."
            })
    static final class Begin implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FOLDER", description = "where the store is to be; the folder above it must be there")
        private Path folder;

        @Option(names = "--instance", paramLabel = "NAME", required = true, description = "the agent's name among all")
        private String instance;

        @Override
        public Integer call() throws Exception {
            if (java.nio.file.Files.exists(folder)) {
                throw new IOException(folder + " is there already; nothing was changed");
            }
            RecoveryStore.Opened opened = RecoveryStore.open(
                    folder, instance, Runnable::run, () -> TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()));
            CountDownLatch ended = new CountDownLatch(1);
            opened.store().close(ended::countDown);
            ended.await();
            if (opened.status() != Recovery.StoreStatus.MISSING) {
                throw new IOException(opened.detail());
            }
            spec.commandLine().getOut().println("begun " + folder + " for " + instance);
            return 0;
        }
    }
}
