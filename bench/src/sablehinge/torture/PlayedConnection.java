package sablehinge.torture;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The far end of a connection of the real front or transport, as a checker plays it: it writes by events alone. */
abstract class PlayedConnection implements Net.End, HttpReader.Heard {

    /** Bytes that a connection holds in either direction. */
    static final int ROOM = 1 << 22;

    final PipeChannel channel;
    private final Net net;
    private final HttpReader reader;
    private boolean ended;

    /** An end of a channel; {@code responses} tells what it reads, responses or requests. */
    PlayedConnection(Net net, PipeChannel channel, boolean responses) {
        this.net = net;
        this.channel = channel;
        reader = new HttpReader(responses, this);
    }

    /** Whether neither side has ended it. */
    boolean isOpen() {
        return !ended && !channel.out.isEnded() && !channel.out.isBroken();
    }

    /** Whether this side has ended it. */
    boolean hasEnded() {
        return ended;
    }

    /** Whether it stands still and reads nothing. */
    boolean isFrozen() {
        return false;
    }

    /** Whether bytes that have come are to be read. */
    boolean accepts(byte[] bytes) {
        return true;
    }

    /** What has come can't be read. */
    abstract void onFlaw(String flaw);

    @Override
    public void came() {
        byte[] bytes = ended || isFrozen() ? new byte[0] : channel.out.read(ROOM);
        if (bytes.length == 0) {
            return;
        }
        channel.taken();
        if (!accepts(bytes)) {
            return;
        }
        reader.read(bytes);
        if (reader.flaw != null) {
            onFlaw(reader.flaw);
        }
    }

    @Override
    public void taken() {
        // It writes by events alone.
    }

    @Override
    public void left() {
        came();
    }

    /** Writes as much as the connection takes; true, as an event that could happen. */
    boolean write(byte[] bytes) {
        int at = 0;
        while (at < bytes.length) {
            int count;
            try {
                count = channel.in.write(bytes, at, bytes.length - at);
            } catch (IOException e) {
                return true;
            }
            at += count;
            channel.came();
            net.settle();
            if (count == 0) {
                return true;
            }
        }
        return true;
    }

    boolean write(String text) {
        return write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Ends it, with a reset or in order; true, as an event that could happen. */
    boolean end(boolean reset) {
        ended = true;
        if (reset) {
            channel.in.breakOff(true);
        } else {
            channel.in.end();
        }
        channel.out.breakOff(true);
        channel.came();
        channel.taken();
        return true;
    }

    /** Whether these are bytes of a body, all of which are zeros here. */
    static boolean isBody(byte[] bytes) {
        for (byte one : bytes) {
            if (one != 0) {
                return false;
            }
        }
        return true;
    }
}
