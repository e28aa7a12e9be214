package sablehinge.reservoir;

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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.aqueduct.Configuration;
import sablehinge.cistern.Cistern;
import sablehinge.cistern.Roll;
import sablehinge.conduit.Conduit;
import sablehinge.conduit.Frame;
import sablehinge.conduit.MessageCodec;
import sablehinge.config.ConfigException;
import sablehinge.config.local.LocalSettings;
import sablehinge.core.Clock;
import sablehinge.core.Log;
import sablehinge.gauge.Panel;
import sablehinge.headgate.ConfigurationCheck;
import sablehinge.headgate.ConfigurationReader;
import sablehinge.headgate.Door;
import sablehinge.meter.Pool;
import sablehinge.meter.Quota;
import sablehinge.penstock.Ask;
import sablehinge.penstock.Desk;
import sablehinge.penstock.Tokens;
import sablehinge.watermaster.Change;
import sablehinge.watermaster.Entry;
import sablehinge.watermaster.Member;
import sablehinge.watermaster.Message;
import sablehinge.watermaster.Snapshot;
import sablehinge.watermaster.Standing;
import sablehinge.watermaster.Stored;
import sablehinge.watermaster.Terms;
import sablehinge.watermaster.Watermaster;

/**
 * A machine of the core: it agrees with the others on the configuration, keeps it on disk, takes operators'
 * calls and, while it leads, tells the data plane the news. One thread owns all of it but the disk's work and
 * the checks of configurations, which have a thread each.
 */
public final class Reservoir {

    private static final Logger LOG = LoggerFactory.getLogger(Reservoir.class);
    private static final long TICK_MS = 20;
    /** What an end of a connection between processes does when it hears nothing, in ms. */
    static final long PING_MS = 300;
    static final long DEAD_MS = 1_200;
    private static final double COMPLETE_MS = 2_500;
    private static final double GONE_MS = 12_000;
    /** The log is cut to a snapshot after so many entries. */
    private static final int MOST_ENTRIES = 48;
    private static final int MOST_CONFIGURATION = 15 * 1024 * 1024;

    private final EventLoop loop;
    private final Clock clock = Clock.system();
    private final ExecutorService disk = thread("disk");
    private final ExecutorService checks = thread("checks");
    private final LocalSettings settings;
    private final Conduit conduit;
    private final Watermaster watermaster;
    private final Cistern cistern = new Cistern();
    private final Desk<Conduit.Link> desk = new Desk<>(new Roll(COMPLETE_MS, GONE_MS));
    private final Pool pool = new Pool();
    private final Peers peers;
    private final Proposals proposals;
    private final Map<Long, Consumer<Boolean>> barriers = new HashMap<>();
    private final Member self;
    private LogStore store;
    private Standing standing;
    private long barrierCount;
    private int sinceSnapshot;

    private Reservoir(LocalSettings settings, EventLoop loop, Member self) {
        this.settings = settings;
        this.loop = loop;
        this.self = self;
        conduit = new Conduit(loop, PING_MS, DEAD_MS);
        peers = new Peers(conduit, self, this::came);
        watermaster = new Watermaster(new Carries(), Terms.usual(), self.id() ^ System.nanoTime());
        proposals = new Proposals(cistern);
    }

    private static ExecutorService thread(String name) {
        return Executors.newSingleThreadExecutor(new DefaultThreadFactory(name, true));
    }

