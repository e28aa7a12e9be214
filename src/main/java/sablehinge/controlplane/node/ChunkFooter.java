package sablehinge.controlplane.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.h2.mvstore.DataUtils;

/**
 * The last 128 bytes of a chunk; MVStore writes one chunk for each commit. MVStore's footer holds the chunk's id,
 * length and version, and a checksum of only these fields. A sealed footer also has a checksum of the entire chunk
 * before it, in a field that MVStore ignores.
 *
 * @param block the chunk's first block; blocks have 4096 bytes
 * @param id the chunk's id
 * @param blocks the chunk's length in blocks
 * @param version the commit's version, which counts commits
 * @param crc CRC-32C of all the chunk's bytes before the footer
 */
record ChunkFooter(long block, int id, int blocks, long version, int crc) {

    static final int BLOCK_BYTES = 4096;
    static final int LENGTH_BYTES = 128;
    private static final String FLETCHER = ",fletcher:";

    /** Whether the bytes at a position begin like a chunk. */
    static boolean startsWithChunkHeader(ByteBuffer bytes, int at) {
        return bytes.get(at) == 'c'
                && bytes.get(at + 1) == 'h'
                && bytes.get(at + 2) == 'u'
                && bytes.get(at + 3) == 'n'
                && bytes.get(at + 4) == 'k'
                && bytes.get(at + 5) == ':';
    }

    /** The CRC-32C of a chunk without its footer. */
    static int crc(ByteBuffer chunk) {
        ByteBuffer body = chunk.duplicate();
        body.limit(body.limit() - LENGTH_BYTES);
        CRC32C crc = new CRC32C();
        crc.update(body);
        return (int) crc.getValue();
    }

    /** Writes the chunk's CRC into its footer; the chunk is all of the buffer's remaining bytes. */
    static void seal(ByteBuffer chunk) {
        int start = chunk.limit() - LENGTH_BYTES;
        byte[] footer = new byte[LENGTH_BYTES];
        chunk.get(start, footer);
        String text = new String(footer, StandardCharsets.ISO_8859_1);
        int end = text.indexOf(FLETCHER);
        byte[] sealed = withChecksum(text.substring(0, end) + ",crc:" + Integer.toHexString(crc(chunk)));
        for (int i = 0; i < LENGTH_BYTES - 1; i++) {
            chunk.put(start + i, i < sealed.length ? sealed[i] : (byte) ' ');
        }
        chunk.put(start + LENGTH_BYTES - 1, (byte) '\n');
    }

    /** The fields followed by MVStore's checksum of them. */
    static byte[] withChecksum(String fields) {
        byte[] bytes = fields.getBytes(StandardCharsets.ISO_8859_1);
        int check = DataUtils.getFletcher32(bytes, 0, bytes.length);
        return (fields + FLETCHER + Integer.toHexString(check)).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The fields before the checksum; null if the checksum or the padding after it is wrong. */
    static String verifiedFields(byte[] bytes) {
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
        return text.substring(from, to).equals(check) && endsWithPadding(bytes, to) ? fields : null;
    }

    /** Whether only blanks and a final line feed follow: MVStore accepts no other end of a chunk. */
    private static boolean endsWithPadding(byte[] bytes, int from) {
        for (int i = from; i < bytes.length - 1; i++) {
            if (bytes[i] != ' ') {
                return false;
            }
        }
        return bytes[bytes.length - 1] == '\n';
    }

    /** The hexadecimal value of a field; -1 if the field is missing or is no number. */
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

    /** Parses the footer that ends at a block; null if the bytes are no valid sealed footer. */
    static ChunkFooter parse(byte[] bytes, long nextBlock) {
        String fields = verifiedFields(bytes);
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
