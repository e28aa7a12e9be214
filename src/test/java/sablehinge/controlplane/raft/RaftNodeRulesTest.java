package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One member among scripted peers: rules about what it may send and when, which random faults seldom exercise. */
class RaftNodeRulesTest implements RaftActions {

    private static final Member A = Member.founder("a:1", "ca");
    private static final Member B = Member.founder("b:1", "cb");
    private static final Member C = Member.founder("c:1", "cc");
    private static final Member D = Member.nonFounder(40, "d:1", "cd");
    private static final Member E = Member.nonFounder(50, "e:1", "ce");
    private static final byte[] EMPTY = {};

    private record Sent(Member to, Message message) {}

    private final RaftNode raft = new RaftNode(this, RaftConfig.defaults(), 1, 1);
    private final List<Sent> sent = new ArrayList<>();
    private final List<WriteBatch> batches = new ArrayList<>();
    private final List<Entry> applied = new ArrayList<>();
    private RaftStatus raftStatus;
    private double now = 1000;

    @Override
    public void send(Member to, Message message) {
        sent.add(new Sent(to, message));
    }

    @Override
    public void persist(WriteBatch batch) {
        batches.add(batch);
    }

    @Override
    public void apply(Entry entry) {
        applied.add(entry);
    }

    @Override
    public void restore(Snapshot snapshot) {}

    @Override
    public void onStatusChanged(RaftStatus status) {
        raftStatus = status;
    }

    @Override
    public void barrierConfirmed(long token) {}

    @Override
    public void barrierRejected(long token) {}

    private static Entry entry(long index, long term) {
        return new Entry(index, term, Entry.Kind.COMMAND, EMPTY);
    }

    private void start(long term, List<Member> members, Entry... entries) {
        raft.start(now, new PersistedState(A, term, 0, new Snapshot(0, 0, members, EMPTY), List.of(entries)), now);
    }

    private void persisted() {
        raft.persisted(now, batches.get(batches.size() - 1).number());
    }

    private void receive(Member member, Message message) {
        raft.handleMessage(now, member, message);
    }

