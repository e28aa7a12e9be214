package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** {@link SnapshotSender} and {@link SnapshotReceiver}, step by step and through losses by chance. */
class SnapshotTransferTest {

    private static final List<Member> MEMBERS = List.of(Member.founder("a:1", "ca"));
    private static final int CHUNK = SnapshotSender.INITIAL_CHUNK_BYTES;

    private final SnapshotReceiver receiver = new SnapshotReceiver();

    private static Snapshot snapshot(long index, int bytes) {
        byte[] state = new byte[bytes];
        new Random(index).nextBytes(state);
        return new Snapshot(index, 2, MEMBERS, state);
    }

    private static void assertSame(Snapshot expected, Snapshot found) {
        assertEquals(expected.index(), found.index());
        assertEquals(expected.term(), found.term());
        assertEquals(expected.members(), found.members());
        assertArrayEquals(expected.state(), found.state());
    }

    @Test
    void aSmallOneGoesAsOneChunk() {
        Snapshot small = snapshot(9, 100);
        Message.InstallSnapshotRequest only = new SnapshotSender(small).nextChunk(0, 3, 1);
        assertTrue(only.isComplete());
        assertSame(small, receiver.receive(only));
    }

    @Test
    void theNextChunkLeavesWhenTheLastIsAnswered() {
        Snapshot large = snapshot(9, 3 * CHUNK);
        SnapshotSender sender = new SnapshotSender(large);
        Message.InstallSnapshotRequest first = sender.nextChunk(0, 3, 1);
        assertEquals(CHUNK, first.chunk().state().length);
        assertFalse(sender.isDue(1));
        assertNull(receiver.receive(first));
        assertTrue(sender.onAcknowledged(200, 9, receiver.receivedBytes(first)));
        assertTrue(sender.isDue(200));
        Message.InstallSnapshotRequest second = sender.nextChunk(200, 3, 1);
        assertEquals(CHUNK, second.offset());
        assertFalse(sender.onAcknowledged(210, 9, CHUNK), "an old answer is no news");
        assertFalse(sender.onAcknowledged(210, 8, 2 * CHUNK), "of another snapshot");
        assertFalse(sender.onAcknowledged(210, 9, 3 * CHUNK + 1), "more than there is");
        assertFalse(sender.isDue(210));
        assertNull(receiver.receive(second));
        assertTrue(sender.onAcknowledged(400, 9, 2 * CHUNK));
        assertSame(large, receiver.receive(sender.nextChunk(400, 3, 1)));
    }

    @Test
    void theSizeOfAChunkFollowsTheLink() {
        SnapshotSender sender = new SnapshotSender(snapshot(9, 40 * SnapshotSender.MAX_CHUNK_BYTES));
        double now = 0;
        int held = 0;
        int largest = 0;
        for (int i = 0; i < 10; i++) {
            int sent = sender.nextChunk(now, 3, 1).chunk().state().length;
            largest = Math.max(largest, sent);
            held += sent;
            now += 1;
            sender.onAcknowledged(now, 9, held);
        }
        assertEquals(SnapshotSender.MAX_CHUNK_BYTES, largest);
        for (int i = 0; i < 10; i++) {
            held += sender.nextChunk(now, 3, 1).chunk().state().length;
            now += 450;
            sender.onAcknowledged(now, 9, held);
        }
        assertEquals(
                SnapshotSender.MIN_CHUNK_BYTES,
                sender.nextChunk(now, 3, 1).chunk().state().length);
    }

    @Test
    void aLostChunkIsSentAgainSmallerAndEverLater() {
        SnapshotSender sender = new SnapshotSender(snapshot(9, 3 * CHUNK));
        sender.nextChunk(0, 3, 1);
        assertFalse(sender.isDue(SnapshotSender.INITIAL_TIMEOUT_MS - 1));
        assertTrue(sender.isDue(SnapshotSender.INITIAL_TIMEOUT_MS));
        Message.InstallSnapshotRequest again = sender.nextChunk(SnapshotSender.INITIAL_TIMEOUT_MS, 3, 1);
        assertEquals(0, again.offset());
        assertEquals(CHUNK / 2, again.chunk().state().length);
        assertFalse(sender.isDue(3 * SnapshotSender.INITIAL_TIMEOUT_MS - 1));
        assertTrue(sender.isDue(3 * SnapshotSender.INITIAL_TIMEOUT_MS));
        double now = 0;
        for (int i = 0; i < 20; i++) {
            now += SnapshotSender.MAX_TIMEOUT_MS;
            assertTrue(sender.isDue(now));
            assertEquals(
                    SnapshotSender.MIN_CHUNK_BYTES,
                    Math.min(
                            SnapshotSender.MIN_CHUNK_BYTES,
                            sender.nextChunk(now, 3, 1).chunk().state().length));
        }
    }

