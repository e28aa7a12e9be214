package sablehinge.cli.mesh.operator;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Collects the final response of one call; interim ones are skipped. */
final class AnswerHandler extends SimpleChannelInboundHandler<HttpObject> {

    /** The longest body that is read; every configuration is smaller. */
    private static final long MAX_BODY_BYTES = 16 << 20;

    private final CompletableFuture<HttpCaller.Answer> answer;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    /** The head of the final response; null before it. */
    private HttpResponse head;

    AnswerHandler(CompletableFuture<HttpCaller.Answer> answer) {
        this.answer = answer;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
        if (!message.decoderResult().isSuccess()) {
            throw new IOException("malformed", message.decoderResult().cause());
        }
        if (message instanceof HttpResponse begun && begun.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            checkLength(begun);
            head = begun;
        }
        if (message instanceof HttpContent content && head != null) {
            append(content.content());
            if (content instanceof LastHttpContent) {
                answer.complete(new HttpCaller.Answer(
                        head.status().code(), head.headers().get(HttpHeaderNames.LOCATION), body.toByteArray()));
            }
        }
    }

    /** Rejects answers that are too long or lack a Content-Length, which the core always sends. */
    private static void checkLength(HttpResponse begun) throws IOException {
        if (HttpUtil.getContentLength(begun, Long.MAX_VALUE) > MAX_BODY_BYTES) {
            throw new IOException("an answer of " + MAX_BODY_BYTES + " bytes at most, with its length, was expected");
        }
    }

    private void append(ByteBuf part) throws IOException {
        part.readBytes(body, part.readableBytes());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        answer.completeExceptionally(new IOException("the connection was closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        answer.completeExceptionally(cause);
        ctx.close();
    }
}
