package sablehinge.controlplane.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.logging.Log;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Frame;
import sablehinge.common.settings.LocalSettings;
import sablehinge.controlplane.raft.RaftStatus;
import sablehinge.controlplane.state.ConfigurationState;
import sablehinge.controlplane.state.Registry;
import sablehinge.mesh.api.ConfigurationReader;
import sablehinge.mesh.failuredetection.HealthView;
import sablehinge.mesh.quota.Pool;
import sablehinge.mesh.retrybudget.Claim;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.watch.PackedConfiguration;
import sablehinge.mesh.watch.RetryBudgetCodec;
import sablehinge.mesh.watch.Tokens;
import sablehinge.mesh.watch.WatchRequest;

/**
 * The leader's services for the data plane: it publishes updates to balancers, and maintains the pools of quotas and of
 * retry budgets. Each answer passes the {@link QuorumGate}. Called on one thread.
 */
final class DataPlaneService {

    private static final Logger LOG = LoggerFactory.getLogger(DataPlaneService.class);
    private static final double REGISTRY_COMPLETE_MS = 2_500;
    private static final double REGISTRATION_EXPIRY_MS = 12_000;
    /** Updates are published each tick, so a longer gap means that this process was paused. */
    private static final double PAUSE_DETECTION_MS = 1_000;

    private static final byte[] NO_CONFIGURATION = new byte[0];

    private final EventLoop loop;
    private final Clock clock;
    private final QuorumGate gate;
    private final ConfigurationState configurations;
    private final Registry registry = new Registry(REGISTRY_COMPLETE_MS, REGISTRATION_EXPIRY_MS);
    private final WatchServer<Connection.Link> watchServer = new WatchServer<>(registry);
    private final QuotaPools pools;
    private final RetryBudgetCoordinator retryBudgetCoordinator;
    /** Whether {@link #publish} is scheduled to run after the records that arrived together are read. */
    private boolean publishScheduled;

    private double lastPublishedAt;
    /** The current configuration as it is sent; packed once for each edition, and only while this node leads. */
    private byte[] packedConfiguration = NO_CONFIGURATION;

    private long packedEdition;
    private RaftStatus raftStatus = new RaftStatus(RaftStatus.Role.OUTSIDER, 0, null, List.of());

    DataPlaneService(
            EventLoop loop,
            Clock clock,
            LocalSettings.Bounds bounds,
            QuorumGate gate,
            ConfigurationState configurations) {
        this.loop = loop;
        this.clock = clock;
        this.gate = gate;
        this.configurations = configurations;
        retryBudgetCoordinator = new RetryBudgetCoordinator(bounds);
        pools = new QuotaPools(
                loop, clock, bounds, watchServer::subscribers, now -> gate.allows(now, ControlRequest.QUOTA_TOKENS));
    }

    /** The registry of balancers, for reading. */
    Registry registry() {
        return registry;
    }

    /** The subscribers, for reading. */
    WatchServer<?> watchServer() {
        return watchServer;
    }

    /** The pools of quotas, for reading. */
    Pool pool() {
        return pools.pool();
    }