    @Test
    void whoAnswersALaterRoundAndSaysNothingOfAChunkHasNotGotIt() {
        SnapshotSender sender = new SnapshotSender(snapshot(9, 3 * CHUNK));
        sender.nextChunk(0, 3, 7);
        assertFalse(sender.onRoundSeen(7), "it may be on its way");
        assertFalse(sender.isDue(1));
        assertTrue(sender.onRoundSeen(8));
        assertTrue(sender.isDue(1));
        assertFalse(sender.onRoundSeen(9), "nothing is on its way");
    }

    @Test
    void whoLostWhatItHadGetsItFromThere() {
        SnapshotSender sender = new SnapshotSender(snapshot(9, 3 * CHUNK));
        sender.nextChunk(0, 3, 1);
        sender.onAcknowledged(10, 9, CHUNK);
        Message.InstallSnapshotRequest second = sender.nextChunk(10, 3, 1);
        assertNull(receiver.receive(second));
        assertEquals(0, receiver.receivedBytes(second), "the first is not here");
        assertTrue(sender.onAcknowledged(20, 9, 0));
        assertEquals(0, sender.nextChunk(20, 3, 1).offset());
    }

    @Test
    void onlyOneOfWhichNothingIsHeldGivesWayToANewer() {
        Snapshot newer = snapshot(19, 5 * CHUNK);
        SnapshotSender sender = new SnapshotSender(snapshot(9, 3 * CHUNK));
        sender.nextChunk(0, 3, 1);
        sender.switchTo(100, newer);
        assertEquals(9, sender.index(), "the first chunk may be there");
        sender.switchTo(SnapshotSender.INITIAL_TIMEOUT_MS, newer);
        assertEquals(19, sender.index());
        sender.nextChunk(600, 3, 1);
        sender.onAcknowledged(700, 19, CHUNK / 2);
        sender.switchTo(5000, snapshot(29, 10));
        assertEquals(19, sender.index());
    }

    @Test
    void chunksOfAnotherLeaderOrSnapshotAreNotMixed() {
        SnapshotSender of9 = new SnapshotSender(snapshot(9, 2 * CHUNK));
        Snapshot second = snapshot(19, 2 * CHUNK);
        SnapshotSender of19 = new SnapshotSender(second);
        assertNull(receiver.receive(of9.nextChunk(0, 3, 1)));
        Message.InstallSnapshotRequest other = of19.nextChunk(0, 3, 1);
        assertNull(receiver.receive(other));
        assertEquals(CHUNK, receiver.receivedBytes(other));
        of9.onAcknowledged(1, 9, CHUNK);
        assertNull(receiver.receive(of9.nextChunk(1, 3, 1)), "the beginning of 9 is gone");
        SnapshotSender later = new SnapshotSender(second);
        later.nextChunk(2, 4, 1);
        later.onAcknowledged(2, 19, CHUNK);
        Message.InstallSnapshotRequest ofLater = later.nextChunk(2, 4, 1);
        assertNull(receiver.receive(ofLater), "of a leader of another term");
        assertEquals(0, receiver.receivedBytes(ofLater));
    }

    @Test
    void aLengthThatIsTooLargeOrDoesNotFitIsNotTaken() {
        Snapshot part = snapshot(9, 100);
        assertNull(receiver.receive(new Message.InstallSnapshotRequest(3, part, 0, SnapshotReceiver.MAX_BYTES + 1, 1)));
        assertNull(receiver.receive(new Message.InstallSnapshotRequest(3, part, 50, 140, 1)));
        Message.InstallSnapshotRequest first = new Message.InstallSnapshotRequest(3, part, 0, 140, 1);
        assertNull(receiver.receive(first));
        assertEquals(100, receiver.receivedBytes(first));
        receiver.clear();
        assertEquals(0, receiver.receivedBytes(first));
    }

    @Test
    void itArrivesThroughLossesDoublingAndOvertaking() {
        for (long seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            Snapshot sent = snapshot(seed, 1 + random.nextInt(6 * CHUNK));
            assertSame(sent, transferred(sent, random));
        }
    }

    private static Snapshot transferred(Snapshot sent, Random random) {
        SnapshotSender sender = new SnapshotSender(sent);
        SnapshotReceiver receiver = new SnapshotReceiver();
        List<Message.InstallSnapshotRequest> onTheWay = new ArrayList<>();
        for (double now = 0; now < 200_000; now += 50) {
            if (sender.isDue(now)) {
                Message.InstallSnapshotRequest chunk = sender.nextChunk(now, 3, 1);
                for (int copies = random.nextInt(3); copies > 0; copies--) {
                    onTheWay.add(chunk);
                }
            }
            if (!onTheWay.isEmpty() && random.nextBoolean()) {
                Message.InstallSnapshotRequest chunk = onTheWay.remove(random.nextInt(onTheWay.size()));
                Snapshot complete = receiver.receive(chunk);
                if (complete != null) {
                    return complete;
                }
                if (random.nextInt(4) > 0) {
                    sender.onAcknowledged(now, chunk.chunk().index(), receiver.receivedBytes(chunk));
                }
                if (random.nextInt(40) == 0) {
                    receiver.clear();
                }
            }
        }
        throw new AssertionError("not there after 200 s");
    }
}
