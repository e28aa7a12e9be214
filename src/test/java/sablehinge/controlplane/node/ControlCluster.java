package sablehinge.controlplane.node;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
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
import sablehinge.controlplane.state.Registry;
import sablehinge.mesh.api.ApiRequest;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.Operation;
import sablehinge.mesh.quota.Pool;

/**
 * Control machines on a made-up clock: the real agreement, state, gate, coordinator and operations, over a network and
 * disks that follow a seed. A machine can be cut off, frozen with what comes waiting in its buffers, killed with or
 * without what its disk was at, and started again. Its log is compacted every few entries, so that whoever was away is
 * sent a snapshot.
 */
final class ControlCluster {

    private static final double TICK_MS = 20;
    /** Entries after which a machine compacts its log. */
    private static final int COMPACT_AFTER = 6;

    private record Event(double at, long order, Runnable what) {}

    final Random random;
    final Map<String, Machine> machines = new LinkedHashMap<>();
    /** Pairs of addresses, {@code from>to}, between which nothing is carried. */
    final Set<String> cuts = new HashSet<>();

    private final PriorityQueue<Event> queue = new PriorityQueue<>((one, other) ->
            one.at == other.at ? Long.compare(one.order, other.order) : Double.compare(one.at, other.at));
    private long order;
    private double now;