    /** Starts a machine of the core, which takes part once this returns. */
    public static Reservoir start(LocalSettings settings) throws ConfigException, InterruptedException {
        if (settings.dataDir() == null) {
            throw new ConfigException("a reservoir needs dataDir in its settings");
        }
        EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1,
                new DefaultThreadFactory("reservoir", true), NioIoHandler.newFactory()).next();
        LogStore store = LogStore.open(Path.of(settings.dataDir()));
        Stored stored = store.load();
        String at = settings.ip() + ":" + settings.innerFirst();
        Member self;
        boolean founds = stored == null && settings.firstStart() && !store.damaged();
        if (stored != null) {
            self = stored.self();
        } else if (founds) {
            self = Member.founder(at, settings.listenOn().control());
        } else {
            self = Member.later(new SecureRandom().nextLong(), at, settings.listenOn().control());
        }
        Reservoir reservoir = new Reservoir(settings, loop, self);
        reservoir.store = store;
        if (stored == null) {
            store.begin(self);
        }
        loop.submit(() -> reservoir.begin(stored, founds)).sync();
        try {
            await(reservoir.conduit.listen(new InetSocketAddress(settings.ip(), settings.innerFirst()),
                    reservoir.new Records()), at);
            Operators operators = new Operators(reservoir.new Authority());
            await(new Door(loop, operators.all(), MOST_CONFIGURATION).listen(
                    address(settings.listenOn().control())), settings.listenOn().control());
        } catch (IOException e) {
            throw new ConfigException(e.getMessage());
        }
        // The schema is loaded before the first configuration comes, and beside what must not wait for it.
        reservoir.checks.execute(ConfigurationCheck::warm);
        Log.info(LOG, "starts").addKeyValue("node", settings.node()).addKeyValue("member", self.id())
                .addKeyValue("founds", founds).addKeyValue("outside", stored == null && !founds)
                .log("takes part in the core");
        return reservoir;
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
        disk.shutdown();
        disk.awaitTermination(1, TimeUnit.MINUTES);
        store.close();
    }

    /** Takes over what may change while it runs: where other machines of the core may be. */
    public void reload(LocalSettings next) {
        loop.execute(() -> {
            List<String> contacts = new ArrayList<>();
            next.seeds().forEach(seed -> contacts.add(seed.substring(0, seed.lastIndexOf(':') + 1)
                    + next.innerFirst()));
            watermaster.contacts(contacts);
            Log.info(LOG, "settings").addKeyValue("seeds", contacts.size())
                    .log("the settings were read again");
        });
    }

    private void begin(Stored stored, boolean founds) {
        double now = clock.now();
        List<String> contacts = new ArrayList<>();
        List<Member> founders = new ArrayList<>();
        for (String seed : settings.seeds()) {
            String at = seed.substring(0, seed.lastIndexOf(':') + 1) + settings.innerFirst();
            contacts.add(at);
            founders.add(Member.founder(at, seed));
        }
        watermaster.contacts(contacts);
        if (stored != null && stored.snapshot() != null) {
            watermaster.start(now, stored);
        } else if (founds && founders.contains(self)) {
            watermaster.found(now, self, founders);
        } else {
            // Who has nothing but a name, and it may be one from before a loss, asks to be let in.
            watermaster.outside(now, self, contacts);
        }
        loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        double now = clock.now();
        watermaster.tick(now);
        proposals.expire(now);
        answer(now);
    }

    private boolean leads() {
        return standing != null && standing.role() == Standing.Role.LEADER;
    }

    private void answer(double now) {
        if (leads()) {
            for (Desk.Told<Conduit.Link> told : desk.due(now)) {
                told.to().send(new Frame(Frame.Kind.NEWS, told.news().bytes()));
            }
            for (Panel.Ruling ruling : desk.rulings()) {
                Log.info(LOG, "health").addKeyValue("peer", ruling.node())
                        .addKeyValue("health", ruling.health()).addKeyValue("before", ruling.before())
                        .addKeyValue("accusers", ruling.accusers())
                        .addKeyValue("watchers", ruling.watchers()).log("what is known of a balancer");
            }
        }
    }

    private void came(Member from, Message message) {
        watermaster.message(clock.now(), from, message);
    }

    private void asked(Conduit.Link link, Ask ask) {
        if (!leads()) {
            String leader = standing == null || standing.leader() == null ? "" : standing.leader().conduit();
            link.send(new Frame(Frame.Kind.ELSEWHERE, leader.getBytes(StandardCharsets.UTF_8)));
            return;
        }
        double now = clock.now();
        desk.asked(now, link, ask);
        if (ask.confirm()) {
            barrier(sure -> {
                if (sure) {
                    desk.confirmed(link, ask.number());
                    answer(clock.now());
                }
            });
        }
        loop.execute(() -> answer(clock.now()));
    }

    private void tokens(Conduit.Link link, Tokens wanted) {
        if (watermaster.leases(clock.now())) {
            link.send(new Frame(Frame.Kind.TOKENS, new Tokens(wanted.tenant(),
                    pool.take(clock.now(), wanted.tenant(), wanted.count())).bytes()));
        }
    }

    /** The quotas in force are what the pools are filled by. */
    private void pools() {
        if (!leads() || cistern.edition() == 0) {
            return;
        }
        LocalSettings.Bounds bounds = settings.bounds();
        Map<String, Quota> quotas = new HashMap<>();
        for (Configuration.Tenant tenant : ConfigurationReader.read(cistern.body()).tenants()) {
            if (tenant.perSecond() > 0) {
                quotas.put(tenant.name(), Quota.of(tenant.perSecond(), tenant.burst(), bounds.quotaWindowS(),
                        bounds.quotaExcess(), bounds.quotaSlack()));
            }
        }
        pool.adopt(clock.now(), quotas);
    }

    /** The callback is called with true once all that was committed before this call is applied here. */
    private void barrier(Consumer<Boolean> then) {
        long token = ++barrierCount;
        barriers.put(token, then);
        watermaster.barrier(clock.now(), token);
    }

    /** Hears connections of peers and of the data plane. */
    private final class Records implements Conduit.Handler {

        @Override
        public void came(Conduit.Link link, Frame frame) {
            try {
                switch (frame.kind()) {
                    case HELLO -> link.attach(Peers.hello(frame));
                    case AGREE -> {
                        if (link.attachment() instanceof Member from) {
                            Reservoir.this.came(from, MessageCodec.read(frame.body()));
                        }
                    }
                    case ASK -> asked(link, Ask.read(frame.body()));
                    case TOKENS -> tokens(link, Tokens.read(frame.body()));
                    default -> link.close();
                }
            } catch (IOException | IllegalArgumentException e) {
                Log.warn(LOG, "record-malformed").addKeyValue("kind", frame.kind())
                        .addKeyValue("cause", e.getMessage()).log("a record can't be read");
                link.close();
            }
        }

        @Override
        public void closed(Conduit.Link link) {
            desk.gone(link);
        }
    }

    /** Carries out what the agreement asks for. */
    private final class Carries implements Watermaster.Actions {

        @Override
        public void send(Member to, Message message) {
            peers.send(to, message);
        }

        @Override
        public void persist(Change change) {
            disk.execute(() -> {
                try {
                    store.write(change);
                    loop.execute(() -> watermaster.persisted(clock.now(), change.number()));
                } catch (StoreException e) {
                    // What is on disk is the state before: to go on would be to answer for what is not there.
                    Log.error(LOG, "disk-failed").addKeyValue("code", e.code()).log("the disk failed: {}",
                            e.getMessage());
                    Runtime.getRuntime().halt(3);
                }
            });
        }

        @Override
        public void apply(Entry entry) {
            sinceSnapshot++;
            if (entry.kind() == Entry.Kind.COMMAND) {
                Cistern.Outcome outcome = cistern.apply(entry.data());
                proposals.applied(entry, outcome);
                if (outcome == Cistern.Outcome.TAKEN) {
                    pools();
                    Log.info(LOG, "configuration").addKeyValue("edition", cistern.edition())
                            .addKeyValue("index", entry.index()).log("a configuration is in force");
                }
                holds();
            }
            if (sinceSnapshot >= MOST_ENTRIES) {
                sinceSnapshot = 0;
                byte[] state = cistern.state();
                loop.execute(() -> watermaster.compact(entry.index(), state));
            }
        }

        @Override
        public void restore(Snapshot snapshot) {
            cistern.restore(snapshot.state());
            holds();
        }

        @Override
        public void standing(Standing next) {
            boolean led = leads();
            boolean newTerm = standing == null || standing.term() != next.term();
            standing = next;
            Log.info(LOG, "standing").addKeyValue("role", next.role()).addKeyValue("term", next.term())
                    .addKeyValue("leader", next.leader() == null ? "" : next.leader().conduit())
                    .addKeyValue("members", next.members().size()).log("the core's standing");
            if (leads() && (!led || newTerm)) {
                desk.begin(clock.now(), next.term());
                pool.begin();
                pools();
            } else if (led && !leads()) {
                proposals.lost();
                String leader = next.leader() == null ? "" : next.leader().conduit();
                desk.askers().forEach(link -> link.send(new Frame(Frame.Kind.ELSEWHERE,
                        leader.getBytes(StandardCharsets.UTF_8))));
            }
            holds();
            peers.members(next.members());
        }

        private void holds() {
            List<String> members = new ArrayList<>();
            if (standing != null) {
                standing.members().forEach(member -> members.add(member.conduit()));
            }
            desk.holds(cistern.edition(), cistern.body(), members);
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

        private void end(long token, boolean sure) {
            Consumer<Boolean> then = barriers.remove(token);
            if (then != null) {
                loop.execute(() -> then.accept(sure));
            }
        }
    }

    /** What operators' calls are settled by. */
    private final class Authority implements Operators.Authority {

        @Override
        public boolean leads() {
            return Reservoir.this.leads();
        }

        @Override
        public String leader() {
            return standing == null || standing.leader() == null ? null : standing.leader().control();
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
        public Cistern cistern() {
            return cistern;
        }

        @Override
        public void propose(long basedOn, long edition, byte[] body, Consumer<Proposals.Result> then) {
            double now = clock.now();
            long index = watermaster.propose(now, Cistern.replace(basedOn, edition, body));
            if (index == 0) {
                then.accept(Proposals.Result.LOST);
            } else {
                proposals.waits(now, index, standing.term(), then);
            }
        }

        @Override
        public void barrier(Consumer<Boolean> then) {
            Reservoir.this.barrier(then);
        }
    }
}
