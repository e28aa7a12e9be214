package sablehinge.tools.standin;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.audit.judge.AuditRules;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.Ended;
import sablehinge.tools.standin.Balancers.Running;
import sablehinge.tools.standin.Balancers.Spec;
import sablehinge.tools.standin.Directory.Entry;
import sablehinge.tools.standin.model.Faults;
import sablehinge.tools.standin.model.Faults.Kind;
import sablehinge.tools.standin.model.Faults.ServerFault;
import sablehinge.tools.standin.scenario.Scenario;
import sablehinge.tools.standin.scenario.Scenario.ClassPart;
import sablehinge.tools.standin.scenario.Scenario.TierPart;

/**
 * Tiers of stand-in servers with balancers before each, and what befalls them. Clients reach the first tier at the
 * entries; each server of an earlier tier has a balancer of its own for the next, which starts and stops with it.
 */
public final class Fleet implements AutoCloseable {

    private static final double ANSWER_GRACE = 70;
    private static final double SLACK = 250;
    private static final int START_S = 120;
    private static final long WARM_UP_EVERY_MS = 2;
    private static final long WARM_UP_REST_MS = 300;
    /** How the names of requests begin by which the code is warmed up. */
    private static final String WARM_UP_ID = "warm-up-";

    private static final double MICROS = 1e6;

