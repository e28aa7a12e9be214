package sablehinge.testing;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.function.Consumer;
import org.slf4j.LoggerFactory;

/** What tests and measurements do with the log. */
public final class Logs {

    private static final Logger ROOT = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);

    private Logs() {}

    /** Undone at the end of a test. */
    public interface Undo extends AutoCloseable {
        @Override
        void close();
    }

    /** Says nothing below a level until it is undone. */
    public static Undo level(Level least) {
        Level before = ROOT.getLevel();
        ROOT.setLevel(least);
        return () -> ROOT.setLevel(before);
    }

    /** Receives each line until it is undone. */
    public static Undo heard(Consumer<String> each) {
        AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent line) {
                each.accept(line.getFormattedMessage());
            }
        };
        appender.start();
        ROOT.addAppender(appender);
        return () -> ROOT.detachAppender(appender);
    }
}
