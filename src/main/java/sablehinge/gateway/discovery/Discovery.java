package sablehinge.gateway.discovery;

import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.http.ResponseDecoder;
import sablehinge.common.logging.Log;
import sablehinge.dataplane.proxy.Registry;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.policy.LoadBalancer.Change;

/**
 * Fetches the roster of upstreams from discovery and watches its changes. Any failure of a call, such as a malformed or
 * missing response, is reported once as {@link Change#FAILED}, and the old roster remains valid; the module decides
 * when to retry.
 */
public final class Discovery implements Registry {

    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
    private static final JsonMapper JSON = new JsonMapper();
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** How long a watch call waits for an update; shorter waits would cause more load at discovery. */
    public static final int WATCH_WAIT_MS = 20_000;
    /** How long after that wait a response may still arrive before the call fails. */
    private static final int RESPONSE_GRACE_MS = 1_500;
    /** The version before the first response of a discovery. */
    private static final long NO_VERSION = -1;

    /** Receives the updates of the roster. */
    public interface Listener {

        /** Receives an update; the roster is null if the call failed. */
        void onRosterChanged(Change change, Roster roster);
    }

    private final EventLoop loop;
    private final RosterParser parser;
    private final Listener listener;
    private final int watchWaitMs;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private long version;
    private boolean watching;
    /** The connection of the watch, reused by its calls, and the current call. */
    private Channel watchConnection;

    private Call watchCall;

