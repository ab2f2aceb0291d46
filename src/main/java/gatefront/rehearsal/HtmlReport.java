package gatefront.rehearsal;

import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.plan.Plan;
import java.util.List;
import java.util.Locale;

/** The report as one self-contained page: plots in SVG, no scripts, nothing loaded from elsewhere. */
final class HtmlReport {
    private static final int WIDTH = 980;
    private static final int LEFT = 64;
    private static final int PLOT = WIDTH - LEFT - 16;
    private static final String[] FATE_COLOURS = {"#2a7f62", "#e0b040", "#5b7db1", "#c0504d", "#7f7f7f"};
    private static final String[] FATE_WORDS = {"in time", "late", "refused", "failed", "no answer"};
    private static final String[] LINES = {"#1b6ca8", "#d1495b", "#2e933c", "#8e5ea2", "#c77d0a", "#3b3b3b"};

    private static final String[] TOLD = {"Ready", "Terminating", "Gone"};
    private static final String[] TOLD_COLOURS = {"#2e933c", "#e0a000", "#c01010"};

    private final RehearsalResult outcome;
    private final RunRecorder record;
    private final Plan plan;
    private final StringBuilder out = new StringBuilder(1 << 16);

    private HtmlReport(RehearsalResult outcome) {
        this.outcome = outcome;
        this.record = outcome.recorder();
        this.plan = outcome.plan();
    }

    static String of(RehearsalResult outcome) {
        HtmlReport page = new HtmlReport(outcome);
        page.head();
        page.worth();
        page.classes();
        page.attempts();
        page.nodos();
        page.tables();
        page.breaches();
        page.out.append("</main></body></html>\n");
        return page.out.toString();
    }

