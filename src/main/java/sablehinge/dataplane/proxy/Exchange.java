package sablehinge.dataplane.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.budget.AttemptBudgets;

/** A request from its arrival until it has its final answer and none of its attempts is in flight. */
public final class Exchange {

    final long id;
    final Version version;
    final Payload request;
    /** Infinite while the request is still being received, as the timeout counts from the end of the request. */
    double deadline;

    final int serviceClass;
    final double arrivedAt;
    final List<Transport.Attempt> attempts = new ArrayList<>(2);
    /**
     * The number of attempts requested by the module, and of those in flight. An attempt that was not sent is null in
     * the list.
     */
    int requestedAttempts;

    int runningAttempts;
    /** Numbers of the attempts in flight whose response has started to arrive. */
    final List<Integer> respondingAttempts = new ArrayList<>(0);

    Timers.Timer overdueTimer;
    /**
     * Whether the request is still being received; the timeout that starts at its end, and the part of it for its
     * attempt.
     */
    boolean receiving;

    final double timeoutMs;
    double queueTimeoutMs;
    /** When the request was received completely; the latency of attempts is not measured before that. */
    double receivedAt = Double.NEGATIVE_INFINITY;
    /** The attempt budget and what each attempt was granted of it; null if budgets are off. */
    AttemptBudgets.Call budget;

    final List<AttemptBudgets.Grant> grants = new ArrayList<>(0);
    /** How many servers the request may reach, 0 for no limit; how many it may have reached. */
    private final int maxServers;

    int serversReached;
    /** Actions that return the permits acquired for each reached server after the first. */
    private final ArrayDeque<Runnable> permitReturns = new ArrayDeque<>(0);
    /** Timers that the module set for the request while it was being received. */
    final List<DeferredTimer> deferredTimers = new ArrayList<>(0);
    /**
     * The response of a server that failed the request, retained for the client; {@link Payload#NONE} if there is none.
     */
    Payload failureResponse = Payload.NONE;

    private Caller caller;

    /** A timer to be set once the request is received, with its delay from that time. */
    record DeferredTimer(long token, double delayMs) {}

    Exchange(long id, Version version, Arrival arrival, Payload request, double arrivedAt, Caller caller) {
        this.id = id;
        this.version = version;
        this.request = request;
        this.arrivedAt = arrivedAt;
        deadline = arrival.deadline();
        timeoutMs = arrival.deadline() - arrivedAt;
        serviceClass = arrival.serviceClass();
        maxServers = arrival.maxAttempts();
        this.caller = caller;
    }

    /** Whether the client still waits for the answer. */
    public boolean isOpen() {
        return caller != null;
    }

    /** Answers the client if it still waits; returns whether it did. */
    boolean answer(Answer answer) {
        Caller waiting = caller;
        if (waiting == null) {
            return false;
        }
        close();
        waiting.answer(answer);
        return true;
    }

    /** Whether some attempt was sent completely or received part of a response, and so may have run. */
    public boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> attempt != null && attempt.mayHaveRun());
    }

    /** Retains the response of a server that failed the request and releases the previous one. */
    void retainFailure(Payload response) {
        failureResponse.release();
        failureResponse = response;
    }

    /** Whether the request must not reach further servers. */
    boolean hasReachedServerLimit() {
        return maxServers > 0 && serversReached >= maxServers;
    }

    /** Counts an attempt that is sent. {@code returnPermit} is null if no earlier attempt may have reached a server. */
    void countServer(Runnable returnPermit) {
        serversReached++;
        if (returnPermit != null) {
            permitReturns.add(returnPermit);
        }
    }

    /** Uncounts an attempt that reached no server, and returns one permit if other attempts are still counted. */
    void uncountServer() {
        serversReached--;
        if (serversReached > 0) {
            permitReturns.remove().run();
        }
    }

    /** The client's name for the request; empty if there is none. */
    String requestName() {
        return caller == null ? "" : caller.requestName();
    }

    /** Marks that the client no longer waits for an answer. */
    void close() {
        caller = null;
        if (overdueTimer != null) {
            overdueTimer.cancel();
        }
    }
}
