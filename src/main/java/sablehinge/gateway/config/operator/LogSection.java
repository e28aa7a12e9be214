package sablehinge.gateway.config.operator;

import java.util.Map;
import java.util.TreeMap;
import org.slf4j.event.Level;
import sablehinge.common.logging.LogTerms;

/** Reads the log settings of an operator file. */
final class LogSection {

    private static final int MAX_LINES = 100_000;
    private static final Map<String, LogTerms.Format> FORMATS =
            Map.of("text", LogTerms.Format.TEXT, "json", LogTerms.Format.JSON);
    private static final Map<String, Level> LEVELS = Map.of(
            "error", Level.ERROR, "warn", Level.WARN, "info", Level.INFO, "debug", Level.DEBUG, "trace", Level.TRACE);

    private LogSection() {}

    static LogTerms read(Section s) {
        LogTerms defaults = LogTerms.DEFAULT;
        LogTerms.Format format = s.choice("format", defaults.format(), FORMATS);
        Level level = s.choice("level", defaults.level(), LEVELS);
        int limit = s.integer("limit", defaults.limit(), 1, MAX_LINES);
        Map<String, Level> levels = new TreeMap<>();
        Section levelsSection = s.section("levels");
        for (String subsystem : LogTerms.SUBSYSTEMS) {
            if (levelsSection.has(subsystem)) {
                levels.put(subsystem, levelsSection.choice(subsystem, level, LEVELS));
            }
        }
        levelsSection.reportUnknownKeys();
        s.reportUnknownKeys();
        return new LogTerms(format, level, levels, limit);
    }
}
