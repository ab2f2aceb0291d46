package gatefront.rehearsal.plan;

import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import gatefront.toml.NumberRange;
import gatefront.toml.TomlException;
import gatefront.toml.TomlFile;
import gatefront.toml.TomlTable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Reads plans. Whatever is wrong is one line, and nothing is played. */
public final class PlanReader {
    /** The plans that come with the jar. */
    public static final List<String> BUILT_IN = List.of(
            "cashier-rush",
            "calm",
            "rough",
            "large",
            "fleet-herd",
            "fleet-zone",
            "fleet-join",
            "mass-join",
            "mass-zone",
            "mass-herd",
            "mass-roll",
            "registry",
            "soak");
    /** What may be spoken between callers, agents and nodos. */
    public static final List<String> PROTOCOLS =
            List.of("http", "framed-binary", "framed-compact", "unframed-binary", "unframed-compact");
    /** Where agents may have the server list from. */
    public static final List<String> SOURCES = List.of("padron", "etcd", "consul");
    /** Agents, and nodos, of a plan at the most. */
    public static final int COUNT_MOST = 10_000;

    private static final double MANY = 1e9;

    private final String file;

    private PlanReader(String file) {
        this.file = file;
    }

    /**
     * Reads a plan file.
     *
     * @param path where it is
     * @return the plan
     * @throws TomlException if it cannot be played
     */
    public static Plan read(Path path) throws TomlException {
        return parse(path.toString(), TomlFile.read(path, "; built in are " + String.join(", ", BUILT_IN)));
    }

    /** A plan that comes with the jar. */
    public static Plan builtIn(String name) throws TomlException {
        return parse(name + ".toml", builtInText(name));
    }

