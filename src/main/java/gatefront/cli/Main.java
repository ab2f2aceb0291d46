package gatefront.cli;

import gatefront.agent.Agent;
import gatefront.drill.Drill;
import gatefront.drill.WireException;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** The entry point of the jar. {@code serve} and {@code drill} are run directly, so that picocli is not loaded. */
public final class Main {
    static final String USAGE =
            """
        usage: java -jar gatefront.jar COMMAND
          rehearse [PLAN]  play a plan with real agents against stand-ins, and report; see rehearse --help
          demo             run an agent with stand-in nodos on loopback, and print requests to try
          plan [PLAN]      print a built-in plan, or check a plan file
          registry         print what a registry holds and how it changes; see registry watch --help
          ledger           inspect and correct the ledger of use by municipio; see ledger --help
          recovery         inspect what an agent keeps across restarts; see recovery --help
          status ADDRESS   print what a running agent holds in memory, by purpose
          serve            run as an agent with the configuration file named in $RELAY_CONFIG, and the
                           extensions file named in $GATEFRONT_EXTENSIONS if that is set
          drill            make decisions for the simulator: frames on standard input, replies on standard output
          --help           show this text""";

    private static final Set<String> COMMANDS =
            Set.of("rehearse", "demo", "plan", "registry", "status", "ledger", "recovery");

    private Main() {}

    /** Runs the command named by the first argument and exits with its status. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 1 && args[0].equals("--help")) {
            out.println(USAGE);
            return 0;
        }
        boolean withoutPicocli = args.length == 1 && (args[0].equals("drill") || args[0].equals("serve"));
        if (!withoutPicocli && args.length > 0 && COMMANDS.contains(args[0])) {
            return Commands.run(args, out, err);
        }
        if (!withoutPicocli) {
            err.println(USAGE);
            return 2;
        }
        if (args[0].equals("serve")) {
            return serve(
                    System.getenv("RELAY_CONFIG"),
                    System.getenv("GATEFRONT_EXTENSIONS"),
                    System.getenv("RELAY_MANAGEMENT"),
                    System.getenv("TMPDIR"),
                    err);
        }
        try {
            new Drill(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
            return 0;
        } catch (WireException | IOException e) {
            err.println("gatefront: " + e.getMessage());
            return 1;
        }
    }

    /** Runs an agent until the process is told to terminate, and returns the exit status. */
    static int serve(String config, String extensions, String management, String tmpDir, PrintStream err) {
        Agent agent;
        CompletableFuture<Agent> started = new CompletableFuture<>();
        try {
            if (config == null) {
                throw new IllegalArgumentException("RELAY_CONFIG is not set");
            }
            // Installed before the agent reports that it is ready: SIGHUP without a handler terminates the JVM.
            Path file = Path.of(config);
            Path extensionsFile = extensions == null ? null : Path.of(extensions);
            SignalHandler previous = Signal.handle(
                    new Signal("HUP"), signal -> started.thenAccept(running -> running.reload(file, extensionsFile)));
            // The JVM leaves an ignored signal ignored, so the handler would never be called.
            if (previous == SignalHandler.SIG_IGN) {
                err.println("reload: SIGHUP is ignored here, so a new configuration needs a restart; "
                        + "start the agent without nohup");
            }
            agent = Agent.start(file, extensionsFile, management, tmpDir == null ? null : Path.of(tmpDir));
            started.complete(agent);
        } catch (IOException | IllegalArgumentException e) {
            err.println("gatefront: " + e.getMessage());
            return 1;
        }
        // SIGTERM runs the shutdown hooks: the agent stops in order, and the process exits with status 0.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            agent.stop();
            Runtime.getRuntime().halt(agent.failed() ? 1 : 0);
        }));
        agent.awaitTermination();
        return agent.failed() ? 1 : 0;
    }
}
