package gatefront.rehearsal.plan;

import gatefront.policy.Balancer.Semantics;
import gatefront.toml.NumberRange;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Writes a plan as TOML that reads back as an equal plan. */
public final class PlanWriter {
    private final StringBuilder out = new StringBuilder();

    private PlanWriter() {}

    /** Returns the TOML text of a plan. */
    public static String text(Plan plan) {
        PlanWriter writer = new PlanWriter();
        writer.plan(plan);
        return writer.out.toString();
    }

    private void plan(Plan plan) {
        put("name", quoted(plan.name()));
        put("seconds", plan.seconds());
        put("zones", list(plan.zones()));
        put("worth_by", quoted(plan.worthByWork() ? "work" : "request"));
        out.append("\n[network]\n");
        put("client_ms", plan.network().clientMs());
        put("same_ms", plan.network().sameZoneMs());
        put("cross_ms", plan.network().crossZoneMs());
        put("jitter", plan.network().jitter());
        put("megabits", plan.network().megabitsPerSecond());
        put("protocol", quoted(plan.network().protocol()));
        out.append("\n[agents]\n");
        put("count", plan.agents().count());
        put("sockets", plan.agents().maxSockets());
        put("memory_mb", plan.agents().memoryMb());
        put("skew", plan.agents().skew());
        nodos(plan.nodos());
        out.append("\n[rules]\n");
        put("slack_ms", plan.rules().answerSlackMs());
        put("drain_ms", plan.rules().drainGraceMs());
        put("fall_multiple", plan.rules().fallMultiple());
        put("fall_s", plan.rules().fallSeconds());
        put("max_attempts", plan.rules().maxAttempts());
        out.append("\n[padron]\n");
        put("notice_s", plan.padron().noticeDelaySeconds());
        put("calls_s", plan.padron().maxCallsPerSecond());
        put("source", quoted(plan.padron().source()));
        out.append("\n[callers]\n");
        put("rate", plan.clients().rate());
        put("retries", plan.clients().retries());
        put("backoff_ms", plan.clients().backoffMs());
        put("honour", plan.clients().retryAfterCompliance());
        put("try_share", plan.clients().tryTimeoutShare());
        put("hint_error", plan.clients().hintError());
        put("marks_retry", plan.clients().marksRetry());
        put("retry_after_ms", plan.clients().retryAfterMs());
        plan.classes().forEach(this::requestClass);
        for (Plan.Tenant tenant : plan.tenants()) {
            out.append("\n[[tenants]]\n");
            put("name", quoted(tenant.name()));
            put("share", tenant.share());
        }
        plan.faults().forEach(fault -> fault(fault, plan.zones()));
    }

    private void nodos(Plan.Nodos nodos) {
        out.append("\n[nodos]\n");
        put("count", nodos.count());
        put("bloque", nodos.bloque());
        put("limited", nodos.limited());
        put("limit", nodos.limit());
        put("cold_from", nodos.coldFrom());
        put("cold_s", nodos.coldSeconds());
        put("report_ms", nodos.reportMs());
        put("noise", nodos.noise());
        put("probe_ms", nodos.probeMs());
        put("connection_ms", nodos.connectionMs());
        put("connections", nodos.maxConnections());
        put("idle_s", nodos.idleTimeoutSeconds());
        for (Plan.Machine machine : nodos.machines()) {
            out.append("\n[[nodos.kinds]]\n");
            put("name", quoted(machine.name()));
            put("share", machine.share());
            put("cores", machine.cores());
            put("speed", machine.speed());
            put("slots", machine.slots());
            put("room", machine.queueCapacity());
            put("thrash", machine.thrash());
            put("thrash_at", machine.thrashAt());
        }
    }

    private void requestClass(Plan.RequestClass requestClass) {
        out.append("\n[[classes]]\n");
        put("name", quoted(requestClass.name()));
        put("repeats", quoted(requestClass.semantics().name().toLowerCase(Locale.ROOT)));
        if (requestClass.semantics() == Semantics.KEYED) {
            put("dropped_by", quoted(requestClass.scope().name().toLowerCase(Locale.ROOT)));
            put("window_ms", requestClass.windowMs());
        }
        put("share", requestClass.share());
        put("work_ms", requestClass.workMs());
        put("variation", requestClass.variation());
        put("aim_ms", requestClass.targetMs());
        put("give_up_ms", requestClass.timeoutMs());
        put("worth", requestClass.worth());
    }

    private void fault(Fault fault, List<String> zones) {
        out.append("\n[[faults]]\n");
        put("kind", quoted(fault.kind().keyword()));
        put("at_s", fault.at());
        put("for_s", fault.duration());
        if (fault.kind().target() != Fault.Kind.Target.NONE && fault.names().isEmpty()) {
            put("share", fault.share());
            if (fault.zone() >= 0) {
                put("zone", quoted(zones.get(fault.zone())));
            }
        } else if (fault.kind().target() != Fault.Kind.Target.NONE) {
            put("names", list(fault.names()));
        }
        if (fault.kind().needsSize()) {
            put("size", fault.size());
        }
        if (fault.spread().high() > 0) {
            put("spread_s", fault.spread());
        }
        if (fault.kind() == Fault.Kind.TAKEN) {
            put("every_s", fault.period());
        }
    }

    private static String quoted(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private static String list(List<String> texts) {
        return texts.stream().map(PlanWriter::quoted).collect(Collectors.joining(", ", "[", "]"));
    }

    private void put(String key, Object value) {
        String text = value instanceof NumberRange range
                ? range.low() == range.high()
                        ? number(range.low())
                        : "[" + number(range.low()) + ", " + number(range.high()) + "]"
                : value instanceof Double decimal ? number(decimal) : String.valueOf(value);
        out.append(key).append(" = ").append(text).append('\n');
    }

    /** Formats a number for TOML; whole numbers have no decimal point. */
    private static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? String.valueOf((long) value)
                : new java.math.BigDecimal(String.valueOf(value)).toPlainString();
    }
}
