package sablehinge.common.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Logback as the mesh's daemons want it, without its search for settings: that compares versions, looks for files and
 * tells itself of it in texts, which is a tenth of the processor time of a start. SLF4J makes one by the name that
 * {@link #name} has it look for.
 */
public final class DirectProvider implements SLF4JServiceProvider {

    private static final String API = "2.0.99";
    private final LoggerContext loggers = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter values = new LogbackMDCAdapter();

    /** For SLF4J. */
    public DirectProvider() {
        // Named by its class, it is made without arguments.
    }

    /** Has SLF4J take this one; to be called before the first logger is made, and without effect later. */
    public static void name() {
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
