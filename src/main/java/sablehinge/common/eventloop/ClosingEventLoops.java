package sablehinge.common.eventloop;

import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Executor;

/**
 * Event loops whose channels are closed, listeners among them, once their shutdown has been awaited.
 *
 * <p>Netty's own loop closes its channels only if it sees the shutdown between its I/O and its tasks. If the shutdown
 * is requested while tasks run, with no quiet period, the loop ends and its sockets stay open for as long as the
 * process runs: a listener then holds its address and accepts connections that nobody reads.
 */
public final class ClosingEventLoops extends MultiThreadIoEventLoopGroup {

    /**
     * Creates event loops over NIO, each with a daemon thread.
     *
     * @param loops their number
     * @param name the prefix of their threads' names
     */
    public ClosingEventLoops(int loops, String name) {
        super(loops, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /** Creates a single event loop, whose shutdown ends its thread. */
    public static EventLoop single(String name) {
        return new ClosingEventLoops(1, name).next();
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... arguments) {
        return new ClosingEventLoop(this, executor, handlers);
    }

    /** An event loop that closes its channels before it confirms each step of a shutdown. */
    private static final class ClosingEventLoop extends SingleThreadIoEventLoop {

        ClosingEventLoop(IoEventLoopGroup parent, Executor executor, IoHandlerFactory handlers) {
            super(parent, executor, handlers);
        }

        @Override
        protected boolean confirmShutdown() {
            if (isShuttingDown()) {
                ioHandler().prepareToDestroy();
            }
            return super.confirmShutdown();
        }
    }
}
