package gatefront;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import gatefront.drill.Drill;
import gatefront.drill.WireException;

/** The command line of the jar. */
public final class Main {
    static final String USAGE = """
        usage: java -jar gatefront.jar drill
          drill    decide for the simulator: frames on standard input, replies on standard output
          --help   show this text""";

    private Main() { }

    /** Runs the command named by the first argument. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 1 && args[0].equals("--help")) {
            out.println(USAGE);
            return 0;
        }
        if (args.length != 1 || !args[0].equals("drill")) {
            err.println(USAGE);
            return 2;
        }
        try {
            new Drill(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
            return 0;
        } catch (WireException | IOException e) {
            err.println("gatefront: " + e.getMessage());
            return 1;
        }
    }
}
