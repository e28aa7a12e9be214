package sablehinge.tools.replay.run;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.Evidence.Echo;
import sablehinge.tools.audit.judge.Evidence.End;

/** A client's connection to a balancer: one request at a time. It belongs to its worker's loop. */
final class ReplayConnection extends ChannelInboundHandlerAdapter {

    /** Characters of an answer that are looked at. */
    private static final int ECHO = 160;

    /** The worker whose connection it is. */
    interface Owner {

        /** An attempt has ended on it. */
        void onEnded(ReplayAttempt attempt, End end);

        /** An attempt crossed the connection's end and is to be sent on another. */
        void onSendAgain(ReplayAttempt attempt);

        /** A balancer sent what nobody had asked for, after the answer to the given request. */
        void onUnasked(ReplayTarget target, String before);
    }

    private final ReplayTarget target;
    private final Owner owner;
    /** Null until it is up, or not. */
    Channel channel;
    /** The attempt at work; null for none. */
    ReplayAttempt current;

    private String before = "";
    private boolean used;
    private boolean keep;
    private int status;
    private final StringBuilder start = new StringBuilder(ECHO);
    /** Since when it is idle, by {@link System#nanoTime}. */
    long since;

    ReplayConnection(ReplayTarget target, Owner owner) {
        this.target = target;
        this.owner = owner;
    }

    /** Sends an attempt. */
    void send(ReplayAttempt one) {
        current = one;
        one.connection = this;
        Planned planned = one.request.planned;
        Effect effect = planned.plan().terms().effect();
        ByteBuf body = effect == Effect.SAFE
                ? Unpooled.EMPTY_BUFFER
                : Unpooled.wrappedBuffer(new byte[Math.max(0, planned.body())]);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, effect == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST, planned.target(), body);
        double left = Math.max(0, one.until - EvidenceStamps.now());
        request.headers()
                .set("Host", "app.svc")
                .set("X-Txn", one.txn)
                .set("X-Lane", planned.serviceClass())
                .set("X-Remaining", seconds(left));
        if (effect != Effect.SAFE) {
            request.headers().set("Content-Length", body.readableBytes());
        }
        if (effect == Effect.KEYED) {
            request.headers().set("Idempotency-Key", one.request.key);
        }
        if (!planned.key().isEmpty()) {
            request.headers().set("Cookie", "key=" + Keys.number(planned.key()));
        }
        if (!planned.tenant().isEmpty()) {
            request.headers().set("X-Org", planned.tenant());
        }
        channel.writeAndFlush(request).addListener(written -> {
            if (written.isSuccess()) {
                one.sentAt = System.nanoTime();
            } else {
                channel.close();
            }
        });
    }

    /** Seconds to the tenth of a ms; formats take longer than all the rest of a request. */
    private static String seconds(double millis) {
        long tenths = Math.round(millis * 10);
        return tenths / 10_000 + "." + Long.toString(10_000 + tenths % 10_000).substring(1);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (current == null) {
                owner.onUnasked(target, before);
                ctx.close();
                return;
            }
            if (message instanceof HttpResponse head) {
                current.begun = true;
                if (!head.decoderResult().isSuccess()) {
                    ctx.close();
                    return;
                }
                status = head.status().code();
                keep = HttpUtil.isKeepAlive(head);
                current.retryAfter = retryAfter(head.headers().get("Retry-After"));
                start.setLength(0);
            }
            if (message instanceof HttpContent part) {
                int count = Math.min(ECHO - start.length(), part.content().readableBytes());
                start.append(part.content().toString(part.content().readerIndex(), count, StandardCharsets.ISO_8859_1));
                if (message instanceof LastHttpContent) {
                    if (part.decoderResult().isSuccess()) {
                        answered();
                    } else {
                        ctx.close();
                    }
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void answered() {
        ReplayAttempt one = current;
        one.answered = EvidenceStamps.now();
        one.status = status;
        one.echo = echo(start, one.txn);
        current = null;
        before = one.txn;
        used = true;
        if (keep && channel.isActive()) {
            rest();
        } else {
            channel.close();
        }
        owner.onEnded(one, End.ANSWERED);
    }

    /** Waits for the next request, or takes the one that has waited longest. */
    void rest() {
        since = System.nanoTime();
        for (ReplayAttempt next = target.waiting.poll(); next != null; next = target.waiting.poll()) {
            if (!next.over) {
                send(next);
                return;
            }
        }
        target.idle.addLast(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        target.idle.remove(this);
        ReplayAttempt one = current;
        current = null;
        if (one == null) {
            return;
        }
        if (used && !one.begun && !one.sentAgain && !one.over) {
            // Its end crossed a request that it had not read, as may happen between requests.
            one.sentAgain = true;
            one.sentAt = 0;
            owner.onSendAgain(one);
            return;
        }
        owner.onEnded(one, one.sentAt == 0 ? End.UNREACHABLE : one.begun ? End.PARTIAL : End.BROKEN);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (current != null && cause instanceof DecoderException) {
            // An answer has begun, though a malformed one: its request has been read.
            current.begun = true;
        }
        ctx.close();
    }

    /** What a stand-in says in its first line: for which request it made this body. */
    private static Echo echo(CharSequence start, String txn) {
        String text = start.toString();
        return !text.startsWith("txn=") ? Echo.UNKNOWN : text.startsWith(txn + "\n", 4) ? Echo.SAME : Echo.OTHER;
    }

    private static double retryAfter(String text) {
        try {
            double seconds = text == null ? 0 : Double.parseDouble(text);
            return seconds > 0 && seconds < 86_400 ? seconds * 1_000 : 0;
        } catch (NumberFormatException e) {
            // A date, which no balancer of ours sends.
            return 0;
        }
    }
}
