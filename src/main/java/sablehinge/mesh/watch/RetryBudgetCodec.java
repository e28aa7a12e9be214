package sablehinge.mesh.watch;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import sablehinge.mesh.retrybudget.Claim;
import sablehinge.mesh.retrybudget.Grant;

/** Claims on shares of further tries, and what is granted of them, in records. */
public final class RetryBudgetCodec {

    private RetryBudgetCodec() {}

    /** Writes a claim. */
    public static byte[] encode(Claim claim) {
        return RecordBytes.of(out -> {
            out.writeLong(claim.incarnation());
            out.writeInt(claim.number());
            out.writeLong(claim.term());
            out.writeUTF(claim.service());
            out.writeByte(claim.lines().size());
            for (Claim.Line line : claim.lines()) {
                out.writeUTF(line.service());
                out.writeInt(line.requests());
                out.writeInt(line.calls());
                out.writeInt(line.spent());
                out.writeInt(line.share());
                out.writeShort(line.wanted());
            }
        });
    }

    /** Reads a claim; fails on anything else. */
    public static Claim decodeClaim(byte[] bytes) throws IOException {
        DataInputStream in = RecordBytes.in(bytes);
        long incarnation = in.readLong();
        int number = in.readInt();
        long term = in.readLong();
        String service = in.readUTF();
        int count = RecordBytes.bounded(in.readUnsignedByte(), Claim.MAX_LINES);
        List<Claim.Line> lines = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            lines.add(new Claim.Line(
                    in.readUTF(), in.readInt(), in.readInt(), in.readInt(), in.readInt(), in.readUnsignedShort()));
        }
        ended(in);
        return new Claim(incarnation, number, term, service, lines);
    }

    /** Writes a grant. */
    public static byte[] encode(Grant grant) {
        return RecordBytes.of(out -> {
            out.writeInt(grant.number());
            out.writeLong(grant.term());
            out.writeByte(grant.lines().size());
            for (Grant.Line line : grant.lines()) {
                out.writeUTF(line.service());
                out.writeInt(line.share());
            }
        });
    }

    /** Reads a grant; fails on anything else. */
    public static Grant decodeGrant(byte[] bytes) throws IOException {
        DataInputStream in = RecordBytes.in(bytes);
        int number = in.readInt();
        long term = in.readLong();
        int count = RecordBytes.bounded(in.readUnsignedByte(), Claim.MAX_LINES);
        List<Grant.Line> lines = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            lines.add(new Grant.Line(in.readUTF(), in.readInt()));
        }
        ended(in);
        return new Grant(number, term, lines);
    }

    private static void ended(DataInputStream in) throws IOException {
        if (in.available() > 0) {
            throw new IOException(in.available() + " bytes behind the end of a record");
        }
    }
}
