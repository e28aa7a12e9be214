package sablehinge.torture;

import java.io.IOException;
import java.util.function.DoubleSupplier;

/**
 * The bytes of one direction of a connection, as a kernel holds them between a writer and a reader: bounded, in order,
 * ended by the writer (FIN) or broken by either (RST, RFC 9293 section 3.5.3).
 */
final class Pipe {

    private byte[] ring;
    private final int limit;
    private int from;
    private int held;
    private boolean ended;
    private boolean broken;
    /** Bytes that were ever written and read. */
    private long in;

    private long out;
    private final DoubleSupplier clock;
    private double filledAt = Double.NaN;

    Pipe(int limit, DoubleSupplier clock) {
        this.limit = limit;
        this.clock = clock;
        ring = new byte[Math.min(limit, 256)];
    }

    int held() {
        return held;
    }

    int space() {
        return broken || ended ? 0 : limit - held;
    }

    long in() {
        return in;
    }

    long out() {
        return out;
    }

    /** When the oldest of what lay in it last, without a gap, was written; NaN for never. */
    double filledAt() {
        return filledAt;
    }

    /** Whether its writer has ended it and all of it is read. */
    boolean atEnd() {
        return ended && held == 0;
    }

    boolean isEnded() {
        return ended;
    }

    boolean isBroken() {
        return broken;
    }

    void end() {
        ended = true;
    }

    /** It is broken; what lies in it is lost or can still be read. */
    void breakOff(boolean drops) {
        broken = true;
        if (drops) {
            held = 0;
        }
    }

    /** Takes as many of the bytes as there is room for. */
    int write(byte[] bytes, int at, int length) throws IOException {
        if (broken || ended) {
            throw new IOException("Broken pipe");
        }
        int count = Math.min(length, limit - held);
        if (held + count > ring.length) {
            byte[] longer = new byte[Math.min(limit, Math.max(held + count, 2 * ring.length))];
            copy(longer, 0, held);
            ring = longer;
            from = 0;
        }
        int to = (from + held) % ring.length;
        int first = Math.min(count, ring.length - to);
        System.arraycopy(bytes, at, ring, to, first);
        System.arraycopy(bytes, at + first, ring, 0, count - first);
        if (held == 0 && count > 0) {
            filledAt = clock.getAsDouble();
        }
        held += count;
        in += count;
        return count;
    }

    /** Reads up to so many bytes. */
    byte[] read(int most) {
        byte[] bytes = new byte[Math.min(most, held)];
        copy(bytes, 0, bytes.length);
        from = (from + bytes.length) % ring.length;
        held -= bytes.length;
        out += bytes.length;
        return bytes;
    }

    private void copy(byte[] to, int at, int count) {
        int first = Math.min(count, ring.length - from);
        System.arraycopy(ring, from, to, at, first);
        System.arraycopy(ring, 0, to, at + first, count - first);
    }

    @Override
    public String toString() {
        return held + " of " + limit + (ended ? " ended" : "") + (broken ? " broken" : "") + ", " + in
                + " in, "
                + out + " out ";
    }
}
