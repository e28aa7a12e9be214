package sablehinge.tools.replay.run;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import sablehinge.tools.replay.run.RequestCounts.Outcome;
import sablehinge.tools.replay.run.RequestCounts.Slice;

/** A page with plots of a replay: one file that needs no other, no script and no network. */
public final class ReportPage {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 240;
    private static final int LEFT = 70;
    private static final int BOTTOM = 30;
    private static final int TOP = 12;
    private static final int RIGHT = 130;
    /** Colours that stay apart for those who see no red or green (Okabe and Ito, Color universal design). */
    private static final String[] COLOURS = {"#009e73", "#56b4e9", "#e69f00", "#d55e00", "#cc79a7", "#000000"};

    private final LoadResult result;
    private final StringBuilder page = new StringBuilder(1 << 16);

    private ReportPage(LoadResult result) {
        this.result = result;
    }

    /** A line of a plot: its values by slice, NaN where there is none. */
    private record Line(String name, String colour, List<Double> values) {}

    /** The page of a result. */
    public static String of(LoadResult result, String title) {
        ReportPage report = new ReportPage(result);
        report.write(title);
        return report.page.toString();
    }

    private void write(String title) {
        page.append("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(text(title))
                .append("</title>\n<style>\n"
                        + "body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 "
                        + "1rem;color:#222}\n"
                        + "h1{font-size:1.4rem}h2{font-size:1.1rem;margin:2rem 0 .3rem}\n"
                        + "table{border-collapse:collapse}td,th{padding:.2rem .8rem;border-bottom:1px solid #ddd;"
                        + "text-align:right}td:first-child,th:first-child{text-align:left}\n"
                        + "svg{width:100%;height:auto}svg text{font:12px system-ui,sans-serif;fill:#444}\n"
                        + ".doubt{background:#fff0e6;border-left:.4rem solid #d55e00;padding:.5rem 1rem}\n"
                        + "</style></head><body>\n<h1>")
                .append(text(title))
                .append("</h1>\n");
        for (String doubt : result.doubts()) {
            page.append("<p class=\"doubt\"><strong>These figures don’t count:</strong> ")
                    .append(text(doubt))
                    .append("</p>\n");
        }
        page.append(String.format(
                Locale.ROOT,
                "<p>%,d requests in %,d tries over %.1f s, %.0f a second. Latency counts "
                        + "from when a request was due. Sent late by %.2f ms at p99.</p>%n",
                result.counts().requests,
                result.counts().tries,
                result.millis() / 1_000,
                result.rate(),
                result.sendError(99)));
        List<Slice> slices = slices();
        double seconds = result.counts().sliceWidth / 1_000;
        rates(slices, seconds);
        latencies(slices);
        classes();
        page.append("</body></html>\n");
    }

    private List<Slice> slices() {
        Slice[] all = result.counts().slices;
        int used = RequestCounts.SLICES;
        while (used > 0 && all[used - 1] == null) {
            used--;
        }
        List<Slice> slices = new ArrayList<>();
        for (int i = 0; i < used; i++) {
            slices.add(all[i] == null ? new Slice() : all[i]);
        }
        return slices;
    }

    private static List<Double> values(List<Slice> slices, ToDoubleFunction<Slice> value) {
        return slices.stream().map(value::applyAsDouble).toList();
    }

    private static double sum(Slice slice, Outcome... outcomes) {
        double sum = 0;
        for (Outcome outcome : outcomes) {
            sum += slice.outcomes[outcome.ordinal()];
        }
        return sum;
    }

    private void rates(List<Slice> slices, double seconds) {
        plot(
                "rate",
                "Requests a second, asked and answered",
                seconds,
                false,
                List.of(
                        new Line("asked", "#999999", values(slices, slice -> slice.requested / seconds)),
                        new Line(
                                "served",
                                COLOURS[0],
                                values(slices, slice -> sum(slice, Outcome.IN_TIME, Outcome.LATE) / seconds)),
                        new Line("refused", COLOURS[2], values(slices, slice -> sum(slice, Outcome.REFUSED) / seconds)),
                        new Line(
                                "failed or silent",
                                COLOURS[3],
                                values(
                                        slices,
                                        slice -> sum(slice, Outcome.FAILED, Outcome.UNANSWERED, Outcome.UNREACHABLE)
                                                / seconds))));
    }

    private void latencies(List<Slice> slices) {
        plot(
                "latency",
                "Latency of what was served, ms",
                result.counts().sliceWidth / 1_000,
                true,
                List.of(
                        new Line("p50", COLOURS[0], values(slices, slice -> slice.quantile(50))),
                        new Line("p90", COLOURS[1], values(slices, slice -> slice.quantile(90))),
                        new Line("p99", COLOURS[2], values(slices, slice -> slice.quantile(99))),
                        new Line("slowest", COLOURS[3], values(slices, slice -> slice.quantile(100)))));
    }

    private void plot(String id, String title, double seconds, boolean logarithmic, List<Line> lines) {
        double most = lines.stream()
                .flatMap(line -> line.values.stream())
                .filter(value -> !Double.isNaN(value))
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(1);
        most = logarithmic ? Math.pow(10, Math.ceil(Math.log10(Math.max(1, most)))) : nice(most);
        double least = logarithmic ? 0.1 : 0;
        int count = lines.get(0).values.size();
        page.append("<h2>")
                .append(text(title))
                .append("</h2>\n<svg id=\"")
                .append(id)
                .append("\" viewBox=\"0 0 ")
                .append(WIDTH)
                .append(' ')
                .append(HEIGHT)
                .append("\" role=\"img\" aria-label=\"")
                .append(text(title))
                .append("\">\n");
        for (double mark = logarithmic ? least : 0;
                mark <= most * 1.0001;
                mark = logarithmic ? mark * 10 : mark + most / 4) {
            double y = y(mark, least, most, logarithmic);
            page.append(String.format(
                    Locale.ROOT,
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
                            + "stroke=\"#ddd\"/><text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>%n",
                    LEFT,
                    WIDTH - RIGHT,
                    y,
                    y,
                    LEFT - 8,
                    y + 4,
                    number(mark)));
        }
        for (int i = 0; i <= 4; i++) {
            double x = LEFT + (WIDTH - RIGHT - LEFT) * i / 4.0;
            page.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s s</text>%n",
                    x,
                    HEIGHT - 8,
                    number(count * seconds * i / 4)));
        }
        for (int i = 0; i < lines.size(); i++) {
            Line line = lines.get(i);
            page.append("<path fill=\"none\" stroke-width=\"1.6\" stroke=\"")
                    .append(line.colour)
                    .append("\" d=\"");
            boolean drawn = false;
            for (int j = 0; j < count; j++) {
                double value = line.values.get(j);
                if (Double.isNaN(value)) {
                    drawn = false;
                    continue;
                }
                page.append(String.format(
                        Locale.ROOT,
                        "%s%.1f %.1f ",
                        drawn ? "L" : "M",
                        LEFT + (WIDTH - RIGHT - LEFT) * (j + 0.5) / Math.max(1, count),
                        y(value, least, most, logarithmic)));
                drawn = true;
            }
            page.append("\"/>\n")
                    .append(String.format(
                            Locale.ROOT,
                            "<rect x=\"%d\" y=\"%d\" width=\"14\" "
                                    + "height=\"4\" fill=\"%s\"/><text x=\"%d\" y=\"%d\">%s</text>%n",
                            WIDTH - RIGHT + 10,
                            TOP + 18 * i,
                            line.colour,
                            WIDTH - RIGHT + 30,
                            TOP + 18 * i + 7,
                            text(line.name)));
        }
        page.append("</svg>\n");
    }

    private static double y(double value, double least, double most, boolean logarithmic) {
        double part = logarithmic ? Math.log(Math.max(value, least) / least) / Math.log(most / least) : value / most;
        return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * part;
    }

    /** The least of 1, 2, 5 times a power of ten that is not below a value. */
    private static double nice(double value) {
        double power = Math.pow(10, Math.floor(Math.log10(Math.max(1e-9, value))));
        for (double step : new double[] {1, 2, 5, 10}) {
            if (step * power >= value) {
                return step * power;
            }
        }
        return 10 * power;
    }

    private static String number(double value) {
        return value >= 10 || value == Math.rint(value)
                ? String.format(Locale.ROOT, "%,.0f", value)
                : String.format(Locale.ROOT, "%.1f", value);
    }

    private void classes() {
        Map<String, RequestCounts.OfClass> classes = result.counts().classes;
        int bar = 26;
        page.append("<h2>Outcomes by class</h2>\n<svg id=\"outcomes\" viewBox=\"0 0 ")
                .append(WIDTH)
                .append(' ')
                .append(classes.size() * bar + 30)
                .append("\" role=\"img\" aria-label=\"Outcomes by class\">\n");
        int row = 0;
        for (Map.Entry<String, RequestCounts.OfClass> one : classes.entrySet()) {
            long[] outcomes = one.getValue().outcomes;
            double all = 0;
            for (long count : outcomes) {
                all += count;
            }
            String shown = one.getKey().length() > 22 ? one.getKey().substring(0, 21) + "…" : one.getKey();
            page.append(String.format(Locale.ROOT, "<text x=\"0\" y=\"%d\">%s</text>%n", row * bar + 16, text(shown)));
            double x = 170;
            for (int i = 0; i < outcomes.length && all > 0; i++) {
                double width = (WIDTH - 170) * outcomes[i] / all;
                page.append(String.format(
                        Locale.ROOT,
                        "<rect x=\"%.2f\" y=\"%d\" width=\"%.2f\" height=\"%d\" "
                                + "fill=\"%s\"><title>%s: %,d</title></rect>%n",
                        x,
                        row * bar + 2,
                        width,
                        bar - 6,
                        COLOURS[i],
                        LoadResult.name(Outcome.values()[i]),
                        outcomes[i]));
                x += width;
            }
            row++;
        }
        for (int i = 0; i < COLOURS.length; i++) {
            page.append(String.format(
                    Locale.ROOT,
                    "<rect x=\"%d\" y=\"%d\" width=\"12\" height=\"12\" fill=\"%s\"/>"
                            + "<text x=\"%d\" y=\"%d\">%s</text>%n",
                    170 + i * 118,
                    row * bar + 8,
                    COLOURS[i],
                    188 + i * 118,
                    row * bar + 19,
                    LoadResult.name(Outcome.values()[i]).replace('_', ' ')));
        }
        page.append("</svg>\n<table id=\"classes\"><tr><th>class</th>");
        for (Outcome outcome : Outcome.values()) {
            page.append("<th>")
                    .append(LoadResult.name(outcome).replace('_', ' '))
                    .append("</th>");
        }
        page.append("<th>p50 ms</th><th>p99 ms</th></tr>\n");
        classes.forEach((name, own) -> {
            page.append("<tr><td>").append(text(name)).append("</td>");
            for (long count : own.outcomes) {
                page.append(String.format(Locale.ROOT, "<td>%,d</td>", count));
            }
            page.append(String.format(
                    Locale.ROOT,
                    "<td>%.1f</td><td>%.1f</td></tr>%n",
                    own.latency.getValueAtPercentile(50) / 1e3,
                    own.latency.getValueAtPercentile(99) / 1e3));
        });
        page.append("</table>\n<p>Written ")
                .append(Instant.now().toString(), 0, 19)
                .append("Z.</p>\n");
    }

    /** What logs hold must not become part of the page's markup. */
    static String text(String plain) {
        StringBuilder safe = new StringBuilder();
        plain.codePoints().forEach(c -> {
            switch (c) {
                case '<' -> safe.append("&lt;");
                case '>' -> safe.append("&gt;");
                case '&' -> safe.append("&amp;");
                case '"' -> safe.append("&quot;");
                default -> safe.appendCodePoint(Character.isISOControl(c) ? '?' : c);
            }
        });
        return safe.toString();
    }
}
