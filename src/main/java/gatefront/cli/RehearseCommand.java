package gatefront.cli;

import gatefront.rehearsal.JsonReport;
import gatefront.rehearsal.PlanShrinker;
import gatefront.rehearsal.RealRehearsal;
import gatefront.rehearsal.Rehearsal;
import gatefront.rehearsal.RehearsalResult;
import gatefront.rehearsal.SeedCampaign;
import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.plan.Fault;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.plan.PlanReader;
import gatefront.rehearsal.plan.PlanWriter;
import gatefront.toml.TomlException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Plays a plan with the code of the real agents and prints or writes a report. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        subcommands = ProcessesCommand.class,
        description = {
            "Play a plan with the real agents against stand-ins in virtual time, and report.",
            "The same plan and seed give the same report.",
            "Exit status: 0 all rules kept, 3 a rule broken, 2 invalid usage, 1 unusable plan."
        })
final class RehearseCommand implements Callable<Integer> {
    private static final Pattern SEED_RANGE = Pattern.compile("(\\d{1,15})\\.\\.(\\d{1,15})");
    private static final long MAX_SEEDS = 1_000_000;

    @Parameters(
            arity = "0..1",
            paramLabel = "PLAN",
            defaultValue = "cashier-rush",
            description = "A plan file, or the name of a built-in plan (default: ${DEFAULT-VALUE}).")
    private String plan;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Seed of all random values (${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            description = "Play a range of seeds on all cores; print each seed that breaks a rule, and a summary.")
    private String seeds;

    @Option(names = "--report", paramLabel = "DIR", description = "Write report.json and report.html to this folder.")
    private Path report;

    @Option(names = "--json", description = "Print the report as JSON instead of the summary.")
    private boolean json;

    @Option(
            names = "--real",
            description = "Play in real time on loopback sockets, with agents in separate processes. "
                    + "Such runs are not exactly repeatable.")
    private boolean real;

    @Option(
            names = "--agents",
            paramLabel = "N",
            description = "Number of agents instead of the plan's; the rate of requests stays the same.")
    private Integer agents;

    @Option(
            names = "--nodos",
            paramLabel = "N",
            description = "Number of nodos instead of the plan's; the rate of requests is scaled with it.")
    private Integer nodos;

    @Option(
            names = "--shrink",
            paramLabel = "FILE",
            description = "If the seed breaks a rule: reduce the plan "
                    + "to the fewest faults and clients that still break it, and write it to this file.")
    private Path shrink;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws TomlException, IOException {
        PrintWriter out = spec.commandLine().getOut();
        Plan sizedPlan = sized(read(plan));
        if (seeds != null) {
            return playSeeds(sizedPlan, out);
        }
        if (shrink != null) {
            return shrink(sizedPlan, out);
        }
        boolean showProgress = System.console() != null && !json;
        long startNanos = System.nanoTime();
        RehearsalResult outcome = real
                ? new RealRehearsal(sizedPlan, seed, RealRehearsal.currentJvmCommand())
                        .play(done -> progress(showProgress, done))
                : new Rehearsal(sizedPlan, seed)
                        .progress(done -> progress(showProgress, done))
                        .run();
        if (report != null) {
            JsonReport.write(outcome, report);
        }
        if (json) {
            out.print(new String(JsonReport.toBytes(outcome), StandardCharsets.UTF_8));
        } else {
            printSummary(outcome, (System.nanoTime() - startNanos) / 1e9, out);
        }
        out.flush();
        return outcome.breachCount() == 0 ? 0 : Commands.CHECK_FAILED;
    }

    private static Plan read(String plan) throws TomlException {
        Path file = Path.of(plan);
        return PlanReader.BUILT_IN.contains(plan) && !Files.exists(file)
                ? PlanReader.builtIn(plan)
                : PlanReader.read(file);
    }

    private Plan sized(Plan original) {
        if (agents == null && nodos == null) {
            return original;
        }
        Plan sized = original.scaledTo(
                size("--agents", agents, original.agents().count()),
                size("--nodos", nodos, original.nodos().count()));
        for (Fault fault : sized.faults()) {
            int count = fault.kind().target() == Fault.Kind.Target.AGENTS
                    ? sized.agents().count()
                    : sized.nodos().count();
            for (String name : fault.names()) {
                if (Integer.parseInt(name.substring(name.indexOf('-') + 1)) > count) {
                    throw new ParameterException(
                            spec.commandLine(), "a fault of the plan names " + name + ", but there are only " + count);
                }
            }
        }
        return sized;
    }

    private int size(String option, Integer value, int planned) {
        if (value != null && (value < 1 || value > PlanReader.MAX_COUNT)) {
            throw new ParameterException(
                    spec.commandLine(),
                    option + " must be a number from 1 to " + PlanReader.MAX_COUNT + ", not " + value);
        }
        return value == null ? planned : value;
    }

    private void progress(boolean showProgress, double done) {
        if (showProgress) {
            System.err.printf(Locale.ROOT, "\rplaying ... %3.0f%%%s", 100 * done, done >= 1 ? "\r            \r" : "");
        }
    }

    private void printSummary(RehearsalResult outcome, double wallSeconds, PrintWriter out) {
        out.println(outcome.summary());
        double[] byClass = outcome.serviceByClass();
        for (int i = 0; i < byClass.length; i++) {
            out.printf(
                    Locale.ROOT,
                    "  %-16s %.4f%n",
                    outcome.plan().classes().get(i).name(),
                    byClass[i]);
        }
        for (RuleChecker.Breach breach : outcome.breaches().stream().limit(3).toList()) {
            out.println("  BROKEN "
                    + breach.rule().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ": " + breach.description()
                    + (breach.request().isEmpty() ? "" : " (request " + breach.request() + ")"));
            breach.history().forEach(line -> out.println("    " + line));
        }
        out.printf(
                Locale.ROOT,
                "  %.0f s played in %.1f s%s%n",
                outcome.plan().seconds(),
                wallSeconds,
                report == null ? "" : "; report: " + report.resolve("report.html"));
    }

    /** Parses a range of seeds such as {@code 1..100} and returns its first and last seed, both inclusive. */
    static long[] seeds(String text, CommandSpec spec) {
        Matcher range = SEED_RANGE.matcher(text);
        if (!range.matches()) {
            throw new ParameterException(spec.commandLine(), "--seeds must be a range such as 1..100, not " + text);
        }
        long first = Long.parseLong(range.group(1));
        long last = Long.parseLong(range.group(2));
        if (first > last || last - first >= MAX_SEEDS) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--seeds must be an ascending range of at most " + MAX_SEEDS + " seeds, not " + text);
        }
        return new long[] {first, last};
    }

    private int playSeeds(Plan plan, PrintWriter out) {
        long[] range = seeds(seeds, spec);
        long first = range[0];
        long last = range[1];
        boolean showProgress = System.console() != null;
        SeedCampaign.Summary summary = SeedCampaign.play(
                plan, first, last, done -> progress(showProgress, done), outcome -> out.println(outcome.summary()));
        out.print(summary.format());
        out.flush();
        return summary.brokenRuns() == 0 ? 0 : Commands.CHECK_FAILED;
    }

    private int shrink(Plan plan, PrintWriter out) throws IOException {
        Plan smallest = PlanShrinker.shrink(plan, seed, line -> {
            out.println(line);
            out.flush();
        });
        if (smallest == null) {
            out.println("seed " + seed + " breaks no rule; there is nothing to shrink");
            return 0;
        }
        Files.writeString(shrink, PlanWriter.text(smallest));
        out.println("wrote " + shrink + "; play it with --seed " + seed);
        return Commands.CHECK_FAILED;
    }
}
