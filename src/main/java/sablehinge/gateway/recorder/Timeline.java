package sablehinge.gateway.recorder;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import sablehinge.gateway.recorder.Dump.Event;

/** The events of a dump in order of time, each with the request that its connection was serving. */
public final class Timeline {

    /**
     * An event with its request.
     *
     * @param millis the time relative to the dump, negative
     * @param exchange the number of the request; 0 if it is unknown
     */
    public record Step(double millis, Event event, long exchange) {}

    private final Dump dump;
    private final List<Step> steps = new ArrayList<>();

    /** Creates the timeline of a dump. */
    public Timeline(Dump dump) {
        this.dump = dump;
        Map<Integer, Long> currentExchanges = new HashMap<>();
        for (Event event : dump.events()) {
            long exchange = event.exchange();
            int connection = event.connection();
            if (connection != 0 && exchange != 0) {
                currentExchanges.put(connection, exchange);
            } else if (connection != 0) {
                exchange = currentExchanges.getOrDefault(connection, 0L);
            }
            steps.add(new Step((event.micros() - dump.atMicros()) / 1e3, event, exchange));
            switch (event.name()) {
                // The next event on this connection belongs to another request.
                case "WRITTEN", "UPSTREAM_CLOSED", "CALLER_CLOSED", "LAST_BYTE" -> currentExchanges.remove(connection);
                default -> {}
            }
        }
    }

    /** The dump. */
    public Dump dump() {
        return dump;
    }

    /** The steps of a request and a connection; 0 stands for any. */
    public List<Step> steps(long exchange, int connection) {
        Predicate<Step> wanted = step -> (exchange == 0 || step.exchange == exchange)
                && (connection == 0 || step.event.connection() == connection);
        return steps.stream().filter(wanted).toList();
    }

    /** The numbers of the connections, each with the number of its events. */
    public Map<Integer, Integer> connections() {
        Map<Integer, Integer> counts = new TreeMap<>();
        steps.stream()
                .filter(step -> step.event.connection() != 0)
                .forEach(step -> counts.merge(step.event.connection(), 1, Integer::sum));
        return counts;
    }

    /** The state of a connection after an event; null if the event does not determine it. */
    static String state(String event) {
        return switch (event) {
            case "CALLER_OPENED", "CONNECTED", "WRITTEN", "LAST_BYTE" -> "idle";
            case "CONNECTING" -> "connecting";
            case "REQUEST", "REUSED" -> "request";
            case "SENT" -> "waiting";
            case "FIRST_BYTE", "RESUMED", "WRITABLE", "WOKEN" -> "moving";
            case "PAUSED" -> "paused";
            case "FULL" -> "full";
            case "CALLER_CLOSED", "UPSTREAM_CLOSED" -> "closed";
            default -> null;
        };
    }

    /**
     * A period in which a connection was in one state.
     *
     * @param from the time relative to the dump in ms, negative or 0; likewise {@code to}
     */
    public record Span(String state, double from, double to) {}

    /** The spans of a connection, in order; the last one ends with the dump. */
    public List<Span> spans(int connection) {
        List<Span> spans = new ArrayList<>();
        String state = null;
        double since = 0;
        for (Step step : steps(0, connection)) {
            String next = state(step.event.name());
            if (next == null || next.equals(state)) {
                continue;
            }
            if (state != null && !state.equals("closed")) {
                spans.add(new Span(state, since, step.millis));
            }
            state = next;
            since = step.millis;
        }
        if (state != null && !state.equals("closed")) {
            spans.add(new Span(state, since, 0));
        }
        return spans;
    }

    /** The number of events per second, by name. */
    public Map<String, Double> rates() {
        Map<String, Double> rates = new TreeMap<>();
        double seconds =
                steps.isEmpty() ? 0 : Math.max(1e-3, (steps.get(steps.size() - 1).millis - steps.get(0).millis) / 1e3);
        steps.forEach(step -> rates.merge(step.event.name(), 1 / seconds, Double::sum));
        return rates;
    }

    /** The largest value of each event whose value is a quantity, by name. */
    public Map<String, Long> peaks() {
        Map<String, Long> peaks = new TreeMap<>();
        steps.stream()
                .map(Step::event)
                .filter(event -> event.of().equals("bytes")
                        || event.of().equals("count")
                        || event.of().equals("us"))
                .forEach(event -> peaks.merge(event.name(), event.value(), Math::max));
        return peaks;
    }
}
