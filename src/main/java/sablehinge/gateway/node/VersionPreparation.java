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
 * Makes a version ready beside the traffic: binds the listeners that are not there yet, waits for its first list of
 * servers, and reaches as many as the file asks for. Ends once, with the reason if it can't.
 */
final class VersionPreparation {

    private static final double AGAIN_MS = 100;
    /** Connections that are tried at once. */
    private static final int AT_ONCE = 16;

    private final OperatorConfig config;
    private final ServerSource source;
    private final UpstreamClient transport;
    private final Clock clock;
    private final Timers timers;
    private final double deadline;
    private final Consumer<String> end;
    private final Map<ListenerPart, Frontend> bound = new LinkedHashMap<>();
    private final ArrayDeque<InetSocketAddress> untried = new ArrayDeque<>();
    private int binding;
    private int trying;
    private int reached;
    private boolean over;

    VersionPreparation(
            OperatorConfig config,
            ServerSource source,
            UpstreamClient transport,
            Clock clock,
            Timers timers,
            Consumer<String> end) {
        this.config = config;
        this.source = source;
        this.transport = transport;
        this.clock = clock;
        this.timers = timers;
        this.end = end;
        deadline = clock.now() + config.change().readyWithin();
    }

    /** Begins with the listeners that are missing, each made by {@code maker}. */
    void start(List<ListenerPart> missing, Supplier<Frontend> maker) {
        binding = missing.size();
        for (ListenerPart part : missing) {
            Frontend front = maker.get();
            front.open(part.address(), failure -> {
                binding--;
                if (failure == null && over) {
                    front.retire(0, () -> {});
                } else if (failure == null) {
                    bound.put(part, front);
                    servers();
                } else {
                    finish(failure);
                }
            });
        }
        servers();
    }

    /** The listeners that it has bound. */
    Map<ListenerPart, Frontend> bound() {
        return bound;
    }

    /** Gives up quietly. */
    void abandon() {
        over = true;
    }

    private void finish(String failure) {
        if (!over) {
            over = true;
            end.accept(failure);
        }
    }

    private void servers() {
        if (over || binding > 0 || trying > 0) {
            return;
        }
        if (!source.isKnown()) {
            source.fetch();
            later("no list of servers came");
        } else if (reached >= config.change().readyLeast()) {
            finish(null);
        } else {
            reached = 0;
            source.ready().forEach(member -> untried.add(member.address()));
            for (int i = 0; i < AT_ONCE && !untried.isEmpty(); i++) {
                reach();
            }
            if (trying == 0) {
                later("no server is listed as ready");
            }
        }
    }

    private void reach() {
        trying++;
        int timeout = (int)
                Math.max(1, Math.min(deadline - clock.now(), config.limits().connectTimeout()));
        transport.checkReachable(untried.poll(), timeout, up -> {
            trying--;
            reached += up ? 1 : 0;
            if (over || reached >= config.change().readyLeast()) {
                untried.clear();
            }
            if (!untried.isEmpty()) {
                reach();
            } else if (trying == 0 && reached >= config.change().readyLeast()) {
                servers();
            } else if (trying == 0) {
                later("reached " + reached + " of at least " + config.change().readyLeast() + " servers");
            }
        });
    }

    private void later(String waitsFor) {
        if (over) {
            return;
        }
        if (clock.now() + AGAIN_MS >= deadline) {
            finish(waitsFor + " within " + (long) config.change().readyWithin() + " ms");
        } else {
            timers.at(clock.now() + AGAIN_MS, this::servers);
        }
    }
}
