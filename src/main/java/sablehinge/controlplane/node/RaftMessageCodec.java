package sablehinge.controlplane.node;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.MemberListCodec;
import sablehinge.controlplane.raft.Message;
import sablehinge.controlplane.raft.Snapshot;

/**
 * Encodes Raft messages as bytes: one byte for the kind of message, then its fields in order, numbers big-endian.
 * Received sizes are checked against bounds before anything is allocated.
 */
public final class RaftMessageCodec {

    /** The maximum number of entries in one message. */
    public static final int MAX_ENTRIES = 4096;
    /** The maximum size of one entry or one snapshot. */
    public static final int MAX_BYTES = 64 << 20;

    private static final int MAX_ADDRESS_LENGTH = 256;
    private static final int VOTE_REQUEST = 1;
    private static final int VOTE_RESPONSE = 2;
    private static final int APPEND_REQUEST = 3;
    private static final int APPEND_RESPONSE = 4;
    private static final int INSTALL_SNAPSHOT_REQUEST = 5;
    private static final int JOIN_REQUEST = 6;
    private static final int LEADER_HINT = 7;
    private static final int TIMEOUT_NOW_REQUEST = 8;
    private static final int INSTALL_SNAPSHOT_RESPONSE = 9;
    private static final int LEAVE_REQUEST = 10;
    private static final int LEAVE_RESPONSE = 11;

    private RaftMessageCodec() {}

    /** Writes a message. */
    public static byte[] write(Message message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            message.accept(new Writer(out));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Writes the kind of a message and its fields. */
    private record Writer(DataOutputStream out) implements Message.Visitor<IOException> {

        @Override
        public void visit(Message.VoteRequest request) throws IOException {
            out.writeByte(VOTE_REQUEST);
            out.writeLong(request.term());
            out.writeLong(request.lastIndex());
            out.writeLong(request.lastTerm());
            out.writeBoolean(request.preVote());
            out.writeBoolean(request.leadershipTransfer());
        }

        @Override
        public void visit(Message.VoteResponse response) throws IOException {
            out.writeByte(VOTE_RESPONSE);
            out.writeLong(response.term());
            out.writeBoolean(response.granted());
            out.writeBoolean(response.preVote());
        }

        @Override
        public void visit(Message.AppendRequest request) throws IOException {
            out.writeByte(APPEND_REQUEST);
            out.writeLong(request.term());
            out.writeLong(request.prevIndex());
            out.writeLong(request.prevTerm());
            out.writeLong(request.commit());
            out.writeLong(request.round());
            out.writeInt(request.entries().size());
            for (Entry entry : request.entries()) {
                writeEntry(entry, out);
            }
        }

        @Override
        public void visit(Message.AppendResponse response) throws IOException {
            out.writeByte(APPEND_RESPONSE);
            out.writeLong(response.term());
            out.writeBoolean(response.success());
            out.writeLong(response.matchIndex());
            out.writeLong(response.hint());
            out.writeLong(response.round());
        }

        @Override
        public void visit(Message.InstallSnapshotRequest request) throws IOException {
            out.writeByte(INSTALL_SNAPSHOT_REQUEST);
            out.writeLong(request.term());
            out.writeLong(request.round());
            out.writeInt(request.offset());
            out.writeInt(request.total());
            writeSnapshot(request.chunk(), out);
        }

        @Override
        public void visit(Message.InstallSnapshotResponse response) throws IOException {
            out.writeByte(INSTALL_SNAPSHOT_RESPONSE);
            out.writeLong(response.term());
            out.writeLong(response.index());
            out.writeInt(response.receivedBytes());
            out.writeLong(response.round());
        }

        @Override
        public void visit(Message.JoinRequest request) throws IOException {
            out.writeByte(JOIN_REQUEST);
            writeMember(request.self(), out);
            out.writeLong(request.lastIndex());
        }

        @Override
        public void visit(Message.LeaderHint hint) throws IOException {
            out.writeByte(LEADER_HINT);
            out.writeLong(hint.term());
            out.writeBoolean(hint.leader() != null);
            if (hint.leader() != null) {
                writeMember(hint.leader(), out);
            }
            writeMembers(hint.members(), out);
        }

        @Override
        public void visit(Message.TimeoutNowRequest request) throws IOException {
            out.writeByte(TIMEOUT_NOW_REQUEST);
            out.writeLong(request.term());
        }

        @Override
        public void visit(Message.LeaveRequest request) throws IOException {
            out.writeByte(LEAVE_REQUEST);
            writeMember(request.self(), out);
        }

        @Override
        public void visit(Message.LeaveResponse response) throws IOException {
            out.writeByte(LEAVE_RESPONSE);
            out.writeLong(response.term());
        }
    }

    /** Reads a message that {@link #write(Message)} wrote; fails on any other bytes. */
    public static Message read(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        Message message = read(in);
        if (in.available() > 0) {
            throw new IOException(in.available() + " bytes after the end of a message");
        }
        return message;
    }

    private static Message read(DataInputStream in) throws IOException {
        int kind = in.readUnsignedByte();
        switch (kind) {
            case VOTE_REQUEST:
                return new Message.VoteRequest(
                        in.readLong(), in.readLong(), in.readLong(), in.readBoolean(), in.readBoolean());
            case VOTE_RESPONSE:
                return new Message.VoteResponse(in.readLong(), in.readBoolean(), in.readBoolean());
            case APPEND_REQUEST:
                return readAppend(in);
            case APPEND_RESPONSE:
                return new Message.AppendResponse(
                        in.readLong(), in.readBoolean(), in.readLong(), in.readLong(), in.readLong());
            case INSTALL_SNAPSHOT_REQUEST:
                return readInstallSnapshot(in);
            case INSTALL_SNAPSHOT_RESPONSE:
                return new Message.InstallSnapshotResponse(in.readLong(), in.readLong(), in.readInt(), in.readLong());
            case JOIN_REQUEST:
                return new Message.JoinRequest(readMember(in), in.readLong());
            case LEADER_HINT:
                return new Message.LeaderHint(in.readLong(), in.readBoolean() ? readMember(in) : null, readMembers(in));
            case TIMEOUT_NOW_REQUEST:
                return new Message.TimeoutNowRequest(in.readLong());
            case LEAVE_REQUEST:
                return new Message.LeaveRequest(readMember(in));
            case LEAVE_RESPONSE:
                return new Message.LeaveResponse(in.readLong());
            default:
                throw new IOException("unknown message kind " + kind);
        }
    }

    private static Message readInstallSnapshot(DataInputStream in) throws IOException {
        long term = in.readLong();
        long round = in.readLong();
        int offset = in.readInt();
        int total = in.readInt();
        Snapshot chunk = readSnapshot(in);
        if (offset < 0 || total > MAX_BYTES || total - chunk.state().length < offset) {
            throw new IOException("invalid snapshot chunk: bytes " + offset + " to "
                    + ((long) offset + chunk.state().length) + " of " + total);
        }
        return new Message.InstallSnapshotRequest(term, chunk, offset, total, round);
    }

    private static Message readAppend(DataInputStream in) throws IOException {
        long term = in.readLong();
        long prevIndex = in.readLong();
        long prevTerm = in.readLong();
        long commit = in.readLong();
        long round = in.readLong();
        int count = in.readInt();
        if (count < 0 || count > MAX_ENTRIES) {
            throw new IOException(count + " entries in a message; " + MAX_ENTRIES + " is the maximum");
        }
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Entry entry = readEntry(in);
            if (entry.index() != prevIndex + 1 + i) {
                throw new IOException("found entry " + entry.index() + ", expected entry " + (prevIndex + 1 + i));
            }
            entries.add(entry);
        }
        return new Message.AppendRequest(term, prevIndex, prevTerm, entries, commit, round);
    }

