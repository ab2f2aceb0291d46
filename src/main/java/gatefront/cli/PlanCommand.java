package gatefront.cli;

import gatefront.rehearsal.plan.PlanReader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the built-in plans, which serve as templates, and checks plan files. */
@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        description = "Print a built-in plan as a template for your own, or check a plan file.")
final class PlanCommand implements Callable<Integer> {
    @Parameters(
            arity = "0..1",
            paramLabel = "PLAN",
            description = "Name of a built-in plan; without it, all names are listed.")
    private String name;

    @Option(names = "--check", paramLabel = "FILE", description = "Check a plan file and report the first error.")
    private Path checkedFile;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (checkedFile != null) {
            PlanReader.read(checkedFile);
        } else if (name == null) {
            PlanReader.BUILT_IN.forEach(spec.commandLine().getOut()::println);
        } else {
            spec.commandLine().getOut().print(PlanReader.builtInText(name));
        }
        spec.commandLine().getOut().flush();
        return 0;
    }
}
