package sablehinge.gateway.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Path;
import java.util.Collection;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.TraceEvent;
import sablehinge.gateway.recorder.Alarm;
import sablehinge.gateway.recorder.DumpDirectory;
import sablehinge.gateway.recorder.FlightRecorder;
import sablehinge.gateway.recorder.Ring;
import sablehinge.gateway.recorder.Vitals;
import sablehinge.gateway.recorder.Watch;
import sablehinge.gateway.recorder.Watchdog;

/** The flight recorder of one balancer, with its watch on the event loop and its watchdog thread. */
final class Recording {

    private static final Logger LOG = LoggerFactory.getLogger(Recording.class);
    /** The number of ticks between two samples of the gauges. */
    private static final int GAUGE_INTERVAL_TICKS = 4;
    /** Ticks with a longer delay are recorded. */
    private static final double LATE_TICK_MS = 50;

    private static final long NANOS_PER_US = 1_000;

    private final EventLoop loop;
    private final RequestProxy proxy;
    private final Sockets sockets;
    private final Vitals vitals;
    private final FlightRecorder recorder;
    private final Watch watch;
    private final Watchdog watchdog;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private int ticks;
    private int alarmCount;
    private double lastTickMs = Double.NaN;
    private long lastCpuNanos;

    /**
     * Creates a recording that is not started.
     *
     * @param ringBytes the size of the ring
     * @param directory the directory of the dumps; null for none
     * @param maxDumps the number of dumps to retain
     */
    Recording(
            String name,
            int ringBytes,
            Path directory,
            int maxDumps,
            Watch.Terms terms,
            EventLoop loop,
            RequestProxy proxy,
            Sockets sockets,
            Supplier<Collection<Frontend>> frontends,
            LongSupplier usedMemory) {
        this.loop = loop;
        this.proxy = proxy;
        this.sockets = sockets;
        vitals = new LoopVitals(proxy, sockets, frontends, usedMemory);
        recorder = new FlightRecorder(new Ring(ringBytes), System::nanoTime);
        watch = new Watch(terms);
        watchdog = new Watchdog(
                recorder.ring(),
                name,
                System::nanoTime,
                terms.maxTickDelayMs() + terms.tickMs(),
                directory == null ? null : new DumpDirectory(directory, maxDumps),
                message -> Log.warn(LOG, "recorder").log(message));
    }

    /** Starts the recording; called on the event loop. */
    void start() {
        proxy.setTracer(recorder);
        sockets.setTracer(recorder);
        watchdog.start();
        long period = Math.round(watch.terms().tickMs());
        loop.scheduleAtFixedRate(this::tick, period, period, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        watchdog.tick();
        double nowMs = proxy.now();
        double delay = nowMs - lastTickMs - watch.terms().tickMs();
        long cpuNanos = threads.getCurrentThreadCpuTime();
        if (delay > LATE_TICK_MS) {
            recorder.note(TraceEvent.LOOP_LATE, 0, 0, Math.round(delay * 1_000));
            recorder.note(TraceEvent.LOOP_CPU, 0, 0, (cpuNanos - lastCpuNanos) / NANOS_PER_US);
        }
        lastTickMs = nowMs;
        lastCpuNanos = cpuNanos;
        if (ticks++ % GAUGE_INTERVAL_TICKS == 0) {
            recorder.note(TraceEvent.MEMORY, 0, 0, vitals.usedMemory());
            recorder.note(TraceEvent.DESCRIPTORS, 0, 0, vitals.descriptors());
            recorder.note(TraceEvent.REQUESTS, 0, 0, proxy.requests());
        }
        for (Alarm alarm : watch.tick(nowMs, vitals)) {
            alarmCount++;
            recorder.note(
                    TraceEvent.ALARM,
                    alarm.connection(),
                    alarm.exchange(),
                    alarm.kind().ordinal());
            watchdog.alarm(alarm);
        }
    }

    /** Writes a dump for an operator; {@code callback} gets its path or the failure, on the event loop. */
    void dump(BiConsumer<Path, String> callback) {
        watchdog.dump((path, failure) -> loop.execute(() -> callback.accept(path, failure)));
    }

    /** Adds the counters of the recorder to a status object. */
    ObjectNode addStatus(ObjectNode status) {
        status.putObject("recorder")
                .put("events", recorder.ring().written())
                .put("ring_events", recorder.ring().capacity())
                .put("alarms", alarmCount)
                .put("woken", vitals.recoveredWakeUps());
        return status;
    }

    /** Stops the watchdog after the requested dumps are written. */
    void stop() throws InterruptedException {
        watchdog.stop();
    }
}
