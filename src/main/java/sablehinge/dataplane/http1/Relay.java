package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import sablehinge.dataplane.proxy.MonitoredRelay;

/**
 * A body that passes through as it comes, once, from whoever reads it to whoever writes it. What is not written is not
 * read: the writer limits the reading, so that little of it is held. Both ends are on one loop.
 */
final class Relay implements MonitoredRelay {

    /** Reads the body. */
    interface Source {

        /** Goes on, or waits; what has been read meanwhile still comes. */
        void read(boolean on);

        /** Nobody wants the rest. */
        void giveUp();

        /** Reads at once what has come, unless it waits. */
        void readNow();
    }

    /** Writes the body. */
    interface Sink {

        /** Takes a part over, to be sent by the next {@link #flush} at the latest. */
        void part(ByteBuf part);

        /** No more parts come for now. */
        void flush();

        /** The body is complete. */
        void end();

        /** The rest will not come. */
        void broke();

        /** What the parts are written to. */
        ChannelOutlet outlet();
    }

    private final Source source;
    private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
    private Sink sink;
    /** Whether its last part has come; whether the rest won't come; whether nothing more comes of it. */
    private boolean ended;

    private boolean broken;
    private boolean over;
    private boolean paused;
    private long moved;

    Relay(Source source) {
        this.source = source;
    }

    /** Passes on, or holds until somebody writes, a part that is lent. */
    void add(ByteBuf part) {
        if (over || !part.isReadable()) {
            return;
        }
        if (sink == null) {
            held.add(part.retain());
            read(false);
        } else {
            moved += part.readableBytes();
            sink.part(part.retain());
        }
    }

    private void read(boolean on) {
        paused = !on;
        source.read(on);
    }

    /** All that has come at once has been added: so many small parts cost one write to the system. */
    void flush() {
        if (!over && sink != null) {
            sink.flush();
        }
    }

    /** The last part has been added. */
    void end() {
        ended = true;
        if (!over && sink != null) {
            over = true;
            sink.end();
        }
    }

    /** The rest won't come. */
    void broke() {
        if (!over && !ended) {
            broken = true;
            if (sink != null) {
                over = true;
                sink.broke();
            }
        }
    }

    /** Whether its last part has come. */
    boolean hasEnded() {
        return ended;
    }

    /** Whether somebody has begun to write it, or nobody may any more. */
    boolean isTaken() {
        return sink != null || over;
    }

    /** Begins to write it, which may be done once. */
    void attach(Sink to) {
        if (isTaken()) {
            throw new IllegalStateException("a body passes through once");
        }
        sink = to;
        for (ByteBuf part = held.poll(); part != null; part = held.poll()) {
            moved += part.readableBytes();
            to.part(part);
        }
        if (over) {
            return;
        }
        to.flush();
        if (broken || ended) {
            over = true;
            if (ended) {
                to.end();
            } else {
                to.broke();
            }
        } else {
            read(true);
        }
    }

    /** The writer can take more, or no more for now. */
    void setWritable(boolean on) {
        if (!over && !ended) {
            read(on);
        }
    }

    /** The writer gives up. */
    void abandon() {
        if (!over) {
            over = true;
            held.forEach(ByteBuf::release);
            held.clear();
            if (!ended && !broken) {
                source.giveUp();
            }
        }
    }

    // ---- As a watch sees it ------------------------------------------------------------------------

    @Override
    public int connection() {
        return sink == null ? 0 : sink.outlet().connection();
    }

    @Override
    public long bytesForwarded() {
        return moved;
    }

    @Override
    public long unwrittenBytes() {
        return sink == null ? 0 : sink.outlet().unwrittenBytes();
    }

    @Override
    public boolean isUnflushed() {
        return sink != null && sink.outlet().isUnflushed();
    }

    @Override
    public boolean isPaused() {
        return paused && !over && !ended;
    }

    @Override
    public boolean isWritable() {
        return sink != null && sink.outlet().isWritable();
    }

    @Override
    public void resume() {
        if (!over && !ended && !paused) {
            source.readNow();
        }
        if (sink != null) {
            sink.outlet().resume();
        }
    }
}