    private void add(String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values));
    }

    private static String text(String raw) {
        return raw.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private void head() {
        out.append(
                """
            <!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><title>Rehearsal</title><style>
            body{font:15px/1.45 system-ui,sans-serif;color:#222;background:#fff;margin:0}
            main{max-width:1000px;margin:0 auto;padding:16px}h1{font-size:22px;margin:8px 0}
            h2{font-size:16px;margin:26px 0 4px}p{margin:4px 0}svg{display:block;max-width:100%}
            text{font:11px system-ui,sans-serif;fill:#444}.key span{display:inline-block;margin-right:16px}
            .key i{display:inline-block;width:11px;height:11px;margin-right:5px}
            .big{font-size:30px;font-weight:600}.ok{color:#2a7f62}.no{color:#b3261e}
            table{border-collapse:collapse;margin:6px 0}td,th{padding:2px 12px 2px 0;text-align:right}
            td:first-child,th:first-child{text-align:left}pre{background:#f5f5f5;padding:8px;overflow:auto}
            .row{display:flex;gap:48px;margin:10px 0}.grey{color:#666}
            </style></head><body><main>
            """);
        add(
                "<h1>Rehearsal: %s</h1><p class=\"grey\">seed %d · %s s · %d agents · %d nodos · %s requests a "
                        + "second, %.0f%% of what the nodos can do when nothing is wrong</p>",
                text(plan.name()),
                outcome.seed(),
                plain(plan.seconds()),
                plan.agents().count(),
                plan.nodos().count(),
                plain(plan.callers().rate()),
                100
                        * outcome.resolvedPlan().demand(plan.callers().rate())
                        / outcome.resolvedPlan().capacity());
        int worst = record.worstTenSecondsStart();
        add(
                "<div class=\"row\"><div><div class=\"big\">%.1f%%</div>service: worth answered in time, of what was "
                        + "asked for</div><div><div class=\"big\">%.1f%%</div>in the worst ten seconds, from %d s</div>"
                        + "<div><div class=\"big %s\">%s</div>the four rules</div></div>",
                100 * outcome.service(),
                100 * record.serviceOfTenSeconds(worst),
                worst,
                outcome.breachCount() == 0 ? "ok" : "no",
                outcome.breachCount() == 0 ? "kept" : "broken " + outcome.breachCount() + "×");
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
    }

    private double x(double second) {
        return LEFT + PLOT * second / record.seconds;
    }

    private void open(int height, int bandRows) {
        add("<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">", WIDTH, height, WIDTH, height);
        if (bandRows > 0) {
            bands(height - 22);
        }
    }

    private int bandRows() {
        return record.faultBands.size();
    }

    /** Each trouble as a band behind the plot and its name in a row of its own above. */
    private void bands(int bottom) {
        int row = 0;
        for (RunRecorder.FaultBand each : record.faultBands) {
            double from = x(each.fromSeconds());
            double wide = Math.max(2, x(each.untilSeconds()) - from);
            int y = 12 + 13 * row++;
            add(
                    "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"#b58900\" opacity=\"0.09\"/>",
                    from, y, wide, bottom - y);
            add(
                    "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"3\" fill=\"#b58900\" opacity=\"0.8\"/>",
                    from, y - 3, wide);
            boolean right = from > LEFT + PLOT * 0.85;
            add(
                    "<text x=\"%.1f\" y=\"%d\" text-anchor=\"%s\">%s</text>",
                    right ? from - 4 : from + wide + 4, y + 1, right ? "end" : "start", text(each.name()));
        }
    }

    private void axis(int top, int bottom, String most) {
        for (int i = 0; i <= 4; i++) {
            double y = bottom - (bottom - top) * i / 4.0;
            add("<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>", LEFT, LEFT + PLOT, y, y);
        }
        add("<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>", LEFT - 6, top + 4, text(most));
        add("<text x=\"%d\" y=\"%d\" text-anchor=\"end\">0</text>", LEFT - 6, bottom + 4);
        int step = Math.max(1, (int) Math.ceil(record.seconds / 120.0) * 10);
        for (int s = 0; s <= record.seconds; s += step) {
            add("<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%d s</text>", x(s), bottom + 16, s);
        }
    }

    private void key(String[] words, String[] colours) {
        out.append("<p class=\"key\">");
        for (int i = 0; i < words.length; i++) {
            add("<span><i style=\"background:%s\"></i>%s</span>", colours[i % colours.length], text(words[i]));
        }
        out.append("</p>");
    }

    private void worth() {
        out.append("<h2>Worth asked for, by what became of it (second of the first try)</h2>");
        key(FATE_WORDS, FATE_COLOURS);
        int top = 16 + 13 * bandRows();
        int bottom = top + 220;
        open(bottom + 22, bandRows());
        double most = 1e-9;
        for (int s = 0; s < record.seconds; s++) {
            double all = 0;
            for (double each : record.worthOfSecond(s)) {
                all += each;
            }
            most = Math.max(most, all);
        }
        axis(top, bottom, String.format(Locale.ROOT, "%.0f", most));
        for (int s = 0; s < record.seconds; s++) {
            double at = bottom;
            double[] fates = record.worthOfSecond(s);
            for (int f = 0; f < fates.length; f++) {
                double high = (bottom - top) * fates[f] / most;
                if (high > 0.05) {
                    at -= high;
                    add(
                            "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
                            x(s) + 0.5, at, Math.max(0.5, x(s + 1) - x(s) - 1), high, FATE_COLOURS[f]);
                }
            }
        }
        out.append("</svg>");
    }

    private void classes() {
        out.append("<h2>Service by class: part of the worth answered in time, mean of three seconds</h2>");
        key(plan.classes().stream().map(Plan.Kind::name).toArray(String[]::new), LINES);
        int bottom = 170;
        open(bottom + 22, 0);
        axis(10, bottom, "100%");
        for (int k = 0; k < plan.classes().size(); k++) {
            StringBuilder points = new StringBuilder();
            for (int s = 0; s < record.seconds; s++) {
                double sum = 0;
                int n = 0;
                for (int t = Math.max(0, s - 1); t <= Math.min(record.seconds - 1, s + 1); t++) {
                    double each = record.serviceOfClassInSecond(t, k);
                    sum += Double.isNaN(each) ? 0 : each;
                    n += Double.isNaN(each) ? 0 : 1;
                }
                if (n > 0) {
                    points.append(
                            String.format(Locale.ROOT, "%.1f,%.1f ", x(s + 0.5), bottom - (bottom - 10) * sum / n));
                }
            }
            add(
                    "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.8\" points=\"%s\"/>",
                    LINES[k % LINES.length], points);
        }
        out.append("</svg>");
    }

    private void attempts() {
        plot(
                "Tries of callers and attempts at nodos, a second",
                new String[] {"tries", "attempts"},
                record.tries,
                record.attempts);
        plot(
                "What the fleet costs beside its requests, a second",
                new String[] {"probes", "handshakes", "list calls"},
                record.probes,
                record.handshakes,
                record.listCalls);
    }

    private void plot(String title, String[] names, int[]... lines) {
        out.append("<h2>").append(title).append("</h2>");
        key(names, LINES);
        int bottom = 130;
        open(bottom + 22, 0);
        int most = 1;
        for (int s = 0; s < record.seconds; s++) {
            for (int[] line : lines) {
                most = Math.max(most, line[s]);
            }
        }
        axis(10, bottom, String.valueOf(most));
        for (int i = 0; i < lines.length; i++) {
            StringBuilder points = new StringBuilder();
            for (int s = 0; s < record.seconds; s++) {
                points.append(String.format(
                        Locale.ROOT, "%.1f,%.1f ", x(s + 0.5), bottom - (bottom - 10.0) * lines[i][s] / most));
            }
            add("<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.8\" points=\"%s\"/>", LINES[i], points);
        }
        out.append("</svg>");
    }

    private void nodos() {
        out.append("<h2>Nodos: requests held a core (white 0, dark 8 or more, striped: not running), and what the "
                + "first agent was told</h2>");
        key(TOLD, TOLD_COLOURS);
        int shown = Math.min(record.loadByNodo.size(), 120);
        int high = shown > 40 ? 8 : 14;
        int bottom = 6 + high * shown;
        open(bottom + 22, 0);
        out.append("<defs><pattern id=\"down\" width=\"5\" height=\"5\" patternUnits=\"userSpaceOnUse\" "
                + "patternTransform=\"rotate(45)\"><rect width=\"5\" height=\"5\" fill=\"#fff\"/><rect width=\"2\" "
                + "height=\"5\" fill=\"#b3261e\"/></pattern></defs>");
        for (int i = 0; i < shown; i++) {
            if (high > 10 || i % 5 == 0) {
                add(
                        "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>",
                        LEFT - 6, 6 + high * i + high - 3, record.nodoNames.get(i));
            }
            double[] load = record.loadByNodo.get(i);
            for (int s = 0; s < load.length; s++) {
                String fill = load[s] < 0 ? "url(#down)" : shade(load[s] / 8);
                add(
                        "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>",
                        x(s), 6 + high * i, x(s + 1) - x(s) + 0.2, high - 1, fill);
            }
        }
        for (RunRecorder.StatusNews each : record.statusNews) {
            int status = List.of(TOLD).indexOf(each.status());
            if (each.nodo() < shown && status >= 0) {
                add(
                        "<rect x=\"%.1f\" y=\"%d\" width=\"3\" height=\"%d\" fill=\"%s\"/>",
                        x(each.atSeconds()), 6 + high * each.nodo() - 1, high + 1, TOLD_COLOURS[status]);
            }
        }
        for (int s = 0; s <= record.seconds; s += Math.max(1, (int) Math.ceil(record.seconds / 120.0) * 10)) {
            add("<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%d s</text>", x(s), bottom + 16, s);
        }
        out.append("</svg>");
    }

    /** From white over blue to nearly black. */
    private static String shade(double part) {
        double p = Math.max(0, Math.min(1, part));
        return String.format(
                Locale.ROOT, "#%02x%02x%02x", (int) (248 - 230 * p), (int) (250 - 205 * p), (int) (252 - 140 * p));
    }

    private void tables() {
        out.append("<h2>By class</h2><table><tr><th>class</th><th>service</th>");
        for (String each : FATE_WORDS) {
            add("<th>%s</th>", each);
        }
        out.append("</tr>");
        for (int k = 0; k < plan.classes().size(); k++) {
            add("<tr><td>%s</td><td>%.1f%%</td>", text(plan.classes().get(k).name()), 100 * record.serviceOfClass(k));
            for (int count : record.operationCounts[k]) {
                add("<td>%d</td>", count);
            }
            out.append("</tr>");
        }
        out.append("</table>");
        if (!plan.tenants().isEmpty()) {
            out.append("<h2>By municipio</h2><table>");
            for (int i = 0; i < plan.tenants().size(); i++) {
                add(
                        "<tr><td>%s</td><td>%.1f%%</td></tr>",
                        text(plan.tenants().get(i).name()), 100 * record.serviceOfTenant(i));
            }
            out.append("</table>");
        }
        for (RunRecorder.Note each : record.notes) {
            add("<p>%.2f s: %s</p>", each.atSeconds(), text(each.text()));
        }
    }

    private void breaches() {
        if (outcome.breachCount() > 0) {
            add(
                    "<h2 class=\"no\">Rules broken (%d; the first %d)</h2>",
                    outcome.breachCount(), outcome.breaches().size());
        }
        for (RuleChecker.Breach each : outcome.breaches()) {
            add(
                    "<p><b>%.3f s, %s</b>: %s %s</p>",
                    (each.atMicros() - Rehearsal.OPENING_MICROS) / 1e6,
                    each.rule().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    text(each.description()),
                    each.request().isEmpty() ? "" : "(request " + text(each.request()) + ")");
            if (!each.history().isEmpty()) {
                add("<pre>%s</pre>", text(String.join("\n", each.history())));
            }
        }
    }
}
