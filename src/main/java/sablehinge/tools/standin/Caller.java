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
 * Sends the calls of a server to the next tier through the balancer of the server. A call that fails is not retried
 * here, because retries belong to the balancer. Confined to the event loop of the server.
 */
final class Caller {

    /** How long a connection stays open after the deadline of its call, so that a late response is recorded. */
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

    /** A call in flight. */
    final class Call {
        private final String txn;
        private final String serviceClass;
        private final String key;
        private final double deadline;
        private final Consumer<Boolean> end;
        private final DefaultFullHttpRequest request;
        private ScheduledFuture<?> expiry;
        private Connection connection;
        private double sentAt = Double.NaN;
        private boolean ended;
        private boolean recorded;
        private boolean reconnected;

        private Call(
                String txn,
                String serviceClass,
                String key,
                double deadline,
                DefaultFullHttpRequest request,
                Consumer<Boolean> end) {
            this.txn = txn;
            this.serviceClass = serviceClass;
            this.key = key;
            this.deadline = deadline;
            this.request = request;
            this.end = end;
        }

        private void recordOutcome(End outcome, double answeredAt, int status, Echo echo) {
            if (!recorded) {
                recorded = true;
                record.accept(new ClientAttempt(
                        EvidenceStamps.now(),
                        name,
                        balancer,
                        txn,
                        txn,
                        serviceClass,
                        key,
                        sentAt,
                        deadline,
                        answeredAt,
                        outcome,
                        status,
                        echo));
            }
        }

        private void finish(boolean served) {
            if (!ended) {
                ended = true;
                expiry.cancel(false);
                end.accept(served);
            }
        }

        /** Cancels the call because the client of the request has disconnected. */
        void cancel() {
            if (!ended) {
                ended = true;
                expiry.cancel(false);
                recordOutcome(End.LEFT, Double.NaN, 0, Echo.UNKNOWN);
                if (connection != null) {
                    connection.current = null;
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

    /** Sends a call; {@code end} is called once with whether the call succeeded. */
    Call call(
            String txn,
            boolean idempotent,
            String serviceClass,
            String key,
            String cookie,
            double deadline,
            Consumer<Boolean> end) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                idempotent ? HttpMethod.GET : HttpMethod.POST,
                "/" + serviceClass,
                idempotent ? Unpooled.EMPTY_BUFFER : Unpooled.copiedBuffer("call", StandardCharsets.US_ASCII));
        double remainingMs = deadline - EvidenceStamps.now();
        request.headers()
                .set("Host", "app.svc")
                .set("X-Txn", txn)
                .set("X-Lane", serviceClass)
                .set("X-Remaining", String.format(Locale.ROOT, "%.4f", Math.max(0, remainingMs) / 1_000));
        if (!idempotent) {
            request.headers().set("Content-Length", request.content().readableBytes());
        }
        if (!key.isEmpty()) {
            request.headers().set("Idempotency-Key", key);
        }
        if (cookie != null) {
            request.headers().set("Cookie", cookie);
        }
        Call call = new Call(txn, serviceClass, key, deadline, request, end);
        call.expiry = loop.schedule(() -> expire(call), (long) Math.max(1, remainingMs), TimeUnit.MILLISECONDS);
        Connection idleConnection = idle.pollLast();
        while (idleConnection != null
                && (!idleConnection.channel.isActive() || EvidenceStamps.now() - idleConnection.idleSince > IDLE_MS)) {
            idleConnection.channel.close();
            idleConnection = idle.pollLast();
        }
        if (idleConnection == null) {
            connect(call);
        } else {
            idleConnection.send(call);
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
                .addListener((ChannelFuture connected) -> {
                    connection.channel = connected.channel();
                    if (!connected.isSuccess()) {
                        call.recordOutcome(End.UNREACHABLE, Double.NaN, 0, Echo.UNKNOWN);
                        call.finish(false);
                    } else if (call.ended || closed) {
                        connected.channel().close();
                    } else {
                        connection.send(call);
                    }
                });
    }

    private void expire(Call call) {
        if (call.ended) {
            return;
        }
        call.ended = true;
        if (call.connection == null || call.connection.current != call) {
            call.recordOutcome(End.UNREACHABLE, Double.NaN, 0, Echo.UNKNOWN);
        } else {
            loop.schedule(
                    () -> {
                        if (call.connection.current == call) {
                            call.connection.current = null;
                            call.recordOutcome(End.SILENT, Double.NaN, 0, Echo.UNKNOWN);
                            call.connection.channel.close();
                        }
                    },
                    LINGER_MS,
                    TimeUnit.MILLISECONDS);
        }
        call.end.accept(false);
    }

    /** Closes the idle connections when the server stops. */
    void close() {
        closed = true;
        idle.forEach(connection -> connection.channel.close());
        idle.clear();
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Channel channel;
        private Call current;
        private String lastTxn = "";
        private double idleSince;
        private boolean used;

        void send(Call call) {
            current = call;
            call.connection = this;
            channel.writeAndFlush(call.request.retainedDuplicate()).addListener(written -> {
                if (written.isSuccess()) {
                    call.sentAt = EvidenceStamps.now();
                } else {
                    channel.close();
                }
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Call call = current;
            if (call == null) {
                record.accept(new DuplicateAnswer(EvidenceStamps.now(), name, balancer, lastTxn));
                ctx.close();
                return;
            }
            current = null;
            lastTxn = call.txn;
            used = true;
            int status = response.status().code();
            String bodyStart = response.content()
                    .toString(0, Math.min(160, response.content().readableBytes()), StandardCharsets.ISO_8859_1);
            Echo echo = !bodyStart.startsWith("txn=")
                    ? Echo.UNKNOWN
                    : bodyStart.startsWith(call.txn + "\n", 4) ? Echo.SAME : Echo.OTHER;
            call.recordOutcome(End.ANSWERED, EvidenceStamps.now(), status, echo);
            if (HttpUtil.isKeepAlive(response) && !closed) {
                idleSince = EvidenceStamps.now();
                idle.addLast(this);
            } else {
                ctx.close();
            }
            call.finish(status == 200);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            Call call = current;
            current = null;
            if (call == null) {
                return;
            }
            if (used && !call.reconnected && !call.ended && !closed) {
                call.reconnected = true;
                call.sentAt = Double.NaN;
                connect(call);
                return;
            }
            call.recordOutcome(Double.isNaN(call.sentAt) ? End.UNREACHABLE : End.BROKEN, Double.NaN, 0, Echo.UNKNOWN);
            call.finish(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
