package sablehinge.mesh.watch;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Records as bytes. */
final class RecordBytes {

    private RecordBytes() {}

    /** What writes a record. */
    interface RecordWriter {
        void to(DataOutputStream out) throws IOException;
    }

    static byte[] of(RecordWriter writing) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            writing.to(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    static DataInputStream in(byte[] bytes) {
        return new DataInputStream(new ByteArrayInputStream(bytes));
    }

    static int bounded(int count, int most) throws IOException {
        if (count < 0 || count > most) {
            throw new IOException("a list of " + count + "; " + most + " at most are expected");
        }
        return count;
    }
}
