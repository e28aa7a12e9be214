package sablehinge.dataplane.proxy;

/** An attempt that is out, and when its answer began to come; NaN while it hasn't. */
final class SentAttempt implements Transport.Progress {

    private final RequestProxy core;
    final Exchange exchange;
    final int number;
    final long upstream;
    final double at;
    private double begunAt = Double.NaN;

    SentAttempt(RequestProxy core, Exchange exchange, int number, long upstream, double at) {
        this.core = core;
        this.exchange = exchange;
        this.number = number;
        this.upstream = upstream;
        this.at = at;
    }

    /**
     * The module learns the latency now. With the end of a body that trickles in it would take its sender's slowness
     * for overload, and refuse others on account of it. An attempt is given up early as the next one may be quicker;
     * one whose answer comes already has all of its request's time.
     */
    @Override
    public double responseStarted() {
        begunAt = core.now();
        exchange.begun.add(number);
        double elapsed = begunAt - Math.max(at, exchange.endedAt);
        core.answerBegins(exchange, number, elapsed);
        return exchange.deadline;
    }

    @Override
    public double requestTimeMs() {
        return exchange.remaining;
    }

    @Override
    public void finished(AttemptResult result) {
        core.attemptEnded(this, begunAt, result);
    }
}
