package sablehinge.tools.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.DuplicateAnswer;
import sablehinge.tools.audit.judge.Evidence.Echo;
import sablehinge.tools.audit.judge.Evidence.End;

/**
 * A server's calls to the tier behind, through its own balancer. Nobody tries them again here: that is the balancer's
 * part. The server's event loop owns it.
 */
final class Caller {

    /** How long after a call's time is up its connection stays, so that an answer that is late is seen. */
    private static final long LINGER_MS = 150;

    private static final long IDLE_MS = 1_500;
    private static final int MAX_BODY = 1 << 17;

    private final EventLoop loop;
    private final String name;
    private final String balancer;
    private final InetSocketAddress address;
    private final Consumer<Evidence> record;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private boolean closed;

    /** A call that is out. */
    final class Call {
        private final String txn;
        private final String serviceClass;
        private final String key;
        private final double until;
        private final Consumer<Boolean> end;
        private final DefaultFullHttpRequest request;
        private ScheduledFuture<?> expiry;
        private Connection connection;
        private double sent = Double.NaN;
        private boolean over;
        private boolean noted;
        private boolean again;

        private Call(
                String txn,
                String serviceClass,
                String key,
                double until,
                DefaultFullHttpRequest request,
                Consumer<Boolean> end) {
            this.txn = txn;
            this.serviceClass = serviceClass;
            this.key = key;
            this.until = until;
            this.request = request;
            this.end = end;
        }

        private void note(End how, double answered, int status, Echo echo) {
            if (!noted) {
                noted = true;
                record.accept(new ClientAttempt(
                        EvidenceStamps.now(),
                        name,
                        balancer,
                        txn,
                        txn,
                        serviceClass,
                        key,
                        sent,
                        until,
                        answered,
                        how,
                        status,
                        echo));
            }
        }

        private void finish(boolean served) {
            if (!over) {
                over = true;
                expiry.cancel(false);
                end.accept(served);
            }
        }

        /** Whoever sent the request has gone: so does this. */
        void cancel() {
            if (!over) {
                over = true;
                expiry.cancel(false);
                note(End.LEFT, Double.NaN, 0, Echo.UNKNOWN);
                if (connection != null) {
                    connection.waits = null;
                    connection.channel.close();
                }
            }
        }
    }

    Caller(EventLoop loop, String name, String balancer, InetSocketAddress address, Consumer<Evidence> record) {
        this.loop = loop;
        this.name = name;
        this.balancer = balancer;
        this.address = address;
        this.record = record;
    }

    /** Makes a call; {@code end} is called once with whether it was served. */
    Call call(
            String txn,
            boolean get,
            String serviceClass,
            String key,
            String cookie,
            double until,
            Consumer<Boolean> end) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                get ? HttpMethod.GET : HttpMethod.POST,
                "/" + serviceClass,
                get ? Unpooled.EMPTY_BUFFER : Unpooled.copiedBuffer("call", StandardCharsets.US_ASCII));
        double left = until - EvidenceStamps.now();
        request.headers()
                .set("Host", "app.svc")
                .set("X-Txn", txn)
                .set("X-Lane", serviceClass)
                .set("X-Remaining", String.format(Locale.ROOT, "%.4f", Math.max(0, left) / 1_000));
        if (!get) {
            request.headers().set("Content-Length", request.content().readableBytes());
        }
        if (!key.isEmpty()) {
            request.headers().set("Idempotency-Key", key);
        }
        if (cookie != null) {
            request.headers().set("Cookie", cookie);
        }
        Call call = new Call(txn, serviceClass, key, until, request, end);
        call.expiry = loop.schedule(() -> expire(call), (long) Math.max(1, left), TimeUnit.MILLISECONDS);
        Connection kept = idle.pollLast();
        while (kept != null && (!kept.channel.isActive() || EvidenceStamps.now() - kept.since > IDLE_MS)) {
            kept.channel.close();
            kept = idle.pollLast();
        }
        if (kept == null) {
            connect(call);
        } else {
            kept.send(call);
        }
        return call;
    }

    private void connect(Call call) {
        Connection connection = new Connection();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY), connection);
                    }
                })
                .connect(address)
                .addListener((ChannelFuture up) -> {
                    connection.channel = up.channel();
                    if (!up.isSuccess()) {
                        call.note(End.UNREACHABLE, Double.NaN, 0, Echo.UNKNOWN);
                        call.finish(false);
                    } else if (call.over || closed) {
                        up.channel().close();
                    } else {
                        connection.send(call);
                    }
                });
    }

    private void expire(Call call) {
        if (call.over) {
            return;
        }
        call.over = true;
        if (call.connection == null || call.connection.waits != call) {
            call.note(End.UNREACHABLE, Double.NaN, 0, Echo.UNKNOWN);
        } else {
            loop.schedule(
                    () -> {
                        if (call.connection.waits == call) {
                            call.connection.waits = null;
                            call.note(End.SILENT, Double.NaN, 0, Echo.UNKNOWN);
                            call.connection.channel.close();
                        }
                    },
                    LINGER_MS,
                    TimeUnit.MILLISECONDS);
        }
        call.end.accept(false);
    }

    /** Ends with its server. */
    void close() {
        closed = true;
        idle.forEach(connection -> connection.channel.close());
        idle.clear();
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Channel channel;
        private Call waits;
        private String before = "";
        private double since;
        private boolean used;

        void send(Call call) {
            waits = call;
            call.connection = this;
            channel.writeAndFlush(call.request.retainedDuplicate()).addListener(written -> {
                if (written.isSuccess()) {
                    call.sent = EvidenceStamps.now();
                } else {
                    channel.close();
                }
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Call call = waits;
            if (call == null) {
                record.accept(new DuplicateAnswer(EvidenceStamps.now(), name, balancer, before));
                ctx.close();
                return;
            }
            waits = null;
            before = call.txn;
            used = true;
            int status = response.status().code();
            String start = response.content()
                    .toString(0, Math.min(160, response.content().readableBytes()), StandardCharsets.ISO_8859_1);
            Echo echo = !start.startsWith("txn=")
                    ? Echo.UNKNOWN
                    : start.startsWith(call.txn + "\n", 4) ? Echo.SAME : Echo.OTHER;
            call.note(End.ANSWERED, EvidenceStamps.now(), status, echo);
            if (HttpUtil.isKeepAlive(response) && !closed) {
                since = EvidenceStamps.now();
                idle.addLast(this);
            } else {
                ctx.close();
            }
            call.finish(status == 200);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            Call call = waits;
            waits = null;
            if (call == null) {
                return;
            }
            if (used && !call.again && !call.over && !closed) {
                call.again = true;
                call.sent = Double.NaN;
                connect(call);
                return;
            }
            call.note(Double.isNaN(call.sent) ? End.UNREACHABLE : End.BROKEN, Double.NaN, 0, Echo.UNKNOWN);
            call.finish(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
