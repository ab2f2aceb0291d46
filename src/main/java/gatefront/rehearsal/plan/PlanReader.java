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

/** Reads rehearsal plans. An invalid plan gives an error of one line with file, line and key. */
public final class PlanReader {
    /** Names of the plans that are packaged in the jar. */
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
    /** The protocols between clients, agents and servers. */
    public static final List<String> PROTOCOLS =
            List.of("http", "framed-binary", "framed-compact", "unframed-binary", "unframed-compact");
    /** The sources of the server list. */
    public static final List<String> SOURCES = List.of("padron", "etcd", "consul");
    /** Maximum number of agents, and of nodos, in a plan. */
    public static final int MAX_COUNT = 10_000;

    private static final double MAX_WEIGHT = 1e9;

    private final String file;

    private PlanReader(String file) {
        this.file = file;
    }

    /**
     * Reads a plan file.
     *
     * @param path the file
     * @return the plan
     * @throws TomlException if the plan is invalid
     */
    public static Plan read(Path path) throws TomlException {
        return parse(path.toString(), TomlFile.read(path, "; built in are " + String.join(", ", BUILT_IN)));
    }

    /** Reads a built-in plan. */
    public static Plan builtIn(String name) throws TomlException {
        return parse(name + ".toml", builtInText(name));
    }

    /** Returns the text of a built-in plan. */
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
     * Parses the text of a plan.
     *
     * @param file its name in error messages
     * @param text the TOML
     * @return the plan
     * @throws TomlException if the plan is invalid
     */
    public static Plan parse(String file, String text) throws TomlException {
        return new PlanReader(file).plan(TomlFile.parse(file, text));
    }

    private Plan plan(TomlTable top) throws TomlException {
        String name = top.text("name", null);
        double seconds = top.number("seconds", null, 1, 86_400);
        List<String> zones = top.texts("zones");
        requireDistinct(top, "zones", zones);
        boolean worthByWork =
                top.word("worth_by", "request", List.of("request", "work")).equals("work");
        Plan.Network network = network(top.table("network"));
        Plan.Agents agents = agents(top.table("agents"));
        Plan.Nodos nodos = nodos(top.table("nodos"));
        Plan.Rules rules = rules(top.table("rules"));
        TomlTable source = top.table("padron");
        Plan.Discovery padron = new Plan.Discovery(
                source.range("notice_s", new NumberRange(0.5, 2), 0, 60),
                source.number("calls_s", 0.0, 0, 1e6),
                source.word("source", "padron", SOURCES));
        List<Plan.RequestClass> classes = classes(top);
        Plan.Clients clients = clients(top.table("callers"), classes);
        List<Plan.Tenant> tenants = new ArrayList<>();
        for (TomlTable table : top.tables("tenants")) {
            tenants.add(new Plan.Tenant(table.text("name", null), table.number("share", null, 0, MAX_WEIGHT)));
        }
        requireDistinct(top, "tenants", tenants.stream().map(Plan.Tenant::name).toList());
        List<Fault> faults = new ArrayList<>();
        for (TomlTable table : top.tables("faults")) {
            Fault fault = fault(table, seconds, agents.count(), nodos.count(), zones);
            if (fault.kind().needsRegistry() && padron.source().equals("padron")) {
                throw table.invalid(
                        "kind", fault.kind().keyword() + " needs a registry: [padron] source = \"etcd\" or \"consul\"");
            }
            faults.add(fault);
        }
        top.rejectUnknownKeys();
        return new Plan(
                name,
                seconds,
                zones,
                worthByWork,
                network,
                agents,
                nodos,
                rules,
                padron,
                clients,
                classes,
                List.copyOf(tenants),
                List.copyOf(faults));
    }

