package sablehinge.controlplane.raft;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A valley in which nothing flows by itself: messages and writes wait until a {@link Step} moves them, and time stands
 * still between two of them. Which founders there are, how fast their clocks go and the terms follow from the seed; all
 * else is up to the steps.
 */
final class SteppedCluster extends SimulatedCluster {

    /** Most machines. */
    static final int MAX = 8;
    /** The seed of a core of three with the same terms for all, and clocks that differ little. */
    static final long PLAIN = 0;
    /** Messages on the way from one to another; the oldest is lost if there are more. */
    private static final int MAX_ON_THE_WAY = 32;
    /** Clocks go 10% wrong at most, of which a lease must take account. */
    private static final double WRONG = 0.1;
    /** Length of a state whose snapshot needs several chunks, bytes; and how many seeds have it. */
    private static final int LARGE = 70_000;

    private static final int FEW_LARGE = 24;
    private static final double PLAINLY_WRONG = 0.05;
    private static final double APART = 1e5;
    /** A member from whom the leader has not heard for so long may be down, ms. */
    private static final double SILENT = 150;
    /** Founders that a deployment names. */
    private static final int SEEDS = 3;
    /** Of twenty throws, those below have 4 or 5 founders, then 3; then 3 or 4 machines start, then 5. */
    private static final int FOUNDED_BY_THREE = 3;

    private static final int STARTED = 9;
    private static final int GROWING = 13;

    /** A message with who has sent it. */
    record InFlight(Member from, Message message) {}

    private record Captured(long incarnation, long index, byte[] state) {}

    private final List<Machine> byPlace = new ArrayList<>();
    private final Map<String, Integer> places = new HashMap<>();
    private final List<List<InFlight>> links = new ArrayList<>();
    private final double[] rates = new double[MAX];
    /** The state that was put aside at a machine for a snapshot, in its incarnation; by position. */
    private final Captured[] captured = new Captured[MAX];
    /** The incarnation in which a machine's process was ordered to end; by position. */
    private final long[] leaving = new long[MAX];

    private final CarriedChanges carried = new CarriedChanges();
    /** Starts of processes on empty disks; null where machines are there from the beginning. */
    private final DeploymentStart deployment;
    /** What the last step has moved, for who reads a script. */
    private Object moved = "";
    /** Steps that did something. */
    private int done;
    /** Losses that the core is to bear once all machines of the beginning take part. */
    private final int tolerates;

    private final List<Member> founders;
    private boolean beyond;

    SteppedCluster(long seed) {
        super(seed);
        for (int i = 0; i < MAX * MAX; i++) {
            links.add(new ArrayList<>());
        }
        RaftConfig usual = RaftConfig.defaults();
        boolean plain = seed == PLAIN;
        for (int i = 0; i < MAX; i++) {
            rates[i] = plain ? 1 + (i % 3 - 1) * PLAINLY_WRONG : 1 + (random.nextInt(3) - 1) * WRONG;
        }
        // Few entries a message and short timeouts bring about what a core meets seldom.
        timing = new RaftConfig(
                usual.heartbeatIntervalMs(),
                usual.minElectionTimeoutMs(),
                plain ? usual.minElectionTimeoutMs() : usual.maxElectionTimeoutMs(),
                usual.quorumTimeoutMs(),
                700,
                usual.peerAliveMs(),
                usual.diskStallMs(),
                usual.barrierTimeoutMs(),
                plain ? 1 : 1 + random.nextInt(3),
                usual.maxBytesPerMessage(),
                usual.maxUncommittedEntries());
        if (!plain && (Focus.of(seed) == Focus.SNAPSHOTS && random.nextInt(FEW_LARGE) == 0)) {
            claims.stateBytes = LARGE;
        }
        int dice = plain ? FOUNDED_BY_THREE : random.nextInt(20);
        if (dice < FOUNDED_BY_THREE) {
            deployment = null;
            tolerates = dice == 0 ? 2 : 1;
            bootstrap(dice == 0 ? 5 : 4, tolerates);
        } else if (dice < STARTED) {
            deployment = null;
            tolerates = 1;
            bootstrap(SEEDS, tolerates);
        } else {
            deployment = new DeploymentStart(this);
            tolerates = dice < GROWING ? 1 : 2;
            toleratedFailures = tolerates;
            deployment.machines(SEEDS, dice < GROWING ? SEEDS + dice % 2 : 2 * tolerates + 1);
        }
        founders = committedMembers;
    }

    int tolerates() {
        return tolerates;
    }

    /** Where machines look for the core: a deployment names its founders only. */
    @Override
    List<String> addresses() {
        return deployment == null ? super.addresses() : super.addresses().subList(0, SEEDS);
    }

    int size() {
        return byPlace.size();
    }

    Machine machine(int place) {
        return byPlace.get(place);
    }

