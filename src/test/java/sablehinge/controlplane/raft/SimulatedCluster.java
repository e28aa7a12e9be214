package sablehinge.controlplane.raft;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import sablehinge.controlplane.node.RaftMessageCodec;
import sablehinge.controlplane.state.ConfigurationState;

/**
 * Machines, disks and a network on a made-up clock, around the real {@link RaftNode} and {@link ConfigurationState}.
 * What they must keep is checked as it happens; a breach is an {@link AssertionError} that names the seed and the time.
 */
class SimulatedCluster {

    private record Event(double at, long order, Runnable what) {}

    /** What outlives a process, and its power if synced. */
    static final class Disk {
        Member self;
        long term;
        long votedFor;
        Snapshot snapshot;
        List<Entry> entries = new ArrayList<>();

        void write(WriteBatch change) {
            term = change.term();
            votedFor = change.votedFor();
            if (change.truncateFrom() > 0) {
                entries.removeIf(entry -> entry.index() >= change.truncateFrom());
            }
            if (change.snapshot() != null) {
                snapshot = change.snapshot();
                entries.removeIf(entry -> entry.index() <= snapshot.index());
            }
            for (Entry entry : change.append()) {
                long last = entries.isEmpty()
                        ? snapshot == null ? 0 : snapshot.index()
                        : entries.get(entries.size() - 1).index();
                if (entry.index() != last + 1) {
                    throw new AssertionError("entry " + entry.index() + " written after " + last);
                }
                entries.add(entry);
            }
        }

        boolean holds(long index, long entryTerm) {
            if (snapshot != null && snapshot.index() >= index) {
                return true;
            }
            for (int i = entries.size() - 1; i >= 0; i--) {
                if (entries.get(i).index() == index) {
                    return entries.get(i).term() == entryTerm;
                }
            }
            return false;
        }
    }

    /** One machine at its address; its process and its disk may go and come. */
    final class Machine implements RaftActions {
        final String address;
        Member self;
        Disk disk = new Disk();
        RaftNode raft;
        RaftStatus raftStatus;
        long incarnation;
        long applied;
        long chain;
        ConfigurationState configurations;
        double stalledUntil;
        double diskFreeAt;
        /** What its steady clock counts in a ms, and what it showed at the beginning. */
        double rate = 1;

        double offset;
        List<WriteBatch> unsynced = new ArrayList<>();
        /** What operators wait for here, by the index of its entry. */
        final Map<Long, Claims.Call> calls = new HashMap<>();

        final Map<Long, Long> barriers = new HashMap<>();
        final List<Long> confirmed = new ArrayList<>();
        final List<Long> denied = new ArrayList<>();
        /** Whether this incarnation, which is to end, may. */
        boolean released;

        Machine(String address) {
            this.address = address;
        }

        double clock() {
            return offset + now * rate;
        }

        boolean up() {
            return raft != null;
        }

        boolean leads() {
            return up() && raftStatus != null && raftStatus.role() == RaftStatus.Role.LEADER;
        }

        private void boot() {
            incarnation++;
            applied = 0;
            chain = 0;
            configurations = new ConfigurationState();
            calls.clear();
            raftStatus = null;
            unsynced = new ArrayList<>();
            barriers.clear();
            released = false;
            diskFreeAt = now;
            raft = new RaftNode(this, timing, losses, dice(this));
            booted(this);
        }

        void found(List<Member> founders) {
            self = founders.stream()
                    .filter(one -> one.address().equals(address))
                    .findAny()
                    .orElseThrow();
            disk.self = self;
            boot();
            raft.bootstrap(clock(), self, founders);
        }

        void start() {
            boot();
            raft.addContacts(addresses());
            raft.start(
                    clock(), new PersistedState(self, disk.term, disk.votedFor, disk.snapshot, disk.entries), clock());
        }

