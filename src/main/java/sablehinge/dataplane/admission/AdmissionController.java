package sablehinge.dataplane.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sablehinge.policy.LoadBalancer;

/**
 * Admits requests to the local upstream. It sends as many concurrent requests as the upstream has slots, queues a few
 * and refuses the rest, which proves that they have not run. All requests to the upstream pass through this class, so
 * the limits on slots, incarnation and drain hold even if other balancers have outdated data.
 *
 * <p>A request's {@code cost} is the maximum time it may wait here, in milliseconds; its {@code tenant} is the
 * priority, 0 being the highest; its {@code key} is the upstream's incarnation that it is addressed to.
 */
public final class AdmissionController implements LoadBalancer {

    /** The number of the only upstream. */
    public static final long UPSTREAM = 1;
    /** Maximum number of waiting requests per slot. */
    private static final int MAX_WAITING_PER_SLOT = 3;
    /**
     * Retry delay in milliseconds for requests refused because the upstream is full: about the time until a slot is
     * free.
     */
    private static final double RETRY_AFTER_MS = 40;

    /** Token of the timer that refuses waiting requests before the process stops; request ids start at 1. */
    private static final long DRAIN_TIMER = 0;

    private final Actions actions;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final List<PendingRequest> waiting = new ArrayList<>();
    private long incarnation;
    private int slots;
    private int running;
    private double closesAt = Double.POSITIVE_INFINITY;
    /** Time in milliseconds until which requests may be sent to the upstream before this process stops. */
    private double sendUntil = Double.POSITIVE_INFINITY;

    /** A request from its arrival until its outcome. */
    private static final class PendingRequest {
        final Request request;
        boolean sent;
        boolean finished;

        PendingRequest(Request request) {
            this.request = request;
        }
    }

    /** Creates a controller that is closed until {@link #open}. */
    public AdmissionController(Actions actions) {
        this.actions = actions;
    }

    @Override
    public void start(double now, Settings settings, long seed) {
        // Uses no randomness.
    }

    @Override
    public void adopt(double now, Settings settings) {
        // Admission does not depend on service classes.
    }

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> upstreams) {
        // The state of the only upstream is set by open and closeAt.
    }

    /**
     * Opens admission: the upstream reports that it is ready.
     *
     * @param upstream the incarnation of the upstream
     * @param berths maximum number of concurrent requests
     */
    public void open(double now, long upstream, int berths) {
        if (incarnation != upstream) {
            closesAt = Double.POSITIVE_INFINITY;
        }
        incarnation = upstream;
        slots = berths;
        if (now < closesAt) {
            admitWaiting(now);
        }
    }

    /** Closes admission to an incarnation of the upstream at the given time. */
    public void closeAt(double now, long upstream, double at) {
        if (incarnation == upstream) {
            closesAt = Math.min(closesAt, at);
            if (now >= closesAt) {
                refuseWaiting();
            }
        }
    }

    /**
     * Stops sending requests to the upstream after the given time because this process is about to stop. Other
     * processes may still send requests to the upstream.
     *
     * @param until the time in milliseconds at which waiting requests are refused as not run
     */
    public void drain(double until) {
        sendUntil = until;
        actions.setTimer(DRAIN_TIMER, until);
    }

    /** Number of requests that the upstream is processing. */
    public int running() {
        return running;
    }

    /** Number of waiting requests. */
    public int waiting() {
        return waiting.size();
    }

    @Override
    public void request(double now, Request request) {
        PendingRequest pendingRequest = new PendingRequest(request);
        pending.put(request.id(), pendingRequest);
        if (!isOpen(now, request)) {
            refuse(pendingRequest, 0);
        } else if (running < slots && waiting.isEmpty()) {
            send(pendingRequest, now);
        } else if (waiting.size() < MAX_WAITING_PER_SLOT * slots && request.cost() > 0) {
            waiting.add(pendingRequest);
            actions.setTimer(request.id(), now + request.cost());
        } else {
            refuse(pendingRequest, RETRY_AFTER_MS);
        }
    }

    private boolean isOpen(double now, Request request) {
        return incarnation != 0 && request.key() == incarnation && now < Math.min(closesAt, sendUntil);
    }

    private void send(PendingRequest pendingRequest, double now) {
        pendingRequest.sent = true;
        running++;
        actions.send(pendingRequest.request.id(), UPSTREAM, pendingRequest.request.deadline() - now);
    }

    private void refuse(PendingRequest pendingRequest, double retryAfter) {
        pendingRequest.finished = true;
        pending.remove(pendingRequest.request.id());
        actions.refuse(pendingRequest.request.id(), retryAfter);
    }

    private void refuseWaiting() {
        List<PendingRequest> refused = new ArrayList<>(waiting);
        waiting.clear();
        refused.forEach(pendingRequest -> refuse(pendingRequest, 0));
    }

    /** Sends waiting requests while slots are free, ordered by priority and then by deadline. */
    private void admitWaiting(double now) {
        while (running < slots && !waiting.isEmpty()) {
            PendingRequest best = waiting.get(0);
            for (PendingRequest pendingRequest : waiting) {
                int rank = Integer.compare(pendingRequest.request.tenant(), best.request.tenant());
                if (rank < 0 || rank == 0 && pendingRequest.request.deadline() < best.request.deadline()) {
                    best = pendingRequest;
                }
            }
            waiting.remove(best);
            if (isOpen(now, best.request)) {
                send(best, now);
            } else {
                refuse(best, 0);
            }
        }
    }

    @Override
    public void attemptFinished(double now, Outcome outcome) {
        PendingRequest pendingRequest = pending.remove(outcome.requestId());
        if (pendingRequest == null) {
            return;
        }
        running--;
        if (!outcome.closed() && !pendingRequest.finished) {
            pendingRequest.finished = true;
            if (outcome.result().neverRan()) {
                actions.refuse(pendingRequest.request.id(), RETRY_AFTER_MS);
            } else {
                actions.fail(pendingRequest.request.id());
            }
        }
        admitWaiting(now);
    }

    @Override
    public void streamStarted(double now, long requestId, int attempt, double elapsed) {
        // The slot stays occupied until the attempt ends.
    }

    @Override
    public void clientGone(double now, long requestId) {
        PendingRequest pendingRequest = pending.get(requestId);
        if (pendingRequest == null) {
            return;
        }
        pendingRequest.finished = true;
        if (pendingRequest.sent) {
            actions.cancel(requestId, 0);
        } else {
            waiting.remove(pendingRequest);
            pending.remove(requestId);
        }
    }

    /** Refuses a request whose wait has timed out, or all waiting requests on drain. */
    @Override
    public void timer(double now, long token) {
        if (token == DRAIN_TIMER) {
            refuseWaiting();
            return;
        }
        PendingRequest pendingRequest = pending.get(token);
        if (pendingRequest != null && !pendingRequest.sent && waiting.remove(pendingRequest)) {
            refuse(pendingRequest, RETRY_AFTER_MS);
        }
    }
}
