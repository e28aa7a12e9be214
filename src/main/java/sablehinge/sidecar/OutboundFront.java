package sablehinge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import sablehinge.routing.Configuration;
import sablehinge.routing.Plan;
import sablehinge.core.Answer;
import sablehinge.core.Arrival;
import sablehinge.core.Version;
import sablehinge.http1.BadRequestException;
import sablehinge.http1.Checked;
import sablehinge.http1.FrontDialect;
import sablehinge.http1.FrontTerms;

/** What the clients of a machine, and its upstream, say to the balancer there (PROTOCOL, "Requests"). */
final class OutboundFront implements FrontDialect {

    private static final int HEADER_BYTES = 64 * 1024;
    private static final int KEPT = 1024 * 1024;
    private static final int KEPT_IN_ALL = 48 * KEPT;
    private static final int SLOWEST = 10;
    /** Before any configuration is known. */
    private static final FrontTerms FIRST = new FrontTerms(HEADER_BYTES, KEPT, 5_000, SLOWEST, 15_000,
            15_000, KEPT, KEPT_IN_ALL, true);
    /** A client sends a body over a link, not from memory: its time is more than that of a head. */
    private static final double LENIENT = 1.5;
    /** The part of its aim that a request may wait for a slot: after that its answer would come late. */
    private static final double PATIENCE = 0.6;
    /** How long a request waits for the news that would know its route or key, in ms. */
    private static final double WAITS_MS = 400;
    private static final double NOT_READY_MS = 300;

    private static final BadRequestException NOT_READY = BadRequestException.turnedAway(
            HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration yet", NOT_READY_MS);
    /** How long a request waits for the first configuration: it comes within moments, or the core is away. */
    private static final double FIRST_MS = 1_200;
    /** The tenant's pool was asked; the answer is a round trip away. */
    private static final BadRequestException ASKED = BadRequestException.turnedAway(
            HttpResponseStatus.TOO_MANY_REQUESTS, "beyond the quota", NOT_READY_MS);

    private final String caller;
    private final Quotas quotas;
    private final RetryBudget retryBudget;
    private final Confirming confirming;
    private final SplittableRandom random;
    private FrontTerms terms = FIRST;
    private Plan plan;
    private Version version;
    private Map<String, Integer> classes = new HashMap<>();

    /** Asks whether the configuration at hand is the newest. */
    interface Confirming {

        /** Has it asked, unless that is under way. */
        void ask();

        /** When it was last asked with a confirmed answer, in ms; the configuration is no older. */
        double confirmedAt();
    }

    /** A front; {@code caller} is the service whose requests begin here. */
    OutboundFront(String caller, Quotas quotas, RetryBudget retryBudget, Confirming confirming, long seed) {
        this.caller = caller;
        this.quotas = quotas;
        this.retryBudget = retryBudget;
        this.confirming = confirming;
        random = new SplittableRandom(seed);
    }

    /** Reads requests by another configuration from now on. */
    void adopt(Plan next, Version as, Map<String, Integer> places) {
        plan = next;
        version = as;
        classes = places;
        Configuration.Limits limits = next.configuration().limits();
        terms = new FrontTerms(Math.max(HEADER_BYTES / 4, limits.headerBytes()), limits.bodyBytes(),
                limits.headerMs() * LENIENT, SLOWEST, limits.idleMs(), limits.idleMs(), KEPT, KEPT_IN_ALL,
                true);
    }

    /** The configuration by which requests are read; null before the first. */
    Plan plan() {
        return plan;
    }

    @Override
    public FrontTerms terms() {
        return terms;
    }

    @Override
    public boolean isRepeatable(HttpRequest request) {
        Plan.Found found = plan == null ? null : plan.find(request.headers().get("Host"), request.uri());
        return found != null && found.route().kind() == Configuration.Kind.SAFE;
    }

    @Override
    public Checked read(HttpRequest request, boolean hasBody, double now) throws BadRequestException {
        if (plan == null) {
            throw NOT_READY;
        }
        HttpHeaders headers = request.headers();
        if (MeshHeaders.single(headers, MeshHeaders.TRY) == null) {
            throw new BadRequestException(MeshHeaders.TRY + " is missing");
        }
        Plan.Found found = plan.find(MeshHeaders.single(headers, "Host"), request.uri());
        if (found == null) {
            throw BadRequestException.turnedAway(HttpResponseStatus.NOT_FOUND, "no route");
        }
        Configuration.Route route = found.route();
        Configuration.Tenant tenant = plan.tenant(MeshHeaders.single(headers, MeshHeaders.KEY));
        if (plan.wantsKeys() && !route.open() && tenant == null) {
            throw BadRequestException.turnedAway(HttpResponseStatus.UNAUTHORIZED, "unknown key");
        }
        double left = Math.min(route.timeoutMs(),
                MeshHeaders.millis(headers, MeshHeaders.LEFT, route.timeoutMs()));
        if (tenant != null) {
            Quotas.Claim claim = quotas.claim(now, tenant);
            if (claim == Quotas.Claim.ASKED) {
                throw ASKED;
            } else if (claim == Quotas.Claim.REFUSED) {
                throw BadRequestException.turnedAway(HttpResponseStatus.TOO_MANY_REQUESTS, "beyond the quota",
                        Math.min(quotas.next(tenant), left));
            }
        }
        String service = plan.choose(route, random.nextDouble());
        retryBudget.came(service, tenant == null && plan.wantsKeys());
        int rank = tenant != null && tenant.priority() >= 0 ? tenant.priority() : route.priority();
        headers.remove(MeshHeaders.KEY).remove(MeshHeaders.SENDER).remove(MeshHeaders.DELIVER)
                .remove(MeshHeaders.VERDICT);
        headers.set(MeshHeaders.CALLER, caller);
        if (tenant != null) {
            headers.set(MeshHeaders.SENDER, tenant.name());
        }
        headers.set(MeshHeaders.PATIENCE, now + PATIENCE * Math.min(route.targetMs(), left));
        headers.set(MeshHeaders.RANK, rank);
        return new Checked("", new Arrival(classes.get(Terms.name(route, service)), 0, 0, now + left, 0,
                false, route.kind() != Configuration.Kind.SAFE).within(route.attempts()), version);
    }

    /** A key or route that is not known here may be newer than what is known here. */
    @Override
    public boolean waits(BadRequestException why, double waited, double now) {
        int status = why.status().code();
        if (why == ASKED || why == NOT_READY) {
            return waited < (why == ASKED ? WAITS_MS : FIRST_MS);
        }
        if (status != 401 && status != 404 || waited > WAITS_MS
                || confirming.confirmedAt() >= now - waited) {
            return false;
        }
        confirming.ask();
        return true;
    }

    @Override
    public HttpResponseStatus status(Answer answer) {
        return MeshAnswers.status(answer);
    }

    @Override
    public ByteBuf content(Answer answer) {
        return MeshAnswers.content(answer);
    }

    @Override
    public void dress(HttpResponse response, Answer answer, Version by, HttpRequest request) {
        MeshAnswers.dress(response, answer, request);
    }
}
