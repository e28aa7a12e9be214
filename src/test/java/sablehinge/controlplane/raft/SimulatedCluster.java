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
 * Simulated machines, disks and network in virtual time, around the real {@link RaftNode} and
 * {@link ConfigurationState}. The safety properties are checked at each event; a violation is an {@link AssertionError}
 * that states the seed and the time.
 */
class SimulatedCluster {

    private record Event(double at, long sequence, Runnable action) {}

    /** The synced data of a machine, which survives the end of its process and a power loss. */
    static final class Disk {
        Member self;
        long term;
        long votedFor;
        Snapshot snapshot;
        List<Entry> entries = new ArrayList<>();

        void write(WriteBatch batch) {
            term = batch.term();
            votedFor = batch.votedFor();
            if (batch.truncateFrom() > 0) {
                entries.removeIf(entry -> entry.index() >= batch.truncateFrom());
            }
            if (batch.snapshot() != null) {
                snapshot = batch.snapshot();
                entries.removeIf(entry -> entry.index() <= snapshot.index());
            }
            for (Entry entry : batch.append()) {
                long last = entries.isEmpty()
                        ? snapshot == null ? 0 : snapshot.index()
                        : entries.get(entries.size() - 1).index();
                if (entry.index() != last + 1) {
                    throw new AssertionError("entry " + entry.index() + " written after " + last);
                }
                entries.add(entry);
            }
        }

