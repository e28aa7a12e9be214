package sablehinge.gateway.node;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.http1.UpstreamClient;
import sablehinge.gateway.config.operator.OperatorConfig;
import sablehinge.gateway.config.operator.OperatorConfig.ListenerPart;

/**
 * Prepares a version without affecting traffic: binds its new listeners, waits for its first roster and connects to as
 * many servers as its file requires. Completes once, with the failure if it fails.
 */
final class VersionPreparation {

    private static final double RETRY_MS = 100;
    /** The maximum number of concurrent connection attempts. */
    private static final int MAX_CONCURRENT_CONNECTS = 16;

    private final OperatorConfig config;
    private final ServerSource source;
    private final UpstreamClient transport;
    private final Clock clock;
    private final Timers timers;
    private final double deadlineMs;
    private final Consumer<String> callback;
    private final Map<ListenerPart, Frontend> bound = new LinkedHashMap<>();
    private final ArrayDeque<InetSocketAddress> pendingAddresses = new ArrayDeque<>();
    private int pendingBinds;
    private int pendingConnects;
    private int connectedServers;
    private boolean finished;

    VersionPreparation(
            OperatorConfig config,
            ServerSource source,
            UpstreamClient transport,
            Clock clock,
            Timers timers,
            Consumer<String> callback) {
        this.config = config;
        this.source = source;
        this.transport = transport;
        this.clock = clock;
        this.timers = timers;
        this.callback = callback;
        deadlineMs = clock.now() + config.change().readyWithin();
    }

    /** Starts by binding the missing listeners, each created by {@code factory}. */
    void start(List<ListenerPart> missing, Supplier<Frontend> factory) {
        pendingBinds = missing.size();
        for (ListenerPart listener : missing) {
            Frontend frontend = factory.get();
            frontend.open(listener.address(), failure -> {
                pendingBinds--;
                if (failure == null && finished) {
                    frontend.retire(0, () -> {});
                } else if (failure == null) {
                    bound.put(listener, frontend);
                    checkServers();
                } else {
                    finish(failure);
                }
            });
        }
        checkServers();
    }

    /** The listeners bound so far. */
    Map<ListenerPart, Frontend> bound() {
        return bound;
    }

    /** Cancels the preparation without a callback. */
    void cancel() {
        finished = true;
    }

    private void finish(String failure) {
        if (!finished) {
            finished = true;
            callback.accept(failure);
        }
    }

    private void checkServers() {
        if (finished || pendingBinds > 0 || pendingConnects > 0) {
            return;
        }
        if (!source.isComplete()) {
            source.fetch();
            retryLater("no list of servers came");
        } else if (connectedServers >= config.change().readyLeast()) {
            finish(null);
        } else {
            connectedServers = 0;
            source.ready().forEach(member -> pendingAddresses.add(member.address()));
            for (int i = 0; i < MAX_CONCURRENT_CONNECTS && !pendingAddresses.isEmpty(); i++) {
                connectNext();
            }
            if (pendingConnects == 0) {
                retryLater("no server is listed as ready");
            }
        }
    }

    private void connectNext() {
        pendingConnects++;
        int timeoutMs = (int)
                Math.max(1, Math.min(deadlineMs - clock.now(), config.limits().connectTimeout()));
        transport.checkReachable(pendingAddresses.poll(), timeoutMs, connected -> {
            pendingConnects--;
            connectedServers += connected ? 1 : 0;
            if (finished || connectedServers >= config.change().readyLeast()) {
                pendingAddresses.clear();
            }
            if (!pendingAddresses.isEmpty()) {
                connectNext();
            } else if (pendingConnects == 0
                    && connectedServers >= config.change().readyLeast()) {
                checkServers();
            } else if (pendingConnects == 0) {
                retryLater("reached " + connectedServers + " of at least "
                        + config.change().readyLeast() + " servers");
            }
        });
    }

    private void retryLater(String failure) {
        if (finished) {
            return;
        }
        if (clock.now() + RETRY_MS >= deadlineMs) {
            finish(failure + " within " + (long) config.change().readyWithin() + " ms");
        } else {
            timers.at(clock.now() + RETRY_MS, this::checkServers);
        }
    }
}
