package sablehinge.dataplane.proxy;

import java.util.function.Consumer;
import sablehinge.policy.LoadBalancer.Result;

/** An attempt that goes out once the right to it has come; a request that still comes has one only. */
final class DeferredAttempt implements Transport.Attempt, Consumer<Runnable> {

    private final RequestProxy core;
    private final SentAttempt sent;
    private final double until;
    private Transport.Attempt sending;
    private boolean ended;

    DeferredAttempt(RequestProxy core, SentAttempt sent, double until) {
        this.core = core;
        this.sent = sent;
        this.until = until;
    }

    @Override
    public void accept(Runnable extra) {
        Exchange exchange = sent.exchange;
        if (ended || !exchange.isOpen() || core.now() >= until || !core.mayStart() || !exchange.request.canBeSent()) {
            if (extra != null) {
                extra.run();
            }
            end(Result.NOT_SENT);
        } else if (extra == null) {
            end(Result.NOT_SENT);
        } else {
            ended = true;
            exchange.reaches(extra);
            sending = core.sendNow(sent, until, null);
        }
    }

    private void end(Result result) {
        if (!ended) {
            ended = true;
            core.finished(sent, Double.NaN, AttemptResult.without(result));
        }
    }

    @Override
    public boolean mayHaveRun() {
        return sending != null && sending.mayHaveRun();
    }

    @Override
    public void cancel() {
        if (sending != null) {
            sending.cancel();
        } else {
            end(Result.CANCELLED);
        }
    }
}
