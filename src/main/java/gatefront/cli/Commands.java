package gatefront.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** All commands but {@code serve} and {@code drill}, which start without loading this. */
@Command(
        name = "gatefront",
        subcommands = {
            RehearseCommand.class,
            PlanCommand.class,
            DemoCommand.class,
            RegistryCommand.class,
            StatusCommand.class,
            LedgerCommand.class,
            RecoveryCommand.class
        },
        description = "Load balancing agent with a rehearsal kit.",
        mixinStandardHelpOptions = true)
final class Commands {
    /** A rule was broken. */
    static final int BROKEN = 3;
    /** The call's words are off. */
    static final int USAGE = 2;
    /** What was asked for cannot be done: an unusable plan, a file that cannot be written. */
    static final int UNUSABLE = 1;

    private Commands() {}

    /** Runs the command named by the first argument. */
    static int run(String[] args, PrintStream out, PrintStream err) {
        CommandLine line = new CommandLine(new Commands());
        line.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            command.getErr()
                    .println("gatefront: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            if (e instanceof RuntimeException) {
                e.printStackTrace(command.getErr()); // a fault of the program, to be reported whole
            }
            return UNUSABLE;
        });
        return line.execute(args);
    }
}
