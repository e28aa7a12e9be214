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

/** The front end for requests of local clients and of the local upstream (PROTOCOL, "Requests"). */
final class OutboundFront implements FrontDialect {

    private static final int HEADER_BYTES = 64 * 1024;
    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;
    private static final int MIN_BYTES_PER_MS = 10;
    /** Used before the first configuration arrives. */
    private static final FrontTerms DEFAULT_TERMS = new FrontTerms(
            HEADER_BYTES, MAX_BUFFERED_BYTES, 5_000, MIN_BYTES_PER_MS, 15_000, 15_000, MAX_BUFFERED_BYTES, true);
    /** Extends the header timeout to bodies, which take longer because they are sent over a network link. */
    private static final double BODY_TIMEOUT_FACTOR = 1.5;
    /**
     * The share of its latency target that a request may wait for a concurrency slot: after a longer wait its answer
     * would be late.
     */
    private static final double QUEUE_TIME_SHARE = 0.6;
    /** How long a request may wait for a configuration that would admit it. */
    private static final double MAX_HOLD_MS = 400;
    /** The same limit as a share of the latency target: a request that is rejected later gains nothing by waiting. */
    private static final double MAX_HOLD_TARGET_SHARE = 0.2;
    /**
     * The same limit as a share of the client's timeout, if the target is unknown: targets are at least a seventh of
     * the timeout.
     */
    private static final double MAX_HOLD_TIMEOUT_SHARE = MAX_HOLD_TARGET_SHARE / 7;
    /**
     * The minimum {@code Retry-After} of a request that is rejected because no configuration is known, and its maximum
     * as a share of the client's timeout.
     */
    private static final double MIN_RETRY_AFTER_MS = 300;

    private static final double MAX_RETRY_AFTER_SHARE = 0.3;

    private final String caller;
    private final Quotas quotas;
    private final RetryBudget retryBudget;
    private final Confirmation confirmation;
    private final SplittableRandom random;
    private FrontTerms terms = DEFAULT_TERMS;
    private RoutingTable routingTable;
    private Version version;
    private Map<String, Integer> classes = new HashMap<>();
    /** When the first request arrived; NaN before that. */
    private double firstArrivedAt = Double.NaN;

    /** Confirms that the current configuration is the latest. */
    interface Confirmation {

        /** Requests a confirmed update unless a request is pending. */
        void request();

        /** When the latest confirmed update was requested, in ms: the configuration was the latest at that time. */
        double confirmedAt();
    }

    /** Creates a front end; {@code caller} is the service whose requests start here. */
    OutboundFront(String caller, Quotas quotas, RetryBudget retryBudget, Confirmation confirmation, long seed) {
        this.caller = caller;
        this.quotas = quotas;
        this.retryBudget = retryBudget;
        this.confirmation = confirmation;
        random = new SplittableRandom(seed);
    }

