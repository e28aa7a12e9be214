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
 * A machine of the core: it agrees with the others on the configuration, keeps it on disk, takes operators' calls and,
 * while it leads, publishes updates to the data plane. One thread owns all of it but the disk's work and the checks of
 * configurations, which have a thread each.
 */
public final class ControlNode {

    private static final Logger LOG = LoggerFactory.getLogger(ControlNode.class);
    private static final long TICK_MS = 20;
    private static final long MS_PER_S = 1_000;
    /** What is kept of the grace time to end in, in ms. */
    private static final long SHUTDOWN_RESERVE_MS = 1_000;

    private static final double NANOS_PER_MS = 1e6;
    /** How often an end of a connection between processes pings when it receives nothing, ms. */
    static final long PING_INTERVAL_MS = 300;

    static final long CONNECTION_TIMEOUT_MS = 1_200;
    private static final int MAX_CONFIGURATION_BYTES = 15 * 1024 * 1024;
    /** What the process ends with where it can't go on as who it was. */
    private static final int HALT_EXIT_STATUS = 3;

    private final EventLoop loop;
    private final Clock clock = Clock.system();
    private final ExecutorService disk = thread("disk");
    private final ExecutorService checks = thread("checks");
    private final LocalSettings settings;
    private final long processStartedAt;
    private final Connection connection;
    private final CoreIdentity identity;
    private final DiskWriter diskWriter;
    private final DiskHangDetector diskHangs;
    private final RaftNode raft;
    private final ConfigurationState configurations = new ConfigurationState();
    private final QuorumGate gate;
    private final FailStopExecutor failStopExecutor =
            new FailStopExecutor(() -> Runtime.getRuntime().halt(HALT_EXIT_STATUS));
    private final ChangeCoordinator changes;
    private final DataPlaneService dataPlane;
    private final StateMachine stateMachine;
    private Member self;
    /** Null, as is {@code self}, until the disk has been read. */
    private PeerConnections peers;

    private RaftStatus raftStatus = new RaftStatus(RaftStatus.Role.OUTSIDER, 0, null, List.of());
    /** Opened once nothing that is committed hangs on this process. */
    private final CountDownLatch released = new CountDownLatch(1);

    private ControlNode(
            LocalSettings settings,
            long processStartedAt,
            EventLoop loop,
            Supplier<RaftStore> opener,
            Connection.Observer observer) {
        this.settings = settings;
        this.processStartedAt = processStartedAt;
        this.loop = loop;
        connection = new Connection(loop, PING_INTERVAL_MS, CONNECTION_TIMEOUT_MS, observer);
        identity = new CoreIdentity(settings, new SecureRandom());
        diskWriter = new DiskWriter(opener, new NodeDiskCallbacks());
        diskHangs = new DiskHangDetector(clock, diskWriter);
        raft = new RaftNode(
                new NodeRaftActions(),
                RaftConfig.defaults(),
                settings.tolerateMachines(),
                new SecureRandom().nextLong());
        gate = new QuorumGate(new RaftContact(raft, () -> raftStatus), loop::execute);
        changes = new ChangeCoordinator(raft, configurations, loop::execute);
        dataPlane = new DataPlaneService(loop, clock, settings.bounds(), gate, configurations);
        stateMachine = new StateMachine(
                changes,
                failStopExecutor,
                dataPlane::configuration,
                (index, state) -> loop.execute(() -> raft.compact(index, state)));
    }

    private static ExecutorService thread(String name) {
        return Executors.newSingleThreadExecutor(new DefaultThreadFactory(name, true));
    }

    /**
     * Starts a machine of the core. It is heard by all who call, and takes part as soon as its disk has been read and
     * takes writes, however long that lasts.
     *
     * @param processStartedAt when its process began, by {@link System#nanoTime}: whatever the process before promised
     *     a leader, it had promised by then
     */
    public static ControlNode start(LocalSettings settings, long processStartedAt)
            throws ConfigException, InterruptedException {
        if (settings.dataDir() == null) {
            throw new ConfigException("a control node needs dataDir in its settings");
        }
        Path folder = Path.of(settings.dataDir());
        return start(settings, processStartedAt, () -> RaftStore.open(folder));
    }

    /** The same with a store of another kind; it is opened anew after each refusal. */
    static ControlNode start(LocalSettings settings, long processStartedAt, Supplier<RaftStore> opener)
            throws ConfigException, InterruptedException {
        return start(settings, processStartedAt, opener, Connection.Observer.NONE);
    }

