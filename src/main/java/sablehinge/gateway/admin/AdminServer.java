package sablehinge.gateway.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The admin server: HTTP/1.1 with JSON, one request per connection, on a Unix socket that only its owner may open or on
 * a loopback port with a bearer token. The number of connections, the size of bodies and the read time are limited.
 */
public final class AdminServer {

    private static final JsonMapper JSON = new JsonMapper();
    private static final int MAX_CONNECTIONS = 16;
    private static final int MAX_BODY_BYTES = (1 << 20) + 1;
    private static final int TIMEOUT_S = 60;

    /** Handles requests of operators; called on the event loop. */
    public interface Handler {

        /** Handles a request; {@code reply} must be called once, immediately or later, on the event loop. */
        void handle(Request request, Consumer<Reply> reply);
    }

    /** A request; the last value of a repeated query parameter applies. */
    public record Request(String method, String path, Map<String, String> query, byte[] body) {}

    /** A response: an HTTP status and a JSON body. */
    public record Reply(int status, JsonNode body) {}

    private final EventLoop loop;
    private final Handler handler;
    private final byte[] token;
    private int openConnections;
    private Channel channel;

    /** Creates a server; {@code token} is null if the permissions of the Unix socket protect it. */
    public AdminServer(EventLoop loop, Handler handler, String token) {
        this.loop = loop;
        this.handler = handler;
        this.token = token == null ? null : ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    }

    /** Listens on a Unix socket. A leftover socket file is replaced, so the process must own the path exclusively. */
    public void bind(Path socket) throws IOException, InterruptedException {
        Files.deleteIfExists(socket);
        try {
            listen(NioServerDomainSocketChannel.class, UnixDomainSocketAddress.of(socket));
        } catch (RuntimeException e) {
            throw new IOException("admin socket " + socket + ": " + e.getMessage(), e);
        }
        Files.setPosixFilePermissions(socket, PosixFilePermissions.fromString("rw-------"));
    }

    /** Listens on a loopback port. */
    public void bind(InetSocketAddress address) throws IOException, InterruptedException {
        if (token == null) {
            throw new IllegalStateException("a TCP port requires a token");
        }
        listen(NioServerSocketChannel.class, address);
    }

    private void listen(Class<? extends ServerChannel> type, SocketAddress address)
            throws IOException, InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(type)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel child) {
                        admit(child);
                    }
                })
                .bind(address)
                .await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "admin listener " + address + ": " + bound.cause().getMessage());
        }
        channel = bound.channel();
    }

    private void admit(Channel child) {
        if (openConnections >= MAX_CONNECTIONS) {
            child.close();
            return;
        }
        openConnections++;
        child.closeFuture().addListener(closed -> openConnections--);
        child.pipeline()
                .addLast(
                        new ReadTimeoutHandler(TIMEOUT_S, TimeUnit.SECONDS),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        new RequestHandler());
    }

    /** The address of the listener. */
    public SocketAddress address() {
        return channel.localAddress();
    }

    /** Closes the listener; open connections remain. */
    public void close() {
        channel.close();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
            if (!message.decoderResult().isSuccess()) {
                send(ctx, error(400, "no HTTP/1.1 request"));
                return;
            }
            String authorization = message.headers().get("Authorization");
            // Compared in constant time, so that the time does not reveal how much of a guess is correct.
            if (token != null
                    && !MessageDigest.isEqual(
                            token, (authorization == null ? "" : authorization).getBytes(StandardCharsets.UTF_8))) {
                send(ctx, error(401, "the token is another"));
                return;
            }
            QueryStringDecoder target = new QueryStringDecoder(message.uri());
            Map<String, String> query = new LinkedHashMap<>();
            target.parameters().forEach((name, values) -> query.put(name, values.get(values.size() - 1)));
            handler.handle(
                    new Request(message.method().name(), target.path(), query, ByteBufUtil.getBytes(message.content())),
                    reply -> send(ctx, reply));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Creates an error response. */
    public static Reply error(int status, String message) {
        return new Reply(status, JSON.createObjectNode().put("error", message));
    }

    private static void send(ChannelHandlerContext ctx, Reply reply) {
        byte[] body = (reply.body().toPrettyString() + "\n").getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(body));
        response.headers()
                .set("Content-Type", "application/json")
                .set("Content-Length", body.length)
                .set("Connection", "close");
        ctx.writeAndFlush(response).addListener(written -> ctx.close());
    }
}
