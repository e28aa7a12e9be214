package sablehinge.watermaster;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Lists of members as bytes. */
public final class Members {

    private static final int MOST = 64;

    private Members() {
    }

    /** Writes a list. */
    public static byte[] write(List<Member> members) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            write(members, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Writes a list to a stream. */
    public static void write(List<Member> members, DataOutputStream out) throws IOException {
        out.writeShort(members.size());
        for (Member member : members) {
            out.writeLong(member.id());
            out.writeUTF(member.conduit());
            out.writeUTF(member.control());
        }
    }

    /** Reads what {@link #write(List)} wrote. */
    public static List<Member> read(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            return read(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a list from a stream; fails if it is longer than any core. */
    public static List<Member> read(DataInputStream in) throws IOException {
        int count = in.readUnsignedShort();
        if (count > MOST) {
            throw new IOException("a core of " + count + " members; " + MOST + " at most are expected");
        }
        List<Member> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            members.add(new Member(in.readLong(), in.readUTF(), in.readUTF()));
        }
        return members;
    }
}
