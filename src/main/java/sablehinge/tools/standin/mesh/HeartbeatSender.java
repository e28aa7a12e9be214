package sablehinge.tools.standin.mesh;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Sends the heartbeats of an upstream to the sidecar of its machine, and announces its shutdown. */
public final class HeartbeatSender implements AutoCloseable {

    private static final int TIMEOUT_MS = 1_000;
    private static final long RETRY_DELAY_MS = 150;

    private final StandInUpstream upstream;
    private final InetSocketAddress control;
    private final String zone;
    private final long intervalMs;
    private final TrafficLog trafficLog;
    private long callCount;
    private volatile boolean ended;

    /** Creates the sender and starts to send heartbeats. */
    public HeartbeatSender(
            StandInUpstream upstream, InetSocketAddress control, String zone, long intervalMs, TrafficLog trafficLog) {
        this.upstream = upstream;
        this.control = control;
        this.zone = zone;
        this.intervalMs = intervalMs;
        this.trafficLog = trafficLog;
        StandInUpstream.daemon("beats " + upstream.terms().id(), this::heartbeat);
    }

    StandInUpstream upstream() {
        return upstream;
    }

    private void heartbeat() {
        try {
            while (!ended) {
                TimeUnit.MILLISECONDS.sleep(call("Servers.Heartbeat") ? intervalMs : RETRY_DELAY_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean call(String name) {
        return send(name, nextBody());
    }

    /** Returns the body of the next call. */
    private synchronized byte[] nextBody() {
        StandInUpstream.Terms terms = upstream.terms();
        return JsonNodeFactory.instance
                .objectNode()
                .put("depot", terms.depot())
                .put(
                        "address",
                        terms.address().getAddress().getHostAddress() + ":"
                                + upstream.address().getPort())
                .put("zone", zone)
                .put("edition", "v1")
                .put("berths", terms.berths())
                .put("state", upstream.isUnloading() ? "unloading" : "ready")
                .put("coldLeftMs", 0)
                .put("callCount", ++callCount)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized boolean send(String name, byte[] body) {
        try {
            Message answer = ClientCall.once(
                    control,
                    TIMEOUT_MS,
                    "POST",
                    "/sablehinge/" + name + "/" + upstream.terms().id(),
                    Map.of("Host", "control", "Content-Type", "application/json"),
                    body);
            return answer != null && answer.status() / 100 == 2;
        } catch (IOException e) {
            return false;
        }
    }

    private void announce(String name, boolean gone, double deadline) throws InterruptedException {
        while (!call(name)) {
            if (TrafficLog.now() > deadline) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
        }
        trafficLog.left(new TrafficLog.Left(upstream.terms().id(), gone, TrafficLog.now()));
    }

    /** Shuts down gracefully: announces the shutdown, serves for a grace period, signs off and closes the upstream. */
    public void leave(long unloadMs) throws InterruptedException {
        upstream.unloads();
        announce("Servers.Heartbeat", false, TrafficLog.now() + unloadMs);
        TimeUnit.MILLISECONDS.sleep(unloadMs + unloadMs / 10);
        ended = true;
        announce("Servers.SignOff", true, TrafficLog.now() + unloadMs);
        upstream.close();
    }

    /**
     * Signs off without announcing that it unloads, and serves on until it is closed. The last heartbeat, which was
     * sent before the sign-off, arrives late.
     *
     * @param unloadMs how long the sign-off is repeated until it is acknowledged
     * @param heartbeatDelayMs how late the last heartbeat arrives
     */
    void signOffFirst(long unloadMs, long heartbeatDelayMs) throws InterruptedException {
        ended = true;
        byte[] lateHeartbeat = nextBody();
        double lateAt = TrafficLog.now() + heartbeatDelayMs;
        announce("Servers.SignOff", true, TrafficLog.now() + unloadMs);
        StandInUpstream.daemon("late heartbeat of " + upstream.terms().id(), () -> {
            try {
                TimeUnit.MILLISECONDS.sleep(Math.max(0, (long) (lateAt - TrafficLog.now())));
                send("Servers.Heartbeat", lateHeartbeat);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    @Override
    public void close() {
        ended = true;
        upstream.close();
    }
}
