package gatefront.rehearsal;

import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.plan.Plan;
import java.util.List;
import java.util.Locale;

/** Writes the report as one self-contained page: plots in SVG, no scripts, and nothing loaded from elsewhere. */
final class HtmlReport {
    private static final int WIDTH = 980;
    private static final int PLOT_LEFT = 64;
    private static final int PLOT_WIDTH = WIDTH - PLOT_LEFT - 16;
    private static final String[] FATE_COLOURS = {"#2a7f62", "#e0b040", "#5b7db1", "#c0504d", "#7f7f7f"};
    private static final String[] FATE_LABELS = {"in time", "late", "refused", "failed", "no answer"};
    private static final String[] LINE_COLOURS = {"#1b6ca8", "#d1495b", "#2e933c", "#8e5ea2", "#c77d0a", "#3b3b3b"};

    private static final String[] STATUSES = {"Ready", "Terminating", "Gone"};
    private static final String[] STATUS_COLOURS = {"#2e933c", "#e0a000", "#c01010"};

    private final RehearsalResult result;
    private final RunRecorder record;
    private final Plan plan;
    private final StringBuilder out = new StringBuilder(1 << 16);

    private HtmlReport(RehearsalResult result) {
        this.result = result;
        this.record = result.recorder();
        this.plan = result.plan();
    }

    static String of(RehearsalResult result) {
        HtmlReport page = new HtmlReport(result);
        page.writeHeader();
        page.writeOutcomePlot();
        page.writeClassPlot();
        page.writeAttemptPlots();
        page.writeNodoPlot();
        page.writeTables();
        page.writeBreaches();
        page.out.append("</main></body></html>\n");
        return page.out.toString();
    }