        boolean contains(long index, long entryTerm) {
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

    /** A machine with its address; its process and its disk may be replaced. */
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
        /** Rate of the machine's monotonic clock relative to virtual time. */
        double clockRate = 1;

        /** Reading of the machine's monotonic clock at virtual time 0. */
        double clockOffset;

        List<WriteBatch> unsynced = new ArrayList<>();
        /** Operator calls that wait for an answer of this machine, by the index of their entry. */
        final Map<Long, Claims.Call> calls = new HashMap<>();

        final Map<Long, Long> barriers = new HashMap<>();
        final List<Long> confirmed = new ArrayList<>();
        final List<Long> rejected = new ArrayList<>();
        /** Whether this incarnation, which is shutting down, has been released. */
        boolean released;

        Machine(String address) {
            this.address = address;
        }

        double clock() {
            return clockOffset + now * clockRate;
        }

        boolean up() {
            return raft != null;
        }

        boolean leads() {
            return up() && raftStatus != null && raftStatus.role() == RaftStatus.Role.LEADER;
        }

        private void createNode() {
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
            raft = new RaftNode(this, timing, toleratedFailures, randomLong(this));
            onNodeCreated(this);
        }

        void bootstrap(List<Member> founders) {
            self = founders.stream()
                    .filter(founder -> founder.address().equals(address))
                    .findAny()
                    .orElseThrow();
            disk.self = self;
            createNode();
            raft.bootstrap(clock(), self, founders);
        }

        void start() {
            createNode();
            raft.addContacts(addresses());
            raft.start(
                    clock(), new PersistedState(self, disk.term, disk.votedFor, disk.snapshot, disk.entries), clock());
        }

        /** Starts as a member whose disk holds only its identity: it requests to join. */
        void startAs(Member member) {
            self = member;
            disk.self = member;
            createNode();
            raft.startAsLearner(clock(), member, addresses());
        }

        /** Starts as a founder whose identity is written to its empty disk with its first batch. */
        void bootstrapAs(Member member, List<Member> founders) {
            self = member;
            createNode();
            raft.addContacts(addresses());
            raft.bootstrap(clock(), member, founders);
        }

        /** A batch reaches the disk; the first one includes the member's identity. */
        private void store(WriteBatch batch) {
            disk.self = self;
            disk.write(batch);
        }

        /** Starts with an empty disk after the founding of the core, as a new member that requests to join. */
        void startAsNewMember() {
            self = Member.nonFounder(randomLong(this), address, "c" + address);
            disk = new Disk();
            disk.self = self;
            createNode();
            raft.startAsLearner(clock(), self, addresses());
        }

        /** Ends the process; with {@code losePower}, the disk loses some of the unsynced batches. */
        void kill(boolean losePower) {
            if (up()) {
                end(losePower ? random.nextInt(unsynced.size() + 1) : unsynced.size());
            }
        }

        /** Ends the process; the first {@code writtenBatches} of the outstanding batches reach the disk. */
        void end(int writtenBatches) {
            raft = null;
            raftStatus = null;
            incarnation++;
            for (WriteBatch batch : unsynced.subList(0, writtenBatches)) {
                store(batch);
            }
            if (disk.self == null) {
                lostDisks.put(self.id(), disk);
                unwritten.add(self.id());
                disk = new Disk();
            }
            unsynced = new ArrayList<>();
        }

        /** Loses power and all unsynced batches. */
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

        private void tick(long startedIncarnation) {
            if (incarnation == startedIncarnation) {
                raft.tick(clock());
                after(TICK_MS, () -> tick(startedIncarnation));
            }
        }

        @Override
        public void send(Member to, Message message) {
            sent++;
            if (cuts.isEmpty() || !cuts.contains(address + ">" + to.address())) {
                transmit(self, to.address(), message);
            }
        }

        @Override
        public void persist(WriteBatch batch) {
            for (Entry entry : batch.append()) {
                Entry other = createdEntries.putIfAbsent(entry.index() << Integer.SIZE | entry.term(), entry);
                check(
                        other == null || Arrays.equals(other.data(), entry.data()),
                        this,
                        () -> "conflicting entry " + entry.index() + " of term " + entry.term());
                if (other == null) {
                    onEntryCreated(this, entry);
                }
            }
            unsynced.add(batch);
            write(this, batch);
        }

        private void scheduleSync(WriteBatch batch) {
            double startsAt = Math.max(Math.max(now, diskFreeAt), stalledUntil);
            diskFreeAt = startsAt + 1 + random.nextDouble() * 0.5;
            long writer = incarnation;
            after(diskFreeAt - now, () -> {
                if (incarnation != writer
                        || unsynced.isEmpty()
                        || unsynced.get(0).number() > batch.number()) {
                    return;
                }
                if (now < stalledUntil) {
                    after(stalledUntil - now + 1, () -> synced(writer, batch));
                } else {
                    synced(writer, batch);
                }
            });
        }

        /** The oldest outstanding batch reaches the disk. */
        void syncOne() {
            WriteBatch batch = unsynced.remove(0);
            store(batch);
            raft.persisted(clock(), batch.number());
        }

        private void synced(long writer, WriteBatch batch) {
            if (incarnation != writer) {
                return;
            }
            if (now < stalledUntil) {
                after(stalledUntil - now + 1, () -> synced(writer, batch));
                return;
            }
            while (!unsynced.isEmpty() && unsynced.get(0).number() <= batch.number()) {
                store(unsynced.remove(0));
            }
            raft.persisted(clock(), batch.number());
        }

        @Override
        public void apply(Entry entry) {
            check(
                    entry.index() == applied + 1,
                    this,
                    () -> "applies entry " + entry.index() + " after entry " + applied);
            applied = entry.index();
            chain = next(chain, entry);
            if (applied > committed.size()) {
                committed.add(entry);
                chains.add(chain);
                checkDurable(entry);
                if (entry.kind() == Entry.Kind.MEMBERS) {
                    committedMembers = MemberListCodec.read(entry.data());
                    memberChanges++;
                }
            }
            check(chains.get((int) applied - 1) == chain, this, () -> "applies a conflicting entry " + applied);
            claims.applied(this, entry);
            if (applied % 40 == 0 && compactsAutomatically()) {
                compact();
            }
        }

        /**
         * Whether the machine is a member by the last list that it has applied, or initially by the list of founders.
         */
        private boolean isMemberAsApplied() {
            for (int i = (int) applied - 1; i >= 0; i--) {
                Entry entry = committed.get(i);
                if (entry.kind() == Entry.Kind.MEMBERS) {
                    return MemberListCodec.read(entry.data()).contains(self);
                }
            }
            return foundingMembers.contains(self);
        }

        void compact() {
            raft.compact(applied, state());
        }

        /** The encoded state after all applied entries, as stored in a snapshot. */
        byte[] state() {
            byte[] state = configurations.state();
            return ByteBuffer.allocate(Long.BYTES + state.length)
                    .putLong(chain)
                    .put(state)
                    .array();
        }

        /** Checks that a committed entry is on a majority of disks, some of which may have been wiped since. */
        private void checkDurable(Entry entry) {
            int copies = disksWith(entry, raftStatus.members());
            check(
                    copies > raftStatus.members().size() / 2,
                    this,
                    () -> "entry " + entry.index() + " committed on " + copies + " disks of "
                            + raftStatus.members().size());
        }

        @Override
        public void restore(Snapshot snapshot) {
            check(
                    snapshot.index() > applied,
                    this,
                    () -> "restored snapshot " + snapshot.index() + " over entry " + applied);
            applied = snapshot.index();
            ByteBuffer state = ByteBuffer.wrap(snapshot.state());
            chain = state.getLong();
            check(
                    applied <= committed.size() && chains.get((int) applied - 1) == chain,
                    this,
                    () -> "conflicting snapshot at entry " + applied);
            byte[] configurations = new byte[state.remaining()];
            state.get(configurations);
            claims.restored(this, applied, configurations);
        }

        @Override
        public void onStatusChanged(RaftStatus status) {
            if (status.role() == RaftStatus.Role.LEADER) {
                Long other = leaders.putIfAbsent(status.term(), self.id());
                check(other == null || other == self.id(), this, () -> "a second leader of term " + status.term());
                // A list without this machine matters once the machine has applied it; an outsider never becomes
                // leader.
                check(status.members().contains(self) || isMemberAsApplied(), this, () -> "leads as an outsider");
            }
            raftStatus = status;
        }

        @Override
        public void barrierConfirmed(long token) {
            long required = barriers.remove(token);
            check(
                    applied >= required,
                    this,
                    () -> "barrier confirmed at " + applied + ", " + required + " was committed");
            confirmed.add(token);
        }

        @Override
        public void barrierRejected(long token) {
            check(barriers.remove(token) != null, this, () -> "a barrier was answered twice");
            rejected.add(token);
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

        /** An operator replaces the configuration that it has read from this machine. */
        boolean propose() {
            return up() && claims.propose(this);
        }

        void stall(double ms) {
            stalledUntil = now + ms;
        }
    }

    private static final double TICK_MS = 20;

    final long seed;
    final Random random;
    double now;
    double lossRate;
    double duplicationRate;
    double longDelayRate;
    double jitterMs = 1;
    long sent;
    long events;
    long tokens;
    long memberChanges;
    final Set<String> cuts = new HashSet<>();
    final Map<String, Machine> machines = new LinkedHashMap<>();
    final Map<Long, Disk> lostDisks = new HashMap<>();
    /** Members whose process ended before its first batch was on a disk. */
    final Set<Long> unwritten = new HashSet<>();

    final List<Entry> committed = new ArrayList<>();
    /** Hash over all entries up to each index, by which the logs of machines are compared. */
    final List<Long> chains = new ArrayList<>();

    final Map<Long, Long> leaders = new HashMap<>();
    /** All entries that were ever passed to a disk, by index and term. */
    final Map<Long, Entry> createdEntries = new HashMap<>();

    final Claims claims = new Claims(this);
    RaftConfig timing = RaftConfig.defaults();
    /** Number of members that may fail at the same time, as specified by the deployment. */
    int toleratedFailures;
    /** The member list that was committed last. */
    List<Member> committedMembers;
    /** The founders of the core. */
    List<Member> foundingMembers = List.of();

    private final PriorityQueue<Event> queue = new PriorityQueue<>(
            (a, b) -> a.at() == b.at() ? Long.compare(a.sequence(), b.sequence()) : Double.compare(a.at(), b.at()));
    private long lastSequence;

    /** Creates a cluster of founders only, which tolerates as many failures as an odd core of this size. */
    SimulatedCluster(long seed, int founders) {
        this(seed);
        bootstrap(founders);
    }

    /**
     * Creates a cluster of a deployment that tolerates some failures and has {@code founders} machines as its seeds.
     */
    SimulatedCluster(long seed, int founders, int toleratedFailures) {
        this(seed);
        bootstrap(founders, toleratedFailures);
    }

    /** Creates an empty cluster. */
    SimulatedCluster(long seed) {
        this.seed = seed;
        this.random = new Random(seed);
    }

    final void bootstrap(int founders) {
        bootstrap(founders, founders / 2);
    }

    final void bootstrap(int founders, int failures) {
        toleratedFailures = failures;
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < founders; i++) {
            members.add(Member.founder("10.0.0." + i + ":1", "c" + i));
        }
        committedMembers = List.copyOf(members);
        foundingMembers = committedMembers;
        for (Member member : members) {
            add(member.address()).bootstrap(members);
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

    void check(boolean condition, Machine machine, Supplier<String> message) {
        if (!condition) {
            throw new AssertionError("seed " + seed + ", " + now + " ms, " + machine.address + ": " + message.get());
        }
    }

    void after(double delay, Runnable action) {
        queue.add(new Event(now + delay, ++lastSequence, action));
    }

    // Hooks for time, network and disks, which a subclass may override to control each event.

    /** A random number for a machine. */
    long randomLong(Machine machine) {
        return random.nextLong();
    }

    /** Number of members that have an entry on disk, or had it when they lost their disk. */
    final int disksWith(Entry entry, List<Member> members) {
        int count = 0;
        for (Member member : members) {
            Disk disk = lostDisks.get(member.id());
            for (Machine machine : machines.values()) {
                if (machine.self != null && machine.self.id() == member.id() && disk == null) {
                    disk = machine.disk;
                }
            }
            count += disk != null && disk.contains(entry.index(), entry.term()) ? 1 : 0;
        }
        return count;
    }

    /** Called when an entry is passed to a disk for the first time. */
    void onEntryCreated(Machine machine, Entry entry) {}

    /** Called when a machine's process has started; schedules its ticks. */
    void onNodeCreated(Machine machine) {
        long incarnation = machine.incarnation;
        after(random.nextDouble() * TICK_MS, () -> machine.tick(incarnation));
    }

    /** Transmits a message to an address. */
    void transmit(Member from, String to, Message message) {
        byte[] bytes = RaftMessageCodec.write(message);
        int copies = random.nextDouble() < duplicationRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= lossRate) {
                double delay = 0.2 + random.nextDouble() * jitterMs;
                if (random.nextDouble() < longDelayRate) {
                    delay += random.nextDouble() * 300;
                }
                after(delay, () -> deliver(to, from, bytes));
            }
        }
    }

