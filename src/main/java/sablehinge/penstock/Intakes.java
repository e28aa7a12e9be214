package sablehinge.penstock;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import sablehinge.cistern.Intake;

/** Intakes in records. */
final class Intakes {

    private Intakes() {
    }

    static void write(Intake intake, DataOutputStream out) throws IOException {
        out.writeUTF(intake.node());
        out.writeUTF(intake.zone());
        out.writeUTF(intake.inbound());
        out.writeUTF(intake.service());
        out.writeUTF(intake.upstream());
        out.writeBoolean(intake.ready());
        out.writeShort(intake.berths());
        out.writeInt(intake.coldMs());
    }

    static Intake read(DataInputStream in) throws IOException {
        return new Intake(in.readUTF(), in.readUTF(), in.readUTF(), in.readUTF(), in.readUTF(),
                in.readBoolean(), in.readUnsignedShort(), in.readInt());
    }
}
