package sablehinge.dataplane.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.logging.Log;
import sablehinge.common.settings.ConfigException;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.failuredetection.HashRing;
import sablehinge.mesh.failuredetection.Monitor;
import sablehinge.mesh.failuredetection.Suspicion;
import sablehinge.mesh.failuredetection.SuspicionCause;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;

/**
 * Sends heartbeats to this sidecar's watchers on the hash ring, and monitors the peers that it watches itself.
 * Heartbeats are datagrams to the first of the inner ports, sent every {@link Monitor#HEARTBEAT_MS}. Owned by the event
 * loop of its sidecar.
 */
final class PeerMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(PeerMonitor.class);
    /** How long the machine of a suspected peer has to accept or refuse a connection. */
    private static final int CONNECT_TIMEOUT_MS = 200;
    /** Of malformed heartbeats, the first is logged and then one of this many. */
    private static final long MALFORMED_LOG_INTERVAL = 1_000;

    private final EventLoop loop;
    private final Clock clock;
    private final LocalSettings settings;
    private final Runnable onSuspicionsChanged;
    private final Monitor monitor = new Monitor();
    private final Bootstrap probeBootstrap;
    private final Map<String, Registration> known = new HashMap<>();
    /** The nodes in the current leader's registry. */
    private final Set<String> registered = new HashSet<>();

    private final long place;
    private final int incarnation = ThreadLocalRandom.current().nextInt();
    private HashRing hashRing = new HashRing(Map.of());
    private List<InetSocketAddress> heartbeatTargets = List.of();
    private Channel channel;
    private double heartbeatSentAt = Double.NEGATIVE_INFINITY;
    private int lastSequenceNumber;
    private long malformed;

    /** Creates a monitor; {@code onSuspicionsChanged} runs when the set of suspected peers has changed. */
    PeerMonitor(EventLoop loop, Clock clock, LocalSettings settings, Runnable onSuspicionsChanged) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.onSuspicionsChanged = onSuspicionsChanged;
        place = HashRing.positionOf(settings.node());
        probeBootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInboundHandlerAdapter());
    }

    /** Starts to receive heartbeats. */
    void listen() throws ConfigException, InterruptedException {
        ChannelFuture bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new HeartbeatHandler())
                .bind(settings.ip(), settings.innerFirst())
                .await();
        if (!bound.isSuccess()) {
            throw new ConfigException("cannot receive heartbeats on " + settings.ip() + ":" + settings.innerFirst()
                    + ": " + bound.cause().getMessage());
        }
        channel = bound.channel();
    }

    /** The channel on which heartbeats are sent and received; further handlers may be added in front. */
    Channel channel() {
        return channel;
    }

    /** Stops sending and receiving heartbeats. */
    void close() {
        channel.close();
        channel = null;
    }

    /** Handles an update of the leader, with some or all sidecars of its registry. */
    void onUpdate(Update update) {
        if (update.full()) {
            registered.clear();
        }
        update.registrations().forEach(registration -> registered.add(registration.node()));
    }

    /** Sets the sidecars of the current registry. */
    void setRegistry(Collection<Registration> registry) {
        Map<String, String> zones = new HashMap<>();
        known.clear();
        for (Registration registration : registry) {
            if (!registration.upstream().isEmpty()) {
                known.put(registration.node(), registration);
                zones.put(registration.node(), registration.zone());
            }
        }
        hashRing = new HashRing(zones);
        heartbeatTargets = new ArrayList<>();
        hashRing.watchers(settings.node())
                .forEach(watcher -> heartbeatTargets.add(
                        new InetSocketAddress(inboundAddress(watcher).getAddress(), settings.innerFirst())));
        monitor.setWatched(clock.now(), hashRing.watchedBy(settings.node()));
    }

    private InetSocketAddress inboundAddress(String node) {
        String inbound = known.get(node).inbound();
        int colon = inbound.lastIndexOf(':');
        return new InetSocketAddress(inbound.substring(0, colon), Integer.parseInt(inbound.substring(colon + 1)));
    }

    /** Sends heartbeats when they are due, and detects peers whose heartbeats are missing. Called periodically. */
    void tick() {
        double now = clock.now();
        // A tick may be slightly early, so heartbeats are sent up to half a tick before they are due.
        if (channel != null && now - heartbeatSentAt >= Monitor.HEARTBEAT_MS - Sidecar.TICK_MS / 2.0) {
            heartbeatSentAt = now;
            byte[] heartbeat = new HeartbeatPacket(place, incarnation, ++lastSequenceNumber).bytes();
            for (InetSocketAddress to : heartbeatTargets) {
                channel.write(new DatagramPacket(Unpooled.wrappedBuffer(heartbeat), to));
            }
            channel.flush();
        }
        monitor.tick(now).forEach(this::probe);
    }

    /** The peers that this sidecar suspects now. */
    List<Suspicion> suspicions() {
        return monitor.suspicions();
    }

    /**
     * Peers that send heartbeats to this sidecar but are not in the leader's registry: they are new, or partitioned
     * from the leader.
     */
    List<Registration> vouched() {
        List<Registration> vouched = new ArrayList<>();
        for (String node : monitor.livePeers()) {
            if (!registered.contains(node)) {
                vouched.add(known.get(node));
            }
        }
        return vouched;
    }

    /** Probes a silent peer with a TCP connection: its machine responds even if its process does not. */
    private void probe(String node) {
        ChannelFuture connect = probeBootstrap.connect(inboundAddress(node));
        // If no channel can be created, Netty invokes the listener on a thread other than the event loop.
        connect.addListener(up -> loop.execute(() -> onProbed(node, connect)));
    }

    private void onProbed(String node, ChannelFuture connect) {
        if (connect.isSuccess()) {
            connect.channel().close();
        }
        SuspicionCause evidence = evidence(connect.cause());
        if (monitor.onProbeResult(clock.now(), node, evidence)) {
            Log.info(LOG, "accuses")
                    .addKeyValue("peer", node)
                    .addKeyValue("evidence", evidence)
                    .log("peer suspected: no heartbeats received");
            onSuspicionsChanged.run();
        }
    }

    /** The evidence of a connection attempt: {@code cause} is null if it succeeded. */
    static SuspicionCause evidence(Throwable cause) {
        if (cause == null) {
            return SuspicionCause.FROZEN;
        }
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)
                ? SuspicionCause.RESET
                : SuspicionCause.SILENT;
    }

    /** Handles received heartbeats. */
    private final class HeartbeatHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            ByteBuf content = packet.content();
            byte[] bytes = new byte[content.readableBytes()];
            content.readBytes(bytes);
            try {
                HeartbeatPacket heartbeat = HeartbeatPacket.read(bytes);
                String node = hashRing.nodeAt(heartbeat.place());
                if (node != null
                        && monitor.onHeartbeat(clock.now(), node, heartbeat.incarnation(), heartbeat.number())) {
                    Log.info(LOG, "hears-again")
                            .addKeyValue("peer", node)
                            .log("heartbeats of a suspected peer received again");
                    onSuspicionsChanged.run();
                }
            } catch (IOException e) {
                if (malformed++ % MALFORMED_LOG_INTERVAL == 0) {
                    Log.warn(LOG, "beat-malformed")
                            .addKeyValue("from", packet.sender())
                            .addKeyValue("dropped", malformed)
                            .addKeyValue("cause", e.getMessage())
                            .log("malformed heartbeat received");
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A datagram that can't be sent or read counts as lost.
        }
    }
}
