package sablehinge.controlplane.raft;

import java.util.List;

/**
 * Replicates the leader's log to its peers: by entries, by a snapshot in chunks if the log no longer has the entries
 * that a peer needs, or by an empty request as a heartbeat.
 *
 * <p>A peer is probed with one request at a time until it has accepted an append request. From then on entries are
 * pipelined without waiting for answers, within {@link SendWindow} and {@link #MAX_ENTRIES_AHEAD}.
 */
final class Replicator {

    /** Maximum number of entries that are sent beyond those that a peer has on disk. */
    private static final int MAX_ENTRIES_AHEAD = 256;

    private final ReplicaState state;
    private final HeartbeatRounds rounds;

    Replicator(ReplicaState state, HeartbeatRounds rounds) {
        this.state = state;
        this.rounds = rounds;
    }

    /** Sends a peer the next entries or the next chunk of a snapshot, or a heartbeat. */
    void send(double now, ReplicaProgress peer, boolean withEntries) {
        if (peer.snapshot == null && (peer.empty || !state.log.canReadFrom(peer.nextIndex))) {
            beginSnapshot(peer);
        }
        if (peer.snapshot != null) {
            sendSnapshot(now, peer);
            return;
        }
        peer.window.expire(now);
        List<Entry> entries = withEntries && canSendEntries(peer) ? nextEntries(peer) : List.of();
        long previous = peer.nextIndex - 1;
        state.actions.send(
                peer.member,
                new Message.AppendRequest(
                        state.term, previous, state.log.termAt(previous), entries, state.commitIndex, rounds.latest()));
        if (!entries.isEmpty()) {
            peer.window.onSent(now, rounds.latest(), previous + entries.size(), bytes(entries));
        }
        if (!peer.probing) {
            peer.nextIndex += entries.size();
        }
    }

    private List<Entry> nextEntries(ReplicaProgress peer) {
        int maxBytes = Math.min(state.config.maxBytesPerMessage(), peer.window.limit());
        return state.log.entriesFrom(peer.nextIndex, state.config.maxEntriesPerMessage(), maxBytes);
    }

    private void beginSnapshot(ReplicaProgress peer) {
        peer.snapshot = new SnapshotSender(state.log.base());
        peer.window.clear();
        peer.empty = false;
        peer.probing = true;
        peer.nextIndex = state.log.base().index() + 1;
    }

    private void sendSnapshot(double now, ReplicaProgress peer) {
        peer.snapshot.switchTo(now, state.log.base());
        // All logs agree at index 0, so an empty request for that index is only a heartbeat.
        state.actions.send(
                peer.member,
                peer.snapshot.isDue(now)
                        ? peer.snapshot.nextChunk(now, state.term, rounds.latest())
                        : new Message.AppendRequest(state.term, 0, 0, List.of(), 0, rounds.latest()));
    }

    private static long bytes(List<Entry> entries) {
        long bytes = 0;
        for (Entry entry : entries) {
            bytes += entry.data().length;
        }
        return bytes;
    }

    private static boolean canSendEntries(ReplicaProgress peer) {
        return peer.probing
                ? peer.window.isEmpty()
                : peer.window.isOpen() && peer.nextIndex - 1 - peer.matchIndex < MAX_ENTRIES_AHEAD;
    }

    /** Sends the entries that a peer lacks, up to the limit of its window. */
    void sendPending(double now, ReplicaProgress peer) {
        while (peer.nextIndex <= state.log.lastIndex()
                && peer.snapshot == null
                && peer.isAlive(now, state.config)
                && canSendEntries(peer)) {
            send(now, peer, true);
        }
    }

    /** A peer has acknowledged a part of a snapshot. */
    void onSnapshotProgress(double now, ReplicaProgress peer, Message.InstallSnapshotResponse response) {
        if (peer.snapshot != null && peer.snapshot.onAcknowledged(now, response.index(), response.receivedBytes())) {
            sendSnapshot(now, peer);
        }
    }

    /** A peer has answered an append request, or the last chunk of a snapshot. */
    void onAppendResponse(double now, ReplicaProgress peer, Message.AppendResponse response) {
        if (response.success()) {
            onAccepted(now, peer, response);
        } else if (peer.snapshot == null) {
            onRejected(now, peer, response);
        } else {
            resendLostChunk(now, peer, response);
        }
    }

    private void onRejected(double now, ReplicaProgress peer, Message.AppendResponse response) {
        long next = Math.max(peer.matchIndex + 1, Math.min(response.hint(), state.log.lastIndex()) + 1);
        peer.window.onRoundSeen(response.round());
        if (next < peer.nextIndex || response.hint() < 0) {
            peer.empty = response.hint() < 0;
            peer.probing = true;
            peer.nextIndex = next;
            peer.window.clear();
            send(now, peer, true);
        }
    }

    /** Sends a chunk again if the peer has answered a later round without acknowledging the chunk. */
    private void resendLostChunk(double now, ReplicaProgress peer, Message.AppendResponse response) {
        if (peer.snapshot.onRoundSeen(response.round())) {
            sendSnapshot(now, peer);
        }
    }

    private void onAccepted(double now, ReplicaProgress peer, Message.AppendResponse response) {
        peer.matchIndex = Math.max(peer.matchIndex, response.matchIndex());
        peer.window.onAcknowledged(now, response.hint(), response.round());
        boolean needsMore = peer.snapshot != null && response.hint() < peer.snapshot.index();
        if (needsMore && !state.log.canReadFrom(response.hint() + 1)) {
            resendLostChunk(now, peer, response);
            return;
        }
        if (peer.snapshot != null) {
            peer.snapshot = null;
            peer.nextIndex = response.hint() + 1;
        }
        peer.probing = false;
        peer.nextIndex = Math.min(Math.max(peer.nextIndex, response.hint() + 1), state.log.lastIndex() + 1);
        if (!state.log.canReadFrom(peer.nextIndex)) {
            // The log was compacted again during the transfer of the snapshot.
            send(now, peer, false);
        }
        sendPending(now, peer);
    }
}
