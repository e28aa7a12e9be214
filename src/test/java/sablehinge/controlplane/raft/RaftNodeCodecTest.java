package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.node.RaftMessageCodec;

/** Wire format of messages: round trips, and rejection of invalid input. */
class RaftNodeCodecTest {

    private static final List<Member> MEMBERS =
            List.of(Member.founder("10.0.0.1:1", "10.0.0.1:2"), Member.nonFounder(-7, "10.0.0.2:1", ""));
    private static final List<Message> MESSAGES = List.of(
            new Message.VoteRequest(1, 2, 3, true, false),
            new Message.VoteResponse(Long.MAX_VALUE, true, false),
            new Message.AppendRequest(
                    4,
                    5,
                    3,
                    List.of(
                            new Entry(6, 4, Entry.Kind.COMMAND, new byte[] {1, 2}),
                            new Entry(7, 4, Entry.Kind.MEMBERS, MemberListCodec.write(MEMBERS)),
                            new Entry(8, 4, Entry.Kind.NOOP, new byte[0])),
                    5,
                    9),
            new Message.AppendResponse(4, false, 0, -1, 9),
            new Message.InstallSnapshotRequest(4, new Snapshot(9, 3, MEMBERS, new byte[] {3}), 2),
            new Message.InstallSnapshotRequest(4, new Snapshot(9, 3, MEMBERS, new byte[] {3}), 5, 7, 2),
            new Message.InstallSnapshotResponse(4, 9, 6, 2),
            new Message.JoinRequest(MEMBERS.get(1), 0),
            new Message.LeaderHint(4, null, MEMBERS),
            new Message.LeaderHint(4, MEMBERS.get(0), List.of()),
            new Message.TimeoutNowRequest(8),
            new Message.LeaveRequest(MEMBERS.get(0)),
            new Message.LeaveResponse(8));

    @Test
    void readsWrittenMessages() throws IOException {
        for (Message message : MESSAGES) {
            byte[] bytes = RaftMessageCodec.write(message);
            assertArrayEquals(bytes, RaftMessageCodec.write(RaftMessageCodec.read(bytes)));
            if (!(message instanceof Message.AppendRequest) && !(message instanceof Message.InstallSnapshotRequest)) {
                assertEquals(message, RaftMessageCodec.read(bytes));
            }
        }
        assertEquals(MEMBERS, MemberListCodec.read(MemberListCodec.write(MEMBERS)));
        assertEquals(
                MEMBERS,
                RaftMessageCodec.readMembers(
                        new DataInputStream(new ByteArrayInputStream(MemberListCodec.write(MEMBERS)))));
    }

    @Test
    void rejectsTruncatedAndOverlongMessages() {
        for (Message message : MESSAGES) {
            byte[] bytes = RaftMessageCodec.write(message);
            for (int length = 0; length < bytes.length; length++) {
                byte[] truncated = Arrays.copyOf(bytes, length);
                assertThrows(IOException.class, () -> RaftMessageCodec.read(truncated), message.toString());
            }
            byte[] overlong = Arrays.copyOf(bytes, bytes.length + 1);
            assertThrows(IOException.class, () -> RaftMessageCodec.read(overlong));
        }
        assertThrows(IOException.class, () -> RaftMessageCodec.read(new byte[] {99}));
        assertThrows(IllegalArgumentException.class, () -> MemberListCodec.read(new byte[] {0, 65}));
        assertThrows(IllegalArgumentException.class, () -> MemberListCodec.read(new byte[] {0, 0, 0}));
    }

    @Test
    void readsOrRejectsCorruptedMessages() {
        Random random = new Random(5);
        int rejected = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = RaftMessageCodec.write(MESSAGES.get(i % MESSAGES.size()));
            for (int corrupted = 1 + random.nextInt(3); corrupted > 0; corrupted--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            try {
                RaftMessageCodec.write(RaftMessageCodec.read(bytes));
            } catch (IOException e) {
                rejected++;
            }
        }
        assertTrue(rejected > 200, rejected + " rejected");
    }
}
