package sablehinge.state;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The state that the core agrees upon: the newest configuration and which ones were taken before it. It
 * changes by committed commands only, alike on every member.
 */
public final class ConfigurationState {

    /** Editions whose marks are kept, so that a call that is repeated late still has its true answer. */
    private static final int MOST_TAKEN = 2_000;
    private static final int FORMAT = 2;
    /** States of this format do not tell what an edition was based on, nor when it was taken. */
    private static final int BARE_FORMAT = 1;
    private static final int COMMAND_FORMAT = 1;
    /** What is not known of an edition that was taken under the bare format. */
    private static final long UNKNOWN = -1;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** What became of a command. */
    public enum Outcome {
        /** The configuration is in force. */
        TAKEN,
        /** That very configuration had been taken before. */
        REPEATED,
        /** Another version is current. */
        STALE,
        /** Its edition is not above the current one. */
        OLD
    }

    private final Map<Long, Taken> taken = new LinkedHashMap<>();
    private long edition;
    private byte[] body = new byte[0];

    /** What tells one body from another: its length and two sums. */
    private record Mark(int length, long sum, int hash) {

        static Mark of(byte[] body) {
            long sum = FNV_OFFSET;
            for (byte b : body) {
                sum = (sum ^ (b & 0xff)) * FNV_PRIME;
            }
            return new Mark(body.length, sum, Arrays.hashCode(body));
        }
    }

    /**
     * A configuration that was taken.
     *
     * @param basedOn the edition that it took the place of; -1 where that is not known
     * @param at when it was proposed, by the time of day of whoever proposed it, in ms since 1970; -1 where
     *     that is not known. It is only ever told, and nothing is decided by it
     */
    private record Taken(Mark mark, long basedOn, long at) { }

    /** Is told of the editions that were taken. */
    public interface Reader {

        /**
         * One of them.
         *
         * @param basedOn the edition that it took the place of; -1 where that is not known
         * @param at when it was proposed, in ms since 1970 by the proposer's time of day; -1 where that is
         *     not known
         * @param length of the configuration in bytes
         * @param sum of these, FNV-1a of 64 bits
         */
        void taken(long edition, long basedOn, long at, int length, long sum);
    }

    /** Tells the editions that were taken, the oldest that is kept first, at most 2,000. */
    public void read(Reader reader) {
        taken.forEach((one, what) -> reader.taken(one, what.basedOn, what.at, what.mark.length,
                what.mark.sum));
    }

    /**
     * A command that puts a configuration in the place of another.
     *
     * @param at ms since 1970; it comes with the command, as all members must keep the same
     */
    public static byte[] replace(long basedOn, long edition, byte[] body, long at) {
        return bytes(out -> {
            out.writeByte(COMMAND_FORMAT);
            out.writeLong(basedOn);
            out.writeLong(edition);
            out.writeInt(body.length);
            out.write(body);
            // Behind what members of before read, who pass it over.
            out.writeLong(at);
        });
    }

    /** What a command would come to if it were committed now. */
    public Outcome foresee(long basedOn, long next, byte[] nextBody) {
        Taken known = taken.get(next);
        if (known != null && known.mark.equals(Mark.of(nextBody))) {
            return Outcome.REPEATED;
        }
        return basedOn != edition ? Outcome.STALE : next <= edition ? Outcome.OLD : Outcome.TAKEN;
    }

    /** Carries out a committed command. */
    public Outcome apply(byte[] command) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(command))) {
            in.readByte();
            long basedOn = in.readLong();
            long next = in.readLong();
            byte[] nextBody = new byte[in.readInt()];
            in.readFully(nextBody);
            long at = in.available() >= Long.BYTES ? in.readLong() : UNKNOWN;
            Outcome outcome = foresee(basedOn, next, nextBody);
            if (outcome == Outcome.TAKEN) {
                edition = next;
                body = nextBody;
                taken.put(next, new Taken(Mark.of(nextBody), basedOn, at));
                if (taken.size() > MOST_TAKEN) {
                    taken.remove(taken.keySet().iterator().next());
                }
            }
            return outcome;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The edition in force; 0 where there is none. */
    public long edition() {
        return edition;
    }

    /** The configuration in force as it was sent; not to be changed. */
    public byte[] body() {
        return body;
    }

    /** The whole state as bytes. */
    public byte[] state() {
        return bytes(out -> {
            out.writeByte(FORMAT);
            out.writeLong(edition);
            out.writeInt(body.length);
            out.write(body);
            out.writeInt(taken.size());
            for (Map.Entry<Long, Taken> one : taken.entrySet()) {
                Mark mark = one.getValue().mark;
                out.writeLong(one.getKey());
                out.writeInt(mark.length);
                out.writeLong(mark.sum);
                out.writeInt(mark.hash);
                out.writeLong(one.getValue().basedOn);
                out.writeLong(one.getValue().at);
            }
        });
    }

    /** Takes a state in the place of this one; no bytes are the state before any configuration. */
    public void restore(byte[] state) {
        taken.clear();
        edition = 0;
        body = new byte[0];
        if (state.length == 0) {
            return;
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(state))) {
            int format = in.readByte();
            if (format != FORMAT && format != BARE_FORMAT) {
                throw new IllegalArgumentException("a state of format " + format + "; " + FORMAT + " or "
                        + BARE_FORMAT + " is expected");
            }
            edition = in.readLong();
            body = new byte[in.readInt()];
            in.readFully(body);
            int count = in.readInt();
            for (int i = 0; i < count; i++) {
                long one = in.readLong();
                Mark mark = new Mark(in.readInt(), in.readLong(), in.readInt());
                taken.put(one, format == BARE_FORMAT ? new Taken(mark, UNKNOWN, UNKNOWN)
                        : new Taken(mark, in.readLong(), in.readLong()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private interface Writing {
        void to(DataOutputStream out) throws IOException;
    }

    private static byte[] bytes(Writing writing) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            writing.to(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
