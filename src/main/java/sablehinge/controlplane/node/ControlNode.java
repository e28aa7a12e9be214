package sablehinge.controlplane.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.common.logging.Log;
import sablehinge.common.rpc.Connection;
import sablehinge.common.settings.ConfigException;
import sablehinge.common.settings.LocalSettings;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.Message;
import sablehinge.controlplane.raft.PersistedState;
import sablehinge.controlplane.raft.RaftActions;
import sablehinge.controlplane.raft.RaftConfig;
import sablehinge.controlplane.raft.RaftMetrics;
import sablehinge.controlplane.raft.RaftNode;
import sablehinge.controlplane.raft.RaftStatus;
import sablehinge.controlplane.raft.Snapshot;
import sablehinge.controlplane.raft.WriteBatch;
import sablehinge.controlplane.state.ConfigurationState;
import sablehinge.mesh.api.ApiServer;
import sablehinge.mesh.api.ConfigurationCheck;
import sablehinge.mesh.api.Operation;

/**
 * A node of the core. It replicates the configuration with the other nodes through Raft, stores it on disk, serves
 * operators' calls and, while it is the leader, publishes updates to the data plane. All state belongs to one event
 * loop; disk writes and the validation of configurations each have a thread of their own.
 */
public final class ControlNode {

    private static final Logger LOG = LoggerFactory.getLogger(ControlNode.class);
    private static final long TICK_MS = 20;
    private static final long MS_PER_S = 1_000;
    /** The part of the grace period that is reserved for ending the process. */
    private static final long SHUTDOWN_RESERVE_MS = 1_000;

    private static final double NANOS_PER_MS = 1e6;
    /** How often each end of a connection between processes sends a ping while it receives nothing. */
    static final long PING_INTERVAL_MS = 300;

    static final long CONNECTION_TIMEOUT_MS = 1_200;
    private static final int MAX_CONFIGURATION_BYTES = 15 * 1024 * 1024;
    /** The exit status of a process that can't continue with its member identity. */
    private static final int HALT_EXIT_STATUS = 3;

    private final EventLoop loop;
    private final Clock clock = Clock.system();
    private final ExecutorService diskExecutor = singleThreadExecutor("disk");
    private final ExecutorService validationExecutor = singleThreadExecutor("checks");
    private final LocalSettings settings;
    private final long processStartNanos;
    private final Connection connection;
    private final CoreIdentity identity;
    private final DiskWriter diskWriter;
    private final DiskHangDetector diskHangDetector;
    private final RaftNode raft;
    private final ConfigurationState configurations = new ConfigurationState();
    private final QuorumGate gate;
    private final FailStopExecutor failStopExecutor =
            new FailStopExecutor(() -> Runtime.getRuntime().halt(HALT_EXIT_STATUS));
    private final ChangeCoordinator changes;
    private final DataPlaneService dataPlane;
    private final StateMachine stateMachine;
    private Member self;
    /** Null, like {@code self}, until the disk has been read. */
    private PeerConnections peers;

    private RaftStatus raftStatus = new RaftStatus(RaftStatus.Role.OUTSIDER, 0, null, List.of());
    /** Counted down once no committed entry depends on this process. */
    private final CountDownLatch released = new CountDownLatch(1);

    private ControlNode(
            LocalSettings settings,
            long processStartNanos,
            EventLoop loop,
            Supplier<RaftStore> opener,
            Connection.Observer observer) {
        this.settings = settings;
        this.processStartNanos = processStartNanos;
        this.loop = loop;
        connection = new Connection(loop, PING_INTERVAL_MS, CONNECTION_TIMEOUT_MS, observer);
        identity = new CoreIdentity(settings, new SecureRandom());
        diskWriter = new DiskWriter(opener, new NodeDiskCallbacks());
        diskHangDetector = new DiskHangDetector(clock, diskWriter);
        raft = new RaftNode(
                new NodeRaftActions(),
                RaftConfig.defaults(),
                settings.tolerateMachines(),
                new SecureRandom().nextLong());
        gate = new QuorumGate(new RaftNodeView(raft, () -> raftStatus), loop::execute);
        changes = new ChangeCoordinator(raft, configurations, loop::execute);
        dataPlane = new DataPlaneService(loop, clock, settings.bounds(), gate, configurations);
        stateMachine = new StateMachine(
                changes,
                failStopExecutor,
                dataPlane::onConfigurationChanged,
                (index, state) -> loop.execute(() -> raft.compact(index, state)));
    }

    private static ExecutorService singleThreadExecutor(String name) {
        return Executors.newSingleThreadExecutor(new DefaultThreadFactory(name, true));
    }