        /** Begins as a member whose name is all that its disk holds: it asks to be let in. */
        void begin(Member me) {
            self = me;
            disk.self = me;
            boot();
            raft.startAsLearner(clock(), me, addresses());
        }

        /** Begins as a founder whose name comes to its empty disk with its first change. */
        void begin(Member me, List<Member> founders) {
            self = me;
            boot();
            raft.addContacts(addresses());
            raft.bootstrap(clock(), me, founders);
        }

        /** A change arrives on the disk, the first one with the member's name. */
        private void store(WriteBatch change) {
            disk.self = self;
            disk.write(change);
        }

        /** Starts with an empty disk long after the founding. */
        void outside() {
            self = Member.nonFounder(dice(this), address, "c" + address);
            disk = new Disk();
            disk.self = self;
            boot();
            raft.startAsLearner(clock(), self, addresses());
        }

        /** Ends the process; with {@code power}, some of what was not synced is lost. */
        void kill(boolean power) {
            if (up()) {
                end(power ? random.nextInt(unsynced.size() + 1) : unsynced.size());
            }
        }

        /** Ends the process; the disk has the first {@code kept} of the changes that were under way. */
        void end(int kept) {
            raft = null;
            raftStatus = null;
            incarnation++;
            for (WriteBatch change : unsynced.subList(0, kept)) {
                store(change);
            }
            if (disk.self == null) {
                lostDisks.put(self.id(), disk);
                unwritten.add(self.id());
                disk = new Disk();
            }
            unsynced = new ArrayList<>();
        }

        /** Loses power and all that was not synced. */
        void powerLoss() {
            unsynced.clear();
            kill(true);
        }

        void wipe() {
            unsynced.clear();
            kill(true);
            lostDisks.put(self.id(), disk);
            disk = new Disk();
        }

        private void tick(long mine) {
            if (incarnation == mine) {
                raft.tick(clock());
                after(TICK, () -> tick(mine));
            }
        }

        @Override
        public void send(Member to, Message message) {
            sent++;
            if (cuts.isEmpty() || !cuts.contains(address + ">" + to.address())) {
                carry(self, to.address(), message);
            }
        }

        @Override
        public void persist(WriteBatch change) {
            for (Entry entry : change.append()) {
                Entry other = made.putIfAbsent(entry.index() << Integer.SIZE | entry.term(), entry);
                check(
                        other == null || Arrays.equals(other.data(), entry.data()),
                        this,
                        () -> "another entry " + entry.index() + " of term " + entry.term());
                if (other == null) {
                    made(this, entry);
                }
            }
            unsynced.add(change);
            write(this, change);
        }

        private void waitForDisk(WriteBatch change) {
            double starts = Math.max(Math.max(now, diskFreeAt), stalledUntil);
            diskFreeAt = starts + 1 + random.nextDouble() * 0.5;
            long mine = incarnation;
            after(diskFreeAt - now, () -> {
                if (incarnation != mine || unsynced.isEmpty() || unsynced.get(0).number() > change.number()) {
                    return;
                }
                if (now < stalledUntil) {
                    after(stalledUntil - now + 1, () -> synced(mine, change));
                } else {
                    synced(mine, change);
                }
            });
        }

        /** The oldest change that is under way arrives on the disk. */
        void syncOne() {
            WriteBatch change = unsynced.remove(0);
            store(change);
            raft.persisted(clock(), change.number());
        }

        private void synced(long mine, WriteBatch change) {
            if (incarnation != mine) {
                return;
            }
            if (now < stalledUntil) {
                after(stalledUntil - now + 1, () -> synced(mine, change));
                return;
            }
            while (!unsynced.isEmpty() && unsynced.get(0).number() <= change.number()) {
                store(unsynced.remove(0));
            }
            raft.persisted(clock(), change.number());
        }

