package sablehinge.controlplane.node;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.List;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.MemberListCodec;
import sablehinge.controlplane.raft.Snapshot;

/**
 * Encodes the values of {@link RaftStore}'s maps, numbers big-endian. All versions so far use this format, so it also
 * reads files of earlier versions.
 */
final class RaftStoreCodec {

    /** The size of an entry before its data: the term and the kind. */
    private static final int ENTRY_HEADER_BYTES = Long.BYTES + 1;

    /** The latest term that a replica has seen, and the id of the member that has its vote in that term; 0 for none. */
    record Vote(long term, long votedFor) {}

    private RaftStoreCodec() {}

    static byte[] writeSelf(Member self) {
        return MemberListCodec.write(List.of(self));
    }

    static Member readSelf(byte[] bytes) {
        return MemberListCodec.read(bytes).get(0);
    }

    static byte[] writeVote(long term, long votedFor) {
        return ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(term)
                .putLong(votedFor)
                .array();
    }

    static Vote readVote(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        return new Vote(in.readLong(), in.readLong());
    }

    static byte[] writeEntry(Entry entry) {
        return ByteBuffer.allocate(ENTRY_HEADER_BYTES + entry.data().length)
                .putLong(entry.term())
                .put((byte) entry.kind().ordinal())
                .put(entry.data())
                .array();
    }

    static Entry readEntry(long index, byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        long term = in.getLong();
        Entry.Kind kind = Entry.Kind.values()[in.get()];
        byte[] data = new byte[in.remaining()];
        in.get(data);
        return new Entry(index, term, kind, data);
    }

    static byte[] writeSnapshot(Snapshot snapshot) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(snapshot.index());
            out.writeLong(snapshot.term());
            RaftMessageCodec.writeMembers(snapshot.members(), out);
            out.write(snapshot.state());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    static Snapshot readSnapshot(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        long index = in.readLong();
        long term = in.readLong();
        List<Member> members = RaftMessageCodec.readMembers(in);
        return new Snapshot(index, term, members, in.readAllBytes());
    }
}