    private static void requireDistinct(TomlTable table, String key, List<String> names) throws TomlException {
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                throw table.invalid(key, "\"" + name + "\" is listed twice");
            }
        }
        if (names.isEmpty() && !key.equals("tenants")) {
            throw table.invalid(key, "is missing; at least one is needed");
        }
    }

    private static Plan.Network network(TomlTable table) throws TomlException {
        return new Plan.Network(
                table.number("client_ms", 0.3, 0, 1000),
                table.number("same_ms", 0.3, 0, 1000),
                table.range("cross_ms", new NumberRange(2, 2), 0, 1000),
                table.number("jitter", 0.2, 0, 1),
                table.number("megabits", 1000.0, 0.1, 1e6),
                table.word("protocol", "http", PROTOCOLS));
    }

    private static Plan.Agents agents(TomlTable table) throws TomlException {
        return new Plan.Agents(
                table.integer("count", 5, 1, MAX_COUNT),
                table.integer("sockets", 384, 64, 1 << 20),
                table.integer("memory_mb", 128, 16, 1 << 20),
                table.number("skew", 0.5, 0, 3));
    }

    private static Plan.Nodos nodos(TomlTable table) throws TomlException {
        List<Plan.Machine> machines = new ArrayList<>();
        for (TomlTable kind : table.tables("kinds")) {
            int cores = kind.integer("cores", 2, 1, 1024);
            machines.add(new Plan.Machine(
                    kind.text("name", null),
                    kind.number("share", 1.0, 0, MAX_WEIGHT),
                    cores,
                    kind.range("speed", new NumberRange(1, 1), 0.01, 100),
                    kind.integer("slots", 2 * cores, 1, 100_000),
                    kind.integer("room", 16 * cores, 0, 1_000_000),
                    kind.number("thrash", 0.0, 0, 10),
                    kind.number("thrash_at", 4.0, 0, 1000)));
        }
        requireDistinct(
                table, "kinds", machines.stream().map(Plan.Machine::name).toList());
        return new Plan.Nodos(
                table.integer("count", 14, 1, MAX_COUNT),
                table.range("bloque", new NumberRange(6, 10), 1, 10_000),
                table.range("limited", new NumberRange(0, 0), 0, 1),
                table.range("limit", new NumberRange(0.6, 0.6), 0.01, 1),
                table.range("cold_from", new NumberRange(0.13, 0.13), 0.01, 1),
                table.range("cold_s", new NumberRange(24, 24), 0.1, 3600),
                table.range("report_ms", new NumberRange(330, 980), 1, 60_000),
                table.number("noise", 0.1, 0, 1),
                table.range("probe_ms", new NumberRange(0.51, 1), 0, 1000),
                table.range("connection_ms", new NumberRange(1, 1), 0, 1000),
                table.integer("connections", 200, 1, 1 << 20),
                table.number("idle_s", 60.0, 0.1, 3600),
                machines);
    }

    private static Plan.Rules rules(TomlTable table) throws TomlException {
        return new Plan.Rules(
                table.number("slack_ms", 20.0, 0, 10_000),
                table.number("drain_ms", 500.0, 0, 60_000),
                table.number("fall_multiple", 3.0, 1, 1000),
                table.number("fall_s", 3.0, 0.1, 600),
                table.integer("max_attempts", 6, 1, 60));
    }

    private static Plan.Clients clients(TomlTable table, List<Plan.RequestClass> classes) throws TomlException {
        return new Plan.Clients(
                table.number("rate", null, 0.01, 1e6),
                table.integer("retries", 2, 0, 20),
                table.number("backoff_ms", 50.0, 1, 60_000),
                table.number("honour", 0.8, 0, 1),
                table.range("try_share", new NumberRange(0.5, 0.8), 0.05, 1),
                table.number("hint_error", 0.4, 0, 5),
                table.bool("marks_retry", true),
                table.number("retry_after_ms", 1000.0, 0, 60_000));
    }

    private static List<Plan.RequestClass> classes(TomlTable top) throws TomlException {
        List<Plan.RequestClass> classes = new ArrayList<>();
        for (TomlTable table : top.tables("classes")) {
            Semantics semantics = Semantics.valueOf(table.word("repeats", null, List.of("safe", "keyed", "unsafe"))
                    .toUpperCase(Locale.ROOT));
            boolean keyed = semantics == Semantics.KEYED;
            if (!keyed && (table.has("window_ms") || table.has("dropped_by"))) {
                throw table.invalid(
                        table.has("window_ms") ? "window_ms" : "dropped_by", "requires repeats = \"keyed\"");
            }
            Scope scope = Scope.valueOf(table.word("dropped_by", "all", List.of("all", "zone", "cell"))
                    .toUpperCase(Locale.ROOT));
            double targetMs = table.number("aim_ms", null, 1, 3_600_000);
            double timeoutMs = table.number("give_up_ms", null, 1, 3_600_000);
            if (targetMs > timeoutMs) {
                throw table.invalid("aim_ms", "is later than give_up_ms, when clients stop waiting");
            }
            classes.add(new Plan.RequestClass(
                    table.text("name", null),
                    semantics,
                    scope,
                    keyed ? table.number("window_ms", null, 1, 3_600_000) : 0,
                    table.number("share", 1.0, 0, MAX_WEIGHT),
                    table.range("work_ms", null, 0.001, 3_600_000),
                    table.number("variation", 0.5, 0, 10),
                    targetMs,
                    timeoutMs,
                    table.number("worth", 1.0, 0, MAX_WEIGHT)));
        }
        requireDistinct(
                top, "classes", classes.stream().map(Plan.RequestClass::name).toList());
        return List.copyOf(classes);
    }

    /** Reads a fault of the simulated world. */
    public static Fault fault(TomlTable table, double seconds, int agents, int nodos, List<String> zones)
            throws TomlException {
        List<String> keywords =
                Arrays.stream(Fault.Kind.values()).map(Fault.Kind::keyword).toList();
        String keyword = table.word("kind", null, keywords);
        Fault.Kind kind = Fault.Kind.values()[keywords.indexOf(keyword)];
        NumberRange at = table.range("at_s", null, 0, seconds);
        List<String> names = table.texts("names");
        if (kind.target() == Fault.Kind.Target.NONE && (table.has("names") || table.has("share"))) {
            throw table.invalid(
                    table.has("names") ? "names" : "share",
                    "does not apply to " + keyword + ", which affects everything");
        }
        String prefix = kind.target() == Fault.Kind.Target.AGENTS ? "agent-" : "nodo-";
        int count = kind.target() == Fault.Kind.Target.AGENTS ? agents : nodos;
        for (String name : names) {
            if (!name.matches(prefix + "[1-9][0-9]{0,5}")
                    || Integer.parseInt(name.substring(prefix.length())) > count) {
                throw table.invalid("names", "\"" + name + "\" is none of " + prefix + "1 to " + prefix + count);
            }
        }
        NumberRange size = kind.needsSize() ? table.range("size", null, 0, 1000) : new NumberRange(1, 1);
        boolean sizeIsShare = kind == Fault.Kind.FAIL
                || kind == Fault.Kind.TAKEN
                || kind == Fault.Kind.BREAK_OFF
                || kind == Fault.Kind.HURRY;
        if (sizeIsShare && size.high() > 1) {
            throw table.invalid("size", "is a share for " + keyword + " and must be within 0 to 1");
        }
        if ((kind == Fault.Kind.SLOW || kind == Fault.Kind.JUMP) && size.low() <= 0) {
            throw table.invalid("size", "is a factor for " + keyword + " and must be above 0");
        }
        for (String key : List.of("zone", "spread_s")) {
            if (table.has(key)
                    && (kind.target() == Fault.Kind.Target.NONE
                            || kind == Fault.Kind.AGENT_RESTART && key.equals("spread_s"))) {
                throw table.invalid(
                        key,
                        "does not apply to " + keyword
                                + (kind == Fault.Kind.AGENT_RESTART
                                        ? ": for_s is the interval between agents"
                                        : ", which affects everything"));
            }
        }
        if (table.has("zone") && table.has("names")) {
            throw table.invalid("zone", "cannot be combined with names, which already select what is affected");
        }
        int zone = table.has("zone") ? zones.indexOf(table.word("zone", null, zones)) : -1;
        return new Fault(
                kind,
                at,
                table.range("for_s", new NumberRange(10, 10), 0, 86_400),
                table.number("share", zone < 0 ? 0.25 : 1, 0, 1),
                names,
                size,
                kind == Fault.Kind.TAKEN
                        ? table.range("every_s", new NumberRange(2, 4), 0.1, 3600)
                        : new NumberRange(1, 1),
                zone,
                table.range("spread_s", new NumberRange(0, 0), 0, 3600));
    }
}
