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
 * What the end of the process means for a proxy's requests: until when attempts begin, and what becomes of those that
 * are still open. Belongs to the thread that owns the proxy.
 */
final class ProxyShutdown {

    private static final Logger LOG = LoggerFactory.getLogger(ProxyShutdown.class);

    private final Clock clock;
    private final Timers timers;
    private final Collection<Exchange> exchanges;
    private final BiConsumer<Exchange, Answer> abort;
    /** Null unless the process is about to end. */
    private ShutdownDeadlines deadlines;

    /**
     * Nothing ends yet.
     *
     * @param exchanges those that are not forgotten, as they change
     * @param abort answers one over the module's head
     */
    ProxyShutdown(Clock clock, Timers timers, Collection<Exchange> exchanges, BiConsumer<Exchange, Answer> abort) {
        this.clock = clock;
        this.timers = timers;
        this.exchanges = exchanges;
        this.abort = abort;
    }

    /** The process is about to end: from now on nothing begins that could not be answered before that. */
    void begin(ShutdownDeadlines times) {
        deadlines = times;
        timers.at(times.startUntil(), this::refuseIncomplete);
    }

    /** Whether an attempt may begin now. */
    boolean mayStart() {
        return deadlines == null || deadlines.mayStart(clock.now());
    }

    /** The answer to a request that is not taken; only where one may not start. */
    Answer refusal() {
        return deadlines.refusal();
    }

    /** A request of which the rest has still to come can't be answered any more; no upstream has had all of it. */
    private void refuseIncomplete() {
        for (Exchange exchange : List.copyOf(exchanges)) {
            if (exchange.isOpen() && exchange.coming && !exchange.mayHaveRun()) {
                abort.accept(exchange, deadlines.refusal());
            }
        }
    }

    /**
     * Ends what still waits for an answer: refuses what no upstream can have run, and fails the rest.
     *
     * @return how many requests that were
     */
    int abortAll() {
        List<Exchange> open = exchanges.stream().filter(Exchange::isOpen).toList();
        for (Exchange exchange : open) {
            logGivenUp(exchange);
            boolean refused = deadlines != null && !exchange.mayHaveRun();
            abort.accept(exchange, refused ? deadlines.refusal() : Answer.of(Answer.Kind.UNANSWERED));
        }
        return open.size();
    }

    private void logGivenUp(Exchange exchange) {
        Log.warn(LOG, "given-up")
                .addKeyValue("request", exchange.id)
                .addKeyValue("age-ms", Math.round(clock.now() - exchange.arrivedAt))
                .addKeyValue("left-ms", Math.round(exchange.deadline - clock.now()))
                .addKeyValue("attempts", exchange.sends)
                .addKeyValue("running", exchange.running)
                .addKeyValue("may-have-run", exchange.mayHaveRun())
                .log("a request is given up at the end of the process");
    }
}
