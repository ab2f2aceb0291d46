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

/** Plays a plan with agents in several processes and with faults of these processes, their folders and links. */
@Command(
        name = "processes",
        mixinStandardHelpOptions = true,
        description = {
            "Play a plan with agents in separate processes on loopback, "
                    + "with faults of processes, folders and links.",
            "Built-in plans: restart-most, state-lost, stopped-and-woken, crash-loop, signals.",
            "Exit status: 0 all rules kept, 3 a rule broken, 2 invalid usage, 1 unusable plan."
        })
final class ProcessesCommand implements Callable<Integer> {
    private static final int MAX_PRINTED_BREACHES = 5;

    @Parameters(paramLabel = "PLAN", description = "A plan file, or the name of a built-in plan.")
    private String plan;

    @Option(
            names = "--agents",
            paramLabel = "N",
            description = "Number of agents instead of the plan's; the number of nodos is scaled with it.")
    private Integer agents;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description =
                    "Seed of all random values (${DEFAULT-VALUE}); runs with processes are not exactly repeatable.")
    private long seed;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            description = "Play a range of seeds, one after the other, and print a summary.")
    private String seeds;

    @Option(
            names = "--report",
            paramLabel = "DIR",
            description = "Write report.json, report.html and history.jsonl to this folder.")
    private Path report;

    @Option(
            names = "--without",
            paramLabel = "GUARD",
            split = ",",
            description = "Disable safeguards of the agent: kept-bans, named-loss, waking, arrived-input. "
                    + "The rules must then report it.")
    private Set<String> without = new HashSet<>();

    @Option(
            names = "--no-twin",
            description = "Skip the run without faults, against which the time to full service is measured.")
    private boolean noTwin;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws TomlException, IOException {
        PrintWriter out = spec.commandLine().getOut();
        ProcessPlan processPlan = ProcessPlanReader.BUILT_IN.contains(plan) && !Files.exists(Path.of(plan))
                ? ProcessPlanReader.builtIn(plan, agents)
                : ProcessPlanReader.read(Path.of(plan), agents);
        if (report != null) {
            Files.createDirectories(report);
        }
        if (seeds == null) {
            return play(processPlan, seed, report, out).broken() == 0 ? 0 : Commands.CHECK_FAILED;
        }
        long[] range = RehearseCommand.seeds(seeds, spec);
        List<PlayedSeed> played = new ArrayList<>();
        for (long next = range[0]; next <= range[1]; next++) {
            played.add(play(processPlan, next, report == null ? null : report.resolve("seed-" + next), out));
        }
        printSummary(played, out);
        return played.stream().allMatch(result -> result.broken == 0) ? 0 : Commands.CHECK_FAILED;
    }

    /**
     * The figures of one play that enter the summary.
     *
     * @param broken the number of broken rules
     * @param fullServiceSeconds the time from the first fault to full service; negative if not reached or not measured
     * @param latenessMicros the worst lateness of the event loop that drives the play
     */
    private record PlayedSeed(int broken, double fullServiceSeconds, long latenessMicros) {}

    private PlayedSeed play(ProcessPlan processPlan, long playedSeed, Path folder, PrintWriter out) throws IOException {
        if (folder != null) {
            Files.createDirectories(folder);
        }
        ProcessRehearsalResult outcome = new ProcessRehearsal(
                        processPlan,
                        playedSeed,
                        RealRehearsal.currentJvmCommand(),
                        without,
                        folder == null ? null : folder.resolve("history.jsonl"))
                .play(done -> {});
        if (folder != null) {
            JsonReport.write(outcome.result(), folder);
        }
        out.println(outcome.summary());
        outcome.breaches().stream().limit(MAX_PRINTED_BREACHES).forEach(breach -> out.println("  BROKEN " + breach));
        out.println("  " + outcome.timeline().summary());
        out.printf(
                Locale.ROOT,
                "  in the 5 s after the first fault: at most %d list calls in a second (padron limit %.0f), "
                        + "at most %d connections at a nodo (limit %d); "
                        + "in the whole run: a cold nodo got at most %.2f of the load at which it fails%n",
                outcome.maxListCalls(),
                processPlan.basePlan().padron().maxCallsPerSecond(),
                outcome.maxConnections(),
                processPlan.basePlan().nodos().maxConnections(),
                outcome.maxColdLoad());
        out.flush();
        double fullServiceSeconds = -1;
        if (!noTwin && processPlan.firstFaultSecond() >= 0) {
            ProcessRehearsalResult twin = new ProcessRehearsal(
                            processPlan.baseline(), playedSeed, RealRehearsal.currentJvmCommand(), Set.of(), null)
                    .play(done -> {});
            fullServiceSeconds = outcome.recoverySeconds(twin);
            out.println("  "
                    + (fullServiceSeconds < 0
                            ? "full service was not reached again before the end of the run"
                            : String.format(
                                    Locale.ROOT, "full service %.2f s after the first fault", fullServiceSeconds))
                    + String.format(
                            Locale.ROOT, "; without faults %.4f", twin.result().service()));
            out.flush();
        }
        return new PlayedSeed(
                outcome.broken(), fullServiceSeconds, outcome.lateness().maxMicros());
    }

    private static void printSummary(List<PlayedSeed> played, PrintWriter out) {
        double[] fullServiceSeconds = played.stream()
                .mapToDouble(PlayedSeed::fullServiceSeconds)
                .filter(seconds -> seconds >= 0)
                .sorted()
                .toArray();
        out.printf(
                Locale.ROOT,
                "%d seeds: rules kept in %d; the rehearsal itself was more than %d ms late in %d%n",
                played.size(),
                played.stream().filter(result -> result.broken == 0).count(),
                ProcessRehearsalResult.MAX_LATENESS_MICROS / 1000,
                played.stream()
                        .filter(result -> result.latenessMicros > ProcessRehearsalResult.MAX_LATENESS_MICROS)
                        .count());
        if (fullServiceSeconds.length > 0) {
            out.printf(
                    Locale.ROOT,
                    "full service reached again in %d: %.2f s after the first fault (median), %.2f s (worst)%n",
                    fullServiceSeconds.length,
                    fullServiceSeconds[fullServiceSeconds.length / 2],
                    fullServiceSeconds[fullServiceSeconds.length - 1]);
        }
        out.flush();
    }
}
