package stagepier.lab.report;

import java.util.List;

/** The page that people look at: the verdict first, then figures, then charts. */
final class Page {
    private static final String STYLE = """
            body{font:15px/1.5 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}
            table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .9em;border-bottom:1px solid #ddd;text-align:right}
            td:first-child,th:first-child{text-align:left}.clean{color:#2c7a3f}.broken{color:#b3261e}
            img{width:100%;border:1px solid #eee;margin:.4em 0}h1 small{font-weight:normal;color:#777}""";

    private Page() {}

    static String html(RunResult r, Summary s, List<String> charts) {
        StringBuilder b = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
                .append(escape(s.scenario()))
                .append("</title><style>")
                .append(STYLE)
                .append("</style><h1>")
                .append(escape(s.scenario()))
                .append(" <small>seed ")
                .append(s.seed())
                .append("</small></h1><p>")
                .append(escape(s.about()))
                .append("</p>");
        b.append(
                s.clean()
                        ? "<h2 class=\"clean\">All rules kept</h2>"
                        : "<h2 class=\"broken\">"
                                + (s.valid()
                                        ? s.breaches().size() + " broken rules or promises"
                                        : "Not valid: the load was not sent as planned")
                                + "</h2>");
        if (!s.breaches().isEmpty()) {
            b.append("<ul>");
            s.breaches().forEach(x -> b.append("<li>").append(escape(x)).append("</li>"));
            b.append("</ul>");
        }
        if (!s.promises().isEmpty()) {
            b.append("<h2>What the fleet promises</h2><pre>");
            s.promises().forEach(x -> b.append(escape(x)).append('\n'));
            b.append("</pre>");
        }
        b.append("<table><tr><th>figure</th><th>value</th></tr>");
        row(b, "Service (worth in time / asked)", "%.4f".formatted(s.service()));
        row(b, "Lowest second", "%.3f".formatted(s.lowestService()));
        row(
                b,
                "Back at 95% after the first fault",
                s.recoverySeconds() == null ? "not within the run" : "%.1f s".formatted(s.recoverySeconds()));
        row(b, "Requests offered", Long.toString(s.offered()));
        s.fates().forEach((fate, n) -> row(b, "&emsp;" + fate.replace('_', ' '), Long.toString(n)));
        row(b, "Attempts a request (worst second)", "%.3f (%.2f)".formatted(s.attempts(), s.worstAttempts()));
        row(b, "Latency p50 / p99 / p99.9", "%.1f / %.1f / %.1f ms".formatted(s.p50(), s.p99(), s.p999()));
        row(b, "Origin fetches", Long.toString(s.fetches()));
        s.fetchesByCause().forEach((cause, n) -> row(b, "&emsp;" + cause.replace('_', ' '), Long.toString(n)));
        row(
                b,
                "Connections opened at nodes (most at one)",
                s.nodeConnectionsOpened() + " (" + s.nodeConnectionsMost() + ")");
        row(b, "Turned away by nodes", Long.toString(s.nodeTurnedAway()));
        for (int i = 0; i < s.cpuSeconds().size(); i++) {
            row(
                    b,
                    "Router " + i + ": ready, CPU, memory",
                    "%.2f s, %.2f s, %.0f MB"
                            .formatted(
                                    s.readySeconds().get(i),
                                    s.cpuSeconds().get(i),
                                    s.residentMb().get(i)));
        }
        row(b, "Generator late at p99", "%.2f ms".formatted(s.generatorLagP99()));
        b.append("</table>");
        charts.forEach(c -> b.append("<img src=\"")
                .append(c)
                .append(".svg\" alt=\"")
                .append(c)
                .append("\">"));
        return b.append("</html>").toString();
    }

    private static void row(StringBuilder b, String name, String value) {
        b.append("<tr><td>").append(name).append("</td><td>").append(value).append("</td></tr>");
    }

    static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
