package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.ShutdownDeadlines;

/** The state that the connections of one {@link Frontend} share. All of it belongs to the event loop. */
final class FrontendContext {

    /** Requests that may wait for a configuration at once; each of them is read again periodically. */
    static final int MAX_DEFERRED = 256;

    final EventLoop loop;
    final Sockets sockets;
    final ByteBufAllocator memory;
    final BodyMemory bodyMemory;
    final RequestProxy proxy;
    final FrontDialect dialect;
    /** All client connections, in the order in which they were accepted or last became idle. */
    final Set<CallerConnection> connections = new LinkedHashSet<>();
    /** The connection whose request is in progress, by the name of the request (X-Txn). */
    final Map<String, CallerConnection> connectionsByRequestName = new HashMap<>();
    /** The listening channel; null before it listens. */
    Channel listening;
    /** Whether every response asks its client to close the connection. */
    boolean draining;
    /** When the drain began, ms. */
    double drainingSince;
    /** The deadlines of the shutdown; null before it. Once it is set, no request is started early any more. */
    ShutdownDeadlines shutdown;
    /** The requests that became due during the drain. */
    final LateRequestLog lateRequests = new LateRequestLog();
    /** Relays that a sweep had to resume. */
    long wokenBodies;
    /** The number of requests that wait for a configuration. */
    int deferredRequests;

    FrontendContext(
            EventLoop loop,
            Sockets sockets,
            ByteBufAllocator memory,
            BodyMemory bodyMemory,
            RequestProxy proxy,
            FrontDialect dialect) {
        this.loop = loop;
        this.sockets = sockets;
        this.memory = memory;
        this.bodyMemory = bodyMemory;
        this.proxy = proxy;
        this.dialect = dialect;
    }

    /** From now on every response asks its client to close the connection. */
    void beginDrain() {
        if (!draining) {
            draining = true;
            drainingSince = proxy.now();
        }
    }

    /** Whether a request whose first byte was received at the given time, ms, may be admitted now. */
    boolean admits(double firstByteAt) {
        return shutdown == null || shutdown.admits(firstByteAt, proxy.now());
    }

    /** The response to a request that is not admitted, as the process is about to end. */
    BadRequestException shutdownRefusal() {
        return BadRequestException.rejected(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                "this balancer is about to end",
                shutdown.refusal().retryAfter());
    }

    /**
     * Resumes accepting clients if there is room. To resume at each close regardless would accept more clients than
     * leave and use up the descriptors, without which the virtual machine can't even load a class.
     */
    void resumeAccepting() {
        if (listening.isOpen() && !listening.config().isAutoRead() && sockets.hasRoomForCaller(proxy.now())) {
            listening.config().setAutoRead(true);
        }
    }
}
