package sablehinge.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a bench of fleets has measured, as CSV, as a page with plots, and as lines by figure. */
final class FleetReport {

    private static final String PLOTS = "/META-INF/resources/webjars/uplot/1.6.30/dist/";
    private final List<Measurement> measurements;

    FleetReport(List<Measurement> measurements) {
        this.measurements = List.copyOf(measurements);
    }

    /** The measurements that share a figure's name, in their order, by that name. */
    private Map<String, List<Measurement>> byName() {
        Map<String, List<Measurement>> byName = new LinkedHashMap<>();
        measurements.forEach(one -> {
            if (!Double.isNaN(one.value())) {
                byName.computeIfAbsent(one.name(), name -> new ArrayList<>()).add(one);
            }
        });
        return byName;
    }

    private static List<LinearFit.Point> points(List<Measurement> of) {
        return of.stream()
                .map(one -> new LinearFit.Point(one.size(), one.value()))
                .toList();
    }

    /** A line for each measurement. */
    String csv() {
        StringBuilder csv = new StringBuilder("size,phase,role,metric,unit,value\n");
        measurements.forEach(one -> csv.append(String.format(
                Locale.ROOT,
                "%d,%s,%s,%s,%s,%.3f%n",
                one.size(),
                one.phase(),
                one.role(),
                one.metric(),
                one.unit(),
                one.value())));
        return csv.toString();
    }

    /**
     * The slope of each figure over sizes, its fit, and what the line says at a size.
     *
     * @param target sidecars
     */
    ObjectNode slopes(int target) {
        ObjectNode slopes = JsonNodeFactory.instance.objectNode();
        byName().forEach((name, of) -> {
            ObjectNode one = slopes.putObject(name).put("unit", of.get(0).unit());
            ArrayNode values = one.putArray("values");
            of.forEach(measurement -> values.add(rounded(measurement.value())));
            if (of.stream().mapToInt(Measurement::size).distinct().count() > 1) {
                LinearFit fit = LinearFit.through(points(of));
                one.put("slope", rounded(fit.slope()))
                        .put("fit", rounded(fit.fit()))
                        .put("at_target", rounded(fit.at(target)));
            }
        });
        return slopes;
    }

    private static double rounded(double value) {
        return Double.parseDouble(String.format(Locale.ROOT, "%.4g", value));
    }

    /** A page that needs no other file and no network: a plot for each figure that has two sizes. */
    String page(String title) throws IOException {
        StringBuilder page = new StringBuilder(
                        "<!doctype html>\n<html lang=\"en\"><head><meta " + "charset=\"utf-8\"><title>")
                .append(title)
                .append("</title><style>")
                .append(resource("uPlot.min.css"))
                .append("body{font:15px system-ui,sans-serif;margin:2rem}"
                        + ".plots{display:flex;flex-wrap:wrap;gap:1rem}</style><script>")
                .append(resource("uPlot.iife.min.js"))
                .append("</script></head><body><h1>")
                .append(title)
                .append("</h1><p>Over the number of sidecars. Dashed: the line by least squares.</p>"
                        + "<div class=\"plots\" id=\"plots\"></div><script>\nconst plots = ");
        ArrayNode plots = JsonNodeFactory.instance.arrayNode();
        byName().forEach((name, of) -> {
            if (of.stream().mapToInt(Measurement::size).distinct().count() > 1) {
                LinearFit fit = LinearFit.through(points(of));
                ObjectNode plot =
                        plots.addObject().put("name", name + ", " + of.get(0).unit());
                ArrayNode x = plot.putArray("x");
                ArrayNode y = plot.putArray("y");
                ArrayNode line = plot.putArray("line");
                of.forEach(one -> {
                    x.add(one.size());
                    y.add(one.value());
                    line.add(fit.at(one.size()));
                });
            }
        });
        return page.append(plots)
                .append(
                        """
                ;
                for (const plot of plots) {
                  new uPlot({title: plot.name, width: 380, height: 240, scales: {x: {time: false}},
                    series: [{label: "sidecars"}, {label: "measured", stroke: "#0072b2", width: 2,
                      points: {show: true}}, {label: "line", stroke: "#d55e00", dash: [6, 4]}]},
                    [plot.x, plot.y, plot.line], document.getElementById("plots"));
                }
                </script></body></html>
                """)
                .toString();
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = FleetReport.class.getResourceAsStream(PLOTS + name)) {
            if (in == null) {
                throw new IOException("the library of plots is not on the class path: " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