    /** Its text, as a start for plans of one's own. */
    public static String builtInText(String name) throws TomlException {
        try (InputStream in = PlanReader.class.getResourceAsStream("/gatefront/plans/" + name + ".toml")) {
            if (in == null) {
                throw new TomlException(name + ": no such plan; built in are " + String.join(", ", BUILT_IN));
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new TomlException(name + ": cannot be read: " + e.getMessage());
        }
    }

    /**
     * Reads a plan's text.
     *
     * @param file its name in messages
     * @param text the TOML
     * @return the plan
     * @throws TomlException if it cannot be played
     */
    public static Plan parse(String file, String text) throws TomlException {
        return new PlanReader(file).plan(TomlFile.parse(file, text));
    }

    private Plan plan(TomlTable top) throws TomlException {
        String name = top.text("name", null);
        double seconds = top.number("seconds", null, 1, 86_400);
        List<String> zones = top.texts("zones");
        distinct(top, "zones", zones);
        boolean byWork =
                top.word("worth_by", "request", List.of("request", "work")).equals("work");
        Plan.Net network = network(top.table("network"));
        Plan.Agents agents = agents(top.table("agents"));
        Plan.Nodos nodos = nodos(top.table("nodos"));
        Plan.Rules rules = rules(top.table("rules"));
        TomlTable list = top.table("padron");
        Plan.Registry padron = new Plan.Registry(
                list.range("notice_s", new NumberRange(0.5, 2), 0, 60),
                list.number("calls_s", 0.0, 0, 1e6),
                list.word("source", "padron", SOURCES));
        List<Plan.Kind> classes = classes(top);
        Plan.Callers callers = callers(top.table("callers"), classes);
        List<Plan.Tenant> tenants = new ArrayList<>();
        for (TomlTable each : top.tables("tenants")) {
            tenants.add(new Plan.Tenant(each.text("name", null), each.number("share", null, 0, MANY)));
        }
        distinct(top, "tenants", tenants.stream().map(Plan.Tenant::name).toList());
        List<Fault> faults = new ArrayList<>();
        for (TomlTable each : top.tables("faults")) {
            Fault fault = fault(each, seconds, agents.count(), nodos.count(), zones);
            if (fault.kind().ofRegistry() && padron.source().equals("padron")) {
                throw each.invalid(
                        "kind", fault.kind().word() + " needs a registry: [padron] source = \"etcd\" or \"consul\"");
            }
            faults.add(fault);
        }
        top.rejectUnknownKeys();
        return new Plan(
                name,
                seconds,
                zones,
                byWork,
                network,
                agents,
                nodos,
                rules,
                padron,
                callers,
                classes,
                List.copyOf(tenants),
                List.copyOf(faults));
    }

    private static void distinct(TomlTable table, String key, List<String> names) throws TomlException {
        Set<String> seen = new HashSet<>();
        for (String each : names) {
            if (!seen.add(each)) {
                throw table.invalid(key, "\"" + each + "\" stands there twice");
            }
        }
        if (names.isEmpty() && !key.equals("tenants")) {
            throw table.invalid(key, "is missing; at least one is needed");
        }
    }

    private static Plan.Net network(TomlTable t) throws TomlException {
        return new Plan.Net(
                t.number("client_ms", 0.3, 0, 1000),
                t.number("same_ms", 0.3, 0, 1000),
                t.range("cross_ms", new NumberRange(2, 2), 0, 1000),
                t.number("jitter", 0.2, 0, 1),
                t.number("megabits", 1000.0, 0.1, 1e6),
                t.word("protocol", "http", PROTOCOLS));
    }

    private static Plan.Agents agents(TomlTable t) throws TomlException {
        return new Plan.Agents(
                t.integer("count", 5, 1, COUNT_MOST),
                t.integer("sockets", 384, 64, 1 << 20),
                t.integer("memory_mb", 128, 16, 1 << 20),
                t.number("skew", 0.5, 0, 3));
    }

    private static Plan.Nodos nodos(TomlTable t) throws TomlException {
        List<Plan.Machine> kinds = new ArrayList<>();
        for (TomlTable each : t.tables("kinds")) {
            int cores = each.integer("cores", 2, 1, 1024);
            kinds.add(new Plan.Machine(
                    each.text("name", null),
                    each.number("share", 1.0, 0, MANY),
                    cores,
                    each.range("speed", new NumberRange(1, 1), 0.01, 100),
                    each.integer("slots", 2 * cores, 1, 100_000),
                    each.integer("room", 16 * cores, 0, 1_000_000),
                    each.number("thrash", 0.0, 0, 10),
                    each.number("thrash_at", 4.0, 0, 1000)));
        }
        distinct(t, "kinds", kinds.stream().map(Plan.Machine::name).toList());
        return new Plan.Nodos(
                t.integer("count", 14, 1, COUNT_MOST),
                t.range("bloque", new NumberRange(6, 10), 1, 10_000),
                t.range("limited", new NumberRange(0, 0), 0, 1),
                t.range("limit", new NumberRange(0.6, 0.6), 0.01, 1),
                t.range("cold_from", new NumberRange(0.13, 0.13), 0.01, 1),
                t.range("cold_s", new NumberRange(24, 24), 0.1, 3600),
                t.range("report_ms", new NumberRange(330, 980), 1, 60_000),
                t.number("noise", 0.1, 0, 1),
                t.range("probe_ms", new NumberRange(0.51, 1), 0, 1000),
                t.range("connection_ms", new NumberRange(1, 1), 0, 1000),
                t.integer("connections", 200, 1, 1 << 20),
                t.number("idle_s", 60.0, 0.1, 3600),
                kinds);
    }

    private static Plan.Rules rules(TomlTable t) throws TomlException {
        return new Plan.Rules(
                t.number("slack_ms", 20.0, 0, 10_000),
                t.number("drain_ms", 500.0, 0, 60_000),
                t.number("fall_multiple", 3.0, 1, 1000),
                t.number("fall_s", 3.0, 0.1, 600),
                t.integer("max_attempts", 6, 1, 60));
    }

    private static Plan.Callers callers(TomlTable t, List<Plan.Kind> classes) throws TomlException {
        return new Plan.Callers(
                t.number("rate", null, 0.01, 1e6),
                t.integer("retries", 2, 0, 20),
                t.number("backoff_ms", 50.0, 1, 60_000),
                t.number("honour", 0.8, 0, 1),
                t.range("try_share", new NumberRange(0.5, 0.8), 0.05, 1),
                t.number("hint_error", 0.4, 0, 5),
                t.bool("marks_retry", true),
                t.number("retry_after_ms", 1000.0, 0, 60_000));
    }

    private static List<Plan.Kind> classes(TomlTable top) throws TomlException {
        List<Plan.Kind> classes = new ArrayList<>();
        for (TomlTable t : top.tables("classes")) {
            Semantics semantics = Semantics.valueOf(
                    t.word("repeats", null, List.of("safe", "keyed", "unsafe")).toUpperCase(Locale.ROOT));
            boolean keyed = semantics == Semantics.KEYED;
            if (!keyed && (t.has("window_ms") || t.has("dropped_by"))) {
                throw t.invalid(
                        t.has("window_ms") ? "window_ms" : "dropped_by",
                        "means something for repeats = \"keyed\" only");
            }
            Scope scope = Scope.valueOf(
                    t.word("dropped_by", "all", List.of("all", "zone", "cell")).toUpperCase(Locale.ROOT));
            double aim = t.number("aim_ms", null, 1, 3_600_000);
            double giveUp = t.number("give_up_ms", null, 1, 3_600_000);
            if (aim > giveUp) {
                throw t.invalid("aim_ms", "is later than give_up_ms, when nobody waits any more");
            }
            classes.add(new Plan.Kind(
                    t.text("name", null),
                    semantics,
                    scope,
                    keyed ? t.number("window_ms", null, 1, 3_600_000) : 0,
                    t.number("share", 1.0, 0, MANY),
                    t.range("work_ms", null, 0.001, 3_600_000),
                    t.number("variation", 0.5, 0, 10),
                    aim,
                    giveUp,
                    t.number("worth", 1.0, 0, MANY)));
        }
        distinct(top, "classes", classes.stream().map(Plan.Kind::name).toList());
        return List.copyOf(classes);
    }

    /** Reads one fault of the world. */
    public static Fault fault(TomlTable t, double seconds, int agents, int nodos, List<String> zones)
            throws TomlException {
        List<String> words =
                Arrays.stream(Fault.Kind.values()).map(Fault.Kind::word).toList();
        String word = t.word("kind", null, words);
        Fault.Kind kind = Fault.Kind.values()[words.indexOf(word)];
        NumberRange at = t.range("at_s", null, 0, seconds);
        List<String> names = t.texts("names");
        if (kind.whom() == Fault.Kind.Whom.NOBODY && (t.has("names") || t.has("share"))) {
            throw t.invalid(t.has("names") ? "names" : "share", "means nothing for " + word + ": it meets all");
        }
        String prefix = kind.whom() == Fault.Kind.Whom.AGENTS ? "agent-" : "nodo-";
        int most = kind.whom() == Fault.Kind.Whom.AGENTS ? agents : nodos;
        for (String name : names) {
            if (!name.matches(prefix + "[1-9][0-9]{0,5}") || Integer.parseInt(name.substring(prefix.length())) > most) {
                throw t.invalid("names", "\"" + name + "\" is none of " + prefix + "1 to " + prefix + most);
            }
        }
        NumberRange size = kind.sized() ? t.range("size", null, 0, 1000) : new NumberRange(1, 1);
        boolean part = kind == Fault.Kind.FAIL
                || kind == Fault.Kind.TAKEN
                || kind == Fault.Kind.BREAK_OFF
                || kind == Fault.Kind.HURRY;
        if (part && size.high() > 1) {
            throw t.invalid("size", "is a part for " + word + ", from 0 to 1");
        }
        if ((kind == Fault.Kind.SLOW || kind == Fault.Kind.JUMP) && size.low() <= 0) {
            throw t.invalid("size", "is a factor for " + word + ", above 0");
        }
        for (String key : List.of("zone", "spread_s")) {
            if (t.has(key)
                    && (kind.whom() == Fault.Kind.Whom.NOBODY
                            || kind == Fault.Kind.AGENT_RESTART && key.equals("spread_s"))) {
                throw t.invalid(
                        key,
                        "means nothing for " + word
                                + (kind == Fault.Kind.AGENT_RESTART ? ": for_s says how far apart" : ": it meets all"));
            }
        }
        if (t.has("zone") && t.has("names")) {
            throw t.invalid("zone", "cannot stand beside names, which tell already whom it meets");
        }
        int zone = t.has("zone") ? zones.indexOf(t.word("zone", null, zones)) : -1;
        return new Fault(
                kind,
                at,
                t.range("for_s", new NumberRange(10, 10), 0, 86_400),
                t.number("share", zone < 0 ? 0.25 : 1, 0, 1),
                names,
                size,
                kind == Fault.Kind.TAKEN ? t.range("every_s", new NumberRange(2, 4), 0.1, 3600) : new NumberRange(1, 1),
                zone,
                t.range("spread_s", new NumberRange(0, 0), 0, 3600));
    }
}
