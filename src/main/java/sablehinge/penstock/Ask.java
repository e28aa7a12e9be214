package sablehinge.penstock;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import sablehinge.cistern.Intake;

/**
 * A data-plane balancer asks for news.
 *
 * @param number counts its asks up; the answer names it
 * @param intake itself and its upstream
 * @param edition of the configuration that it has; 0 for none
 * @param term of the one who kept the roll that it has; 0 for none
 * @param stamp of that roll
 * @param confirm whether it wants to be sure that nothing newer was acknowledged before it asked
 */
public record Ask(int number, Intake intake, long edition, long term, long stamp, boolean confirm) {

    /** Writes it. */
    public byte[] bytes() {
        return Bytes.of(this::write);
    }

    private void write(DataOutputStream out) throws IOException {
        out.writeInt(number);
        Intakes.write(intake, out);
        out.writeLong(edition);
        out.writeLong(term);
        out.writeLong(stamp);
        out.writeBoolean(confirm);
    }

    /** Reads what {@link #bytes} wrote; fails on anything else. */
    public static Ask read(byte[] bytes) throws IOException {
        DataInputStream in = Bytes.in(bytes);
        int number = in.readInt();
        Intake intake = Intakes.read(in);
        long edition = in.readLong();
        long term = in.readLong();
        long stamp = in.readLong();
        boolean confirm = in.readBoolean();
        return new Ask(number, intake, edition, term, stamp, confirm);
    }
}
