package sablehinge.mesh.watch;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Encodes and decodes registrations. */
final class Registrations {

    private Registrations() {}

    static void write(Registration registration, DataOutputStream out) throws IOException {
        out.writeUTF(registration.node());
        out.writeUTF(registration.zone());
        out.writeUTF(registration.inbound());
        out.writeUTF(registration.service());
        out.writeUTF(registration.upstream());
        out.writeBoolean(registration.ready());
        out.writeShort(registration.berths());
        out.writeInt(registration.warmUpMs());
    }

    static Registration read(DataInputStream in) throws IOException {
        return new Registration(
                in.readUTF(),
                in.readUTF(),
                in.readUTF(),
                in.readUTF(),
                in.readUTF(),
                in.readBoolean(),
                in.readUnsignedShort(),
                in.readInt());
    }
}
