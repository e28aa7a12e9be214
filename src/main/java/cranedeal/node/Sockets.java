package cranedeal.node;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;

/**
 * Counts the process's connections against the descriptors that it may hold. A caller that waits in the
 * backlog already counts as taken, so calls to upstreams leave room for callers, and an idle connection
 * gives way to whoever needs its descriptor.
 */
final class Sockets {

    /** Descriptors of the virtual machine itself: jars, selectors, logs, the listening socket, discovery. */
    private static final int OF_THE_PROCESS = 64;
    /** The part of the rest that only callers may use. */
    private static final int CALLERS_SHARE = 5;

    private final int limit;
    private int open;
    private BooleanSupplier evictIdle = () -> false;

    Sockets(int descriptors) {
        limit = Math.max(CALLERS_SHARE, descriptors - OF_THE_PROCESS);
    }

    /** Names what closes one idle upstream connection and tells whether there was one. */
    void evictWith(BooleanSupplier evict) {
        evictIdle = evict;
    }

    /** Whether a connection to an upstream may be opened, after an idle one has gone for it if need be. */
    boolean roomForUpstream() {
        return open < limit - limit / CALLERS_SHARE || evictIdle.getAsBoolean();
    }

    /** Whether a caller may stay: the one just accepted is counted already. */
    boolean roomForCaller() {
        return open <= limit || evictIdle.getAsBoolean();
    }

    /** Counts a connection until it is closed. */
    void count(Channel channel) {
        open++;
        channel.closeFuture().addListener(closed -> open--);
    }

    /**
     * Handles at once what the kernel holds for a channel: bytes, the peer's end of the stream, callers in
     * the backlog. What it says about a connection is then as fresh as can be.
     */
    static void readNow(Channel channel) {
        if (channel.isOpen()) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
    }
}