        @Override
        public void apply(Entry entry) {
            check(entry.index() == applied + 1, this, () -> "entry " + entry.index() + " after " + applied);
            applied = entry.index();
            chain = next(chain, entry);
            if (applied > committed.size()) {
                committed.add(entry);
                chains.add(chain);
                checkDurable(entry);
                if (entry.kind() == Entry.Kind.MEMBERS) {
                    list = MemberListCodec.read(entry.data());
                    changes++;
                }
            }
            check(chains.get((int) applied - 1) == chain, this, () -> "another entry " + applied);
            claims.applied(this, entry);
            if (applied % 40 == 0 && compactsByItself()) {
                compact();
            }
        }

        /** Whether it is a member by the last list that it has applied, or by the founding before any. */
        private boolean isMemberAsApplied() {
            for (int i = (int) applied - 1; i >= 0; i--) {
                Entry entry = committed.get(i);
                if (entry.kind() == Entry.Kind.MEMBERS) {
                    return MemberListCodec.read(entry.data()).contains(self);
                }
            }
            return founding.contains(self);
        }

        void compact() {
            raft.compact(applied, state());
        }

        /** The state after all that was applied, as a snapshot holds it. */
        byte[] state() {
            byte[] state = configurations.state();
            return ByteBuffer.allocate(Long.BYTES + state.length)
                    .putLong(chain)
                    .put(state)
                    .array();
        }

        /** A commit stands on the disks of a majority, of which some may have been wiped since. */
        private void checkDurable(Entry entry) {
            int on = disksWith(entry, raftStatus.members());
            check(
                    on > raftStatus.members().size() / 2,
                    this,
                    () -> "entry " + entry.index() + " committed on " + on + " disks of "
                            + raftStatus.members().size());
        }

        @Override
        public void restore(Snapshot snapshot) {
            check(snapshot.index() > applied, this, () -> "restored " + snapshot.index() + " over " + applied);
            applied = snapshot.index();
            ByteBuffer state = ByteBuffer.wrap(snapshot.state());
            chain = state.getLong();
            check(
                    applied <= committed.size() && chains.get((int) applied - 1) == chain,
                    this,
                    () -> "another snapshot at " + applied);
            byte[] configurations = new byte[state.remaining()];
            state.get(configurations);
            claims.restored(this, applied, configurations);
        }

        @Override
        public void onStatusChanged(RaftStatus now) {
            if (now.role() == RaftStatus.Role.LEADER) {
                Long other = leaders.putIfAbsent(now.term(), self.id());
                check(other == null || other == self.id(), this, () -> "a second leader of term " + now.term());
                // A list that leaves it out counts as soon as it has applied it; who is on none never leads.
                check(now.members().contains(self) || isMemberAsApplied(), this, () -> "leads as an outsider");
            }
            raftStatus = now;
        }

        @Override
        public void barrierConfirmed(long token) {
            long needed = barriers.remove(token);
            check(applied >= needed, this, () -> "barrier confirmed at " + applied + ", " + needed + " was committed");
            confirmed.add(token);
        }

        @Override
        public void barrierRejected(long token) {
            check(barriers.remove(token) != null, this, () -> "a barrier ended twice");
            denied.add(token);
        }

        @Override
        public void released() {
            released = true;
        }

        void barrier() {
            long token = ++tokens;
            barriers.put(token, (long) committed.size());
            raft.barrier(clock(), token);
        }

        /** An operator replaces the configuration that it has read here by another. */
        boolean propose() {
            return up() && claims.propose(this);
        }

        void stall(double ms) {
            stalledUntil = now + ms;
        }
    }

    private static final double TICK = 20;

    final long seed;
    final Random random;
    double now;
    double loss;
    double doubling;
    double strays;
    double jitter = 1;
    long sent;
    long events;
    long tokens;
    long changes;
    final Set<String> cuts = new HashSet<>();
    final Map<String, Machine> machines = new LinkedHashMap<>();
    final Map<Long, Disk> lostDisks = new HashMap<>();
    /** Members whose process ended before anything of them was on a disk. */
    final Set<Long> unwritten = new HashSet<>();

