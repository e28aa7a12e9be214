package sablehinge.gateway.recorder;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import sablehinge.gateway.recorder.Dump.Event;

/** A dump in the order of its time, with what belongs together found: which request a connection is at. */
public final class Timeline {

    /**
     * An event with what is known of it.
     *
     * @param millis before the dump, negative
     * @param exchange the request that it belongs to; 0 where none is known
     */
    public record Step(double millis, Event event, long exchange) {}

    private final Dump dump;
    private final List<Step> steps = new ArrayList<>();

    /** Goes through a dump. */
    public Timeline(Dump dump) {
        this.dump = dump;
        Map<Integer, Long> holds = new HashMap<>();
        for (Event event : dump.events()) {
            long exchange = event.exchange();
            int connection = event.connection();
            if (connection != 0 && exchange != 0) {
                holds.put(connection, exchange);
            } else if (connection != 0) {
                exchange = holds.getOrDefault(connection, 0L);
            }
            steps.add(new Step((event.micros() - dump.atMicros()) / 1e3, event, exchange));
            switch (event.name()) {
                // The next request on it is another one.
                case "WRITTEN", "UPSTREAM_CLOSED", "CALLER_CLOSED", "LAST_BYTE" -> holds.remove(connection);
                default -> {}
            }
        }
    }

    /** The dump. */
    public Dump dump() {
        return dump;
    }

    /** All steps that a request or a connection has; 0 for any. */
    public List<Step> steps(long exchange, int connection) {
        Predicate<Step> wanted = step -> (exchange == 0 || step.exchange == exchange)
                && (connection == 0 || step.event.connection() == connection);
        return steps.stream().filter(wanted).toList();
    }

    /** The numbers of its connections, with how many events each has. */
    public Map<Integer, Integer> connections() {
        Map<Integer, Integer> counts = new TreeMap<>();
        steps.stream()
                .filter(step -> step.event.connection() != 0)
                .forEach(step -> counts.merge(step.event.connection(), 1, Integer::sum));
        return counts;
    }

    /** What a connection is doing after an event; null where that tells nothing of it. */
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
     * A span in which a connection was in one state.
     *
     * @param from ms before the dump, negative; likewise {@code to}
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

    /** How often each event happened in a second, by name. */
    public Map<String, Double> rates() {
        Map<String, Double> rates = new TreeMap<>();
        double seconds =
                steps.isEmpty() ? 0 : Math.max(1e-3, (steps.get(steps.size() - 1).millis - steps.get(0).millis) / 1e3);
        steps.forEach(step -> rates.merge(step.event.name(), 1 / seconds, Double::sum));
        return rates;
    }

    /** The largest value of each event that has one which is an amount, by name. */
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
