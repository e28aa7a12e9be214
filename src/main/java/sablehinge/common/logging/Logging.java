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
 * Sets up logback, which finds it as a service before it looks for files: a start neither reads nor parses any. Lines
 * go to the standard error stream.
 */
public final class Logging extends ContextAwareBase implements Configurator {

    private static final String LIMITED = "limited";
    private static final String TERMS = "terms";
    private static final double NANOS_PER_MS = 1e6;

    /** For logback. */
    public Logging() {
        // A service has a constructor without arguments.
    }

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        install(loggers, LogTerms.DEFAULT);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Keeps the log by other terms from now on; a line that is being written is written to its end. */
    public static void apply(LogTerms terms) {
        install((LoggerContext) LoggerFactory.getILoggerFactory(), terms);
    }

    /** Says nothing below a level of the program itself any more: for those who start many of it in one. */
    public static void setMinimumLevel(org.slf4j.event.Level least) {
        ((Logger) LoggerFactory.getLogger("sablehinge")).setLevel(level(least));
    }

    static void install(LoggerContext loggers, LogTerms terms) {
        Object known = loggers.getObject(TERMS);
        // The first comparison of records makes a dozen classes, which a start need not wait for.
        if (terms == known || known != null && terms.equals(known)) {
            return;
        }
        loggers.putObject(TERMS, terms);
        Logger root = loggers.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        Appender<ILoggingEvent> before = root.getAppender(LIMITED);
        Appender<ILoggingEvent> next = appender(loggers, terms);
        root.addAppender(next);
        if (before != null) {
            // Not stopped: it holds nothing, and a line may be on its way through it.
            root.detachAppender(before);
        }
        root.setLevel(level(terms.level()));
        for (String subsystem : LogTerms.SUBSYSTEMS) {
            org.slf4j.event.Level own = terms.levels().get(subsystem);
            loggers.getLogger(LogTerms.logger(subsystem)).setLevel(own == null ? null : level(own));
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