    /** Adopts a new configuration for reading requests. */
    void adopt(RoutingTable next, Version nextVersion, Map<String, Integer> classIndexes) {
        routingTable = next;
        version = nextVersion;
        classes = classIndexes;
        Configuration.Limits limits = next.configuration().limits();
        terms = new FrontTerms(
                Math.max(HEADER_BYTES / 4, limits.headerBytes()),
                limits.bodyBytes(),
                limits.headerMs() * BODY_TIMEOUT_FACTOR,
                MIN_BYTES_PER_MS,
                limits.idleMs(),
                limits.idleMs(),
                MAX_BUFFERED_BYTES,
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
    public CheckedRequest read(HttpRequest request, boolean hasBody, double arrivedAt, double now)
            throws BadRequestException {
        HttpHeaders headers = request.headers();
        if (Double.isNaN(firstArrivedAt)) {
            firstArrivedAt = arrivedAt;
        }
        if (routingTable == null) {
            throw withoutConfiguration(
                    MeshHeaders.millis(headers, MeshHeaders.TIME_LEFT, DEFAULT_TERMS.requestTimeoutMs()), now);
        }
        if (MeshHeaders.single(headers, MeshHeaders.TRY_ID) == null) {
            throw new BadRequestException(MeshHeaders.TRY_ID + " is missing");
        }
        RoutingTable.RouteMatch match = routingTable.find(MeshHeaders.single(headers, "Host"), request.uri());
        if (match == null) {
            throw BadRequestException.rejected(HttpResponseStatus.NOT_FOUND, "no route")
                    .withMaxWait(maxHoldMs(
                            MeshHeaders.millis(headers, MeshHeaders.TIME_LEFT, DEFAULT_TERMS.requestTimeoutMs())));
        }
        Configuration.Route route = match.route();
        Configuration.Tenant tenant = routingTable.tenant(MeshHeaders.single(headers, MeshHeaders.KEY));
        if (routingTable.requiresKeys() && !route.open() && tenant == null) {
            throw BadRequestException.rejected(HttpResponseStatus.UNAUTHORIZED, "unknown key")
                    .withMaxWait(maxHoldMs(route));
        }
        double timeoutMs =
                Math.min(route.timeoutMs(), MeshHeaders.millis(headers, MeshHeaders.TIME_LEFT, route.timeoutMs()));
        double remainingMs = timeoutMs - (now - arrivedAt);
        if (remainingMs <= 0) {
            throw BadRequestException.rejected(HttpResponseStatus.SERVICE_UNAVAILABLE, "its time is over");
        }
        if (tenant != null) {
            claim(tenant, route, remainingMs, now);
        }
        String service = routingTable.chooseService(route, random.nextDouble());
        retryBudget.onRequest(service, tenant == null && routingTable.requiresKeys());
        int rank = tenant != null && tenant.priority() >= 0 ? tenant.priority() : route.priority();
        headers.remove(MeshHeaders.KEY)
                .remove(MeshHeaders.SENDER)
                .remove(MeshHeaders.DELIVER_TO)
                .remove(MeshHeaders.VERDICT);
        headers.set(MeshHeaders.CALLER, caller);
        if (tenant != null) {
            headers.set(MeshHeaders.SENDER, tenant.name());
        }
        headers.set(MeshHeaders.QUEUE_TIMEOUT, arrivedAt + QUEUE_TIME_SHARE * Math.min(route.targetMs(), timeoutMs));
        headers.set(MeshHeaders.RANK, rank);
        return new CheckedRequest(
                "",
                new Arrival(
                                classes.get(BalancerSettings.name(route, service)),
                                0,
                                0,
                                now + remainingMs,
                                0,
                                false,
                                route.kind() != Configuration.Kind.SAFE)
                        .withMaxAttempts(route.attempts()),
                version);
    }

    private void claim(Configuration.Tenant tenant, Configuration.Route route, double remainingMs, double now)
            throws BadRequestException {
        Quotas.Claim claim = quotas.claim(now, tenant);
        if (claim == Quotas.Claim.REQUESTED) {
            // The request waits for the response of the tenant's pool, which takes one round trip.
            throw BadRequestException.rejected(
                            HttpResponseStatus.TOO_MANY_REQUESTS, "beyond the quota", MIN_RETRY_AFTER_MS)
                    .withMaxWait(maxHoldMs(route));
        } else if (claim == Quotas.Claim.REFUSED) {
            throw BadRequestException.rejected(
                    HttpResponseStatus.TOO_MANY_REQUESTS,
                    "beyond the quota",
                    Math.min(quotas.msUntilNextToken(tenant), remainingMs));
        }
    }

    private static double maxHoldMs(Configuration.Route route) {
        return Math.min(MAX_HOLD_MS, MAX_HOLD_TARGET_SHARE * route.targetMs());
    }

    private static double maxHoldMs(double timeoutMs) {
        return Math.min(MAX_HOLD_MS, MAX_HOLD_TIMEOUT_SHARE * timeoutMs);
    }

    /**
     * The rejection of a request before the first configuration: it has not run and may be retried once an update has
     * arrived. When that will be is unknown, but the longer it has taken already the longer it is likely to take.
     */
    private BadRequestException withoutConfiguration(double timeoutMs, double now) {
        double retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, now - firstArrivedAt);
        return BadRequestException.rejected(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "no configuration yet",
                        Math.min(retryAfterMs, MAX_RETRY_AFTER_SHARE * timeoutMs))
                .withMaxWait(maxHoldMs(timeoutMs));
    }

    /**
     * An unknown key or route may belong to a configuration that has not arrived yet. Unless the current configuration
     * is confirmed as the latest in time, the request is rejected as retryable instead of as unauthorized or not found.
     */
    @Override
    public BadRequestException refusal(BadRequestException rejection, boolean mayWait, double arrivedAt, double now) {
        int status = rejection.status().code();
        boolean unknown =
                status == HttpResponseStatus.UNAUTHORIZED.code() || status == HttpResponseStatus.NOT_FOUND.code();
        if (unknown && confirmation.confirmedAt() >= arrivedAt) {
            return rejection;
        }
        if (mayWait && now - arrivedAt < rejection.maxWaitMs()) {
            if (unknown) {
                confirmation.request();
            }
            return null;
        }
        return unknown
                ? BadRequestException.rejected(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "not known whether this is the newest configuration",
                        MIN_RETRY_AFTER_MS)
                : rejection;
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
    public void setHeaders(HttpResponse response, Answer answer, Version version, HttpRequest request) {
        MeshResponses.writeHeaders(response, answer, request);
    }
}