    final List<Entry> committed = new ArrayList<>();
    final List<Long> chains = new ArrayList<>();
    final Map<Long, Long> leaders = new HashMap<>();
    /** All entries that ever were to be written, by index and term. */
    final Map<Long, Entry> made = new HashMap<>();

    final Claims claims = new Claims(this);
    RaftConfig timing = RaftConfig.defaults();
    /** How many members may be lost at once, as the deployment states it. */
    int losses;
    /** The last list that was committed. */
    List<Member> list;
    /** Who founded it. */
    List<Member> founding = List.of();

    private final PriorityQueue<Event> queue = new PriorityQueue<>(
            (a, b) -> a.at() == b.at() ? Long.compare(a.order(), b.order()) : Double.compare(a.at(), b.at()));
    private long order;

    /** One that its founders alone make up: it bears the loss of as many as an odd core of them. */
    SimulatedCluster(long seed, int founders) {
        this(seed);
        found(founders);
    }

    /** One of a deployment that bears {@code losses} and names {@code founders} machines as its seeds. */
    SimulatedCluster(long seed, int founders, int losses) {
        this(seed);
        found(founders, losses);
    }

    /** An empty one. */
    SimulatedCluster(long seed) {
        this.seed = seed;
        this.random = new Random(seed);
    }

    final void found(int founders) {
        found(founders, founders / 2);
    }