    private void append(String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values));
    }

    private static String escape(String raw) {
        return raw.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private void writeHeader() {
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
        append(
                "<h1>Rehearsal: %s</h1><p class=\"grey\">seed %d · %s s · %d agents · %d nodos · %s requests a "
                        + "second, %.0f%% of what the nodos can do when nothing is wrong</p>",
                escape(plan.name()),
                result.seed(),
                number(plan.seconds()),
                plan.agents().count(),
                plan.nodos().count(),
                number(plan.clients().rate()),
                100
                        * result.resolvedPlan().demand(plan.clients().rate())
                        / result.resolvedPlan().capacity());
        int worst = record.worstTenSecondsStart();
        append(
                "<div class=\"row\"><div><div class=\"big\">%.1f%%</div>service: worth answered in time, of what was "
                        + "asked for</div><div><div class=\"big\">%.1f%%</div>in the worst ten seconds, from %d s</div>"
                        + "<div><div class=\"big %s\">%s</div>the four rules</div></div>",
                100 * result.service(),
                100 * record.serviceOfTenSeconds(worst),
                worst,
                result.breachCount() == 0 ? "ok" : "no",
                result.breachCount() == 0 ? "kept" : "broken " + result.breachCount() + "×");
    }

    private static String number(double value) {
        return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
    }

    private double x(double second) {
        return PLOT_LEFT + PLOT_WIDTH * second / record.seconds;
    }

    private void openSvg(int height, int bandRows) {
        append("<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">", WIDTH, height, WIDTH, height);
        if (bandRows > 0) {
            writeBands(height - 22);
        }
    }

    private int bandRows() {
        return record.faultBands.size();
    }

    /** Draws each fault as a band behind the plot, with its name in a row of its own above. */
    private void writeBands(int bottom) {
        int row = 0;
        for (RunRecorder.FaultBand band : record.faultBands) {
            double from = x(band.fromSeconds());
            double width = Math.max(2, x(band.untilSeconds()) - from);
            int y = 12 + 13 * row++;
            append(
                    "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"#b58900\" opacity=\"0.09\"/>",
                    from, y, width, bottom - y);
            append(
                    "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"3\" fill=\"#b58900\" opacity=\"0.8\"/>",
                    from, y - 3, width);
            boolean right = from > PLOT_LEFT + PLOT_WIDTH * 0.85;
            append(
                    "<text x=\"%.1f\" y=\"%d\" text-anchor=\"%s\">%s</text>",
                    right ? from - 4 : from + width + 4, y + 1, right ? "end" : "start", escape(band.name()));
        }
    }

    private void writeAxes(int top, int bottom, String maxLabel) {
        for (int i = 0; i <= 4; i++) {
            double y = bottom - (bottom - top) * i / 4.0;
            append(
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>",
                    PLOT_LEFT, PLOT_LEFT + PLOT_WIDTH, y, y);
        }
        append("<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>", PLOT_LEFT - 6, top + 4, escape(maxLabel));
        append("<text x=\"%d\" y=\"%d\" text-anchor=\"end\">0</text>", PLOT_LEFT - 6, bottom + 4);
        int step = Math.max(1, (int) Math.ceil(record.seconds / 120.0) * 10);
        for (int s = 0; s <= record.seconds; s += step) {
            append("<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%d s</text>", x(s), bottom + 16, s);
        }
    }

    private void writeLegend(String[] labels, String[] colours) {
        out.append("<p class=\"key\">");
        for (int i = 0; i < labels.length; i++) {
            append("<span><i style=\"background:%s\"></i>%s</span>", colours[i % colours.length], escape(labels[i]));
        }
        out.append("</p>");
    }

    private void writeOutcomePlot() {
        out.append("<h2>Worth asked for, by what became of it (second of the first try)</h2>");
        writeLegend(FATE_LABELS, FATE_COLOURS);
        int top = 16 + 13 * bandRows();
        int bottom = top + 220;
        openSvg(bottom + 22, bandRows());
        double max = 1e-9;
        for (int s = 0; s < record.seconds; s++) {
            double total = 0;
            for (double worth : record.worthOfSecond(s)) {
                total += worth;
            }
            max = Math.max(max, total);
        }
        writeAxes(top, bottom, String.format(Locale.ROOT, "%.0f", max));
        for (int s = 0; s < record.seconds; s++) {
            double y = bottom;
            double[] fates = record.worthOfSecond(s);
            for (int f = 0; f < fates.length; f++) {
                double height = (bottom - top) * fates[f] / max;
                if (height > 0.05) {
                    y -= height;
                    append(
                            "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
                            x(s) + 0.5, y, Math.max(0.5, x(s + 1) - x(s) - 1), height, FATE_COLOURS[f]);
                }
            }
        }
        out.append("</svg>");
    }

    private void writeClassPlot() {
        out.append("<h2>Service by class: part of the worth answered in time, mean of three seconds</h2>");
        writeLegend(plan.classes().stream().map(Plan.RequestClass::name).toArray(String[]::new), LINE_COLOURS);
        int bottom = 170;
        openSvg(bottom + 22, 0);
        writeAxes(10, bottom, "100%");
        for (int k = 0; k < plan.classes().size(); k++) {
            StringBuilder points = new StringBuilder();
            for (int s = 0; s < record.seconds; s++) {
                double sum = 0;
                int n = 0;
                for (int t = Math.max(0, s - 1); t <= Math.min(record.seconds - 1, s + 1); t++) {
                    double service = record.serviceOfClassInSecond(t, k);
                    sum += Double.isNaN(service) ? 0 : service;
                    n += Double.isNaN(service) ? 0 : 1;
                }
                if (n > 0) {
                    points.append(
                            String.format(Locale.ROOT, "%.1f,%.1f ", x(s + 0.5), bottom - (bottom - 10) * sum / n));
                }
            }
            append(
                    "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.8\" points=\"%s\"/>",
                    LINE_COLOURS[k % LINE_COLOURS.length], points);
        }
        out.append("</svg>");
    }

    private void writeAttemptPlots() {
        writePlot(
                "Tries of callers and attempts at nodos, a second",
                new String[] {"tries", "attempts"},
                record.tries,
                record.attempts);
        writePlot(
                "What the fleet costs beside its requests, a second",
                new String[] {"probes", "handshakes", "list calls"},
                record.probes,
                record.handshakes,
                record.listCalls);
    }

    private void writePlot(String title, String[] names, int[]... lines) {
        out.append("<h2>").append(title).append("</h2>");
        writeLegend(names, LINE_COLOURS);
        int bottom = 130;
        openSvg(bottom + 22, 0);
        int max = 1;
        for (int s = 0; s < record.seconds; s++) {
            for (int[] line : lines) {
                max = Math.max(max, line[s]);
            }
        }
        writeAxes(10, bottom, String.valueOf(max));
        for (int i = 0; i < lines.length; i++) {
            StringBuilder points = new StringBuilder();
            for (int s = 0; s < record.seconds; s++) {
                points.append(String.format(
                        Locale.ROOT, "%.1f,%.1f ", x(s + 0.5), bottom - (bottom - 10.0) * lines[i][s] / max));
            }
            append(
                    "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.8\" points=\"%s\"/>",
                    LINE_COLOURS[i], points);
        }
        out.append("</svg>");
    }

    private void writeNodoPlot() {
        out.append("<h2>Nodos: requests held a core (white 0, dark 8 or more, striped: not running), and what the "
                + "first agent was told</h2>");
        writeLegend(STATUSES, STATUS_COLOURS);
        int shown = Math.min(record.loadByNodo.size(), 120);
        int rowHeight = shown > 40 ? 8 : 14;
        int bottom = 6 + rowHeight * shown;
        openSvg(bottom + 22, 0);
        out.append("<defs><pattern id=\"down\" width=\"5\" height=\"5\" patternUnits=\"userSpaceOnUse\" "
                + "patternTransform=\"rotate(45)\"><rect width=\"5\" height=\"5\" fill=\"#fff\"/><rect width=\"2\" "
                + "height=\"5\" fill=\"#b3261e\"/></pattern></defs>");
        for (int i = 0; i < shown; i++) {
            if (rowHeight > 10 || i % 5 == 0) {
                append(
                        "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>",
                        PLOT_LEFT - 6, 6 + rowHeight * i + rowHeight - 3, record.nodoNames.get(i));
            }
            double[] load = record.loadByNodo.get(i);
            for (int s = 0; s < load.length; s++) {
                String fill = load[s] < 0 ? "url(#down)" : shade(load[s] / 8);
                append(
                        "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>",
                        x(s), 6 + rowHeight * i, x(s + 1) - x(s) + 0.2, rowHeight - 1, fill);
            }
        }
        for (RunRecorder.StatusNews announcement : record.statusNews) {
            int status = List.of(STATUSES).indexOf(announcement.status());
            if (announcement.nodo() < shown && status >= 0) {
                append(
                        "<rect x=\"%.1f\" y=\"%d\" width=\"3\" height=\"%d\" fill=\"%s\"/>",
                        x(announcement.atSeconds()),
                        6 + rowHeight * announcement.nodo() - 1,
                        rowHeight + 1,
                        STATUS_COLOURS[status]);
            }
        }
        for (int s = 0; s <= record.seconds; s += Math.max(1, (int) Math.ceil(record.seconds / 120.0) * 10)) {
            append("<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%d s</text>", x(s), bottom + 16, s);
        }
        out.append("</svg>");
    }

    /** Returns a colour for a share from 0 to 1: from white through blue to nearly black. */
    private static String shade(double share) {
        double p = Math.max(0, Math.min(1, share));
        return String.format(
                Locale.ROOT, "#%02x%02x%02x", (int) (248 - 230 * p), (int) (250 - 205 * p), (int) (252 - 140 * p));
    }

    private void writeTables() {
        out.append("<h2>By class</h2><table><tr><th>class</th><th>service</th>");
        for (String fate : FATE_LABELS) {
            append("<th>%s</th>", fate);
        }
        out.append("</tr>");
        for (int k = 0; k < plan.classes().size(); k++) {
            append(
                    "<tr><td>%s</td><td>%.1f%%</td>",
                    escape(plan.classes().get(k).name()), 100 * record.serviceOfClass(k));
            for (int count : record.operationCounts[k]) {
                append("<td>%d</td>", count);
            }
            out.append("</tr>");
        }
        out.append("</table>");
        if (!plan.tenants().isEmpty()) {
            out.append("<h2>By municipio</h2><table>");
            for (int i = 0; i < plan.tenants().size(); i++) {
                append(
                        "<tr><td>%s</td><td>%.1f%%</td></tr>",
                        escape(plan.tenants().get(i).name()), 100 * record.serviceOfTenant(i));
            }
            out.append("</table>");
        }
        for (RunRecorder.Note note : record.notes) {
            append("<p>%.2f s: %s</p>", note.atSeconds(), escape(note.text()));
        }
    }

    private void writeBreaches() {
        if (result.breachCount() > 0) {
            append(
                    "<h2 class=\"no\">Rules broken (%d; the first %d)</h2>",
                    result.breachCount(), result.breaches().size());
        }
        for (RuleChecker.Breach breach : result.breaches()) {
            append(
                    "<p><b>%.3f s, %s</b>: %s %s</p>",
                    (breach.atMicros() - Rehearsal.OPENING_MICROS) / 1e6,
                    breach.rule().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    escape(breach.description()),
                    breach.request().isEmpty() ? "" : "(request " + escape(breach.request()) + ")");
            if (!breach.history().isEmpty()) {
                append("<pre>%s</pre>", escape(String.join("\n", breach.history())));
            }
        }
    }
}