    /**
     * Starts a node of the core. It accepts connections at once, and joins Raft as soon as its disk has been read and
     * accepts writes, however long that takes.
     *
     * @param processStartNanos the start of this process by {@link System#nanoTime}: the previous process made all its
     *     promises to leaders before then
     */
    public static ControlNode start(LocalSettings settings, long processStartNanos)
            throws ConfigException, InterruptedException {
        if (settings.dataDir() == null) {
            throw new ConfigException("a control node needs dataDir in its settings");
        }
        Path folder = Path.of(settings.dataDir());
        return start(settings, processStartNanos, () -> RaftStore.open(folder));
    }

    /** Starts a node with a given store, which is reopened after each failed write. */
    static ControlNode start(LocalSettings settings, long processStartNanos, Supplier<RaftStore> opener)
            throws ConfigException, InterruptedException {
        return start(settings, processStartNanos, opener, Connection.Observer.NONE);
    }

    /** Starts a node with a given store and an observer of its connections. */
    static ControlNode start(
            LocalSettings settings, long processStartNanos, Supplier<RaftStore> opener, Connection.Observer observer)
            throws ConfigException, InterruptedException {
        EventLoop loop = ClosingEventLoops.single("control");
        ControlNode controlNode = new ControlNode(settings, processStartNanos, loop, opener, observer);
        String listenAddress = settings.ip() + ":" + settings.innerFirst();
        try {
            await(
                    controlNode.connection.listen(
                            new InetSocketAddress(settings.ip(), settings.innerFirst()),
                            new FrameHandler(controlNode.dataPlane, controlNode::onMessage)),
                    listenAddress);
            await(
                    new ApiServer(loop, controlNode.operations(), MAX_CONFIGURATION_BYTES)
                            .listen(address(settings.listenOn().control())),
                    settings.listenOn().control());
        } catch (IOException e) {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await();
            throw new ConfigException(e.getMessage());
        }
        controlNode.diskExecutor.execute(controlNode.diskWriter::open);
        loop.scheduleAtFixedRate(
                controlNode.diskHangDetector::check,
                DiskHangDetector.HANG_MS,
                DiskHangDetector.HANG_MS,
                TimeUnit.MILLISECONDS);
        // Loads the schema before the first configuration arrives, on a thread that delays nothing else.
        controlNode.validationExecutor.execute(ConfigurationCheck::warm);
        return controlNode;
    }

    private List<Operation<?, ?>> operations() {
        CallContext context = new NodeCallContext();
        return OperatorApi.all(
                context,
                new ControlStatus(
                        settings.node(),
                        settings.zone(),
                        settings.listenOn().control(),
                        dataPlane.registry(),
                        dataPlane.watchServer(),
                        dataPlane.pool(),
                        context));
    }

