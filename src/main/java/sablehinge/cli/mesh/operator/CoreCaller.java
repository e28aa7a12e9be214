package sablehinge.cli.mesh.operator;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Calls the machines of the core in turn until one gives a clear answer (PROTOCOL, "The operator"): follows up to two
 * 307 redirects, calls the next address with exponential backoff after a failure, a timeout, a 5xx, 408 or 429, and
 * always sends the identical request. Returns within the given time limit.
 */
final class CoreCaller {

    private static final int MAX_REDIRECTS = 2;
    /** A call ends after this many 4xx answers that are neither final nor transient. */
    private static final int MAX_OTHER_4XX = 3;

    private static final long INITIAL_BACKOFF_MS = 50;
    private static final long MAX_BACKOFF_MS = 1_000;
    /** How long an address may take to answer before the next address is called. */
    private static final long RESPONSE_TIMEOUT_MS = 1_000;
    /** The timeout is extended by a millisecond for each such number of bytes in the request body. */
    private static final int BODY_BYTES_PER_TIMEOUT_MS = 2_000;

    private final List<String> core;
    private final HttpCaller http;
    private final MonotonicClock time;
    private final long deadlineMs;

    CoreCaller(List<String> core, CommandContext context, long withinMs) {
        this.core = List.copyOf(core);
        http = context.http();
        time = context.time();
        deadlineMs = time.now() + withinMs;
    }

    static boolean isSuccess(HttpCaller.Answer answer) {
        return answer.status() / 100 == 2;
    }

    /** Calls one address once, without following redirects. */
    HttpCaller.Answer callOnce(String address, HttpCaller.Request request) throws IOException, InterruptedException {
        long remainingMs = deadlineMs - time.now();
        if (remainingMs <= 0) {
            throw new ConnectException("not called, as the time was up");
        }
        return http.call(
                address,
                request,
                Math.min(remainingMs, RESPONSE_TIMEOUT_MS + request.body().length / BODY_BYTES_PER_TIMEOUT_MS));
    }

    /** Calls until there is a clear answer or the time limit is reached. */
    CommandOutcome call(HttpCaller.Request request) throws InterruptedException {
        Map<String, String> lastResults = new LinkedHashMap<>();
        boolean mayHaveRun = false;
        int other4xx = 0;
        long backoffMs = INITIAL_BACKOFF_MS;
        for (int i = 0; ; i++) {
            String address = core.get(i % core.size());
            try {
                String[] answeredBy = {address};
                HttpCaller.Answer answer = callFollowingRedirects(answeredBy, request);
                if (isSuccess(answer)
                        || isFinal(answer.status())
                        || answer.status() / 100 == 4 && !isTransient(answer.status()) && ++other4xx >= MAX_OTHER_4XX) {
                    return new CommandOutcome(answer, answeredBy[0], false, attempts(lastResults));
                }
                CoreError error = CoreError.of(answer);
                mayHaveRun |= answer.status() / 100 == 5 && !error.code().equals("NO_LEADER");
                lastResults.put(answeredBy[0], answer.status() + " " + error.line());
            } catch (CallFailure e) {
                mayHaveRun |= !(e.getCause() instanceof ConnectException);
                lastResults.put(e.address, e.getCause().getMessage());
            }
            if (time.now() + backoffMs >= deadlineMs) {
                return new CommandOutcome(null, null, mayHaveRun, attempts(lastResults));
            }
            time.sleep(backoffMs);
            backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        }
    }

    private static List<String> attempts(Map<String, String> lastResults) {
        List<String> attempts = new ArrayList<>();
        lastResults.forEach((address, error) -> attempts.add(address + ": " + error));
        return attempts;
    }

    /** Whether this status ends the call at once. */
    private static boolean isFinal(int status) {
        return switch (status) {
            case 400, 409, 412, 413, 422 -> true;
            default -> false;
        };
    }

    private static boolean isTransient(int status) {
        return status == 408 || status == 429;
    }

    /** A failed call, with its address. */
    private static final class CallFailure extends Exception {

        private static final long serialVersionUID = 1;
        private final String address;

        CallFailure(String address, IOException cause) {
            super(null, cause, false, false);
            this.address = address;
        }
    }

    /** Calls an address and follows redirects; {@code answeredBy[0]} becomes the address that answered. */
    private HttpCaller.Answer callFollowingRedirects(String[] answeredBy, HttpCaller.Request request)
            throws CallFailure, InterruptedException {
        HttpCaller.Request next = request;
        for (int redirects = 0; ; redirects++) {
            try {
                HttpCaller.Answer answer = callOnce(answeredBy[0], next);
                if (answer.status() != 307 || redirects >= MAX_REDIRECTS) {
                    return answer;
                }
                URI to = URI.create(String.valueOf(answer.location()));
                if (!"http".equals(to.getScheme()) || to.getAuthority() == null) {
                    throw new IllegalArgumentException();
                }
                answeredBy[0] = to.getAuthority();
                next = request.withPath(to.getRawPath());
            } catch (IllegalArgumentException e) {
                throw new CallFailure(answeredBy[0], new ConnectException("sends on to a place that can't be called"));
            } catch (IOException e) {
                throw new CallFailure(answeredBy[0], e);
            }
        }
    }
}
