package sablehinge.node;

import sablehinge.LatencyWeightedBalancer;
import sablehinge.LoadBalancer;
import sablehinge.LoadBalancer.Change;
import sablehinge.LoadBalancer.Outcome;
import sablehinge.LoadBalancer.Reports;
import sablehinge.LoadBalancer.Request;
import sablehinge.LoadBalancer.Result;
import sablehinge.LoadBalancer.ServiceClass;
import sablehinge.LoadBalancer.Upstream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One balancer: owns the decision module, tells it what happens on the sockets and carries out what it asks
 * for. It decides nothing itself. All of it runs on one event loop thread, so nothing is locked.
 */
final class Node implements LoadBalancer.Actions {

    static final Logger LOG = Logger.getLogger("sablehinge");
    /** Netty's pool of direct memory: one arena, as there is one thread, in chunks of 512 KiB. */
    private static final int PAGE = 8_192;
    private static final int CHUNK_ORDER = 6;
    private static final int CACHED = 32;
    /** How long new connections may still come after SIGTERM, with time to spare. */
    private static final long LATE_CONNECTIONS_MS = 550;
    private static final long DRAIN_CHECK_MS = 10;
    /** SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more: less is used of it. */
    private static final double LONGEST_DRAIN_MS = 3_000;
    private static final double DRAIN_SLACK_MS = 550;
    /** The time that is kept of it to answer what has come, once callers are asked to leave. */
    private static final double LAST_ANSWERS_MS = 1_650;

    private final NodeConfig config;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final LoadBalancer balancer;
    private final UpstreamClient upstreams;
    private final Discovery discovery;
    private final Frontend frontend;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private long lastId;
    private boolean deciding;
    /** The request that the module's present call is about, if it is about one. */
    private Exchange subject;

    /** Something to tell the module, and the request that it is about or null. */
    private record Event(Exchange about, Runnable call) { }

    private Node(NodeConfig config, EventLoop loop, Function<LoadBalancer.Actions, LoadBalancer> module) {
        this.config = config;
        this.loop = loop;
        // Written by the loop and, of a reload, by one more thread: a count may be off, which does no harm.
        LOG.setFilter(new LogLimit(clock::now));
        PooledByteBufAllocator memory = new PooledByteBufAllocator(true, 0, 1, PAGE, CHUNK_ORDER, CACHED,
                CACHED, false);
        Sockets sockets = new Sockets(config.sockets());
        balancer = module.apply(this);
        upstreams = new UpstreamClient(loop, clock, config.settings(), sockets, memory);
        discovery = new Discovery(loop, config, memory, this::told, Discovery.WATCH_MS);
        frontend = new Frontend(loop, config, sockets, memory, this);
    }

    static Node start(NodeConfig config) throws ConfigException, InterruptedException {
        return start(config, LatencyWeightedBalancer::new);
    }

