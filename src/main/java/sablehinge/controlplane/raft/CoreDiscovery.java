package sablehinge.controlplane.raft;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * How a replica finds the leader where none finds it: one that is no voter, or has not heard of a leader for long and
 * may have been removed, asks members and known addresses to be let in.
 */
final class CoreDiscovery {

    /** Between two requests to join, ms. */
    static final double JOIN_INTERVAL_MS = 300;
    /** Addresses that are remembered. */
    private static final int MAX_CONTACTS = 64;

    private final ReplicaState state;
    private final LeaderState leader;
    private final Set<String> contacts = new LinkedHashSet<>();
    private double nextJoinAt = Double.NEGATIVE_INFINITY;

    CoreDiscovery(ReplicaState state, LeaderState leader) {
        this.state = state;
        this.leader = leader;
    }

    /** Addresses of machines that may be members. */
    void addContacts(List<String> addresses) {
        for (String address : addresses) {
            if (contacts.size() < MAX_CONTACTS) {
                contacts.add(address);
            }
        }
    }

    /** Begins to take part; a voter gives a leader the time to reach it first. */
    void begin(double now) {
        nextJoinAt = state.isVoter() ? now + ReplicaState.LEADER_LOST_MS : now;
    }

    /**
     * Asks to join if that is due.
     *
     * @param voter whether this replica was a voter when the tick began
     */
    void tick(double now, boolean voter) {
        boolean lost = !voter || now - state.leaderHeardAt > ReplicaState.LEADER_LOST_MS;
        if (lost && now >= nextJoinAt) {
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

    /** A leader takes the sender as a learner; any other replica names the leader that it knows. */
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
        boolean led = state.isVoter() && now - state.leaderHeardAt < ReplicaState.LEADER_LOST_MS;
        if (state.isLeader() || led) {
            return;
        }
        hint.members().forEach(member -> addContacts(List.of(member.address())));
        if (hint.leader() != null && !state.isSelf(hint.leader())) {
            state.actions.send(hint.leader(), new Message.JoinRequest(state.self, state.log.lastIndex()));
        }
    }
}
