package sablehinge.common.eventloop;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Timers on an event loop. */
public record LoopTimers(EventLoop loop, Clock clock) implements Timers {

    private static final double NANOS_PER_MS = 1e6;

    @Override
    public Timer at(double time, Runnable call) {
        long delayNanos = (long) Math.ceil(Math.max(0, time - clock.now()) * NANOS_PER_MS);
        Future<?> future = loop.schedule(call, delayNanos, TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }
}
