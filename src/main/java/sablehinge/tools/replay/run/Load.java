package sablehinge.tools.replay.run;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.audit.judge.AuditRules;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.DuplicateAnswer;
import sablehinge.tools.replay.Demand;
import sablehinge.tools.replay.schedule.ReplayClient;
import sablehinge.tools.replay.schedule.ReplaySchedule;

/** A replay: reads requests, sends each when it is due, and counts what becomes of them. */
public final class Load {

    /** The grace and the slack of a judgement, in ms; each limit of the protocol is 50 ms longer on sockets. */
    private static final double ANSWER_GRACE = 70;

    private static final double DRAIN_GRACE = 2_050;
    private static final double SLACK = 250;
    private static final int MAX_CLASSES = 1_000;
    private static final int MAX_TARGET = 2_000;
    private static final long PRIMING_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final double NANOS = 1e6;

    /**
     * What is sent, and where.
     *
     * @param targets balancers, used in turn
     * @param classes what is known of classes; others are safe if they are first requested by GET, else unsafe
     * @param lanes event loops that send
     * @param connections open at a time at most, over all lanes
     * @param body bytes of bodies of which the log tells nothing
     */
    public record Options(
            List<InetSocketAddress> targets,
            Map<String, ClassPlan> classes,
            ReplayClient.Terms clients,
            ReplaySchedule.Terms schedule,
            int lanes,
            int connections,
            int body,
            long seed) {}

    /** Where requests come from, in the order of time; null after the last. */
    public interface Source {

        /** The next request. */
        Demand next() throws IOException;
    }

    private final Options options;
    private final List<ReplayWorker> lanes = new ArrayList<>();
    private final Map<String, ClassPlan> plans;
    private final ReplaySchedule<Demand> schedule;
    private final long[] laneThreads;
    private final long start;
    private volatile boolean stopped;
    private int turn;
    private long unmatched;
    private long feeding;
    private long ended;

    /** A replay that sends nothing yet; {@code record} is called with what its clients see, on their threads. */
    public Load(Options options, Consumer<Evidence> record) throws InterruptedException {
        this.options = options;
        plans = new HashMap<>(options.classes());
        schedule = new ReplaySchedule<>(options.schedule(), this::due);
        Warmup.run(options.lanes());
        start = System.nanoTime() + PRIMING_NANOS;
        SplittableRandom seeds = new SplittableRandom(options.seed());
        laneThreads = new long[options.lanes()];
        for (int i = 0; i < options.lanes(); i++) {
            EventLoop loop = ClosingEventLoops.single("load");
            List<ReplayTarget> targets = new ArrayList<>();
            for (InetSocketAddress address : options.targets()) {
                targets.add(new ReplayTarget(address, address.getHostString() + ":" + address.getPort()));
            }
            lanes.add(new ReplayWorker(
                    loop,
                    "clients-" + i,
                    targets,
                    Math.max(1, options.connections() / options.lanes()),
                    options.clients(),
                    seeds.nextLong(),
                    start,
                    new ReplayWorker.LoadRecord() {
                        @Override
                        public void tried(ClientAttempt tried) {
                            record.accept(tried);
                        }

                        @Override
                        public void unasked(DuplicateAnswer unasked) {
                            record.accept(unasked);
                        }
                    }));
            laneThreads[i] =
                    loop.submit(() -> Thread.currentThread().getId()).sync().getNow();
        }
    }

    /** Sends all that the source has, and returns once all of it has come out or this was stopped. */
    public void run(Source source) throws IOException, InterruptedException {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadCpuTime();
        for (Demand demand = source.next(); demand != null && !stopped; demand = source.next()) {
            if (demand.mapped() == null) {
                unmatched++;
            } else if (schedule.isPast(demand.time())) {
                break;
            } else {
                schedule.take(demand.time(), demand.mapped().serviceClass(), demand);
            }
        }
        if (!stopped) {
            schedule.end();
        }
        feeding = threads.getCurrentThreadCpuTime() - before;
        for (ReplayWorker lane : lanes) {
            while (!lane.loop().submit(lane::isDone).sync().getNow()) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        // Answers that are too late are still looked for.
        TimeUnit.MILLISECONDS.sleep(200);
        ended = System.nanoTime();
    }

    /** Sends nothing more; what is out still comes out, within its deadline. */
    public void stop() {
        stopped = true;
        lanes.forEach(lane -> lane.loop().execute(lane::stop));
    }

    /** Ends its threads. */
    public void close() {
        lanes.forEach(lane -> lane.loop().parent().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS));
    }

