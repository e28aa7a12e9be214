package sablehinge.cli.mesh.operator;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.common.http.ResponseDecoder;

/** Calls over HTTP/1.1, each on a connection of its own. */
final class NettyHttpCaller implements HttpCaller {

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int DEFAULT_PORT = 80;

    private final EventLoop loop = ClosingEventLoops.single("operator");

    @Override
    public Answer call(String address, Request request, long withinMs) throws IOException, InterruptedException {
        URI uri = uri(address, request.path());
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        int port = uri.getPort() < 0 ? DEFAULT_PORT : uri.getPort();
        ChannelFuture connect = bootstrap(answer).connect(uri.getHost(), port);
        connect.addListener(connected -> {
            if (connected.isSuccess()) {
                connect.channel().writeAndFlush(message(uri, request));
            } else {
                answer.completeExceptionally(new ConnectException("no connection"));
            }
        });
        try {
            return answer.get(withinMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new IOException("no answer within " + withinMs + " ms", e);
        } catch (ExecutionException e) {
            throw failure(e.getCause());
        } finally {
            connect.channel().close();
        }
    }

    private static URI uri(String address, String path) throws ConnectException {
        try {
            URI uri = URI.create("http://" + address + path);
            if (uri.getHost() != null) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            // Reported below, like an address without a host.
        }
        throw new ConnectException("no address to call: " + address);
    }

    private Bootstrap bootstrap(CompletableFuture<Answer> answer) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder(), new ResponseDecoder(), new AnswerHandler(answer));
                    }
                });
    }

    private static FullHttpRequest message(URI uri, Request request) {
        String query = uri.getRawQuery();
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                uri.getRawPath() + (query == null ? "" : "?" + query),
                Unpooled.wrappedBuffer(request.body()));
        message.headers().set(HttpHeaderNames.HOST, uri.getRawAuthority());
        request.headers().forEach(message.headers()::set);
        if (request.body().length > 0 || !message.method().equals(HttpMethod.GET)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    private static IOException failure(Throwable cause) {
        return cause instanceof ConnectException refused
                ? refused
                : new IOException("no whole answer: " + cause.getMessage(), cause);
    }
}
