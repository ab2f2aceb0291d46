package gatefront.cli;

import gatefront.rehearsal.ProcessOutcome;
import gatefront.rehearsal.ProcessRehearsal;
import gatefront.rehearsal.RealRehearsal;
import gatefront.rehearsal.Report;
import gatefront.rehearsal.processes.ProcessPlan;
import gatefront.rehearsal.processes.ProcessPlanReader;
import gatefront.toml.TomlException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Plays a plan with several processes and faults between them. */
@Command(name = "processes", mixinStandardHelpOptions = true, description = {
    "Play a day with agents in processes of their own, on loopback, and faults of processes, folders and links.",
    "Built-in plans: restart-most, state-lost, stopped-and-woken, crash-loop.",
    "Exit status: 0 all rules kept, 3 a rule broken, 2 wrong usage, 1 unusable plan."})
final class ProcessesCommand implements Callable<Integer> {
    private static final int LINES = 5;

    @Parameters(paramLabel = "PLAN", description = "A plan file, or the name of a built-in plan.")
    private String plan;
    @Option(names = "--agents", paramLabel = "N", description = "As many agents in place of the plan's; nodos go with "
        + "them.")
    private Integer agents;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "From which what is drawn follows "
        + "(${DEFAULT-VALUE}); processes repeat nothing exactly.")
    private long seed;
    @Option(names = "--report", paramLabel = "DIR", description = "Write report.json, report.html and history.jsonl "
        + "there.")
    private Path report;
    @Option(names = "--without", paramLabel = "GUARD", split = ",", description = "Switch a guard of the program off: "
        + "kept-bans, named-loss, waking. The judge is to find it.")
    private Set<String> without = new HashSet<>();
    @Option(names = "--no-twin", description = "Leave out the same day without faults, against which "
        + "the time to full service is measured.")
    private boolean noTwin;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws TomlException, IOException {
        PrintWriter out = spec.commandLine().getOut();
        ProcessPlan read = ProcessPlanReader.BUILT_IN.contains(plan) && !Files.exists(Path.of(plan))
            ? ProcessPlanReader.builtIn(plan, agents) : ProcessPlanReader.read(Path.of(plan), agents);
        if (report != null) {
            Files.createDirectories(report);
        }
        ProcessOutcome outcome = new ProcessRehearsal(read, seed, RealRehearsal.ownCommand(), without,
            report == null ? null : report.resolve("history.jsonl")).play(done -> { });
        if (report != null) {
            Report.write(outcome.outcome(), report);
        }
        out.println(outcome.line());
        List<String> breaches = outcome.breaches();
        breaches.stream().limit(LINES).forEach(each -> out.println("  BROKEN " + each));
        double[] starts = outcome.starts().stream().mapToDouble(Double::doubleValue).sorted().toArray();
        out.printf(Locale.ROOT, "  %d starts, ready after %.0f ms (median), %.0f ms (worst)%n", starts.length,
            starts[starts.length / 2], Arrays.stream(starts).max().orElse(0));
        out.printf(Locale.ROOT, "  after the first fault: %d list calls in the fullest second (the padron bears %.0f), "
            + "%d connections at the fullest nodo (of %d); the nearest cold nodo got %.2f of what topples it%n",
            outcome.listCallsMost(), read.day().padron().callsPerSecond(), outcome.connectionsMost(),
            read.day().nodos().connections(), outcome.coldMost());
        out.flush();
        if (!noTwin && read.firstFault() >= 0) {
            ProcessOutcome twin = new ProcessRehearsal(read.twin(), seed, RealRehearsal.ownCommand(), Set.of(), null)
                .play(done -> { });
            double full = outcome.fullAfter(twin);
            out.println("  " + (full < 0 ? "service was not full again within the day"
                : String.format(Locale.ROOT, "full service %.2f s after the first fault", full))
                + String.format(Locale.ROOT, "; without faults %.4f", twin.outcome().service()));
        }
        out.flush();
        return outcome.broken() == 0 ? 0 : Commands.BROKEN;
    }
}
