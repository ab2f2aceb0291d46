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

/** Plays a plan with the real agents and reports. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        subcommands = ProcessesCommand.class,
        description = {
            "Play a day with the real agents against stand-ins on virtual time, and report.",
            "The same plan and seed give the same report. Exit status: 0 all rules kept, 3 a rule broken,",
            "2 wrong usage, 1 unusable plan."
        })
final class RehearseCommand implements Callable<Integer> {
    private static final Pattern SEEDS = Pattern.compile("(\\d{1,15})\\.\\.(\\d{1,15})");
    private static final long SEEDS_MOST = 1_000_000;

    @Parameters(
            arity = "0..1",
            paramLabel = "PLAN",
            defaultValue = "cashier-rush",
            description = "A plan file, or the name of a built-in plan (${DEFAULT-VALUE} without one).")
    private String plan;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "From which all else follows " + "(${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            description = "Play many on all cores; a summary, and each " + "seed that broke a rule.")
    private String seeds;

    @Option(names = "--report", paramLabel = "DIR", description = "Write report.json and report.html there.")
    private Path report;

    @Option(names = "--json", description = "Print the report as JSON instead of the summary.")
    private boolean json;

    @Option(
            names = "--real",
            description = "Play in real time on loopback sockets, against agents in processes of "
                    + "their own. Nothing repeats exactly then.")
    private boolean real;

    @Option(
            names = "--agents",
            paramLabel = "N",
            description = "As many agents in place of the plan's; they share " + "the same requests.")
    private Integer agents;

    @Option(
            names = "--nodos",
            paramLabel = "N",
            description = "As many nodos in place of the plan's; the callers' " + "rate goes with them.")
    private Integer nodos;

    @Option(
            names = "--shrink",
            paramLabel = "FILE",
            description = "Where the seed breaks a rule: cut the plan down "
                    + "to the fewest faults and callers that still break it, and write that plan.")
    private Path shrink;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws TomlException, IOException {
        PrintWriter out = spec.commandLine().getOut();
        Plan read = sized(read(plan));
        if (seeds != null) {
            return many(read, out);
        }
        if (shrink != null) {
            return shrink(read, out);
        }
        boolean watched = System.console() != null && !json;
        long began = System.nanoTime();
        RehearsalResult outcome = real
                ? new RealRehearsal(read, seed, RealRehearsal.ownCommand()).play(done -> progress(watched, done))
                : new Rehearsal(read, seed)
                        .progress(done -> progress(watched, done))
                        .run();
        if (report != null) {
            JsonReport.write(outcome, report);
        }
        if (json) {
            out.print(new String(JsonReport.bytes(outcome), StandardCharsets.UTF_8));
        } else {
            summary(outcome, (System.nanoTime() - began) / 1e9, out);
        }
        out.flush();
        return outcome.breachCount() == 0 ? 0 : Commands.BROKEN;
    }

    private static Plan read(String plan) throws TomlException {
        Path file = Path.of(plan);
        return PlanReader.BUILT_IN.contains(plan) && !Files.exists(file)
                ? PlanReader.builtIn(plan)
                : PlanReader.read(file);
    }

    private Plan sized(Plan read) {
        if (agents == null && nodos == null) {
            return read;
        }
        Plan sized = read.sized(
                size("--agents", agents, read.agents().count()),
                size("--nodos", nodos, read.nodos().count()));
        for (Fault each : sized.faults()) {
            int most = each.kind().whom() == Fault.Kind.Whom.AGENTS
                    ? sized.agents().count()
                    : sized.nodos().count();
            for (String name : each.names()) {
                if (Integer.parseInt(name.substring(name.indexOf('-') + 1)) > most) {
                    throw new ParameterException(
                            spec.commandLine(), "the plan names " + name + " in a fault, and there would be " + most);
                }
            }
        }
        return sized;
    }

    private int size(String option, Integer asked, int usual) {
        if (asked != null && (asked < 1 || asked > PlanReader.COUNT_MOST)) {
            throw new ParameterException(
                    spec.commandLine(), option + " is a number from 1 to " + PlanReader.COUNT_MOST + ", not " + asked);
        }
        return asked == null ? usual : asked;
    }

    private void progress(boolean watched, double done) {
        if (watched) {
            System.err.printf(Locale.ROOT, "\rplaying ... %3.0f%%%s", 100 * done, done >= 1 ? "\r            \r" : "");
        }
    }

    private void summary(RehearsalResult outcome, double wall, PrintWriter out) {
        out.println(outcome.summary());
        double[] classes = outcome.serviceByClass();
        for (int i = 0; i < classes.length; i++) {
            out.printf(
                    Locale.ROOT,
                    "  %-16s %.4f%n",
                    outcome.plan().classes().get(i).name(),
                    classes[i]);
        }
        for (RuleChecker.Breach each : outcome.breaches().stream().limit(3).toList()) {
            out.println("  BROKEN "
                    + each.rule().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ": " + each.description()
                    + (each.request().isEmpty() ? "" : " (request " + each.request() + ")"));
            each.history().forEach(line -> out.println("    " + line));
        }
        out.printf(
                Locale.ROOT,
                "  %.0f s played in %.1f s%s%n",
                outcome.plan().seconds(),
                wall,
                report == null ? "" : "; to be looked at: " + report.resolve("report.html"));
    }

    /** The first and the last of a range of seeds. */
    static long[] seeds(String text, CommandSpec of) {
        Matcher range = SEEDS.matcher(text);
        if (!range.matches()) {
            throw new ParameterException(of.commandLine(), "--seeds is a range as in 1..100, not " + text);
        }
        long from = Long.parseLong(range.group(1));
        long until = Long.parseLong(range.group(2));
        if (from > until || until - from >= SEEDS_MOST) {
            throw new ParameterException(of.commandLine(), "--seeds runs upwards, over a million at the most");
        }
        return new long[] {from, until};
    }

    private int many(Plan read, PrintWriter out) {
        long[] range = seeds(seeds, spec);
        long from = range[0];
        long until = range[1];
        boolean watched = System.console() != null;
        SeedCampaign.Summary summary = SeedCampaign.play(
                read, from, until, done -> progress(watched, done), outcome -> out.println(outcome.summary()));
        out.print(summary.text());
        out.flush();
        return summary.broken() == 0 ? 0 : Commands.BROKEN;
    }

    private int shrink(Plan read, PrintWriter out) throws IOException {
        Plan smallest = PlanShrinker.shrink(read, seed, line -> {
            out.println(line);
            out.flush();
        });
        if (smallest == null) {
            out.println("seed " + seed + " breaks no rule; there is nothing to cut down");
            return 0;
        }
        Files.writeString(shrink, PlanWriter.text(smallest));
        out.println("written to " + shrink + "; play it with --seed " + seed);
        return Commands.BROKEN;
    }
}
