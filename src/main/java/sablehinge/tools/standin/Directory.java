package sablehinge.tools.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.ServerStateUpdate;

/**
 * The list of servers of a tier, and watches on it, by PROTOCOL. Each balancer asks at an address of its own, and is
 * given addresses of its own, so that servers can tell who sends. One event loop owns it.
 */
final class Directory {

    private static final int MAX_WAIT_MS = 60_000;

    /** A server as the list has it. */
    record Entry(String id, String zone, String kind, int cell, String state, long startedMillis) {}

    /** Where a server listens for a balancer. */
    interface Addresses {

        InetSocketAddress of(String server, String balancer);
    }

    /** An answer that is pending: to a watch, or to anybody while the list answers nothing. */
    private record Owed(String balancer, ChannelHandlerContext ctx, long index, double until) {}

    private final EventLoop loop;
    private final Addresses addresses;
    private final Consumer<Evidence> record;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    /** For each version the entry that it changed. */
    private final List<Entry> changes = new ArrayList<>();

    private final List<Owed> owed = new ArrayList<>();
    private final List<Channel> listeners = new ArrayList<>();
    /** The state of each server that each balancer was last sent. */
    private final Map<String, Map<String, String>> received = new HashMap<>();
    /** Balancers that know of the last start of a server, as BALANCER SERVER; read by the servers' loops. */
    private final Set<String> knowsStart = ConcurrentHashMap.newKeySet();

    private boolean unresponsive;
    private ScheduledFuture<?> due;

    Directory(EventLoop loop, Addresses addresses, Consumer<Evidence> record) {
        this.loop = loop;
        this.addresses = addresses;
        this.record = record;
    }

    EventLoop loop() {
        return loop;
    }

    /** Opens a balancer's place to ask. */
    InetSocketAddress open(String balancer) throws InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(1 << 12),
                                        new ListRequest(balancer));
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync();
        listeners.add(bound.channel());
        return (InetSocketAddress) bound.channel().localAddress();
    }

    /** The list as it is; on the loop. */
    List<Balancers.Listed> listed(String balancer) {
        List<Balancers.Listed> listed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!entry.state.equals("removed")) {
                listed.add(new Balancers.Listed(
                        entry.id,
                        addresses.of(entry.id, balancer),
                        entry.zone,
                        entry.kind,
                        entry.cell,
                        entry.state,
                        entry.startedMillis));
                received.computeIfAbsent(balancer, name -> new HashMap<>()).put(entry.id, entry.state);
                if (entry.startedMillis > 0) {
                    knowsStart.add(balancer + ' ' + entry.id);
                }
            }
        }
        return listed;
    }

    /** A server's entry is another from now on; on the loop. */
    void change(Entry entry) {
        Entry before = entries.put(entry.id, entry);
        if (before != null && before.startedMillis != entry.startedMillis) {
            knowsStart.removeIf(pair -> pair.endsWith(' ' + entry.id));
        }
        changes.add(entry);
        tellAll();
    }

    /** Whether a balancer was notified that a server has started, as it last did; on any thread. */
    boolean knowsStart(String balancer, String server) {
        return knowsStart.contains(balancer + ' ' + server);
    }

    /** From now on nobody is answered, or all are; on the loop. */
    void listPause(boolean on) {
        unresponsive = on;
        tellAll();
    }

    private void tellAll() {
        if (unresponsive) {
            return;
        }
        double now = EvidenceStamps.now();
        List<Owed> all = List.copyOf(owed);
        owed.clear();
        for (Owed one : all) {
            if (one.index < changes.size() || now >= one.until) {
                answer(one);
            } else {
                owed.add(one);
            }
        }
        if (due != null) {
            due.cancel(false);
        }
        double next = owed.stream().mapToDouble(Owed::until).min().orElse(Double.NaN);
        due = Double.isNaN(next)
                ? null
                : loop.schedule(this::tellAll, (long) Math.max(1, next - now + 1), TimeUnit.MILLISECONDS);
    }

    private void answer(Owed one) {
        if (!one.ctx.channel().isActive()) {
            return;
        }
        // A balancer that has no list yet, or one of another directory, gets the full list.
        boolean full = one.index < 0 || one.index > changes.size();
        Map<String, Entry> wanted = new TreeMap<>();
        if (full) {
            entries.forEach((id, entry) -> {
                if (!entry.state.equals("removed")) {
                    wanted.put(id, entry);
                }
            });
        } else {
            changes.subList((int) one.index, changes.size()).forEach(entry -> wanted.put(entry.id, entry));
        }
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("version", changes.size()).put("full", full);
        var servers = json.putArray("servers");
        for (Entry entry : wanted.values()) {
            InetSocketAddress address = addresses.of(entry.id, one.balancer);
            servers.addObject()
                    .put("id", entry.id)
                    .put("addr", address.getHostString() + ":" + address.getPort())
                    .put("zone", entry.zone)
                    .put("kind", entry.kind)
                    .put("cell", entry.cell)
                    .put("state", entry.state)
                    .put("weight", 1.0)
                    .put("started_ms", entry.startedMillis);
        }
        write(one.ctx, HttpResponseStatus.OK, json.toString(), () -> wrote(one.balancer, full, wanted));
    }

    /** It has been written out: from now on the balancer counts as notified. */
    private void wrote(String balancer, boolean full, Map<String, Entry> wanted) {
        double now = EvidenceStamps.now();
        Map<String, String> before = received.computeIfAbsent(balancer, name -> new HashMap<>());
        wanted.forEach((id, entry) -> {
            if (!entry.state.equals(before.put(id, entry.state))) {
                record.accept(new ServerStateUpdate(now, balancer, id, entry.state));
            }
            if (entry.startedMillis > 0 && entry.state.equals("up")) {
                knowsStart.add(balancer + ' ' + id);
            }
        });
        if (full) {
            before.replaceAll((id, state) -> {
                if (wanted.containsKey(id) || state.equals("removed")) {
                    return state;
                }
                record.accept(new ServerStateUpdate(now, balancer, id, "removed"));
                return "removed";
            });
        }
    }

    private static void write(ChannelHandlerContext ctx, HttpResponseStatus status, String body, Runnable written) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        response.headers().set("Content-Length", bytes.length).set("Content-Type", "application/json");
        ctx.writeAndFlush(response).addListener(done -> {
            if (done.isSuccess()) {
                written.run();
            }
        });
    }

    /** A balancer's connection. */
    private final class ListRequest extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final String balancer;

        ListRequest(String balancer) {
            this.balancer = balancer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.path().equals("/catalog/members")) {
                write(ctx, HttpResponseStatus.NOT_FOUND, "{}", () -> {});
                return;
            }
            long index = number(query, "index", -1);
            long wait = Math.min(MAX_WAIT_MS, number(query, "wait", 0));
            owed.add(new Owed(balancer, ctx, index, EvidenceStamps.now() + wait));
            tellAll();
        }

        private static long number(QueryStringDecoder query, String name, long fallback) {
            try {
                return Long.parseLong(
                        query.parameters().getOrDefault(name, List.of()).get(0));
            } catch (IndexOutOfBoundsException | NumberFormatException e) {
                return fallback;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            owed.removeIf(one -> one.ctx == ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    void close() {
        listeners.forEach(Channel::close);
    }
}
