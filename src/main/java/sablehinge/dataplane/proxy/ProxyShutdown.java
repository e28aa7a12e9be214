package sablehinge.dataplane.proxy;

import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.Timers;
import sablehinge.common.logging.Log;

/**
 * Graceful shutdown of a proxy's requests: decides until when attempts may start, and answers the requests that are
 * still open at the end. Owned by the thread of the proxy.
 */
final class ProxyShutdown {

    private static final Logger LOG = LoggerFactory.getLogger(ProxyShutdown.class);

    private final Clock clock;
    private final Timers timers;
    private final Collection<Exchange> exchanges;
    private final BiConsumer<Exchange, Answer> abort;
    /** Null unless the process is shutting down. */
    private ShutdownDeadlines deadlines;

    /**
     * Creates the shutdown of a proxy in normal operation.
     *
     * @param exchanges live view of the requests that are not removed yet
     * @param abort answers a request without the module
     */
    ProxyShutdown(Clock clock, Timers timers, Collection<Exchange> exchanges, BiConsumer<Exchange, Answer> abort) {
        this.clock = clock;
        this.timers = timers;
        this.exchanges = exchanges;
        this.abort = abort;
    }

    /** Begins the shutdown: from now on no attempt starts that could not be answered before the process ends. */
    void begin(ShutdownDeadlines shutdownDeadlines) {
        deadlines = shutdownDeadlines;
        timers.at(shutdownDeadlines.startUntil(), this::refuseIncomplete);
    }

    /** Whether an attempt may start now. */
    boolean mayStart() {
        return deadlines == null || deadlines.mayStart(clock.now());
    }

    /** The answer to a request that is not admitted; valid only after {@link #begin}. */
    Answer refusal() {
        return deadlines.refusal();
    }

    /**
     * Rejects requests that are still being received and of which no upstream has received a part: they can't be
     * answered in time. The others go on until the end, as their upstream may be at work on them.
     */
    private void refuseIncomplete() {
        for (Exchange exchange : List.copyOf(exchanges)) {
            if (exchange.isOpen() && exchange.receiving && !exchange.mayHaveRun()) {
                abort.accept(exchange, deadlines.refusal());
            }
        }
    }

    /**
     * Answers all open requests: rejects those that no upstream can have run, and fails the rest.
     *
     * @return the number of these requests
     */
    int abortAll() {
        List<Exchange> open = exchanges.stream().filter(Exchange::isOpen).toList();
        for (Exchange exchange : open) {
            logAborted(exchange);
            boolean refused = deadlines != null && !exchange.mayHaveRun();
            abort.accept(exchange, refused ? deadlines.refusal() : Answer.of(Answer.Kind.UNANSWERED));
        }
        return open.size();
    }

    private void logAborted(Exchange exchange) {
        Log.warn(LOG, "given-up")
                .addKeyValue("request", exchange.id)
                .addKeyValue("age-ms", Math.round(clock.now() - exchange.arrivedAt))
                .addKeyValue("left-ms", Math.round(exchange.deadline - clock.now()))
                .addKeyValue("attempts", exchange.requestedAttempts)
                .addKeyValue("running", exchange.runningAttempts)
                .addKeyValue("may-have-run", exchange.mayHaveRun())
                .log("request aborted at the end of the shutdown");
    }
}
