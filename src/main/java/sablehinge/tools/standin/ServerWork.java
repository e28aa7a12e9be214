package sablehinge.tools.standin;

import io.netty.handler.codec.http.HttpRequest;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.standin.model.Faults.Kind;
import sablehinge.tools.standin.scenario.Scenario.ClassPart;

/** A request at work at a stand-in server. */
final class ServerWork {

    private static final double MS_PER_S = 1_000;
    private static final double DEFAULT_REMAINING_MS = 10_000;

    final long id;
    final ServerConnection connection;
    final String txn;
    final String key;
    final String cookie;
    final ClassPart type;
    /** When its first byte came, and when it was complete, ms. */
    final double first;

    final double taken = EvidenceStamps.now();
    /** When its caller gives up, ms. */
    final double until;
    /** Work that is left for after its calls, ms of a standard core. */
    final double rest;
    /** The fault that has struck it; null for none. */
    Kind struck;
    /** Calls of the tier behind that are still to be made. */
    int callsLeft;
    /** The call that is out; null for none. */
    Caller.Call call;

    boolean inCalls;
    boolean ended;

    /**
     * A request that is complete.
     *
     * @param calls of the tier behind
     * @param work ms of a standard core
     */
    ServerWork(long id, ServerConnection connection, HttpRequest request, ClassPart type, int calls, double work) {
        this.id = id;
        this.connection = connection;
        this.type = type;
        txn = connection.txn;
        key = request.headers().get("Idempotency-Key", "");
        cookie = request.headers().get("Cookie");
        first = connection.begun;
        until = taken + remaining(request);
        callsLeft = calls;
        rest = calls == 0 ? 0 : work / 2;
    }

    /** How long the caller of a request still waits, ms. */
    static double remaining(HttpRequest request) {
        try {
            return Double.parseDouble(request.headers().get("X-Remaining", "10")) * MS_PER_S;
        } catch (NumberFormatException e) {
            return DEFAULT_REMAINING_MS;
        }
    }
}
