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

/** Reads plans with several processes. Whatever is wrong is one line, and nothing is started. */
public final class ProcessPlanReader {
    /** The plans that come with the jar. */
    public static final List<String> BUILT_IN =
            List.of("restart-most", "state-lost", "stopped-and-woken", "crash-loop");
    /** Agents at the most: each is a process of some 60 MB. */
    public static final int AGENTS_MOST = 200;

    private static final String FOLDER = "processes/";
    private static final double DAYS = 30 * 86_400;

    private ProcessPlanReader() {}

    /** Reads a plan file; {@code agents} in place of the plan's, where it is not null. */
    public static ProcessPlan read(Path path, Integer agents) throws TomlException {
        return parse(path.toString(), TomlFile.read(path, "; built in are " + String.join(", ", BUILT_IN)), agents);
    }

    /** A plan that comes with the jar. */
    public static ProcessPlan builtIn(String name, Integer agents) throws TomlException {
        return parse(name + ".toml", builtInText(name), agents);
    }

    /** Its text, as a start for plans of one's own. */
    public static String builtInText(String name) throws TomlException {
        return PlanReader.builtInText(FOLDER + name);
    }

    /** Reads a plan's text. */
    public static ProcessPlan parse(String file, String text, Integer asked) throws TomlException {
        TomlTable top = TomlFile.parse(file, text);
        String name = top.text("name", null);
        String base = top.word("day", "processes", List.of("processes"));
        double seconds = top.number("seconds", null, 2, 3_600);
        int usual = top.integer("agents", 24, 1, AGENTS_MOST);
        int nodos = top.integer("nodos", usual, 1, PlanReader.COUNT_MOST);
        boolean keeps = top.bool("keeps", true);
        double load = top.number("load", 0.5, 0.01, 2);
        int agents = asked == null ? usual : asked;
        if (agents < 1 || agents > AGENTS_MOST) {
            throw top.invalid("agents", "is to be 1 to " + AGENTS_MOST);
        }
        Plan day = PlanReader.parse(base + ".toml", PlanReader.builtInText(FOLDER + base));
        Plan sized = day.sized(agents, Math.max(1, (nodos * agents + usual - 1) / usual))
                .withSeconds(seconds);
        sized = sized.withRate(sized.callers().rate() * load);
        List<Fault> world = new ArrayList<>();
        for (TomlTable each : top.tables("world")) {
            Fault fault = PlanReader.fault(
                    each, seconds, sized.agents().count(), sized.nodos().count(), sized.zones());
            if (fault.kind().whom() == Fault.Kind.Whom.AGENTS || fault.kind().ofRegistry()) {
                throw each.invalid("kind", "is not of the world; [[faults]] has what happens to processes");
            }
            world.add(fault);
        }
        List<ProcessFault> faults = new ArrayList<>();
        for (TomlTable each : top.tables("faults")) {
            faults.add(fault(each, seconds, sized));
        }
        top.rejectUnknownKeys();
        return new ProcessPlan(name, sized.with(world), keeps, List.copyOf(faults));
    }

    private static ProcessFault fault(TomlTable t, double seconds, Plan day) throws TomlException {
        Kind kind = word(t, "kind", null, Kind.values());
        List<String> names = names(t, "names", "agent-", day.agents().count());
        List<String> nodos = names(t, "nodos", "nodo-", day.nodos().count());
        if (kind.byHand() == nodos.isEmpty()) {
            throw t.invalid(
                    "nodos",
                    kind.byHand()
                            ? "is missing; it says who is taken out or put back"
                            : "means nothing for " + kind.word());
        }
        if (t.has("state") && kind != Kind.KILL) {
            throw t.invalid("state", "goes with kind = \"kill\": a folder is changed while its process is dead");
        }
        for (String key : List.of("clock_s", "disk_kb")) {
            if (t.has(key) && kind != Kind.KILL && kind != Kind.TERM) {
                throw t.invalid(key, "goes with kind = \"kill\" or \"term\": it is for the next process");
            }
        }
        if (t.has("links") != kind.ofLinks()) {
            throw t.invalid(
                    "links",
                    kind.ofLinks()
                            ? "is missing; it says which links: nodos, padron, callers, door, all"
                            : "means nothing for " + kind.word());
        }
        State state = word(t, "state", State.KEPT, State.values());
        if (t.has("saved_s") != (state == State.OLDER)) {
            throw t.invalid(
                    "saved_s",
                    state == State.OLDER
                            ? "is missing; it is the second of which the older copy is"
                            : "goes with state = \"older\"");
        }
        NumberRange at = t.range("at_s", null, 0, seconds);
        double saved = t.number("saved_s", 0.0, 0, at.low());
        return new ProcessFault(
                kind,
                at,
                t.range("for_s", new NumberRange(0, 0), 0, seconds),
                t.number("share", names.isEmpty() ? 1.0 : 0.0, 0, 1),
                names,
                t.range("spread_s", new NumberRange(0, 0), 0, 3600),
                state,
                t.number("clock_s", 0.0, -DAYS, DAYS),
                t.integer("disk_kb", 0, 0, 1 << 20),
                saved,
                word(t, "links", Links.ALL, Links.values()),
                word(t, "direction", Direction.BOTH, Direction.values()),
                kind.sized() ? t.range("size", null, 0.001, 1e6) : new NumberRange(1, 1),
                nodos);
    }

    private static List<String> names(TomlTable t, String key, String prefix, int most) throws TomlException {
        List<String> names = t.texts(key);
        for (String name : names) {
            if (!name.matches(prefix + "[1-9][0-9]{0,5}") || Integer.parseInt(name.substring(prefix.length())) > most) {
                throw t.invalid(key, "\"" + name + "\" is none of " + prefix + "1 to " + prefix + most);
            }
        }
        return names;
    }

    private static <E extends Enum<E>> E word(TomlTable t, String key, E otherwise, E[] all) throws TomlException {
        List<String> words = Arrays.stream(all)
                .map(each -> each.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toList();
        return all[
                words.indexOf(t.word(
                        key,
                        otherwise == null
                                ? null
                                : otherwise.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                        words))];
    }
}
