package gatefront.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The root of all commands except {@code serve} and {@code drill}, which start without loading this class. */
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
        description = "Load balancing agent with rehearsal tools.",
        mixinStandardHelpOptions = true)
final class Commands {
    /** Exit status: a rule was broken, or a store is damaged, missing or differs. */
    static final int CHECK_FAILED = 3;
    /** Exit status: the arguments are invalid. */
    static final int USAGE = 2;
    /** Exit status: the command failed, for example on an unusable plan or a file that cannot be written. */
    static final int FAILED = 1;

    private Commands() {}

    /** Runs the command named by the first argument and returns its exit status. */
    static int run(String[] args, PrintStream out, PrintStream err) {
        CommandLine line = new CommandLine(new Commands());
        line.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            command.getErr()
                    .println("gatefront: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            if (e instanceof RuntimeException) {
                // An unchecked exception is a bug, so its stack trace is printed for the report.
                e.printStackTrace(command.getErr());
            }
            return FAILED;
        });
        return line.execute(args);
    }
}
