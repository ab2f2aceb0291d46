package gatefront.cli;

import gatefront.rehearsal.JsonReport;
import gatefront.rehearsal.ProcessRehearsal;
import gatefront.rehearsal.ProcessRehearsalResult;
import gatefront.rehearsal.RealRehearsal;
import gatefront.rehearsal.processes.ProcessPlan;
import gatefront.rehearsal.processes.ProcessPlanReader;
import gatefront.toml.TomlException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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
@Command(
        name = "processes",
        mixinStandardHelpOptions = true,
        description = {
            "Play a day with agents in processes of their own, on loopback, "
                    + "and faults of processes, folders and links.",
            "Built-in plans: restart-most, state-lost, stopped-and-woken, crash-loop.",
            "Exit status: 0 all rules kept, 3 a rule broken, 2 wrong usage, 1 unusable plan."
        })
final class ProcessesCommand implements Callable<Integer> {
    private static final int LINES = 5;

    @Parameters(paramLabel = "PLAN", description = "A plan file, or the name of a built-in plan.")
    private String plan;

    @Option(
            names = "--agents",
            paramLabel = "N",
            description = "As many agents in place of the plan's; nodos go with " + "them.")
    private Integer agents;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "From which what is drawn follows " + "(${DEFAULT-VALUE}); processes repeat nothing exactly.")
    private long seed;

    @Option(names = "--seeds", paramLabel = "A..B", description = "Play many, one after the other, and sum up.")
    private String seeds;

    @Option(
            names = "--report",
            paramLabel = "DIR",
            description = "Write report.json, report.html and history.jsonl " + "there.")
    private Path report;

    @Option(
            names = "--without",
            paramLabel = "GUARD",
            split = ",",
            description =
                    "Switch a guard of the program off: " + "kept-bans, named-loss, waking. The judge is to find it.")
    private Set<String> without = new HashSet<>();

    @Option(
            names = "--no-twin",
            description =
                    "Leave out the same day without faults, against which " + "the time to full service is measured.")
    private boolean noTwin;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws TomlException, IOException {
        PrintWriter out = spec.commandLine().getOut();
        ProcessPlan read = ProcessPlanReader.BUILT_IN.contains(plan) && !Files.exists(Path.of(plan))
                ? ProcessPlanReader.builtIn(plan, agents)
                : ProcessPlanReader.read(Path.of(plan), agents);
        if (report != null) {
            Files.createDirectories(report);
        }
        if (seeds == null) {
            return play(read, seed, report, out).broken() == 0 ? 0 : Commands.BROKEN;
        }
        long[] range = RehearseCommand.seeds(seeds, spec);
        List<Played> all = new ArrayList<>();
        for (long each = range[0]; each <= range[1]; each++) {
            all.add(play(read, each, report == null ? null : report.resolve("seed-" + each), out));
        }
        summary(all, out);
        return all.stream().allMatch(each -> each.broken == 0) ? 0 : Commands.BROKEN;
    }

    /** What is counted of a play: broken rules, seconds to full service (negative for never or unknown), lateness. */
    private record Played(int broken, double full, long late) {}

    private Played play(ProcessPlan read, long with, Path into, PrintWriter out) throws IOException {
        if (into != null) {
            Files.createDirectories(into);
        }
        ProcessRehearsalResult outcome = new ProcessRehearsal(
                        read,
                        with,
                        RealRehearsal.currentJvmCommand(),
                        without,
                        into == null ? null : into.resolve("history.jsonl"))
                .play(done -> {});
        if (into != null) {
            JsonReport.write(outcome.result(), into);
        }
        out.println(outcome.summary());
        outcome.breaches().stream().limit(LINES).forEach(each -> out.println("  BROKEN " + each));
        out.println("  " + outcome.timeline().summary());
        out.printf(
                Locale.ROOT,
                "  after the first fault: %d list calls in the fullest second (the padron bears %.0f), "
                        + "%d connections at the fullest nodo (of %d); "
                        + "the nearest cold nodo got %.2f of what topples it%n",
                outcome.maxListCalls(),
                read.basePlan().padron().maxCallsPerSecond(),
                outcome.maxConnections(),
                read.basePlan().nodos().maxConnections(),
                outcome.maxColdLoad());
        out.flush();
        double full = -1;
        if (!noTwin && read.firstFaultSecond() >= 0) {
            ProcessRehearsalResult twin = new ProcessRehearsal(
                            read.baseline(), with, RealRehearsal.currentJvmCommand(), Set.of(), null)
                    .play(done -> {});
            full = outcome.recoverySeconds(twin);
            out.println("  "
                    + (full < 0
                            ? "service was not full again within the day"
                            : String.format(Locale.ROOT, "full service %.2f s after the first fault", full))
                    + String.format(
                            Locale.ROOT, "; without faults %.4f", twin.result().service()));
            out.flush();
        }
        return new Played(outcome.broken(), full, outcome.lateness().maxMicros());
    }

    private static void summary(List<Played> all, PrintWriter out) {
        double[] full = all.stream()
                .mapToDouble(Played::full)
                .filter(each -> each >= 0)
                .sorted()
                .toArray();
        out.printf(
                Locale.ROOT,
                "%d plays: rules kept on %d; the rig was late by over %d ms on %d%n",
                all.size(),
                all.stream().filter(each -> each.broken == 0).count(),
                ProcessRehearsalResult.MAX_LATENESS_MICROS / 1000,
                all.stream()
                        .filter(each -> each.late > ProcessRehearsalResult.MAX_LATENESS_MICROS)
                        .count());
        if (full.length > 0) {
            out.printf(
                    Locale.ROOT,
                    "full service again on %d: %.2f s after the first fault (median), %.2f s (worst)%n",
                    full.length,
                    full[full.length / 2],
                    full[full.length - 1]);
        }
        out.flush();
    }
}
