package sablehinge.penstock;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
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
 * @param metered what is asked of it of each tenant with a limit, and what it holds
 */
public record Ask(int number, Intake intake, long edition, long term, long stamp, boolean confirm,
        List<Metered> metered) {

    private static final int MOST_TENANTS = 10_000;

    /**
     * A tenant's figures.
     *
     * @param demand requests a second
     * @param held the part of its quota that was lent
     */
    public record Metered(String tenant, float demand, float held) { }

    /** An ask whose list can't be changed. */
    public Ask {
        metered = List.copyOf(metered);
    }

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
        out.writeShort(metered.size());
        for (Metered one : metered) {
            out.writeUTF(one.tenant());
            out.writeFloat(one.demand());
            out.writeFloat(one.held());
        }
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
        int count = Bytes.bounded(in.readUnsignedShort(), MOST_TENANTS);
        List<Metered> metered = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            metered.add(new Metered(in.readUTF(), in.readFloat(), in.readFloat()));
        }
        return new Ask(number, intake, edition, term, stamp, confirm, metered);
    }
}
