package gatefront.cli;

import gatefront.rehearsal.plan.PlanReader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the plans that come with the jar, as a start for one's own, and checks plan files. */
@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        description = "Print a built-in plan, to be changed and rehearsed; or check a plan file.")
final class PlanCommand implements Callable<Integer> {
    @Parameters(arity = "0..1", paramLabel = "PLAN", description = "A built-in plan; without one they are listed.")
    private String name;

    @Option(names = "--check", paramLabel = "FILE", description = "Check a plan file and say what is wrong with it.")
    private Path check;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (check != null) {
            PlanReader.read(check);
        } else if (name == null) {
            PlanReader.BUILT_IN.forEach(spec.commandLine().getOut()::println);
        } else {
            spec.commandLine().getOut().print(PlanReader.builtInText(name));
        }
        spec.commandLine().getOut().flush();
        return 0;
    }
}
