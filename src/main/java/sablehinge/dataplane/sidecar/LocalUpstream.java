package sablehinge.dataplane.sidecar;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.logging.Log;
import sablehinge.common.settings.LocalSettings;
import sablehinge.dataplane.admission.AdmissionController;
import sablehinge.dataplane.admission.UpstreamLifecycle;
import sablehinge.dataplane.admission.UpstreamLifecycle.Heartbeat;
import sablehinge.dataplane.sidecar.UpstreamCalls.Acknowledgement;
import sablehinge.dataplane.sidecar.UpstreamCalls.SignOff;
import sablehinge.mesh.failuredetection.Monitor;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;

/**
 * The upstream beside a sidecar: handles its calls, opens and closes admission for it, and keeps the control plane
 * informed. Owned by the sidecar's event loop.
 */
final class LocalUpstream {

    /** Operators find these events under the sidecar's name. */
    private static final Logger LOG = LoggerFactory.getLogger(Sidecar.class);

    private final LocalSettings settings;
    private final EventLoop loop;
    private final Clock clock;
    private final UpstreamLifecycle lifecycle;
    private final ControlPlane controlPlane;
    private final DepartureReporter departures = new DepartureReporter();
    private final double startedListeningAt;
    private boolean withdrawn;

    /** Sends requests for updates, which carry the registration of the upstream. */
    interface ControlPlane {

        /** Requests an update now. */
        void requestUpdate();

        /** Requests an update now that a majority confirms. */
        void requestConfirmation();
    }

    LocalUpstream(
            LocalSettings settings,
            EventLoop loop,
            Clock clock,
            AdmissionController admission,
            ControlPlane controlPlane) {
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.controlPlane = controlPlane;
        lifecycle = new UpstreamLifecycle(
                admission, MeshHeaders::incarnation, settings.bounds().unloadMs(), settings.heartbeatMs());
        startedListeningAt = clock.now();
    }

    void handleHeartbeat(Heartbeat heartbeat, Consumer<Acknowledgement> callback) {
        double now = clock.now();
        Heartbeat before = lifecycle.present();
        double closed = lifecycle.closesAt();
        if (lifecycle.handleHeartbeat(now, heartbeat)) {
            controlPlane.requestUpdate();
        }
        Heartbeat present = lifecycle.present();
        boolean isFirst = present != null && (before == null || !before.id().equals(present.id()));
        if (isFirst) {
            Log.info(LOG, "upstream")
                    .addKeyValue("id", heartbeat.id())
                    .addKeyValue("berths", heartbeat.berths())
                    .addKeyValue("unloading", heartbeat.unloading())
                    .addKeyValue("after-ms", (long) (now - startedListeningAt))
                    .log("first heartbeat of an upstream received");
        }
        if (lifecycle.closesAt() < closed) {
            startDrain(heartbeat.id(), lifecycle.closesAt() - now);
        }
        if (heartbeat.unloading()) {
            announceDeparture(now, heartbeat.id(), callback);
        } else {
            callback.accept(Acknowledgement.GIVEN);
        }
    }

    void handleSignOff(SignOff call, Consumer<Acknowledgement> callback) {
        double now = clock.now();
        if (lifecycle.handleSignOff(now, call.id())) {
            startDrain(call.id(), 0);
        }
        announceDeparture(now, call.id(), callback);
    }

    private void announceDeparture(double now, String upstream, Consumer<Acknowledgement> callback) {
        Registration leaving = new Registration(
                settings.node(),
                settings.zone(),
                settings.listenOn().inbound(),
                settings.depot(),
                upstream,
                false,
                0,
                0);
        departures.announce(now, leaving, acknowledgement -> {
            if (acknowledgement == Acknowledgement.WITHHELD) {
                Log.warn(LOG, "departure-unrecorded")
                        .addKeyValue("id", upstream)
                        .log("the control plane has not recorded in time that the upstream leaves");
            }
            callback.accept(acknowledgement);
        });
        if (departures.isWaiting()) {
            controlPlane.requestConfirmation();
        }
    }

    /**
     * Schedules a tick for the end of admission, so that waiting requests are rejected then and not at the next regular
     * tick.
     */
    private void startDrain(String id, double closesInMs) {
        Log.info(LOG, "upstream-leaves").addKeyValue("id", id).log("the upstream is shuttingDown");
        loop.schedule(() -> lifecycle.tick(clock.now()), (long) Math.max(0, closesInMs) + 1, TimeUnit.MILLISECONDS);
    }

    /** Checks the timeouts. Called periodically. */
    void tick() {
        double now = clock.now();
        departures.tick(now);
        if (lifecycle.tick(now)) {
            controlPlane.requestUpdate();
        }
    }

    /** Withdraws the upstream from the registry, because this process is shutting down. */
    void withdraw() {
        withdrawn = true;
        controlPlane.requestUpdate();
    }

    /** The registration of the sidecar and its upstream. */
    Registration registration() {
        Heartbeat present = lifecycle.present();
        return new Registration(
                settings.node(),
                settings.zone(),
                settings.listenOn().inbound(),
                present == null ? settings.depot() : present.service(),
                present == null ? "" : present.id(),
                lifecycle.isReady() && !withdrawn,
                present == null ? 0 : present.berths(),
                present == null ? 0 : present.warmUpMs());
    }

    /** The departures that the next request reports to the leader of a term. */
    List<Registration> reportDepartures(long term) {
        return departures.report(term, Monitor.MAX_REPORTED);
    }

    /** Whether the next request must be confirmed, because an acknowledgement waits for it. */
    boolean awaitsConfirmation() {
        return departures.isWaiting();
    }

    /** Applies what an update tells of upstreams that leave, before admission may begin. */
    void onUpdate(double now, double requestedAt, Update update) {
        for (Registration registration : update.registrations()) {
            if (registration.isLeaving() && registration.node().equals(settings.node())) {
                lifecycle.handleDeparture(now, registration.upstream());
            }
        }
        if (update.confirmed()) {
            lifecycle.startAdmitting(now);
        }
        departures.onUpdate(now, requestedAt, update);
    }
}
