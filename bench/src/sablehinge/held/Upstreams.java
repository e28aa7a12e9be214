package sablehinge.held;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Stand-in servers of one play: each works on a few requests at once and answers in any framing. */
final class Upstreams {

    private static final int SLOTS = 6;
    private static final double WORK_MS = 12;
    /** The part of long answers that end with their connection. */
    private static final double ENDS_WITH_CONNECTION = 0.045;

    private static final int STEPS = 10;
    private static final int BLOCK = 16 * 1024;
    private static final byte[] BYTES = new byte[BLOCK];

    private final EventLoop loop;
    private final Map<String, Flow> flows;
    private final SplittableRandom random;
    private final List<Channel> listening = new ArrayList<>();

    Upstreams(EventLoop loop, int count, Map<String, Flow> flows, long seed) throws InterruptedException {
        this.loop = loop;
        this.flows = flows;
        random = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            Server server = new Server();
            listening.add(new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(), new Connection(server, channel));
                        }
                    })
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel());
        }
    }

    List<InetSocketAddress> addresses() {
        return listening.stream()
                .map(one -> (InetSocketAddress) one.localAddress())
                .toList();
    }

    /** Work of one server: so many at once, the others wait. */
    private final class Server {
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        private int busy;

        void work(Runnable done) {
            if (busy >= SLOTS) {
                waiting.add(() -> begin(done));
            } else {
                begin(done);
            }
        }

        private void begin(Runnable done) {
            busy++;
            // Exponential, so that some take long.
            double millis = -WORK_MS * Math.log(1 - random.nextDouble());
            loop.schedule(
                    () -> {
                        busy--;
                        done.run();
                        Runnable next = waiting.poll();
                        if (next != null) {
                            next.run();
                        }
                    },
                    (long) (millis * 1e6),
                    TimeUnit.NANOSECONDS);
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter {

        private final Server server;
        private final Channel channel;
        private String id;
        private Flow flow;
        private int left;
        private long produced;
        private boolean closes;
        private boolean answering;

        Connection(Server server, Channel channel) {
            this.server = server;
            this.channel = channel;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpRequest request) {
                id = request.headers().get("X-Txn");
            }
            if (message instanceof LastHttpContent) {
                Flow found = id == null ? null : flows.get(id);
                if (found == null) {
                    // A health check, or a caller that has left.
                    channel.writeAndFlush(head(0, false));
                    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                } else {
                    server.work(() -> answer(found));
                }
            }
            ReferenceCountUtil.release(message);
        }

        private HttpResponse head(int length, boolean chunked) {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (chunked) {
                head.headers().set("Transfer-Encoding", "chunked");
            } else if (length >= 0) {
                head.headers().set("Content-Length", length);
            } else {
                head.headers().set("Connection", "close");
            }
            return head;
        }

        private void answer(Flow to) {
            if (!channel.isActive()) {
                return;
            }
            flow = to;
            left = to.length;
            produced = 0;
            boolean isLong = left > 64 * 1024;
            closes = isLong && random.nextDouble() < ENDS_WITH_CONNECTION;
            boolean chunked = !closes && random.nextInt(3) == 0;
            channel.writeAndFlush(head(closes ? -1 : left, chunked));
            answering = true;
            if (to.kind == Kind.TRICKLE) {
                // In steps, so that all of it takes 0.4 to 2 s.
                trickle(Math.max(1, left / STEPS), (400 + random.nextInt(1_600)) / STEPS);
            } else {
                go();
            }
        }

        private void trickle(int step, long everyMillis) {
            loop.schedule(
                    () -> {
                        if (answering && channel.isActive()) {
                            int rest = Math.max(0, left - step);
                            while (left > rest) {
                                write(Math.min(left - rest, 1 + random.nextInt(3)));
                            }
                            if (left > 0) {
                                trickle(step, everyMillis);
                            } else {
                                end();
                            }
                        }
                    },
                    everyMillis,
                    TimeUnit.MILLISECONDS);
        }

        private void write(int size) {
            left -= size;
            Flow of = flow;
            ByteBuf part = Unpooled.wrappedBuffer(BYTES, 0, size);
            channel.writeAndFlush(new DefaultHttpContent(part)).addListener(written -> {
                if (written.isSuccess()) {
                    produced += size;
                    // Of two attempts the one that is ahead is the one that passes.
                    of.produced = Math.max(of.produced, produced);
                }
            });
        }

        private void end() {
            answering = false;
            HttpContent last = new DefaultLastHttpContent();
            channel.writeAndFlush(last).addListener(closes ? ChannelFutureListener.CLOSE : written -> {});
        }

        /** Writes as long as its kernel takes it. */
        private void go() {
            while (answering && left > 0 && channel.isWritable()) {
                write(Math.min(left, flow.kind.inPieces() ? 1 + random.nextInt(3) : BLOCK));
            }
            if (answering && left == 0) {
                end();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (flow != null && flow.kind != Kind.TRICKLE) {
                go();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            answering = false;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
