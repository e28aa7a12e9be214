package sablehinge.control;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.routing.Configuration;
import sablehinge.state.ConfigurationState;
import sablehinge.state.Registry;
import sablehinge.rpc.Connection;
import sablehinge.rpc.Frame;
import sablehinge.rpc.MessageCodec;
import sablehinge.config.ConfigException;
import sablehinge.config.local.LocalSettings;
import sablehinge.core.Clock;
import sablehinge.core.Log;
import sablehinge.failuredetection.HealthView;
import sablehinge.api.ConfigurationCheck;
import sablehinge.api.ConfigurationReader;
import sablehinge.api.ApiServer;
import sablehinge.api.Operation;
import sablehinge.watch.WatchRequest;
import sablehinge.watch.WatchServer;
import sablehinge.watch.Spills;
import sablehinge.watch.Tokens;
import sablehinge.retrybudget.Claim;
import sablehinge.consensus.Change;
import sablehinge.consensus.Entry;
import sablehinge.consensus.Member;
import sablehinge.consensus.Message;
import sablehinge.consensus.Pulse;
import sablehinge.consensus.Snapshot;
import sablehinge.consensus.Standing;
import sablehinge.consensus.Stored;
import sablehinge.consensus.Timing;
import sablehinge.consensus.RaftNode;

/**
 * A machine of the core: it agrees with the others on the configuration, keeps it on disk, takes operators'
 * calls and, while it leads, tells the data plane the news. One thread owns all of it but the disk's work and
 * the checks of configurations, which have a thread each.
 */
public final class ControlNode {

    private static final Logger LOG = LoggerFactory.getLogger(ControlNode.class);
    private static final long TICK_MS = 20;
    private static final long MS_PER_S = 1_000;
    /** What is kept of the grace time to end in, in ms. */
    private static final long END_MS = 1_000;
    private static final double NANOS_PER_MS = 1e6;
    /** A disk that is at one change for longer hangs, in ms; it is looked at as often. */
    private static final long HANGS_MS = 1_000;
    /** What an end of a connection between processes does when it hears nothing, in ms. */
    static final long PING_MS = 300;
    static final long DEAD_MS = 1_200;
    private static final double COMPLETE_MS = 2_500;
    private static final double GONE_MS = 12_000;
    /** The log is cut to a snapshot after so many entries. */
    private static final int MOST_ENTRIES = 48;
    /** Or after so many bytes of entries, which bounds the file and what a start reads. */
    private static final long MOST_BYTES = 4 << 20;
    private static final int MOST_CONFIGURATION = 15 * 1024 * 1024;

    private final EventLoop loop;
    private final Clock clock = Clock.system();
    private final ExecutorService disk = thread("disk");
    private final ExecutorService checks = thread("checks");
    private final LocalSettings settings;
    private final long born;
    private final Connection connection;
    private final DiskWriter diskWriter;
    private final RaftNode raft;
    private final ConfigurationState configurations = new ConfigurationState();
    private final Registry registry = new Registry(COMPLETE_MS, GONE_MS);
    private final WatchServer<Connection.Link> watchServer = new WatchServer<>(registry);
    private final Pools pools;
    private final Spillways spillways;
    private final Proposals proposals;
    private final Map<Long, Consumer<Boolean>> barriers = new HashMap<>();
    private Member self;
    /** Null, as is {@code self}, until the disk has been read. */
    private Peers peers;
    private Standing standing = new Standing(Standing.Role.OUTSIDER, 0, null, List.of());
    private long barrierCount;
    private int sinceSnapshot;
    private long bytesSinceSnapshot;
    private boolean hangs;
    /** Opened once nothing that is committed hangs on this process. */
    private final CountDownLatch released = new CountDownLatch(1);

    private ControlNode(LocalSettings settings, long born, EventLoop loop, Supplier<RaftStore> opener) {
        this.settings = settings;
        this.born = born;
        this.loop = loop;
        connection = new Connection(loop, PING_MS, DEAD_MS);
        diskWriter = new DiskWriter(opener, new Puts());
        raft = new RaftNode(new Carries(), Timing.usual(), settings.tolerateMachines(),
                new SecureRandom().nextLong());
        spillways = new Spillways(settings.bounds());
        proposals = new Proposals(configurations);
        pools = new Pools(loop, clock, settings.bounds(), watchServer::askers, raft::leases);
    }

    private static ExecutorService thread(String name) {
        return Executors.newSingleThreadExecutor(new DefaultThreadFactory(name, true));
    }

