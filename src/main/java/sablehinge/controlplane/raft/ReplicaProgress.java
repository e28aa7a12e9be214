package sablehinge.controlplane.raft;

/** What a leader knows of one that it feeds, be it a member or one that waits to be let in. */
final class ReplicaProgress {

    final Member member;
    /** The next index to send. */
    long next;
    /** Up to here its disk surely holds the leader's log. */
    long match;
    /** The highest round that it has answered. */
    long round;
    /** When it last answered, ms. */
    double heard;
    /** When it last asked to be let in, ms. */
    double asked = Double.NEGATIVE_INFINITY;
    /** When it last said that its process is about to end, ms. */
    double leaves = Double.NEGATIVE_INFINITY;
    /** Whether {@code next} is a guess: then nothing is sent ahead of answers. */
    boolean probing = true;
    /** It has nothing to which entries could be appended. */
    boolean bare;
    /** The snapshot that is under way; null for none. */
    SnapshotSender snapshot;
    /** Entries that are under way. */
    final SendWindow window = new SendWindow();

    ReplicaProgress(Member member, long next, double heard) {
        this.member = member;
        this.next = next;
        this.heard = heard;
    }
}
