package sablehinge.mesh.watch;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import java.util.zip.InflaterInputStream;
import sablehinge.common.rpc.Connection;

/**
 * The encoding of a configuration for sidecars: one byte for the format, four for the length of the body, and the
 * deflated body (RFC 1950, whose checksum detects damaged data). The leader packs each edition once, independent of the
 * number of sidecars, and each sidecar unpacks it once.
 */
public final class PackedConfiguration {

    /** Maximum length of an unpacked body, in bytes. */
    static final int MAX_BYTES = Connection.MAX_BYTES;

    private static final int DEFLATED = 1;

    private PackedConfiguration() {}

    /** Packs the body of a configuration. */
    public static byte[] pack(byte[] body) {
        return RecordBytes.encode(out -> {
            out.writeByte(DEFLATED);
            out.writeInt(body.length);
            try (DeflaterOutputStream deflated = new DeflaterOutputStream(out)) {
                deflated.write(body);
            }
        });
    }

    /**
     * Unpacks the body of a configuration.
     *
     * @throws IOException if the format is unknown, or if the data is damaged, too large or followed by further bytes
     */
    public static byte[] unpack(byte[] packed) throws IOException {
        DataInputStream in = RecordBytes.input(packed);
        int format = in.readUnsignedByte();
        if (format != DEFLATED) {
            throw new IOException("configuration has format " + format + "; format " + DEFLATED + " is expected");
        }
        int length = in.readInt();
        if (length < 0 || length > MAX_BYTES) {
            throw new IOException("configuration has " + length + " bytes; at most " + MAX_BYTES + " are allowed");
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
        // Reads incrementally, so that a false length takes no more memory than the inflated data.
        byte[] body = inflated.readNBytes(length);
        // The inflater verifies the checksum only when the end of the stream is read.
        if (body.length < length || inflated.read() >= 0) {
            throw new IOException(
                    "inflated configuration does not have the " + length + " bytes that its header states");
        }
        if (inflater.getRemaining() + in.available() > 0) {
            throw new IOException("unexpected bytes after the end of a configuration");
        }
        return body;
    }
}
