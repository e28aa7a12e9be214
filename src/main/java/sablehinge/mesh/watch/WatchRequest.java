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
 * @param number the sequence number of the sidecar's request, which the {@link Update} repeats
 * @param registration the sidecar and its local upstream
 * @param edition the edition of the sidecar's configuration; 0 for none
 * @param term the term of the leader that sent the sidecar's registry; 0 for none
 * @param stamp the change counter of that registry
 * @param confirm whether the leader must confirm that nothing newer was acknowledged before the request
 * @param suspicions monitored peers that send no heartbeats; at most {@link Monitor#MAX_REPORTED}
 * @param vouched peers that send heartbeats and are missing in the registry, and upstreams that
 *     {@linkplain Registration#isLeaving leave}, of which the leader may not know; together at most as many
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

    private static final SuspicionCause[] CAUSES = SuspicionCause.values();

    /** Creates a request with unmodifiable lists. */
    public WatchRequest {
        suspicions = List.copyOf(suspicions);
        vouched = List.copyOf(vouched);
    }

    /** Encodes the request. */
    public byte[] bytes() {
        return RecordBytes.encode(this::write);
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
        for (Registration peer : vouched) {
            Registrations.write(peer, out);
        }
    }

    /** Decodes the output of {@link #bytes}; fails on malformed bytes. */
    public static WatchRequest read(byte[] bytes) throws IOException {
        DataInputStream in = RecordBytes.input(bytes);
        int number = in.readInt();
        Registration registration = Registrations.read(in);
        long edition = in.readLong();
        long term = in.readLong();
        long stamp = in.readLong();
        boolean confirm = in.readBoolean();
        int count = RecordBytes.checkCount(in.readUnsignedByte(), Monitor.MAX_REPORTED);
        List<Suspicion> suspicions = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            suspicions.add(new Suspicion(
                    in.readUTF(), CAUSES[RecordBytes.checkCount(in.readUnsignedByte(), CAUSES.length - 1)]));
        }
        count = RecordBytes.checkCount(in.readUnsignedByte(), Monitor.MAX_REPORTED);
        List<Registration> vouched = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            vouched.add(Registrations.read(in));
        }
        return new WatchRequest(number, registration, edition, term, stamp, confirm, suspicions, vouched);
    }
}
