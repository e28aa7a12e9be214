package sablehinge.common.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import net.logstash.logback.fieldnames.LogstashFieldNames;
import net.logstash.logback.stacktrace.ShortenedThrowableConverter;

/** Formats log lines as JSON objects: the fields of the event beside time, level, logger, thread and message. */
final class JsonLines {

    /** Stack frames that are written for one exception, to limit the length of a line. */
    private static final int MAX_FRAMES = 40;

    private static final int MAX_STACK_CHARS = 8_192;

    private JsonLines() {}

    static Encoder<ILoggingEvent> encoder(LoggerContext loggers) {
        LogstashFieldNames names = new LogstashFieldNames();
        names.setTimestamp("time");
        names.setVersion("[ignore]");
        names.setLevelValue("[ignore]");
        names.setLogger("logger");
        names.setThread("thread");
        names.setStackTrace("stack");
        ShortenedThrowableConverter stacks = new ShortenedThrowableConverter();
        stacks.setMaxDepthPerThrowable(MAX_FRAMES);
        stacks.setMaxLength(MAX_STACK_CHARS);
        stacks.setContext(loggers);
        stacks.start();
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(loggers);
        encoder.setFieldNames(names);
        encoder.setTimeZone("UTC");
        encoder.setIncludeContext(false);
        encoder.setIncludeMdc(false);
        encoder.setThrowableConverter(stacks);
        encoder.start();
        return encoder;
    }
}
