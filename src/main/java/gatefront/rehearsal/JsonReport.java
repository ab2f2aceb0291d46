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

/** The report of a rehearsal as JSON. The same plan and seed give the same bytes, in any JVM. */
public final class JsonReport {
    /** Grows when a field changes its meaning or goes. */
    static final int VERSION = 1;

    private JsonReport() {}

    /** Writes {@code report.json} and {@code report.html} into a folder, which is made if need be. */
    public static void write(RehearsalResult outcome, Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.write(folder.resolve("report.json"), bytes(outcome));
        Files.writeString(folder.resolve("report.html"), HtmlReport.of(outcome));
    }

    /** The JSON's bytes. */
    public static byte[] bytes(RehearsalResult outcome) throws IOException {
        DefaultPrettyPrinter printer = new DefaultPrettyPrinter();
        printer.indentObjectsWith(new DefaultIndenter(" ", "\n"));
        return (new ObjectMapper().writer(printer).writeValueAsString(json(outcome)) + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** The report as a tree; its fields are in a fixed order. */
    public static ObjectNode json(RehearsalResult outcome) {
        Plan plan = outcome.plan();
        RunRecorder record = outcome.recorder();
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("version", VERSION)
                .put("plan", plan.name())
                .put("seed", outcome.seed())
                .put("seconds", plan.seconds())
                .put("agents", plan.agents().count())
                .put("nodos", plan.nodos().count())
                .put("rate", plan.callers().rate())
                .put(
                        "load",
                        round(outcome.resolvedPlan().demand(plan.callers().rate())
                                / outcome.resolvedPlan().capacity()));
        int worst = record.worstTenSecondsStart();
        ObjectNode service = root.putObject("service");
        service.put("whole", round(outcome.service()));
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
                counts.put(word(fate), record.operationCounts[i][fate.ordinal()]);
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
                .put("connections_most", plan.nodos().connections())
                .put(
                        "part_of_what_topples",
                        round(Arrays.stream(record.maxColdOverloadShare).max().orElse(0)));
        record.fleetLoad.writeTo(root.putObject("crowd"));
        rules(root.putObject("rules"), outcome);
        ArrayNode troubles = root.putArray("troubles");
        for (ResolvedPlan.ScheduledFault each : outcome.resolvedPlan().faults()) {
            ObjectNode trouble = troubles.addObject()
                    .put("kind", each.fault().kind().word())
                    .put("at", round(each.startMicros() / 1e6))
                    .put("until", round(each.endMicros() / 1e6))
                    .put("size", round(each.size()));
            ArrayNode targets = trouble.putArray("targets");
            for (int target : each.targets()) {
                targets.add(target + 1);
            }
        }
        record.resourceUsage.writeTo(root.putObject("held"));
        seconds(root, record);
        nodos(root, record);
        ArrayNode notes = root.putArray("notes");
        record.notes.forEach(
                each -> notes.addObject().put("at", round(each.atSeconds())).put("text", each.text()));
        ArrayNode log = root.putArray("log");
        outcome.log().forEach(log::add);
        root.put("closed_idle", record.idleConnectionsClosed).put("tasks", outcome.tasks());
        return root;
    }

    private static void rules(ObjectNode rules, RehearsalResult outcome) {
        rules.put("kept", outcome.breachCount() == 0).put("broken", outcome.breachCount());
        ArrayNode breaches = rules.putArray("breaches");
        for (RuleChecker.Breach each : outcome.breaches()) {
            ObjectNode breach = breaches.addObject()
                    .put("at", round((each.atMicros() - Rehearsal.OPENING_MICROS) / 1e6))
                    .put("rule", each.rule().name().toLowerCase(Locale.ROOT).replace('_', ' '))
                    .put("request", each.request())
                    .put("what", each.description());
            ArrayNode history = breach.putArray("history");
            each.history().forEach(history::add);
        }
    }

    private static void seconds(ObjectNode root, RunRecorder record) {
        ArrayNode seconds = root.putArray("by_second");
        for (int s = 0; s < record.seconds; s++) {
            ObjectNode second = seconds.addObject().put("second", s);
            double[] fates = record.worthOfSecond(s);
            for (RunRecorder.Outcome fate : RunRecorder.Outcome.values()) {
                second.put(word(fate), round(fates[fate.ordinal()]));
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
            for (double each : record.loadByNodo.get(i)) {
                nodo.add(round(each));
            }
        }
    }

    private static void nodos(ObjectNode root, RunRecorder record) {
        ObjectNode served = root.putObject("served");
        for (int i = 0; i < record.servedByNodo.size(); i++) {
            ArrayNode nodo = served.putArray(record.nodoNames.get(i));
            for (int each : record.servedByNodo.get(i)) {
                nodo.add(each);
            }
        }
        ArrayNode told = root.putArray("told");
        record.statusNews.forEach(each -> told.addObject()
                .put("at", round(each.atSeconds()))
                .put("nodo", each.nodo() + 1)
                .put("status", each.status()));
    }

    static String word(RunRecorder.Outcome fate) {
        return fate.name().toLowerCase(Locale.ROOT);
    }

    /** To four places: what is beyond says nothing, and a last bit must not make two reports differ. */
    static double round(double value) {
        return Math.rint(value * 1e4) / 1e4;
    }
}