    /** The same, with an observer of its records. */
    static ControlNode start(
            LocalSettings settings, long processStartedAt, Supplier<RaftStore> opener, Connection.Observer observer)
            throws ConfigException, InterruptedException {
        EventLoop loop = ClosingEventLoops.single("control");
        ControlNode controlNode = new ControlNode(settings, processStartedAt, loop, opener, observer);
        String at = settings.ip() + ":" + settings.innerFirst();
        try {
            await(
                    controlNode.connection.listen(
                            new InetSocketAddress(settings.ip(), settings.innerFirst()),
                            new FrameHandler(controlNode.dataPlane, controlNode::onMessage)),
                    at);
            await(
                    new ApiServer(loop, controlNode.operations(), MAX_CONFIGURATION_BYTES)
                            .listen(address(settings.listenOn().control())),
                    settings.listenOn().control());
        } catch (IOException e) {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await();
            throw new ConfigException(e.getMessage());
        }
        controlNode.disk.execute(controlNode.diskWriter::open);
        loop.scheduleAtFixedRate(
                controlNode.diskHangs::check,
                DiskHangDetector.HANG_MS,
                DiskHangDetector.HANG_MS,
                TimeUnit.MILLISECONDS);
        // The schema is loaded before the first configuration comes, and beside what must not wait for it.
        controlNode.checks.execute(ConfigurationCheck::warm);
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

    private static void await(io.netty.channel.ChannelFuture bound, String at)
            throws IOException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new IOException(
                    "cannot listen on " + at + ": " + bound.cause().getMessage());
        }
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Ends at once, but for what is being written to the disk; for tests. */
    void close() throws InterruptedException {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await();
        checks.shutdown();
        disk.execute(diskWriter::close);
        disk.shutdown();
        disk.awaitTermination(1, TimeUnit.MINUTES);
    }

    /**
     * Ends its part in the core as SIGTERM wants it: hands leadership over and returns once others hold what it holds,
     * or when the time to end is nearly up. Whether the machine comes back is not known to it, so its place goes to
     * another only if a learner waits for it.
     *
     * @param elapsedMs how much of the grace is over, ms
     * @return whether others hold it
     */
    public boolean leave(double elapsedMs) throws InterruptedException {
        long graceMs = Math.round(settings.bounds().graceS() * MS_PER_S - elapsedMs);
        long ms = Math.max(0, graceMs - SHUTDOWN_RESERVE_MS);
        loop.execute(() -> raft.leave(clock.now()));
        boolean inOrder = released.await(ms, TimeUnit.MILLISECONDS);
        Log.info(LOG, "leaves").addKeyValue("released", inOrder).log("leaves the core");
        return inOrder;
    }

    /** Takes over what may change while it runs: where other machines of the core may be. */
    public void reload(LocalSettings next) {
        loop.execute(() -> {
            List<String> contacts = next.innerSeeds();
            raft.addContacts(contacts);
            Log.info(LOG, "settings").addKeyValue("seeds", contacts.size()).log("the settings were read again");
        });
    }

    private void begin(Member me, PersistedState stored) {
        double now = clock.now();
        self = me;
        peers = new PeerConnections(connection, self, this::onMessage);
        List<Member> founders = identity.founders();
        List<String> contacts = settings.innerSeeds();
        raft.addContacts(contacts);
        if (stored != null) {
            // Even who has nothing but a name, and asks to be let in, may have given its vote.
            raft.start(now, stored, now - (System.nanoTime() - processStartedAt) / NANOS_PER_MS);
        } else if (founders.contains(self)) {
            raft.bootstrap(now, self, founders);
        } else {
            raft.startAsLearner(now, self, contacts);
        }
        // Not at a fixed rate: after a pause of the process all that it missed would be run at once.
        loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        Log.info(LOG, "starts")
                .addKeyValue("node", settings.node())
                .addKeyValue("member", self.id())
                .addKeyValue("founds", stored == null && founders.contains(self))
                .addKeyValue("outside", stored == null && !founders.contains(self))
                .log("takes part in the core");
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
        public void persist(WriteBatch change) {
            disk.execute(() -> diskWriter.write(change));
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
                    .log("the core's standing");
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

    /** What the disk's thread calls. */
    private final class NodeDiskCallbacks implements DiskWriter.Callbacks {

        @Override
        public double now() {
            return clock.now();
        }

        @Override
        public void later(double ms, Runnable work) {
            loop.schedule(() -> disk.execute(work), Math.round(ms * 1000), TimeUnit.MICROSECONDS);
        }

        @Override
        public Member memberForEmptyDisk(boolean isCorrupt) {
            return identity.memberForEmptyDisk(isCorrupt);
        }

        @Override
        public boolean isFounder(Member me) {
            return identity.founders().contains(me);
        }

        @Override
        public void opened(Member me, PersistedState stored) {
            loop.execute(() -> begin(me, stored));
        }

        @Override
        public void persisted(long number) {
            loop.execute(() -> raft.persisted(clock.now(), number));
        }

        @Override
        public void stateLost(StoreException why) {
            // The next process finds what is there, and is another member if that is nothing.
            Log.error(LOG, "disk-failed")
                    .addKeyValue("code", why.code())
                    .log("what was synced is gone: {}", why.getMessage());
            Runtime.getRuntime().halt(HALT_EXIT_STATUS);
        }
    }

    /** What operators' calls are settled by. */
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
        public void runOffLoop(Runnable work) {
            checks.execute(work);
        }

        @Override
        public void runOnLoop(Runnable work) {
            loop.execute(work);
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
