package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * Lists of members as bytes: a count of 16 bits, and for each its id of 64 bits and its two addresses, each with its
 * length of 16 bits. Written by hand, as a decider has no streams; they read the same by
 * {@code DataInputStream.readUTF}, since addresses are ASCII.
 */
public final class MemberListCodec {

    /** More than any core has. */
    public static final int MAX_MEMBERS = 64;

    private static final int ID = 8;
    private static final int LENGTH = 2;

    private MemberListCodec() {}

    /** Writes a list. */
    public static byte[] write(List<Member> members) {
        int size = LENGTH;
        for (Member member : members) {
            size += ID
                    + LENGTH
                    + member.address().length()
                    + LENGTH
                    + member.control().length();
        }
        byte[] bytes = new byte[size];
        int at = number(members.size(), LENGTH, bytes, 0);
        for (Member member : members) {
            at = number(member.id(), ID, bytes, at);
            at = text(member.address(), bytes, at);
            at = text(member.control(), bytes, at);
        }
        return bytes;
    }

    /** Reads what {@link #write} wrote; fails with {@code IllegalArgumentException} on anything else. */
    public static List<Member> read(byte[] bytes) {
        Reader reader = new Reader(bytes);
        int count = (int) reader.number(LENGTH);
        if (count > MAX_MEMBERS) {
            throw new IllegalArgumentException(
                    "a core of " + count + " members; " + MAX_MEMBERS + " at most are expected");
        }
        List<Member> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            members.add(new Member(reader.number(ID), reader.text(), reader.text()));
        }
        if (reader.at != bytes.length) {
            throw new IllegalArgumentException((bytes.length - reader.at) + " bytes after a list of members");
        }
        return members;
    }

    private static int number(long value, int size, byte[] bytes, int at) {
        for (int i = 0; i < size; i++) {
            bytes[at + i] = (byte) (value >>> (Byte.SIZE * (size - 1 - i)));
        }
        return at + size;
    }

    private static int text(String text, byte[] bytes, int at) {
        int to = number(text.length(), LENGTH, bytes, at);
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == 0 || c > Byte.MAX_VALUE) {
                throw new IllegalArgumentException("an address that is not ASCII: " + text);
            }
            bytes[to++] = (byte) c;
        }
        return to;
    }

    private static final class Reader {

        private final byte[] bytes;
        private int at;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        private void need(int size) {
            if (bytes.length - at < size) {
                throw new IllegalArgumentException("a list of members that ends early");
            }
        }

        long number(int size) {
            need(size);
            long value = 0;
            for (int i = 0; i < size; i++) {
                value = value << Byte.SIZE | bytes[at++] & 0xff;
            }
            return value;
        }

        String text() {
            int length = (int) number(LENGTH);
            need(length);
            StringBuilder text = new StringBuilder(length);
            for (int i = 0; i < length; i++) {
                text.append((char) (bytes[at++] & 0x7f));
            }
            return text.toString();
        }
    }
}
