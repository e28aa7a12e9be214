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
import sablehinge.tools.audit.judge.Evidence.PartyEnded;
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
 * Runs tiers of stand-in servers with balancers in front of each tier, and injects the faults of the scenario. Clients
 * reach the first tier at the entries. Each server of an earlier tier has its own balancer for the next tier, which
 * starts and stops with the server.
 */
public final class Fleet implements AutoCloseable {

    private static final double ANSWER_GRACE_MS = 70;
    private static final double SLACK_MS = 250;
    private static final int START_TIMEOUT_S = 120;
    private static final long WARM_UP_INTERVAL_MS = 2;
    private static final long WARM_UP_SETTLE_MS = 300;
    /** The prefix of the transaction ids of warm-up requests. */
    private static final String WARM_UP_ID = "warm-up-";

    private static final double NANOS_PER_MS = 1e6;

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
    /** Runs slow starts and stops one after another, and starts and ends the faults on time. */
    private final ScheduledExecutorService controlThread =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("keeper", true));
    /** The time at which the fleet was up, in ms; in the far future until then. */
    private volatile double startedAt;

    private volatile boolean closed;
    /** Whether evidence is recorded; false during the warm-up of the fleet. */
    private volatile boolean recording;

    /**
     * Creates a fleet without starting it.
     *
     * @param threads the number of event loops of the servers
     * @param record called with the records of servers and server lists, on their threads
     * @param story called with a line of text for each begin and end of a fault
     */
    public Fleet(
            Scenario scenario, Balancers balancers, int threads, Consumer<Evidence> record, Consumer<String> story) {
        this.scenario = scenario;
        this.balancers = balancers;
        this.record = evidence -> {
            if (recording && !isFromWarmUp(evidence)) {
                record.accept(evidence);
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

    /** Starts the fleet and returns when all balancers serve. The times of faults count from the return. */
    public void start() throws Exception {
        // Faults may read this field before the fleet is up.
        startedAt = EvidenceStamps.now() + 1e12;
        try {
            controlThread
                    .submit(() -> {
                        build();
                        return null;
                    })
                    .get(START_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            close();
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
    }

    private double startedAt() {
        return startedAt;
    }

    private void build() throws Exception {
        SplittableRandom random = new SplittableRandom(scenario.seed());
        double buildStart = EvidenceStamps.now();
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
                // The servers of a cell share a loop, because they share their store of idempotency keys.
                Server server = new Server(
                        new Server.Place(part.name() + "-" + (i + 1), tier, i, zone, cell),
                        loops.get((tier + cell) % loops.size()),
                        scenario,
                        faults,
                        this::startedAt,
                        directory,
                        cells.computeIfAbsent(cell, key -> new HashMap<>()),
                        speed,
                        random.nextLong(),
                        record);
                tiers.get(tier).add(server);
                servers.put(server.place().name(), server);
            }
        }
        // The last tier starts first, so that each server can reach the next tier.
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
        startedAt = EvidenceStamps.now();
        recording = true;
        story.accept(String.format(
                Locale.ROOT,
                "%d servers in %d tiers and %d balancers are up after %.1f s",
                servers.size(),
                tiers.size(),
                running.size(),
                (startedAt - buildStart) / 1_000));
        schedule();
    }

    /** Returns whether a record belongs to a warm-up request, which may still run when recording starts. */
    static boolean isFromWarmUp(Evidence evidence) {
        return evidence instanceof Evidence.ServerAttempt ran && ran.txn().startsWith(WARM_UP_ID)
                || evidence instanceof Evidence.BalancerNote noted
                        && noted.txn().startsWith(WARM_UP_ID);
    }

    /** Sends requests until the code is compiled; without it the first requests are late by tenths of a second. */
    private void warmUp() throws InterruptedException {
        ClassPart type = scenario.classes().get(0);
        boolean keyed = type.effect() == Repeat.DEDUPLICATED;
        int requestsPerEntry = (int) (scenario.warmUp() / WARM_UP_INTERVAL_MS);
        CountDownLatch pending = new CountDownLatch(requestsPerEntry * entries.size());
        EventLoop loop = loops.get(0);
        for (InetSocketAddress entry : entries) {
            Caller calls = new Caller(loop, "warm-up", "entry", entry, evidence -> {});
            for (int i = 0; i < requestsPerEntry; i++) {
                String id = WARM_UP_ID + entry.getPort() + "-" + i;
                loop.schedule(
                        () -> calls.call(
                                id,
                                type.effect() == Repeat.IDEMPOTENT,
                                type.name(),
                                keyed ? id : "",
                                null,
                                EvidenceStamps.now() + type.deadline(),
                                served -> pending.countDown()),
                        i * WARM_UP_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
            }
        }
        pending.await((long) scenario.warmUp() + (long) type.deadline() + 1_000, TimeUnit.MILLISECONDS);
        // Lets the in-flight requests end before the run starts.
        TimeUnit.MILLISECONDS.sleep(WARM_UP_SETTLE_MS);
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
        InetSocketAddress discovery = directory.open(name);
        List<Balancers.Listed> known =
                directory.loop().submit(() -> directory.listed(name)).sync().getNow();
        Running balancer = balancers.start(new Spec(
                name,
                tier,
                position,
                siblings,
                zone,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                discovery,
                scenario.seed() * 1_000_003 + running.size(),
                scenario,
                known));
        running.put(name, balancer);
        return balancer;
    }

    /** Creates the client of a server for the next tier; null for the last tier. */
    private Caller caller(Server server) {
        Running balancer = running.get("of-" + server.place().name());
        return balancer == null
                ? null
                : new Caller(
                        server.loop(),
                        server.place().name(),
                        "of-" + server.place().name(),
                        balancer.address(),
                        record);
    }

    /** Returns the addresses at which clients reach the first tier. */
    public List<InetSocketAddress> entries() {
        return List.copyOf(entries);
    }

    /** Returns the faults of all servers. */
    public List<ServerFault> serverFaults() {
        return faults.serverFaults();
    }

    /** Returns the rules by which the audit judges a run of this fleet, without those of the callers. */
    public AuditRules terms() {
        Map<String, ClassTerms> classes = new HashMap<>();
        double maxHoldMs = 0;
        for (ClassPart part : scenario.classes()) {
            classes.put(part.name(), AuditTerms.of(part.effect(), part.group(), part.window()));
            maxHoldMs = Math.max(maxHoldMs, part.deadline() + part.window());
        }
        return new AuditRules(
                classes, ANSWER_GRACE_MS, scenario.rules().drainGrace() + 50, SLACK_MS, maxHoldMs + 5_000, true, true);
    }

    // ---- Faults --------------------------------------------------------------------------------------

    private void schedule() {
        for (ServerFault fault : faults.serverFaults().stream()
                .sorted(Comparator.comparingDouble(ServerFault::from))
                .toList()) {
            scheduleAt(fault.from(), () -> applyFault(fault, true));
            scheduleAt(fault.until(), () -> applyFault(fault, false));
        }
    }

    private void scheduleAt(double elapsed, Runnable action) {
        double delayMs = startedAt + elapsed - EvidenceStamps.now();
        controlThread.schedule(
                () -> {
                    if (!closed) {
                        action.run();
                    }
                },
                (long) (Math.max(0, delayMs) * NANOS_PER_MS),
                TimeUnit.NANOSECONDS);
    }

    private void applyFault(ServerFault fault, boolean begins) {
        Server server = tiers.get(fault.tier()).get(fault.server());
        String name = server.place().name();
        String kind = fault.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        story.accept(String.format(
                Locale.ROOT,
                "%5.1f s  %s: %s %s",
                (EvidenceStamps.now() - startedAt) / 1_000,
                fault.kind() == Kind.SILENT_LIST
                        ? "the list of " + scenario.tiers().get(fault.tier()).name()
                        : name,
                kind,
                begins ? "begins" : "is over"));
        switch (fault.kind()) {
            case REFUSE -> server.loop().execute(begins ? () -> server.refuse(false) : server::reopen);
            case HANG -> server.loop().execute(begins ? () -> server.refuse(true) : server::reopen);
            case VANISH -> server.loop().execute(() -> server.setUnresponsive(begins));
            case RESTART -> {
                if (begins) {
                    crash(server);
                    updateList(server, "removed", 0);
                } else {
                    restart(server);
                }
            }
            case DRAIN -> {
                if (begins) {
                    updateList(server, "draining", 0);
                } else {
                    updateList(server, "removed", 0);
                    crash(server);
                }
            }
            case SILENT_LIST -> {
                Directory directory = directories.get(fault.tier());
                directory.loop().execute(() -> directory.pauseResponses(begins));
            }
            default -> {}
        }
    }

    private void crash(Server server) {
        server.loop().submit(server::crash).awaitUninterruptibly();
        String balancerName = "of-" + server.place().name();
        Running balancer = running.remove(balancerName);
        if (balancer != null) {
            record.accept(new PartyEnded(EvidenceStamps.now(), balancerName));
            balancer.kill();
        }
    }

    private void restart(Server server) {
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
            updateList(server, "up", System.currentTimeMillis());
        } catch (Exception e) {
            story.accept(server.place().name() + " did not come back: " + e.getMessage());
        }
    }

    /** Changes the entry of a server in the list after the delay of the list. */
    private void updateList(Server server, String state, long startedMillis) {
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
        controlThread.shutdownNow();
        running.forEach((name, balancer) -> {
            record.accept(new PartyEnded(EvidenceStamps.now(), name));
            record.accept(new PartyEnded(
                    EvidenceStamps.now(),
                    balancer.address().getHostString() + ":"
                            + balancer.address().getPort()));
            balancer.kill();
        });
        running.clear();
        loops.get(0).parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
