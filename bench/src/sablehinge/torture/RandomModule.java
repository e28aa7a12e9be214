package sablehinge.torture;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sablehinge.policy.LoadBalancer;

/** Decides by chance within the rules: sends, waits, copies, cancels, refuses and fails where a module may. */
final class RandomModule implements LoadBalancer {

    private final Actions actions;
    private final SplittableRandom random;
    private final Map<Long, Open> open = new HashMap<>();
    private final Map<Long, Upstream> ready = new HashMap<>();
    private final Map<Long, Upstream> known = new HashMap<>();
    private Settings settings;

    private static final class Open {
        final Request request;
        final Repeat repeat;
        int sends;
        int running;
        boolean ran;
        boolean answered;

        Open(Request request, Repeat repeat) {
            this.request = request;
            this.repeat = repeat;
        }
    }

    RandomModule(Actions actions, SplittableRandom random) {
        this.actions = actions;
        this.random = random;
    }

    @Override
    public void start(double now, Settings first, long seed) {
        settings = first;
    }

    @Override
    public void adopt(double now, Settings next) {
        settings = next;
    }

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> upstreams) {
        if (change == Change.FULL || change == Change.CACHED) {
            ready.clear();
        }
        for (Upstream one : upstreams) {
            known.put(one.id(), one);
            if (one.state() == State.READY) {
                ready.put(one.id(), one);
            } else {
                ready.remove(one.id());
            }
        }
    }

    @Override
    public void request(double now, Request request) {
        Open one =
                new Open(request, settings.classes().get(request.serviceClass()).repeat());
        open.put(request.id(), one);
        int dice = random.nextInt(20);
        if (dice == 0) {
            unserved(one);
        } else if (dice == 1) {
            actions.setTimer(request.id(), now + random.nextInt(100));
        } else {
            send(one);
        }
    }

    private void send(Open one) {
        // What a module does wrong the transport must not: at times this one sends to a server that was withdrawn.
        List<Long> ids = new ArrayList<>(random.nextInt(8) == 0 ? known.keySet() : ready.keySet());
        if (ids.isEmpty()) {
            if (one.running == 0) {
                unserved(one);
            }
            return;
        }
        one.sends++;
        one.running++;
        double timeout = random.nextInt(3) > 0 ? 0 : 20 + random.nextInt(1_000);
        if (one.repeat == Repeat.IDEMPOTENT && random.nextInt(4) == 0) {
            actions.setTimer(one.request.id(), 0);
        }
        actions.send(one.request.id(), ids.get(random.nextInt(ids.size())), timeout);
    }

    private void unserved(Open one) {
        if (!one.answered) {
            one.answered = true;
            if (one.ran && one.repeat == Repeat.AT_MOST_ONCE || random.nextBoolean()) {
                actions.fail(one.request.id());
            } else {
                actions.refuse(one.request.id(), random.nextInt(200));
            }
        }
        forget(one);
    }

    private void forget(Open one) {
        if (one.answered && one.running == 0) {
            open.remove(one.request.id());
        }
    }

    @Override
    public void timer(double now, long token) {
        Open one = open.get(token);
        if (one != null && !one.answered && one.sends < 4 && (one.sends == 0 || one.repeat == Repeat.IDEMPOTENT)) {
            send(one);
        }
    }

    @Override
    public void attemptFinished(double now, Outcome outcome) {
        Open one = open.get(outcome.requestId());
        if (one == null) {
            return;
        }
        one.running--;
        one.ran |= !outcome.result().neverRan();
        if (outcome.closed() || one.answered) {
            one.answered = true;
            cancelAll(one);
            forget(one);
        } else if (one.running == 0) {
            boolean may = one.sends < 4
                    && now < one.request.deadline()
                    && (one.repeat != Repeat.AT_MOST_ONCE || !one.ran)
                    && outcome.result() != Result.NOT_SENT;
            if (may && random.nextInt(4) > 0) {
                send(one);
            } else {
                unserved(one);
            }
        }
    }

    private void cancelAll(Open one) {
        for (int i = 0; i < one.sends && one.running > 0; i++) {
            actions.cancel(one.request.id(), i);
        }
    }

    @Override
    public void clientGone(double now, long request) {
        Open one = open.get(request);
        if (one != null) {
            one.answered = true;
            if (random.nextInt(4) > 0) {
                cancelAll(one);
            }
            forget(one);
        }
    }

    @Override
    public void streamStarted(double now, long request, int attempt, double elapsed) {}
}
