package sablehinge.tools.standin;

import io.netty.handler.codec.http.HttpRequest;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.standin.model.Faults.Kind;
import sablehinge.tools.standin.scenario.Scenario.ClassPart;

/** A request in progress at a stand-in server. */
final class ServerWork {

    private static final double MS_PER_S = 1_000;
    private static final double DEFAULT_REMAINING_MS = 10_000;

    final long id;
    final ServerConnection connection;
    final String txn;
    final String key;
    final String cookie;
    final ClassPart type;
    /** The time at which the first byte of the request arrived, in ms. */
    final double firstByteAt;

    final double takenAt = EvidenceStamps.now();
    /** The deadline of the caller, in ms. */
    final double deadline;
    /** The work that remains after the calls to the next tier, in ms of a core at speed 1. */
    final double remainingWork;
    /** The fault that affects the request; null for none. */
    Kind fault;
    /** The number of calls to the next tier that remain. */
    int callsLeft;
    /** The call in flight; null for none. */
    Caller.Call call;

    boolean inCalls;
    boolean ended;

    /**
     * Creates the work of a request that was read completely.
     *
     * @param calls the number of calls to the next tier
     * @param work the total work in ms of a core at speed 1
     */
    ServerWork(long id, ServerConnection connection, HttpRequest request, ClassPart type, int calls, double work) {
        this.id = id;
        this.connection = connection;
        this.type = type;
        txn = connection.txn;
        key = request.headers().get("Idempotency-Key", "");
        cookie = request.headers().get("Cookie");
        firstByteAt = connection.firstByteAt;
        deadline = takenAt + remaining(request);
        callsLeft = calls;
        remainingWork = calls == 0 ? 0 : work / 2;
    }

    /** Returns the remaining time until the deadline of the caller, in ms. */
    static double remaining(HttpRequest request) {
        try {
            return Double.parseDouble(request.headers().get("X-Remaining", "10")) * MS_PER_S;
        } catch (NumberFormatException e) {
            return DEFAULT_REMAINING_MS;
        }
    }
}
