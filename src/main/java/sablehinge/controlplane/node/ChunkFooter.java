package sablehinge.controlplane.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.h2.mvstore.DataUtils;

/**
 * The last 128 bytes of a chunk, which is what MVStore writes for one commit. MVStore writes the chunk's number, length
 * and version there with a checksum of these alone; a sealed one has a checksum of all its bytes, too. MVStore passes
 * over the field that it doesn't know.
 *
 * @param block where the chunk begins, in blocks of 4096 bytes
 * @param id of the chunk
 * @param blocks it is long
 * @param version counts commits
 * @param crc CRC-32C of all before the last 128 bytes
 */
record ChunkFooter(long block, int id, int blocks, long version, int crc) {

    static final int BLOCK = 4096;
    static final int LENGTH = 128;
    private static final String FLETCHER = ",fletcher:";

    /** Whether bytes begin as a chunk does. */
    static boolean chunk(ByteBuffer bytes, int at) {
        return bytes.get(at) == 'c'
                && bytes.get(at + 1) == 'h'
                && bytes.get(at + 2) == 'u'
                && bytes.get(at + 3) == 'n'
                && bytes.get(at + 4) == 'k'
                && bytes.get(at + 5) == ':';
    }

    /** The checksum of a chunk. */
    static int crc(ByteBuffer chunk) {
        ByteBuffer body = chunk.duplicate();
        body.limit(body.limit() - LENGTH);
        CRC32C crc = new CRC32C();
        crc.update(body);
        return (int) crc.getValue();
    }

    /** Writes the checksum into the end of a chunk, which is all that remains of the buffer. */
    static void set(ByteBuffer chunk) {
        int start = chunk.limit() - LENGTH;
        byte[] footer = new byte[LENGTH];
        chunk.get(start, footer);
        String text = new String(footer, StandardCharsets.ISO_8859_1);
        int end = text.indexOf(FLETCHER);
        byte[] sealed = checked(text.substring(0, end) + ",crc:" + Integer.toHexString(crc(chunk)));
        for (int i = 0; i < LENGTH - 1; i++) {
            chunk.put(start + i, i < sealed.length ? sealed[i] : (byte) ' ');
        }
        chunk.put(start + LENGTH - 1, (byte) '\n');
    }

    /** A text of fields with MVStore's checksum after it. */
    static byte[] checked(String fields) {
        byte[] bytes = fields.getBytes(StandardCharsets.ISO_8859_1);
        int check = DataUtils.getFletcher32(bytes, 0, bytes.length);
        return (fields + FLETCHER + Integer.toHexString(check)).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A text of fields, up to its checksum; null if that is another, or if it doesn't end as written. */
    static String fields(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int end = text.indexOf(FLETCHER);
        if (end < 0) {
            return null;
        }
        String fields = text.substring(0, end);
        int from = end + FLETCHER.length();
        int to = from;
        while (to < text.length() && Character.digit(text.charAt(to), 16) >= 0) {
            to++;
        }
        String check = Integer.toHexString(DataUtils.getFletcher32(bytes, 0, end));
        return text.substring(from, to).equals(check) && endsBlank(bytes, to) ? fields : null;
    }

    /** Whether only blanks and a line's end follow: MVStore takes no chunk that ends in anything else. */
    private static boolean endsBlank(byte[] bytes, int from) {
        for (int i = from; i < bytes.length - 1; i++) {
            if (bytes[i] != ' ') {
                return false;
            }
        }
        return bytes[bytes.length - 1] == '\n';
    }

    /** A number of such a text, -1 if it has no such field or that is no number. */
    static long field(String fields, String name) {
        for (String field : fields.split(",")) {
            if (field.startsWith(name) && field.length() > name.length() && field.charAt(name.length()) == ':') {
                try {
                    return Long.parseUnsignedLong(field.substring(name.length() + 1), 16);
                } catch (NumberFormatException e) {
                    return -1;
                }
            }
        }
        return -1;
    }

    /** The seal in the last bytes before a block; null if there's none. */
    static ChunkFooter read(byte[] bytes, long nextBlock) {
        String fields = fields(bytes);
        if (fields == null) {
            return null;
        }
        long id = field(fields, "chunk");
        long blocks = field(fields, "len");
        long version = field(fields, "version");
        long crc = field(fields, "crc");
        if (id < 0 || blocks < 1 || version < 0 || crc < 0 || blocks > nextBlock - 2) {
            return null;
        }
        return new ChunkFooter(nextBlock - blocks, (int) id, (int) blocks, version, (int) crc);
    }
}