    private <M extends Message> List<M> sent(Class<M> type) {
        return sent.stream()
                .map(Sent::message)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private <M extends Message> M last(Class<M> type) {
        List<M> all = sent(type);
        return all.get(all.size() - 1);
    }

    /** Makes the member leader by the vote of {@code voter}. */
    private void elect(Member voter) {
        now += 1100;
        raft.tick(now);
        long term = raftStatus.term() + 1;
        receive(voter, new Message.VoteResponse(term, true, true));
        assertEquals(RaftStatus.Role.CANDIDATE, raftStatus.role());
        persisted();
        receive(voter, new Message.VoteResponse(term, true, false));
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
    }

    private void acknowledge(Member member, long match) {
        receive(member, new Message.AppendResponse(raftStatus.term(), true, match, match, 1));
    }

    /** Acknowledges an index with the latest heartbeat round. */
    private void acknowledgeLatestRound(Member member, long match) {
        receive(
                member,
                new Message.AppendResponse(
                        raftStatus.term(),
                        true,
                        match,
                        match,
                        last(Message.AppendRequest.class).round()));
    }

    private long memberChanges() {
        return batches.stream()
                .flatMap(batch -> batch.append().stream())
                .filter(entry -> entry.kind() == Entry.Kind.MEMBERS)
                .count();
    }

    /**
     * A leader ends while it removes this member, which alone has received the entry: the other members have shorter
     * logs and cannot win an election without its vote.
     */
    @Test
    void memberRemovedByUncommittedListIsElectableUntilCommit() {
        start(1, List.of(A, B, C));
        receive(
                B,
                new Message.AppendRequest(
                        1,
                        0,
                        0,
                        List.of(new Entry(1, 1, Entry.Kind.MEMBERS, MemberListCodec.write(List.of(B, C)))),
                        0,
                        1));
        persisted();
        now += 1100;
        raft.tick(now);
        assertEquals(2, sent(Message.VoteRequest.class).size());
        receive(B, new Message.VoteResponse(2, true, true));
        assertEquals(RaftStatus.Role.OUTSIDER, raftStatus.role(), "its own vote does not count");
        receive(C, new Message.VoteResponse(2, true, true));
        persisted();
        receive(B, new Message.VoteResponse(2, true, false));
        receive(C, new Message.VoteResponse(2, true, false));
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
        persisted();
        acknowledge(B, 2);
        acknowledge(C, 2);
        raft.tick(now);
        assertEquals(RaftStatus.Role.OUTSIDER, raftStatus.role());
        now += 5000;
        sent.clear();
        raft.tick(now);
        assertEquals(List.of(), sent(Message.VoteRequest.class));
    }

    @Test
    void doesNotCommitEntryOfOlderTermByCounting() {
        start(3, List.of(A, B, C), entry(1, 2));
        elect(B);
        acknowledge(B, 1);
        assertEquals(List.of(), applied);
        acknowledge(B, 2);
        assertEquals(List.of(), applied, "its own copy is not synced yet");
        persisted();
        assertEquals(2, applied.size());
    }

    /** Rounds restart in each term, and one node may lead two terms (found with seed 364214). */
    @Test
    void requestOfOlderTermIsAnsweredWithRoundZero() {
        start(2, List.of(A, B, C));
        receive(B, new Message.AppendRequest(3, 0, 0, List.of(), 0, 1));
        persisted();
        receive(B, new Message.AppendRequest(2, 0, 0, List.of(), 0, 7));
        assertEquals(3, last(Message.AppendResponse.class).term());
        assertEquals(0, last(Message.AppendResponse.class).round());
    }

    @Test
    void sendsOneVotePerTermOnceSynced() {
        start(1, List.of(A, B, C));
        now += 500;
        receive(B, new Message.VoteRequest(2, 0, 0, false, false));
        assertEquals(List.of(), sent(Message.VoteResponse.class));
        assertEquals(B.id(), batches.get(0).votedFor());
        receive(C, new Message.VoteRequest(2, 0, 0, false, false));
        assertFalse(last(Message.VoteResponse.class).granted());
        persisted();
        assertTrue(last(Message.VoteResponse.class).granted());
        assertEquals(B, sent.get(sent.size() - 1).to());
    }

    /** An answer before the restart, of which the member has no record, may have given a leader a lease. */
    @Test
    void grantsNoVoteAfterRestartWhileALeaseMayBeValid() {
        start(1, List.of(A, B, C));
        for (int ms = 0; ms < 500; ms += 20) {
            receive(B, new Message.VoteRequest(2, 0, 0, true, false));
            receive(B, new Message.VoteRequest(2, 0, 0, false, false));
            raft.tick(now);
            now += 20;
        }
        assertTrue(sent(Message.VoteResponse.class).stream().noneMatch(Message.VoteResponse::granted));
        assertEquals(List.of(), batches);
        assertEquals(List.of(), sent(Message.VoteRequest.class));
        receive(B, new Message.VoteRequest(2, 0, 0, true, false));
        assertTrue(last(Message.VoteResponse.class).granted());
    }

    @Test
    void requestsVotesOnceOwnVoteIsSynced() {
        start(1, List.of(A, B, C));
        now += 1100;
        raft.tick(now);
        receive(B, new Message.VoteResponse(2, true, true));
        assertTrue(sent(Message.VoteRequest.class).stream().allMatch(Message.VoteRequest::preVote));
        // Its own vote does not count before it is synced either.
        receive(B, new Message.VoteResponse(2, true, false));
        assertEquals(RaftStatus.Role.CANDIDATE, raftStatus.role());
        persisted();
        assertFalse(last(Message.VoteRequest.class).preVote());
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
    }

    @Test
    void acknowledgesEntriesOnlyOnceTermIsSynced() {
        start(1, List.of(A, B, C), entry(1, 1));
        receive(B, new Message.AppendRequest(2, 1, 1, List.of(), 0, 1));
        assertTrue(last(Message.AppendResponse.class).success());
        assertEquals(0, last(Message.AppendResponse.class).matchIndex());
        persisted();
        assertEquals(1, last(Message.AppendResponse.class).matchIndex());
        receive(B, new Message.AppendRequest(2, 1, 1, List.of(entry(2, 2)), 0, 1));
        assertEquals(1, last(Message.AppendResponse.class).matchIndex());
        assertEquals(2, last(Message.AppendResponse.class).hint());
        persisted();
        assertEquals(2, last(Message.AppendResponse.class).matchIndex());
    }

    @Test
    void truncationRevertsMemberList() {
        start(1, List.of(A, B, C));
        receive(
                B,
                new Message.AppendRequest(
                        2,
                        0,
                        0,
                        List.of(new Entry(1, 2, Entry.Kind.MEMBERS, MemberListCodec.write(List.of(A, B)))),
                        0,
                        1));
        assertEquals(List.of(A, B), raftStatus.members());
        receive(C, new Message.AppendRequest(3, 0, 0, List.of(entry(1, 3)), 0, 1));
        assertEquals(List.of(A, B, C), raftStatus.members());
        assertEquals(1, batches.get(batches.size() - 1).truncateFrom());
    }

    @Test
    void newLeaderChangesMembersOneAtATimeAfterFirstCommitOfItsTerm() {
        start(1, List.of(A, B), entry(1, 1));
        elect(B);
        persisted();
        receive(D, new Message.JoinRequest(D, 1));
        receive(E, new Message.JoinRequest(E, 1));
        acknowledge(B, 0);
        acknowledge(D, 1);
        acknowledge(E, 1);
        raft.tick(now);
        assertEquals(0, memberChanges());
        acknowledge(B, 2);
        acknowledge(D, 2);
        acknowledge(E, 2);
        raft.tick(now);
        assertEquals(1, memberChanges());
        assertEquals(List.of(A, B, D), raftStatus.members());
        persisted();
        // B is unresponsive long enough to be replaced, but the addition of D is not committed.
        for (int i = 0; i < 200; i++) {
            now += 20;
            receive(D, new Message.AppendResponse(raftStatus.term(), true, 2, 3, 1));
            receive(E, new Message.JoinRequest(E, 2));
            acknowledge(E, 2);
            raft.tick(now);
        }
        assertEquals(1, memberChanges());
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
        acknowledge(D, 3);
        acknowledgeLatestRound(D, 3);
        raft.tick(now);
        acknowledgeLatestRound(D, 3);
        assertEquals(List.of(A, B, D), raftStatus.members(), "E does not have all committed entries on disk");
        acknowledge(E, 3);
        assertEquals(List.of(A, B, D), raftStatus.members(), "D may have failed since it answered");
        acknowledgeLatestRound(D, 3);
        assertEquals(List.of(A, D), raftStatus.members());
        persisted();
        acknowledgeLatestRound(E, 3);
        acknowledge(D, 4);
        // The learner is added as soon as the removal is committed, without a tick.
        assertEquals(List.of(A, D, E), raftStatus.members());
    }

    @Test
    void snapshotHasMembersAsOfItsLastEntry() {
        start(1, List.of(A, B, C));
        receive(
                B,
                new Message.AppendRequest(
                        2,
                        0,
                        0,
                        List.of(entry(1, 2), new Entry(2, 2, Entry.Kind.MEMBERS, MemberListCodec.write(List.of(A, B)))),
                        1,
                        1));
        assertEquals(1, applied.size());
        raft.compact(1, EMPTY);
        Snapshot snapshot = batches.get(batches.size() - 1).snapshot();
        assertEquals(List.of(A, B, C), snapshot.members());
        assertEquals(1, snapshot.index());
        assertEquals(List.of(A, B), raftStatus.members());
        receive(C, new Message.AppendRequest(3, 1, 2, List.of(entry(2, 3)), 0, 1));
        assertEquals(List.of(A, B, C), raftStatus.members());
    }

    @Test
    void removesNoVoterWhileTheOthersAreUnresponsive() {
        start(1, List.of(A, B, C));
        elect(B);
        persisted();
        receive(D, new Message.JoinRequest(D, 0));
        acknowledge(B, 1);
        acknowledge(D, 1);
        // C counts as lost after 1500 ms, when B's last answer is 700 ms old: recent enough to lead, not to remove C.
        for (int ms = 20; ms <= 1660; ms += 20) {
            now += 20;
            receive(D, new Message.JoinRequest(D, 0));
            acknowledge(D, 1);
            if (ms % 400 == 0 && ms <= 800) {
                acknowledge(B, 1);
            }
            raft.tick(now);
        }
        assertEquals(0, memberChanges());
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
        acknowledge(B, 1);
        raft.tick(now);
        assertEquals(0, memberChanges(), "B may have failed since it answered");
        acknowledgeLatestRound(B, 1);
        assertEquals(List.of(A, B), raftStatus.members());
    }

    /** A join request would make it a voter again. */
    @Test
    void leavingMemberSendsNoJoinRequestAfterRemoval() {
        start(1, List.of(A, B, C));
        receive(
                B,
                new Message.AppendRequest(
                        2,
                        0,
                        0,
                        List.of(new Entry(1, 2, Entry.Kind.MEMBERS, MemberListCodec.write(List.of(B, C, D)))),
                        0,
                        1));
        assertEquals(RaftStatus.Role.OUTSIDER, raftStatus.role());
        raft.leave(now);
        for (int i = 0; i < 100; i++) {
            now += 20;
            raft.tick(now);
        }
        assertEquals(List.of(), sent(Message.JoinRequest.class));
        assertFalse(sent(Message.LeaveRequest.class).isEmpty());
    }

    @Test
    void leavingLeaderRejectsProposals() {
        start(1, List.of(A, B, C));
        elect(B);
        persisted();
        acknowledge(B, 1);
        assertTrue(raft.propose(now, EMPTY) > 0);
        raft.leave(now);
        assertEquals(0, raft.propose(now, EMPTY));
    }

    /** The leader first replicates its uncommitted entries; if that fails, it chooses the most up-to-date peer. */
    @Test
    void leavingLeaderTransfersLeadershipToPeerWithCompleteLog() {
        start(1, List.of(A, B, C));
        elect(B);
        persisted();
        acknowledge(B, 1);
        raft.propose(now, EMPTY);
        raft.leave(now);
        assertEquals(List.of(), sent(Message.TimeoutNowRequest.class));
        acknowledge(C, 2);
        now += 20;
        raft.tick(now);
        assertEquals(1, sent(Message.TimeoutNowRequest.class).size());
        assertEquals(C, sent.get(sent.size() - 1).to());
    }

    @Test
    void outsiderDoesNotDeposeLeader() {
        start(1, List.of(A, B, C));
        elect(B);
        persisted();
        acknowledge(B, 1);
        long term = raftStatus.term();
        receive(D, new Message.VoteRequest(term + 5, 9, 9, false, true));
        receive(D, new Message.VoteResponse(term + 5, false, false));
        receive(D, new Message.AppendResponse(term + 5, false, 0, 0, 0));
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
        assertEquals(term, raftStatus.term());
    }

    @Test
    void leaderStartsElectionBeyondLaterTermOfLearner() {
        start(1, List.of(A, B, C));
        elect(B);
        persisted();
        acknowledge(B, 1);
        receive(D, new Message.JoinRequest(D, 7));
        receive(D, new Message.AppendResponse(9, false, 0, 0, 0));
        assertEquals(10, raftStatus.term());
        persisted();
        assertTrue(last(Message.VoteRequest.class).leadershipTransfer());
        receive(B, new Message.VoteResponse(10, true, false));
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
    }

    @Test
    void limitsEntriesAndBytesPerMessage() {
        List<Entry> entries = new ArrayList<>();
        for (int i = 1; i <= 200; i++) {
            entries.add(new Entry(i, 1, Entry.Kind.COMMAND, new byte[i == 100 ? 1 << 20 : 10]));
        }
        start(1, List.of(A, B, C), entries.toArray(Entry[]::new));
        elect(B);
        persisted();
        long match = 0;
        receive(B, new Message.AppendResponse(raftStatus.term(), false, 0, 0, 1));
        while (match < 201) {
            List<Entry> received = last(Message.AppendRequest.class).entries();
            assertTrue(!received.isEmpty() && received.size() <= 64);
            assertTrue(received.size() == 1
                    || received.stream().mapToInt(entry -> entry.data().length).sum() <= 256 << 10);
            match = received.get(received.size() - 1).index();
            acknowledge(B, match);
        }
        assertEquals(201, applied.size());
    }

    private void persistedUpTo(long number) {
        raft.persisted(now, number);
    }

    private static Entry largeEntry(long index) {
        return new Entry(index, 2, Entry.Kind.COMMAND, new byte[1 << 20]);
    }

    /** Entries that arrive while the disk is stalled are combined into one batch, in their order. */
    @Test
    void stalledDiskGetsFewBatchesAndTheRestInOne() {
        start(1, List.of(A, B, C));
        for (int i = 1; i <= 100; i++) {
            receive(B, new Message.AppendRequest(2, i - 1, i == 1 ? 0 : 2, List.of(entry(i, 2)), 0, i));
        }
        receive(C, new Message.AppendRequest(3, 97, 2, List.of(entry(98, 3)), 0, 1));
        assertEquals(8, batches.size());
        for (int i = 0; i < batches.size(); i++) {
            assertEquals(i + 1, batches.get(i).number());
            persistedUpTo(i + 1);
        }
        assertEquals(9, batches.size());
        WriteBatch rest = batches.get(8);
        assertEquals(98, rest.truncateFrom());
        assertEquals(9, rest.append().get(0).index());
        assertEquals(entry(98, 3).term(), rest.append().get(89).term());
        assertEquals(90, rest.append().size());
        assertEquals(98, last(Message.AppendResponse.class).matchIndex());
    }

    @Test
    void voteWaitsForBatchThatContainsIt() {
        start(1, List.of(A, B, C));
        for (int i = 1; i <= 9; i++) {
            receive(B, new Message.AppendRequest(2, i - 1, i == 1 ? 0 : 2, List.of(entry(i, 2)), 0, i));
        }
        now += 600;
        receive(C, new Message.VoteRequest(3, 9, 2, false, false));
        assertEquals(8, batches.size());
        persistedUpTo(8);
        assertEquals(List.of(), sent(Message.VoteResponse.class));
        assertEquals(C.id(), batches.get(8).votedFor());
        persistedUpTo(9);
        assertTrue(last(Message.VoteResponse.class).granted());
    }

    /** Entries that a snapshot replaces before they were passed to the disk are not written. */
    @Test
    void batchWithSnapshotContainsOnlyLaterEntries() {
        start(1, List.of(A, B, C));
        for (int i = 1; i <= 10; i++) {
            receive(B, new Message.AppendRequest(2, i - 1, i == 1 ? 0 : 2, List.of(entry(i, 2)), i, i));
        }
        raft.compact(10, EMPTY);
        receive(B, new Message.InstallSnapshotRequest(2, new Snapshot(20, 2, List.of(A, B, C), EMPTY), 11));
        receive(B, new Message.AppendRequest(2, 20, 2, List.of(entry(21, 2)), 20, 12));
        assertEquals(8, batches.size());
        persistedUpTo(1);
        assertEquals(20, batches.get(8).snapshot().index());
        assertEquals(
                List.of(21L), batches.get(8).append().stream().map(Entry::index).toList());
    }

    @Test
    void followerWithStalledDiskLimitsPendingEntries() {
        start(1, List.of(A, B, C));
        int accepted = 0;
        for (int i = 1; i <= 12; i++) {
            receive(B, new Message.AppendRequest(2, i - 1, i == 1 ? 0 : 2, List.of(largeEntry(i)), 0, i));
            if (!last(Message.AppendResponse.class).success()) {
                break;
            }
            accepted++;
        }
        assertEquals(9, accepted);
        assertEquals(9, last(Message.AppendResponse.class).hint(), "the index from which entries are to be sent again");
        // The follower still advances its commit index and answers heartbeats.
        receive(B, new Message.AppendRequest(2, 9, 2, List.of(largeEntry(10)), 4, 20));
        assertEquals(4, applied.size());
        receive(B, new Message.AppendRequest(2, 9, 2, List.of(), 4, 21));
        assertTrue(last(Message.AppendResponse.class).success());
        receive(B, new Message.InstallSnapshotRequest(2, new Snapshot(20, 2, List.of(A, B, C), EMPTY), 22));
        assertFalse(last(Message.AppendResponse.class).success());
        assertEquals(4, applied.size());
        persisted();
        assertEquals(8, last(Message.AppendResponse.class).matchIndex());
        while (last(Message.AppendResponse.class).matchIndex() < 9) {
            persisted();
        }
        receive(B, new Message.AppendRequest(2, 9, 2, List.of(largeEntry(10)), 9, 23));
        assertTrue(last(Message.AppendResponse.class).success());
    }

    @Test
    void memberWithStalledDiskNeitherStartsElectionNorGrantsPreVote() {
        start(1, List.of(A, B, C), entry(1, 1));
        receive(B, new Message.AppendRequest(2, 1, 1, List.of(entry(2, 2)), 0, 1));
        now += 1100;
        receive(C, new Message.VoteRequest(3, 2, 2, true, false));
        assertFalse(last(Message.VoteResponse.class).granted());
        for (int i = 0; i < 100; i++) {
            now += 20;
            raft.tick(now);
        }
        assertEquals(List.of(), sent(Message.VoteRequest.class));
        persisted();
        receive(C, new Message.VoteRequest(3, 2, 2, true, false));
        assertTrue(last(Message.VoteResponse.class).granted());
        now += 1100;
        raft.tick(now);
        assertTrue(last(Message.VoteRequest.class).preVote());
    }

    @Test
    void leaderWithStalledDiskTransfersLeadershipToPeerWithMoreSyncedEntries() {
        start(1, List.of(A, B, C), entry(1, 1));
        elect(B);
        for (int i = 0; i < 60; i++) {
            now += 20;
            acknowledge(B, 1);
            acknowledge(C, 1);
            raft.tick(now);
        }
        assertEquals(List.of(), sent(Message.TimeoutNowRequest.class), "no peer has more entries on disk");
        acknowledge(C, 2);
        now += 20;
        raft.tick(now);
        assertEquals(1, sent(Message.TimeoutNowRequest.class).size());
        assertEquals(C, sent.get(sent.size() - 1).to());
    }
}
