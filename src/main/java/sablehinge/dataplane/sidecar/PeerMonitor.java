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
 * Sends heartbeats to those that the ring names as watchers of this balancer, and monitors those that name it.
 * Heartbeats are datagrams to the first of the inner ports, as many ticks apart as make {@link Monitor#HEARTBEAT_MS}.
 * The loop of its balancer owns it.
 */
final class PeerMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(PeerMonitor.class);
    /** How long a suspect's machine has to take a connection or refuse it. */
    private static final int CONNECT_TIMEOUT_MS = 200;
    /** Of heartbeats that can't be read, the first is logged and then each so many. */
    private static final long EACH_MALFORMED = 1_000;

    private final EventLoop loop;
    private final Clock clock;
    private final LocalSettings settings;
    private final Runnable update;
    private final Monitor monitor = new Monitor();
    private final Bootstrap reaching;
    private final Map<String, Registration> known = new HashMap<>();
    /** The nodes in the present leader's registry. */
    private final Set<String> registered = new HashSet<>();

    private final long place;
    private final int incarnation = ThreadLocalRandom.current().nextInt();
    private HashRing hashRing = new HashRing(Map.of());
    private List<InetSocketAddress> heartbeatTargets = List.of();
    private Channel channel;
    private double heartbeatSentAt = Double.NEGATIVE_INFINITY;
    private int number;
    private long malformed;

    /** A monitor; {@code update} is run when the peers that it suspects have changed. */
    PeerMonitor(EventLoop loop, Clock clock, LocalSettings settings, Runnable update) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.update = update;
        place = HashRing.positionOf(settings.node());
        reaching = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInboundHandlerAdapter());
    }

    /** Receives heartbeats from now on. */
    void listen() throws ConfigException, InterruptedException {
        ChannelFuture bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new HeartbeatHandler())
                .bind(settings.ip(), settings.innerFirst())
                .await();
        if (!bound.isSuccess()) {
            throw new ConfigException("cannot hear beats on " + settings.ip() + ":" + settings.innerFirst() + ": "
                    + bound.cause().getMessage());
        }
        channel = bound.channel();
    }

    /** The channel of heartbeats, both ways; handlers may be added before its others. */
    Channel channel() {
        return channel;
    }

    /** Sends and receives heartbeats no more. */
    void close() {
        channel.close();
        channel = null;
    }

    /** An update of the leader has come, with some or all balancers of its registry. */
    void onUpdate(Update update) {
        if (update.full()) {
            registered.clear();
        }
        update.registrations().forEach(registration -> registered.add(registration.node()));
    }

    /** The balancers of the registry now. */
    void registry(Collection<Registration> registry) {
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
                .forEach(watcher ->
                        heartbeatTargets.add(new InetSocketAddress(at(watcher).getAddress(), settings.innerFirst())));
        monitor.setWatched(clock.now(), hashRing.watchedBy(settings.node()));
    }

    private InetSocketAddress at(String node) {
        String inbound = known.get(node).inbound();
        int colon = inbound.lastIndexOf(':');
        return new InetSocketAddress(inbound.substring(0, colon), Integer.parseInt(inbound.substring(colon + 1)));
    }

    /** Called often: sends heartbeats when they are due, and looks for peers whose own are missing. */
    void tick() {
        double now = clock.now();
        // A tick may come a little early: half a tick before its time is time enough.
        if (channel != null && now - heartbeatSentAt >= Monitor.HEARTBEAT_MS - Sidecar.TICK_MS / 2.0) {
            heartbeatSentAt = now;
            byte[] heartbeat = new HeartbeatPacket(place, incarnation, ++number).bytes();
            for (InetSocketAddress to : heartbeatTargets) {
                channel.write(new DatagramPacket(Unpooled.wrappedBuffer(heartbeat), to));
            }
            channel.flush();
        }
        monitor.tick(now).forEach(this::reach);
    }

    /** Whom this balancer accuses now. */
    List<Suspicion> suspicions() {
        return monitor.suspicions();
    }

    /**
     * Peers that this balancer receives heartbeats from and that are not in the leader's registry: new, or cut off from
     * it.
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

    /** Probes a peer that sends nothing any more: a machine answers even where no process does. */
    private void reach(String node) {
        ChannelFuture connect = reaching.connect(at(node));
        // Where no channel can be made, Netty calls back on another thread than the loop.
        connect.addListener(up -> loop.execute(() -> reached(node, connect)));
    }

    private void reached(String node, ChannelFuture connect) {
        if (connect.isSuccess()) {
            connect.channel().close();
        }
        SuspicionCause evidence = evidence(connect.cause());
        if (monitor.onProbeResult(clock.now(), node, evidence)) {
            Log.info(LOG, "accuses")
                    .addKeyValue("peer", node)
                    .addKeyValue("evidence", evidence)
                    .log("a balancer is not heard");
            update.run();
        }
    }

    /** What it tells that a connection came up, where there is no cause, or why it did not. */
    static SuspicionCause evidence(Throwable cause) {
        if (cause == null) {
            return SuspicionCause.FROZEN;
        }
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)
                ? SuspicionCause.RESET
                : SuspicionCause.SILENT;
    }

    /** Handles heartbeats. */
    private final class HeartbeatHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            ByteBuf content = packet.content();
            byte[] bytes = new byte[content.readableBytes()];
            content.readBytes(bytes);
            try {
                HeartbeatPacket pulse = HeartbeatPacket.read(bytes);
                String node = hashRing.nodeAt(pulse.place());
                if (node != null && monitor.onHeartbeat(clock.now(), node, pulse.incarnation(), pulse.number())) {
                    Log.info(LOG, "hears-again").addKeyValue("peer", node).log("a balancer is heard again");
                    update.run();
                }
            } catch (IOException e) {
                if (malformed++ % EACH_MALFORMED == 0) {
                    Log.warn(LOG, "beat-malformed")
                            .addKeyValue("from", packet.sender())
                            .addKeyValue("dropped", malformed)
                            .addKeyValue("cause", e.getMessage())
                            .log("a beat can't be read");
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A datagram that could not be sent or read is one that was lost.
        }
    }
}