    /** Requests that were sent, and that have come out, so far; for somebody who watches. */
    public long[] progress() throws InterruptedException {
        long[] sums = new long[2];
        for (ReplayWorker lane : lanes) {
            long[] one = lane.loop()
                    .submit(() ->
                            new long[] {lane.counts().requests, lane.counts().ended()})
                    .sync()
                    .getNow();
            sums[0] += one[0];
            sums[1] += one[1];
        }
        return sums;
    }

    private void due(double due, int copy, Demand demand) {
        String name = demand.mapped().serviceClass();
        ClassPlan plan = plans.computeIfAbsent(
                name,
                key -> ClassPlan.unknown(
                        plans.size() < MAX_CLASSES
                                        && List.of("GET", "HEAD", "OPTIONS").contains(demand.method())
                                ? Effect.SAFE
                                : Effect.UNSAFE));
        double deadline = demand.mapped().deadline() > 0 ? demand.mapped().deadline() : plan.deadline();
        Planned planned = new Planned(
                start + (long) (due * NANOS),
                name,
                plan,
                target(name, demand.target()),
                demand.mapped().key(),
                demand.mapped().tenant(),
                deadline,
                demand.body() >= 0 ? demand.body() : options.body());
        ReplayWorker lane = lanes.get(turn++ % lanes.size());
        try {
            while (!stopped && !lane.add(planned, 100)) {
                // The next look is whether it was stopped.
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stop();
        }
    }

    /** A target whose first part is the class, as the protocol wants it, of plain characters only. */
    static String target(String serviceClass, String logged) {
        String own = "/" + serviceClass;
        boolean has = logged.startsWith(own)
                && (logged.length() == own.length() || "/?".indexOf(logged.charAt(own.length())) >= 0);
        StringBuilder plain = new StringBuilder();
        for (byte b : (has ? logged : own + (logged.startsWith("/") ? logged : "/" + logged))
                .getBytes(StandardCharsets.UTF_8)) {
            if (plain.length() > MAX_TARGET) {
                break;
            }
            if (b > ' ' && b < 127) {
                plain.append((char) b);
            } else {
                plain.append(String.format(Locale.ROOT, "%%%02X", b & 0xff));
            }
        }
        return plain.toString();
    }

    /** By what the record of this replay can be judged. */
    public AuditRules terms(boolean serversComplete) {
        Map<String, ClassTerms> classes = new HashMap<>();
        double longest = 0;
        for (Map.Entry<String, ClassPlan> one : plans.entrySet()) {
            classes.put(one.getKey(), one.getValue().terms());
            longest = Math.max(
                    longest, one.getValue().deadline() + one.getValue().terms().window());
        }
        return new AuditRules(classes, ANSWER_GRACE, DRAIN_GRACE, SLACK, longest + 5_000, true, serversComplete);
    }

    /** What came of it; after {@link #run}. */
    public LoadResult result(long writingNanos) throws InterruptedException {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long cpu = feeding + writingNanos;
        RequestCounts all = new RequestCounts();
        for (int i = 0; i < lanes.size(); i++) {
            cpu += threads.getThreadCpuTime(laneThreads[i]);
            ReplayWorker lane = lanes.get(i);
            lane.loop().submit(() -> all.add(lane.counts())).sync();
        }
        return new LoadResult(
                options, all, unmatched, EvidenceStamps.at(start), (ended - start) / NANOS, cpu / NANOS, stopped);
    }
}
