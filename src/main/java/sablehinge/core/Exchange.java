package sablehinge.core;

import java.util.ArrayList;
import java.util.List;

/** A request from its arrival until it has its one answer and none of its attempts is out. */
public final class Exchange {

    final long id;
    final Version version;
    final Payload request;
    final double deadline;
    final int serviceClass;
    final double arrivedAt;
    final List<Transport.Attempt> attempts = new ArrayList<>(2);
    /** How many attempts were asked for, and how many of them are out; one not sent is null in the list. */
    int sends;
    int running;
    Timers.Timer overdue;
    private Caller caller;

    Exchange(long id, Version version, Arrival arrival, Payload request, double arrivedAt, Caller caller) {
        this.id = id;
        this.version = version;
        this.request = request;
        this.arrivedAt = arrivedAt;
        deadline = arrival.deadline();
        serviceClass = arrival.serviceClass();
        this.caller = caller;
    }

    /** Whether somebody waits for its answer. */
    public boolean isOpen() {
        return caller != null;
    }

    /** Answers unless that is done already or nobody waits any more; tells whether it did. */
    boolean answer(Answer answer) {
        Caller waiting = caller;
        if (waiting == null) {
            return false;
        }
        close();
        waiting.answer(answer);
        return true;
    }

    /** What its caller calls it. */
    String name() {
        return caller == null ? "" : caller.name();
    }

    /** Nobody waits for an answer any more. */
    void close() {
        caller = null;
        if (overdue != null) {
            overdue.cancel();
        }
    }
}
