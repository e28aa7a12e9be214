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
 * Messages of the core as bytes: one byte that says which, then its fields in order, numbers big-endian. What comes in
 * is checked against bounds before anything is made of it.
 */
public final class RaftMessageCodec {

    /** Most entries that are read in one message. */
    public static final int MOST_ENTRIES = 4096;
    /** Most bytes that are read of one entry or one state. */
    public static final int MOST_BYTES = 64 << 20;

    private static final int MOST_ADDRESS = 256;
    private static final int ASK_VOTE = 1;
    private static final int VOTE = 2;
    private static final int APPEND = 3;
    private static final int APPENDED = 4;
    private static final int INSTALL = 5;
    private static final int JOIN = 6;
    private static final int GUIDE = 7;
    private static final int TAKE_OVER = 8;
    private static final int INSTALLING = 9;
    private static final int LEAVE = 10;
    private static final int RELEASED = 11;

    private RaftMessageCodec() {}

    /** Writes a message. */
    public static byte[] write(Message message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            write(message, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(Message message, DataOutputStream out) throws IOException {
        if (message instanceof Message.VoteRequest ask) {
            out.writeByte(ASK_VOTE);
            out.writeLong(ask.term());
            out.writeLong(ask.lastIndex());
            out.writeLong(ask.lastTerm());
            out.writeBoolean(ask.pre());
            out.writeBoolean(ask.handed());
        } else if (message instanceof Message.VoteResponse vote) {
            out.writeByte(VOTE);
            out.writeLong(vote.term());
            out.writeBoolean(vote.granted());
            out.writeBoolean(vote.pre());
        } else if (message instanceof Message.AppendRequest append) {
            out.writeByte(APPEND);
            out.writeLong(append.term());
            out.writeLong(append.prevIndex());
            out.writeLong(append.prevTerm());
            out.writeLong(append.commit());
            out.writeLong(append.round());
            out.writeInt(append.entries().size());
            for (Entry entry : append.entries()) {
                writeEntry(entry, out);
            }
        } else if (message instanceof Message.AppendResponse appended) {
            out.writeByte(APPENDED);
            out.writeLong(appended.term());
            out.writeBoolean(appended.success());
            out.writeLong(appended.matchIndex());
            out.writeLong(appended.hint());
            out.writeLong(appended.round());
        } else if (message instanceof Message.InstallSnapshotRequest install) {
            out.writeByte(INSTALL);
            out.writeLong(install.term());
            out.writeLong(install.round());
            out.writeInt(install.offset());
            out.writeInt(install.total());
            writeSnapshot(install.part(), out);
        } else if (message instanceof Message.InstallSnapshotResponse installing) {
            out.writeByte(INSTALLING);
            out.writeLong(installing.term());
            out.writeLong(installing.index());
            out.writeInt(installing.held());
            out.writeLong(installing.round());
        } else if (message instanceof Message.JoinRequest join) {
            out.writeByte(JOIN);
            writeMember(join.self(), out);
            out.writeLong(join.lastIndex());
        } else if (message instanceof Message.LeaderHint guide) {
            out.writeByte(GUIDE);
            out.writeLong(guide.term());
            out.writeBoolean(guide.leader() != null);
            if (guide.leader() != null) {
                writeMember(guide.leader(), out);
            }
            writeMembers(guide.members(), out);
        } else if (message instanceof Message.TimeoutNowRequest take) {
            out.writeByte(TAKE_OVER);
            out.writeLong(take.term());
        } else if (message instanceof Message.LeaveRequest leave) {
            out.writeByte(LEAVE);
            writeMember(leave.self(), out);
        } else if (message instanceof Message.LeaveResponse released) {
            out.writeByte(RELEASED);
            out.writeLong(released.term());
        }
    }

    /** Reads what {@link #write(Message)} wrote; fails on anything else. */
    public static Message read(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        Message message = read(in);
        if (in.available() > 0) {
            throw new IOException(in.available() + " bytes after a message");
        }
        return message;
    }

    private static Message read(DataInputStream in) throws IOException {
        int kind = in.readUnsignedByte();
        switch (kind) {
            case ASK_VOTE:
                return new Message.VoteRequest(
                        in.readLong(), in.readLong(), in.readLong(), in.readBoolean(), in.readBoolean());
            case VOTE:
                return new Message.VoteResponse(in.readLong(), in.readBoolean(), in.readBoolean());
            case APPEND:
                return readAppend(in);
            case APPENDED:
                return new Message.AppendResponse(
                        in.readLong(), in.readBoolean(), in.readLong(), in.readLong(), in.readLong());
            case INSTALL:
                return readInstall(in);
            case INSTALLING:
                return new Message.InstallSnapshotResponse(in.readLong(), in.readLong(), in.readInt(), in.readLong());
            case JOIN:
                return new Message.JoinRequest(readMember(in), in.readLong());
            case GUIDE:
                return new Message.LeaderHint(in.readLong(), in.readBoolean() ? readMember(in) : null, readMembers(in));
            case TAKE_OVER:
                return new Message.TimeoutNowRequest(in.readLong());
            case LEAVE:
                return new Message.LeaveRequest(readMember(in));
            case RELEASED:
                return new Message.LeaveResponse(in.readLong());
            default:
                throw new IOException("a message of the unknown kind " + kind);
        }
    }

    private static Message readInstall(DataInputStream in) throws IOException {
        long term = in.readLong();
        long round = in.readLong();
        int offset = in.readInt();
        int total = in.readInt();
        Snapshot part = readSnapshot(in);
        if (offset < 0 || total > MOST_BYTES || total - part.state().length < offset) {
            throw new IOException(
                    "bytes " + offset + " to " + ((long) offset + part.state().length) + " of a state of " + total);
        }
        return new Message.InstallSnapshotRequest(term, part, offset, total, round);
    }

    private static Message readAppend(DataInputStream in) throws IOException {
        long term = in.readLong();
        long prevIndex = in.readLong();
        long prevTerm = in.readLong();
        long commit = in.readLong();
        long round = in.readLong();
        int count = in.readInt();
        if (count < 0 || count > MOST_ENTRIES) {
            throw new IOException(count + " entries in a message; " + MOST_ENTRIES + " at most are expected");
        }
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Entry entry = readEntry(in);
            if (entry.index() != prevIndex + 1 + i) {
                throw new IOException("entry " + entry.index() + " in the place of " + (prevIndex + 1 + i));
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

    /** Reads an entry; one of members whose list can't be read is refused here. */
    public static Entry readEntry(DataInputStream in) throws IOException {
        long index = in.readLong();
        long term = in.readLong();
        int kind = in.readUnsignedByte();
        if (kind >= Entry.Kind.values().length) {
            throw new IOException("an entry of the unknown kind " + kind);
        }
        Entry entry = new Entry(index, term, Entry.Kind.values()[kind], readBytes(in));
        if (entry.kind() == Entry.Kind.MEMBERS) {
            parse(entry.data());
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
            throw new IOException("a snapshot of entry " + index + " of term " + term);
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

    /** Addresses are ASCII; {@link MemberListCodec#write} could not write others. */
    private static String readAddress(DataInputStream in) throws IOException {
        String text = in.readUTF();
        if (text.length() > MOST_ADDRESS || text.chars().anyMatch(c -> c == 0 || c > Byte.MAX_VALUE)) {
            throw new IOException("an address that is none");
        }
        return text;
    }

    /** Writes a list of members, as {@link MemberListCodec#write} does. */
    public static void writeMembers(List<Member> members, DataOutputStream out) throws IOException {
        out.write(MemberListCodec.write(members));
    }

    /** Reads a list of members; fails if it is longer than any core. */
    public static List<Member> readMembers(DataInputStream in) throws IOException {
        int count = in.readUnsignedShort();
        if (count > MemberListCodec.MOST) {
            throw new IOException("a core of " + count + " members; " + MemberListCodec.MOST + " at most are expected");
        }
        List<Member> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            members.add(readMember(in));
        }
        return members;
    }

    private static void parse(byte[] list) throws IOException {
        try {
            MemberListCodec.read(list);
        } catch (IllegalArgumentException e) {
            throw new IOException("an entry of members that can't be read", e);
        }
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > MOST_BYTES) {
            throw new IOException(length + " bytes of data; " + MOST_BYTES + " at most are expected");
        }
        // Reads as it goes: a length that lies costs no more memory than the bytes that came.
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("data that ends early");
        }
        return bytes;
    }
}
