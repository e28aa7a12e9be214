package sablehinge.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** State of an active request and its attempts; makes no decisions. */
final class Call {

    /** One attempt; {@code result} is null while it is in flight. */
    static final class Attempt {
        final Call call;
        final Server server;
        final int number;
        final double sentAt;
        /** This instance's attempts in flight at the server when this one was sent. */
        final int inFlightBefore;

        LoadBalancer.Result result;
        boolean streaming;
        /** Whether it was reported as a sign of overload while it was in flight. */
        boolean countedAsOverload;

        Attempt(Call call, Server server, double sentAt) {
            this.call = call;
            this.server = server;
            this.number = call.attempts.size();
            this.sentAt = sentAt;
            this.inFlightBefore = server.inFlight.size();
        }
    }

    final LoadBalancer.Request request;
    final View view;
    final LoadBalancer.ServiceClass type;
    final ClassRecord record;
    final long id;
    final double arrivedAt;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** The unsettled requests of its key in order of arrival, including this one; null if order does not matter. */
    ArrayDeque<Call> queue;
    /** Time until which a timed-out, reset or cancelled attempt is assumed to be still running. */
    double mayRunUntil = Double.NEGATIVE_INFINITY;
    /** Time after which an answer is no longer worth the work. */
    double usefulUntil;

    final int maxAttempts;
    int running;
    boolean done;
    boolean streaming;

    Call(LoadBalancer.Request request, View view, double arrivedAt) {
        this.request = request;
        this.view = view;
        this.record = view.classes[request.serviceClass()];
        this.type = record.type;
        this.id = request.id();
        this.arrivedAt = arrivedAt;
        maxAttempts = Math.min(limits().maxAttempts(), request.attempts() > 0 ? request.attempts() : 1_000);
    }

    LoadBalancer.Limits limits() {
        return view.settings.limits();
    }

    /** The request's expected work relative to the mean of its class; 1 if unknown. */
    double relativeCost() {
        double mean = record.costHint.value();
        return request.cost() > 0 && mean > 0 ? request.cost() / mean : 1;
    }

    boolean tried(Server server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }

    /**
     * The earliest attempt that is in flight or whose result does not prove that it never ran; null if there is none.
     */
    Attempt firstMaybeRun() {
        for (Attempt attempt : attempts) {
            if (attempt.result == null || !attempt.result.neverRan()) {
                return attempt;
            }
        }
        return null;
    }
}
