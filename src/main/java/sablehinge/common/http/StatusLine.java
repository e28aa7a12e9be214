package sablehinge.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpConstants;

/**
 * The syntax of a status line (RFC 9112, section 4): the version, a code from 100 to 599 (RFC 9110, section 15) and a
 * reason phrase, which may be empty but never lacks the space before it.
 */
final class StatusLine {

    /** Returned by {@link #end} while the line is incomplete. */
    static final int INCOMPLETE = -1;

    private static final int DELETE = 0x7f;
    /** What precedes the reason phrase: {@code D} is a digit, {@code C} the first digit of a code. */
    private static final String TEMPLATE = "HTTP/1.D CDD ";

    private StatusLine() {}

    /**
     * Checks the status line at the reader index, as far as it was received.
     *
     * @return the index after its line break, or {@link #INCOMPLETE}
     * @throws CorruptedFrameException if it is not the beginning of a status line
     */
    static int end(ByteBuf bytes) {
        int start = bytes.readerIndex();
        for (int at = start; at < bytes.writerIndex(); at++) {
            byte octet = bytes.getByte(at);
            if (at - start < TEMPLATE.length()) {
                require(matches(TEMPLATE.charAt(at - start), octet));
            } else if (octet == HttpConstants.CR) {
                return endOfLine(bytes, at + 1);
            } else {
                require(isReason(octet));
            }
        }
        return INCOMPLETE;
    }

    private static int endOfLine(ByteBuf bytes, int at) {
        if (at == bytes.writerIndex()) {
            return INCOMPLETE;
        }
        require(bytes.getByte(at) == HttpConstants.LF);
        return at + 1;
    }

    private static boolean matches(char template, byte octet) {
        return switch (template) {
            case 'D' -> octet >= '0' && octet <= '9';
            case 'C' -> octet >= '1' && octet <= '5';
            default -> octet == template;
        };
    }

    /** Whether a reason phrase may contain the octet: a tab, a space, a visible character or one beyond ASCII. */
    private static boolean isReason(byte octet) {
        int value = Byte.toUnsignedInt(octet);
        return value == HttpConstants.HT || value >= HttpConstants.SP && value != DELETE;
    }

    private static void require(boolean allowed) {
        if (!allowed) {
            throw new CorruptedFrameException("not a status line");
        }
    }
}