    /**
     * Handles a record from a balancer.
     *
     * @return whether the record is of a kind that balancers send
     * @throws IOException if the record is malformed
     */
    boolean handleFrame(Connection.Link link, Frame frame) throws IOException {
        switch (frame.kind()) {
            case ASK -> watch(link, WatchRequest.read(frame.body()));
            case TOKENS -> pools.handleRequest(link, Tokens.read(frame.body()));
            case PULL -> pools.handleReturn(Tokens.read(frame.body()));
            case SHARES -> handleClaim(link, RetryBudgetCodec.decodeClaim(frame.body()));
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Called when a connection has closed. */
    void onConnectionClosed(Connection.Link link) {
        watchServer.removeSubscriber(link);
    }

    private void watch(Connection.Link link, WatchRequest request) {
        if (request.term() > raftStatus.term()) {
            // The balancer has an update from the leader of a later term, so this node's state is out of date.
            redirect(link, new QuorumGate.Refusal(null, false));
            return;
        }
        gate.require(
                clock.now(),
                ControlRequest.WATCH,
                () -> {
                    watchServer.handleRequest(clock.now(), link, request);
                    if (request.confirm()) {
                        confirm(link, request);
                    }
                    schedulePublish();
                },
                refusal -> redirect(link, refusal));
    }

    private void confirm(Connection.Link link, WatchRequest request) {
        gate.require(
                clock.now(),
                ControlRequest.WATCH_CONFIRMED,
                () -> {
                    watchServer.confirmed(link, request.number());
                    schedulePublish();
                },
                refusal -> redirect(link, refusal));
    }

    private static void redirect(Connection.Link link, QuorumGate.Refusal refusal) {
        String leader = refusal.leader() == null ? "" : refusal.leader().address();
        link.send(new Frame(Frame.Kind.REDIRECT, leader.getBytes(StandardCharsets.UTF_8)));
    }

    private void handleClaim(Connection.Link link, Claim claim) {
        gate.require(
                clock.now(),
                ControlRequest.RETRY_SHARES,
                () -> {
                    Frame answer = retryBudgetCoordinator.answer(clock.now(), claim);
                    if (answer != null) {
                        link.send(answer);
                    }
                },
                refusal -> {});
    }

    /** Schedules one {@link #publish} after all records that arrived together are read. */
    private void schedulePublish() {
        if (!publishScheduled) {
            publishScheduled = true;
            loop.execute(this::publish);
        }
    }

    /** Sends the updates that are due. */
    void publish() {
        publishScheduled = false;
        double now = clock.now();
        if (now - lastPublishedAt > PAUSE_DETECTION_MS) {
            registry.processPaused(now, now - lastPublishedAt);
        }
        lastPublishedAt = now;
        if (!gate.allows(now, ControlRequest.WATCH)) {
            return;
        }
        for (WatchServer.Delivery<Connection.Link> delivery : watchServer.dueDeliveries(now)) {
            delivery.to().send(new Frame(Frame.Kind.UPDATE, delivery.update().bytes()));
        }
        for (HealthView.HealthChange change : watchServer.healthChanges()) {
            Log.info(LOG, "health")
                    .addKeyValue("peer", change.node())
                    .addKeyValue("health", change.health())
                    .addKeyValue("before", change.before())
                    .addKeyValue("accusers", change.suspecting())
                    .addKeyValue("watchers", change.watchers())
                    .log("the health of a balancer has changed");
        }
    }

    /** Called when the Raft status of this node has changed. */
    void onStatusChanged(RaftStatus next) {
        boolean wasLeader = isLeader();
        boolean newTerm = raftStatus.term() != next.term();
        raftStatus = next;
        if (isLeader() && (!wasLeader || newTerm)) {
            watchServer.startTerm(clock.now(), next.term());
            pools.startTerm();
            retryBudgetCoordinator.startTerm(next.term());
            adopt();
        } else if (wasLeader && !isLeader()) {
            QuorumGate.Refusal refusal = gate.refusal(clock.now());
            watchServer.subscribers().forEach(link -> redirect(link, refusal));
        }
        publishConfiguration();
    }

    private boolean isLeader() {
        return raftStatus.role() == RaftStatus.Role.LEADER;
    }

    /** Called when the committed configuration has changed. */
    void onConfigurationChanged() {
        // Publishes first: a failure in the pools must not keep the configuration from the balancers.
        publishConfiguration();
        adopt();
    }

    /** Sets the pools to the quotas and services of the current configuration. */
    private void adopt() {
        if (isLeader() && configurations.edition() > 0) {
            Configuration configuration = ConfigurationReader.read(configurations.body());
            pools.adopt(configuration);
            retryBudgetCoordinator.adopt(clock.now(), configuration);
        }
    }

    private void publishConfiguration() {
        List<String> members = new ArrayList<>();
        raftStatus.members().forEach(member -> members.add(member.address()));
        watchServer.configurationChanged(configurations.edition(), packedConfiguration(), members);
        schedulePublish();
    }

    private byte[] packedConfiguration() {
        if (!isLeader() || configurations.edition() == 0) {
            return NO_CONFIGURATION;
        }
        if (packedEdition != configurations.edition()) {
            packedConfiguration = PackedConfiguration.pack(configurations.body());
            packedEdition = configurations.edition();
        }
        return packedConfiguration;
    }
}