    final void found(int founders, int bears) {
        losses = bears;
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < founders; i++) {
            members.add(Member.founder("10.0.0." + i + ":1", "c" + i));
        }
        list = List.copyOf(members);
        founding = list;
        for (Member member : members) {
            add(member.address()).found(members);
        }
    }

    Machine add(String address) {
        Machine machine = new Machine(address);
        machines.put(address, machine);
        return machine;
    }

    List<String> addresses() {
        return List.copyOf(machines.keySet());
    }

    private static long next(long chain, Entry entry) {
        return (chain * 31 + entry.term()) * 31
                + Arrays.hashCode(entry.data())
                + entry.kind().ordinal();
    }

    void check(boolean good, Machine at, Supplier<String> text) {
        if (!good) {
            throw new AssertionError("seed " + seed + ", " + now + " ms, " + at.address + ": " + text.get());
        }
    }

    void after(double delay, Runnable what) {
        queue.add(new Event(now + delay, ++order, what));
    }

    // How time, network and disks go on; another valley may have all of it wait for its orders.

    /** A number for what a machine draws by chance. */
    long dice(Machine machine) {
        return random.nextLong();
    }

    /** How many members of a list have an entry on disk, or had it when they lost that. */
    final int disksWith(Entry entry, List<Member> members) {
        int found = 0;
        for (Member member : members) {
            Disk its = lostDisks.get(member.id());
            for (Machine machine : machines.values()) {
                if (machine.self != null && machine.self.id() == member.id() && its == null) {
                    its = machine.disk;
                }
            }
            found += its != null && its.holds(entry.index(), entry.term()) ? 1 : 0;
        }
        return found;
    }

    /** An entry goes to a disk for the first time. */
    void made(Machine machine, Entry entry) {}

    /** A machine's process has begun, and is to have its ticks. */
    void booted(Machine machine) {
        long mine = machine.incarnation;
        after(random.nextDouble() * TICK, () -> machine.tick(mine));
    }

    /** A message is on its way to an address. */
    void carry(Member from, String to, Message message) {
        byte[] bytes = RaftMessageCodec.write(message);
        int copies = random.nextDouble() < doubling ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= loss) {
                double delay = 0.2 + random.nextDouble() * jitter;
                if (random.nextDouble() < strays) {
                    delay += random.nextDouble() * 300;
                }
                after(delay, () -> deliver(to, from, bytes));
            }
        }
    }

    /** The last of a machine's changes is under way. */
    void write(Machine machine, WriteBatch change) {
        machine.waitForDisk(change);
    }

    boolean compactsByItself() {
        return random.nextBoolean();
    }

    private void deliver(String address, Member from, byte[] bytes) {
        Machine machine = machines.get(address);
        if (machine == null || !machine.up()) {
            return;
        }
        try {
            machine.raft.handleMessage(machine.clock(), from, RaftMessageCodec.read(bytes));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void run(double ms) {
        double end = now + ms;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            Event event = queue.remove();
            now = event.at();
            events++;
            event.what().run();
            checkLease();
        }
        now = end;
    }

    /** Who does what only one may do does it alone, however many think that they lead. */
    final void checkLease() {
        Machine allocator = null;
        for (Machine machine : machines.values()) {
            if (machine.up() && machine.leads() && machine.raft.hasLease(machine.clock())) {
                Machine other = allocator;
                check(other == null, machine, () -> "a lease beside that of " + other.address);
                allocator = machine;
            }
        }
    }

    /** The leader of the latest term, if any. */
    Machine leader() {
        Machine leader = null;
        for (Machine machine : machines.values()) {
            if (machine.leads() && (leader == null || machine.raftStatus.term() > leader.raftStatus.term())) {
                leader = machine;
            }
        }
        return leader;
    }

    Machine awaitLeader() {
        for (int i = 0; i < 500; i++) {
            Machine leader = leader();
            if (leader != null
                    && leader.applied > 0
                    && committed.get((int) leader.applied - 1).term() == leader.raftStatus.term()) {
                return leader;
            }
            run(20);
        }
        throw new AssertionError("seed " + seed + ", " + now + " ms: no leader");
    }

    /** Proposes at whoever leads until something is committed; the ms that it took. */
    double commitOne(double atMost) {
        double start = now;
        long before = committed.stream()
                .filter(one -> one.kind() == Entry.Kind.COMMAND)
                .count();
        while (now - start < atMost) {
            for (Machine machine : machines.values()) {
                if (machine.leads()) {
                    machine.propose();
                }
            }
            run(5);
            if (committed.stream()
                            .filter(one -> one.kind() == Entry.Kind.COMMAND)
                            .count()
                    > before) {
                return now - start;
            }
        }
        throw new AssertionError(
                "seed " + seed + ", " + now + " ms: nothing committed for " + atMost + " ms, " + describe());
    }

    String describe() {
        StringBuilder text = new StringBuilder();
        machines.values().forEach(one -> text.append(one.address)
                .append(' ')
                .append(one.self.id())
                .append(one.up() ? " up " : " down ")
                .append(one.raftStatus)
                .append(" applied ")
                .append(one.applied)
                .append('\n'));
        return text.toString();
    }

    void cut(Machine from, Machine to) {
        cuts.add(from.address + ">" + to.address);
    }

    void cutOff(Machine one) {
        for (Machine other : machines.values()) {
            cut(one, other);
            cut(other, one);
        }
    }

    List<Machine> others(Machine... not) {
        List<Machine> others = new ArrayList<>(machines.values());
        others.removeAll(Arrays.asList(not));
        return others;
    }

    /** Whether all listed members live with their disks, and all that are up know of that list. */
    boolean isComplete() {
        return list.size() >= 3 && lost() == 0 && knowSameList();
    }

    /** Members of the last committed list whose disks are lost. */
    final int lost() {
        int lost = 0;
        for (Member member : list) {
            Machine machine = machines.get(member.address());
            if (machine == null || machine.self.id() != member.id() || lostDisks.containsKey(member.id())) {
                lost++;
            }
        }
        return lost;
    }

    /** Whether all machines that are up know of the list that was committed last, and of no later one. */
    final boolean knowSameList() {
        for (Machine machine : machines.values()) {
            if (machine.up()
                    && machine.raftStatus != null
                    && !machine.raftStatus.members().equals(list)
                    && !machine.raftStatus.members().isEmpty()) {
                return false;
            }
        }
        return true;
    }
}
