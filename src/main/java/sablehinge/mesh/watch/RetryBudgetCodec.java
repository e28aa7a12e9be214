package sablehinge.mesh.watch;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import sablehinge.mesh.retrybudget.Claim;
import sablehinge.mesh.retrybudget.Grant;

/** Encodes and decodes claims on and grants of retry budget shares. */
public final class RetryBudgetCodec {

    private RetryBudgetCodec() {}

    /** Encodes a claim. */
    public static byte[] encode(Claim claim) {
        return RecordBytes.encode(out -> {
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

    /** Decodes a claim; fails on malformed bytes. */
    public static Claim decodeClaim(byte[] bytes) throws IOException {
        DataInputStream in = RecordBytes.input(bytes);
        long incarnation = in.readLong();
        int number = in.readInt();
        long term = in.readLong();
        String service = in.readUTF();
        int count = RecordBytes.checkCount(in.readUnsignedByte(), Claim.MAX_LINES);
        List<Claim.Line> lines = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            lines.add(new Claim.Line(
                    in.readUTF(), in.readInt(), in.readInt(), in.readInt(), in.readInt(), in.readUnsignedShort()));
        }
        checkEnd(in);
        return new Claim(incarnation, number, term, service, lines);
    }

    /** Encodes a grant. */
    public static byte[] encode(Grant grant) {
        return RecordBytes.encode(out -> {
            out.writeInt(grant.number());
            out.writeLong(grant.term());
            out.writeByte(grant.lines().size());
            for (Grant.Line line : grant.lines()) {
                out.writeUTF(line.service());
                out.writeInt(line.share());
            }
        });
    }

    /** Decodes a grant; fails on malformed bytes. */
    public static Grant decodeGrant(byte[] bytes) throws IOException {
        DataInputStream in = RecordBytes.input(bytes);
        int number = in.readInt();
        long term = in.readLong();
        int count = RecordBytes.checkCount(in.readUnsignedByte(), Claim.MAX_LINES);
        List<Grant.Line> lines = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            lines.add(new Grant.Line(in.readUTF(), in.readInt()));
        }
        checkEnd(in);
        return new Grant(number, term, lines);
    }

    private static void checkEnd(DataInputStream in) throws IOException {
        if (in.available() > 0) {
            throw new IOException(in.available() + " unexpected bytes after the end of a record");
        }
    }
}
