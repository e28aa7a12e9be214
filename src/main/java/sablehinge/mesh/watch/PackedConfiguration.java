package sablehinge.mesh.watch;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import java.util.zip.InflaterInputStream;
import sablehinge.common.rpc.Connection;

/**
 * A configuration as it travels to sidecars: one byte for the format, four for the length of the body, and the body
 * deflated (RFC 1950, whose checksum tells what was torn). The leader packs each edition once, whatever the number of
 * sidecars; each of them unpacks it once.
 */
public final class PackedConfiguration {

    /** The longest body that is unpacked, in bytes. */
    static final int MAX_BYTES = Connection.MAX_BYTES;

    private static final int DEFLATED = 1;

    private PackedConfiguration() {}

    /** Packs the body of a configuration. */
    public static byte[] pack(byte[] body) {
        return RecordBytes.of(out -> {
            out.writeByte(DEFLATED);
            out.writeInt(body.length);
            try (DeflaterOutputStream deflated = new DeflaterOutputStream(out)) {
                deflated.write(body);
            }
        });
    }

    /**
     * The body that was packed.
     *
     * @throws IOException if the bytes are of another format, torn, too large, or followed by others
     */
    public static byte[] unpack(byte[] packed) throws IOException {
        DataInputStream in = RecordBytes.in(packed);
        int format = in.readUnsignedByte();
        if (format != DEFLATED) {
            throw new IOException("a configuration of format " + format + "; " + DEFLATED + " is expected");
        }
        int length = in.readInt();
        if (length < 0 || length > MAX_BYTES) {
            throw new IOException("a configuration of " + length + " bytes; " + MAX_BYTES + " at most are expected");
        }
        Inflater inflater = new Inflater();
        try {
            return inflate(in, inflater, length);
        } finally {
            inflater.end();
        }
    }

    private static byte[] inflate(DataInputStream in, Inflater inflater, int length) throws IOException {
        InflaterInputStream inflated = new InflaterInputStream(in, inflater);
        // Reads as it goes: a length that lies costs no more memory than what the bytes inflate to.
        byte[] body = inflated.readNBytes(length);
        // The checksum is only looked at where the end is read.
        if (body.length < length || inflated.read() >= 0) {
            throw new IOException("a configuration that has not the " + length + " bytes that it names");
        }
        if (inflater.getRemaining() + in.available() > 0) {
            throw new IOException("bytes behind the end of a configuration");
        }
        return body;
    }
}
