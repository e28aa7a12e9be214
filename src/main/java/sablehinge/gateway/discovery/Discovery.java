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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
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
import sablehinge.common.logging.Log;
import sablehinge.dataplane.proxy.Registry;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.policy.LoadBalancer.Change;

/**
 * Asks discovery for the list of upstreams and watches its changes. Whatever goes wrong with a call, a garbled answer
 * or none at all, is {@link Change#FAILED} once, and the old list holds; when to ask again is the module's decision.
 */
public final class Discovery implements Registry {

    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
    private static final JsonMapper JSON = new JsonMapper();
    private static final int MAX_LIST = 4 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** How long a watch may wait for an update: each new call costs discovery work. */
    public static final int WATCH_MS = 20_000;
    /** How long after that an answer may still be under way; what was not received by then counts as received. */
    private static final int LATE_MS = 1_500;
    /** The version of a list from a discovery that has sent nothing yet. */
    private static final long UNTOLD = -1;

    /** Who is notified of the list. */
    public interface Listener {

        /** An update; the roster is null if the call failed. */
        void onRosterChanged(Change change, Roster roster);
    }

    private final EventLoop loop;
    private final RosterParser parser;
    private final Listener listener;
    private final int watchMillis;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private long version;
    private boolean watching;
    /** The watch's connection, kept from call to call, and its call that is out. */
    private Channel kept;

    private Call watch;

    /**
     * Discovery at an address, on the given loop.
     *
     * @param known the version of the list that the listener has already
     * @param watchMillis how long a watch waits for an update, in ms
     */
    public Discovery(
            EventLoop loop,
            InetSocketAddress address,
            long known,
            RosterParser parser,
            ByteBufAllocator memory,
            Listener listener,
            int watchMillis) {
        this.loop = loop;
        this.parser = parser;
        this.listener = listener;
        this.watchMillis = watchMillis;
        this.address = address;
        version = known;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, memory)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_LIST), new Answers());
                    }
                });
    }

    /**
     * Begins the watch, or ends it. One that is out ends quietly, and the new one goes over a connection of its own:
     * nothing but a missing answer tells a dead connection from one without updates.
     */
    @Override
    public void watch(boolean on) {
        watching = on;
        if (watch != null) {
            watch.abandon();
            watch = null;
        }
        if (on) {
            watchOn();
        }
    }

    /**
     * Goes over to another discovery. The call that is out there ends quietly, as nothing has failed, and the new one
     * is requested its complete list at once: its versions need not go on from the old one's.
     */
    public void moveTo(InetSocketAddress other) {
        if (other.equals(address)) {
            return;
        }
        address = other;
        version = UNTOLD;
        if (watch != null) {
            watch.abandon();
            watch = null;
        }
        if (kept != null) {
            kept.close();
            kept = null;
        }
        if (watching) {
            watchOn();
        }
    }

    private void watchOn() {
        watch = version == UNTOLD
                ? new Call("", CONNECT_TIMEOUT_MS + LATE_MS, this::watched)
                : new Call("?index=" + version + "&wait=" + watchMillis, watchMillis + LATE_MS, this::watched);
        watch.start(kept);
    }

    private void watched(Roster roster) {
        kept = roster == null ? null : watch.channel;
        watch = null;
        // Changes say nothing of the rest to somebody who has no list of that discovery.
        tell(roster != null && (version != UNTOLD || roster.full()) ? roster : null);
        // The watch goes on only if its next call comes soon, so it must not wait for the module.
        if (roster != null && watching && watch == null) {
            watchOn();
        }
    }

    @Override
    public void fetch() {
        Call call = new Call("", CONNECT_TIMEOUT_MS + LATE_MS, null);
        call.end = roster -> fetched(call, roster);
        call.start(null);
    }

    private void fetched(Call call, Roster roster) {
        // Nobody asks on this connection again; left open, it would cost a descriptor for good.
        if (call.channel != null) {
            call.channel.close();
        }
        // Changes are no answer to a call for the complete list.
        tell(roster != null && roster.full() ? roster : null);
    }

    /** A list that its listener can't take must not end the watch for good: it counts as a failed call. */
    private void tell(Roster roster) {
        if (roster == null) {
            listener.onRosterChanged(Change.FAILED, null);
            return;
        }
        try {
            listener.onRosterChanged(roster.full() ? Change.FULL : Change.DELTA, roster);
            version = roster.version();
        } catch (RuntimeException e) {
            Log.error(LOG, "list-failed").setCause(e).log("a list of upstreams could not be taken in");
            listener.onRosterChanged(Change.FAILED, null);
        }
    }

    /** One call; its end is reported once, with null for a failure. */
    private final class Call {

        private final String query;
        private final Future<?> expiry;
        private Consumer<Roster> end;
        private Channel channel;
        private boolean over;

        Call(String query, long timeout, Consumer<Roster> end) {
            this.query = query;
            this.end = end;
            expiry = loop.schedule(this::fail, timeout, TimeUnit.MILLISECONDS);
        }

        /** Asks over the given connection if it still stands, otherwise over a new one. */
        private void start(Channel connection) {
            if (connection != null && connection.isActive()) {
                ask(connection);
                return;
            }
            bootstrap.connect(address).addListener((io.netty.channel.ChannelFuture up) -> {
                channel = up.channel();
                if (over) {
                    channel.close();
                } else if (up.isSuccess()) {
                    ask(channel);
                } else {
                    fail();
                }
            });
        }

        private void ask(Channel connection) {
            channel = connection;
            channel.pipeline().get(Answers.class).requested = this;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, "/catalog/members" + query, Unpooled.EMPTY_BUFFER);
            request.headers().set("Host", address.getHostString());
            channel.writeAndFlush(request).addListener(write -> {
                if (!write.isSuccess()) {
                    fail();
                }
            });
        }

        private void abandon() {
            over = true;
            expiry.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private void fail() {
            if (!over) {
                abandon();
                end.accept(null);
            }
        }

        private void answered(FullHttpResponse response) {
            if (over) {
                return;
            }
            Roster roster;
            try {
                roster = read(response);
            } catch (IOException | IllegalArgumentException e) {
                Log.warn(LOG, "list-malformed")
                        .addKeyValue("cause", e.getMessage())
                        .log("discovery's answer is of no use: {}", e.getMessage());
                fail();
                return;
            }
            over = true;
            expiry.cancel(false);
            end.accept(roster);
        }

        private Roster read(FullHttpResponse response) throws IOException {
            if (!response.decoderResult().isSuccess() || response.status().code() != 200) {
                throw new IOException("status " + response.status().code());
            }
            try (InputStream body = new ByteBufInputStream(response.content())) {
                return parser.parse(JSON.readTree(body));
            }
        }
    }

    /** Hands what comes on a connection to the call that waits for it. */
    private static final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Call requested;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Call call = requested;
            requested = null;
            if (call == null || !HttpUtil.isKeepAlive(response)) {
                ctx.close();
            }
            if (call != null) {
                call.answered(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (requested != null) {
                requested.fail();
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
            if (requested != null) {
                requested.fail();
            }
            ctx.close();
        }
    }
}
