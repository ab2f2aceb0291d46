package gatefront.rehearsal.plan;

import gatefront.policy.Balancer.Semantics;
import gatefront.toml.NumberRange;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Writes a plan as the file that reads back as the same plan. */
public final class PlanWriter {
    private final StringBuilder out = new StringBuilder();

    private PlanWriter() {}

    /** The plan's TOML. */
    public static String text(Plan plan) {
        PlanWriter writer = new PlanWriter();
        writer.plan(plan);
        return writer.out.toString();
    }

    private void plan(Plan p) {
        put("name", quoted(p.name()));
        put("seconds", p.seconds());
        put("zones", list(p.zones()));
        put("worth_by", quoted(p.worthByWork() ? "work" : "request"));
        out.append("\n[network]\n");
        put("client_ms", p.network().clientMs());
        put("same_ms", p.network().sameZoneMs());
        put("cross_ms", p.network().crossZoneMs());
        put("jitter", p.network().jitter());
        put("megabits", p.network().megabitsPerSecond());
        put("protocol", quoted(p.network().protocol()));
        out.append("\n[agents]\n");
        put("count", p.agents().count());
        put("sockets", p.agents().maxSockets());
        put("memory_mb", p.agents().memoryMb());
        put("skew", p.agents().skew());
        nodos(p.nodos());
        out.append("\n[rules]\n");
        put("slack_ms", p.rules().answerSlackMs());
        put("drain_ms", p.rules().drainGraceMs());
        put("fall_multiple", p.rules().fallMultiple());
        put("fall_s", p.rules().fallSeconds());
        put("max_attempts", p.rules().maxAttempts());
        out.append("\n[padron]\n");
        put("notice_s", p.padron().noticeDelaySeconds());
        put("calls_s", p.padron().maxCallsPerSecond());
        put("source", quoted(p.padron().source()));
        out.append("\n[callers]\n");
        put("rate", p.clients().rate());
        put("retries", p.clients().retries());
        put("backoff_ms", p.clients().backoffMs());
        put("honour", p.clients().retryAfterCompliance());
        put("try_share", p.clients().tryTimeoutShare());
        put("hint_error", p.clients().hintError());
        put("marks_retry", p.clients().marksRetry());
        put("retry_after_ms", p.clients().retryAfterMs());
        p.classes().forEach(this::kind);
        for (Plan.Tenant each : p.tenants()) {
            out.append("\n[[tenants]]\n");
            put("name", quoted(each.name()));
            put("share", each.share());
        }
        p.faults().forEach(each -> fault(each, p.zones()));
    }

    private void nodos(Plan.Nodos n) {
        out.append("\n[nodos]\n");
        put("count", n.count());
        put("bloque", n.bloque());
        put("limited", n.limited());
        put("limit", n.limit());
        put("cold_from", n.coldFrom());
        put("cold_s", n.coldSeconds());
        put("report_ms", n.reportMs());
        put("noise", n.noise());
        put("probe_ms", n.probeMs());
        put("connection_ms", n.connectionMs());
        put("connections", n.maxConnections());
        put("idle_s", n.idleTimeoutSeconds());
        for (Plan.Machine each : n.machines()) {
            out.append("\n[[nodos.kinds]]\n");
            put("name", quoted(each.name()));
            put("share", each.share());
            put("cores", each.cores());
            put("speed", each.speed());
            put("slots", each.slots());
            put("room", each.queueCapacity());
            put("thrash", each.thrash());
            put("thrash_at", each.thrashAt());
        }
    }

    private void kind(Plan.RequestClass k) {
        out.append("\n[[classes]]\n");
        put("name", quoted(k.name()));
        put("repeats", quoted(k.semantics().name().toLowerCase(Locale.ROOT)));
        if (k.semantics() == Semantics.KEYED) {
            put("dropped_by", quoted(k.scope().name().toLowerCase(Locale.ROOT)));
            put("window_ms", k.windowMs());
        }
        put("share", k.share());
        put("work_ms", k.workMs());
        put("variation", k.variation());
        put("aim_ms", k.targetMs());
        put("give_up_ms", k.timeoutMs());
        put("worth", k.worth());
    }

    private void fault(Fault f, List<String> zones) {
        out.append("\n[[faults]]\n");
        put("kind", quoted(f.kind().keyword()));
        put("at_s", f.at());
        put("for_s", f.duration());
        if (f.kind().target() != Fault.Kind.Target.NONE && f.names().isEmpty()) {
            put("share", f.share());
            if (f.zone() >= 0) {
                put("zone", quoted(zones.get(f.zone())));
            }
        } else if (f.kind().target() != Fault.Kind.Target.NONE) {
            put("names", list(f.names()));
        }
        if (f.kind().needsSize()) {
            put("size", f.size());
        }
        if (f.spread().high() > 0) {
            put("spread_s", f.spread());
        }
        if (f.kind() == Fault.Kind.TAKEN) {
            put("every_s", f.period());
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
                : value instanceof Double figure ? number(figure) : String.valueOf(value);
        out.append(key).append(" = ").append(text).append('\n');
    }

    /** A figure as TOML has it, whole ones without a point. */
    private static String number(double figure) {
        return figure == Math.rint(figure) && Math.abs(figure) < 1e15
                ? String.valueOf((long) figure)
                : new java.math.BigDecimal(String.valueOf(figure)).toPlainString();
    }
}