    /** Writes an entry. */
    public static void writeEntry(Entry entry, DataOutputStream out) throws IOException {
        out.writeLong(entry.index());
        out.writeLong(entry.term());
        out.writeByte(entry.kind().ordinal());
        out.writeInt(entry.data().length);
        out.write(entry.data());
    }

    /** Reads an entry; fails for a {@code MEMBERS} entry whose member list is malformed. */
    public static Entry readEntry(DataInputStream in) throws IOException {
        long index = in.readLong();
        long term = in.readLong();
        int kind = in.readUnsignedByte();
        if (kind >= Entry.Kind.values().length) {
            throw new IOException("unknown entry kind " + kind);
        }
        Entry entry = new Entry(index, term, Entry.Kind.values()[kind], readBytes(in));
        if (entry.kind() == Entry.Kind.MEMBERS) {
            validateMembers(entry.data());
        }
        return entry;
    }

    /** Writes a snapshot. */
    public static void writeSnapshot(Snapshot snapshot, DataOutputStream out) throws IOException {
        out.writeLong(snapshot.index());
        out.writeLong(snapshot.term());
        writeMembers(snapshot.members(), out);
        out.writeInt(snapshot.state().length);
        out.write(snapshot.state());
    }

    /** Reads a snapshot. */
    public static Snapshot readSnapshot(DataInputStream in) throws IOException {
        long index = in.readLong();
        long term = in.readLong();
        if (index < 0 || term < 0) {
            throw new IOException("invalid snapshot position: index " + index + ", term " + term);
        }
        return new Snapshot(index, term, readMembers(in), readBytes(in));
    }

    /** Writes a member. */
    public static void writeMember(Member member, DataOutputStream out) throws IOException {
        out.writeLong(member.id());
        out.writeUTF(member.address());
        out.writeUTF(member.control());
    }

    /** Reads a member. */
    public static Member readMember(DataInputStream in) throws IOException {
        return new Member(in.readLong(), readAddress(in), readAddress(in));
    }

    /** Reads an address. Addresses are ASCII, because {@link MemberListCodec#write} can't write others. */
    private static String readAddress(DataInputStream in) throws IOException {
        String text = in.readUTF();
        if (text.length() > MAX_ADDRESS_LENGTH || text.chars().anyMatch(c -> c == 0 || c > Byte.MAX_VALUE)) {
            throw new IOException("invalid member address");
        }
        return text;
    }

    /** Writes a list of members in the format of {@link MemberListCodec#write}. */
    public static void writeMembers(List<Member> members, DataOutputStream out) throws IOException {
        out.write(MemberListCodec.write(members));
    }

    /** Reads a list of members; fails if it has more than {@link MemberListCodec#MAX_MEMBERS}. */
    public static List<Member> readMembers(DataInputStream in) throws IOException {
        int count = in.readUnsignedShort();
        if (count > MemberListCodec.MAX_MEMBERS) {
            throw new IOException(
                    "a list of " + count + " members; " + MemberListCodec.MAX_MEMBERS + " is the maximum");
        }
        List<Member> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            members.add(readMember(in));
        }
        return members;
    }

    private static void validateMembers(byte[] list) throws IOException {
        try {
            MemberListCodec.read(list);
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed member list in an entry", e);
        }
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > MAX_BYTES) {
            throw new IOException(length + " bytes of data; " + MAX_BYTES + " is the maximum");
        }
        // readNBytes allocates as it reads: a false length costs no more memory than the received bytes.
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("truncated data");
        }
        return bytes;
    }
}
