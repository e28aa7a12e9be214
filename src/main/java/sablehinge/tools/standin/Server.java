package sablehinge.tools.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.Fell;
import sablehinge.tools.audit.judge.Evidence.How;
import sablehinge.tools.audit.judge.Evidence.Ran;
import sablehinge.tools.standin.model.Faults;
import sablehinge.tools.standin.model.Faults.Kind;
import sablehinge.tools.standin.model.ServerModel;
import sablehinge.tools.standin.scenario.Scenario;
import sablehinge.tools.standin.scenario.Scenario.ClassPart;
import sablehinge.tools.standin.scenario.Scenario.TierPart;

/**
 * A stand-in for a server of a tier, by PROTOCOL. It listens at an address of its own for each balancer, so that what
 * it writes down says who sent. One event loop owns it.
 */
final class Server {

    private static final int MAX_BODY = 1 << 16;
    private static final int MAX_KEYS = 100_000;
    private static final double IDLE_MS = 30_000;

    private final Place place;
    private final EventLoop loop;
    private final Scenario scenario;
    private final Faults faults;
    private final DoubleSupplier begun;
    private final Directory directory;
    private final Consumer<Evidence> record;
    private final Map<String, Long> keys;
    private final SplittableRandom random;
    private final ServerModel.Terms terms;
    private final Map<String, Listening> listening = new LinkedHashMap<>();
    /** Where it listens for whom; read by the directory's loop. */
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

    private final Map<Long, Work> works = new HashMap<>();
    private final Set<Connection> connections = new HashSet<>();
    private ServerModel model;
    private Caller caller;
    private long lastId;
    private ScheduledFuture<?> tick;
    private boolean up;
    private boolean unresponsive;
    private double latency;

    /** Which server it is. */
    record Place(String name, int tier, int number, String zone, int cell) {}

    /** A port for one balancer. */
    private static final class Listening {
        int port;
        Channel channel;
        final List<Channel> fillers = new ArrayList<>();
    }

    /** A request at work. */
    private final class Work {
        final long id = ++lastId;
        final Connection connection;
        final String txn;
        final String key;
        final String cookie;
        final ClassPart type;
        final double first;
        final double taken = EvidenceStamps.now();
        final double until;
        final double rest;
        Kind struck;
        int callsLeft;
        Caller.Call call;
        boolean inCalls;
        boolean ended;

        Work(Connection connection, HttpRequest head, ClassPart type, double work) {
            this.connection = connection;
            this.type = type;
            txn = connection.txn;
            key = head.headers().get("Idempotency-Key", "");
            cookie = head.headers().get("Cookie");
            first = connection.begun;
            until = taken + remaining(head);
            TierPart tier = scenario.tiers().get(place.tier);
            boolean last = place.tier + 1 == scenario.tiers().size();
            callsLeft = last ? 0 : tier.calls();
            rest = callsLeft == 0 ? 0 : work / 2;
        }
    }

    Server(
            Place place,
            EventLoop loop,
            Scenario scenario,
            Faults faults,
            DoubleSupplier begun,
            Directory directory,
            Map<String, Long> keys,
            double speed,
            long seed,
            Consumer<Evidence> record) {
        this.place = place;
        this.loop = loop;
        this.scenario = scenario;
        this.faults = faults;
        this.begun = begun;
        this.directory = directory;
        this.keys = keys;
        this.record = record;
        random = new SplittableRandom(seed);
        TierPart tier = scenario.tiers().get(place.tier);
        terms = new ServerModel.Terms(
                tier.cores(),
                speed,
                tier.slots(),
                tier.queue(),
                tier.warmUpFrom(),
                tier.warmUpFor(),
                scenario.rules().fallMultiple(),
                scenario.rules().fallAfter());
    }

    Place place() {
        return place;
    }

    EventLoop loop() {
        return loop;
    }

    boolean isUp() {
        return up;
    }

    /** Where it listens for a balancer; on any thread. */
    InetSocketAddress address(String balancer) {
        return addresses.get(balancer);
    }

