package sablehinge.dataplane.sidecar;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * A heartbeat of a balancer to one that watches over it.
 *
 * @param place of its name on the ring
 * @param incarnation drawn anew with each start of its process
 * @param number counts up in one incarnation
 */
record HeartbeatPacket(long place, int incarnation, int number) {

    /** Of the format, first in each record. */
    private static final int VERSION = 1;
    /** What one takes, in bytes. */
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

    /** Reads what {@link #bytes} wrote; fails on anything else. */
    static HeartbeatPacket read(byte[] bytes) throws IOException {
        if (bytes.length != BYTES || bytes[0] != VERSION) {
            throw new IOException(
                    bytes.length + " bytes that are no beat; " + BYTES + " of version " + VERSION + " are expected");
        }
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, 1, BYTES - 1));
        return new HeartbeatPacket(in.readLong(), in.readInt(), in.readInt());
    }
}
