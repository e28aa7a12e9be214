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
 * The replicated state machine: the current configuration and the history of accepted configurations. Only committed
 * commands change it, identically on every member.
 */
public final class ConfigurationState {

    /** Maximum number of accepted editions in the history, by which a late repetition of a command is recognised. */
    private static final int MAX_ACCEPTED = 2_000;

    private static final int FORMAT = 3;
    /** States of this format contain checksums of bodies, not digests. */
    private static final int FORMAT_2 = 2;
    /** States of this format contain checksums, and neither the base of an edition nor when it was accepted. */
    private static final int FORMAT_1 = 1;

    private static final int COMMAND_FORMAT = 1;
    /** Base or time of an edition for which the stored format has none. */
    private static final long UNKNOWN = -1;

    /** The outcome of a command. A command that was {@link #STALE} or {@link #OLD} is never accepted later. */
    public enum Outcome {
        /** The configuration was accepted and is now the current one. */
        TAKEN,
        /** The same command, on the same base, was accepted before. */
        REPEATED,
        /** The command is based on an edition that is no longer the current one. */
        STALE,
        /** The edition of the command is not above the current one. */
        OLD,
        /** The command is based on an edition that does not exist yet; the same command may be accepted later. */
        AHEAD,
        /** So many editions have been accepted since then that it is unknown whether this one was accepted. */
        FORGOTTEN
    }

    private final Map<Long, AcceptedChange> accepted = new LinkedHashMap<>();
    private long edition;
    private byte[] body = new byte[0];
    /** Editions up to this one may have been accepted and are no longer in the history; 0 for none. */
    private long forgottenUpTo;

    /**
     * An accepted configuration.
     *
     * @param length size of its body in bytes
     * @param basedOn the edition that it replaced; -1 if unknown
     * @param proposedAt when it was proposed, in ms since 1970 by the proposer's wall clock; -1 if unknown. The time is
     *     only reported and affects no decision
     */
    private record AcceptedChange(int length, BodyDigest digest, long basedOn, long proposedAt) {

        boolean matches(long otherBase, byte[] otherBody) {
            return (basedOn == otherBase || basedOn == UNKNOWN)
                    && length == otherBody.length
                    && digest.matches(otherBody);
        }
    }

    /** Receives the history of accepted editions. */
    public interface HistoryReader {

        /**
         * Receives one accepted edition.
         *
         * @param basedOn the edition that it replaced; -1 if unknown
         * @param proposedAt when it was proposed, in ms since 1970 by the proposer's wall clock; -1 if unknown
         * @param length size of the configuration in bytes
         */
        void onAccepted(long edition, long basedOn, long proposedAt, int length, BodyDigest digest);
    }

    /** Reads the history of accepted editions, oldest first, at most 2,000. */
    public void read(HistoryReader reader) {
        accepted.forEach((acceptedEdition, change) ->
                reader.onAccepted(acceptedEdition, change.basedOn, change.proposedAt, change.length, change.digest));
    }

    /**
     * Encodes a command that replaces one configuration by another.
     *
     * @param proposedAt proposal time in ms since 1970; part of the command, as all members must store the same time
     */
    public static byte[] replace(long basedOn, long edition, byte[] body, long proposedAt) {
        return encode(out -> {
            out.writeByte(COMMAND_FORMAT);
            out.writeLong(basedOn);
            out.writeLong(edition);
            out.writeInt(body.length);
            out.write(body);
            // At the end, so that members of an older version ignore it.
            out.writeLong(proposedAt);
        });
    }

    /** Returns the outcome of a command if it were committed now. Base, edition and body identify a command. */
    public Outcome evaluate(long basedOn, long next, byte[] nextBody) {
        AcceptedChange known = accepted.get(next);
        if (known != null && known.matches(basedOn, nextBody)) {
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
            long proposedAt = in.available() >= Long.BYTES ? in.readLong() : UNKNOWN;
            Outcome outcome = evaluate(basedOn, next, nextBody);
            if (outcome == Outcome.TAKEN) {
                edition = next;
                body = nextBody;
                addAccepted(next, new AcceptedChange(nextBody.length, BodyDigest.of(nextBody), basedOn, proposedAt));
            }
            return outcome;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void addAccepted(long acceptedEdition, AcceptedChange change) {
        accepted.put(acceptedEdition, change);
        if (accepted.size() > MAX_ACCEPTED) {
            forgottenUpTo = accepted.keySet().iterator().next();
            accepted.remove(forgottenUpTo);
        }
    }

    /** The current edition; 0 if there is none. */
    public long edition() {
        return edition;
    }

    /** The current configuration as it was sent; must not be modified. */
    public byte[] body() {
        return body;
    }

    /** Encodes the complete state. */
    public byte[] state() {
        return encode(out -> {
            out.writeByte(FORMAT);
            out.writeLong(edition);
            out.writeInt(body.length);
            out.write(body);
            out.writeLong(forgottenUpTo);
            out.writeInt(accepted.size());
            for (Map.Entry<Long, AcceptedChange> entry : accepted.entrySet()) {
                out.writeLong(entry.getKey());
                out.writeInt(entry.getValue().length);
                entry.getValue().digest.write(out);
                out.writeLong(entry.getValue().basedOn);
                out.writeLong(entry.getValue().proposedAt);
            }
        });
    }

    /** Replaces this state by an encoded one; an empty array is the state before any configuration. */
    public void restore(byte[] state) {
        accepted.clear();
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
                        "unsupported state format " + format + "; expected " + FORMAT_1 + " to " + FORMAT);
            }
            edition = in.readLong();
            body = new byte[in.readInt()];
            in.readFully(body);
            long forgotten = format >= FORMAT ? in.readLong() : UNKNOWN;
            int count = in.readInt();
            for (int i = 0; i < count; i++) {
                accepted.put(in.readLong(), readAccepted(format, in));
            }
            forgottenUpTo = forgotten == UNKNOWN ? inferForgottenUpTo() : forgotten;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static AcceptedChange readAccepted(int format, DataInputStream in) throws IOException {
        int length = in.readInt();
        BodyDigest digest =
                format <= FORMAT_2 ? BodyDigest.checksums(in.readLong(), in.readInt()) : BodyDigest.read(in);
        return format == FORMAT_1
                ? new AcceptedChange(length, digest, UNKNOWN, UNKNOWN)
                : new AcceptedChange(length, digest, in.readLong(), in.readLong());
    }

    /** Formats 1 and 2 do not store this; if their history is full, an edition may have been dropped from it. */
    private long inferForgottenUpTo() {
        return accepted.size() < MAX_ACCEPTED ? 0 : accepted.keySet().iterator().next() - 1;
    }

    private interface Encoder {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private static byte[] encode(Encoder encoder) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            encoder.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