    /**
     * Starts a machine of the core. It is heard by all who call, and takes part as soon as its disk has been
     * read and takes writes, however long that lasts.
     *
     * @param born when its process began, by {@link System#nanoTime}: whatever the process before promised a
     *     leader, it had promised by then
     */
    public static ControlNode start(LocalSettings settings, long born)
            throws ConfigException, InterruptedException {
        if (settings.dataDir() == null) {
            throw new ConfigException("a control node needs dataDir in its settings");
        }
        Path folder = Path.of(settings.dataDir());
        return start(settings, born, () -> RaftStore.open(folder));
    }

    /** The same with a store of another kind; it is opened anew after each refusal. */
    static ControlNode start(LocalSettings settings, long born, Supplier<RaftStore> opener)
            throws ConfigException, InterruptedException {
        EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1,
                new DefaultThreadFactory("control", true), NioIoHandler.newFactory()).next();
        ControlNode controlNode = new ControlNode(settings, born, loop, opener);
        String at = settings.ip() + ":" + settings.innerFirst();
        try {
            await(controlNode.connection.listen(new InetSocketAddress(settings.ip(), settings.innerFirst()),
                    controlNode.new Records()), at);
            await(new ApiServer(loop, controlNode.operations(), MOST_CONFIGURATION).listen(
                    address(settings.listenOn().control())), settings.listenOn().control());
        } catch (IOException e) {
            throw new ConfigException(e.getMessage());
        }
        controlNode.disk.execute(controlNode.diskWriter::open);
        loop.scheduleAtFixedRate(controlNode::watch, HANGS_MS, HANGS_MS, TimeUnit.MILLISECONDS);
        // The schema is loaded before the first configuration comes, and beside what must not wait for it.
        controlNode.checks.execute(ConfigurationCheck::warm);
        return controlNode;
    }

    private List<Operation<?, ?>> operations() {
        Authority authority = new Settles();
        return Operators.all(authority, new Sight(settings.node(), settings.zone(),
                settings.listenOn().control(), registry, watchServer, pools.pool(), authority));
    }

    private static void await(io.netty.channel.ChannelFuture bound, String at)
            throws IOException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new IOException("cannot listen on " + at + ": " + bound.cause().getMessage());
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
     * Ends its part in the core as SIGTERM wants it: hands leadership over and returns once others hold what
     * it holds, or when the time to end is nearly up. Whether the machine comes back is not known to it, so
     * its place goes to another only if a learner waits for it.
     *
     * @return whether others hold it
     */
    public boolean leave() throws InterruptedException {
        long ms = Math.max(0, Math.round(settings.bounds().graceS() * MS_PER_S) - END_MS);
        loop.execute(() -> raft.leave(clock.now()));
        boolean inOrder = released.await(ms, TimeUnit.MILLISECONDS);
        Log.info(LOG, "leaves").addKeyValue("released", inOrder).log("leaves the core");
        return inOrder;
    }

    /** Takes over what may change while it runs: where other machines of the core may be. */
    public void reload(LocalSettings next) {
        loop.execute(() -> {
            List<String> contacts = new ArrayList<>();
            next.seeds().forEach(seed -> contacts.add(seed.substring(0, seed.lastIndexOf(':') + 1)
                    + next.innerFirst()));
            raft.contacts(contacts);
            Log.info(LOG, "settings").addKeyValue("seeds", contacts.size())
                    .log("the settings were read again");
        });
    }

    /** Who this machine is where its disk holds nobody. */
    private Member named(boolean damaged) {
        String at = settings.ip() + ":" + settings.innerFirst();
        String control = settings.listenOn().control();
        return settings.firstStart() && !damaged ? Member.founder(at, control)
                : Member.later(new SecureRandom().nextLong(), at, control);
    }

    private void begin(Member me, Stored stored) {
        double now = clock.now();
        self = me;
        peers = new Peers(connection, self, this::came);
        List<String> contacts = new ArrayList<>();
        List<Member> founders = new ArrayList<>();
        for (String seed : settings.seeds()) {
            String at = seed.substring(0, seed.lastIndexOf(':') + 1) + settings.innerFirst();
            contacts.add(at);
            founders.add(Member.founder(at, seed));
        }
        raft.contacts(contacts);
        if (stored != null) {
            // Even who has nothing but a name, and asks to be let in, may have given its vote.
            raft.start(now, stored, now - (System.nanoTime() - born) / NANOS_PER_MS);
        } else if (founders.contains(self)) {
            raft.found(now, self, founders);
        } else {
            raft.outside(now, self, contacts);
        }
        loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        Log.info(LOG, "starts").addKeyValue("node", settings.node()).addKeyValue("member", self.id())
                .addKeyValue("founds", stored == null && founders.contains(self))
                .addKeyValue("outside", stored == null && !founders.contains(self))
                .log("takes part in the core");
    }

    private void tick() {
        double now = clock.now();
        raft.tick(now);
        proposals.expire(now);
        answer(now);
    }

    /** A disk that answers nothing says nothing by itself. */
    private void watch() {
        double ms = clock.now() - diskWriter.busySince();
        if (ms > HANGS_MS && !hangs) {
            hangs = true;
            Log.warn(LOG, "disk-hangs").addKeyValue("ms", Math.round(ms)).log("the disk doesn't answer");
        } else if (ms <= HANGS_MS && hangs) {
            hangs = false;
            Log.info(LOG, "disk-answers").log("the disk answers again");
        }
    }

    private boolean leads() {
        return standing.role() == Standing.Role.LEADER;
    }

    private void answer(double now) {
        if (leads()) {
            for (WatchServer.Told<Connection.Link> told : watchServer.due(now)) {
                told.to().send(new Frame(Frame.Kind.NEWS, told.update().bytes()));
            }
            for (HealthView.Ruling ruling : watchServer.rulings()) {
                Log.info(LOG, "health").addKeyValue("peer", ruling.node())
                        .addKeyValue("health", ruling.health()).addKeyValue("before", ruling.before())
                        .addKeyValue("accusers", ruling.accusers())
                        .addKeyValue("watchers", ruling.watchers()).log("what is known of a balancer");
            }
        }
    }

    private void came(Member from, Message message) {
        raft.message(clock.now(), from, message);
    }

    private void asked(Connection.Link link, WatchRequest request) {
        if (!leads()) {
            String leader = standing.leader() == null ? "" : standing.leader().address();
            link.send(new Frame(Frame.Kind.ELSEWHERE, leader.getBytes(StandardCharsets.UTF_8)));
            return;
        }
        double now = clock.now();
        watchServer.asked(now, link, request);
        if (request.confirm()) {
            barrier(sure -> {
                if (sure) {
                    watchServer.confirmed(link, request.number());
                    answer(clock.now());
                }
            });
        }
        loop.execute(() -> answer(clock.now()));
    }

    private void claimed(Connection.Link link, Claim claim) {
        Frame answer = raft.leases(clock.now()) ? spillways.answer(clock.now(), claim) : null;
        if (answer != null) {
            link.send(answer);
        }
    }

    /** The quotas and services in force are what the pools are filled by. */
    private void fillPools() {
        if (leads() && configurations.edition() > 0) {
            Configuration configuration = ConfigurationReader.read(configurations.body());
            pools.adopt(configuration);
            spillways.adopt(clock.now(), configuration);
        }
    }

    /** The callback is called with true once all that was committed before this call is applied here. */
    private void barrier(Consumer<Boolean> then) {
        long token = ++barrierCount;
        barriers.put(token, then);
        raft.barrier(clock.now(), token);
    }

    /** Hears connections of peers and of the data plane. */
    private final class Records implements Connection.Handler {

        @Override
        public void came(Connection.Link link, Frame frame) {
            try {
                switch (frame.kind()) {
                    case HELLO -> link.attach(Peers.hello(frame));
                    case AGREE -> {
                        if (link.attachment() instanceof Member from) {
                            ControlNode.this.came(from, MessageCodec.read(frame.body()));
                        }
                    }
                    case ASK -> asked(link, WatchRequest.read(frame.body()));
                    case TOKENS -> pools.asked(link, Tokens.read(frame.body()));
                    case PULL -> pools.lent(Tokens.read(frame.body()));
                    case SHARES -> claimed(link, Spills.claim(frame.body()));
                    default -> link.close();
                }
            } catch (IOException | IllegalArgumentException e) {
                Log.warn(LOG, "record-malformed").addKeyValue("kind", frame.kind())
                        .addKeyValue("cause", e.getMessage()).log("a record can't be read");
                link.close();
            }
        }

        @Override
        public void closed(Connection.Link link) {
            watchServer.gone(link);
        }
    }

    /** Carries out what the agreement asks for. */
    private final class Carries implements RaftNode.Actions {

        @Override
        public void send(Member to, Message message) {
            peers.send(to, message);
        }

        @Override
        public void persist(Change change) {
            disk.execute(() -> diskWriter.write(change));
        }

        @Override
        public void apply(Entry entry) {
            sinceSnapshot++;
            bytesSinceSnapshot += entry.data().length;
            if (entry.kind() == Entry.Kind.COMMAND) {
                ConfigurationState.Outcome outcome = configurations.apply(entry.data());
                proposals.applied(entry, outcome);
                if (outcome == ConfigurationState.Outcome.TAKEN) {
                    fillPools();
                    Log.info(LOG, "configuration").addKeyValue("edition", configurations.edition())
                            .addKeyValue("index", entry.index()).log("a configuration is in force");
                }
                holds();
            }
            if (sinceSnapshot >= MOST_ENTRIES || bytesSinceSnapshot >= MOST_BYTES) {
                sinceSnapshot = 0;
                bytesSinceSnapshot = 0;
                byte[] state = configurations.state();
                loop.execute(() -> raft.compact(entry.index(), state));
            }
        }

        @Override
        public void restore(Snapshot snapshot) {
            configurations.restore(snapshot.state());
            holds();
        }

        @Override
        public void standing(Standing next) {
            boolean led = leads();
            boolean newTerm = standing.term() != next.term();
            standing = next;
            Log.info(LOG, "standing").addKeyValue("role", next.role()).addKeyValue("term", next.term())
                    .addKeyValue("leader", next.leader() == null ? "" : next.leader().address())
                    .addKeyValue("members", next.members().size()).log("the core's standing");
            if (leads() && (!led || newTerm)) {
                watchServer.begin(clock.now(), next.term());
                pools.begin();
                spillways.begin(next.term());
                fillPools();
            } else if (led && !leads()) {
                proposals.lost();
                String leader = next.leader() == null ? "" : next.leader().address();
                watchServer.askers().forEach(link -> link.send(new Frame(Frame.Kind.ELSEWHERE,
                        leader.getBytes(StandardCharsets.UTF_8))));
            }
            holds();
            peers.members(next.members());
        }

        private void holds() {
            List<String> members = new ArrayList<>();
            standing.members().forEach(member -> members.add(member.address()));
            watchServer.holds(configurations.edition(), configurations.body(), members);
            loop.execute(() -> answer(clock.now()));
        }

        @Override
        public void confirmed(long token) {
            end(token, true);
        }

        @Override
        public void denied(long token) {
            end(token, false);
        }

        @Override
        public void released() {
            released.countDown();
        }

        private void end(long token, boolean sure) {
            Consumer<Boolean> then = barriers.remove(token);
            if (then != null) {
                loop.execute(() -> then.accept(sure));
            }
        }
    }

    /** What the disk's thread calls. */
    private final class Puts implements DiskWriter.Host {

        @Override
        public double now() {
            return clock.now();
        }

        @Override
        public void later(double ms, Runnable work) {
            loop.schedule(() -> disk.execute(work), Math.round(ms * 1000), TimeUnit.MICROSECONDS);
        }

        @Override
        public Member named(boolean damaged) {
            return ControlNode.this.named(damaged);
        }

        @Override
        public void opened(Member me, Stored stored) {
            loop.execute(() -> begin(me, stored));
        }

        @Override
        public void persisted(long number) {
            loop.execute(() -> raft.persisted(clock.now(), number));
        }

        @Override
        public void lost(StoreException why) {
            // The next process finds what is there, and is another member if that is nothing.
            Log.error(LOG, "disk-failed").addKeyValue("code", why.code())
                    .log("what was synced is gone: {}", why.getMessage());
            Runtime.getRuntime().halt(3);
        }
    }

    /** What operators' calls are settled by. */
    private final class Settles implements Authority {

        @Override
        public double now() {
            return clock.now();
        }

        @Override
        public Member self() {
            return self;
        }

        @Override
        public Standing standing() {
            return standing;
        }

        @Override
        public Pulse pulse() {
            return raft.pulse(clock.now());
        }

        @Override
        public void check(Runnable work) {
            checks.execute(work);
        }

        @Override
        public void settle(Runnable work) {
            loop.execute(work);
        }

        @Override
        public ConfigurationState configurations() {
            return configurations;
        }

        @Override
        public void propose(long basedOn, long edition, byte[] body, Consumer<Proposals.Result> then) {
            double now = clock.now();
            long index = raft.propose(now, ConfigurationState.replace(basedOn, edition, body,
                    System.currentTimeMillis()));
            if (index == 0) {
                then.accept(Proposals.Result.LOST);
            } else {
                proposals.waits(now, index, standing.term(), then);
            }
        }

        @Override
        public void barrier(Consumer<Boolean> then) {
            ControlNode.this.barrier(then);
        }
    }
}