    List<InFlight> link(int from, int to) {
        return links.get(from * MAX + to);
    }

    int done() {
        return done;
    }

    @Override
    Machine add(String address) {
        Machine machine = super.add(address);
        int place = byPlace.size();
        machine.clockRate = rates[place];
        machine.clockOffset = (place + 1) * APART;
        places.put(address, place);
        byPlace.add(machine);
        return machine;
    }

    @Override
    long randomLong(Machine machine) {
        return new Random(seed * 31 + places.get(machine.address) * 1009L + machine.incarnation).nextLong();
    }

    @Override
    void onNodeCreated(Machine machine) {
        // Its ticks are steps.
    }

    @Override
    void write(Machine machine, WriteBatch change) {
        // So is what its disk does.
    }

    @Override
    void onEntryCreated(Machine machine, Entry entry) {
        if (entry.kind() == Entry.Kind.MEMBERS && machine.leads() && machine.raftStatus.term() == entry.term()) {
            carried.check(this, machine, MemberListCodec.read(entry.data()));
        }
    }

    /** What the machines had applied of late, as far as a check hangs on it. */
    CarriedChanges carried() {
        return carried;
    }

    @Override
    boolean compactsAutomatically() {
        return false;
    }

    @Override
    void transmit(Member from, String to, Message message) {
        Integer place = places.get(to);
        if (place != null) {
            List<InFlight> link = link(places.get(from.address()), place);
            if (link.size() == MAX_ON_THE_WAY) {
                link.remove(0);
            }
            link.add(new InFlight(from, message));
        }
    }

    boolean isCut(int from, int to) {
        return cuts.contains(byPlace.get(from).address + ">" + byPlace.get(to).address);
    }

    /** What the last step did. */
    String moved() {
        return moved.toString();
    }

    /** Takes a step and checks what must hold; whether it did anything. */
    boolean take(Step step) {
        moved = "";
        boolean did;
        try {
            did = move(step);
            checkLease();
        } catch (IllegalStateException
                | IllegalArgumentException
                | IndexOutOfBoundsException
                | NullPointerException
                | UncheckedIOException e) {
            throw new AssertionError("seed " + seed + ", " + now + " ms: " + e, e);
        }
        if (did) {
            done++;
        }
        return did;
    }

    private boolean move(Step step) {
        if (step.kind() == Step.Kind.PASS) {
            now += step.n();
            byPlace.forEach(this::tick);
            return true;
        }
        if (step.kind() == Step.Kind.CALM) {
            new Calm(this).await();
            return true;
        }
        if (step.kind() == Step.Kind.NEWCOMER) {
            return newcomer(step.a());
        }
        if (step.a() >= byPlace.size() || step.b() >= byPlace.size()) {
            return false;
        }
        Machine a = byPlace.get(step.a());
        return switch (step.kind()) {
            case DELIVER, DOUBLE, DROP -> carried(step);
            case TICK -> {
                now += step.n();
                tick(a);
                yield true;
            }
            case CUT -> step.a() != step.b() && cuts.add(a.address + ">" + byPlace.get(step.b()).address);
            case MEND -> cuts.remove(a.address + ">" + byPlace.get(step.b()).address);
            case START -> start(a);
            case WIPE -> lose(a);
            case RETIRE -> a.up() && a.released && lose(a);
            case SYNC, POWER -> {
                boolean did = isStarting(step.a()) ? deployment.take(a, step) : a.up() && alive(a, step);
                beyond |= step.kind() == Step.Kind.POWER && isFoundingLost();
                yield did;
            }
            default -> a.up() && alive(a, step);
        };
    }

    private boolean alive(Machine a, Step step) {
        switch (step.kind()) {
            case SYNC -> {
                if (a.unsynced.isEmpty()) {
                    return false;
                }
                moved = a.unsynced.get(0);
                a.syncOne();
            }
            case PROPOSE -> {
                return a.propose();
            }
            case REPEAT -> {
                return claims.repeat(a);
            }
            case RESEND -> {
                return claims.resend(a, step.n());
            }
            case VARY -> {
                return claims.vary(a, step.n());
            }
            case BARRIER -> a.barrier();
            case CAPTURE -> captured[step.a()] = new Captured(a.incarnation, a.applied, a.state());
            case LEAVE -> {
                beyond |= lostMembers() >= bearable();
                a.raft.leave(a.clock());
                leaving[step.a()] = a.incarnation;
            }
            case FORGET -> KeptEntries.forget(a.raft);
            case COMPACT -> {
                return compact(a, step.a());
            }
            default -> {
                a.end(Math.min(step.n(), a.unsynced.size()));
            }
        }
        return true;
    }

    private void tick(Machine machine) {
        if (machine.up()) {
            carried.ticks(machine);
            machine.raft.tick(machine.clock());
        }
    }