    /** Writes the latest batch of a machine. */
    void write(Machine machine, WriteBatch batch) {
        machine.scheduleSync(batch);
    }

    boolean compactsAutomatically() {
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
            event.action().run();
            checkLease();
        }
        now = end;
    }

    /** Checks that at most one machine holds a lease, even if several machines regard themselves as the leader. */
    final void checkLease() {
        Machine leaseHolder = null;
        for (Machine machine : machines.values()) {
            if (machine.up() && machine.leads() && machine.raft.hasLease(machine.clock())) {
                Machine other = leaseHolder;
                check(other == null, machine, () -> "holds a lease at the same time as " + other.address);
                leaseHolder = machine;
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

    /** Proposes to the leaders until a command is committed; returns the time in ms that it took. */
    double commitOne(double timeoutMs) {
        double start = now;
        long before = committed.stream()
                .filter(entry -> entry.kind() == Entry.Kind.COMMAND)
                .count();
        while (now - start < timeoutMs) {
            for (Machine machine : machines.values()) {
                if (machine.leads()) {
                    machine.propose();
                }
            }
            run(5);
            if (committed.stream()
                            .filter(entry -> entry.kind() == Entry.Kind.COMMAND)
                            .count()
                    > before) {
                return now - start;
            }
        }
        throw new AssertionError(
                "seed " + seed + ", " + now + " ms: nothing committed for " + timeoutMs + " ms, " + describe());
    }

    String describe() {
        StringBuilder text = new StringBuilder();
        machines.values().forEach(machine -> text.append(machine.address)
                .append(' ')
                .append(machine.self.id())
                .append(machine.up() ? " up " : " down ")
                .append(machine.raftStatus)
                .append(" applied ")
                .append(machine.applied)
                .append('\n'));
        return text.toString();
    }

    void cut(Machine from, Machine to) {
        cuts.add(from.address + ">" + to.address);
    }

    void cutOff(Machine machine) {
        for (Machine other : machines.values()) {
            cut(machine, other);
            cut(other, machine);
        }
    }

    List<Machine> others(Machine... excluded) {
        List<Machine> others = new ArrayList<>(machines.values());
        others.removeAll(Arrays.asList(excluded));
        return others;
    }

    /** Whether all committed members have their disks, and all running machines know the committed member list. */
    boolean isComplete() {
        return committedMembers.size() >= 3 && lostMembers() == 0 && allKnowCommittedMembers();
    }

    /** Number of committed members whose disks are lost. */
    final int lostMembers() {
        int lost = 0;
        for (Member member : committedMembers) {
            Machine machine = machines.get(member.address());
            if (machine == null || machine.self.id() != member.id() || lostDisks.containsKey(member.id())) {
                lost++;
            }
        }
        return lost;
    }

    /** Whether all running machines know the member list that was committed last, and no later one. */
    final boolean allKnowCommittedMembers() {
        for (Machine machine : machines.values()) {
            if (machine.up()
                    && machine.raftStatus != null
                    && !machine.raftStatus.members().equals(committedMembers)
                    && !machine.raftStatus.members().isEmpty()) {
                return false;
            }
        }
        return true;
    }
}
