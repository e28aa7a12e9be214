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

/** What the connections of one {@link Frontend} share. All of it belongs to the event loop. */
final class FrontendContext {

    /** Requests that may wait for a configuration at once: each is read again every time. */
    static final int MAX_DEFERRED = 256;

    final EventLoop loop;
    final Sockets sockets;
    final ByteBufAllocator memory;
    final RequestProxy core;
    final FrontDialect dialect;
    /** Every caller's connection, in the order in which they came or last became idle. */
    final Set<CallerConnection> connections = new LinkedHashSet<>();
    /** Who waits for the answer to a request, by the request's name (X-Txn). */
    final Map<String, CallerConnection> byName = new HashMap<>();
    /** Where callers are accepted; null before. */
    Channel listening;
    /** Whether every answer asks its caller to leave. */
    boolean draining;
    /** Since when that is so, ms. */
    double drainingSince;
    /**
     * What is still taken, as the process is about to end; null before that. Once it is there, nothing is begun before
     * its turn any more.
     */
    ShutdownDeadlines shutdown;
    /** The requests that came meanwhile. */
    final LateRequestLog lateRequests = new LateRequestLog();
    /** Bytes that are reserved for bodies of more than {@link UpstreamClient#MAX_BODY}. */
    int reservedBytes;
    /** Bodies that a sweep had to wake. */
    long wokenBodies;
    /** Requests that wait for a configuration. */
    int deferredRequests;

    FrontendContext(EventLoop loop, Sockets sockets, ByteBufAllocator memory, RequestProxy core, FrontDialect dialect) {
        this.loop = loop;
        this.sockets = sockets;
        this.memory = memory;
        this.core = core;
        this.dialect = dialect;
    }

    /** From now on every answer asks its caller to leave. */
    void beginDrain() {
        if (!draining) {
            draining = true;
            drainingSince = core.now();
        }
    }

    /** Whether a request may be taken now whose first byte came at the given time, ms. */
    boolean admits(double firstByteAt) {
        return shutdown == null || shutdown.admits(firstByteAt, core.now());
    }

    /** How a request is answered that is not taken, as the process is about to end. */
    BadRequestException shutdownRefusal() {
        return BadRequestException.rejected(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                "this balancer is about to end",
                shutdown.refusal().retryAfter());
    }

    /**
     * Lets callers in again if there is room. To do so at each close, room or not, would let in more than leave and use
     * up the descriptors, without which the virtual machine can't even load a class.
     */
    void resumeAccepting() {
        if (listening.isOpen() && !listening.config().isAutoRead() && sockets.roomForCaller(core.now())) {
            listening.config().setAutoRead(true);
        }
    }
}
