package sablehinge.common.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Provides Logback to the mesh's daemons without its search for settings. That search compares versions, looks for
 * files and reports on this in texts, which takes a tenth of the processor time of a start. SLF4J instantiates the
 * provider by the class name that {@link #register} sets.
 */
public final class DirectProvider implements SLF4JServiceProvider {

    private static final String API = "2.0.99";
    private final LoggerContext loggers = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter values = new LogbackMDCAdapter();

    /** For SLF4J. */
    public DirectProvider() {
        // SLF4J instantiates it by its class name, without arguments.
    }

    /** Makes SLF4J use this provider; must be called before the first logger is created, and has no effect later. */
    public static void register() {
        System.setProperty("slf4j.provider", DirectProvider.class.getName());
        System.setProperty("slf4j.internal.verbosity", "WARN");
    }

    @Override
    public void initialize() {
        loggers.setName("default");
        loggers.setMDCAdapter(values);
        Logging.install(loggers, LogTerms.MESH);
        loggers.start();
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return loggers;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return values;
    }

    @Override
    public String getRequestedApiVersion() {
        return API;
    }
}
