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
import sablehinge.gateway.recorder.DumpFolder;
import sablehinge.gateway.recorder.FlightRecorder;
import sablehinge.gateway.recorder.Ring;
import sablehinge.gateway.recorder.Vitals;
import sablehinge.gateway.recorder.Watch;
import sablehinge.gateway.recorder.Watchdog;

/** The flight recorder of one balancer, its watch on the loop and its watchdog beside it. */
final class Recording {

    private static final Logger LOG = LoggerFactory.getLogger(Recording.class);
    /** Ticks between two notes of what changes slowly. */
    private static final int GAUGES_EVERY = 4;
    /** A tick that is later than this is noted, in ms. */
    private static final double LATE_MS = 50;

    private static final long NANOS_PER_US = 1_000;

    private final EventLoop loop;
    private final RequestProxy core;
    private final Sockets sockets;
    private final Vitals vitals;
    private final FlightRecorder recorder;
    private final Watch watch;
    private final Watchdog watchdog;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private int ticks;
    private int alarms;
    private double lastTick = Double.NaN;
    private long lastCpu;

    /**
     * A recording that has not begun.
     *
     * @param bytes of the ring
     * @param folder where dumps are kept; null for nowhere
     * @param keep how many
     */
    Recording(
            String name,
            int bytes,
            Path folder,
            int keep,
            Watch.Terms terms,
            EventLoop loop,
            RequestProxy core,
            Sockets sockets,
            Supplier<Collection<Frontend>> fronts,
            LongSupplier memory) {
        this.loop = loop;
        this.core = core;
        this.sockets = sockets;
        vitals = new LoopVitals(core, sockets, fronts, memory);
        recorder = new FlightRecorder(new Ring(bytes), System::nanoTime);
        watch = new Watch(terms);
        watchdog = new Watchdog(
                recorder.ring(),
                name,
                System::nanoTime,
                terms.turn() + terms.tick(),
                folder == null ? null : new DumpFolder(folder, keep),
                text -> Log.warn(LOG, "recorder").log(text));
    }

    /** Begins, on the loop. */
    void begin() {
        core.setTracer(recorder);
        sockets.setTracer(recorder);
        watchdog.start();
        long period = Math.round(watch.terms().tick());
        loop.scheduleAtFixedRate(this::tick, period, period, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        watchdog.tick();
        double now = core.now();
        double late = now - lastTick - watch.terms().tick();
        long cpu = threads.getCurrentThreadCpuTime();
        if (late > LATE_MS) {
            recorder.note(TraceEvent.LOOP_LATE, 0, 0, Math.round(late * 1_000));
            recorder.note(TraceEvent.LOOP_CPU, 0, 0, (cpu - lastCpu) / NANOS_PER_US);
        }
        lastTick = now;
        lastCpu = cpu;
        if (ticks++ % GAUGES_EVERY == 0) {
            recorder.note(TraceEvent.MEMORY, 0, 0, vitals.memory());
            recorder.note(TraceEvent.DESCRIPTORS, 0, 0, vitals.descriptors());
            recorder.note(TraceEvent.REQUESTS, 0, 0, core.requests());
        }
        for (Alarm alarm : watch.tick(now, vitals)) {
            alarms++;
            recorder.note(
                    TraceEvent.ALARM,
                    alarm.connection(),
                    alarm.exchange(),
                    alarm.kind().ordinal());
            watchdog.alarm(alarm);
        }
    }

    /** Makes a dump as an operator requests it; {@code done} is called with the result on the loop. */
    void dump(BiConsumer<Path, String> done) {
        watchdog.dump((path, why) -> loop.execute(() -> done.accept(path, why)));
    }

    /** Adds what it has seen. */
    ObjectNode status(ObjectNode status) {
        status.putObject("recorder")
                .put("events", recorder.ring().written())
                .put("ring_events", recorder.ring().capacity())
                .put("alarms", alarms)
                .put("woken", vitals.woken());
        return status;
    }

    /** Ends with the dumps that were requested. */
    void end() throws InterruptedException {
        watchdog.end();
    }
}
