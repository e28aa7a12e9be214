package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * Encodes lists of members: a 16-bit count, and for each member its 64-bit id and its two addresses, each preceded by
 * its 16-bit length. The code uses no streams, as this package performs no I/O; since addresses are ASCII,
 * {@code DataInputStream.readUTF} reads the same format.
 */
public final class MemberListCodec {

    /** Maximum length of a list; no core has so many members. */
    public static final int MAX_MEMBERS = 64;

    private static final int ID_BYTES = 8;
    private static final int LENGTH_BYTES = 2;

    private MemberListCodec() {}

    /** Writes a list. */
    public static byte[] write(List<Member> members) {
        int size = LENGTH_BYTES;
        for (Member member : members) {
            size += ID_BYTES
                    + LENGTH_BYTES
                    + member.address().length()
                    + LENGTH_BYTES
                    + member.control().length();
        }
        byte[] bytes = new byte[size];
        int offset = writeNumber(members.size(), LENGTH_BYTES, bytes, 0);
        for (Member member : members) {
            offset = writeNumber(member.id(), ID_BYTES, bytes, offset);
            offset = writeText(member.address(), bytes, offset);
            offset = writeText(member.control(), bytes, offset);
        }
        return bytes;
    }

    /** Reads the format of {@link #write}; throws {@code IllegalArgumentException} on any other input. */
    public static List<Member> read(byte[] bytes) {
        Reader reader = new Reader(bytes);
        int count = (int) reader.readNumber(LENGTH_BYTES);
        if (count > MAX_MEMBERS) {
            throw new IllegalArgumentException(
                    "list of " + count + " members; at most " + MAX_MEMBERS + " are allowed");
        }
        List<Member> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            members.add(new Member(reader.readNumber(ID_BYTES), reader.readText(), reader.readText()));
        }
        if (reader.position != bytes.length) {
            throw new IllegalArgumentException(
                    (bytes.length - reader.position) + " unexpected bytes after the list of members");
        }
        return members;
    }

    private static int writeNumber(long value, int size, byte[] bytes, int offset) {
        for (int i = 0; i < size; i++) {
            bytes[offset + i] = (byte) (value >>> (Byte.SIZE * (size - 1 - i)));
        }
        return offset + size;
    }

    private static int writeText(String text, byte[] bytes, int offset) {
        int next = writeNumber(text.length(), LENGTH_BYTES, bytes, offset);
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == 0 || c > Byte.MAX_VALUE) {
                throw new IllegalArgumentException("address is not ASCII: " + text);
            }
            bytes[next++] = (byte) c;
        }
        return next;
    }

    private static final class Reader {

        private final byte[] bytes;
        private int position;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        private void requireBytes(int size) {
            if (bytes.length - position < size) {
                throw new IllegalArgumentException("truncated list of members");
            }
        }

        long readNumber(int size) {
            requireBytes(size);
            long value = 0;
            for (int i = 0; i < size; i++) {
                value = value << Byte.SIZE | bytes[position++] & 0xff;
            }
            return value;
        }

        String readText() {
            int length = (int) readNumber(LENGTH_BYTES);
            requireBytes(length);
            StringBuilder text = new StringBuilder(length);
            for (int i = 0; i < length; i++) {
                text.append((char) (bytes[position++] & 0x7f));
            }
            return text.toString();
        }
    }
}
