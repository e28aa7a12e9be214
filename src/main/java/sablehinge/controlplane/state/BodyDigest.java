package sablehinge.controlplane.state;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Locale;

/**
 * Identifies the body of a configuration: by SHA-256, or by two checksums for a configuration that was accepted under
 * state format 1 or 2.
 */
public final class BodyDigest {

    private static final int SHA_256_BYTES = 32;
    private static final byte CHECKSUMS = 0;
    private static final byte SHA_256 = 1;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Null if only the checksums below are known. */
    private final byte[] sha256;

    private final long fnv;
    private final int hash;

    private BodyDigest(byte[] sha256, long fnv, int hash) {
        this.sha256 = sha256;
        this.fnv = fnv;
        this.hash = hash;
    }

    /** Returns the SHA-256 digest of a body. */
    public static BodyDigest of(byte[] body) {
        try {
            return new BodyDigest(MessageDigest.getInstance("SHA-256").digest(body), 0, 0);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is required on every Java platform", e);
        }
    }

    /**
     * Returns the checksums that state formats 1 and 2 store.
     *
     * @param fnv 64-bit FNV-1a hash
     * @param hash {@link Arrays#hashCode(byte[])}
     */
    static BodyDigest checksums(long fnv, int hash) {
        return new BodyDigest(null, fnv, hash);
    }

    /** Whether a body has this digest. */
    boolean matches(byte[] body) {
        return sha256 == null ? fnv == fnv(body) && hash == Arrays.hashCode(body) : equals(of(body));
    }

    private static long fnv(byte[] body) {
        long sum = FNV_OFFSET;
        for (byte b : body) {
            sum = (sum ^ (b & 0xff)) * FNV_PRIME;
        }
        return sum;
    }

    /** Hexadecimal form: 64 digits of SHA-256, or 16 digits of FNV-1a if only the checksums are known. */
    public String hex() {
        return sha256 == null
                ? String.format(Locale.ROOT, "%016x", fnv)
                : HexFormat.of().formatHex(sha256);
    }

    void write(DataOutputStream out) throws IOException {
        if (sha256 == null) {
            out.writeByte(CHECKSUMS);
            out.writeLong(fnv);
            out.writeInt(hash);
        } else {
            out.writeByte(SHA_256);
            out.write(sha256);
        }
    }

    static BodyDigest read(DataInputStream in) throws IOException {
        byte kind = in.readByte();
        if (kind == CHECKSUMS) {
            return checksums(in.readLong(), in.readInt());
        }
        if (kind != SHA_256) {
            throw new IOException("unknown kind of digest: " + kind);
        }
        byte[] sha256 = new byte[SHA_256_BYTES];
        in.readFully(sha256);
        return new BodyDigest(sha256, 0, 0);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof BodyDigest that
                && fnv == that.fnv
                && hash == that.hash
                && Arrays.equals(sha256, that.sha256);
    }

    @Override
    public int hashCode() {
        return sha256 == null ? hash : Arrays.hashCode(sha256);
    }

    @Override
    public String toString() {
        return hex();
    }
}
