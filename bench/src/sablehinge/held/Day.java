package sablehinge.held;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import sablehinge.held.Flow.End;

/** The callers of one play: an open loop at a steady rate, each with habits of its own. */
final class Day {

    private static final double HELD_MS = 2_000;
    private static final double REMAINING_MS = 2_000;
    private static final long SAMPLE_MS = 100;
    private static final int SLOW_BUFFER = 16 * 1024;
    private static final int BLOCK = 16 * 1024;
    private static final byte[] BYTES = new byte[BLOCK];

    private final EventLoop loop;
    private final Map<String, Flow> flows;
    private final SplittableRandom random;
    private final Bootstrap bootstrap;
    private final InetSocketAddress target;
    private final double rate;
    private final double trickle;
    private final long begun = System.nanoTime();
    private final List<Flow> all = new ArrayList<>();
    private final ArrayDeque<Channel> idle = new ArrayDeque<>();
    private boolean stopped;

    Day(EventLoop loop, InetSocketAddress target, double rate, double trickle, Map<String, Flow> flows, long seed) {
        this.loop = loop;
        this.target = target;
        this.rate = rate;
        this.trickle = trickle;
        this.flows = flows;
        random = new SplittableRandom(seed);
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new Call(channel));
                    }
                });
        loop.scheduleAtFixedRate(this::sendDue, 2, 2, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::sample, SAMPLE_MS, SAMPLE_MS, TimeUnit.MILLISECONDS);
    }

    private void sendDue() {
        while (!stopped && begun + (long) (all.size() * 1e9 / rate) <= System.nanoTime()) {
            Kind kind = Kind.draw(random, trickle);
            Flow flow = new Flow("f" + all.size(), kind, kind.answer(random), REMAINING_MS);
            all.add(flow);
            flows.put(flow.id, flow);
            Channel kept = flow.kind == Kind.SLOW ? null : idle.pollLast();
            if (kept != null && kept.isActive()) {
                kept.pipeline().get(Call.class).begin(flow);
                continue;
            }
            Bootstrap own =
                    flow.kind != Kind.SLOW ? bootstrap : bootstrap.clone().option(ChannelOption.SO_RCVBUF, SLOW_BUFFER);
            own.connect(target).addListener((ChannelFuture up) -> {
                if (up.isSuccess()) {
                    up.channel().pipeline().get(Call.class).begin(flow);
                } else {
                    flow.end = End.BROKEN;
                }
            });
        }
    }

    /** Both ends are ready, and nothing moves: the upstream's kernel had more than the caller, who reads. */
    private void sample() {
        long now = System.nanoTime();
        for (Flow flow : flows.values()) {
            if (flow.end == End.OPEN
                    && flow.received > 0
                    && flow.produced > flow.received
                    && (now - flow.receivedAt) / 1e6 > HELD_MS
                    && flow.notifiedFor != flow.received) {
                flow.held++;
                flow.notifiedFor = flow.received;
            }
        }
    }

    /** Sends nothing more; what became of all that was sent, once it has had its time. */
    List<Flow> stop(double timeoutMillis) throws InterruptedException {
        loop.submit(() -> {
                    stopped = true;
                })
                .sync();
        long end = System.nanoTime() + (long) (timeoutMillis * 1e6);
        while (System.nanoTime() < end
                && loop.submit(() -> all.stream().anyMatch(flow -> flow.end == End.OPEN))
                        .sync()
                        .getNow()) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return loop.submit(() -> List.copyOf(all)).sync().getNow();
    }

    private final class Call extends ChannelInboundHandlerAdapter {

        private final Channel channel;
        private Flow flow;
        private int status;
        private boolean keeps;
        private double firstByte;
        private int left;
        private boolean sending;

        Call(Channel channel) {
            this.channel = channel;
        }

        void begin(Flow next) {
            flow = next;
            status = 0;
            int body = next.kind.body(random);
            HttpRequest request = new DefaultHttpRequest(
                    HttpVersion.HTTP_1_1, body == 0 ? HttpMethod.GET : HttpMethod.POST, "/" + next.kind.service + "/7");
            request.headers()
                    .set("Host", "app.svc")
                    .set("X-Txn", next.id)
                    .set("X-Remaining", REMAINING_MS / 1_000)
                    .set("X-Lane", next.kind.service);
            if (body > 0) {
                request.headers().set("Content-Length", body);
            }
            channel.writeAndFlush(request);
            left = body;
            sending = true;
            go();
            if (next.kind == Kind.SLOW) {
                channel.config().setAutoRead(false);
                readLater();
            }
        }

        private void go() {
            while (sending && left > 0 && channel.isWritable()) {
                int size = Math.min(left, flow.kind.inPieces() ? 1 + random.nextInt(3) : BLOCK);
                left -= size;
                channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(BYTES, 0, size)));
            }
            if (sending && left == 0) {
                sending = false;
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        }

        /** Reads some 16 KiB every 60 to 250 ms. */
        private void readLater() {
            loop.schedule(
                    () -> {
                        if (channel.isActive() && flow != null) {
                            channel.read();
                            readLater();
                        }
                    },
                    60 + random.nextInt(190),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            go();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (flow != null && message instanceof HttpResponse response) {
                status = response.status().code();
                keeps = HttpUtil.isKeepAlive(response);
                firstByte = flow.age(System.nanoTime());
            }
            if (flow != null && message instanceof HttpContent content) {
                flow.received += content.content().readableBytes();
                flow.receivedAt = System.nanoTime();
                if (message instanceof LastHttpContent) {
                    over(
                            status == 200
                                    ? flow.received != flow.length
                                            ? End.BROKEN
                                            : firstByte <= flow.remainingMillis ? End.IN_TIME : End.LATE
                                    : status == 503 ? End.REFUSED : End.FAILED);
                }
            }
            ReferenceCountUtil.release(message);
        }

        private void over(End end) {
            Flow done = flow;
            flow = null;
            done.tookMillis = done.age(System.nanoTime());
            done.end = end;
            flows.remove(done.id);
            if (keeps && !sending && done.kind != Kind.SLOW && end != End.BROKEN) {
                idle.addLast(channel);
            } else {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (flow != null) {
                keeps = false;
                over(End.BROKEN);
            }
            idle.remove(channel);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
