package sablehinge.common.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.Layout;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.LoggerFactory;

/**
 * Sets up Logback, which finds this class as a service before it looks for files, so that a start neither reads nor
 * parses any. Lines are written to the standard error stream.
 */
public final class Logging extends ContextAwareBase implements Configurator {

    private static final String LIMITED = "limited";
    private static final String TERMS = "terms";
    private static final double NANOS_PER_MS = 1e6;

    /** Called by Logback. */
    public Logging() {
        // A service needs a constructor without arguments.
    }

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        install(loggers, LogTerms.DEFAULT);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Applies other settings from now on; a line that is being written is completed. */
    public static void apply(LogTerms terms) {
        install((LoggerContext) LoggerFactory.getILoggerFactory(), terms);
    }

    /** Suppresses lines of the program itself below a level, for processes that start many nodes. */
    public static void setMinimumLevel(org.slf4j.event.Level minimum) {
        ((Logger) LoggerFactory.getLogger("sablehinge")).setLevel(level(minimum));
    }

    static void install(LoggerContext loggers, LogTerms terms) {
        Object installed = loggers.getObject(TERMS);
        // The first comparison of records loads a dozen classes, which would delay a start.
        if (terms == installed || installed != null && terms.equals(installed)) {
            return;
        }
        loggers.putObject(TERMS, terms);
        Logger root = loggers.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        Appender<ILoggingEvent> previous = root.getAppender(LIMITED);
        Appender<ILoggingEvent> next = appender(loggers, terms);
        root.addAppender(next);
        if (previous != null) {
            // It is not stopped: it buffers nothing, and may be processing a line.
            root.detachAppender(previous);
        }
        root.setLevel(level(terms.level()));
        for (String subsystem : LogTerms.SUBSYSTEMS) {
            org.slf4j.event.Level level = terms.levels().get(subsystem);
            loggers.getLogger(LogTerms.logger(subsystem)).setLevel(level == null ? null : level(level));
        }
    }

    private static Appender<ILoggingEvent> appender(LoggerContext loggers, LogTerms terms) {
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(loggers);
        console.setTarget("System.err");
        console.setEncoder(
                terms.format() == LogTerms.Format.JSON
                        ? JsonLines.encoder(loggers)
                        : wrapped(
                                loggers, terms.format() == LogTerms.Format.PAIRS ? new PairLines() : new TextLines()));
        console.start();
        LimitedAppender limited = new LimitedAppender(console, terms.limit(), () -> System.nanoTime() / NANOS_PER_MS);
        limited.setContext(loggers);
        limited.setName(LIMITED);
        limited.start();
        return limited;
    }

    private static Encoder<ILoggingEvent> wrapped(LoggerContext loggers, Layout<ILoggingEvent> layout) {
        layout.setContext(loggers);
        layout.start();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(loggers);
        encoder.setLayout(layout);
        encoder.start();
        return encoder;
    }

    private static Level level(org.slf4j.event.Level level) {
        return Level.convertAnSLF4JLevel(level);
    }
}
