package sablehinge.dataplane.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * The kind of the channels to clients and upstreams: sockets of the system, or channels in virtual time whose other end
 * is played by a test. The latter are {@link io.netty.channel.socket.DuplexChannel}s that support {@code SO_LINGER}.
 */
public interface SocketKind {

    /** Sockets of the system, by Java's selector. */
    SocketKind NIO = new SocketKind() {

        @Override
        public ChannelFactory<ServerChannel> listening() {
            return NioServerSocketChannel::new;
        }

        @Override
        public ChannelFactory<Channel> connecting() {
            return NioSocketChannel::new;
        }

        @Override
        public void readNow(Channel channel) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }

        @Override
        public void writeNow(Channel channel) {
            channel.flush();
            if (channel.isOpen()) {
                ((AbstractNioChannel.NioUnsafe) channel.unsafe()).forceFlush();
            }
        }
    };

    /** Creates channels that accept clients. */
    ChannelFactory<ServerChannel> listening();

    /** Creates channels to upstreams. */
    ChannelFactory<Channel> connecting();

    /**
     * Handles at once the input that was received for an open channel, whether or not it is being read at the moment.
     */
    void readNow(Channel channel);

    /**
     * Writes the pending output of an open channel to the kernel at once, whether or not the kernel has signalled that
     * it is writable.
     */
    void writeNow(Channel channel);
}
