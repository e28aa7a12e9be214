package sablehinge.dataplane.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import sablehinge.dataplane.http1.BadRequestException;
import sablehinge.dataplane.http1.CheckedRequest;
import sablehinge.dataplane.http1.FrontDialect;
import sablehinge.dataplane.http1.FrontTerms;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Arrival;
import sablehinge.dataplane.proxy.Version;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.routing.RoutingTable;

/** What the clients of a machine, and its upstream, say to the balancer there (PROTOCOL, "Requests"). */
final class OutboundFront implements FrontDialect {

    private static final int HEADER_BYTES = 64 * 1024;
    private static final int KEPT = 1024 * 1024;
    private static final int KEPT_IN_ALL = 48 * KEPT;
    private static final int SLOWEST = 10;
    /** Before any configuration is known. */
    private static final FrontTerms FIRST =
            new FrontTerms(HEADER_BYTES, KEPT, 5_000, SLOWEST, 15_000, 15_000, KEPT, KEPT_IN_ALL, true);
    /** A client sends a body over a link, not from memory: its time is more than that of a head. */
    private static final double READ_LENIENCY = 1.5;
    /** The part of its aim that a request may wait for a slot: after that its answer would come late. */
    private static final double QUEUE_TIME_SHARE = 0.6;
    /** How long a request waits at most for a configuration that would admit it, ms. */
    private static final double MAX_HOLD_MS = 400;
    /** The part of its aim for which it may wait so: one that is refused later earns nothing by that. */
    private static final double HELD_OF_AIM = 0.2;
    /** The same of its client's time, where its aim is not known: aims are a seventh of that or more. */
    private static final double HELD_OF_TIME = HELD_OF_AIM / 7;
    /**
     * {@code Retry-After} of a request that was refused for want of a configuration, ms: at least this, at most this
     * share of its time.
     */
    private static final double RETRY_AFTER_MS = 300;

    private static final double LATEST_RETURN = 0.3;

    private final String caller;
    private final Quotas quotas;
    private final RetryBudget retryBudget;
    private final Confirmation confirmation;
    private final SplittableRandom random;
    private FrontTerms terms = FIRST;
    private RoutingTable routingTable;
    private Version version;
    private Map<String, Integer> classes = new HashMap<>();
    /** When the first request came, before which nobody has waited; NaN before that. */
    private double firstCameAt = Double.NaN;

    /** Asks whether the configuration at hand is the newest. */
    interface Confirmation {

        /** Requests a confirmed update, unless that is under way. */
        void ask();

        /** When the latest confirmed update was requested, ms; the configuration is no older. */
        double confirmedAt();
    }

    /** A front; {@code caller} is the service whose requests begin here. */
    OutboundFront(String caller, Quotas quotas, RetryBudget retryBudget, Confirmation confirmation, long seed) {
        this.caller = caller;
        this.quotas = quotas;
        this.retryBudget = retryBudget;
        this.confirmation = confirmation;
        random = new SplittableRandom(seed);
    }

    /** Reads requests by another configuration from now on. */
    void adopt(RoutingTable next, Version as, Map<String, Integer> places) {
        routingTable = next;
        version = as;
        classes = places;
        Configuration.Limits limits = next.configuration().limits();
        terms = new FrontTerms(
                Math.max(HEADER_BYTES / 4, limits.headerBytes()),
                limits.bodyBytes(),
                limits.headerMs() * READ_LENIENCY,
                SLOWEST,
                limits.idleMs(),
                limits.idleMs(),
                KEPT,
                KEPT_IN_ALL,
                true);
    }

    /** The configuration by which requests are read; null before the first. */
    RoutingTable routingTable() {
        return routingTable;
    }

    @Override
    public FrontTerms terms() {
        return terms;
    }

    @Override
    public boolean isRepeatable(HttpRequest request) {
        RoutingTable.RouteMatch match = routingTable == null
                ? null
                : routingTable.find(request.headers().get("Host"), request.uri());
        return match != null && match.route().kind() == Configuration.Kind.SAFE;
    }

