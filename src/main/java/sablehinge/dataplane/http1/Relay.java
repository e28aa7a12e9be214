package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import sablehinge.dataplane.proxy.MonitoredRelay;

/**
 * A body that is relayed once, while it is received, from the {@link Source} that reads it to the {@link Sink} that
 * writes it. The sink limits the reading, so that only little of the body is buffered. Both ends belong to one event
 * loop.
 */
final class Relay implements MonitoredRelay {

    /** Reads the body. */
    interface Source {

        /** Enables or pauses reading; bytes that were already read are still added. */
        void setReading(boolean on);

        /** Cancels the body; its rest is not needed. */
        void cancel();

        /** Reads at once the bytes that were received, unless reading is paused. */
        void readNow();
    }

    /** Writes the body. */
    interface Sink {

        /** Writes a part, and takes ownership of it; it is flushed by the next {@link #flush} at the latest. */
        void writePart(ByteBuf part);

        /** Flushes the written parts; no more follow for now. */
        void flush();

        /** Completes the body. */
        void end();

        /** Truncates the body; its rest will not be received. */
        void fail();

        /** The channel that the parts are written to. */
        ChannelOutlet outlet();
    }

    private final Source source;
    private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>();
    private Sink sink;
    /** Whether the last part was added; whether the body was truncated; whether the relay is over. */
    private boolean ended;

    private boolean failed;
    private boolean finished;
    /** Whether a sink is attached later, so that the body waits for it. */
    private boolean held;

    private boolean paused;
    private long forwardedBytes;

    Relay(Source source) {
        this.source = source;
    }

    /** Writes a part, or buffers it until there is a sink. The caller keeps its reference. */
    void add(ByteBuf part) {
        if (finished || !part.isReadable()) {
            return;
        }
        if (sink == null) {
            buffered.add(part.retain());
            setReading(false);
        } else {
            forwardedBytes += part.readableBytes();
            sink.writePart(part.retain());
        }
    }

    private void setReading(boolean on) {
        paused = !on;
        source.setReading(on);
    }

    /** Flushes after all parts of one read were added, so that many small parts cost one system call. */
    void flush() {
        if (!finished && sink != null) {
            sink.flush();
        }
    }

    /** Completes the body after its last part was added. */
    void end() {
        ended = true;
        if (!finished && sink != null) {
            finished = true;
            sink.end();
        }
    }

    /** Truncates the body; its rest will not be received. */
    void fail() {
        if (!finished && !ended) {
            failed = true;
            if (sink != null) {
                finished = true;
                sink.fail();
            }
        }
    }

    /** Keeps the body until its sink is attached; only what was read already is buffered meanwhile. */
    void hold() {
        held = true;
    }

    /** Whether the body is still needed: it has a sink, or one is attached later. */
    boolean isWanted() {
        return !finished && (sink != null || held);
    }

    /** Whether the body was truncated before a sink was attached. */
    boolean hasFailed() {
        return failed;
    }

    /** Whether the last part was added. */
    boolean hasEnded() {
        return ended;
    }

    /** Whether a sink was attached, or none can be any more. */
    boolean isTaken() {
        return sink != null || finished;
    }

    /** Attaches the sink, which is possible once, and writes the buffered parts. */
    void attach(Sink newSink) {
        if (isTaken()) {
            throw new IllegalStateException("a body can be relayed only once");
        }
        sink = newSink;
        for (ByteBuf part = buffered.poll(); part != null; part = buffered.poll()) {
            forwardedBytes += part.readableBytes();
            newSink.writePart(part);
        }
        if (finished) {
            return;
        }
        newSink.flush();
        if (failed || ended) {
            finished = true;
            if (ended) {
                newSink.end();
            } else {
                newSink.fail();
            }
        } else {
            setReading(true);
        }
    }

    /** Reports whether the sink is writable, which resumes or pauses the source. */
    void setWritable(boolean on) {
        if (!finished && !ended) {
            setReading(on);
        }
    }

    /** Cancels the relay; the sink needs no more of the body. */
    void abandon() {
        if (!finished) {
            finished = true;
            buffered.forEach(ByteBuf::release);
            buffered.clear();
            if (!ended && !failed) {
                source.cancel();
            }
        }
    }

    // ---- For monitoring ----------------------------------------------------------------------------

    @Override
    public int connection() {
        return sink == null ? 0 : sink.outlet().connection();
    }

    @Override
    public long bytesForwarded() {
        return forwardedBytes;
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
        return paused && !finished && !ended;
    }

    @Override
    public boolean isWritable() {
        return sink != null && sink.outlet().isWritable();
    }

    @Override
    public void resume() {
        if (!finished && !ended && !paused) {
            source.readNow();
        }
        if (sink != null) {
            sink.outlet().resume();
        }
    }
}
