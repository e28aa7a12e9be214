package sablehinge.dataplane.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.budget.AttemptBudgets;

/** A request from its arrival until it has its one answer and none of its attempts is out. */
public final class Exchange {

    final long id;
    final Version version;
    final Payload request;
    /** Infinite while the request is still coming, as its time counts from its end. */
    double deadline;

    final int serviceClass;
    final double arrivedAt;
    final List<Transport.Attempt> attempts = new ArrayList<>(2);
    /** How many attempts were requested, and how many of them are out; one not sent is null in the list. */
    int sends;

    int running;
    /** The numbers of those out whose answer has begun to come. */
    final List<Integer> begun = new ArrayList<>(0);

    Timers.Timer overdue;
    /** While the request is still coming: the time that it will have, and what the attempt may take of it. */
    boolean coming;

    final double remaining;
    double queueTimeoutMs;
    /** When it had come to its end, before which no attempt is measured. */
    double endedAt = Double.NEGATIVE_INFINITY;
    /** Its budget, and what each attempt was granted of it; null where budgets are off. */
    AttemptBudgets.Call budget;

    final List<AttemptBudgets.Grant> grants = new ArrayList<>(0);
    /** The most servers that it may reach, 0 for no bound; how many it may have reached. */
    private final int attemptsAtMost;

    int reached;
    /** What was taken for each of those but one. */
    private final ArrayDeque<Runnable> extras = new ArrayDeque<>(0);
    /** Timers that the module set about it meanwhile: their tokens, and how long after now. */
    final List<Wait> waits = new ArrayList<>(0);
    /** What a server answered that failed it, kept for its caller; nothing where none did. */
    Payload failure = Payload.NONE;

    private Caller caller;

    /** A timer that is not set yet. */
    record Wait(long token, double delay) {}

    Exchange(long id, Version version, Arrival arrival, Payload request, double arrivedAt, Caller caller) {
        this.id = id;
        this.version = version;
        this.request = request;
        this.arrivedAt = arrivedAt;
        deadline = arrival.deadline();
        remaining = arrival.deadline() - arrivedAt;
        serviceClass = arrival.serviceClass();
        attemptsAtMost = arrival.maxAttempts();
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

    /** Whether an attempt of it was sent completely, or has had a part of an answer, and so may have run. */
    public boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> attempt != null && attempt.mayHaveRun());
    }

    /** Keeps what a server answered that failed it in place of what was kept before. */
    void failed(Payload answer) {
        failure.release();
        failure = answer;
    }

    /** Whether it may reach no more servers. */
    boolean isSpent() {
        return attemptsAtMost > 0 && reached >= attemptsAtMost;
    }

    /** An attempt goes out for which this was taken; null where no other may have reached a server. */
    void reaches(Runnable extra) {
        reached++;
        if (extra != null) {
            extras.add(extra);
        }
    }

    /** An attempt that went out has reached nobody. */
    void reachedNobody() {
        reached--;
        if (reached > 0) {
            extras.remove().run();
        }
    }

    /** What its caller calls it. */
    String requestName() {
        return caller == null ? "" : caller.requestName();
    }

    /** Nobody waits for an answer any more. */
    void close() {
        caller = null;
        if (overdue != null) {
            overdue.cancel();
        }
    }
}
