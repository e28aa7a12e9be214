package sablehinge.common.logging;

import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Log lines whose first field is the name of an event. The name stays when the message changes, and values that belong
 * to the event are fields too, as texts and numbers.
 */
public final class Log {

    /** The field with the name of the event. */
    public static final String EVENT = "event";

    private Log() {}

    /** Starts a line that helps an operator to find a fault. */
    public static LoggingEventBuilder debug(Logger log, String event) {
        return log.atDebug().addKeyValue(EVENT, event);
    }

    /** Starts a line about normal operation. */
    public static LoggingEventBuilder info(Logger log, String event) {
        return log.atInfo().addKeyValue(EVENT, event);
    }

    /** Starts a line about something that an operator should look at. */
    public static LoggingEventBuilder warn(Logger log, String event) {
        return log.atWarn().addKeyValue(EVENT, event);
    }

    /** Starts a line about a fault of the program itself. */
    public static LoggingEventBuilder error(Logger log, String event) {
        return log.atError().addKeyValue(EVENT, event);
    }
}
