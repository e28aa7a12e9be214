package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import sablehinge.common.rpc.Frame;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.Message;
import sablehinge.controlplane.raft.Snapshot;

/** The wire format between control nodes; the expected bytes were written by commit 8d0919f. */
class WireFormatTest {

    private static final Member ONE = Member.founder("10.0.0.1:7780", "10.0.0.1:8367");
    private static final Member TWO = Member.nonFounder(42, "10.0.0.2:7780", "10.0.0.2:8367");
    private static final Snapshot SNAPSHOT = new Snapshot(5, 3, List.of(ONE, TWO), new byte[] {1, 2, 3});

    private static void assertBytes(Message message, String hex) throws IOException {
        assertEquals(hex, HexFormat.of().formatHex(RaftMessageCodec.write(message)), message.toString());
        byte[] read =
                RaftMessageCodec.write(RaftMessageCodec.read(HexFormat.of().parseHex(hex)));
        assertEquals(hex, HexFormat.of().formatHex(read), message.toString());
    }

    @Test
    void encodesEachMessage() throws IOException {
        assertBytes(
                new Message.VoteRequest(7, 8, 6, true, false),
                "010000000000000007000000000000000800000000000000060100");
        assertBytes(new Message.VoteResponse(7, true, false), "0200000000000000070100");
        assertBytes(
                new Message.AppendRequest(7, 4, 3, List.of(new Entry(5, 7, Entry.Kind.COMMAND, new byte[] {9})), 4, 11),
                "030000000000000007000000000000000400000000000000030000000000000004000000000000000b00000001"
                        + "00000000000000050000000000000007020000000109");
        assertBytes(
                new Message.AppendResponse(7, true, 5, 6, 11),
                "0400000000000000070100000000000000050000000000000006000000000000000b");
        assertBytes(
                new Message.InstallSnapshotRequest(7, SNAPSHOT, 0, 3, 11),
                "050000000000000007000000000000000b00000000000000030000000000000005000000000000000300026b02"
                        + "ab1a6083e863000d31302e302e302e313a37373830000d31302e302e302e313a38333637000000000000002a00"
                        + "0d31302e302e302e323a37373830000d31302e302e302e323a3833363700000003010203");
        assertBytes(
                new Message.InstallSnapshotResponse(7, 5, 2, 11),
                "090000000000000007000000000000000500000002000000000000000b");
        assertBytes(
                new Message.JoinRequest(TWO, 5),
                "06000000000000002a000d31302e302e302e323a37373830000d31302e302e302e323a38333637000000000000" + "0005");
        assertBytes(
                new Message.LeaderHint(7, ONE, List.of(ONE, TWO)),
                "070000000000000007016b02ab1a6083e863000d31302e302e302e313a37373830000d31302e302e302e313a38"
                        + "33363700026b02ab1a6083e863000d31302e302e302e313a37373830000d31302e302e302e313a383336370000"
                        + "00000000002a000d31302e302e302e323a37373830000d31302e302e302e323a38333637");
        assertBytes(new Message.TimeoutNowRequest(7), "080000000000000007");
        assertBytes(
                new Message.LeaveRequest(TWO),
                "0a000000000000002a000d31302e302e302e323a37373830000d31302e302e302e323a38333637");
        assertBytes(new Message.LeaveResponse(7), "0b0000000000000007");
    }

    /** The number of a frame's kind on the wire is its ordinal. */
    @Test
    void frameKindsKeepTheirOrdinals() {
        assertEquals(
                List.of("HELLO", "PING", "PONG", "RAFT", "ASK", "UPDATE", "REDIRECT", "TOKENS", "SHARES", "PULL"),
                Stream.of(Frame.Kind.values()).map(Enum::name).toList());
    }
}