    @Override
    public CheckedRequest read(HttpRequest request, boolean hasBody, double cameAt, double now)
            throws BadRequestException {
        HttpHeaders headers = request.headers();
        if (Double.isNaN(firstCameAt)) {
            firstCameAt = cameAt;
        }
        if (routingTable == null) {
            throw withoutConfiguration(MeshHeaders.millis(headers, MeshHeaders.LEFT, FIRST.requestTimeoutMs()), now);
        }
        if (MeshHeaders.single(headers, MeshHeaders.TRY) == null) {
            throw new BadRequestException(MeshHeaders.TRY + " is missing");
        }
        RoutingTable.RouteMatch match = routingTable.find(MeshHeaders.single(headers, "Host"), request.uri());
        if (match == null) {
            throw BadRequestException.rejected(HttpResponseStatus.NOT_FOUND, "no route")
                    .withMaxWait(held(MeshHeaders.millis(headers, MeshHeaders.LEFT, FIRST.requestTimeoutMs())));
        }
        Configuration.Route route = match.route();
        Configuration.Tenant tenant = routingTable.tenant(MeshHeaders.single(headers, MeshHeaders.KEY));
        if (routingTable.requiresKeys() && !route.open() && tenant == null) {
            throw BadRequestException.rejected(HttpResponseStatus.UNAUTHORIZED, "unknown key")
                    .withMaxWait(held(route));
        }
        double given = Math.min(route.timeoutMs(), MeshHeaders.millis(headers, MeshHeaders.LEFT, route.timeoutMs()));
        double left = given - (now - cameAt);
        if (left <= 0) {
            throw BadRequestException.rejected(HttpResponseStatus.SERVICE_UNAVAILABLE, "its time is over");
        }
        if (tenant != null) {
            claim(tenant, route, left, now);
        }
        String service = routingTable.chooseService(route, random.nextDouble());
        retryBudget.came(service, tenant == null && routingTable.requiresKeys());
        int rank = tenant != null && tenant.priority() >= 0 ? tenant.priority() : route.priority();
        headers.remove(MeshHeaders.KEY)
                .remove(MeshHeaders.SENDER)
                .remove(MeshHeaders.DELIVER)
                .remove(MeshHeaders.VERDICT);
        headers.set(MeshHeaders.CALLER, caller);
        if (tenant != null) {
            headers.set(MeshHeaders.SENDER, tenant.name());
        }
        headers.set(MeshHeaders.QUEUE_TIMEOUT, cameAt + QUEUE_TIME_SHARE * Math.min(route.targetMs(), given));
        headers.set(MeshHeaders.RANK, rank);
        return new CheckedRequest(
                "",
                new Arrival(
                                classes.get(BalancerSettings.name(route, service)),
                                0,
                                0,
                                now + left,
                                0,
                                false,
                                route.kind() != Configuration.Kind.SAFE)
                        .withMaxAttempts(route.attempts()),
                version);
    }

    private void claim(Configuration.Tenant tenant, Configuration.Route route, double left, double now)
            throws BadRequestException {
        Quotas.Claim claim = quotas.claim(now, tenant);
        if (claim == Quotas.Claim.REQUESTED) {
            // The answer of the tenant's pool is a round trip away.
            throw BadRequestException.rejected(HttpResponseStatus.TOO_MANY_REQUESTS, "beyond the quota", RETRY_AFTER_MS)
                    .withMaxWait(held(route));
        } else if (claim == Quotas.Claim.REFUSED) {
            throw BadRequestException.rejected(
                    HttpResponseStatus.TOO_MANY_REQUESTS, "beyond the quota", Math.min(quotas.next(tenant), left));
        }
    }

    private static double held(Configuration.Route route) {
        return Math.min(MAX_HOLD_MS, HELD_OF_AIM * route.targetMs());
    }

    private static double held(double time) {
        return Math.min(MAX_HOLD_MS, HELD_OF_TIME * time);
    }

    /**
     * Nothing has run, and it may be tried again once there is an update: nobody knows when that will be, and what has
     * taken long already is likely to take as long again.
     */
    private BadRequestException withoutConfiguration(double time, double now) {
        double comeBack = Math.max(RETRY_AFTER_MS, now - firstCameAt);
        return BadRequestException.rejected(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "no configuration yet",
                        Math.min(comeBack, LATEST_RETURN * time))
                .withMaxWait(held(time));
    }

    /**
     * A key or route that is not known here may be newer than what is known here. Where nobody says in time that it is
     * not, the request is refused as one that has not run, and not as one that never may.
     */
    @Override
    public BadRequestException refusal(BadRequestException why, boolean mayWait, double cameAt, double now) {
        int status = why.status().code();
        boolean unknown =
                status == HttpResponseStatus.UNAUTHORIZED.code() || status == HttpResponseStatus.NOT_FOUND.code();
        if (unknown && confirmation.confirmedAt() >= cameAt) {
            return why;
        }
        if (mayWait && now - cameAt < why.maxWaitMs()) {
            if (unknown) {
                confirmation.ask();
            }
            return null;
        }
        return unknown
                ? BadRequestException.rejected(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "not known whether this is the newest configuration",
                        RETRY_AFTER_MS)
                : why;
    }

    @Override
    public HttpResponseStatus status(Answer answer) {
        return MeshResponses.status(answer);
    }

    @Override
    public ByteBuf content(Answer answer) {
        return MeshResponses.content(answer);
    }

    @Override
    public void setHeaders(HttpResponse response, Answer answer, Version by, HttpRequest request) {
        MeshResponses.dress(response, answer, request);
    }
}
