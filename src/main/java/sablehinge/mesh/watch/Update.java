package sablehinge.mesh.watch;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import sablehinge.common.rpc.Connection;

/**
 * The answer to an ask.
 *
 * @param number of the ask
 * @param confirmed whether nothing newer had been acknowledged when the ask came
 * @param edition of the configuration in force; 0 for none
 * @param body that configuration as {@link PackedConfiguration} packs it; empty where the asker has it
 * @param term of the leader that keeps the registry
 * @param stamp of the registry
 * @param full whether the registrations are all there are, rather than those that changed
 * @param complete whether a balancer that is not in the registry is gone
 * @param size balancers among which quotas are divided
 * @param registrations that changed since the stamp of the ask
 * @param core where the members of the core take records
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

    private static final int MAX = 10_000;

    /** Update whose lists can't be changed. */
    public Update {
        registrations = List.copyOf(registrations);
        core = List.copyOf(core);
    }

    /** Writes them. */
    public byte[] bytes() {
        return RecordBytes.of(this::write);
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

    /** Reads what {@link #bytes} wrote; fails on anything else. */
    public static Update read(byte[] bytes) throws IOException {
        DataInputStream in = RecordBytes.in(bytes);
        int number = in.readInt();
        boolean confirmed = in.readBoolean();
        long edition = in.readLong();
        byte[] body = new byte[RecordBytes.bounded(in.readInt(), Connection.MAX_BYTES)];
        in.readFully(body);
        long term = in.readLong();
        long stamp = in.readLong();
        boolean full = in.readBoolean();
        boolean complete = in.readBoolean();
        int size = in.readUnsignedShort();
        int count = RecordBytes.bounded(in.readUnsignedShort(), MAX);
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
