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

/** The command line of the jar. */
public final class Main {
    static final String USAGE =
            """
        usage: java -jar gatefront.jar COMMAND
          rehearse [PLAN]  play a day with real agents against stand-ins, and report; see rehearse --help
          demo             an agent with stand-in nodos on loopback, and a line to try
          plan [PLAN]      print a built-in plan, or check a plan file
          registry         print what a registry holds and how it changes; see registry watch --help
          ledger           look into the books of use by municipio, and correct them; see ledger --help
          recovery         look at what an agent keeps over its death; see recovery --help
          status ADDRESS   print what a running agent holds, by purpose
          serve            run as an agent, as the configuration in $RELAY_CONFIG says, and the file of our own
                           in $GATEFRONT_EXTENSIONS, where one is named
          drill            decide for the simulator: frames on standard input, replies on standard output
          --help           show this text""";

    private static final Set<String> COMMANDS =
            Set.of("rehearse", "demo", "plan", "registry", "status", "ledger", "recovery");

    private Main() {}

    /** Runs the command named by the first argument. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 1 && args[0].equals("--help")) {
            out.println(USAGE);
            return 0;
        }
        boolean quick = args.length == 1 && (args[0].equals("drill") || args[0].equals("serve"));
        if (!quick && args.length > 0 && COMMANDS.contains(args[0])) {
            return Commands.run(args, out, err);
        }
        if (!quick) {
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

    /** Runs an agent until the process is asked to end. */
    static int serve(String config, String extensions, String management, String shared, PrintStream err) {
        Agent agent;
        CompletableFuture<Agent> started = new CompletableFuture<>();
        try {
            if (config == null) {
                throw new IllegalArgumentException("RELAY_CONFIG is not set");
            }
            // Before the agent says that it is ready: SIGHUP without a handler ends the JVM.
            Path file = Path.of(config);
            Path ofOurOwn = extensions == null ? null : Path.of(extensions);
            SignalHandler before = Signal.handle(
                    new Signal("HUP"), signal -> started.thenAccept(running -> running.reload(file, ofOurOwn)));
            if (before == SignalHandler.SIG_IGN) { // the JVM leaves it so, and no reload would ever come
                err.println("reload: SIGHUP is ignored here, so a new configuration needs a restart; "
                        + "start the agent without nohup");
            }
            agent = Agent.start(file, ofOurOwn, management, shared == null ? null : Path.of(shared));
            started.complete(agent);
        } catch (IOException | IllegalArgumentException e) {
            err.println("gatefront: " + e.getMessage());
            return 1;
        }
        // SIGTERM runs the hooks: the agent ends in order, and that is no failure.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            agent.stop();
            Runtime.getRuntime().halt(agent.failed() ? 1 : 0);
        }));
        agent.awaitTermination();
        return agent.failed() ? 1 : 0;
    }
}
