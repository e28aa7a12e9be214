package cranedeal.node;

import cranedeal.LoadBalancer.Repeat;
import cranedeal.LoadBalancer.Request;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;

/** Takes callers' requests, checks that they are well formed, and writes each one's answer. */
final class Frontend {

    private static final int BACKLOG = 1_024;
    /** Requests that a connection may send ahead of their turn. */
    private static final int MAX_AHEAD = 16;
    /** The longest wait that a caller can ask for, in seconds. */
    private static final double LONGEST_WAIT = 3_600;
    private static final int MS = 1_000;
    /** How long a caller that was answered for the last time may go on sending. */
    private static final long LINGER_MS = 500;

    private final EventLoop loop;
    private final NodeConfig config;
    private final Sockets sockets;
    private final ByteBufAllocator memory;
    private final Node node;
    private final Map<String, Integer> classes = new HashMap<>();
    /** Every caller's connection, in the order in which they came or last became idle. */
    private final Set<Connection> connections = new LinkedHashSet<>();
    private Channel listening;
    private boolean draining;

    Frontend(EventLoop loop, NodeConfig config, Sockets sockets, ByteBufAllocator memory, Node node) {
        this.loop = loop;
        this.config = config;
        this.sockets = sockets;
        this.memory = memory;
        this.node = node;
        for (int i = 0; i < config.classes().size(); i++) {
            classes.put(config.classes().get(i), i);
        }
    }

