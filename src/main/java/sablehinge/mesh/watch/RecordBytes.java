package sablehinge.mesh.watch;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Helpers for encoding and decoding records. */
final class RecordBytes {

    private RecordBytes() {}

    /** Writes a record to a stream. */
    interface RecordWriter {
        void writeTo(DataOutputStream out) throws IOException;
    }

    static byte[] encode(RecordWriter writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            writer.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    static DataInputStream input(byte[] bytes) {
        return new DataInputStream(new ByteArrayInputStream(bytes));
    }

    static int checkCount(int count, int max) throws IOException {
        if (count < 0 || count > max) {
            throw new IOException("value or count " + count + " is out of range; at most " + max + " is allowed");
        }
        return count;
    }
}
