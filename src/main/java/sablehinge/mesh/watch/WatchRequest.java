package sablehinge.mesh.watch;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import sablehinge.mesh.failuredetection.Monitor;
import sablehinge.mesh.failuredetection.Suspicion;
import sablehinge.mesh.failuredetection.SuspicionCause;

/**
 * A sidecar's long poll for updates: configuration, registry, members of the core.
 *
 * @param number counts the sidecar's requests up; the {@link Update} names it
 * @param registration the sidecar itself and its upstream
 * @param edition of the configuration that it has; 0 for none
 * @param term of the leader whose registry it has; 0 for none
 * @param stamp of that registry
 * @param confirm whether the answer has to be confirmed: nothing newer was acknowledged before the request
 * @param suspicions peers that it monitors and does not hear; {@link Monitor#MAX_REPORTED} at most
 * @param vouched peers whose heartbeats it receives and that the registry does not have; as many at most
 */
public record WatchRequest(
        int number,
        Registration registration,
        long edition,
        long term,
        long stamp,
        boolean confirm,
        List<Suspicion> suspicions,
        List<Registration> vouched) {

    private static final SuspicionCause[] EVIDENCE = SuspicionCause.values();

    /** An ask whose lists can't be changed. */
    public WatchRequest {
        suspicions = List.copyOf(suspicions);
        vouched = List.copyOf(vouched);
    }

    /** Writes it. */
    public byte[] bytes() {
        return RecordBytes.of(this::write);
    }

    private void write(DataOutputStream out) throws IOException {
        out.writeInt(number);
        Registrations.write(registration, out);
        out.writeLong(edition);
        out.writeLong(term);
        out.writeLong(stamp);
        out.writeBoolean(confirm);
        out.writeByte(suspicions.size());
        for (Suspicion suspicion : suspicions) {
            out.writeUTF(suspicion.node());
            out.writeByte(suspicion.cause().ordinal());
        }
        out.writeByte(vouched.size());
        for (Registration other : vouched) {
            Registrations.write(other, out);
        }
    }

    /** Reads what {@link #bytes} wrote; fails on anything else. */
    public static WatchRequest read(byte[] bytes) throws IOException {
        DataInputStream in = RecordBytes.in(bytes);
        int number = in.readInt();
        Registration registration = Registrations.read(in);
        long edition = in.readLong();
        long term = in.readLong();
        long stamp = in.readLong();
        boolean confirm = in.readBoolean();
        int count = RecordBytes.bounded(in.readUnsignedByte(), Monitor.MAX_REPORTED);
        List<Suspicion> suspicions = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            suspicions.add(new Suspicion(
                    in.readUTF(), EVIDENCE[RecordBytes.bounded(in.readUnsignedByte(), EVIDENCE.length - 1)]));
        }
        count = RecordBytes.bounded(in.readUnsignedByte(), Monitor.MAX_REPORTED);
        List<Registration> vouched = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            vouched.add(Registrations.read(in));
        }
        return new WatchRequest(number, registration, edition, term, stamp, confirm, suspicions, vouched);
    }
}
