package sablehinge.tools.standin.mesh;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Sums soak runs up for the bench's last line. */
final class SoakTotals {

    private final Path logs;
    private final ArrayNode findings = JsonNodeFactory.instance.arrayNode();
    private final Map<SoakJudge.Excuse, Integer> excused = new EnumMap<>(SoakJudge.Excuse.class);
    private int seeds;
    private int requests;
    private int served;
    private int signals;
    private int changes;
    private int most;
    private int endings;
    private int crossed;
    private double heardAfterMs;
    private int unconnectedCalls;
    private int busy;
    private int failed;

    /** Totals of runs whose logs are kept in a folder; null where they are not. */
    SoakTotals(Path logs) {
        this.logs = logs;
    }

    void add(SoakRun.Result result) {
        seeds++;
        requests += result.requests();
        served += result.served();
        signals += result.signals();
        changes += result.changes();
        most = Math.max(most, result.processes());
        endings += result.report().endings();
        crossed += result.report().crossed();
        heardAfterMs = Math.max(heardAfterMs, result.report().heardAfterMs());
        result.report().excused().forEach((why, count) -> excused.merge(why, count, Integer::sum));
        unconnectedCalls += result.unconnectedCalls();
        busy += result.isBusy() ? 1 : 0;
        failed += result.failure() == null ? 0 : 1;
        result.findings().forEach(one -> add(result.seed(), one));
    }

    private void add(long seed, SoakFinding one) {
        findings.addObject()
                .put("seed", seed)
                .put("rule", one.rule())
                .put("at_ms", one.at())
                .put("words", one.words())
                .put("logs", logs == null ? "" : logs.resolve("seed-" + seed).toString());
    }

    /** Whether a rule was broken, or a run could not be played. */
    boolean isBroken() {
        return !findings.isEmpty() || failed > 0;
    }

    /** Whether the machine was too busy to judge a run. */
    boolean wasBusy() {
        return busy > 0;
    }

    ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("seeds", seeds)
                .put("requests", requests)
                .put("served", served)
                .put("signals", signals)
                .put("changes", changes)
                .put("processes", most)
                .put("broken", findings.size())
                .put("failed", failed)
                .put("busy", busy)
                .put("endings", endings)
                .put("crossed", crossed)
                .put("heard_after_ms", heardAfterMs)
                .put("unconnected_calls", unconnectedCalls);
        ObjectNode reasons = json.putObject("excused");
        for (SoakJudge.Excuse why : SoakJudge.Excuse.values()) {
            reasons.put(why.name().toLowerCase(Locale.ROOT), excused.getOrDefault(why, 0));
        }
        json.set("findings", findings);
        return json;
    }
}
