package gatefront.rehearsal.processes;

import gatefront.rehearsal.plan.Fault;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.plan.PlanReader;
import gatefront.rehearsal.processes.ProcessFault.Direction;
import gatefront.rehearsal.processes.ProcessFault.Kind;
import gatefront.rehearsal.processes.ProcessFault.Links;
import gatefront.rehearsal.processes.ProcessFault.State;
import gatefront.toml.NumberRange;
import gatefront.toml.TomlException;
import gatefront.toml.TomlFile;
import gatefront.toml.TomlTable;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Reads the plans of rehearsals with several processes. An invalid plan gives an error of one line. */
public final class ProcessPlanReader {
    /** Names of the plans that are packaged in the jar. */
    public static final List<String> BUILT_IN =
            List.of("restart-most", "state-lost", "stopped-and-woken", "crash-loop", "signals", "held-agents");
    /** Maximum number of agents; each is a process of about 60 MB. */
    public static final int MAX_AGENTS = 200;

    private static final String PLAN_FOLDER = "processes/";
    private static final double MAX_CLOCK_OFFSET_SECONDS = 30 * 86_400;

    private ProcessPlanReader() {}

    /** Reads a plan file. If {@code agents} is not null, it replaces the plan's number of agents. */
    public static ProcessPlan read(Path path, Integer agents) throws TomlException {
        return parse(path.toString(), TomlFile.read(path, "; built in are " + String.join(", ", BUILT_IN)), agents);
    }

    /** Reads a built-in plan. If {@code agents} is not null, it replaces the plan's number of agents. */
    public static ProcessPlan builtIn(String name, Integer agents) throws TomlException {
        return parse(name + ".toml", builtInText(name), agents);
    }

    /** Returns the text of a built-in plan. */
    public static String builtInText(String name) throws TomlException {
        return PlanReader.builtInText(PLAN_FOLDER + name);
    }

    /** Parses the text of a plan; {@code file} is its name in error messages. */
    public static ProcessPlan parse(String file, String text, Integer agentOverride) throws TomlException {
        TomlTable top = TomlFile.parse(file, text);
        String name = top.text("name", null);
        String base = top.word("day", "processes", List.of("processes"));
        double seconds = top.number("seconds", null, 2, 3_600);
        int planAgents = top.integer("agents", 24, 1, MAX_AGENTS);
        int nodos = top.integer("nodos", planAgents, 1, PlanReader.MAX_COUNT);
        boolean recoveryEnabled = top.bool("keeps", true);
        double load = top.number("load", 0.5, 0.01, 2);
        int agents = agentOverride == null ? planAgents : agentOverride;
        if (agents < 1 || agents > MAX_AGENTS) {
            throw top.invalid("agents", "must be within 1 to " + MAX_AGENTS + ", not " + agents);
        }
        Plan basePlan = PlanReader.parse(base + ".toml", PlanReader.builtInText(PLAN_FOLDER + base));
        Plan sized = basePlan.scaledTo(agents, Math.max(1, (nodos * agents + planAgents - 1) / planAgents))
                .withSeconds(seconds);
        sized = sized.withRate(sized.clients().rate() * load);
        List<Fault> world = new ArrayList<>();
        for (TomlTable table : top.tables("world")) {
            Fault fault = PlanReader.fault(
                    table, seconds, sized.agents().count(), sized.nodos().count(), sized.zones());
            if (fault.kind().target() == Fault.Kind.Target.AGENTS
                    || fault.kind().needsRegistry()) {
                throw table.invalid("kind", "does not apply to [[world]]; faults of processes belong to [[faults]]");
            }
            world.add(fault);
        }
        List<ProcessFault> faults = new ArrayList<>();
        for (TomlTable table : top.tables("faults")) {
            faults.add(fault(table, seconds, sized));
        }
        top.rejectUnknownKeys();
        return new ProcessPlan(name, sized.withFaults(world), recoveryEnabled, List.copyOf(faults));
    }

    private static ProcessFault fault(TomlTable table, double seconds, Plan plan) throws TomlException {
        Kind kind = constant(table, "kind", null, Kind.values());
        List<String> names = names(table, "names", "agent-", plan.agents().count());
        List<String> nodos = names(table, "nodos", "nodo-", plan.nodos().count());
        if (kind.isOperatorCall() == nodos.isEmpty()) {
            throw table.invalid(
                    "nodos",
                    kind.isOperatorCall()
                            ? "is missing; it names the nodos that are drained or put back"
                            : "does not apply to " + kind.keyword());
        }
        if (table.has("state") && kind != Kind.KILL) {
            throw table.invalid(
                    "state", "requires kind = \"kill\": a folder is changed while its process is not running");
        }
        for (String key : List.of("clock_s", "disk_kb")) {
            if (table.has(key) && kind != Kind.KILL && kind != Kind.TERM) {
                throw table.invalid(key, "requires kind = \"kill\" or \"term\": it applies to the next process");
            }
        }
        if (table.has("links") != kind.affectsLinks()) {
            throw table.invalid(
                    "links",
                    kind.affectsLinks()
                            ? "is missing; expected one of nodos, padron, callers, door, all"
                            : "does not apply to " + kind.keyword());
        }
        State state = constant(table, "state", State.KEPT, State.values());
        if (table.has("saved_s") != (state == State.OLDER)) {
            throw table.invalid(
                    "saved_s",
                    state == State.OLDER
                            ? "is missing; it is the second at which the older copy is taken"
                            : "requires state = \"older\"");
        }
        NumberRange at = table.range("at_s", null, 0, seconds);
        double copiedAt = table.number("saved_s", 0.0, 0, at.low());
        return new ProcessFault(
                kind,
                at,
                table.range("for_s", new NumberRange(0, 0), 0, seconds),
                table.number("share", names.isEmpty() ? 1.0 : 0.0, 0, 1),
                names,
                table.range("spread_s", new NumberRange(0, 0), 0, 3600),
                state,
                table.number("clock_s", 0.0, -MAX_CLOCK_OFFSET_SECONDS, MAX_CLOCK_OFFSET_SECONDS),
                table.integer("disk_kb", 0, 0, 1 << 20),
                copiedAt,
                constant(table, "links", Links.ALL, Links.values()),
                constant(table, "direction", Direction.BOTH, Direction.values()),
                kind.needsSize() ? table.range("size", null, 0.001, 1e6) : new NumberRange(1, 1),
                nodos);
    }

    private static List<String> names(TomlTable table, String key, String prefix, int count) throws TomlException {
        List<String> names = table.texts(key);
        for (String name : names) {
            if (!name.matches(prefix + "[1-9][0-9]{0,5}")
                    || Integer.parseInt(name.substring(prefix.length())) > count) {
                throw table.invalid(key, "\"" + name + "\" is none of " + prefix + "1 to " + prefix + count);
            }
        }
        return names;
    }

    private static <E extends Enum<E>> E constant(TomlTable table, String key, E defaultValue, E[] values)
            throws TomlException {
        List<String> words = Arrays.stream(values)
                .map(value -> value.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toList();
        return values[
                words.indexOf(table.word(
                        key,
                        defaultValue == null
                                ? null
                                : defaultValue.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                        words))];
    }
}
