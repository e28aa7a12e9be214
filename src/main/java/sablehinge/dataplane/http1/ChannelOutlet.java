package sablehinge.dataplane.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import sablehinge.dataplane.proxy.MonitoredRelay;

/** The writing side of a connection for monitoring; by itself it stands for the output that waits there. */
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

    /** Bytes that wait in a channel and were not handed to the kernel. */
    static long unwrittenBytes(Channel channel) {
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        return waiting == null ? 0 : waiting.totalPendingWriteBytes();
    }

    /** Whether written bytes wait to be flushed, and no flushed bytes wait for the kernel. */
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
