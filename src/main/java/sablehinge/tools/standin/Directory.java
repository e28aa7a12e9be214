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
 * Serves the list of the servers of a tier, and watches on it, as specified in PROTOCOL. Each balancer requests the
 * list at its own address, and the list contains server addresses of that balancer only, so that servers can identify
 * the sender of a request. Confined to one event loop.
 */
final class Directory {

    private static final int MAX_WAIT_MS = 60_000;

    /** The entry of a server in the list. */
    record Entry(String id, String zone, String kind, int cell, String state, long startedMillis) {}

    /** The addresses of servers; each server listens at one address for each balancer. */
    interface Addresses {

        InetSocketAddress of(String server, String balancer);
    }

    /** A pending response: to a watch, or to any request while the list is paused. */
    private record PendingResponse(String balancer, ChannelHandlerContext ctx, long index, double expiresAt) {}

    private final EventLoop loop;
    private final Addresses addresses;
    private final Consumer<Evidence> record;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    /** The changed entry of each version. */
    private final List<Entry> changes = new ArrayList<>();

    private final List<PendingResponse> pendingResponses = new ArrayList<>();
    private final List<Channel> listeners = new ArrayList<>();
    /** The last state of each server that was sent to each balancer. */
    private final Map<String, Map<String, String>> lastSentStates = new HashMap<>();
    /** Pairs BALANCER SERVER: the balancer was notified of the last start of the server. Read by the servers' loops. */
    private final Set<String> knowsStart = ConcurrentHashMap.newKeySet();

    private boolean responsesPaused;
    private ScheduledFuture<?> expiry;

    Directory(EventLoop loop, Addresses addresses, Consumer<Evidence> record) {
        this.loop = loop;
        this.addresses = addresses;
        this.record = record;
    }

    EventLoop loop() {
        return loop;
    }

    /** Opens the address at which a balancer requests the list. */
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

    /** Returns the current list for a balancer; called on the loop. */
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
                lastSentStates
                        .computeIfAbsent(balancer, name -> new HashMap<>())
                        .put(entry.id, entry.state);
                if (entry.startedMillis > 0) {
                    knowsStart.add(balancer + ' ' + entry.id);
                }
            }
        }
        return listed;
    }

    /** Replaces the entry of a server; called on the loop. */
    void change(Entry entry) {
        Entry previous = entries.put(entry.id, entry);
        if (previous != null && previous.startedMillis != entry.startedMillis) {
            knowsStart.removeIf(pair -> pair.endsWith(' ' + entry.id));
        }
        changes.add(entry);
        answerDue();
    }

    /** Returns whether a balancer was notified of the last start of a server; called on any thread. */
    boolean knowsStart(String balancer, String server) {
        return knowsStart.contains(balancer + ' ' + server);
    }

    /** Pauses or resumes all responses; called on the loop. */
    void pauseResponses(boolean pause) {
        responsesPaused = pause;
        answerDue();
    }

    private void answerDue() {
        if (responsesPaused) {
            return;
        }
        double now = EvidenceStamps.now();
        List<PendingResponse> previous = List.copyOf(pendingResponses);
        pendingResponses.clear();
        for (PendingResponse pending : previous) {
            if (pending.index < changes.size() || now >= pending.expiresAt) {
                answer(pending);
            } else {
                pendingResponses.add(pending);
            }
        }
        if (expiry != null) {
            expiry.cancel(false);
        }
        double nextExpiry = pendingResponses.stream()
                .mapToDouble(PendingResponse::expiresAt)
                .min()
                .orElse(Double.NaN);
        expiry = Double.isNaN(nextExpiry)
                ? null
                : loop.schedule(this::answerDue, (long) Math.max(1, nextExpiry - now + 1), TimeUnit.MILLISECONDS);
    }

    private void answer(PendingResponse pending) {
        if (!pending.ctx.channel().isActive()) {
            return;
        }
        // A balancer without a list, or with a version of a different directory, gets the full list.
        boolean full = pending.index < 0 || pending.index > changes.size();
        Map<String, Entry> sentEntries = new TreeMap<>();
        if (full) {
            entries.forEach((id, entry) -> {
                if (!entry.state.equals("removed")) {
                    sentEntries.put(id, entry);
                }
            });
        } else {
            changes.subList((int) pending.index, changes.size()).forEach(entry -> sentEntries.put(entry.id, entry));
        }
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("version", changes.size()).put("full", full);
        var servers = json.putArray("servers");
        for (Entry entry : sentEntries.values()) {
            InetSocketAddress address = addresses.of(entry.id, pending.balancer);
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
        write(
                pending.ctx,
                HttpResponseStatus.OK,
                json.toString(),
                () -> recordSent(pending.balancer, full, sentEntries));
    }

    /** Records that a response was written: the balancer counts as notified from now on. */
    private void recordSent(String balancer, boolean full, Map<String, Entry> sentEntries) {
        double now = EvidenceStamps.now();
        Map<String, String> lastStates = lastSentStates.computeIfAbsent(balancer, name -> new HashMap<>());
        sentEntries.forEach((id, entry) -> {
            if (!entry.state.equals(lastStates.put(id, entry.state))) {
                record.accept(new ServerStateUpdate(now, balancer, id, entry.state));
            }
            if (entry.startedMillis > 0 && entry.state.equals("up")) {
                knowsStart.add(balancer + ' ' + id);
            }
        });
        if (full) {
            lastStates.replaceAll((id, state) -> {
                if (sentEntries.containsKey(id) || state.equals("removed")) {
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

    /** Handles the requests on a connection of a balancer. */
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
            pendingResponses.add(new PendingResponse(balancer, ctx, index, EvidenceStamps.now() + wait));
            answerDue();
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
            pendingResponses.removeIf(pending -> pending.ctx == ctx);
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
