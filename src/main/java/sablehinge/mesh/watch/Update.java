package sablehinge.mesh.watch;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import sablehinge.common.rpc.Connection;

/**
 * The answer to a {@link WatchRequest}.
 *
 * @param number the number of the request
 * @param confirmed whether the leader confirmed that nothing newer had been acknowledged when the request arrived
 * @param edition the edition of the current configuration; 0 for none
 * @param body the configuration as packed by {@link PackedConfiguration}; empty if the sidecar already has it
 * @param term the term of the leader that owns the registry
 * @param stamp the change counter of the registry
 * @param full whether the registrations are complete rather than only the changed ones
 * @param complete whether a balancer missing in the registry is known to be gone
 * @param size the number of balancers among which quotas are divided
 * @param registrations the registrations, or those changed since the stamp of the request
 * @param core addresses at which the members of the core accept records
 */
public record Update(
        int number,
        boolean confirmed,
        long edition,
        byte[] body,
        long term,
        long stamp,
        boolean full,
        boolean complete,
        int size,
        List<Registration> registrations,
        List<String> core) {

    private static final int MAX_REGISTRATIONS = 10_000;

    /** Creates an update with unmodifiable lists. */
    public Update {
        registrations = List.copyOf(registrations);
        core = List.copyOf(core);
    }

    /** Encodes the update. */
    public byte[] bytes() {
        return RecordBytes.encode(this::write);
    }

    private void write(DataOutputStream out) throws IOException {
        out.writeInt(number);
        out.writeBoolean(confirmed);
        out.writeLong(edition);
        out.writeInt(body.length);
        out.write(body);
        out.writeLong(term);
        out.writeLong(stamp);
        out.writeBoolean(full);
        out.writeBoolean(complete);
        out.writeShort(size);
        out.writeShort(registrations.size());
        for (Registration registration : registrations) {
            Registrations.write(registration, out);
        }
        out.writeByte(core.size());
        for (String member : core) {
            out.writeUTF(member);
        }
    }

    /** Decodes the output of {@link #bytes}; fails on malformed bytes. */
    public static Update read(byte[] bytes) throws IOException {
        DataInputStream in = RecordBytes.input(bytes);
        int number = in.readInt();
        boolean confirmed = in.readBoolean();
        long edition = in.readLong();
        byte[] body = new byte[RecordBytes.checkCount(in.readInt(), Connection.MAX_BYTES)];
        in.readFully(body);
        long term = in.readLong();
        long stamp = in.readLong();
        boolean full = in.readBoolean();
        boolean complete = in.readBoolean();
        int size = in.readUnsignedShort();
        int count = RecordBytes.checkCount(in.readUnsignedShort(), MAX_REGISTRATIONS);
        List<Registration> registrations = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            registrations.add(Registrations.read(in));
        }
        count = in.readUnsignedByte();
        List<String> core = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            core.add(in.readUTF());
        }
        return new Update(number, confirmed, edition, body, term, stamp, full, complete, size, registrations, core);
    }
}
