package sablehinge.dataplane.sidecar;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * A heartbeat from a sidecar to one of its watchers.
 *
 * @param place position of the sender's name on the hash ring
 * @param incarnation random number chosen at each start of the process
 * @param number sequence number within the incarnation
 */
record HeartbeatPacket(long place, int incarnation, int number) {

    /** The format version, first byte of each packet. */
    private static final int VERSION = 1;
    /** The size of a packet. */
    static final int BYTES = 17;

    byte[] bytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(BYTES);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            out.writeLong(place);
            out.writeInt(incarnation);
            out.writeInt(number);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Parses the output of {@link #bytes}; fails on anything else. */
    static HeartbeatPacket read(byte[] bytes) throws IOException {
        if (bytes.length != BYTES || bytes[0] != VERSION) {
            throw new IOException(bytes.length + " bytes are not a heartbeat; " + BYTES + " bytes of version " + VERSION
                    + " expected");
        }
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, 1, BYTES - 1));
        return new HeartbeatPacket(in.readLong(), in.readInt(), in.readInt());
    }
}
