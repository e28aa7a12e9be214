package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One member among scripted peers: what it may say when, which faults at random seldom show. */
class RaftNodeRulesTest implements RaftActions {

    private static final Member A = Member.founder("a:1", "ca");
    private static final Member B = Member.founder("b:1", "cb");
    private static final Member C = Member.founder("c:1", "cc");
    private static final Member D = Member.nonFounder(40, "d:1", "cd");
    private static final Member E = Member.nonFounder(50, "e:1", "ce");
    private static final byte[] NONE = {};

    private record Sent(Member to, Message message) {}

    private final RaftNode raft = new RaftNode(this, RaftConfig.defaults(), 1, 1);
    private final List<Sent> sent = new ArrayList<>();
    private final List<WriteBatch> changes = new ArrayList<>();
    private final List<Entry> applied = new ArrayList<>();
    private RaftStatus raftStatus;
    private double now = 1000;

    @Override
    public void send(Member to, Message message) {
        sent.add(new Sent(to, message));
    }

    @Override
    public void persist(WriteBatch change) {
        changes.add(change);
    }

    @Override
    public void apply(Entry entry) {
        applied.add(entry);
    }

    @Override
    public void restore(Snapshot snapshot) {}

    @Override
    public void onStatusChanged(RaftStatus latest) {
        raftStatus = latest;
    }

    @Override
    public void barrierConfirmed(long token) {}

    @Override
    public void barrierRejected(long token) {}

    private static Entry entry(long index, long term) {
        return new Entry(index, term, Entry.Kind.COMMAND, NONE);
    }

    private void start(long term, List<Member> members, Entry... entries) {
        raft.start(now, new PersistedState(A, term, 0, new Snapshot(0, 0, members, NONE), List.of(entries)), now);
    }

    private void persisted() {
        raft.persisted(now, changes.get(changes.size() - 1).number());
    }

    private void from(Member member, Message message) {
        raft.handleMessage(now, member, message);
    }

