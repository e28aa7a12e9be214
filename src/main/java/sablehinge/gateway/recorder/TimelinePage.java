package sablehinge.gateway.recorder;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sablehinge.gateway.recorder.Timeline.Span;
import sablehinge.gateway.recorder.Timeline.Step;

/** An HTML page with the states of the connections of a dump over time: a single file without scripts. */
public final class TimelinePage {

    /** The maximum number of connections drawn: those with the most events. */
    static final int MAX_ROWS = 400;

    private static final int WIDTH = 1_000;
    private static final int LEFT = 90;
    private static final int ROW = 9;
    private static final int TOP = 24;
    /** Colours that readers with red-green colour blindness can distinguish (Okabe and Ito, Color universal design). */
    private static final Map<String, String> COLOURS = Map.of(
            "idle",
            "#dddddd",
            "connecting",
            "#cc79a7",
            "request",
            "#56b4e9",
            "waiting",
            "#0072b2",
            "moving",
            "#009e73",
            "paused",
            "#e69f00",
            "full",
            "#d55e00");

    private final Timeline timeline;
    private final StringBuilder page = new StringBuilder(1 << 16);

    private TimelinePage(Timeline timeline) {
        this.timeline = timeline;
    }

    /** Creates the page of a dump. */
    public static String of(Timeline timeline) {
        TimelinePage page = new TimelinePage(timeline);
        page.write();
        return page.page.toString();
    }

    private static String text(String raw) {
        return raw.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private void write() {
        Dump dump = timeline.dump();
        String title = dump.node() + ": " + dump.reason();
        page.append("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(text(title))
                .append("</title>\n<style>\n"
                        + "body{font:15px/1.5 system-ui,sans-serif;max-width:70rem;margin:2rem auto;padding:0 "
                        + "1rem;color:#222}\nh1{font-size:1.4rem}svg{width:100%;height:auto}\n"
                        + "svg text{font:8px system-ui,sans-serif;fill:#444}.key{display:inline-block;width:.9em;"
                        + "height:.9em;margin:0 .3em 0 1em}pre{background:#f4f4f4;padding:.6rem;overflow:auto}\n"
                        + "</style></head><body>\n<h1>")
                .append(text(title))
                .append("</h1>\n<p>")
                .append(text(dump.detail()))
                .append("</p>\n<p>")
                .append(Instant.ofEpochMilli(dump.atMillis()))
                .append(", ")
                .append(dump.events().size())
                .append(" events, ")
                .append(dump.lost())
                .append(" older ones overwritten.</p>\n");
        if (!dump.stack().isEmpty()) {
            page.append("<h2>The loop's thread</h2>\n<pre>")
                    .append(text(dump.stack()))
                    .append("</pre>\n");
        }
        COLOURS.entrySet().stream().sorted(Map.Entry.comparingByKey()).forEach(entry -> page.append(
                        "<span class=\"key\" style=\"background:")
                .append(entry.getValue())
                .append("\"></span>")
                .append(entry.getKey()));
        draw();
        page.append("</body></html>\n");
    }

    private void draw() {
        Map<Integer, Integer> counts = timeline.connections();
        List<Integer> rows = counts.keySet().stream()
                .sorted(Comparator.<Integer>comparingInt(counts::get).reversed())
                .limit(MAX_ROWS)
                .sorted()
                .toList();
        List<Step> all = timeline.steps(0, 0);
        double first = all.isEmpty() ? -1 : Math.min(-1e-3, all.get(0).millis());
        int height = TOP + rows.size() * ROW + 4;
        page.append(String.format(
                Locale.ROOT,
                "%n<svg viewBox=\"0 0 %d %d\" role=\"img\" aria-label=\"" + "state of each connection over time\">%n",
                WIDTH,
                height));
        for (int i = 0; i <= 4; i++) {
            double at = first * (4 - i) / 4;
            page.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%.1f\" y=\"12\" text-anchor=\"middle\">"
                            + "%.0f ms</text><line x1=\"%.1f\" x2=\"%.1f\" y1=\"15\" y2=\"%d\" stroke=\"#ccc\"/>%n",
                    x(at, first),
                    at,
                    x(at, first),
                    x(at, first),
                    height));
        }
        for (int row = 0; row < rows.size(); row++) {
            int y = TOP + row * ROW;
            page.append(String.format(
                    Locale.ROOT, "<text x=\"4\" y=\"%d\">connection %d</text>%n", y + ROW - 2, rows.get(row)));
            for (Span span : timeline.spans(rows.get(row))) {
                page.append(String.format(
                        Locale.ROOT,
                        "<rect x=\"%.2f\" y=\"%d\" width=\"%.2f\" height="
                                + "\"%d\" fill=\"%s\"><title>%s, %.3f to %.3f ms</title></rect>%n",
                        x(span.from(), first),
                        y,
                        Math.max(0.3, x(span.to(), first) - x(span.from(), first)),
                        ROW - 2,
                        COLOURS.get(span.state()),
                        span.state(),
                        span.from(),
                        span.to()));
            }
        }
        page.append("</svg>\n");
        if (counts.size() > rows.size()) {
            page.append("<p>")
                    .append(counts.size() - rows.size())
                    .append(" connections with fewer events are not drawn.</p>\n");
        }
    }

    private static double x(double millis, double first) {
        return LEFT + (WIDTH - LEFT - 30) * (1 - millis / first);
    }
}
