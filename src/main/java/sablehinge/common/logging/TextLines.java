package sablehinge.common.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxy;
import ch.qos.logback.core.LayoutBase;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.ZoneId;

/**
 * Formats lines as java.util.logging does, which is the established format of the platform's log. Not done by a Logback
 * pattern, whose classes would be loaded at each start and take 0.6 MB (docs/design/log.md).
 */
final class TextLines extends LayoutBase<ILoggingEvent> {

    /** The format of java.util.logging.SimpleFormatter. */
    private static final String FORMAT = "%1$tb %1$td, %1$tY %1$tl:%1$tM:%1$tS %1$Tp %2$s%n%3$s: %4$s%n%5$s";

    @Override
    public String doLayout(ILoggingEvent line) {
        StackTraceElement[] callers = line.getCallerData();
        String from = callers.length == 0
                ? line.getLoggerName()
                : callers[0].getClassName() + " " + callers[0].getMethodName();
        return String.format(
                FORMAT,
                line.getInstant().atZone(ZoneId.systemDefault()),
                from,
                name(line.getLevel()),
                line.getFormattedMessage(),
                stack(line));
    }

    private static String name(Level level) {
        return switch (level.levelInt) {
            case Level.ERROR_INT -> "SEVERE";
            case Level.WARN_INT -> "WARNING";
            case Level.INFO_INT -> "INFO";
            case Level.DEBUG_INT -> "FINE";
            default -> "FINEST";
        };
    }

    private static String stack(ILoggingEvent line) {
        if (!(line.getThrowableProxy() instanceof ThrowableProxy thrown)) {
            return "";
        }
        StringWriter stack = new StringWriter();
        thrown.getThrowable().printStackTrace(new PrintWriter(stack, true));
        return stack.toString();
    }
}
