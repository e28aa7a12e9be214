package sablehinge.dataplane.proxy;

import java.util.function.Consumer;
import sablehinge.policy.LoadBalancer.Result;

/**
 * An attempt that is sent once its permit arrives. A request that is still being received has a single attempt only.
 */
final class DeferredAttempt implements Transport.Attempt, Consumer<Runnable> {

    private final RequestProxy proxy;
    private final SentAttempt sent;
    private final double until;
    private Transport.Attempt attempt;
    private boolean ended;

    DeferredAttempt(RequestProxy proxy, SentAttempt sent, double until) {
        this.proxy = proxy;
        this.sent = sent;
        this.until = until;
    }

    @Override
    public void accept(Runnable returnPermit) {
        Exchange exchange = sent.exchange;
        if (ended || !exchange.isOpen() || proxy.now() >= until || !proxy.mayStart() || !exchange.request.canBeSent()) {
            if (returnPermit != null) {
                returnPermit.run();
            }
            end(Result.NOT_SENT);
        } else if (returnPermit == null) {
            end(Result.NOT_SENT);
        } else {
            ended = true;
            exchange.countServer(returnPermit);
            attempt = proxy.sendNow(sent, until, null);
        }
    }

    private void end(Result result) {
        if (!ended) {
            ended = true;
            proxy.onAttemptFinished(sent, Double.NaN, AttemptResult.without(result));
        }
    }

    @Override
    public boolean mayHaveRun() {
        return attempt != null && attempt.mayHaveRun();
    }

    @Override
    public void cancel() {
        if (attempt != null) {
            attempt.cancel();
        } else {
            end(Result.CANCELLED);
        }
    }
}
