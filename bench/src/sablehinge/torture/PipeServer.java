package sablehinge.torture;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;

/** Lets callers in, in virtual time, from a backlog without a bound. */
final class PipeServer extends AbstractServerChannel {

    private final ArrayDeque<PipeChannel> backlog = new ArrayDeque<>();
    private final DefaultChannelConfig config = new DefaultChannelConfig(this) {
        @Override
        public <T> boolean setOption(ChannelOption<T> option, T value) {
            return option == ChannelOption.SO_BACKLOG
                    || option == ChannelOption.SO_REUSEADDR
                    || super.setOption(option, value);
        }

        @Override
        protected void autoReadCleared() {
            reading = false;
        }
    };
    private SocketAddress local;
    private boolean open = true;
    private boolean reading;

    /** A caller connects; the kernel takes it in whether the program does or not. */
    void arrives(PipeChannel child) {
        backlog.add(child);
        accept();
    }

    private void accept() {
        if (reading && open && !backlog.isEmpty()) {
            eventLoop().execute(() -> {
                if (reading) {
                    readNow();
                }
            });
        }
    }

    void readNow() {
        int passes = 0;
        boolean any = false;
        while (open && !backlog.isEmpty() && passes++ < 16) {
            any = true;
            pipeline().fireChannelRead(backlog.poll());
            if (!config.isAutoRead()) {
                break;
            }
        }
        if (any) {
            pipeline().fireChannelReadComplete();
            accept();
        }
    }

    @Override
    protected void doBeginRead() {
        reading = true;
        accept();
    }

    @Override
    protected void doBind(SocketAddress address) {
        local = address;
    }

    @Override
    protected void doClose() {
        open = false;
        // Whom the kernel had let in is reset.
        backlog.forEach(PipeChannel::doClose);
        backlog.clear();
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override
    protected SocketAddress localAddress0() {
        return local;
    }

    @Override
    public InetSocketAddress localAddress() {
        return (InetSocketAddress) local;
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open && local != null;
    }
}