    /** Opens a port for a balancer; waits until it is there. Not on the loop. */
    void listenFor(String balancer) throws InterruptedException {
        ChannelFuture bound = bind(balancer, 0, 1_024).await();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    place.name + " can't listen: " + bound.cause().getMessage());
        }
        loop.submit(() -> {
                    Listening one = new Listening();
                    one.channel = bound.channel();
                    one.port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
                    listening.put(balancer, one);
                    addresses.put(balancer, (InetSocketAddress) bound.channel().localAddress());
                })
                .sync();
    }

    private ChannelFuture bind(String balancer, int port, int backlog) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, backlog)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new Connection(channel, balancer));
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    // ---- Start and end --------------------------------------------------------------------------------------

    /** Begins to serve, warmed up or not; on the loop. */
    void start(boolean warmingUp, Caller calls) {
        model = new ServerModel(terms, EvidenceStamps.now(), warmingUp ? EvidenceStamps.now() : Double.NaN);
        caller = calls;
        up = true;
        reopen();
    }

    /** Dies: its connections are reset, new ones refused; on the loop. */
    void die() {
        up = false;
        closeListeners();
        List.copyOf(connections).forEach(Connection::reset);
        if (caller != null) {
            caller.close();
            caller = null;
        }
    }

    /** New connections are refused from now on, or never come up, or do again; on the loop. */
    void refuse(boolean hang) {
        closeListeners();
        if (!hang) {
            return;
        }
        listening.forEach((balancer, one) -> bind(balancer, one.port, 1).addListener((ChannelFuture bound) -> {
            if (bound.isSuccess()) {
                one.channel = bound.channel();
                one.channel.config().setAutoRead(false);
                // With these the kernel's queue is full, and it answers no further one.
                for (int i = 0; i < 3; i++) {
                    one.fillers.add(new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .handler(new ChannelInboundHandlerAdapter())
                            .connect(bound.channel().localAddress())
                            .channel());
                }
            }
        }));
    }

    /** Listens as ever, unless it is dead; on the loop. */
    void reopen() {
        listening.forEach((balancer, one) -> {
            one.fillers.forEach(Channel::close);
            one.fillers.clear();
            if (one.channel != null
                    && one.channel.isOpen()
                    && one.channel.config().isAutoRead()) {
                return;
            }
            ChannelFuture closed = one.channel == null ? null : one.channel.close();
            Runnable open = () -> bind(balancer, one.port, 1_024).addListener((ChannelFuture bound) -> {
                if (bound.isSuccess() && up) {
                    one.channel = bound.channel();
                } else if (bound.isSuccess()) {
                    bound.channel().close();
                } else {
                    // Its port is still being given back.
                    loop.schedule(this::reopen, 50, TimeUnit.MILLISECONDS);
                }
            });
            if (closed == null) {
                open.run();
            } else {
                closed.addListener(done -> open.run());
            }
        });
    }

    private void closeListeners() {
        listening.values().forEach(one -> {
            if (one.channel != null) {
                one.channel.close();
            }
            one.fillers.forEach(Channel::close);
            one.fillers.clear();
        });
    }

    /** From now on it says nothing, or speaks again; connections that were open then are reset. On the loop. */
    void vanish(boolean on) {
        unresponsive = on;
        if (on) {
            refuse(true);
        } else {
            List.copyOf(connections).forEach(Connection::reset);
            reopen();
        }
    }

    // ---- Work --------------------------------------------------------------------------------------

    private double elapsed() {
        return EvidenceStamps.now() - begun.getAsDouble();
    }

    /** Lets the server model's time pass, and sees to what has come of it. */
    private void pass() {
        double now = EvidenceStamps.now();
        model.slow(faults.slower(place.tier, place.number, elapsed()));
        model.stall(unresponsive || faults.struck(Kind.STALL, place.tier, place.number, elapsed()));
        while (model.time() < now) {
            List<Long> done = model.advance(now);
            for (long id : done) {
                Work work = works.get(id);
                if (work != null) {
                    partDone(work);
                }
            }
        }
        if (tick != null) {
            tick.cancel(false);
        }
        if (!works.isEmpty() && up) {
            // A stall's end and a fault's beginning are looked for too.
            double next = Math.min(20, model.next() - EvidenceStamps.now());
            tick = loop.schedule(this::pass, (long) (Math.max(0.2, next) * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    private void partDone(Work work) {
        if (work.callsLeft > 0) {
            work.inCalls = true;
            work.callsLeft--;
            work.call = caller.call(
                    String.format(Locale.ROOT, "%016x", random.nextLong()),
                    work.type.effect() == Repeat.IDEMPOTENT,
                    work.type.name(),
                    work.key.isEmpty() ? "" : work.key + "-" + work.callsLeft,
                    work.cookie,
                    work.until,
                    served -> called(work, served));
        } else if (work.inCalls && work.rest > 0) {
            work.inCalls = false;
            model.resume(work.id, work.rest);
        } else {
            finish(work);
        }
    }

    private void called(Work work, boolean served) {
        work.call = null;
        if (work.ended) {
            return;
        }
        if (!served) {
            // A failure of the tier behind is one of this.
            end(work, How.ERROR);
            work.connection.answer(500, "a call failed", false);
        } else {
            partDone(work);
        }
        pass();
    }

    private void finish(Work work) {
        Kind struck = work.struck;
        latency += 0.1 * (EvidenceStamps.now() - work.taken - latency);
        if (struck == Kind.RESET_AFTER) {
            end(work, How.RESET);
            work.connection.reset();
        } else if (struck == Kind.HALF) {
            end(work, How.RESET);
            work.connection.half(body(work.txn));
        } else if (struck == Kind.SPOIL) {
            end(work, How.ERROR);
            work.connection.spoil();
        } else {
            end(work, How.SERVED);
            work.connection.answer(200, body(work.txn), false);
        }
    }

    private String body(String txn) {
        return "txn=" + txn + "\nserver=" + place.name + "\n" + "tile".repeat(16) + "\n";
    }

    private void end(Work work, How how) {
        if (!work.ended) {
            work.ended = true;
            works.remove(work.id);
            model.leave(work.id);
            if (work.call != null) {
                work.call.cancel();
            }
            note(work.connection, work.txn, work.key, work.first, work.taken, how);
        }
    }

    private void note(Connection from, String txn, String key, double first, double taken, How how) {
        record.accept(new Ran(
                EvidenceStamps.now(),
                place.name,
                place.zone,
                place.cell,
                from.balancer,
                txn,
                key,
                from.serviceClass,
                from.about,
                first,
                taken,
                how));
    }

    private static double remaining(HttpRequest head) {
        try {
            return Double.parseDouble(head.headers().get("X-Remaining", "10")) * 1_000;
        } catch (NumberFormatException e) {
            return 10_000;
        }
    }

    /** A balancer's connection: one request at a time. */
    private final class Connection extends ChannelInboundHandlerAdapter {

        private final Channel channel;
        private final String balancer;
        private HttpRequest head;
        private int bytes;
        private double begun;
        private String txn = "";
        private String serviceClass = "";
        private String about = "";
        private Work work;
        private ScheduledFuture<?> idle;

        Connection(Channel channel, String balancer) {
            this.channel = channel;
            this.balancer = balancer;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            rest();
        }

        private void rest() {
            idle = loop.schedule(() -> channel.close(), (long) IDLE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (unresponsive) {
                    return;
                }
                if (message instanceof HttpRequest request) {
                    idle.cancel(false);
                    head = request;
                    begun = EvidenceStamps.now();
                    bytes = 0;
                    txn = request.headers().get("X-Txn", "");
                    serviceClass = request.headers().get("X-Lane", "");
                    String cookie = request.headers().get("Cookie", "");
                    about = cookie.startsWith("key=") ? cookie.substring(4) : "";
                    if (!request.decoderResult().isSuccess()) {
                        answer(400, "", true);
                        return;
                    }
                }
                if (message instanceof HttpContent part && head != null) {
                    bytes += part.content().readableBytes();
                    if (bytes > MAX_BODY) {
                        answer(413, "", true);
                    } else if (message instanceof LastHttpContent) {
                        complete(head);
                    }
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void complete(HttpRequest request) {
            head = null;
            String path = request.uri();
            if (path.equals("/ping") || path.equals("/_load")) {
                boolean busy = model.queued() >= terms.queue();
                answer(busy ? 503 : 200, path.equals("/ping") ? "" : report(), false);
                return;
            }
            if (txn.isEmpty()) {
                answer(404, "", false);
                return;
            }
            String name = path.split("[/?]", 3)[1];
            ClassPart type = scenario.classes().stream()
                    .filter(c -> c.name().equals(name))
                    .findFirst()
                    .orElse(null);
            if (type == null) {
                answer(400, "no such class", false);
                return;
            }
            take(request, type);
        }

        private void take(HttpRequest request, ClassPart type) {
            String key = request.headers().get("Idempotency-Key", "");
            if (!key.isEmpty() && repeated(key, type)) {
                note(this, txn, key, begun, EvidenceStamps.now(), How.SERVED);
                answer(200, body(txn), false);
                return;
            }
            pass();
            double mean = type.work() * scenario.tiers().get(place.tier).share();
            double amount = mean * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
            Work taken = new Work(this, request, type, amount);
            taken.struck = faults.strikes(place.tier, place.number, elapsed(), random.nextDouble());
            if (taken.struck == Kind.RESET_BEFORE) {
                note(this, txn, key, begun, taken.taken, How.RESET);
                reset();
                return;
            }
            boolean in = remaining(request) > 0
                    && model.arrive(
                            EvidenceStamps.now(),
                            taken.id,
                            taken.callsLeft == 0 ? amount : amount - taken.rest,
                            directory.knowsStart(balancer, place.name));
            if (!Double.isNaN(model.fell()) && up) {
                record.accept(new Fell(EvidenceStamps.now(), place.name, model.informed()));
                note(this, txn, key, begun, taken.taken, How.RESET);
                die();
                return;
            }
            if (!in) {
                note(this, txn, key, begun, taken.taken, How.TURNED_AWAY);
                turnAway();
                return;
            }
            if (!key.isEmpty()) {
                if (keys.size() >= MAX_KEYS) {
                    keys.clear();
                }
                keys.put(key, (long) EvidenceStamps.now());
            }
            if (taken.struck == Kind.ERROR) {
                model.leave(taken.id);
                note(this, txn, key, begun, taken.taken, How.ERROR);
                answer(500, "struck", false);
                return;
            }
            work = taken;
            works.put(taken.id, taken);
            pass();
        }

        /** Whether servers of this cell have had the key within the window. */
        private boolean repeated(String key, ClassPart type) {
            Long before = keys.get(key);
            return before != null && EvidenceStamps.now() - before < type.window();
        }

        private String report() {
            return String.format(Locale.ROOT, "TEXT queue=%d, eps=0, latency_ms=%.2f", model.queued(), latency);
        }

        void answer(int status, String text, boolean close) {
            work = null;
            if (unresponsive || !channel.isActive()) {
                return;
            }
            FullHttpResponse response = response(status, text);
            rest();
            ChannelFuture written = channel.writeAndFlush(response);
            if (close) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        private static FullHttpResponse response(int status, String text) {
            ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
            response.headers().set("Content-Length", body.readableBytes());
            return response;
        }

        private void turnAway() {
            FullHttpResponse response = response(503, "");
            response.headers().set("X-Turned-Away", "1");
            rest();
            channel.writeAndFlush(response);
        }

        /** Promises more than it writes, and ends. */
        void half(String text) {
            work = null;
            FullHttpResponse response = response(200, text);
            response.headers().set("Content-Length", text.length() * 2);
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        /** Writes what is no HTTP. */
        void spoil() {
            work = null;
            channel.pipeline()
                    .firstContext()
                    .writeAndFlush(Unpooled.copiedBuffer(
                            "HTTP/1.1 2o0 \u0001\r\nContent-Length: -4\r\n\r\n", StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        void reset() {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            Work had = work;
            work = null;
            if (had != null) {
                end(had, How.RESET);
            }
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            idle.cancel(false);
            if (work != null) {
                end(work, How.CANCELLED);
                work = null;
            } else if (head != null && !txn.isEmpty()) {
                note(this, txn, head.headers().get("Idempotency-Key", ""), begun, Double.NaN, How.CUT);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