    /** Starts a balancer with the given module; it serves once this returns. */
    static Node start(NodeConfig config, Function<LoadBalancer.Actions, LoadBalancer> module)
            throws ConfigException, InterruptedException {
        EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1,
                new DefaultThreadFactory("node", true), NioIoHandler.newFactory()).next();
        Node node = new Node(config, loop, module);
        loop.submit(node::begin).sync();
        node.frontend.bind();
        // The first line loads what logging needs, which later, with no descriptor left, would fail.
        LOG.info("serves as " + config.name());
        return node;
    }

    private void begin() {
        Roster known = new Roster(config.known().version(), true, config.known().members());
        upstreams.update(known);
        tell(null, () -> balancer.start(clock.now(), config.settings(), config.seed()));
        tell(null, () -> balancer.upstreamsChanged(clock.now(), Change.CACHED, entries(known)));
    }

    private static List<Upstream> entries(Roster roster) {
        List<Upstream> entries = new ArrayList<>(roster.members().size());
        roster.members().forEach(member -> entries.add(member.upstream()));
        return entries;
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return frontend.address();
    }

    /**
     * Stops as SIGTERM wants it. Callers go on using the connections that they have, and may have nowhere
     * else to go while another balancer restarts too, so they are served as before for as long as there is
     * time to answer what has come. Then they are asked to leave. Returns when the process may end.
     */
    void drain() throws InterruptedException {
        double longest = config.settings().classes().stream().mapToDouble(ServiceClass::deadline).max()
                .orElse(0);
        double begun = clock.now();
        double latest = begun + Math.min(longest, LONGEST_DRAIN_MS) + DRAIN_SLACK_MS;
        Thread.sleep((long) Math.max(LATE_CONNECTIONS_MS, latest - begun - LAST_ANSWERS_MS));
        loop.submit(frontend::beginDrain).sync();
        boolean done = endDrain();
        while (!done && clock.now() < latest) {
            Thread.sleep(DRAIN_CHECK_MS);
            done = endDrain();
        }
        // What SIGKILL found unanswered would be lost; a failure is an answer.
        loop.submit(() -> List.copyOf(exchanges.values()).stream().filter(Exchange::isOpen)
                .forEach(exchange -> fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT))).sync();
    }

    /** Closes callers' connections that are idle; whether none is left. */
    boolean endDrain() throws InterruptedException {
        return loop.submit(frontend::endDrain).sync().getNow();
    }

    /** Takes over what may change while a balancer runs, which is where discovery is. */
    void reload(NodeConfig changed) {
        loop.execute(() -> discovery.moveTo(changed.discovery()));
    }

    /** Its parts, for tests; they are to be used on the loop only. */
    <T> T onLoop(BiFunction<Frontend, UpstreamClient, T> look) throws InterruptedException {
        return loop.submit(() -> look.apply(frontend, upstreams)).sync().getNow();
    }

    /** Ends at once, whatever is under way; for tests. */
    void kill() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    // ---- What happens ------------------------------------------------------------------------------

    /**
     * Tells the module of an event. An action may cause an event at once, such as a connection that is
     * refused; it waits here until the module has returned from the call in which it acted.
     */
    private void tell(Exchange about, Runnable call) {
        events.add(new Event(about, call));
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            for (Event event = events.poll(); event != null; event = events.poll()) {
                subject = event.about();
                try {
                    event.call().run();
                } catch (Throwable e) {
                    broken(event.about(), e);
                }
            }
        } finally {
            subject = null;
            deciding = false;
        }
    }

    /** A call of the module broke off: what it was about fails, as nobody knows what has run. */
    private void broken(Exchange about, Throwable cause) {
        LOG.log(Level.SEVERE, "the decision module failed", cause);
        if (about != null && about.isOpen()) {
            fail(about, HttpResponseStatus.INTERNAL_SERVER_ERROR);
        }
    }

    /** Fails a request over the module's head and tells it that the client waits no more. */
    private void fail(Exchange exchange, HttpResponseStatus status) {
        exchange.answer(status, Unpooled.EMPTY_BUFFER, 0);
        exchange.attempts.forEach(Node::cancel);
        tell(null, () -> balancer.clientGone(clock.now(), exchange.id));
        settle(exchange);
    }

    private void told(Change change, Roster roster) {
        List<Upstream> entries = roster == null ? List.of() : entries(roster);
        if (roster != null) {
            upstreams.update(roster);
        }
        tell(null, () -> balancer.upstreamsChanged(clock.now(), change, entries));
    }

    /** Takes a request in; the node owns a reference to {@code message} from here on. */
    Exchange request(Function<Long, Request> description, FullHttpRequest message, Exchange.Caller caller) {
        Request request = description.apply(++lastId);
        Exchange exchange = new Exchange(request.id(), message, request.deadline(), caller);
        exchanges.put(exchange.id, exchange);
        double latest = exchange.deadline + config.settings().rules().answerGrace() / 2;
        exchange.overdue = loop.schedule(() -> overdue(exchange), clock.nanosUntil(latest),
                TimeUnit.NANOSECONDS);
        tell(exchange, () -> balancer.request(clock.now(), request));
        return exchange;
    }

    /** The module has left a request without its answer; it must not stay so. */
    private void overdue(Exchange exchange) {
        if (exchange.isOpen()) {
            LOG.warning("a request was left without an answer");
            fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT);
        }
    }

    /** The client has closed its connection. */
    void clientGone(Exchange exchange) {
        if (exchange.isOpen()) {
            exchange.close();
            tell(exchange, () -> balancer.clientGone(clock.now(), exchange.id));
            settle(exchange);
        }
    }

    private void finished(Exchange exchange, int number, long upstream, double sentAt, Result result,
            FullHttpResponse response) {
        exchange.running--;
        double[] report = response == null || config.settings().reports() != Reports.PIGGYBACK ? null
                : LoadReport.parse(response.headers().get("X-Pressure"), config.settings().reportFields());
        if (result == Result.OK) {
            exchange.answer(HttpResponseStatus.OK, response.content(), 0);
        }
        tell(exchange, () -> balancer.attemptFinished(clock.now(), new Outcome(exchange.id, number, upstream,
                result, !exchange.isOpen(), clock.now() - sentAt, report)));
        settle(exchange);
    }

    /** Forgets a request once nothing more can come of it. */
    private void settle(Exchange exchange) {
        if (!exchange.isOpen() && exchange.running == 0 && exchanges.remove(exchange.id) != null) {
            exchange.request.release();
        }
    }

    double now() {
        return clock.now();
    }

    // ---- What the module asks for ------------------------------------------------------------------

    @Override
    public void send(long requestId, long upstream, double timeout) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange == null) {
            return;
        }
        double now = clock.now();
        int number = exchange.sends++;
        exchange.running++;
        if (!exchange.isOpen() || now >= exchange.deadline
                || number >= config.settings().limits().maxAttempts()) {
            exchange.attempts.add(null);
            finished(exchange, number, upstream, now, Result.NOT_SENT, null);
            return;
        }
        double until = timeout == 0 ? exchange.deadline : Math.min(exchange.deadline, now + timeout);
        exchange.attempts.add(upstreams.send(upstream, exchange.request, until,
                (result, response) -> finished(exchange, number, upstream, now, result, response)));
    }

    @Override
    public void refuse(long requestId, double retryAfter) {
        answer(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter);
    }

    @Override
    public void fail(long requestId) {
        answer(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void answer(long requestId, HttpResponseStatus status, double retryAfter) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null) {
            exchange.answer(status, Unpooled.EMPTY_BUFFER, retryAfter);
            settle(exchange);
        }
    }

    @Override
    public void cancel(long requestId, int attempt) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && attempt < exchange.attempts.size()) {
            cancel(exchange.attempts.get(attempt));
        }
    }

    private static void cancel(UpstreamClient.Attempt attempt) {
        if (attempt != null) {
            attempt.cancel();
        }
    }

    @Override
    public void probe(long upstream) {
        double sentAt = clock.now();
        double until = sentAt + config.settings().limits().connectTimeout() * 2;
        upstreams.probe(upstream, until, (result, response) -> {
            ByteBuf body = result == Result.OK ? response.content() : Unpooled.EMPTY_BUFFER;
            double[] report = LoadReport.parse(body.toString(StandardCharsets.UTF_8),
                    config.settings().reportFields());
            tell(null, () -> balancer.probeResult(clock.now(), upstream, result, clock.now() - sentAt,
                    report));
        });
    }

    @Override
    public void closeIdle(long upstream) {
        upstreams.closeIdle(upstream);
    }

    @Override
    public void fetch() {
        discovery.fetch();
    }

    @Override
    public void watch(boolean on) {
        discovery.watch(on);
    }

    @Override
    public void setTimer(long token, double at) {
        // The number and not the request itself, which the timer would keep in memory until it is due.
        long about = subject == null ? 0 : subject.id;
        loop.schedule(() -> tell(exchanges.get(about), () -> balancer.timer(clock.now(), token)),
                clock.nanosUntil(at), TimeUnit.NANOSECONDS);
    }

    /** Balancers of this deployment have no way to talk to each other. */
    @Override
    public void tell(int peer, byte[] payload) {
        LOG.warning("the module wants to talk to its peers, which it can't here");
    }

    @Override
    public void log(String text) {
        LOG.info(text);
    }
}
