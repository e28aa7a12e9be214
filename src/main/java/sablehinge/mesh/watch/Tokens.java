package sablehinge.mesh.watch;

import java.io.DataInputStream;
import java.io.IOException;

/**
 * A request for tokens of a tenant's pool, or the answer with tokens.
 *
 * @param count the number of requested or granted tokens; 0 granted tokens mean that the pool is empty
 */
public record Tokens(String tenant, int count) {

    /** Encodes the tokens. */
    public byte[] bytes() {
        return RecordBytes.encode(out -> {
            out.writeUTF(tenant);
            out.writeShort(count);
        });
    }

    /** Decodes the output of {@link #bytes}; fails on malformed bytes. */
    public static Tokens read(byte[] bytes) throws IOException {
        DataInputStream in = RecordBytes.input(bytes);
        return new Tokens(in.readUTF(), in.readUnsignedShort());
    }
}
