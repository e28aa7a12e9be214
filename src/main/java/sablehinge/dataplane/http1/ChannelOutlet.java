package sablehinge.dataplane.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import sablehinge.dataplane.proxy.MonitoredRelay;

/** The writing side of a connection as a watch sees it; by itself, what waits there to be written out. */
record ChannelOutlet(Channel channel, int connection, Sockets sockets) implements MonitoredRelay {

    @Override
    public long bytesForwarded() {
        return 0;
    }

    @Override
    public boolean isPaused() {
        return false;
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public long unwrittenBytes() {
        return unwrittenBytes(channel);
    }

    /** Bytes that a channel has and its kernel has not. */
    static long unwrittenBytes(Channel channel) {
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        return waiting == null ? 0 : waiting.totalPendingWriteBytes();
    }

    /** Bytes wait that nobody has flushed, and none that the kernel has yet to take. */
    @Override
    public boolean isUnflushed() {
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        return waiting != null && waiting.isEmpty() && waiting.totalPendingWriteBytes() > 0;
    }

    @Override
    public void resume() {
        sockets.writeNow(channel);
    }
}