    /**
     * Creates a client of the discovery at an address.
     *
     * @param known the version of the roster that the listener already has
     * @param watchWaitMs how long a watch call waits for an update
     */
    public Discovery(
            EventLoop loop,
            InetSocketAddress address,
            long known,
            RosterParser parser,
            ByteBufAllocator allocator,
            Listener listener,
            int watchWaitMs) {
        this.loop = loop;
        this.parser = parser;
        this.listener = listener;
        this.watchWaitMs = watchWaitMs;
        this.address = address;
        version = known;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, allocator)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        new ResponseDecoder(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new ResponseHandler());
                    }
                });
    }

    /**
     * Starts or stops the watch. A pending call is cancelled without a report, and the new watch uses a new connection:
     * only a missing response distinguishes a dead connection from one without updates.
     */
    @Override
    public void watch(boolean on) {
        watching = on;
        if (watchCall != null) {
            watchCall.cancel();
            watchCall = null;
        }
        if (on) {
            startWatchCall();
        }
    }

    /**
     * Switches to another discovery. The pending call is cancelled without a report, as nothing has failed, and the
     * complete roster is requested at once: the versions of the new discovery may be unrelated to those of the old one.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        version = NO_VERSION;
        if (watchCall != null) {
            watchCall.cancel();
            watchCall = null;
        }
        if (watchConnection != null) {
            watchConnection.close();
            watchConnection = null;
        }
        if (watching) {
            startWatchCall();
        }
    }

    private void startWatchCall() {
        watchCall = version == NO_VERSION
                ? new Call("", CONNECT_TIMEOUT_MS + RESPONSE_GRACE_MS, this::onWatchResult)
                : new Call(
                        "?index=" + version + "&wait=" + watchWaitMs,
                        watchWaitMs + RESPONSE_GRACE_MS,
                        this::onWatchResult);
        watchCall.start(watchConnection);
    }

    private void onWatchResult(Roster roster) {
        watchConnection = roster == null ? null : watchCall.channel;
        watchCall = null;
        // A delta is useless without a complete roster of the same discovery.
        notifyListener(roster != null && (version != NO_VERSION || roster.full()) ? roster : null);
        // The next call of a watch must follow immediately, so it does not wait for the module.
        if (roster != null && watching && watchCall == null) {
            startWatchCall();
        }
    }

    @Override
    public void fetch() {
        Call call = new Call("", CONNECT_TIMEOUT_MS + RESPONSE_GRACE_MS, null);
        call.callback = roster -> onFetchResult(call, roster);
        call.start(null);
    }

    private void onFetchResult(Call call, Roster roster) {
        // The connection is not reused; left open, it would occupy a file descriptor permanently.
        if (call.channel != null) {
            call.channel.close();
        }
        // A delta is not a valid response to a request for the complete roster.
        notifyListener(roster != null && roster.full() ? roster : null);
    }

    /** Notifies the listener. A roster that it can't apply counts as a failed call, so that the watch continues. */
    private void notifyListener(Roster roster) {
        if (roster == null) {
            listener.onRosterChanged(Change.FAILED, null);
            return;
        }
        try {
            listener.onRosterChanged(roster.full() ? Change.FULL : Change.DELTA, roster);
            version = roster.version();
        } catch (RuntimeException e) {
            Log.error(LOG, "list-failed").setCause(e).log("failed to apply a roster of upstreams");
            listener.onRosterChanged(Change.FAILED, null);
        }
    }

    /** One HTTP call; its result is reported once, with null for a failure. */
    private final class Call {

        private final String query;
        private final Future<?> timeoutTask;
        private Consumer<Roster> callback;
        private Channel channel;
        private boolean finished;

        Call(String query, long timeoutMs, Consumer<Roster> callback) {
            this.query = query;
            this.callback = callback;
            timeoutTask = loop.schedule(this::fail, timeoutMs, TimeUnit.MILLISECONDS);
        }

        /** Sends the request on the given connection if it is still active, otherwise on a new one. */
        private void start(Channel connection) {
            if (connection != null && connection.isActive()) {
                send(connection);
                return;
            }
            bootstrap.connect(address).addListener((io.netty.channel.ChannelFuture connected) -> {
                channel = connected.channel();
                if (finished) {
                    channel.close();
                } else if (connected.isSuccess()) {
                    send(channel);
                } else {
                    fail();
                }
            });
        }

        private void send(Channel connection) {
            channel = connection;
            channel.pipeline().get(ResponseHandler.class).pendingCall = this;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, "/catalog/members" + query, Unpooled.EMPTY_BUFFER);
            request.headers().set("Host", address.getHostString());
            channel.writeAndFlush(request).addListener(write -> {
                if (!write.isSuccess()) {
                    fail();
                }
            });
        }

        private void cancel() {
            finished = true;
            timeoutTask.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private void fail() {
            if (!finished) {
                cancel();
                callback.accept(null);
            }
        }

        private void onResponse(FullHttpResponse response) {
            if (finished) {
                return;
            }
            Roster roster;
            try {
                roster = parse(response);
            } catch (IOException | IllegalArgumentException e) {
                Log.warn(LOG, "list-malformed")
                        .addKeyValue("cause", e.getMessage())
                        .log("invalid response of discovery: {}", e.getMessage());
                fail();
                return;
            }
            finished = true;
            timeoutTask.cancel(false);
            callback.accept(roster);
        }

        private Roster parse(FullHttpResponse response) throws IOException {
            if (!response.decoderResult().isSuccess() || response.status().code() != 200) {
                throw new IOException("status " + response.status().code());
            }
            try (InputStream body = new ByteBufInputStream(response.content())) {
                return parser.parse(JSON.readTree(body));
            }
        }
    }

    /** Passes the responses of a connection to the pending call. */
    private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Call pendingCall;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Call call = pendingCall;
            pendingCall = null;
            if (call == null || !HttpUtil.isKeepAlive(response)) {
                ctx.close();
            }
            if (call != null) {
                call.onResponse(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (pendingCall != null) {
                pendingCall.fail();
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.warn(LOG, "discovery-failed")
                        .addKeyValue("cause", cause.toString())
                        .log("the connection to discovery failed: {}", cause.toString());
            }
            if (pendingCall != null) {
                pendingCall.fail();
            }
            ctx.close();
        }
    }
}