    private static void await(io.netty.channel.ChannelFuture bound, String listenAddress)
            throws IOException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new IOException(
                    "cannot listen on " + listenAddress + ": " + bound.cause().getMessage());
        }
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Stops at once, except for the disk write in progress; for tests. */
    void close() throws InterruptedException {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await();
        validationExecutor.shutdown();
        diskExecutor.execute(diskWriter::close);
        diskExecutor.shutdown();
        diskExecutor.awaitTermination(1, TimeUnit.MINUTES);
    }

    /**
     * Leaves the core gracefully on SIGTERM: transfers leadership and returns once a majority of the remaining members
     * has all committed entries on disk, or shortly before the grace period ends. The node doesn't know whether it will
     * come back, so it gives up its membership only if a learner is waiting to take its place.
     *
     * @param elapsedMs the part of the grace period that has already passed, in ms
     * @return whether the node was released before the timeout
     */
    public boolean leave(double elapsedMs) throws InterruptedException {
        long graceMs = Math.round(settings.bounds().graceS() * MS_PER_S - elapsedMs);
        long timeoutMs = Math.max(0, graceMs - SHUTDOWN_RESERVE_MS);
        loop.execute(() -> raft.leave(clock.now()));
        boolean releasedInTime = released.await(timeoutMs, TimeUnit.MILLISECONDS);
        Log.info(LOG, "leaves").addKeyValue("released", releasedInTime).log("leaves the core");
        return releasedInTime;
    }

    /** Applies the settings that may change at runtime: the addresses of the seeds. */
    public void reload(LocalSettings next) {
        loop.execute(() -> {
            List<String> contacts = next.innerSeeds();
            raft.addContacts(contacts);
            Log.info(LOG, "settings").addKeyValue("seeds", contacts.size()).log("the settings were reloaded");
        });
    }

    private void startRaft(Member member, PersistedState stored) {
        double now = clock.now();
        self = member;
        peers = new PeerConnections(connection, self, this::onMessage);
        List<Member> founders = identity.founders();
        List<String> contacts = settings.innerSeeds();
        raft.addContacts(contacts);
        if (stored != null) {
            // Even a member that has stored only its identity, and is still to be admitted, may have voted.
            raft.start(now, stored, now - (System.nanoTime() - processStartNanos) / NANOS_PER_MS);
        } else if (founders.contains(self)) {
            raft.bootstrap(now, self, founders);
        } else {
            raft.startAsLearner(now, self, contacts);
        }
        // Not at a fixed rate: after a pause of the process, all missed ticks would run at once.
        loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        Log.info(LOG, "starts")
                .addKeyValue("node", settings.node())
                .addKeyValue("member", self.id())
                .addKeyValue("founds", stored == null && founders.contains(self))
                .addKeyValue("outside", stored == null && !founders.contains(self))
                .log("the Raft replica has started");
    }

    private void tick() {
        double now = clock.now();
        failStopExecutor.runTolerant("agreement", () -> raft.tick(now));
        failStopExecutor.runTolerant("changes", () -> changes.expire(now));
        failStopExecutor.runTolerant("gate", () -> gate.expire(now));
        failStopExecutor.runTolerant("news", dataPlane::publish);
    }

    private void onMessage(Member from, Message message) {
        raft.handleMessage(clock.now(), from, message);
    }

    /** Executes the actions of the Raft node. */
    private final class NodeRaftActions implements RaftActions {

        @Override
        public void send(Member to, Message message) {
            peers.send(to, message);
        }

        @Override
        public void persist(WriteBatch batch) {
            diskExecutor.execute(() -> diskWriter.write(batch));
        }

        @Override
        public void apply(Entry entry) {
            stateMachine.apply(entry);
        }

        @Override
        public void restore(Snapshot snapshot) {
            stateMachine.restore(snapshot);
        }

        @Override
        public void onStatusChanged(RaftStatus next) {
            raftStatus = next;
            Log.info(LOG, "standing")
                    .addKeyValue("role", next.role())
                    .addKeyValue("term", next.term())
                    .addKeyValue(
                            "leader", next.leader() == null ? "" : next.leader().address())
                    .addKeyValue("members", next.members().size())
                    .log("the Raft status has changed");
            changes.onStatusChanged(next);
            dataPlane.onStatusChanged(next);
            peers.retainOnly(next.members());
        }

        @Override
        public void barrierConfirmed(long token) {
            gate.barrierEnded(clock.now(), token, true);
        }

        @Override
        public void barrierRejected(long token) {
            gate.barrierEnded(clock.now(), token, false);
        }

        @Override
        public void released() {
            released.countDown();
        }
    }

    /** The callbacks of the disk writer, which run on the disk's thread. */
    private final class NodeDiskCallbacks implements DiskWriter.Callbacks {

        @Override
        public double now() {
            return clock.now();
        }

        @Override
        public void schedule(double delayMs, Runnable task) {
            loop.schedule(() -> diskExecutor.execute(task), Math.round(delayMs * 1000), TimeUnit.MICROSECONDS);
        }

        @Override
        public Member memberForEmptyDisk(boolean isCorrupt) {
            return identity.memberForEmptyDisk(isCorrupt);
        }

        @Override
        public boolean isFounder(Member member) {
            return identity.founders().contains(member);
        }

        @Override
        public void opened(Member member, PersistedState stored) {
            loop.execute(() -> startRaft(member, stored));
        }

        @Override
        public void persisted(long number) {
            loop.execute(() -> raft.persisted(clock.now(), number));
        }

        @Override
        public void stateLost(StoreException error) {
            // The next process starts from the disk's content, as a new member if there is none.
            Log.error(LOG, "disk-failed")
                    .addKeyValue("code", error.code())
                    .log("synced data is missing: {}", error.getMessage());
            Runtime.getRuntime().halt(HALT_EXIT_STATUS);
        }
    }

    /** The services of this node for operators' calls. */
    private final class NodeCallContext implements CallContext {

        @Override
        public double now() {
            return clock.now();
        }

        @Override
        public Member self() {
            return self;
        }

        @Override
        public RaftStatus raftStatus() {
            return raftStatus;
        }

        @Override
        public RaftMetrics metrics() {
            return raft.metrics(clock.now());
        }

        @Override
        public void runOffLoop(Runnable task) {
            validationExecutor.execute(task);
        }

        @Override
        public void runOnLoop(Runnable task) {
            loop.execute(task);
        }

        @Override
        public long timeOfDay() {
            return System.currentTimeMillis();
        }

        @Override
        public QuorumGate gate() {
            return gate;
        }

        @Override
        public ChangeCoordinator changes() {
            return changes;
        }
    }
}