    private final Scenario scenario;
    private final Balancers balancers;
    private final Consumer<Evidence> record;
    private final Consumer<String> story;
    private final Faults faults;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<List<Server>> tiers = new ArrayList<>();
    private final List<Directory> directories = new ArrayList<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final List<InetSocketAddress> entries = new ArrayList<>();
    /** Starts and kills what takes time, one after another, and strikes when it is due. */
    private final ScheduledExecutorService serviceOwner =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("keeper", true));
    /** When all was up; in the far future before. */
    private volatile double begun;

    private volatile boolean closed;
    /** Whether what is seen is recorded: not while the fleet warms up. */
    private volatile boolean recording;

    /**
     * A fleet that has not started.
     *
     * @param threads event loops of the servers
     * @param record called with what servers and lists saw, on their threads
     * @param story called with a line of text for each fault of the fleet
     */
    public Fleet(
            Scenario scenario, Balancers balancers, int threads, Consumer<Evidence> record, Consumer<String> story) {
        this.scenario = scenario;
        this.balancers = balancers;
        this.record = one -> {
            if (recording && !isOfWarmUp(one)) {
                record.accept(one);
            }
        };
        this.story = story;
        faults = new Faults(
                scenario.faults(),
                scenario.tiers().stream().map(TierPart::servers).toList(),
                scenario.seed());
        ClosingEventLoops group = new ClosingEventLoops(threads, "standin");
        for (int i = 0; i < threads; i++) {
            loops.add((EventLoop) group.next());
        }
    }

    /** Starts all, and returns once every balancer serves; faults count from here. */
    public void start() throws Exception {
        // Faults may look at the time before all is up.
        begun = EvidenceStamps.now() + 1e12;
        try {
            serviceOwner
                    .submit(() -> {
                        build();
                        return null;
                    })
                    .get(START_S, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            close();
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
    }

    private double begun() {
        return begun;
    }

    private void build() throws Exception {
        SplittableRandom random = new SplittableRandom(scenario.seed());
        double start = EvidenceStamps.now();
        for (int tier = 0; tier < scenario.tiers().size(); tier++) {
            Directory directory = new Directory(
                    loops.get(tier % loops.size()),
                    (server, balancer) -> servers.get(server).address(balancer),
                    record);
            directories.add(directory);
            tiers.add(new ArrayList<>());
            Map<Integer, Map<String, Long>> cells = new HashMap<>();
            TierPart part = scenario.tiers().get(tier);
            for (int i = 0; i < part.servers(); i++) {
                int cell = i / part.cell();
                String zone = scenario.zones().get(i % scenario.zones().size());
                double speed = part.fastest() > part.slowest()
                        ? random.nextDouble(part.slowest(), part.fastest())
                        : part.slowest();
                // Those of a cell share a loop, as they share what they remember.
                Server server = new Server(
                        new Server.Place(part.name() + "-" + (i + 1), tier, i, zone, cell),
                        loops.get((tier + cell) % loops.size()),
                        scenario,
                        faults,
                        this::begun,
                        directory,
                        cells.computeIfAbsent(cell, key -> new HashMap<>()),
                        speed,
                        random.nextLong(),
                        record);
                tiers.get(tier).add(server);
                servers.put(server.place().name(), server);
            }
        }
        // From the last tier on, so that each server finds what it calls.
        for (int tier = scenario.tiers().size() - 1; tier >= 0; tier--) {
            List<String> senders = new ArrayList<>();
            if (tier == 0) {
                for (int i = 0; i < scenario.tiers().get(0).balancers(); i++) {
                    senders.add("entry-" + (i + 1));
                }
            } else {
                tiers.get(tier - 1)
                        .forEach(server -> senders.add("of-" + server.place().name()));
            }
            for (Server server : tiers.get(tier)) {
                for (String sender : senders) {
                    server.listenFor(sender);
                }
                Entry entry = entry(server, "up", 0);
                directories
                        .get(tier)
                        .loop()
                        .submit(() -> directories.get(server.place().tier()).change(entry))
                        .sync();
            }
            for (int i = 0; i < senders.size(); i++) {
                String zone = tier == 0
                        ? scenario.zones().get(i % scenario.zones().size())
                        : tiers.get(tier - 1).get(i).place().zone();
                int port = tier == 0 && scenario.entry().getPort() != 0
                        ? scenario.entry().getPort() + i
                        : 0;
                Running balancer = balancer(senders.get(i), tier, i, senders.size(), zone, port);
                if (tier == 0) {
                    entries.add(balancer.address());
                }
            }
            for (Server server : tiers.get(tier)) {
                server.loop().submit(() -> server.start(false, caller(server))).sync();
            }
        }
        warmUp();
        begun = EvidenceStamps.now();
        recording = true;
        story.accept(String.format(
                Locale.ROOT,
                "%d servers in %d tiers and %d balancers are up after %.1f s",
                servers.size(),
                tiers.size(),
                running.size(),
                (begun - start) / 1_000));
        schedule();
    }

    /** On a busy machine a request of the warm-up may still run when the record has begun. */
    static boolean isOfWarmUp(Evidence one) {
        return one instanceof Evidence.Ran ran && ran.txn().startsWith(WARM_UP_ID)
                || one instanceof Evidence.Noted noted && noted.txn().startsWith(WARM_UP_ID);
    }

    /** Lets the code be compiled before it counts: what has just started is late by tenths of a second. */
    private void warmUp() throws InterruptedException {
        ClassPart type = scenario.classes().get(0);
        boolean keyed = type.effect() == Repeat.DEDUPLICATED;
        int each = (int) (scenario.warmUp() / WARM_UP_EVERY_MS);
        CountDownLatch left = new CountDownLatch(each * entries.size());
        EventLoop loop = loops.get(0);
        for (InetSocketAddress entry : entries) {
            Caller calls = new Caller(loop, "warm-up", "entry", entry, one -> {});
            for (int i = 0; i < each; i++) {
                String id = WARM_UP_ID + entry.getPort() + "-" + i;
                loop.schedule(
                        () -> calls.call(
                                id,
                                type.effect() == Repeat.IDEMPOTENT,
                                type.name(),
                                keyed ? id : "",
                                null,
                                EvidenceStamps.now() + type.deadline(),
                                served -> left.countDown()),
                        i * WARM_UP_EVERY_MS,
                        TimeUnit.MILLISECONDS);
            }
        }
        left.await((long) scenario.warmUp() + (long) type.deadline() + 1_000, TimeUnit.MILLISECONDS);
        // What is still under way ends before anything counts.
        TimeUnit.MILLISECONDS.sleep(WARM_UP_REST_MS);
    }

    private Entry entry(Server server, String state, long startedMillis) {
        Server.Place place = server.place();
        return new Entry(
                place.name(),
                place.zone(),
                scenario.tiers().get(place.tier()).name(),
                place.cell(),
                state,
                startedMillis);
    }

    private Running balancer(String name, int tier, int position, int siblings, String zone, int port)
            throws Exception {
        Directory directory = directories.get(tier);
        InetSocketAddress asks = directory.open(name);
        List<Balancers.Listed> known =
                directory.loop().submit(() -> directory.listed(name)).sync().getNow();
        Running one = balancers.start(new Spec(
                name,
                tier,
                position,
                siblings,
                zone,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                asks,
                scenario.seed() * 1_000_003 + running.size(),
                scenario,
                known));
        running.put(name, one);
        return one;
    }

    /** A server's way to the next tier; null for those of the last. */
    private Caller caller(Server server) {
        Running own = running.get("of-" + server.place().name());
        return own == null
                ? null
                : new Caller(
                        server.loop(),
                        server.place().name(),
                        "of-" + server.place().name(),
                        own.address(),
                        record);
    }

    /** Where clients reach the first tier. */
    public List<InetSocketAddress> entries() {
        return List.copyOf(entries);
    }

    /** What strikes whom, and when. */
    public List<ServerFault> strikes() {
        return faults.serverFaults();
    }

    /** By what a run of this fleet is judged; callers' own terms come on top. */
    public AuditRules terms() {
        Map<String, ClassTerms> classes = new HashMap<>();
        double longest = 0;
        for (ClassPart part : scenario.classes()) {
            classes.put(part.name(), AuditTerms.of(part.effect(), part.group(), part.window()));
            longest = Math.max(longest, part.deadline() + part.window());
        }
        return new AuditRules(
                classes, ANSWER_GRACE, scenario.rules().drainGrace() + 50, SLACK, longest + 5_000, true, true);
    }

    // ---- What befalls it ---------------------------------------------------------------------------

    private void schedule() {
        for (ServerFault strike : faults.serverFaults().stream()
                .sorted(Comparator.comparingDouble(ServerFault::from))
                .toList()) {
            at(strike.from(), () -> strike(strike, true));
            at(strike.until(), () -> strike(strike, false));
        }
    }

    private void at(double elapsed, Runnable what) {
        double wait = begun + elapsed - EvidenceStamps.now();
        serviceOwner.schedule(
                () -> {
                    if (!closed) {
                        what.run();
                    }
                },
                (long) (Math.max(0, wait) * MICROS),
                TimeUnit.NANOSECONDS);
    }

    private void strike(ServerFault strike, boolean begins) {
        Server server = tiers.get(strike.tier()).get(strike.server());
        String name = server.place().name();
        String kind = strike.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        story.accept(String.format(
                Locale.ROOT,
                "%5.1f s  %s: %s %s",
                (EvidenceStamps.now() - begun) / 1_000,
                strike.kind() == Kind.SILENT_LIST
                        ? "the list of " + scenario.tiers().get(strike.tier()).name()
                        : name,
                kind,
                begins ? "begins" : "is over"));
        switch (strike.kind()) {
            case REFUSE -> server.loop().execute(begins ? () -> server.refuse(false) : server::reopen);
            case HANG -> server.loop().execute(begins ? () -> server.refuse(true) : server::reopen);
            case VANISH -> server.loop().execute(() -> server.vanish(begins));
            case RESTART -> {
                if (begins) {
                    die(server);
                    list(server, "removed", 0);
                } else {
                    comeBack(server);
                }
            }
            case DRAIN -> {
                if (begins) {
                    list(server, "draining", 0);
                } else {
                    list(server, "removed", 0);
                    die(server);
                }
            }
            case SILENT_LIST -> {
                Directory directory = directories.get(strike.tier());
                directory.loop().execute(() -> directory.listPause(begins));
            }
            default -> {}
        }
    }

    private void die(Server server) {
        server.loop().submit(server::die).awaitUninterruptibly();
        String own = "of-" + server.place().name();
        Running balancer = running.remove(own);
        if (balancer != null) {
            record.accept(new Ended(EvidenceStamps.now(), own));
            balancer.kill();
        }
    }

    private void comeBack(Server server) {
        int next = server.place().tier() + 1;
        try {
            if (next < tiers.size()) {
                balancer(
                        "of-" + server.place().name(),
                        next,
                        server.place().number(),
                        tiers.get(server.place().tier()).size(),
                        server.place().zone(),
                        0);
            }
            server.loop().submit(() -> server.start(true, caller(server))).sync();
            list(server, "up", System.currentTimeMillis());
        } catch (Exception e) {
            story.accept(server.place().name() + " did not come back: " + e.getMessage());
        }
    }

    /** The list knows of it after its delay. */
    private void list(Server server, String state, long startedMillis) {
        Directory directory = directories.get(server.place().tier());
        directory
                .loop()
                .schedule(
                        () -> directory.change(entry(server, state, startedMillis)),
                        (long) scenario.listDelay(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        closed = true;
        serviceOwner.shutdownNow();
        running.forEach((name, balancer) -> {
            record.accept(new Ended(EvidenceStamps.now(), name));
            record.accept(new Ended(
                    EvidenceStamps.now(),
                    balancer.address().getHostString() + ":"
                            + balancer.address().getPort()));
            balancer.kill();
        });
        running.clear();
        loops.get(0).parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
