package sablehinge.common.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxy;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.AppenderBase;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.slf4j.event.KeyValuePair;

/** Limits the number of lines per interval: faulty peers must not fill the log, which is kept in memory. */
final class LimitedAppender extends AppenderBase<ILoggingEvent> {

    static final String DROPPED = "dropped";
    private static final double INTERVAL_MS = 5_000;

    private final Appender<ILoggingEvent> lines;
    private final int limit;
    private final DoubleSupplier clock;
    private double intervalStart = Double.NEGATIVE_INFINITY;
    private int passed;
    private int dropped;

    /**
     * Creates an appender that writes up to the given number of lines in five seconds to another one, by a monotonic
     * clock in ms.
     */
    LimitedAppender(Appender<ILoggingEvent> lines, int limit, DoubleSupplier clock) {
        this.lines = lines;
        this.limit = limit;
        this.clock = clock;
    }

    /** Counts dropped lines and adds their number to the next line that is written; called by one thread at a time. */
    @Override
    protected void append(ILoggingEvent line) {
        double now = clock.getAsDouble();
        ILoggingEvent next = line;
        if (now - intervalStart >= INTERVAL_MS) {
            next = dropped > 0 ? withCount(line) : line;
            intervalStart = now;
            passed = 0;
            dropped = 0;
        }
        if (passed >= limit) {
            dropped++;
            return;
        }
        passed++;
        lines.doAppend(next);
    }

    private ILoggingEvent withCount(ILoggingEvent line) {
        LoggingEvent more = new LoggingEvent();
        more.setLoggerName(line.getLoggerName());
        more.setLoggerContextRemoteView(line.getLoggerContextVO());
        more.setLevel(line.getLevel());
        more.setThreadName(line.getThreadName());
        more.setInstant(line.getInstant());
        more.setCallerData(line.getCallerData());
        more.setMDCPropertyMap(Map.of());
        if (line.getThrowableProxy() instanceof ThrowableProxy thrown) {
            more.setThrowableProxy(thrown);
        }
        List<KeyValuePair> fields = new ArrayList<>();
        if (line.getKeyValuePairs() != null) {
            fields.addAll(line.getKeyValuePairs());
        }
        fields.add(new KeyValuePair(DROPPED, dropped));
        more.setKeyValuePairs(fields);
        more.setMessage(line.getFormattedMessage() + " (" + dropped + " lines before this one were dropped)");
        return more;
    }
}
