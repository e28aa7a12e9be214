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

/** {@link SnapshotSender} and {@link SnapshotReceiver}, step by step and with random message loss. */
class SnapshotTransferTest {

    private static final List<Member> MEMBERS = List.of(Member.founder("a:1", "ca"));
    private static final int CHUNK_BYTES = SnapshotSender.INITIAL_CHUNK_BYTES;

    private final SnapshotReceiver receiver = new SnapshotReceiver();

    private static Snapshot snapshot(long index, int bytes) {
        byte[] state = new byte[bytes];
        new Random(index).nextBytes(state);
        return new Snapshot(index, 2, MEMBERS, state);
    }

    private static void assertSame(Snapshot expected, Snapshot actual) {
        assertEquals(expected.index(), actual.index());
        assertEquals(expected.term(), actual.term());
        assertEquals(expected.members(), actual.members());
        assertArrayEquals(expected.state(), actual.state());
    }

    @Test
    void sendsSmallSnapshotInOneChunk() {
        Snapshot small = snapshot(9, 100);
        Message.InstallSnapshotRequest request = new SnapshotSender(small).nextChunk(0, 3, 1);
        assertTrue(request.isComplete());
        assertSame(small, receiver.receive(request));
    }

    @Test
    void sendsNextChunkAfterAcknowledgement() {
        Snapshot large = snapshot(9, 3 * CHUNK_BYTES);
        SnapshotSender sender = new SnapshotSender(large);
        Message.InstallSnapshotRequest first = sender.nextChunk(0, 3, 1);
        assertEquals(CHUNK_BYTES, first.chunk().state().length);
        assertFalse(sender.isDue(1));
        assertNull(receiver.receive(first));
        assertTrue(sender.onAcknowledged(200, 9, receiver.receivedBytes(first)));
        assertTrue(sender.isDue(200));
        Message.InstallSnapshotRequest second = sender.nextChunk(200, 3, 1);
        assertEquals(CHUNK_BYTES, second.offset());
        assertFalse(sender.onAcknowledged(210, 9, CHUNK_BYTES), "duplicate acknowledgement");
        assertFalse(sender.onAcknowledged(210, 8, 2 * CHUNK_BYTES), "acknowledges another snapshot");
        assertFalse(sender.onAcknowledged(210, 9, 3 * CHUNK_BYTES + 1), "beyond the end of the state");
        assertFalse(sender.isDue(210));
        assertNull(receiver.receive(second));
        assertTrue(sender.onAcknowledged(400, 9, 2 * CHUNK_BYTES));
        assertSame(large, receiver.receive(sender.nextChunk(400, 3, 1)));
    }

    @Test
    void adaptsChunkSizeToResponseTime() {
        SnapshotSender sender = new SnapshotSender(snapshot(9, 40 * SnapshotSender.MAX_CHUNK_BYTES));
        double now = 0;
        int receivedBytes = 0;
        int largest = 0;
        for (int i = 0; i < 10; i++) {
            int sent = sender.nextChunk(now, 3, 1).chunk().state().length;
            largest = Math.max(largest, sent);
            receivedBytes += sent;
            now += 1;
            sender.onAcknowledged(now, 9, receivedBytes);
        }
        assertEquals(SnapshotSender.MAX_CHUNK_BYTES, largest);
        for (int i = 0; i < 10; i++) {
            receivedBytes += sender.nextChunk(now, 3, 1).chunk().state().length;
            now += 450;
            sender.onAcknowledged(now, 9, receivedBytes);
        }
        assertEquals(
                SnapshotSender.MIN_CHUNK_BYTES,
                sender.nextChunk(now, 3, 1).chunk().state().length);
    }

