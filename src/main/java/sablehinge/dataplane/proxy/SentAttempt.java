package sablehinge.dataplane.proxy;

/** An attempt in flight. Records when its response started to arrive; NaN until then. */
final class SentAttempt implements Transport.Progress {

    private final RequestProxy proxy;
    final Exchange exchange;
    final int number;
    final long upstream;
    final double sentAt;
    private double responseStartedAt = Double.NaN;

    SentAttempt(RequestProxy proxy, Exchange exchange, int number, long upstream, double sentAt) {
        this.proxy = proxy;
        this.exchange = exchange;
        this.number = number;
        this.upstream = upstream;
        this.sentAt = sentAt;
    }

    /**
     * Reports the latency to the module at the first byte. Measured at the end of a slow body, the client's or the
     * network's slowness would look like overload and cause the module to reject other requests. An attempt is timed
     * out early because the next attempt may be faster; an attempt whose response has started gets all the remaining
     * time of its request.
     */
    @Override
    public double responseStarted() {
        responseStartedAt = proxy.now();
        exchange.respondingAttempts.add(number);
        double latencyMs = responseStartedAt - Math.max(sentAt, exchange.receivedAt);
        proxy.onResponseStarted(exchange, number, latencyMs);
        return exchange.deadline;
    }

    @Override
    public double requestTimeMs() {
        return exchange.timeoutMs;
    }

    @Override
    public double requestDeadline() {
        return exchange.deadline;
    }

    @Override
    public void finished(AttemptResult result) {
        proxy.onAttemptEnded(this, responseStartedAt, result);
    }
}
