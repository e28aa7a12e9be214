package sablehinge.controlplane.raft;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds the leader when no leader contacts this replica: a replica that is not a voter, or that has had no contact with
 * a leader for some time and may have been removed, sends join requests to members and known addresses.
 */
final class CoreDiscovery {

    /** Time between two join requests, ms. */
    static final double JOIN_INTERVAL_MS = 300;
    /** Maximum number of known addresses. */
    private static final int MAX_CONTACTS = 64;

    private final ReplicaState state;
    private final LeaderState leader;
    private final Set<String> contacts = new LinkedHashSet<>();
    private double nextJoinAt = Double.NEGATIVE_INFINITY;

    CoreDiscovery(ReplicaState state, LeaderState leader) {
        this.state = state;
        this.leader = leader;
    }

    /** Adds addresses of machines that may be members. */
    void addContacts(List<String> addresses) {
        for (String address : addresses) {
            if (contacts.size() < MAX_CONTACTS) {
                contacts.add(address);
            }
        }
    }

    /** Called when this replica starts to take part; a voter first waits for a leader to contact it. */
    void begin(double now) {
        nextJoinAt = state.isVoter() ? now + ReplicaState.LEADER_LOST_MS : now;
    }

    /**
     * Sends join requests if they are due.
     *
     * @param voter whether this replica was a voter when the tick began
     */
    void tick(double now, boolean voter) {
        boolean leaderUnknown = !voter || now - state.lastLeaderContactAt > ReplicaState.LEADER_LOST_MS;
        if (leaderUnknown && now >= nextJoinAt) {
            nextJoinAt = now + JOIN_INTERVAL_MS;
            requestJoin();
        }
    }

    private void requestJoin() {
        Message.JoinRequest request = new Message.JoinRequest(state.self, state.log.lastIndex());
        if (state.leader != null) {
            state.actions.send(state.leader, request);
            return;
        }
        Set<String> requested = new HashSet<>();
        requested.add(state.self.address());
        for (Member member : state.log.members()) {
            if (!state.isSelf(member) && requested.add(member.address())) {
                state.actions.send(member, request);
            }
        }
        for (String address : contacts) {
            if (requested.add(address)) {
                state.actions.send(new Member(0, address, ""), request);
            }
        }
    }

    /** A leader accepts the sender as a learner; any other replica answers with the leader that it knows. */
    void handleJoinRequest(double now, Message.JoinRequest request) {
        Member sender = request.self();
        if (state.isSelf(sender) || sender.id() == 0) {
            return;
        }
        if (state.isLeader()) {
            leader.handleJoinRequest(now, request);
        } else {
            state.actions.send(sender, new Message.LeaderHint(state.term, state.leader, state.log.members()));
        }
    }

    void handleLeaderHint(double now, Message.LeaderHint hint) {
        boolean hasLeader = state.isVoter() && now - state.lastLeaderContactAt < ReplicaState.LEADER_LOST_MS;
        if (state.isLeader() || hasLeader) {
            return;
        }
        hint.members().forEach(member -> addContacts(List.of(member.address())));
        if (hint.leader() != null && !state.isSelf(hint.leader())) {
            state.actions.send(hint.leader(), new Message.JoinRequest(state.self, state.log.lastIndex()));
        }
    }
}
