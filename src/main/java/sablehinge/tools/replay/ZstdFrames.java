package sablehinge.tools.replay;

import java.io.IOException;
import java.io.InputStream;

/**
 * Leaves out the skippable frames among Zstandard's (RFC 8878, 3.1.2), which parallel and seekable packers write
 * between the others and which the decoder takes for an error. All else goes through as it is.
 */
final class ZstdFrames extends InputStream {

    private static final int MAGIC = 0xfd2fb528;
    private static final int SKIPPABLE = 0x184d2a50;
    private static final int[] DICTIONARY_BYTES = {0, 1, 2, 4};
    private static final int[] SIZE_BYTES = {0, 2, 4, 8};

    /** What comes next. */
    private enum Stage {
        FRAME,
        BLOCK,
        CHECKSUM,
        UNKNOWN
    }

    private final InputStream in;
    private final byte[] head = new byte[18];
    private int headAt;
    private int headTo;
    private long pass;
    private Stage stage = Stage.FRAME;
    private boolean checksum;

    ZstdFrames(InputStream in) {
        this.in = in;
    }

    /** Whether these are the first bytes of a frame of either kind, little-endian. */
    static boolean begins(int magic) {
        return magic == MAGIC || (magic & 0xfffffff0) == SKIPPABLE;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
        while (length > 0) {
            if (headAt < headTo) {
                int count = Math.min(length, headTo - headAt);
                System.arraycopy(head, headAt, bytes, offset, count);
                headAt += count;
                return count;
            }
            if (pass > 0) {
                int count = in.read(bytes, offset, (int) Math.min(length, pass));
                pass -= Math.max(0, count);
                return count;
            }
            headAt = 0;
            headTo = 0;
            if (!advance()) {
                return -1;
            }
        }
        return 0;
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    /** Reads what tells how much follows; false at the end. What is cut off is left to the decoder to find. */
    private boolean advance() throws IOException {
        switch (stage) {
            case FRAME -> {
                if (!more(4)) {
                    return headTo > 0;
                }
                int magic = number(0, 4);
                if ((magic & 0xfffffff0) == SKIPPABLE) {
                    if (more(4)) {
                        in.skipNBytes(number(4, 4) & 0xffffffffL);
                    }
                    headTo = 0;
                } else if (magic == MAGIC && more(1)) {
                    int descriptor = head[4];
                    boolean single = (descriptor & 0x20) != 0;
                    int size = descriptor >> 6 & 3;
                    checksum = (descriptor & 4) != 0;
                    more((single ? 0 : 1)
                            + DICTIONARY_BYTES[descriptor & 3]
                            + (single && size == 0 ? 1 : SIZE_BYTES[size]));
                    stage = Stage.BLOCK;
                } else {
                    stage = Stage.UNKNOWN;
                }
            }
            case BLOCK -> {
                if (!more(3)) {
                    return headTo > 0;
                }
                int block = number(0, 3);
                // A block of one byte repeated holds that byte and not its repetitions.
                pass = (block >> 1 & 3) == 1 ? 1 : block >> 3;
                if ((block & 1) != 0) {
                    stage = checksum ? Stage.CHECKSUM : Stage.FRAME;
                }
            }
            case CHECKSUM -> {
                pass = 4;
                stage = Stage.FRAME;
            }
            default -> pass = Long.MAX_VALUE;
        }
        return true;
    }

    private boolean more(int count) throws IOException {
        int read = in.readNBytes(head, headTo, count);
        headTo += read;
        return read == count;
    }

    private int number(int at, int count) {
        int number = 0;
        for (int i = 0; i < count; i++) {
            number |= (head[at + i] & 0xff) << 8 * i;
        }
        return number;
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
