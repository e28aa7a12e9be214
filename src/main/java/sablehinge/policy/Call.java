package sablehinge.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A request being worked on, with its attempts: what happened, no decisions. */
final class Call {

    /** One attempt; {@code result} is null while it is out. */
    static final class Attempt {
        final Call call;
        final Server server;
        final int number;
        final double sentAt;
        /** Own attempts that were in flight there when it was sent. */
        final int behind;

        LoadBalancer.Result result;
        boolean streaming;
        /** Whether it was taken as a sign of overload while it was out. */
        boolean strained;

        Attempt(Call call, Server server, double sentAt) {
            this.call = call;
            this.server = server;
            this.number = call.attempts.size();
            this.sentAt = sentAt;
            this.behind = server.out.size();
        }
    }

    final LoadBalancer.Request request;
    final View view;
    final LoadBalancer.ServiceClass type;
    final ClassRecord record;
    final long id;
    final double arrivedAt;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** The unfinished requests of its key in order of arrival, itself among them; null if it is free. */
    ArrayDeque<Call> queue;
    /** Until when an attempt that was given up may still be running. */
    double restsUntil = Double.NEGATIVE_INFINITY;
    /** When an answer no longer earns its cost. */
    double usefulEnd;

    final int most;
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
        most = Math.min(limits().maxAttempts(), request.attempts() > 0 ? request.attempts() : 1_000);
    }

    LoadBalancer.Limits limits() {
        return view.settings.limits();
    }

    /** The request's hinted work relative to the mean of its class. */
    double size() {
        double mean = record.hint.value();
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

    /** The earliest attempt that is out or was not proven never to have run; null if there is none. */
    Attempt firstMaybeRun() {
        for (Attempt attempt : attempts) {
            if (attempt.result == null || !attempt.result.neverRan()) {
                return attempt;
            }
        }
        return null;
    }
}
