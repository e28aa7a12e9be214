package sablehinge.common.logging;

import java.util.List;
import java.util.Map;
import org.slf4j.event.Level;

/**
 * The settings of the log.
 *
 * @param format of its lines
 * @param level of all subsystems
 * @param levels of single subsystems, by their names in {@link #SUBSYSTEMS}
 * @param limit the number of lines that may be written in five seconds, so that peers can't fill the log
 */
public record LogTerms(Format format, Level level, Map<String, Level> levels, int limit) {

    /** The format of a line. */
    public enum Format {
        TEXT,
        JSON,
        PAIRS
    }

    /** The parts of the program that have a level of their own; {@code netty} is the library below them. */
    public static final List<String> SUBSYSTEMS =
            List.of("cli", "core", "http1", "membership", "netty", "node", "recorder", "control", "sidecar");

    /** The logger of each subsystem. A subsystem's name in the settings stays when its package moves. */
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

    /** The default where the settings have none, as on the platform. */
    public static final LogTerms DEFAULT = new LogTerms(Format.TEXT, Level.INFO, Map.of(), 10);

    /** The default of the mesh's daemons: a line of key=value pairs for each event. */
    public static final LogTerms MESH = new LogTerms(Format.PAIRS, Level.INFO, Map.of(), 60);

    /** Copies the levels, so that they are immutable. */
    public LogTerms {
        levels = Map.copyOf(levels);
    }

    /** The name of a subsystem's logger, which is not a parent of another subsystem's. */
    static String logger(String subsystem) {
        return LOGGERS.get(subsystem);
    }
}