    void bind() throws ConfigException, InterruptedException {
        ServerBootstrap server = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, memory).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(),
                                new HttpObjectAggregator(UpstreamClient.MAX_BODY), new Connection(channel));
                    }
                });
        var bound = server.bind(config.listen()).await();
        if (!bound.isSuccess()) {
            throw new ConfigException("cannot listen on " + config.listen() + ": "
                    + bound.cause().getMessage());
        }
        listening = bound.channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** From now on every answer asks its caller to leave. */
    void beginDrain() {
        draining = true;
    }

    /** Closes what is idle and tells whether nothing is left, so that the process may end. */
    boolean endDrain() {
        Sockets.readNow(listening);
        for (Connection connection : new ArrayList<>(connections)) {
            // A request that lies unread in the kernel would be lost with its connection.
            Sockets.readNow(connection.channel);
            if (connection.isIdle()) {
                connection.channel.close();
            }
        }
        return connections.isEmpty();
    }

    /** Closes the caller's connection that has been idle for longest, as it may between requests. */
    private boolean evictIdle() {
        for (Connection connection : connections) {
            if (connection.isIdle() && connection.served) {
                connection.channel.close();
                return true;
            }
        }
        return false;
    }

    /** A request that its caller has got wrong, and how to say so. */
    private static final class BadRequestException extends Exception {

        private static final long serialVersionUID = 1;

        BadRequestException(String message) {
            super(message, null, false, false);
        }
    }

    /** One caller's connection: one request at a time, those sent ahead wait for their turn. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest>
            implements Exchange.Caller {

        private final Channel channel;
        private final ArrayDeque<FullHttpRequest> ahead = new ArrayDeque<>();
        /** The request at work; the exchange is known once the node has it. */
        private FullHttpRequest current;
        private Exchange exchange;
        private boolean served;
        private boolean closing;

        Connection(Channel channel) {
            this.channel = channel;
        }

        boolean isIdle() {
            return current == null && !closing;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sockets.count(channel);
            connections.add(this);
            if (!sockets.roomForCaller() && !evictIdle()) {
                // Failing to accept for want of a descriptor would stop Netty from trying for a second.
                listening.config().setAutoRead(false);
            }
            ctx.fireChannelActive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (closing || ahead.size() >= MAX_AHEAD) {
                return;
            }
            if (current == null) {
                handle(request.retain());
            } else {
                ahead.addLast(request.retain());
            }
        }

        private void handle(FullHttpRequest request) {
            current = request;
            exchange = null;
            if (!request.decoderResult().isSuccess()) {
                closing = true;
                reject(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
                return;
            }
            if (request.uri().equals("/_health")) {
                write(HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER, 0);
                return;
            }
            try {
                double now = node.now();
                Template template = read(request, now);
                Exchange begun = node.request(template::withId, request.retain(), this);
                // The answer may have come already, and with it the next request.
                if (begun.isOpen()) {
                    exchange = begun;
                }
            } catch (BadRequestException e) {
                reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            }
        }

        private void reject(HttpResponseStatus status, String why) {
            write(status, Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8), 0);
        }

        @Override
        public void answer(HttpResponseStatus status, ByteBuf body, double retryAfter) {
            write(status, body.retain(), retryAfter);
        }

        /** Writes an answer and goes on to the next request; takes the body over. */
        private void write(HttpResponseStatus status, ByteBuf body, double retryAfter) {
            FullHttpRequest request = current;
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            response.headers().set("Content-Length", body.readableBytes());
            if (retryAfter > 0) {
                response.headers().set("Retry-After", UpstreamClient.seconds(Math.ceil(retryAfter)));
            }
            closing |= draining || !HttpUtil.isKeepAlive(request);
            if (closing) {
                response.headers().set("Connection", "close");
            }
            request.release();
            current = null;
            exchange = null;
            served = true;
            // The longest idle come first.
            connections.remove(this);
            connections.add(this);
            if (closing && ahead.isEmpty()) {
                channel.writeAndFlush(response).addListener(written -> linger());
                return;
            }
            channel.writeAndFlush(response);
            FullHttpRequest next = ahead.pollFirst();
            if (next != null) {
                handle(next);
            }
        }

        /**
         * Ends the sending, and closes once the caller has done so too or has had its time: to close on bytes
         * that are still coming in would reset the connection and could take the answer with it.
         */
        private void linger() {
            ((SocketChannel) channel).shutdownOutput();
            loop.schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            listening.config().setAutoRead(true);
            ahead.forEach(FullHttpRequest::release);
            ahead.clear();
            Exchange left = exchange;
            exchange = null;
            if (current != null) {
                current.release();
                current = null;
            }
            if (left != null) {
                node.clientGone(left);
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Node.LOG.log(Level.WARNING, "a caller's connection failed", cause);
            }
            ctx.close();
        }
    }

    /** A request as the module wants it, but for its id. */
    private record Template(int serviceClass, int tenant, long key, double deadline, double cost,
            boolean retry, boolean write) {

        Request withId(long id) {
            return new Request(id, serviceClass, tenant, key, deadline, cost, retry, write);
        }
    }

    private Template read(FullHttpRequest request, double now) throws BadRequestException {
        HttpHeaders headers = request.headers();
        Integer serviceClass = classes.get(headers.get("X-Lane", firstPart(request.uri())));
        if (serviceClass == null) {
            throw new BadRequestException("unknown class");
        }
        if (headers.get("X-Txn", "").isBlank()) {
            throw new BadRequestException("X-Txn is missing");
        }
        Repeat repeat = config.settings().classes().get(serviceClass).repeat();
        boolean get = request.method().equals(HttpMethod.GET);
        if (get != (repeat == Repeat.IDEMPOTENT) || !get && !request.method().equals(HttpMethod.POST)) {
            throw new BadRequestException("the class wants another method");
        }
        if (repeat == Repeat.DEDUPLICATED && headers.get("Idempotency-Key", "").isBlank()) {
            throw new BadRequestException("Idempotency-Key is missing");
        }
        String tenant = headers.get("X-Org");
        int tenantIndex = config.tenants().isEmpty() || tenant == null ? 0 : config.tenants().indexOf(tenant);
        if (tenantIndex < 0) {
            throw new BadRequestException("unknown tenant");
        }
        double remaining = number(headers, "X-Remaining");
        if (Double.isNaN(remaining)) {
            throw new BadRequestException("X-Remaining is missing");
        }
        double estimate = number(headers, "X-Estimate");
        return new Template(serviceClass, tenantIndex, key(headers.get("Cookie")),
                now + Math.min(LONGEST_WAIT, remaining) * MS, Double.isNaN(estimate) ? 0 : estimate / MS,
                "1".equals(headers.get("X-Resent")), !get);
    }

    private static String firstPart(String uri) {
        List<String> parts = List.of(uri.split("[/?]", 3));
        return parts.size() > 1 ? parts.get(1) : "";
    }

    /** A header's number, not below 0; NaN where the header is absent. */
    private static double number(HttpHeaders headers, String name) throws BadRequestException {
        String text = headers.get(name);
        if (text == null) {
            return Double.NaN;
        }
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value) && value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a value out of range.
        }
        throw new BadRequestException(name + " is no number of use");
    }

    /** What the request is about, as the cookie {@code key} has it; 0 for none. */
    private static long key(String cookies) {
        if (cookies == null) {
            return 0;
        }
        for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
            if (cookie.name().equals("key")) {
                try {
                    return Long.parseUnsignedLong(cookie.value(), 16);
                } catch (NumberFormatException e) {
                    return cookie.value().hashCode();
                }
            }
        }
        return 0;
    }
}
