package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.ChainBudgets;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.Version;

/** The protocol of the platform's clients. */
final class PlatformFront implements FrontDialect {

    /** RFC 5842, section 7.2. */
    private static final HttpResponseStatus LOOP_DETECTED = new HttpResponseStatus(508, "Loop Detected");

    private static final int HEADER_BYTES = 8_192;
    private static final int MAX_REPEATABLE_BODY_BYTES = 256 * 1024;
    /** Limit on the memory for such bodies of all connections. */
    static final int MAX_REPEATABLE_BYTES = 32 * MAX_REPEATABLE_BODY_BYTES;
    /** The slowest legitimate clients send 64 kB a s. */
    private static final FrontTerms TERMS = new FrontTerms(
            HEADER_BYTES, UpstreamClient.MAX_RELAYED_BYTES, 2_400, 40, 2_300, 3_000, MAX_REPEATABLE_BODY_BYTES, false);

    private final RequestProxy proxy;
    private RequestCheck check;
    /** The check of the previous version, and until when a request may still be read by it. */
    private RequestCheck previousCheck;

    private double previousCheckUntil = Double.NEGATIVE_INFINITY;
    /** Formats and parses budgets; null while they are disabled. */
    private HeaderText budgets;

    PlatformFront(RequestProxy proxy) {
        this.proxy = proxy;
    }

    @Override
    public FrontTerms terms() {
        return TERMS;
    }

    @Override
    public boolean isHealth(HttpRequest request) {
        return request.uri().equals("/_health") && request.method().equals(HttpMethod.GET);
    }

    /** The check of the current version. */
    private RequestCheck check() {
        Version now = proxy.version();
        if (check == null || check.version() != now) {
            check = new RequestCheck(now);
        }
        return check;
    }

    @Override
    public CheckedRequest read(HttpRequest request, boolean hasBody, double completedAt, double now)
            throws BadRequestException {
        CheckedRequest checked;
        try {
            checked = check().read(request, hasBody, now);
        } catch (BadRequestException e) {
            if (previousCheck == null || now > previousCheckUntil) {
                previousCheck = null;
                throw e;
            }
            checked = previousCheck.read(request, hasBody, now);
        }
        return budgets == null
                ? checked
                : new CheckedRequest(
                        checked.name(),
                        checked.arrival()
                                .withBudget(budgets.readBudget(request.headers().get(UpstreamClient.BUDGET_HEADER))),
                        checked.version());
    }

    @Override
    public HttpResponseStatus status(Answer answer) {
        return switch (answer.kind()) {
            case SERVED -> HttpResponseStatus.OK;
            case REFUSED -> HttpResponseStatus.SERVICE_UNAVAILABLE;
            case FAILED -> HttpResponseStatus.BAD_GATEWAY;
            case UNANSWERED -> HttpResponseStatus.GATEWAY_TIMEOUT;
            case BROKEN -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
            case LOOP -> LOOP_DETECTED;
        };
    }

    @Override
    public ByteBuf content(Answer answer) {
        return answer.payload() instanceof HttpPayload served ? served.message().content() : Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void setHeaders(HttpResponse response, Answer answer, Version version, HttpRequest request) {
        if (answer != null && answer.spent() != null && budgets != null) {
            response.headers().set(UpstreamClient.SPENT_HEADER, budgets.write(answer.spent()));
        }
        if (answer != null && !answer.path().isEmpty()) {
            response.headers().set("Sablehinge-Path", ChainBudgets.formatPath(answer.path()));
        }
        if (version != null && version.shown()) {
            response.headers().set("Sablehinge-Version", version.number());
        }
    }

    @Override
    public void enableBudgets(HeaderText text) {
        budgets = text;
    }

    @Override
    public void acceptPreviousVersion(double until) {
        previousCheck = check();
        previousCheckUntil = until;
    }
}
