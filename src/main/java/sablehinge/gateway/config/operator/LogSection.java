package sablehinge.gateway.config.operator;

import java.util.Map;
import java.util.TreeMap;
import org.slf4j.event.Level;
import sablehinge.common.logging.LogTerms;

/** Reads what an operator file says of the log. */
final class LogSection {

    private static final int MAX_LINES = 100_000;
    private static final Map<String, LogTerms.Format> FORMATS =
            Map.of("text", LogTerms.Format.TEXT, "json", LogTerms.Format.JSON);
    private static final Map<String, Level> LEVELS = Map.of(
            "error", Level.ERROR, "warn", Level.WARN, "info", Level.INFO, "debug", Level.DEBUG, "trace", Level.TRACE);

    private LogSection() {}

    static LogTerms read(Section s) {
        LogTerms usual = LogTerms.DEFAULT;
        LogTerms.Format format = s.choice("format", usual.format(), FORMATS);
        Level level = s.choice("level", usual.level(), LEVELS);
        int limit = s.integer("limit", usual.limit(), 1, MAX_LINES);
        Map<String, Level> levels = new TreeMap<>();
        Section single = s.section("levels");
        for (String subsystem : LogTerms.SUBSYSTEMS) {
            if (single.has(subsystem)) {
                levels.put(subsystem, single.choice(subsystem, level, LEVELS));
            }
        }
        single.end();
        s.end();
        return new LogTerms(format, level, levels, limit);
    }
}