    private boolean compact(Machine machine, int place) {
        Captured one = captured[place];
        captured[place] = null;
        if (machine.applied == 0) {
            return false;
        }
        if (one != null && one.incarnation == machine.incarnation && one.index > 0) {
            machine.raft.compact(one.index, one.state);
        } else {
            machine.compact();
        }
        return true;
    }

    boolean start(Machine machine) {
        if (machine.up() || deployment != null && deployment.isStarting(machine)) {
            return false;
        }
        if (machine.disk.self == null && deployment != null) {
            deployment.start(machine);
        } else if (machine.disk.self == null) {
            machine.startAsNewMember();
        } else {
            machine.start();
        }
        return true;
    }

    private boolean newcomer(int place) {
        // Places are given in order, so a script that lost one newcomer has the next in its place.
        if (place < byPlace.size() || byPlace.size() == MAX) {
            return false;
        }
        add("10.0.1." + byPlace.size() + ":1").startAsNewMember();
        return true;
    }

    private boolean carried(Step step) {
        List<InFlight> link = link(step.a(), step.b());
        if (step.n() >= link.size()) {
            return false;
        }
        InFlight inFlight = step.kind() == Step.Kind.DOUBLE ? link.get(step.n()) : link.remove(step.n());
        moved = inFlight.message();
        Machine to = byPlace.get(step.b());
        if (step.kind() != Step.Kind.DROP && to.up()) {
            to.raft.handleMessage(to.clock(), inFlight.from(), inFlight.message());
        }
        return true;
    }

    /** Goes on with the oldest write of a machine, be it its name; false if there is none. */
    boolean syncOne(int place) {
        return move(Step.of(Step.Kind.SYNC, place));
    }

    /** A machine loses its disk, if the core may bear it. */
    private boolean lose(Machine machine) {
        boolean may = machine.disk.self != null && allKnowCommittedMembers() && lostMembers() < bearable();
        if (may) {
            beyond |= lostOrUnresponsive(machine) >= bearable();
            machine.wipe();
        }
        return may;
    }

    /** Whether a machine's name is on the way to its empty disk. */
    boolean isStarting(int place) {
        return deployment != null && deployment.isStarting(byPlace.get(place));
    }

    /** Ends a process that was ordered to, if it still runs. */
    void endLeaving(int place) {
        Machine machine = byPlace.get(place);
        if (machine.up() && leaving[place] == machine.incarnation) {
            machine.end(machine.unsynced.size());
        }
    }

    void healAll() {
        cuts.clear();
    }

    /** Whether more was lost at once than the core is to bear, so that it need not heal. */
    boolean isBeyond() {
        return beyond;
    }

    /**
     * Whether so many founders ended before their first write was on a disk that those who are left are no majority:
     * then the core was never founded.
     */
    private boolean isFoundingLost() {
        long lost = founders.stream()
                .filter(founder -> unwritten.contains(founder.id()))
                .count();
        return lost > (founders.size() - 1) / 2;
    }

    /** Members that the core of now may lose. */
    private int bearable() {
        return (committedMembers.size() - 1) / 2;
    }

    /** Other members whose disks are lost, or from whom the leader has not heard of late. */
    private int lostOrUnresponsive(Machine but) {
        Machine leader = leader();
        if (leader == null) {
            return committedMembers.size();
        }
        Map<Long, Double> sinceLastMessageMs =
                leader.raft.metrics(leader.clock()).sinceLastMessageMs();
        int count = 0;
        for (Member member : committedMembers) {
            RaftStatus its = machines.get(member.address()).raftStatus;
            int place = places.get(member.address());
            boolean lost = lostDisks.containsKey(member.id()) || leaving[place] == byPlace.get(place).incarnation;
            // Whoever has just won counts all as heard, also those that know nothing of its term.
            boolean unresponsive = its == null
                    || its.term() != leader.raftStatus.term()
                    || sinceLastMessageMs.getOrDefault(member.id(), Double.MAX_VALUE) > SILENT;
            count += member.id() != but.self.id() && (lost || unresponsive) ? 1 : 0;
        }
        return count;
    }

    /** Who is what, on a line. */
    String line() {
        StringBuilder text = new StringBuilder();
        for (Machine machine : byPlace) {
            text.append(text.isEmpty() ? "" : ", ").append(Step.machineName(places.get(machine.address)));
            if (machine.up()) {
                text.append(' ')
                        .append(
                                machine.raftStatus == null
                                        ? "founds"
                                        : machine.raftStatus.role() + " " + machine.raftStatus.term())
                        .append(" applied ")
                        .append(machine.applied);
            } else {
                text.append(" down");
            }
        }
        return text.toString();
    }

    /** The settings that follow from the seed. */
    String settings() {
        return byPlace.size() + " founders, clocks " + Arrays.toString(Arrays.copyOf(rates, size() + 2)) + ", "
                + timing.maxEntriesPerMessage() + " entries a message";
    }
}
