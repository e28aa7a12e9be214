package sablehinge.torture;

import java.util.SplittableRandom;
import java.util.zip.CRC32C;

/** The bytes of a body by a seed: what is lost, doubled or out of place in them shows in their checksum. */
final class Body {

    private static final byte[] TABLE = new byte[1 << 16];

    static {
        new SplittableRandom(7).nextBytes(TABLE);
    }

    final long length;
    private final int from;
    private final CRC32C sum = new CRC32C();
    private long at;

    Body(int from, long length) {
        this.from = from & 0xffff;
        this.length = length;
    }

    /** The next bytes, so many at most. */
    byte[] next(int most) {
        byte[] bytes = new byte[(int) Math.min(most, length - at)];
        for (int done = 0; done < bytes.length; ) {
            // Each 64 KiB begin elsewhere in the table, so that a complete one that is lost is seen too.
            long place = at + done;
            int start = (int) (from + place + (place >>> 16) * 41 & 0xffff);
            int count =
                    Math.min(bytes.length - done, Math.min(TABLE.length - start, (int) (0x10000 - (place & 0xffff))));
            System.arraycopy(TABLE, start, bytes, done, count);
            done += count;
        }
        sum.update(bytes);
        at += bytes.length;
        return bytes;
    }

    boolean isOver() {
        return at == length;
    }

    long sent() {
        return at;
    }

    /** The checksum of what was taken of it. */
    long sum() {
        return sum.getValue();
    }
}
