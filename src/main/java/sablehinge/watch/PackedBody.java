package sablehinge.watch;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import sablehinge.rpc.Connection;

/**
 * A configuration as it goes to the balancers: deflated, as its routes are alike and their links are slow. It
 * is packed once and sent to all of them.
 */
public final class PackedBody {

    /** No configuration. */
    static final PackedBody NONE = new PackedBody(0, new byte[0]);
    private static final int CHUNK = 16 * 1024;

    private final int length;
    private final byte[] packed;

    private PackedBody(int length, byte[] packed) {
        this.length = length;
        this.packed = packed;
    }

    /** Packs a body; an empty one is {@link #NONE}. */
    static PackedBody of(byte[] body) {
        if (body.length == 0) {
            return NONE;
        }
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(body);
            deflater.finish();
            byte[] chunk = new byte[CHUNK];
            return new PackedBody(body.length, Bytes.of(out -> {
                while (!deflater.finished()) {
                    out.write(chunk, 0, deflater.deflate(chunk));
                }
            }));
        } finally {
            deflater.end();
        }
    }

    void write(DataOutputStream out) throws IOException {
        out.writeInt(length);
        out.writeInt(packed.length);
        out.write(packed);
    }

    /** Reads what {@link #write} wrote, and unpacks it; fails on anything else. */
    static byte[] read(DataInputStream in) throws IOException {
        byte[] body = new byte[Bytes.bounded(in.readInt(), Connection.MOST_BYTES)];
        byte[] packed = new byte[Bytes.bounded(in.readInt(), Connection.MOST_BYTES)];
        in.readFully(packed);
        if (body.length > 0) {
            unpack(packed, body);
        }
        return body;
    }

    private static void unpack(byte[] packed, byte[] body) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(packed);
            int held = 0;
            int more = 1;
            while (held < body.length && more > 0) {
                more = inflater.inflate(body, held, body.length - held);
                held += more;
            }
            // Only at its end are the bytes compared with their checksum.
            if (held < body.length || inflater.inflate(new byte[1]) > 0 || !inflater.finished()) {
                throw new IOException("a configuration that is not of " + body.length + " bytes");
            }
        } catch (DataFormatException e) {
            throw new IOException("a configuration that can't be unpacked: " + e.getMessage(), e);
        } finally {
            inflater.end();
        }
    }
}
