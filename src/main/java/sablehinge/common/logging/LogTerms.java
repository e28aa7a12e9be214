package sablehinge.common.logging;

import java.util.List;
import java.util.Map;
import org.slf4j.event.Level;

/**
 * How the log is kept.
 *
 * @param format of its lines
 * @param level of all subsystems
 * @param levels of single ones, by their names in {@link #SUBSYSTEMS}
 * @param limit how many lines may be written in five seconds, so that peers can't fill it
 */
public record LogTerms(Format format, Level level, Map<String, Level> levels, int limit) {

    /** How lines look. */
    public enum Format {
        TEXT,
        JSON,
        PAIRS
    }

    /** The parts of the program that have a level of their own; {@code netty} is the library below them. */
    public static final List<String> SUBSYSTEMS =
            List.of("cli", "core", "http1", "membership", "netty", "node", "recorder", "control", "sidecar");

    /** The logger of each subsystem: its name in the settings stays where its package moves. */
    private static final Map<String, String> LOGGERS = Map.of(
            "cli", "sablehinge.cli",
            "core", "sablehinge.dataplane.proxy",
            "http1", "sablehinge.dataplane.http1",
            "membership", "sablehinge.gateway.discovery",
            "netty", "io.netty",
            "node", "sablehinge.gateway.node",
            "recorder", "sablehinge.gateway.recorder",
            "control", "sablehinge.controlplane.node",
            "sidecar", "sablehinge.dataplane.sidecar");

    /** Where the settings have none, as on the platform. */
    public static final LogTerms DEFAULT = new LogTerms(Format.TEXT, Level.INFO, Map.of(), 10);

    /** Where the mesh's daemons say nothing else: a line of pairs an event. */
    public static final LogTerms MESH = new LogTerms(Format.PAIRS, Level.INFO, Map.of(), 60);

    /** Terms whose levels nobody changes any more. */
    public LogTerms {
        levels = Map.copyOf(levels);
    }

    /** The name of a subsystem's logger, above which none of another subsystem lies. */
    static String logger(String subsystem) {
        return LOGGERS.get(subsystem);
    }
}
