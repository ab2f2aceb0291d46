package gatefront.rehearsal;

import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.plan.Plan;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;

/** Writes the report of a rehearsal as JSON. The same plan and seed give the same bytes in any JVM. */
public final class JsonReport {
    /** Version of the format; incremented when a field is removed or changes its meaning. */
    static final int VERSION = 1;

    private JsonReport() {}

    /** Writes {@code report.json} and {@code report.html} into a folder, which is created if it does not exist. */
    public static void write(RehearsalResult result, Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.write(folder.resolve("report.json"), toBytes(result));
        Files.writeString(folder.resolve("report.html"), HtmlReport.of(result));
    }

    /** Returns the report as encoded JSON. */
    public static byte[] toBytes(RehearsalResult result) throws IOException {
        DefaultPrettyPrinter printer = new DefaultPrettyPrinter();
        printer.indentObjectsWith(new DefaultIndenter(" ", "\n"));
        return (new ObjectMapper().writer(printer).writeValueAsString(toTree(result)) + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the report as a tree with its fields in a fixed order. */
    public static ObjectNode toTree(RehearsalResult result) {
        Plan plan = result.plan();
        RunRecorder record = result.recorder();
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("version", VERSION)
                .put("plan", plan.name())
                .put("seed", result.seed())
                .put("seconds", plan.seconds())
                .put("agents", plan.agents().count())
                .put("nodos", plan.nodos().count())
                .put("rate", plan.clients().rate())
                .put(
                        "load",
                        round(result.resolvedPlan().demand(plan.clients().rate())
                                / result.resolvedPlan().capacity()));
        int worst = record.worstTenSecondsStart();
        ObjectNode service = root.putObject("service");
        service.put("whole", round(result.service()));
        service.put("worst_ten_seconds", round(record.serviceOfTenSeconds(worst)))
                .put("worst_ten_from", worst);
        ObjectNode classes = service.putObject("classes");
        for (int i = 0; i < plan.classes().size(); i++) {
            classes.put(plan.classes().get(i).name(), round(record.serviceOfClass(i)));
        }
        ObjectNode tenants = service.putObject("tenants");
        for (int i = 0; i < plan.tenants().size(); i++) {
            tenants.put(plan.tenants().get(i).name(), round(record.serviceOfTenant(i)));
        }
        ObjectNode requests = root.putObject("requests");
        for (int i = 0; i < plan.classes().size(); i++) {
            ObjectNode counts = requests.putObject(plan.classes().get(i).name());
            for (RunRecorder.Outcome fate : RunRecorder.Outcome.values()) {
                counts.put(keyword(fate), record.operationCounts[i][fate.ordinal()]);
            }
        }
        root.putObject("fleet")
                .put("probes_a_request", round(record.perOperation(record.probes)))
                .put("handshakes_a_request", round(record.perOperation(record.handshakes)))
                .put("list_calls_a_request", round(record.perOperation(record.listCalls)))
                .put("attempts_a_request", round(record.perOperation(record.attempts)))
                .put(
                        "connections_of_the_fullest",
                        Arrays.stream(record.maxConnections).max().orElse(0))
                .put("connections_most", plan.nodos().maxConnections())
                .put(
                        "part_of_what_topples",
                        round(Arrays.stream(record.maxColdOverloadShare).max().orElse(0)));
        record.fleetLoad.writeTo(root.putObject("crowd"));
        writeRules(root.putObject("rules"), result);
        ArrayNode troubles = root.putArray("troubles");
        for (ResolvedPlan.ScheduledFault fault : result.resolvedPlan().faults()) {
            ObjectNode trouble = troubles.addObject()
                    .put("kind", fault.fault().kind().keyword())
                    .put("at", round(fault.startMicros() / 1e6))
                    .put("until", round(fault.endMicros() / 1e6))
                    .put("size", round(fault.size()));
            ArrayNode targets = trouble.putArray("targets");
            for (int target : fault.targets()) {
                targets.add(target + 1);
            }
        }
        record.resourceUsage.writeTo(root.putObject("held"));
        writeSeconds(root, record);
        writeNodos(root, record);
        ArrayNode notes = root.putArray("notes");
        record.notes.forEach(
                note -> notes.addObject().put("at", round(note.atSeconds())).put("text", note.text()));
        ArrayNode log = root.putArray("log");
        result.log().forEach(log::add);
        root.put("closed_idle", record.idleConnectionsClosed).put("tasks", result.tasks());
        return root;
    }

    private static void writeRules(ObjectNode rules, RehearsalResult result) {
        rules.put("kept", result.breachCount() == 0).put("broken", result.breachCount());
        ArrayNode breaches = rules.putArray("breaches");
        for (RuleChecker.Breach breach : result.breaches()) {
            ObjectNode node = breaches.addObject()
                    .put("at", round((breach.atMicros() - Rehearsal.OPENING_MICROS) / 1e6))
                    .put("rule", breach.rule().name().toLowerCase(Locale.ROOT).replace('_', ' '))
                    .put("request", breach.request())
                    .put("what", breach.description());
            ArrayNode history = node.putArray("history");
            breach.history().forEach(history::add);
        }
    }

    private static void writeSeconds(ObjectNode root, RunRecorder record) {
        ArrayNode seconds = root.putArray("by_second");
        for (int s = 0; s < record.seconds; s++) {
            ObjectNode second = seconds.addObject().put("second", s);
            double[] fates = record.worthOfSecond(s);
            for (RunRecorder.Outcome fate : RunRecorder.Outcome.values()) {
                second.put(keyword(fate), round(fates[fate.ordinal()]));
            }
            second.put("tries", record.tries[s])
                    .put("attempts", record.attempts[s])
                    .put("probes", record.probes[s])
                    .put("handshakes", record.handshakes[s])
                    .put("list_calls", record.listCalls[s])
                    .put("list_calls_turned_away", record.listCallsRefused[s])
                    .put("connections_of_the_fullest", record.maxConnections[s])
                    .put("part_of_what_topples", round(record.maxColdOverloadShare[s]));
        }
        ObjectNode load = root.putObject("held_a_core");
        for (int i = 0; i < record.loadByNodo.size(); i++) {
            ArrayNode nodo = load.putArray(record.nodoNames.get(i));
            for (double value : record.loadByNodo.get(i)) {
                nodo.add(round(value));
            }
        }
    }

    private static void writeNodos(ObjectNode root, RunRecorder record) {
        ObjectNode served = root.putObject("served");
        for (int i = 0; i < record.servedByNodo.size(); i++) {
            ArrayNode nodo = served.putArray(record.nodoNames.get(i));
            for (int count : record.servedByNodo.get(i)) {
                nodo.add(count);
            }
        }
        ArrayNode statusChanges = root.putArray("told");
        record.statusNews.forEach(announcement -> statusChanges
                .addObject()
                .put("at", round(announcement.atSeconds()))
                .put("nodo", announcement.nodo() + 1)
                .put("status", announcement.status()));
    }

    static String keyword(RunRecorder.Outcome fate) {
        return fate.name().toLowerCase(Locale.ROOT);
    }

    /** Rounds to four decimal places, so that a difference in the last bit does not make two reports differ. */
    static double round(double value) {
        return Math.rint(value * 1e4) / 1e4;
    }
}
