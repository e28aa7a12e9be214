package sablehinge.dataplane.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * What the connections of both ends are: sockets of the system, or channels in virtual time that a test plays the other
 * end of. Those are {@link io.netty.channel.socket.DuplexChannel}s that know {@code SO_LINGER}.
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

    /** Makes channels that let callers in. */
    ChannelFactory<ServerChannel> listening();

    /** Makes channels to upstreams. */
    ChannelFactory<Channel> connecting();

    /** Handles at once what has come for an open channel, whether it is read at the moment or not. */
    void readNow(Channel channel);

    /** Hands an open channel's kernel what it can take, whether it has signalled that it can or not. */
    void writeNow(Channel channel);
}