    private <M extends Message> List<M> sent(Class<M> kind) {
        return sent.stream()
                .map(Sent::message)
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    private <M extends Message> M last(Class<M> kind) {
        List<M> all = sent(kind);
        return all.get(all.size() - 1);
    }

    /** Makes it leader by the vote of {@code voter}. */
    private void elect(Member voter) {
        now += 1100;
        raft.tick(now);
        long term = raftStatus.term() + 1;
        from(voter, new Message.VoteResponse(term, true, true));
        assertEquals(RaftStatus.Role.CANDIDATE, raftStatus.role());
        persisted();
        from(voter, new Message.VoteResponse(term, true, false));
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
    }

    private void answer(Member member, long match) {
        from(member, new Message.AppendResponse(raftStatus.term(), true, match, match, 1));
    }

    /** The same in answer to the latest question. */
    private void answerLatest(Member member, long match) {
        from(
                member,
                new Message.AppendResponse(
                        raftStatus.term(),
                        true,
                        match,
                        match,
                        last(Message.AppendRequest.class).round()));
    }

    private long memberChanges() {
        return changes.stream()
                .flatMap(change -> change.append().stream())
                .filter(one -> one.kind() == Entry.Kind.MEMBERS)
                .count();
    }

    /**
     * A leader ended while it removed this one, which alone got the entry: the others have shorter logs and can't win
     * without its vote.
     */
    @Test
    void whoIsLeftOutByAListThatIsNotCommittedStandsAndEndsWithItsCommit() {
        start(1, List.of(A, B, C));
        from(
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
        from(B, new Message.VoteResponse(2, true, true));
        assertEquals(RaftStatus.Role.OUTSIDER, raftStatus.role(), "its own vote counts for nothing");
        from(C, new Message.VoteResponse(2, true, true));
        persisted();
        from(B, new Message.VoteResponse(2, true, false));
        from(C, new Message.VoteResponse(2, true, false));
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
        persisted();
        answer(B, 2);
        answer(C, 2);
        raft.tick(now);
        assertEquals(RaftStatus.Role.OUTSIDER, raftStatus.role());
        now += 5000;
        sent.clear();
        raft.tick(now);
        assertEquals(List.of(), sent(Message.VoteRequest.class));
    }

    @Test
    void anEntryOfAnOlderTermIsNotCommittedByCounting() {
        start(3, List.of(A, B, C), entry(1, 2));
        elect(B);
        answer(B, 1);
        assertEquals(List.of(), applied);
        answer(B, 2);
        assertEquals(List.of(), applied, "its own copy is not synced yet");
        persisted();
        assertEquals(2, applied.size());
    }

    /** The checker found it (seed 364214): rounds are counted anew in each term; one node may lead two. */
    @Test
    void whatAnOlderTermAskedIsNoAnswerToARoundOfALaterOne() {
        start(2, List.of(A, B, C));
        from(B, new Message.AppendRequest(3, 0, 0, List.of(), 0, 1));
        persisted();
        from(B, new Message.AppendRequest(2, 0, 0, List.of(), 0, 7));
        assertEquals(3, last(Message.AppendResponse.class).term());
        assertEquals(0, last(Message.AppendResponse.class).round());
    }

    @Test
    void aVoteLeavesWhenItIsSyncedAndOnlyOneATerm() {
        start(1, List.of(A, B, C));
        now += 500;
        from(B, new Message.VoteRequest(2, 0, 0, false, false));
        assertEquals(List.of(), sent(Message.VoteResponse.class));
        assertEquals(B.id(), changes.get(0).votedFor());
        from(C, new Message.VoteRequest(2, 0, 0, false, false));
        assertFalse(last(Message.VoteResponse.class).granted());
        persisted();
        assertTrue(last(Message.VoteResponse.class).granted());
        assertEquals(B, sent.get(sent.size() - 1).to());
    }

    /** Its last answer, of which it knows no more, may have given a leader a lease. */
    @Test
    void whoHasStartedAgainGivesNoVoteWhileALeaseMayHold() {
        start(1, List.of(A, B, C));
        for (int ms = 0; ms < 500; ms += 20) {
            from(B, new Message.VoteRequest(2, 0, 0, true, false));
            from(B, new Message.VoteRequest(2, 0, 0, false, false));
            raft.tick(now);
            now += 20;
        }
        assertTrue(sent(Message.VoteResponse.class).stream().noneMatch(Message.VoteResponse::granted));
        assertEquals(List.of(), changes);
        assertEquals(List.of(), sent(Message.VoteRequest.class));
        from(B, new Message.VoteRequest(2, 0, 0, true, false));
        assertTrue(last(Message.VoteResponse.class).granted());
    }

    @Test
    void itAsksForVotesWhenItsOwnIsSynced() {
        start(1, List.of(A, B, C));
        now += 1100;
        raft.tick(now);
        from(B, new Message.VoteResponse(2, true, true));
        assertTrue(sent(Message.VoteRequest.class).stream().allMatch(Message.VoteRequest::preVote));
        // Its own vote counts no sooner either.
        from(B, new Message.VoteResponse(2, true, false));
        assertEquals(RaftStatus.Role.CANDIDATE, raftStatus.role());
        persisted();
        assertFalse(last(Message.VoteRequest.class).preVote());
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
    }

    @Test
    void entriesCountForATermThatTheDiskKnows() {
        start(1, List.of(A, B, C), entry(1, 1));
        from(B, new Message.AppendRequest(2, 1, 1, List.of(), 0, 1));
        assertTrue(last(Message.AppendResponse.class).success());
        assertEquals(0, last(Message.AppendResponse.class).matchIndex());
        persisted();
        assertEquals(1, last(Message.AppendResponse.class).matchIndex());
        from(B, new Message.AppendRequest(2, 1, 1, List.of(entry(2, 2)), 0, 1));
        assertEquals(1, last(Message.AppendResponse.class).matchIndex());
        assertEquals(2, last(Message.AppendResponse.class).hint());
        persisted();
        assertEquals(2, last(Message.AppendResponse.class).matchIndex());
    }

    @Test
    void membersThatAreRolledBackCountNoMore() {
        start(1, List.of(A, B, C));
        from(
                B,
                new Message.AppendRequest(
                        2,
                        0,
                        0,
                        List.of(new Entry(1, 2, Entry.Kind.MEMBERS, MemberListCodec.write(List.of(A, B)))),
                        0,
                        1));
        assertEquals(List.of(A, B), raftStatus.members());
        from(C, new Message.AppendRequest(3, 0, 0, List.of(entry(1, 3)), 0, 1));
        assertEquals(List.of(A, B, C), raftStatus.members());
        assertEquals(1, changes.get(changes.size() - 1).truncateFrom());
    }

    @Test
    void aNewLeaderChangesNoMembersBeforeACommitOfItsTermAndOneAtATime() {
        start(1, List.of(A, B), entry(1, 1));
        elect(B);
        persisted();
        from(D, new Message.JoinRequest(D, 1));
        from(E, new Message.JoinRequest(E, 1));
        answer(B, 0);
        answer(D, 1);
        answer(E, 1);
        raft.tick(now);
        assertEquals(0, memberChanges());
        answer(B, 2);
        answer(D, 2);
        answer(E, 2);
        raft.tick(now);
        assertEquals(1, memberChanges());
        assertEquals(List.of(A, B, D), raftStatus.members());
        persisted();
        // B is unresponsive long enough to be replaced, but D's coming in has not been committed.
        for (int i = 0; i < 200; i++) {
            now += 20;
            from(D, new Message.AppendResponse(raftStatus.term(), true, 2, 3, 1));
            from(E, new Message.JoinRequest(E, 2));
            answer(E, 2);
            raft.tick(now);
        }
        assertEquals(1, memberChanges());
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
        answer(D, 3);
        answerLatest(D, 3);
        raft.tick(now);
        answerLatest(D, 3);
        assertEquals(List.of(A, B, D), raftStatus.members(), "E's disk has not all that is committed");
        answer(E, 3);
        assertEquals(List.of(A, B, D), raftStatus.members(), "D may have gone since it answered");
        answerLatest(D, 3);
        assertEquals(List.of(A, D), raftStatus.members());
        persisted();
        answerLatest(E, 3);
        answer(D, 4);
        // Without a tick: it lets the newcomer in as soon as the removal is committed.
        assertEquals(List.of(A, D, E), raftStatus.members());
    }

    @Test
    void aSnapshotHoldsTheMembersOfItsEntryNotLaterOnes() {
        start(1, List.of(A, B, C));
        from(
                B,
                new Message.AppendRequest(
                        2,
                        0,
                        0,
                        List.of(entry(1, 2), new Entry(2, 2, Entry.Kind.MEMBERS, MemberListCodec.write(List.of(A, B)))),
                        1,
                        1));
        assertEquals(1, applied.size());
        raft.compact(1, NONE);
        Snapshot snapshot = changes.get(changes.size() - 1).snapshot();
        assertEquals(List.of(A, B, C), snapshot.members());
        assertEquals(1, snapshot.index());
        assertEquals(List.of(A, B), raftStatus.members());
        from(C, new Message.AppendRequest(3, 1, 2, List.of(entry(2, 3)), 0, 1));
        assertEquals(List.of(A, B, C), raftStatus.members());
    }

    @Test
    void nobodyIsRemovedWhileTheRestIsNotHeard() {
        start(1, List.of(A, B, C));
        elect(B);
        persisted();
        from(D, new Message.JoinRequest(D, 0));
        answer(B, 1);
        answer(D, 1);
        // C counts as lost after 1500 ms, when B's last answer is 700 ms old: enough to lead, not to remove.
        for (int ms = 20; ms <= 1660; ms += 20) {
            now += 20;
            from(D, new Message.JoinRequest(D, 0));
            answer(D, 1);
            if (ms % 400 == 0 && ms <= 800) {
                answer(B, 1);
            }
            raft.tick(now);
        }
        assertEquals(0, memberChanges());
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
        answer(B, 1);
        raft.tick(now);
        assertEquals(0, memberChanges(), "B may have gone since it answered");
        answerLatest(B, 1);
        assertEquals(List.of(A, B), raftStatus.members());
    }

    /** As an outsider it would be given the place that it has just left. */
    @Test
    void whoLeavesAndIsNoVoterAnyMoreDoesNotAskToBeLetIn() {
        start(1, List.of(A, B, C));
        from(
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
    void aLeaderThatLeavesTakesNoProposals() {
        start(1, List.of(A, B, C));
        elect(B);
        persisted();
        answer(B, 1);
        assertTrue(raft.propose(now, NONE) > 0);
        raft.leave(now);
        assertEquals(0, raft.propose(now, NONE));
    }

    /** What it has beyond them it gives to others first; if they do not take it, the best of them leads. */
    @Test
    void aLeaderThatLeavesHandsOverToWhoHasAllOfItsLog() {
        start(1, List.of(A, B, C));
        elect(B);
        persisted();
        answer(B, 1);
        raft.propose(now, NONE);
        raft.leave(now);
        assertEquals(List.of(), sent(Message.TimeoutNowRequest.class));
        answer(C, 2);
        now += 20;
        raft.tick(now);
        assertEquals(1, sent(Message.TimeoutNowRequest.class).size());
        assertEquals(C, sent.get(sent.size() - 1).to());
    }

    @Test
    void aStrangerDeposesNobody() {
        start(1, List.of(A, B, C));
        elect(B);
        persisted();
        answer(B, 1);
        long term = raftStatus.term();
        from(D, new Message.VoteRequest(term + 5, 9, 9, false, true));
        from(D, new Message.VoteResponse(term + 5, false, false));
        from(D, new Message.AppendResponse(term + 5, false, 0, 0, 0));
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
        assertEquals(term, raftStatus.term());
    }

    @Test
    void aNewcomerThatKnowsALaterTermIsFollowedByAnElectionOfTheSameLeader() {
        start(1, List.of(A, B, C));
        elect(B);
        persisted();
        answer(B, 1);
        from(D, new Message.JoinRequest(D, 7));
        from(D, new Message.AppendResponse(9, false, 0, 0, 0));
        assertEquals(10, raftStatus.term());
        persisted();
        assertTrue(last(Message.VoteRequest.class).leadershipTransfer());
        from(B, new Message.VoteResponse(10, true, false));
        assertEquals(RaftStatus.Role.LEADER, raftStatus.role());
    }

    @Test
    void whatIsSentIsBounded() {
        List<Entry> entries = new ArrayList<>();
        for (int i = 1; i <= 200; i++) {
            entries.add(new Entry(i, 1, Entry.Kind.COMMAND, new byte[i == 100 ? 1 << 20 : 10]));
        }
        start(1, List.of(A, B, C), entries.toArray(Entry[]::new));
        elect(B);
        persisted();
        long match = 0;
        from(B, new Message.AppendResponse(raftStatus.term(), false, 0, 0, 1));
        while (match < 201) {
            List<Entry> got = last(Message.AppendRequest.class).entries();
            assertTrue(!got.isEmpty() && got.size() <= 64);
            assertTrue(got.size() == 1
                    || got.stream().mapToInt(one -> one.data().length).sum() <= 256 << 10);
            match = got.get(got.size() - 1).index();
            answer(B, match);
        }
        assertEquals(201, applied.size());
    }

    private void persistedOnly(long number) {
        raft.persisted(now, number);
    }

    private static Entry large(long index) {
        return new Entry(index, 2, Entry.Kind.COMMAND, new byte[1 << 20]);
    }

    /** What comes while the disk takes nothing is given to it as one change, in the order that it came. */
    @Test
    void aDiskThatHangsIsGivenFewChangesAndTheRestInOne() {
        start(1, List.of(A, B, C));
        for (int i = 1; i <= 100; i++) {
            from(B, new Message.AppendRequest(2, i - 1, i == 1 ? 0 : 2, List.of(entry(i, 2)), 0, i));
        }
        from(C, new Message.AppendRequest(3, 97, 2, List.of(entry(98, 3)), 0, 1));
        assertEquals(8, changes.size());
        for (int i = 0; i < changes.size(); i++) {
            assertEquals(i + 1, changes.get(i).number());
            persistedOnly(i + 1);
        }
        assertEquals(9, changes.size());
        WriteBatch rest = changes.get(8);
        assertEquals(98, rest.truncateFrom());
        assertEquals(9, rest.append().get(0).index());
        assertEquals(entry(98, 3).term(), rest.append().get(89).term());
        assertEquals(90, rest.append().size());
        assertEquals(98, last(Message.AppendResponse.class).matchIndex());
    }

    @Test
    void aVoteThatIsNotYetGivenToTheDiskWaitsForTheChangeItIsIn() {
        start(1, List.of(A, B, C));
        for (int i = 1; i <= 9; i++) {
            from(B, new Message.AppendRequest(2, i - 1, i == 1 ? 0 : 2, List.of(entry(i, 2)), 0, i));
        }
        now += 600;
        from(C, new Message.VoteRequest(3, 9, 2, false, false));
        assertEquals(8, changes.size());
        persistedOnly(8);
        assertEquals(List.of(), sent(Message.VoteResponse.class));
        assertEquals(C.id(), changes.get(8).votedFor());
        persistedOnly(9);
        assertTrue(last(Message.VoteResponse.class).granted());
    }

    /** Entries that a snapshot takes the place of before the disk had them are not given to it. */
    @Test
    void aChangeThatGathersASnapshotHoldsOnlyWhatFollowsIt() {
        start(1, List.of(A, B, C));
        for (int i = 1; i <= 10; i++) {
            from(B, new Message.AppendRequest(2, i - 1, i == 1 ? 0 : 2, List.of(entry(i, 2)), i, i));
        }
        raft.compact(10, NONE);
        from(B, new Message.InstallSnapshotRequest(2, new Snapshot(20, 2, List.of(A, B, C), NONE), 11));
        from(B, new Message.AppendRequest(2, 20, 2, List.of(entry(21, 2)), 20, 12));
        assertEquals(8, changes.size());
        persistedOnly(1);
        assertEquals(20, changes.get(8).snapshot().index());
        assertEquals(
                List.of(21L), changes.get(8).append().stream().map(Entry::index).toList());
    }

    @Test
    void aFollowerWhoseDiskHangsTakesNoMoreThanABound() {
        start(1, List.of(A, B, C));
        int taken = 0;
        for (int i = 1; i <= 12; i++) {
            from(B, new Message.AppendRequest(2, i - 1, i == 1 ? 0 : 2, List.of(large(i)), 0, i));
            if (!last(Message.AppendResponse.class).success()) {
                break;
            }
            taken++;
        }
        assertEquals(9, taken);
        assertEquals(9, last(Message.AppendResponse.class).hint(), "from where it wants them again");
        // What is committed is known as such all the same, and a heartbeat is answered.
        from(B, new Message.AppendRequest(2, 9, 2, List.of(large(10)), 4, 20));
        assertEquals(4, applied.size());
        from(B, new Message.AppendRequest(2, 9, 2, List.of(), 4, 21));
        assertTrue(last(Message.AppendResponse.class).success());
        from(B, new Message.InstallSnapshotRequest(2, new Snapshot(20, 2, List.of(A, B, C), NONE), 22));
        assertFalse(last(Message.AppendResponse.class).success());
        assertEquals(4, applied.size());
        persisted();
        assertEquals(8, last(Message.AppendResponse.class).matchIndex());
        while (last(Message.AppendResponse.class).matchIndex() < 9) {
            persisted();
        }
        from(B, new Message.AppendRequest(2, 9, 2, List.of(large(10)), 9, 23));
        assertTrue(last(Message.AppendResponse.class).success());
    }

    @Test
    void whoseDiskHangsNeitherStandsNorPromisesAVote() {
        start(1, List.of(A, B, C), entry(1, 1));
        from(B, new Message.AppendRequest(2, 1, 1, List.of(entry(2, 2)), 0, 1));
        now += 1100;
        from(C, new Message.VoteRequest(3, 2, 2, true, false));
        assertFalse(last(Message.VoteResponse.class).granted());
        for (int i = 0; i < 100; i++) {
            now += 20;
            raft.tick(now);
        }
        assertEquals(List.of(), sent(Message.VoteRequest.class));
        persisted();
        from(C, new Message.VoteRequest(3, 2, 2, true, false));
        assertTrue(last(Message.VoteResponse.class).granted());
        now += 1100;
        raft.tick(now);
        assertTrue(last(Message.VoteRequest.class).preVote());
    }

    @Test
    void aLeaderWhoseDiskHangsHandsOverToWhoHasSyncedMore() {
        start(1, List.of(A, B, C), entry(1, 1));
        elect(B);
        for (int i = 0; i < 60; i++) {
            now += 20;
            answer(B, 1);
            answer(C, 1);
            raft.tick(now);
        }
        assertEquals(List.of(), sent(Message.TimeoutNowRequest.class), "none is better off");
        answer(C, 2);
        now += 20;
        raft.tick(now);
        assertEquals(1, sent(Message.TimeoutNowRequest.class).size());
        assertEquals(C, sent.get(sent.size() - 1).to());
    }
}
