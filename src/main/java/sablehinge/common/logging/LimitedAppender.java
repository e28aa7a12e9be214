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

/** Lets a few lines through in a while: what peers do wrong must not fill the log, which is memory here. */
final class LimitedAppender extends AppenderBase<ILoggingEvent> {

    static final String DROPPED = "dropped";
    private static final double WHILE_MS = 5_000;

    private final Appender<ILoggingEvent> lines;
    private final int limit;
    private final DoubleSupplier clock;
    private double begun = Double.NEGATIVE_INFINITY;
    private int passed;
    private int dropped;

    /** One that writes to another, so many lines in five seconds by a clock in ms that never goes back. */
    LimitedAppender(Appender<ILoggingEvent> lines, int limit, DoubleSupplier clock) {
        this.lines = lines;
        this.limit = limit;
        this.clock = clock;
    }

    /** Counts what is dropped and says so with the first line that is not; called by one thread at a time. */
    @Override
    protected void append(ILoggingEvent line) {
        double now = clock.getAsDouble();
        ILoggingEvent next = line;
        if (now - begun >= WHILE_MS) {
            next = dropped > 0 ? withCount(line) : line;
            begun = now;
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
