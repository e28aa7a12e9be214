package sablehinge.dataplane.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sablehinge.policy.LoadBalancer;

/**
 * Admits requests to the one upstream of its machine: as many at once as it works on, a few that wait, and refuses the
 * rest, which proves that they have not run. All that reaches the upstream passes here, so what is held here holds,
 * however old the knowledge of the balancers elsewhere is: its slots, its incarnation and its drain.
 *
 * <p>A request's {@code cost} is how long it may wait here, in ms; its {@code tenant} the rank, 0 being the highest;
 * its {@code key} the upstream's incarnation that it is meant for.
 */
public final class AdmissionController implements LoadBalancer {

    /** The number of the one upstream. */
    public static final long UPSTREAM = 1;
    /** Those that wait, for each slot. */
    private static final int WAITING_PER_SLOT = 3;
    /** Advice to those refused as full, in ms: about what a slot takes to be free. */
    private static final double RETRY_AFTER_MS = 40;

    /** The timer at which what waits is refused, as the process is about to end; requests count from 1 on. */
    private static final long DRAIN_TIMER = 0;

    private final Actions actions;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final List<PendingRequest> waiting = new ArrayList<>();
    private long incarnation;
    private int slots;
    private int running;
    private double closesAt = Double.POSITIVE_INFINITY;
    /** Until when a request may go to the upstream before this process ends, ms. */
    private double startUntil = Double.POSITIVE_INFINITY;

    /** A request from its arrival until its outcome. */
    private static final class PendingRequest {
        final Request request;
        boolean sent;
        boolean over;

        PendingRequest(Request request) {
            this.request = request;
        }
    }

    /** A gate that is closed until {@link #open}. */
    public AdmissionController(Actions actions) {
        this.actions = actions;
    }

    @Override
    public void start(double now, Settings settings, long seed) {
        // Nothing here is drawn at random.
    }

    @Override
    public void adopt(double now, Settings settings) {
        // The gate looks at no class.
    }

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> upstreams) {
        // It has one upstream, whose state comes by open and closes.
    }

    /**
     * The upstream says that it is ready.
     *
     * @param upstream its incarnation
     * @param berths requests that it works on at once
     */
    public void open(double now, long upstream, int berths) {
        if (incarnation != upstream) {
            closesAt = Double.POSITIVE_INFINITY;
        }
        incarnation = upstream;
        slots = berths;
        if (now < closesAt) {
            next(now);
        }
    }

    /** An incarnation of the upstream takes nothing new from the given time on. */
    public void closes(double now, long upstream, double at) {
        if (incarnation == upstream) {
            closesAt = Math.min(closesAt, at);
            if (now >= closesAt) {
                refuseWaiting();
            }
        }
    }

    /**
     * This process is about to end: it sends the upstream nothing after the given time, which others may send it.
     *
     * @param until in ms; what still waits then is refused as not run
     */
    public void drain(double until) {
        startUntil = until;
        actions.setTimer(DRAIN_TIMER, until);
    }

    /** Requests at work there. */
    public int running() {
        return running;
    }

    /** Requests that wait. */
    public int waiting() {
        return waiting.size();
    }

    @Override
    public void request(double now, Request request) {
        PendingRequest one = new PendingRequest(request);
        pending.put(request.id(), one);
        if (!isOpen(now, request)) {
            refuse(one, 0);
        } else if (running < slots && waiting.isEmpty()) {
            send(one, now);
        } else if (waiting.size() < WAITING_PER_SLOT * slots && request.cost() > 0) {
            waiting.add(one);
            actions.setTimer(request.id(), now + request.cost());
        } else {
            refuse(one, RETRY_AFTER_MS);
        }
    }

    private boolean isOpen(double now, Request request) {
        return incarnation != 0 && request.key() == incarnation && now < Math.min(closesAt, startUntil);
    }

    private void send(PendingRequest one, double now) {
        one.sent = true;
        running++;
        actions.send(one.request.id(), UPSTREAM, one.request.deadline() - now);
    }

    private void refuse(PendingRequest one, double retryAfter) {
        one.over = true;
        pending.remove(one.request.id());
        actions.refuse(one.request.id(), retryAfter);
    }

    private void refuseWaiting() {
        List<PendingRequest> left = new ArrayList<>(waiting);
        waiting.clear();
        left.forEach(one -> refuse(one, 0));
    }

    /** The highest rank goes first, and of one rank what has the least time left. */
    private void next(double now) {
        while (running < slots && !waiting.isEmpty()) {
            PendingRequest best = waiting.get(0);
            for (PendingRequest one : waiting) {
                int rank = Integer.compare(one.request.tenant(), best.request.tenant());
                if (rank < 0 || rank == 0 && one.request.deadline() < best.request.deadline()) {
                    best = one;
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
        PendingRequest one = pending.remove(outcome.requestId());
        if (one == null) {
            return;
        }
        running--;
        if (!outcome.closed() && !one.over) {
            one.over = true;
            if (outcome.result().neverRan()) {
                actions.refuse(one.request.id(), RETRY_AFTER_MS);
            } else {
                actions.fail(one.request.id());
            }
        }
        next(now);
    }

    @Override
    public void streamStarted(double now, long requestId, int attempt, double elapsed) {
        // Its slot stays taken until its end.
    }

    @Override
    public void clientGone(double now, long requestId) {
        PendingRequest one = pending.get(requestId);
        if (one == null) {
            return;
        }
        one.over = true;
        if (one.sent) {
            actions.cancel(requestId, 0);
        } else {
            waiting.remove(one);
            pending.remove(requestId);
        }
    }

    /** A request has waited for as long as it may, or all have. */
    @Override
    public void timer(double now, long token) {
        if (token == DRAIN_TIMER) {
            refuseWaiting();
            return;
        }
        PendingRequest one = pending.get(token);
        if (one != null && !one.sent && waiting.remove(one)) {
            refuse(one, RETRY_AFTER_MS);
        }
    }
}
