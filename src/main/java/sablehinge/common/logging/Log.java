package sablehinge.common.logging;

import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Lines of the log with an event's name as their first field, which stays when their words change. Values that belong
 * to the event are fields too, as texts and numbers.
 */
public final class Log {

    /** The field with an event's name. */
    public static final String EVENT = "event";

    private Log() {}

    /** What an operator may want to know while looking for a fault. */
    public static LoggingEventBuilder debug(Logger log, String event) {
        return log.atDebug().addKeyValue(EVENT, event);
    }

    /** What happened as it should. */
    public static LoggingEventBuilder info(Logger log, String event) {
        return log.atInfo().addKeyValue(EVENT, event);
    }

    /** What somebody should look at. */
    public static LoggingEventBuilder warn(Logger log, String event) {
        return log.atWarn().addKeyValue(EVENT, event);
    }

    /** A fault of the program's own. */
    public static LoggingEventBuilder error(Logger log, String event) {
        return log.atError().addKeyValue(EVENT, event);
    }
}