    @Test
    void resendsLostChunkSmallerWithDoublingTimeout() {
        SnapshotSender sender = new SnapshotSender(snapshot(9, 3 * CHUNK_BYTES));
        sender.nextChunk(0, 3, 1);
        assertFalse(sender.isDue(SnapshotSender.INITIAL_TIMEOUT_MS - 1));
        assertTrue(sender.isDue(SnapshotSender.INITIAL_TIMEOUT_MS));
        Message.InstallSnapshotRequest resent = sender.nextChunk(SnapshotSender.INITIAL_TIMEOUT_MS, 3, 1);
        assertEquals(0, resent.offset());
        assertEquals(CHUNK_BYTES / 2, resent.chunk().state().length);
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
    void chunkCountsAsLostWhenLaterRoundIsAnsweredWithoutIt() {
        SnapshotSender sender = new SnapshotSender(snapshot(9, 3 * CHUNK_BYTES));
        sender.nextChunk(0, 3, 7);
        assertFalse(sender.onRoundSeen(7), "it may still be in flight");
        assertFalse(sender.isDue(1));
        assertTrue(sender.onRoundSeen(8));
        assertTrue(sender.isDue(1));
        assertFalse(sender.onRoundSeen(9), "nothing is in flight");
    }

    @Test
    void resumesAtLowerOffsetWhenReceiverLostItsPart() {
        SnapshotSender sender = new SnapshotSender(snapshot(9, 3 * CHUNK_BYTES));
        sender.nextChunk(0, 3, 1);
        sender.onAcknowledged(10, 9, CHUNK_BYTES);
        Message.InstallSnapshotRequest second = sender.nextChunk(10, 3, 1);
        assertNull(receiver.receive(second));
        assertEquals(0, receiver.receivedBytes(second), "the first chunk is missing");
        assertTrue(sender.onAcknowledged(20, 9, 0));
        assertEquals(0, sender.nextChunk(20, 3, 1).offset());
    }

    @Test
    void switchesToNewerSnapshotOnlyBeforeAnyPartIsReceived() {
        Snapshot newer = snapshot(19, 5 * CHUNK_BYTES);
        SnapshotSender sender = new SnapshotSender(snapshot(9, 3 * CHUNK_BYTES));
        sender.nextChunk(0, 3, 1);
        sender.switchTo(100, newer);
        assertEquals(9, sender.index(), "the first chunk may have arrived");
        sender.switchTo(SnapshotSender.INITIAL_TIMEOUT_MS, newer);
        assertEquals(19, sender.index());
        sender.nextChunk(600, 3, 1);
        sender.onAcknowledged(700, 19, CHUNK_BYTES / 2);
        sender.switchTo(5000, snapshot(29, 10));
        assertEquals(19, sender.index());
    }

    @Test
    void doesNotMixChunksOfDifferentSnapshotsOrLeaders() {
        SnapshotSender of9 = new SnapshotSender(snapshot(9, 2 * CHUNK_BYTES));
        Snapshot second = snapshot(19, 2 * CHUNK_BYTES);
        SnapshotSender of19 = new SnapshotSender(second);
        assertNull(receiver.receive(of9.nextChunk(0, 3, 1)));
        Message.InstallSnapshotRequest ofSecond = of19.nextChunk(0, 3, 1);
        assertNull(receiver.receive(ofSecond));
        assertEquals(CHUNK_BYTES, receiver.receivedBytes(ofSecond));
        of9.onAcknowledged(1, 9, CHUNK_BYTES);
        assertNull(receiver.receive(of9.nextChunk(1, 3, 1)), "the first chunk of snapshot 9 was discarded");
        SnapshotSender later = new SnapshotSender(second);
        later.nextChunk(2, 4, 1);
        later.onAcknowledged(2, 19, CHUNK_BYTES);
        Message.InstallSnapshotRequest ofLater = later.nextChunk(2, 4, 1);
        assertNull(receiver.receive(ofLater), "sent by a leader of another term");
        assertEquals(0, receiver.receivedBytes(ofLater));
    }

    @Test
    void rejectsChunksWithInvalidTotalSize() {
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
    void completesTransferDespiteLossDuplicationAndReordering() {
        for (long seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            Snapshot sent = snapshot(seed, 1 + random.nextInt(6 * CHUNK_BYTES));
            assertSame(sent, transferred(sent, random));
        }
    }

    private static Snapshot transferred(Snapshot sent, Random random) {
        SnapshotSender sender = new SnapshotSender(sent);
        SnapshotReceiver receiver = new SnapshotReceiver();
        List<Message.InstallSnapshotRequest> inFlight = new ArrayList<>();
        for (double now = 0; now < 200_000; now += 50) {
            if (sender.isDue(now)) {
                Message.InstallSnapshotRequest chunk = sender.nextChunk(now, 3, 1);
                for (int copies = random.nextInt(3); copies > 0; copies--) {
                    inFlight.add(chunk);
                }
            }
            if (!inFlight.isEmpty() && random.nextBoolean()) {
                Message.InstallSnapshotRequest chunk = inFlight.remove(random.nextInt(inFlight.size()));
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
        throw new AssertionError("transfer not complete after 200 s");
    }
}
