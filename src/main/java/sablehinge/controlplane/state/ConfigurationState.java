package sablehinge.controlplane.state;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The state that the core agrees upon: the newest configuration and which ones were taken before it. It changes by
 * committed commands only, alike on every member.
 */
public final class ConfigurationState {

    /** Editions that are remembered, so that an order that is repeated late still has its true answer. */
    private static final int MAX_ACCEPTED = 2_000;

    private static final int FORMAT = 3;
    /** States of this format have checksums of bodies in the place of digests. */
    private static final int FORMAT_2 = 2;
    /** States of this format do not tell either what an edition was based on, nor when it was taken. */
    private static final int FORMAT_1 = 1;

    private static final int COMMAND_FORMAT = 1;
    /** What is not known of an edition that was taken under the bare format. */
    private static final long UNKNOWN = -1;

    /** What became of a command. Nothing that was {@link #STALE} or {@link #OLD} is ever taken later. */
    public enum Outcome {
        /** The configuration is in force. */
        TAKEN,
        /** That very order, on the same base, had been taken before. */
        REPEATED,
        /** It is based on a version that was current before; another one is now. */
        STALE,
        /** Its edition is not above the current one. */
        OLD,
        /** It is based on a version that is not there yet: the same order may be taken later. */
        AHEAD,
        /** So many editions have been accepted since that it is unknown whether it was one of them. */
        FORGOTTEN
    }

    private final Map<Long, AcceptedChange> taken = new LinkedHashMap<>();
    private long edition;
    private byte[] body = new byte[0];
    /** Editions up to this one may have been taken and are no longer remembered; 0 for none. */
    private long forgottenUpTo;

    /**
     * A configuration that was taken.
     *
     * @param length of its body in bytes
     * @param basedOn the edition that it took the place of; -1 where that is not known
     * @param at when it was proposed, by the time of day of whoever proposed it, in ms since 1970; -1 where that is not
     *     known. It is only reported, and nothing is decided by it
     */
    private record AcceptedChange(int length, BodyDigest digest, long basedOn, long at) {

        boolean isOrder(long base, byte[] sent) {
            return (basedOn == base || basedOn == UNKNOWN) && length == sent.length && digest.matches(sent);
        }
    }

    /** Receives the history of accepted editions. */
    public interface HistoryReader {

        /**
         * One of them.
         *
         * @param basedOn the edition that it took the place of; -1 where that is not known
         * @param at when it was proposed, in ms since 1970 by the proposer's time of day; -1 where that is not known
         * @param length of the configuration in bytes
         */
        void taken(long edition, long basedOn, long at, int length, BodyDigest digest);
    }

    /** Tells the editions that were taken, the oldest that is kept first, at most 2,000. */
    public void read(HistoryReader reader) {
        taken.forEach((one, what) -> reader.taken(one, what.basedOn, what.at, what.length, what.digest));
    }

    /**
     * A command that replaces one configuration by another.
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

    /** What a command would come to if it were committed now. An order is its base, edition and body. */
    public Outcome evaluate(long basedOn, long next, byte[] nextBody) {
        AcceptedChange known = taken.get(next);
        if (known != null && known.isOrder(basedOn, nextBody)) {
            return Outcome.REPEATED;
        }
        if (next <= forgottenUpTo) {
            return Outcome.FORGOTTEN;
        }
        if (basedOn != edition) {
            return basedOn < edition ? Outcome.STALE : Outcome.AHEAD;
        }
        return next <= edition ? Outcome.OLD : Outcome.TAKEN;
    }

    /** Executes a committed command. */
    public Outcome apply(byte[] command) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(command))) {
            in.readByte();
            long basedOn = in.readLong();
            long next = in.readLong();
            byte[] nextBody = new byte[in.readInt()];
            in.readFully(nextBody);
            long at = in.available() >= Long.BYTES ? in.readLong() : UNKNOWN;
            Outcome outcome = evaluate(basedOn, next, nextBody);
            if (outcome == Outcome.TAKEN) {
                edition = next;
                body = nextBody;
                record(next, new AcceptedChange(nextBody.length, BodyDigest.of(nextBody), basedOn, at));
            }
            return outcome;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void record(long one, AcceptedChange what) {
        taken.put(one, what);
        if (taken.size() > MAX_ACCEPTED) {
            forgottenUpTo = taken.keySet().iterator().next();
            taken.remove(forgottenUpTo);
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

    /** The complete state as bytes. */
    public byte[] state() {
        return bytes(out -> {
            out.writeByte(FORMAT);
            out.writeLong(edition);
            out.writeInt(body.length);
            out.write(body);
            out.writeLong(forgottenUpTo);
            out.writeInt(taken.size());
            for (Map.Entry<Long, AcceptedChange> one : taken.entrySet()) {
                out.writeLong(one.getKey());
                out.writeInt(one.getValue().length);
                one.getValue().digest.write(out);
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
        forgottenUpTo = 0;
        if (state.length == 0) {
            return;
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(state))) {
            int format = in.readByte();
            if (format < FORMAT_1 || format > FORMAT) {
                throw new IllegalArgumentException(
                        "a state of format " + format + "; " + FORMAT_1 + " to " + FORMAT + " are expected");
            }
            edition = in.readLong();
            body = new byte[in.readInt()];
            in.readFully(body);
            long forgotten = format >= FORMAT ? in.readLong() : UNKNOWN;
            int count = in.readInt();
            for (int i = 0; i < count; i++) {
                taken.put(in.readLong(), readTaken(format, in));
            }
            forgottenUpTo = forgotten == UNKNOWN ? mayBeForgotten() : forgotten;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static AcceptedChange readTaken(int format, DataInputStream in) throws IOException {
        int length = in.readInt();
        BodyDigest digest =
                format <= FORMAT_2 ? BodyDigest.checksums(in.readLong(), in.readInt()) : BodyDigest.read(in);
        return format == FORMAT_1
                ? new AcceptedChange(length, digest, UNKNOWN, UNKNOWN)
                : new AcceptedChange(length, digest, in.readLong(), in.readLong());
    }

    /** The formats before the third don't tell; where they are full, one may have been dropped. */
    private long mayBeForgotten() {
        return taken.size() < MAX_ACCEPTED ? 0 : taken.keySet().iterator().next() - 1;
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
