package sablehinge.fleet;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Cut;
import sablehinge.common.rpc.Frame;
import sablehinge.common.settings.ConfigException;
import sablehinge.common.settings.LocalSettings;
import sablehinge.dataplane.sidecar.HollowSidecar;
import sablehinge.mesh.api.ConfigurationReader;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.watch.PackedConfiguration;
import sablehinge.mesh.watch.Update;
import sablehinge.tools.standin.mesh.TrafficLog;

/** Hundreds of hollow sidecars on a few threads of this process. */
final class HollowFleet implements AutoCloseable {

    private static final int LOOPS = 6;
    private static final long LOOK_MS = 5;
    private static final long PULSE_MS = 10;

    private final FleetPlan plan;
    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(LOOPS, new DefaultThreadFactory("hollow", true), NioIoHandler.newFactory());
    private final Traffic traffic = new Traffic();
    private final List<HollowSidecar> sidecars = new ArrayList<>();
    private final ConcurrentHashMap<Long, Configuration> parsed = new ConcurrentHashMap<>();
    private final AtomicLong latestNanos = new AtomicLong();
    private int incarnations;
    /** Whether the regions are cut from each other now. */
    private volatile boolean cut;

    HollowFleet(FleetPlan plan) {
        this.plan = plan;
        for (int i = 0; i < LOOPS; i++) {
            watchLateness(loops.next());
        }
    }

    /** How late a loop's own timer comes tells how long records wait for this process. */
    private void watchLateness(EventLoop loop) {
        long[] due = {System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PULSE_MS)};
        loop.scheduleWithFixedDelay(
                () -> {
                    long now = System.nanoTime();
                    latestNanos.accumulateAndGet(now - due[0], Math::max);
                    due[0] = now + TimeUnit.MILLISECONDS.toNanos(PULSE_MS);
                },
                PULSE_MS,
                PULSE_MS,
                TimeUnit.MILLISECONDS);
    }

    /** The longest that a timer of this process was late since this was last read, in ms. */
    double lateMs() {
        return latestNanos.getAndSet(0) / 1e6;
    }

    /** Makes all of them; each only binds its address until {@link #start}. */
    void prepare() throws ConfigException, InterruptedException {
        for (int i = 0; i < plan.hollow(); i++) {
            LocalSettings settings = plan.hollowSettings(i);
            int region = plan.regionAt(new InetSocketAddress(settings.ip(), 0));
            Cut regions = new Cut(() -> cut, other -> plan.regionAt(other) != region);
            HollowSidecar sidecar =
                    HollowSidecar.prepare(settings, loops.next(), incarnation(i), observer(regions), this::read);
            regions.apply(sidecar.datagrams());
            sidecars.add(sidecar);
        }
    }

    /** Counts all records, and lays the cut over all connections. */
    private Connection.Observer observer(Cut regions) {
        return new Connection.Observer() {
            @Override
            public void sent(Frame.Kind kind, int bytes) {
                traffic.sent(kind, bytes);
            }

            @Override
            public void received(Frame.Kind kind, int bytes) {
                traffic.received(kind, bytes);
            }

            @Override
            public void beforeConnect(Channel channel, InetSocketAddress to) {
                regions.apply(channel, to);
            }
        };
    }

    /** The regions are cut from each other, or no more, as far as hollow sidecars notice. */
    void cut(boolean lasts) {
        cut = lasts;
    }

    /** Starts all of them at once. */
    void start() {
        sidecars.forEach(HollowSidecar::begin);
    }

    private String incarnation(int place) {
        return "i-" + place + "-" + ++incarnations;
    }

    /** One parses a configuration for all of this process: only the newest is kept. */
    private Configuration read(Update update) {
        Configuration configuration = parsed.computeIfAbsent(update.edition(), edition -> parse(update.body()));
        parsed.keySet().removeIf(edition -> edition < update.edition());
        return configuration;
    }

    private static Configuration parse(byte[] packed) {
        try {
            return ConfigurationReader.read(PackedConfiguration.unpack(packed));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The hollow sidecars, by their places. */
    List<HollowSidecar> all() {
        return sidecars;
    }

    /** What they have sent and received. */
    Traffic traffic() {
        return traffic;
    }

    /** All are to meet a condition from now on. */
    void await(Predicate<HollowSidecar.View> condition) {
        sidecars.forEach(sidecar -> sidecar.await(condition));
    }

    /** Waits until all have met the awaited condition, or for a time; returns how long each took. */
    Times awaited(double event, long withinMs) throws InterruptedException {
        double end = TrafficLog.now() + withinMs;
        while (TrafficLog.now() < end && sidecars.stream().anyMatch(sidecar -> Double.isNaN(sidecar.awaitedAt()))) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        return Times.since(
                event, sidecars.stream().mapToDouble(HollowSidecar::awaitedAt).toArray());
    }

    /** The upstream of one is replaced; returns the new one's id. */
    String replaceUpstream(int place) {
        String incarnation = incarnation(place);
        sidecars.get(place).replaceUpstream(incarnation);
        return incarnation;
    }

    /** So many requests a second arrive at each. */
    void demand(double perSecond) {
        sidecars.forEach(sidecar -> sidecar.demand(perSecond));
    }

    /** Those of some places end as killed processes do; the others stay. */
    void kill(Predicate<HollowSidecar> which) {
        List<HollowSidecar> gone = sidecars.stream().filter(which).toList();
        gone.forEach(HollowSidecar::close);
        sidecars.removeAll(gone);
    }

    @Override
    public void close() {
        sidecars.forEach(HollowSidecar::close);
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
