package sablehinge.mesh.watch;

import java.io.DataInputStream;
import java.io.IOException;

/**
 * Asks for tokens of a tenant's pool, and brings them.
 *
 * @param count wanted, or given; 0 given says that the pool is empty
 */
public record Tokens(String tenant, int count) {

    /** Writes it. */
    public byte[] bytes() {
        return RecordBytes.of(out -> {
            out.writeUTF(tenant);
            out.writeShort(count);
        });
    }

    /** Reads what {@link #bytes} wrote; fails on anything else. */
    public static Tokens read(byte[] bytes) throws IOException {
        DataInputStream in = RecordBytes.in(bytes);
        return new Tokens(in.readUTF(), in.readUnsignedShort());
    }
}
