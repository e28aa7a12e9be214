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
 * Control nodes on a simulated clock: the real Raft node, state, gate, coordinator and operations, over a network and
 * disks that a seed controls. A node can be partitioned, paused while its messages are buffered, killed with or without
 * its unsynced writes, and restarted. Its log is compacted every few entries, so that a node that was away receives a
 * snapshot.
 */
final class ControlCluster {

    private static final double TICK_MS = 20;
    /** The number of entries after which a node compacts its log. */
    private static final int COMPACTION_ENTRIES = 6;

    private record Event(double at, long sequence, Runnable task) {}

    final Random random;
    final Map<String, Machine> machines = new LinkedHashMap<>();
    /** Pairs of addresses, {@code from>to}, between which all messages are dropped. */
    final Set<String> droppedLinks = new HashSet<>();

    private final PriorityQueue<Event> queue = new PriorityQueue<>((first, second) -> first.at == second.at
            ? Long.compare(first.sequence, second.sequence)
            : Double.compare(first.at, second.at));
    private long sequence;
    private double now;

    ControlCluster(long seed, int size) {
        random = new Random(seed);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(Member.founder("10.0.0." + i + ":7100", "10.0.0." + i + ":7090"));
        }
        members.forEach(member -> machines.put(member.control(), new Machine(member)));
        machines.values().forEach(machine -> machine.bootstrap(members));
    }

    double now() {
        return now;
    }

    void schedule(double delayMs, Runnable task) {
        queue.add(new Event(now + delayMs, ++sequence, task));
    }

    void advance(double ms) {
        double end = now + ms;
        while (!queue.isEmpty() && queue.peek().at <= end) {
            Event event = queue.remove();
            now = event.at;
            event.task.run();
        }
        now = end;
    }

    /** The leader of the latest term that is in contact with a majority; null if there is none. */
    Machine leader() {
        Machine leader = null;
        for (Machine machine : machines.values()) {
            if (machine.up()
                    && !machine.paused
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
            advance(TICK_MS);
        }
        throw new AssertionError(now + " ms: no leader");
    }

    List<Machine> others(Machine excluded) {
        return machines.values().stream().filter(machine -> machine != excluded).toList();
    }

    /** Partitions a node from the other nodes of the core; operators still reach it. */
    void partition(Machine isolated, boolean outward, boolean inward) {
        for (Machine peer : others(isolated)) {
            if (outward) {
                droppedLinks.add(isolated.member.address() + ">" + peer.member.address());
            }
            if (inward) {
                droppedLinks.add(peer.member.address() + ">" + isolated.member.address());
            }
        }
    }

    /** Ends all faults. */
    void heal() {
        droppedLinks.clear();
        for (Machine machine : machines.values()) {
            machine.stalledUntil = now;
            if (!machine.up()) {
                machine.start();
            } else if (machine.paused) {
                machine.resume();
            }
        }
    }

    /** A control node and its disk. */
    final class Machine implements RaftActions, QuorumGate.RaftView, CallContext {

        final Member member;
        RaftNode raft;
        RaftStatus raftStatus;
        QuorumGate gate;
        ConfigurationState state;
        ChangeCoordinator changes;
        List<Operation<?, ?>> operations;
        boolean paused;
        double resumedAt;
        int installedSnapshots;
        private long incarnation;
        private int entriesSinceCompaction;
        private final ArrayDeque<Runnable> bufferedTasks = new ArrayDeque<>();
        private final List<WriteBatch> unsynced = new ArrayList<>();
        private double diskFreeAt;
        private double stalledUntil;
        private long diskTerm;
        private long diskVotedFor;
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
            bufferedTasks.clear();
            unsynced.clear();
            paused = false;
            entriesSinceCompaction = 0;
            diskFreeAt = now;
            raftStatus = new RaftStatus(RaftStatus.Role.OUTSIDER, 0, null, List.of());
            state = new ConfigurationState();
            raft = new RaftNode(this, RaftConfig.defaults(), machines.size() / 2, random.nextLong());
            gate = new QuorumGate(this, this::defer);
            changes = new ChangeCoordinator(raft, state, this::defer);
            Registry registry = new Registry(2_500, 12_000);
            operations = OperatorApi.all(
                    this,
                    new ControlStatus(
                            "n", "z", member.control(), registry, new WatchServer<String>(registry), new Pool(), this));
            tickAfter(random.nextDouble() * TICK_MS);
        }

        private void bootstrap(List<Member> members) {
            boot();
            raft.bootstrap(now, member, members);
        }

        void start() {
            boot();
            raft.start(now, new PersistedState(member, diskTerm, diskVotedFor, diskSnapshot, diskEntries), now);
        }

        /** Ends the process; a random part of its unsynced writes is on disk. */
        void kill() {
            int survivingWrites = random.nextInt(unsynced.size() + 1);
            unsynced.subList(0, survivingWrites).forEach(this::write);
            raft = null;
            incarnation++;
            bufferedTasks.clear();
        }

        void pause() {
            paused = true;
        }

        /** Resumes: handles the buffered tasks first and then ticks. */
        void resume() {
            paused = false;
            resumedAt = now;
            long expectedIncarnation = incarnation;
            while (!bufferedTasks.isEmpty() && expectedIncarnation == incarnation) {
                bufferedTasks.poll().run();
            }
            tickAfter(0);
        }

        /** Runs a task in the process after a delay, if the same process still runs then. */
        private void deliver(double delayMs, Runnable task) {
            long expectedIncarnation = incarnation;
            schedule(delayMs, () -> {
                if (expectedIncarnation == incarnation && up()) {
                    if (paused) {
                        bufferedTasks.add(task);
                    } else {
                        task.run();
                    }
                }
            });
        }

        private void defer(Runnable task) {
            deliver(0, task);
        }

        private void tickAfter(double ms) {
            long expectedIncarnation = incarnation;
            schedule(ms, () -> {
                if (expectedIncarnation == incarnation && up() && !paused) {
                    raft.tick(now);
                    changes.expire(now);
                    gate.expire(now);
                    tickAfter(TICK_MS);
                }
            });
        }

        /** Executes an operator's call. */
        void call(ControlRequest request, long basedOn, String body, Consumer<ApiResponse> answer) {
            deliver(0, () -> {
                for (Operation<?, ?> operation : operations) {
                    if (operation.path().equals(request.path())) {
                        execute(
                                operation,
                                new ApiRequest(
                                        "",
                                        new DefaultHttpHeaders().add("Sablehinge-Based-On", Long.toString(basedOn)),
                                        body.getBytes(StandardCharsets.UTF_8)),
                                answer);
                    }
                }
            });
        }

        private <Q, A> void execute(Operation<Q, A> operation, ApiRequest request, Consumer<ApiResponse> answer) {
            operation.execute(operation.read(request), response -> answer.accept(operation.write(response)));
        }

        // RaftActions

        @Override
        public void send(Member to, Message message) {
            if (!droppedLinks.contains(member.address() + ">" + to.address())) {
                for (Machine machine : machines.values()) {
                    if (machine.member.address().equals(to.address())) {
                        machine.deliver(
                                0.2 + random.nextDouble(), () -> machine.raft.handleMessage(now, member, message));
                    }
                }
            }
        }

        @Override
        public void persist(WriteBatch batch) {
            unsynced.add(batch);
            diskFreeAt = Math.max(now, diskFreeAt) + 1 + random.nextDouble() * 2;
            deliver(diskFreeAt - now, () -> onSynced(batch));
        }

        private void onSynced(WriteBatch batch) {
            if (now < stalledUntil) {
                deliver(stalledUntil - now, () -> onSynced(batch));
                return;
            }
            while (!unsynced.isEmpty() && unsynced.get(0).number() <= batch.number()) {
                write(unsynced.remove(0));
            }
            raft.persisted(now, batch.number());
        }

        /** Lets the disk complete no write for a time, not even the ones in flight. */
        void stall(double ms) {
            stalledUntil = now + ms;
        }

        private void write(WriteBatch batch) {
            diskTerm = batch.term();
            diskVotedFor = batch.votedFor();
            if (batch.truncateFrom() > 0) {
                diskEntries.removeIf(entry -> entry.index() >= batch.truncateFrom());
            }
            if (batch.snapshot() != null) {
                diskSnapshot = batch.snapshot();
                diskEntries.removeIf(entry -> entry.index() <= diskSnapshot.index());
            }
            diskEntries.addAll(batch.append());
        }

        @Override
        public void apply(Entry entry) {
            if (entry.kind() == Entry.Kind.COMMAND) {
                changes.apply(entry);
            }
            if (++entriesSinceCompaction >= COMPACTION_ENTRIES) {
                entriesSinceCompaction = 0;
                byte[] bytes = state.state();
                defer(() -> raft.compact(entry.index(), bytes));
            }
        }

        @Override
        public void restore(Snapshot snapshot) {
            installedSnapshots++;
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

        // QuorumGate.RaftView and CallContext

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
        public void runOffLoop(Runnable task) {
            deliver(random.nextDouble() * 4, task);
        }

        @Override
        public void runOnLoop(Runnable task) {
            deliver(0, task);
        }
    }
}
