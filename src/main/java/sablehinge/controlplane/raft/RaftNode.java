package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * One member's part in the agreement of the core on one log: Raft with pre-votes, a check of the leader's quorum, and
 * changes of one member at a time that are entries of the log.
 *
 * <p>It decides only. All calls come from one thread, never from within one of the {@link RaftActions} (but
 * {@link #compact} may be called from within {@link RaftActions#apply}), and {@code now} is a steady clock in ms. Only
 * what is synced counts: a vote and the word that entries are held leave once the disk has them, and the leader's own
 * copy counts like any other, when its disk has it and not before. So a commit needs a majority of disks, whichever
 * they are, and a member whose disk stalls delays nobody.
 */
public final class RaftNode {

    /** How far ahead of what a peer has synced entries are sent, entries. */
    private static final int AHEAD = 256;
    /** Between two requests to be let in, ms. */
    private static final double ASK_EVERY = 300;
    /** Without a leader for so long even a member asks around, ms: it may have been removed. */
    private static final double LOST = 1500;
    /** Who has neither asked nor answered for so long is fed no more, ms. */
    private static final double FORGET = 10_000;
    /** Who has waited longer for its own disk neither stands nor changes members, ms. */
    private static final double BUSY = 200;
    /** Between two words to the leader that this process is about to end, ms. */
    private static final double LEAVE_EVERY = 100;
    /** After so long all that ask to become voters have asked a new leader, ms. */
    private static final double ALL_ASKED = ASK_EVERY + 100;
    /** For so long a leader that leaves waits for a successor that has all of its log, ms. */
    private static final double HEIR_WAIT = 300;
    /** Between two tries to hand over, ms. */
    private static final double HAND_EVERY = 500;
    /** Most that ask to be let in and are fed at a time. */
    private static final int MOST_WAITING = 8;
    /** Most addresses that are asked. */
    private static final int MOST_CONTACTS = 64;

    private static final int ASKED = 64;
    /** The part of the usual wait for a leader after which one that has just started stands. */
    private static final double FIRST_PART = 0.4;
    /** The part of the time for which voters wait that a lease takes of it. */
    private static final double LEASE_PART = 0.8;

    private record Barrier(long token, long round, long index, double until) {}

    private final RaftActions actions;
    private final RaftConfig timing;
    private final Random random;
    private final MembershipPlanner planner;
    private final RaftLog log = new RaftLog();
    private final PersistQueue queue = new PersistQueue();
    private final SnapshotReceiver receiver = new SnapshotReceiver();

    private Member self;
    /** The time of the call that is under way, ms. */
    private double lastNow;

    private boolean running;
    private long term;
    private long votedFor;
    private long commit;

    private RaftStatus.Role role = RaftStatus.Role.FOLLOWER;
    private RaftStatus told;
    private Member leader;
    private double leaderHeard = Double.NEGATIVE_INFINITY;
    private double electionAt;
    private boolean asking;
    private final Set<Long> votes = new HashSet<>();

    /** As a follower: up to here the log is the leader's. */
    private long verified;

    private long lastRound;

    private final Set<String> contacts = new LinkedHashSet<>();
    private double joinAt = Double.NEGATIVE_INFINITY;

    private final Map<Long, ReplicaProgress> peers = new LinkedHashMap<>();
    private long firstOfTerm;
    private double wonAt;
    private long round;
    /** When each of the last rounds was asked, until when a lease holds, and whether this term was given up. */
    private final double[] requestedAt = new double[ASKED];
    /** Up to where all was committed when each of the last rounds was asked. */
    private final long[] committedAt = new long[ASKED];

    private double leaseUntil = Double.NEGATIVE_INFINITY;
    private boolean handedOver;
    /** When this one asked for the votes of its term, and the latest question that a majority answered. */
    private double stoodAt = Double.NEGATIVE_INFINITY;

    private double majorityAskedAt = Double.NEGATIVE_INFINITY;
    private double heartbeatAt;
    private double handAt;
    private final List<Barrier> barriers = new ArrayList<>();
    /** The change of the voters that waits for answers to a round, and that round; null for none. */
    private VoterChange dueChange;

    private long dueRound;

    /** Since when this process is about to end, ms; infinity while it is not. */
    private double leavingSince = Double.POSITIVE_INFINITY;

    private double leaveAt;
    private boolean released;

    /**
     * A member that takes part after one of {@link #bootstrap}, {@link #start}, {@link #startAsLearner}.
     *
     * @param losses how many members may be lost at once while the core goes on
     */
    public RaftNode(RaftActions actions, RaftConfig timing, int losses, long seed) {
        this.actions = actions;
        this.timing = timing;
        this.random = new Random(seed);
        this.planner = new MembershipPlanner(losses, timing);
    }

    /** The first start of the system: the disk is empty, and all founders name the same founders. */
    public void bootstrap(double now, Member me, List<Member> founders) {
        self = me;
        Snapshot first = new Snapshot(0, 0, founders, new byte[0]);
        log.install(first);
        queue.snapshot(first);
        // Only persisted() sets it running: who forgot the founding after a vote would be another member.
        flush(now);
    }

    /**
     * Goes on with what the disk holds.
     *
     * @param processStartedAt when this life began, ms; all that the life before said, it said by then
     */
    public void start(double now, PersistedState stored, double processStartedAt) {
        self = stored.self();
        term = stored.term();
        votedFor = stored.votedFor();
        if (stored.snapshot() != null) {
            log.install(stored.snapshot());
            commit = stored.snapshot().index();
            if (commit > 0) {
                actions.restore(stored.snapshot());
            }
        }
        for (Entry entry : stored.entries()) {
            log.append(entry);
        }
        queue.begin(log.lastIndex(), term);
        if (term > 0) {
            // A leader may hold a lease by an answer of the life before: as if it had been heard at its end.
            leaderHeard = processStartedAt;
        }
        run(now);
    }

    /** The disk is empty although the system was founded before: asks to be let in. */
    public void startAsLearner(double now, Member me, List<String> addresses) {
        self = me;
        contacts(addresses);
        run(now);
    }

    private void run(double now) {
        running = true;
        verified = commit;
        // Otherwise who was just started would ask around before a leader could have reached it.
        joinAt = log.holds(self.id()) ? now + LOST : now;
        // Where all have just started there is no leader to wait for, only what they may have promised one;
        // where there is one, its followers refuse.
        double bound = leaderHeard + timing.minElectionTimeoutMs();
        electionAt = Math.max(bound, now + FIRST_PART * timing.minElectionTimeoutMs())
                + FIRST_PART * random.nextDouble() * (timing.maxElectionTimeoutMs() - timing.minElectionTimeoutMs());
        end(now);
    }

    /** Addresses of machines that may be members, for one that looks for them. */
    public void contacts(List<String> addresses) {
        for (String address : addresses) {
            if (contacts.size() < MOST_CONTACTS) {
                contacts.add(address);
            }
        }
    }

    /**
     * This process is about to end, perhaps for good: leadership goes to another, and {@link RaftActions#released} is
     * called once a majority of those that stay has everything on disk that is committed, and, where a learner waits to
     * take the place, once it has taken it. Without a majority that is never. Nothing may be proposed here any more;
     * all else goes on until the process ends.
     */
    public void leave(double now) {
        if (isLeaving()) {
            return;
        }
        leavingSince = now;
        leaveAt = now;
        if (!running) {
            release();
            return;
        }
        leaveOn(now);
        end(now);
    }

    /** Lets time pass; called some ten times per heartbeat or less. */
    public void tick(double now) {
        if (!running) {
            return;
        }
        if (role == RaftStatus.Role.LEADER) {
            lead(now);
        } else {
            follow(now);
        }
        if (isLeaving()) {
            leaveOn(now);
        }
        end(now);
    }

    /** The disk holds all changes up to this number. */
    public void persisted(double now, long number) {
        queue.persisted(number, actions);
        if (!running) {
            run(now);
            return;
        }
        if (role == RaftStatus.Role.LEADER) {
            advance(now);
        } else if (role == RaftStatus.Role.CANDIDATE) {
            countOwnVote(now);
        } else if (leader != null && queue.syncedTerm() == term) {
            actions.send(leader, appended(true, verified));
        }
        end(now);
    }

    /**
     * Asks for a command to be committed.
     *
     * @return its index, or 0 if this does not lead or too many wait. It is committed when {@link RaftActions#apply}
     *     has an entry of that index and of the term in which it was proposed; an entry of another term there means
     *     that it never will be
     */
    public long propose(double now, byte[] command) {
        if (!running
                || role != RaftStatus.Role.LEADER
                || log.lastIndex() - commit >= timing.maxUncommittedEntries()
                || queue.isFull()
                || isLeaving()) {
            return 0;
        }
        long index = append(now, Entry.Kind.COMMAND, command);
        end(now);
        return index;
    }

    /** Asks whether all that was committed anywhere before this call is applied here; see {@link RaftActions}. */
    public void barrier(double now, long token) {
        if (!running || role != RaftStatus.Role.LEADER) {
            actions.barrierRejected(token);
            return;
        }
        boolean underWay = !barriers.isEmpty();
        // Only a question that is asked after this call counts; those that come meanwhile share the next one.
        barriers.add(new Barrier(token, round + 1, Math.max(commit, firstOfTerm), now + timing.barrierTimeoutMs()));
        if (!underWay) {
            ask(now);
        }
        confirm(now);
        end(now);
    }

    /** The host holds the state after entry {@code index}, which was applied: the log before it may go. */
    public void compact(long index, byte[] state) {
        if (index <= log.base().index()) {
            return;
        }
        if (index > commit) {
            throw new IllegalArgumentException("entry " + index + " is not applied; " + commit + " is");
        }
        // Entries that are to be written first go in a change of their own.
        flush(lastNow);
        log.compact(index, state);
        queue.snapshot(log.base());
        flush(lastNow);
    }

    /** A message came in. {@code from} is its sender as it names itself. */
    public void handleMessage(double now, Member from, Message message) {
        if (!running || from.id() == self.id()) {
            return;
        }
        if (message instanceof Message.VoteRequest ask) {
            askVote(now, from, ask);
        } else if (message instanceof Message.VoteResponse vote) {
            vote(now, from, vote);
        } else if (message instanceof Message.AppendRequest append) {
            takeAppend(now, from, append);
        } else if (message instanceof Message.InstallSnapshotRequest install) {
            takeInstall(now, from, install);
        } else if (message instanceof Message.AppendResponse appended) {
            takeAppended(now, from, appended);
        } else if (message instanceof Message.InstallSnapshotResponse installing) {
            takeInstalling(now, from, installing);
        } else if (message instanceof Message.JoinRequest join) {
            takeJoin(now, join);
        } else if (message instanceof Message.LeaderHint guide) {
            takeGuide(now, guide);
        } else if (message instanceof Message.LeaveRequest leave) {
            takeLeave(now, leave.self());
        } else if (message instanceof Message.LeaveResponse answer) {
            if (answer.term() == term) {
                release();
            }
        } else if (message instanceof Message.TimeoutNowRequest take) {
            // Two that leave would hand over to each other for ever.
            if (take.term() == term && role == RaftStatus.Role.FOLLOWER && log.holds(self.id()) && !isLeaving()) {
                stand(now, term + 1, true);
            }
        }
        end(now);
    }

    // What all do.

    private void flush(double now) {
        lastNow = now;
        queue.flush(now, term, votedFor, log.lastIndex(), actions);
    }

    /** Ends each call: what was decided goes to the disk, and a new standing is told. */
    private void end(double now) {
        flush(now);
        boolean outside = role != RaftStatus.Role.LEADER && !log.holds(self.id());
        RaftStatus.Role shown = outside ? RaftStatus.Role.OUTSIDER : role;
        // Lists are never changed, so the same one is an equal one; this runs with every message.
        if (told == null
                || told.role() != shown
                || told.term() != term
                || told.members() != log.members()
                || !Objects.equals(told.leader(), leader)) {
            told = new RaftStatus(shown, term, leader, log.members());
            actions.onStatusChanged(told);
        }
    }

    /** Whether the own disk is such that a vote of this one would come late, or never. */
    private boolean diskHangs(double now) {
        return now - queue.busySince() > BUSY;
    }

    private int majority() {
        return log.members().size() / 2 + 1;
    }

    private boolean hasMajority(Set<Long> ids) {
        int count = 0;
        for (Member member : log.members()) {
            if (ids.contains(member.id())) {
                count++;
            }
        }
        return count >= majority();
    }

    private void waitForLeader(double now) {
        electionAt = now
                + timing.minElectionTimeoutMs()
                + random.nextDouble() * (timing.maxElectionTimeoutMs() - timing.minElectionTimeoutMs());
    }

    private void commitTo(double now, long index) {
        while (commit < index) {
            commit++;
            lastNow = now;
            actions.apply(log.entry(commit));
        }
    }

    /** Becomes a follower, of a later term or of the same. */
    private void stepDown(double now, long newTerm, Member newLeader) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = 0;
            queue.touch();
            verified = commit;
            lastRound = 0;
            leader = null;
        }
        if (role == RaftStatus.Role.LEADER) {
            peers.clear();
            barriers.forEach(barrier -> actions.barrierRejected(barrier.token()));
            barriers.clear();
            verified = commit;
            leader = null;
            waitForLeader(now);
        }
        role = RaftStatus.Role.FOLLOWER;
        asking = false;
        if (newLeader != null) {
            leader = newLeader;
        }
    }

    // Elections.

    private void follow(double now) {
        boolean member = log.holds(self.id());
        if (leader != null && now - leaderHeard > LOST) {
            leader = null;
        }
        if (now >= electionAt) {
            if (mayStand() && !diskHangs(now)) {
                askAround(now);
            } else {
                waitForLeader(now);
            }
        }
        if ((!member || now - leaderHeard > LOST) && now >= joinAt && !isLeaving()) {
            joinAt = now + ASK_EVERY;
            join();
        }
    }

    /**
     * Whether this one may stand for election. A list that leaves it out counts only once it is committed: until then
     * it may be the only one that holds that entry, and nobody with a shorter log gets its vote. It asks the voters of
     * that list, and its own vote counts for nothing.
     */
    private boolean mayStand() {
        return log.holds(self.id()) || log.held(self.id(), commit);
    }

    /** Asks who would vote for this member; nothing changes by it, so that a lonely one disturbs nobody. */
    private void askAround(double now) {
        role = RaftStatus.Role.FOLLOWER;
        leader = null;
        asking = true;
        votes.clear();
        votes.add(self.id());
        waitForLeader(now);
        if (hasMajority(votes)) {
            stand(now, term + 1, false);
            return;
        }
        sendOthers(new Message.VoteRequest(term + 1, log.lastIndex(), log.lastTerm(), true, false), false);
    }

    private void stand(double now, long newTerm, boolean handed) {
        stepDown(now, newTerm, null);
        role = RaftStatus.Role.CANDIDATE;
        votedFor = self.id();
        stoodAt = now;
        queue.touch();
        votes.clear();
        waitForLeader(now);
        // Held until the own vote is synced; with it goes all of the log that it is asked for.
        sendOthers(new Message.VoteRequest(term, log.lastIndex(), log.lastTerm(), false, handed), true);
    }

    private void sendOthers(Message message, boolean hold) {
        for (Member member : log.members()) {
            if (member.id() != self.id()) {
                if (hold) {
                    queue.hold(member, message);
                } else {
                    actions.send(member, message);
                }
            }
        }
    }

    private void countOwnVote(double now) {
        if (queue.syncedTerm() == term && votedFor == self.id() && votes.add(self.id())) {
            countVotes(now);
        }
    }

    private void countVotes(double now) {
        if (hasMajority(votes)) {
            win(now);
        }
    }

    private void askVote(double now, Member from, Message.VoteRequest ask) {
        boolean known = log.holds(from.id());
        boolean led = role == RaftStatus.Role.LEADER || now - leaderHeard < timing.minElectionTimeoutMs();
        // Who hears a leader disturbs it for nobody, save for whom the leader itself asked to stand.
        boolean refused = led && !(ask.handed() && known);
        boolean current = ask.lastTerm() > log.lastTerm()
                || ask.lastTerm() == log.lastTerm() && ask.lastIndex() >= log.lastIndex();
        if (ask.pre()) {
            boolean granted = !refused && current && ask.term() > term && !diskHangs(now);
            actions.send(from, new Message.VoteResponse(granted ? ask.term() : term, granted, true));
            return;
        }
        if (!refused && ask.term() > term) {
            stepDown(now, ask.term(), null);
        }
        boolean granted = !refused
                && current
                && ask.term() == term
                && role == RaftStatus.Role.FOLLOWER
                && (votedFor == 0 || votedFor == from.id());
        if (!granted) {
            actions.send(from, new Message.VoteResponse(term, false, false));
            return;
        }
        if (votedFor == 0) {
            votedFor = from.id();
            queue.touch();
        }
        asking = false;
        waitForLeader(now);
        queue.hold(from, new Message.VoteResponse(term, true, false));
    }

    private void vote(double now, Member from, Message.VoteResponse vote) {
        if (!log.holds(from.id()) || role == RaftStatus.Role.LEADER) {
            return;
        }
        if (!vote.granted()) {
            if (vote.term() > term) {
                stepDown(now, vote.term(), null);
            }
        } else if (vote.pre() && asking && vote.term() == term + 1) {
            votes.add(from.id());
            if (hasMajority(votes)) {
                stand(now, term + 1, false);
            }
        } else if (!vote.pre() && role == RaftStatus.Role.CANDIDATE && vote.term() == term) {
            votes.add(from.id());
            countVotes(now);
        }
    }

    // Following.

    private Message.AppendResponse appended(boolean success, long hint) {
        // Entries count for a term only if the disk knows the term: else an older leader could undo them.
        long match = success && queue.syncedTerm() == term ? Math.min(queue.synced(), verified) : 0;
        return new Message.AppendResponse(term, success, match, hint, lastRound);
    }

    /** Whether a leader's message is of the latest term; hears of the leader then. */
    private boolean heard(double now, Member from, long itsTerm, long itsRound) {
        if (itsTerm < term || itsTerm == term && role == RaftStatus.Role.LEADER) {
            // Its sender may lead a later term by now, where a round of this number is another.
            actions.send(from, new Message.AppendResponse(term, false, 0, 0, 0));
            return false;
        }
        stepDown(now, itsTerm, from);
        leaderHeard = now;
        lastRound = Math.max(lastRound, itsRound);
        waitForLeader(now);
        return true;
    }

    private void takeAppend(double now, Member from, Message.AppendRequest append) {
        if (!heard(now, from, append.term(), append.round())) {
            return;
        }
        if (log.isBare()) {
            actions.send(from, appended(false, -1));
            return;
        }
        long previous = append.prevIndex();
        if (previous > log.lastIndex()) {
            actions.send(from, appended(false, log.lastIndex()));
            return;
        }
        // What lies before the commit is the same in all logs.
        if (previous > commit && log.termAt(previous) != append.prevTerm()) {
            long hint = previous - 1;
            while (hint > commit && log.termAt(hint) == log.termAt(previous)) {
                hint--;
            }
            actions.send(from, appended(false, hint));
            return;
        }
        if (!append.entries().isEmpty() && queue.isFull()) {
            // The leader says it again with its next sign of life, or when the disk has taken something.
            verified = Math.max(verified, previous);
            commitTo(now, Math.min(append.commit(), verified));
            actions.send(from, appended(false, verified));
            return;
        }
        if (!append.entries().isEmpty()) {
            receiver.clear();
        }
        for (Entry entry : append.entries()) {
            take(entry);
        }
        verified = Math.max(verified, previous + append.entries().size());
        commitTo(now, Math.min(append.commit(), verified));
        actions.send(from, appended(true, verified));
    }

    private void take(Entry entry) {
        if (entry.index() <= log.base().index()) {
            return;
        }
        if (entry.index() <= log.lastIndex()) {
            if (log.termAt(entry.index()) == entry.term()) {
                return;
            }
            if (entry.index() <= commit) {
                throw new IllegalStateException(
                        "entry " + entry.index() + " of term " + entry.term() + " differs from a committed one");
            }
            log.truncate(entry.index());
            queue.truncate(entry.index());
        }
        log.append(entry);
        queue.append(entry);
    }

    private void takeInstall(double now, Member from, Message.InstallSnapshotRequest install) {
        if (!heard(now, from, install.term(), install.round())) {
            return;
        }
        if (queue.isFull()) {
            actions.send(from, appended(false, log.isBare() ? -1 : verified));
            return;
        }
        boolean wanted = install.part().index() > commit || log.isBare();
        Snapshot snapshot = wanted ? receiver.take(install) : null;
        if (wanted && snapshot == null) {
            actions.send(
                    from,
                    new Message.InstallSnapshotResponse(
                            term, install.part().index(), receiver.held(install), lastRound));
            return;
        }
        if (wanted) {
            if (!log.holdsEntry(snapshot.index(), snapshot.term())
                    && log.lastIndex() > log.base().index()) {
                queue.truncate(log.base().index() + 1);
            }
            log.install(snapshot);
            queue.snapshot(snapshot);
            commit = snapshot.index();
            if (commit > 0) {
                actions.restore(snapshot);
            }
        }
        verified = Math.max(verified, install.part().index());
        actions.send(from, appended(true, verified));
    }

    // Coming in.

    private void join() {
        Message.JoinRequest join = new Message.JoinRequest(self, log.lastIndex());
        if (leader != null) {
            actions.send(leader, join);
            return;
        }
        Set<String> asked = new HashSet<>();
        asked.add(self.address());
        for (Member member : log.members()) {
            if (member.id() != self.id() && asked.add(member.address())) {
                actions.send(member, join);
            }
        }
        for (String address : contacts) {
            if (asked.add(address)) {
                actions.send(new Member(0, address, ""), join);
            }
        }
    }

    private void takeJoin(double now, Message.JoinRequest join) {
        Member who = join.self();
        if (who.id() == self.id() || who.id() == 0) {
            return;
        }
        if (role != RaftStatus.Role.LEADER) {
            actions.send(who, new Message.LeaderHint(term, leader, log.members()));
            return;
        }
        ReplicaProgress peer = peers.get(who.id());
        if (peer == null) {
            if (peers.size() >= log.members().size() - 1 + MOST_WAITING) {
                return;
            }
            peer = new ReplicaProgress(who, Math.min(join.lastIndex(), log.lastIndex()) + 1, Double.NEGATIVE_INFINITY);
            peers.put(who.id(), peer);
            feed(now, peer, true);
        }
        peer.asked = now;
    }

    private void takeGuide(double now, Message.LeaderHint guide) {
        if (role == RaftStatus.Role.LEADER || log.holds(self.id()) && now - leaderHeard < LOST) {
            return;
        }
        guide.members().forEach(member -> contacts(List.of(member.address())));
        if (guide.leader() != null && guide.leader().id() != self.id()) {
            actions.send(guide.leader(), new Message.JoinRequest(self, log.lastIndex()));
        }
    }

    // Leading.

    private void win(double now) {
        role = RaftStatus.Role.LEADER;
        leader = self;
        asking = false;
        peers.clear();
        round = 0;
        handedOver = false;
        dueChange = null;
        receiver.clear();
        wonAt = now;
        leaseUntil = Double.NEGATIVE_INFINITY;
        majorityAskedAt = stoodAt;
        heartbeatAt = now + timing.heartbeatIntervalMs();
        handAt = now;
        keepPeers(now);
        firstOfTerm = append(now, Entry.Kind.NOOP, new byte[0]);
    }

    private long append(double now, Entry.Kind kind, byte[] data) {
        Entry entry = new Entry(log.lastIndex() + 1, term, kind, data);
        log.append(entry);
        queue.append(entry);
        if (kind == Entry.Kind.MEMBERS) {
            keepPeers(now);
        }
        for (ReplicaProgress peer : peers.values()) {
            // At the start of a term the guess is worth a try; later only an answer makes more of it.
            if (!peer.probing || entry.index() == peer.next && kind == Entry.Kind.NOOP) {
                feedMore(now, peer);
            }
        }
        return entry.index();
    }

    /** All members have a peer; who is a member no more stays one for a while, so that it learns of it. */
    private void keepPeers(double now) {
        for (Member member : log.members()) {
            if (member.id() != self.id() && !peers.containsKey(member.id())) {
                peers.put(member.id(), new ReplicaProgress(member, log.lastIndex() + 1, now));
            }
        }
    }

    private void lead(double now) {
        if (!heardMajority(now)) {
            stepDown(now, term, null);
            return;
        }
        peers.values()
                .removeIf(peer -> !log.holds(peer.member.id()) && now - Math.max(peer.heard, peer.asked) > FORGET);
        for (Barrier barrier : List.copyOf(barriers)) {
            if (now >= barrier.until()) {
                barriers.remove(barrier);
                actions.barrierRejected(barrier.token());
            }
        }
        if (now >= heartbeatAt) {
            ask(now);
        }
        if (now - queue.busySince() > timing.diskStallMs() && now >= handAt) {
            handOver(now);
        }
        changeMembers(now);
    }

    /** Whether a majority has answered lately enough to lead on. */
    private boolean heardMajority(double now) {
        int count = 0;
        for (Member member : log.members()) {
            ReplicaProgress peer = peers.get(member.id());
            if (member.id() == self.id() || peer != null && now - peer.heard <= timing.quorumTimeoutMs()) {
                count++;
            }
        }
        return count >= majority();
    }

    /** Asks all peers whether this still leads. */
    private void ask(double now) {
        round++;
        requestedAt[(int) (round % ASKED)] = now;
        committedAt[(int) (round % ASKED)] = commit;
        heartbeatAt = now + timing.heartbeatIntervalMs();
        for (ReplicaProgress peer : peers.values()) {
            feed(now, peer, now - peer.heard <= timing.peerAliveMs() || peer.probing);
        }
    }

    /** Sends what a peer is to have next, or a sign of life. */
    private void feed(double now, ReplicaProgress peer, boolean withEntries) {
        if (peer.snapshot == null && (peer.bare || !log.reaches(peer.next))) {
            peer.snapshot = new SnapshotSender(log.base());
            peer.window.clear();
            peer.bare = false;
            peer.probing = true;
            peer.next = log.base().index() + 1;
        }
        if (peer.snapshot != null) {
            feedSnapshot(now, peer);
            return;
        }
        peer.window.expire(now);
        int most = Math.min(timing.maxBytesPerMessage(), peer.window.limit());
        List<Entry> entries =
                withEntries && mayHaveMore(peer) ? log.from(peer.next, timing.maxEntriesPerMessage(), most) : List.of();
        long previous = peer.next - 1;
        actions.send(
                peer.member, new Message.AppendRequest(term, previous, log.termAt(previous), entries, commit, round));
        if (!entries.isEmpty()) {
            peer.window.sent(now, round, previous + entries.size(), bytes(entries));
        }
        if (!peer.probing) {
            peer.next += entries.size();
        }
    }

    private void feedSnapshot(double now, ReplicaProgress peer) {
        peer.snapshot.renew(now, log.base());
        // What lies at 0 is the same in all logs, so this is a sign of life only.
        actions.send(
                peer.member,
                peer.snapshot.isDue(now)
                        ? peer.snapshot.next(now, term, round)
                        : new Message.AppendRequest(term, 0, 0, List.of(), 0, round));
    }

    private static long bytes(List<Entry> entries) {
        long bytes = 0;
        for (Entry entry : entries) {
            bytes += entry.data().length;
        }
        return bytes;
    }

    private boolean mayHaveMore(ReplicaProgress peer) {
        return peer.probing ? peer.window.isEmpty() : peer.window.isOpen() && peer.next - 1 - peer.match < AHEAD;
    }

    private void feedMore(double now, ReplicaProgress peer) {
        while (peer.next <= log.lastIndex()
                && peer.snapshot == null
                && now - peer.heard <= timing.peerAliveMs()
                && mayHaveMore(peer)) {
            feed(now, peer, true);
        }
    }

    /** Notes an answer of a peer of this term; null if it is none. */
    private ReplicaProgress answered(double now, Member from, long itsTerm, long itsRound) {
        ReplicaProgress peer = role == RaftStatus.Role.LEADER ? peers.get(from.id()) : null;
        if (peer == null || itsTerm < term) {
            return null;
        }
        if (itsTerm > term) {
            if (log.holds(from.id())) {
                stepDown(now, itsTerm, null);
            } else {
                // It can follow only a later term than its own: so it gets one, from the same leader.
                stand(now, itsTerm + 1, true);
            }
            return null;
        }
        peer.heard = now;
        if (itsRound > peer.round) {
            peer.round = itsRound;
            extendLease();
        }
        return peer;
    }

    private void takeInstalling(double now, Member from, Message.InstallSnapshotResponse answer) {
        ReplicaProgress peer = answered(now, from, answer.term(), answer.round());
        if (peer == null) {
            return;
        }
        if (peer.snapshot != null && peer.snapshot.received(now, answer.index(), answer.held())) {
            feedSnapshot(now, peer);
        }
        confirm(now);
    }

    private void takeAppended(double now, Member from, Message.AppendResponse answer) {
        ReplicaProgress peer = answered(now, from, answer.term(), answer.round());
        if (peer == null) {
            return;
        }
        if (answer.success()) {
            took(now, peer, answer);
        } else if (peer.snapshot == null) {
            long next = Math.max(peer.match + 1, Math.min(answer.hint(), log.lastIndex()) + 1);
            peer.window.passed(answer.round());
            if (next < peer.next || answer.hint() < 0) {
                peer.bare = answer.hint() < 0;
                peer.probing = true;
                peer.next = next;
                peer.window.clear();
                feed(now, peer, true);
            }
        } else {
            feedLost(now, peer, answer);
        }
        advance(now);
        if (role == RaftStatus.Role.LEADER && (dueChange != null || isLearner(now, peer))) {
            // A voter's place may be free, and the core is weaker until it is filled: the next tick is late.
            changeMembers(now);
        }
    }

    /** Who was away says nothing of a chunk that was sent to it meanwhile. */
    private void feedLost(double now, ReplicaProgress peer, Message.AppendResponse answer) {
        if (peer.snapshot.passed(answer.round())) {
            feedSnapshot(now, peer);
        }
    }

    private void took(double now, ReplicaProgress peer, Message.AppendResponse answer) {
        peer.match = Math.max(peer.match, answer.matchIndex());
        peer.window.received(now, answer.hint(), answer.round());
        boolean needsMore = peer.snapshot != null && answer.hint() < peer.snapshot.index();
        if (needsMore && !log.reaches(answer.hint() + 1)) {
            feedLost(now, peer, answer);
            return;
        }
        if (peer.snapshot != null) {
            peer.snapshot = null;
            peer.next = answer.hint() + 1;
        }
        peer.probing = false;
        peer.next = Math.min(Math.max(peer.next, answer.hint() + 1), log.lastIndex() + 1);
        if (!log.reaches(peer.next)) {
            // The log was cut again while the snapshot was under way.
            feed(now, peer, false);
        }
        feedMore(now, peer);
    }

    private void advance(double now) {
        List<Member> members = log.members();
        long[] matches = new long[members.size()];
        for (int i = 0; i < matches.length; i++) {
            long id = members.get(i).id();
            ReplicaProgress peer = peers.get(id);
            matches[i] = id == self.id() ? queue.synced() : peer == null ? 0 : peer.match;
        }
        Arrays.sort(matches);
        long index = matches.length == 0 ? 0 : matches[matches.length - majority()];
        // An entry of an older term may be on most disks and yet be undone; one of this term may not.
        if (index > commit && log.termAt(index) == term) {
            boolean changed = log.membersIndex() > commit && log.membersIndex() <= index;
            commitTo(now, index);
            if (changed && !log.holds(self.id())) {
                stepDown(now, term, null);
                return;
            }
            if (changed) {
                // A removal makes the core weaker until the newcomer is in: the next tick would be late.
                changeMembers(now);
            }
        }
        confirm(now);
    }

    private void confirm(double now) {
        if (barriers.isEmpty()) {
            return;
        }
        long answered = answered();
        boolean unasked = false;
        for (Barrier barrier : List.copyOf(barriers)) {
            if (barrier.round() <= answered && barrier.index() <= commit) {
                barriers.remove(barrier);
                actions.barrierConfirmed(barrier.token());
            } else if (barrier.round() > round) {
                unasked = true;
            }
        }
        if (unasked && answered >= round) {
            ask(now);
        }
    }

    /** The latest round that a majority of the voters has answered. */
    private long answered() {
        return answered(log.members());
    }

    /** The latest round that a majority of a list has answered. */
    private long answered(List<Member> members) {
        long[] rounds = new long[members.size()];
        for (int i = 0; i < rounds.length; i++) {
            long id = members.get(i).id();
            ReplicaProgress peer = peers.get(id);
            rounds[i] = id == self.id() ? Long.MAX_VALUE : peer == null ? 0 : peer.round;
        }
        Arrays.sort(rounds);
        return rounds[rounds.length - (members.size() / 2 + 1)];
    }

    /**
     * Whether this one may do what only one may do. A majority has answered a question lately enough that none of it
     * gives its vote to another yet; counted from when the question was asked, and less than they wait, as clocks
     * differ in speed. Not in a term in which it asked another to take over.
     */
    public boolean hasLease(double now) {
        // A sole member has nobody to ask, and nobody else can be voted for.
        return running && role == RaftStatus.Role.LEADER && (now < leaseUntil || majority() == 1);
    }

    /**
     * How long ago the latest question was asked that a majority of the members has answered, ms; infinite where this
     * one does not lead. Unlike the time at which an answer was read, it can't be made to look recent by answers that
     * waited in a buffer while this process stood still.
     */
    public double sinceMajorityMs(double now) {
        if (!running || role != RaftStatus.Role.LEADER) {
            return Double.POSITIVE_INFINITY;
        }
        return majority() == 1 ? 0 : now - majorityAskedAt;
    }

    /** How long ago a follower heard of the leader that it names, ms; infinite where it names none. */
    public double sinceLeaderMs(double now) {
        return leader == null ? Double.POSITIVE_INFINITY : role == RaftStatus.Role.LEADER ? 0 : now - leaderHeard;
    }

    /** What this member can tell of its part at this moment. */
    public RaftMetrics metrics(double now) {
        Map<Long, Double> silentMs = new HashMap<>();
        if (role == RaftStatus.Role.LEADER) {
            silentMs.put(self.id(), 0.0);
            peers.values().forEach(peer -> silentMs.put(peer.member.id(), now - peer.heard));
        } else if (leader != null) {
            silentMs.put(leader.id(), now - leaderHeard);
        }
        return new RaftMetrics(commit, hasLease(now) ? leaseUntil - now : 0, silentMs);
    }

    private void extendLease() {
        long answered = answered();
        if (answered <= Math.max(0, round - ASKED)) {
            return;
        }
        majorityAskedAt = Math.max(majorityAskedAt, requestedAt[(int) (answered % ASKED)]);
        if (!handedOver) {
            leaseUntil = Math.max(leaseUntil, majorityAskedAt + LEASE_PART * timing.minElectionTimeoutMs());
        }
    }

    /** The own disk hangs: whoever answers, and has synced what this one could not, leads better. */
    private void handOver(double now) {
        ReplicaProgress best = heir(now, Math.max(commit, queue.synced() + 1));
        if (best != null) {
            handOverTo(now, best);
        }
    }

    /** Who answers, stays and has synced most, at least up to an index; null if nobody has. */
    private ReplicaProgress heir(double now, long least) {
        ReplicaProgress best = null;
        for (ReplicaProgress peer : peers.values()) {
            if (log.holds(peer.member.id())
                    && now - peer.heard <= timing.peerAliveMs()
                    && !leaves(now, peer)
                    && peer.match >= least
                    && (best == null || peer.match > best.match)) {
                best = peer;
            }
        }
        return best;
    }

    private void handOverTo(double now, ReplicaProgress heir) {
        handAt = now + HAND_EVERY;
        handedOver = true;
        leaseUntil = Double.NEGATIVE_INFINITY;
        actions.send(heir.member, new Message.TimeoutNowRequest(term));
    }

    // Leaving.

    private boolean isLeaving() {
        return leavingSince < Double.POSITIVE_INFINITY;
    }

    /** Whether a peer has said lately that it is about to end; one that has come back says so no more. */
    private boolean leaves(double now, ReplicaProgress peer) {
        return now - peer.leaves <= timing.peerAliveMs();
    }

    private void leaveOn(double now) {
        if (role == RaftStatus.Role.LEADER) {
            leaveLeading(now);
        } else if (log.isBare()) {
            release();
        } else if (leader != null && now >= leaveAt) {
            leaveAt = now + LEAVE_EVERY;
            actions.send(leader, new Message.LeaveRequest(self));
        }
    }

    private void leaveLeading(double now) {
        if (now >= handAt) {
            ReplicaProgress heir = heir(now, now - leavingSince <= HEIR_WAIT ? log.lastIndex() : commit);
            if (heir != null) {
                handOverTo(now, heir);
                return;
            }
        }
        if (heir(now, 0) == null && log.lastIndex() == commit && isHeldWithout(now, self.id())) {
            release();
        }
    }

    private void release() {
        if (isLeaving() && !released) {
            released = true;
            actions.released();
        }
    }

    private void takeLeave(double now, Member who) {
        if (role != RaftStatus.Role.LEADER || commit < firstOfTerm) {
            return;
        }
        ReplicaProgress peer = peers.get(who.id());
        if (peer != null) {
            peer.leaves = now;
            changeMembers(now);
        }
        if (isLeaving()) {
            // It may be the one that was to take over.
            handAt = Math.min(handAt, now);
        }
        boolean replaceable = log.holds(who.id()) && (hasLearner(now) || now - wonAt <= ALL_ASKED);
        if (log.membersIndex() <= commit && !replaceable && isHeldWithout(now, who.id())) {
            actions.send(who, new Message.LeaveResponse(term));
        }
    }

    private boolean hasLearner(double now) {
        return peers.values().stream()
                .anyMatch(peer -> isLearner(now, peer) && now - peer.heard <= timing.peerAliveMs());
    }

    /**
     * Whether a majority of the voters that stay without one has everything that is committed. Where those that stay
     * are no majority the core is being stopped as a whole, and nobody has to wait for it.
     */
    private boolean isHeldWithout(double now, long id) {
        int stay = 0;
        int hold = 0;
        for (Member member : log.members()) {
            boolean own = member.id() == self.id();
            ReplicaProgress peer = peers.get(member.id());
            if (member.id() != id && !(own ? isLeaving() : leaves(now, peer))) {
                stay++;
                hold += (own ? queue.synced() : peer.match) >= commit ? 1 : 0;
            }
        }
        return stay < majority() || hold >= stay / 2 + 1;
    }

    // Members come and go.

    private void changeMembers(double now) {
        if (commit < firstOfTerm || log.membersIndex() > commit || diskHangs(now) || isLeaving()) {
            return;
        }
        List<MembershipPlanner.Replica> voters = new ArrayList<>();
        for (Member member : log.members()) {
            voters.add(replica(now, member));
        }
        List<MembershipPlanner.Replica> learners = new ArrayList<>();
        for (ReplicaProgress peer : peers.values()) {
            if (isLearner(now, peer)) {
                learners.add(replica(now, peer.member));
            }
        }
        Optional<VoterChange> due = planner.next(voters, learners);
        if (due.isEmpty()) {
            // If it is due again later, answers of before say nothing of who is there then.
            dueChange = null;
        }
        if (due.isPresent() && isConfirmed(now, due.get())) {
            dueChange = null;
            append(now, Entry.Kind.MEMBERS, MemberListCodec.write(due.get().applied(log.members())));
        }
    }

    /**
     * Whether a majority of the voters after a change is there at this moment. While a core is even it needs more of
     * its voters than before or after, and who answered some time ago may be lost by now.
     */
    private boolean isConfirmed(double now, VoterChange change) {
        List<Member> next = change.applied(log.members());
        if (next.size() % 2 == 1) {
            return true;
        }
        if (!change.equals(dueChange)) {
            dueChange = change;
            dueRound = round + 1;
            ask(now);
        }
        return answered(next) >= dueRound;
    }

    private MembershipPlanner.Replica replica(double now, Member member) {
        if (member.id() == self.id()) {
            return new MembershipPlanner.Replica(member, 0, true, false);
        }
        ReplicaProgress peer = peers.get(member.id());
        return new MembershipPlanner.Replica(member, now - peer.heard, isCaughtUp(peer), leaves(now, peer));
    }

    /**
     * Whether a peer's disk has all that is committed, or had all when the latest question was asked or the one before
     * it, which it has answered: under load, what is committed now is newer than any answer.
     */
    private boolean isCaughtUp(ReplicaProgress peer) {
        boolean hadAll =
                peer.round > 0 && peer.round >= round - 1 && peer.match >= committedAt[(int) (peer.round % ASKED)];
        return hadAll || peer.match >= commit;
    }

    /** Whether a peer is no voter and has asked lately to become one. */
    private boolean isLearner(double now, ReplicaProgress peer) {
        return !log.holds(peer.member.id()) && now - peer.asked <= LOST && !leaves(now, peer);
    }
}
