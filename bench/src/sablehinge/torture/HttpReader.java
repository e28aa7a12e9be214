package sablehinge.torture;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Reads messages of HTTP/1.1 (RFC 9112) byte by byte, for the two ends that the rig plays. It shares no line with the
 * balancer's decoders, so that a fault there is not made twice.
 */
final class HttpReader {

    /** Receives what has come. */
    interface Heard {

        /** A head is complete. */
        void head(HttpReader message);

        /** A message is complete; false ends the reading. */
        boolean complete(HttpReader message);
    }

    private enum State {
        HEAD,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        UNTIL_END,
        OVER
    }

    private final boolean responses;
    private final Heard heard;
    private final StringBuilder line = new StringBuilder();
    private State state = State.HEAD;
    /** What cannot be read, or null. */
    String flaw;

    String start;
    final Map<String, String> headers = new HashMap<>();
    /** The bytes of the body so far, and their checksum. */
    long length;

    CRC32C sum = new CRC32C();
    private long rest;
    private boolean begun;

    HttpReader(boolean responses, Heard heard) {
        this.responses = responses;
        this.heard = heard;
    }

    /** Whether a message has come in part. */
    boolean amid() {
        return begun;
    }

    /** Whether the end of the stream completes the message that has come. */
    boolean endsWithStream() {
        return state == State.UNTIL_END;
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    void read(byte[] bytes) {
        int at = 0;
        while (at < bytes.length && flaw == null && state != State.OVER) {
            begun = true;
            switch (state) {
                case BODY, CHUNK -> {
                    int count = (int) Math.min(rest, bytes.length - at);
                    take(bytes, at, count);
                    at += count;
                    rest -= count;
                    if (rest == 0) {
                        if (state == State.BODY) {
                            complete();
                        } else {
                            state = State.CHUNK_END;
                        }
                    }
                }
                case UNTIL_END -> {
                    take(bytes, at, bytes.length - at);
                    at = bytes.length;
                }
                default -> {
                    char c = (char) (bytes[at++] & 0xff);
                    line.append(c);
                    if (c == '\n') {
                        String text = line.toString();
                        line.setLength(0);
                        line(text);
                    }
                }
            }
        }
    }

    private void take(byte[] bytes, int at, int count) {
        sum.update(bytes, at, count);
        length += count;
    }

    private void line(String text) {
        if (!text.endsWith("\r\n")) {
            flaw = "a line without its end: " + text;
            return;
        }
        String bare = text.substring(0, text.length() - 2);
        switch (state) {
            case HEAD -> headLine(bare);
            case CHUNK_SIZE -> {
                try {
                    rest = Long.parseLong(bare, 16);
                    state = rest == 0 ? State.TRAILER : State.CHUNK;
                } catch (NumberFormatException e) {
                    flaw = "no size of a chunk: " + bare;
                }
            }
            case CHUNK_END -> {
                state = State.CHUNK_SIZE;
                if (!bare.isEmpty()) {
                    flaw = "a chunk is longer than it says: " + bare;
                }
            }
            case TRAILER -> {
                if (bare.isEmpty()) {
                    complete();
                }
            }
            default -> throw new IllegalStateException(state.toString());
        }
    }

    private void headLine(String bare) {
        if (start == null) {
            start = bare;
            String wanted = responses ? "HTTP/1\\.[01] [1-5][0-9][0-9] .*" : "(GET|POST) /\\S* HTTP/1\\.1";
            if (!bare.matches(wanted)) {
                flaw = "no first line: "
                        + new String(
                                bare.getBytes(StandardCharsets.ISO_8859_1),
                                0,
                                Math.min(80, bare.length()),
                                StandardCharsets.ISO_8859_1);
            }
        } else if (!bare.isEmpty()) {
            int colon = bare.indexOf(':');
            if (colon < 1) {
                flaw = "no header: " + bare;
            } else if (headers.put(
                            bare.substring(0, colon).toLowerCase(Locale.ROOT),
                            bare.substring(colon + 1).strip())
                    != null) {
                flaw = "a header twice: " + bare;
            }
        } else {
            String coding = headers.get("transfer-encoding");
            String size = headers.get("content-length");
            if (coding != null && size != null) {
                flaw = "both framings";
                return;
            }
            heard.head(this);
            if (flaw != null) {
                return;
            }
            rest = size == null ? 0 : Long.parseLong(size);
            if (coding != null) {
                state = State.CHUNK_SIZE;
            } else if (responses && size == null && status() >= 200) {
                state = State.UNTIL_END;
            } else if (rest > 0) {
                state = State.BODY;
            } else {
                complete();
            }
        }
    }

    /** The stream has ended, and with it the message that nothing else ends. */
    void streamEnded() {
        if (state == State.UNTIL_END) {
            complete();
        }
    }

    private void complete() {
        boolean goesOn = heard.complete(this);
        start = null;
        headers.clear();
        length = 0;
        sum = new CRC32C();
        begun = false;
        state = goesOn ? State.HEAD : State.OVER;
    }
}