    ControlCluster(long seed, int size) {
        random = new Random(seed);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(Member.founder("10.0.0." + i + ":7100", "10.0.0." + i + ":7090"));
        }
        members.forEach(member -> machines.put(member.control(), new Machine(member)));
        machines.values().forEach(machine -> machine.found(members));
    }

    double now() {
        return now;
    }

    void after(double ms, Runnable what) {
        queue.add(new Event(now + ms, ++order, what));
    }

    void run(double ms) {
        double end = now + ms;
        while (!queue.isEmpty() && queue.peek().at <= end) {
            Event event = queue.remove();
            now = event.at;
            event.what.run();
        }
        now = end;
    }

    /** Who leads the latest term and is heard by a majority; null where nobody is. */
    Machine leader() {
        Machine leader = null;
        for (Machine machine : machines.values()) {
            if (machine.up()
                    && !machine.frozen
                    && machine.gate.allows(now, ControlRequest.WATCH)
                    && (leader == null || machine.raftStatus.term() > leader.raftStatus.term())) {
                leader = machine;
            }
        }
        return leader;
    }

    Machine awaitLeader() {
        for (int i = 0; i < 1_000; i++) {
            Machine leader = leader();
            if (leader != null && leader.raft.hasLease(now)) {
                return leader;
            }
            run(TICK_MS);
        }
        throw new AssertionError(now + " ms: nobody leads");
    }

    List<Machine> others(Machine not) {
        return machines.values().stream().filter(machine -> machine != not).toList();
    }

    /** Cuts a machine off from the others of the core; operators still reach it. */
    void cutOff(Machine one, boolean outward, boolean inward) {
        for (Machine other : others(one)) {
            if (outward) {
                cuts.add(one.member.address() + ">" + other.member.address());
            }
            if (inward) {
                cuts.add(other.member.address() + ">" + one.member.address());
            }
        }
    }

    /** Ends all troubles. */
    void heal() {
        cuts.clear();
        for (Machine machine : machines.values()) {
            machine.stalledUntil = now;
            if (!machine.up()) {
                machine.start();
            } else if (machine.frozen) {
                machine.thaw();
            }
        }
    }

    /** A machine of the core and its disk. */
    final class Machine implements RaftActions, QuorumGate.RaftView, CallContext {

        final Member member;
        RaftNode raft;
        RaftStatus raftStatus;
        QuorumGate gate;
        ConfigurationState state;
        ChangeCoordinator changes;
        List<Operation<?, ?>> operations;
        boolean frozen;
        double thawedAt;
        int installs;
        private long incarnation;
        private int sinceCompacted;
        private final ArrayDeque<Runnable> buffers = new ArrayDeque<>();
        private final List<WriteBatch> unsynced = new ArrayList<>();
        private double diskFreeAt;
        private double stalledUntil;
        private long diskTerm;
        private long diskVote;
        private Snapshot diskSnapshot;
        private final List<Entry> diskEntries = new ArrayList<>();

        private Machine(Member member) {
            this.member = member;
        }

        boolean up() {
            return raft != null;
        }

        ControlCluster cluster() {
            return ControlCluster.this;
        }

        private void boot() {
            incarnation++;
            buffers.clear();
            unsynced.clear();
            frozen = false;
            sinceCompacted = 0;
            diskFreeAt = now;
            raftStatus = new RaftStatus(RaftStatus.Role.OUTSIDER, 0, null, List.of());
            state = new ConfigurationState();
            raft = new RaftNode(this, RaftConfig.defaults(), machines.size() / 2, random.nextLong());
            gate = new QuorumGate(this, this::later);
            changes = new ChangeCoordinator(raft, state, this::later);
            Registry registry = new Registry(2_500, 12_000);
            operations = OperatorApi.all(
                    this,
                    new ControlStatus(
                            "n", "z", member.control(), registry, new WatchServer<String>(registry), new Pool(), this));
            tickAfter(random.nextDouble() * TICK_MS);
        }

        private void found(List<Member> members) {
            boot();
            raft.bootstrap(now, member, members);
        }

        void start() {
            boot();
            raft.start(now, new PersistedState(member, diskTerm, diskVote, diskSnapshot, diskEntries), now);
        }

        /** Ends the process; its disk has some of what it was at. */
        void kill() {
            int kept = random.nextInt(unsynced.size() + 1);
            unsynced.subList(0, kept).forEach(this::write);
            raft = null;
            incarnation++;
            buffers.clear();
        }

        void freeze() {
            frozen = true;
        }

        /** Goes on: first with what waits in its buffers, then with its ticks. */
        void thaw() {
            frozen = false;
            thawedAt = now;
            long mine = incarnation;
            while (!buffers.isEmpty() && mine == incarnation) {
                buffers.poll().run();
            }
            tickAfter(0);
        }

        /** Something reaches the process in a while, if it is still alive then. */
        private void arrives(double ms, Runnable what) {
            long mine = incarnation;
            after(ms, () -> {
                if (mine == incarnation && up()) {
                    if (frozen) {
                        buffers.add(what);
                    } else {
                        what.run();
                    }
                }
            });
        }

        private void later(Runnable work) {
            arrives(0, work);
        }

        private void tickAfter(double ms) {
            long mine = incarnation;
            after(ms, () -> {
                if (mine == incarnation && up() && !frozen) {
                    raft.tick(now);
                    changes.expire(now);
                    gate.expire(now);
                    tickAfter(TICK_MS);
                }
            });
        }

        /** An operator's call comes; the answer leaves when it is there. */
        void call(ControlRequest request, long basedOn, String body, Consumer<ApiResponse> answer) {
            arrives(0, () -> {
                for (Operation<?, ?> one : operations) {
                    if (one.path().equals(request.path())) {
                        carry(
                                one,
                                new ApiRequest(
                                        "",
                                        new DefaultHttpHeaders().add("Sablehinge-Based-On", Long.toString(basedOn)),
                                        body.getBytes(StandardCharsets.UTF_8)),
                                answer);
                    }
                }
            });
        }

        private <Q, A> void carry(Operation<Q, A> operation, ApiRequest requested, Consumer<ApiResponse> answer) {
            operation.execute(operation.read(requested), response -> answer.accept(operation.write(response)));
        }

        // What the agreement asks for.

        @Override
        public void send(Member to, Message message) {
            if (!cuts.contains(member.address() + ">" + to.address())) {
                for (Machine machine : machines.values()) {
                    if (machine.member.address().equals(to.address())) {
                        machine.arrives(
                                0.2 + random.nextDouble(), () -> machine.raft.handleMessage(now, member, message));
                    }
                }
            }
        }

        @Override
        public void persist(WriteBatch change) {
            unsynced.add(change);
            diskFreeAt = Math.max(now, diskFreeAt) + 1 + random.nextDouble() * 2;
            arrives(diskFreeAt - now, () -> synced(change));
        }

        private void synced(WriteBatch change) {
            if (now < stalledUntil) {
                arrives(stalledUntil - now, () -> synced(change));
                return;
            }
            while (!unsynced.isEmpty() && unsynced.get(0).number() <= change.number()) {
                write(unsynced.remove(0));
            }
            raft.persisted(now, change.number());
        }

        /** The disk ends nothing for so long, ms, not even what it is at. */
        void stall(double ms) {
            stalledUntil = now + ms;
        }

        private void write(WriteBatch change) {
            diskTerm = change.term();
            diskVote = change.votedFor();
            if (change.truncateFrom() > 0) {
                diskEntries.removeIf(entry -> entry.index() >= change.truncateFrom());
            }
            if (change.snapshot() != null) {
                diskSnapshot = change.snapshot();
                diskEntries.removeIf(entry -> entry.index() <= diskSnapshot.index());
            }
            diskEntries.addAll(change.append());
        }

        @Override
        public void apply(Entry entry) {
            if (entry.kind() == Entry.Kind.COMMAND) {
                changes.apply(entry);
            }
            if (++sinceCompacted >= COMPACT_AFTER) {
                sinceCompacted = 0;
                byte[] bytes = state.state();
                later(() -> raft.compact(entry.index(), bytes));
            }
        }

        @Override
        public void restore(Snapshot snapshot) {
            installs++;
            state.restore(snapshot.state());
        }

        @Override
        public void onStatusChanged(RaftStatus next) {
            raftStatus = next;
            changes.onStatusChanged(next);
        }

        @Override
        public void barrierConfirmed(long token) {
            gate.barrierEnded(now, token, true);
        }

        @Override
        public void barrierRejected(long token) {
            gate.barrierEnded(now, token, false);
        }

        // What the gate and the operations ask for.

        @Override
        public double sinceMajorityMs(double at) {
            return raft.sinceMajorityMs(at);
        }

        @Override
        public double sinceLeaderMs(double at) {
            return raft.sinceLeaderMs(at);
        }

        @Override
        public boolean hasLease(double at) {
            return raft.hasLease(at);
        }

        @Override
        public void barrier(double at, long token) {
            raft.barrier(at, token);
        }

        @Override
        public double now() {
            return now;
        }

        @Override
        public long timeOfDay() {
            return (long) now;
        }

        @Override
        public Member self() {
            return member;
        }

        @Override
        public RaftStatus raftStatus() {
            return raftStatus;
        }

        @Override
        public RaftMetrics metrics() {
            return raft.metrics(now);
        }

        @Override
        public QuorumGate gate() {
            return gate;
        }

        @Override
        public ChangeCoordinator changes() {
            return changes;
        }

        @Override
        public void runOffLoop(Runnable work) {
            arrives(random.nextDouble() * 4, work);
        }

        @Override
        public void runOnLoop(Runnable work) {
            arrives(0, work);
        }
    }
}
