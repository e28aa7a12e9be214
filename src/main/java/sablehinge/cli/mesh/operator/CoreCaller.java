package sablehinge.cli.mesh.operator;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Calls whichever machine of the core gives a clear answer (PROTOCOL, "The operator"): it follows 307 twice, goes on to
 * the next address after a failure, a 5xx, 408, 429 or timeout, with a pause that grows, and always sends the very same
 * call. It ends within the bound that it was given.
 */
final class CoreCaller {

    private static final int HOPS = 2;
    /** Other 4xx than those that end a call at once end it when there are so many. */
    private static final int ODD = 3;

    private static final long FIRST_PAUSE_MS = 50;
    private static final long MAX_PAUSE_MS = 1_000;
    /** Without a byte received, after which the next address is called. */
    private static final long RESPONSE_TIMEOUT_MS = 1_000;
    /** Bytes of a body for each of which the timeout is a ms longer. */
    private static final int BYTES_PER_MS = 2_000;

    private final List<String> core;
    private final HttpCaller wire;
    private final TimeText time;
    private final long until;

    CoreCaller(List<String> core, Shell shell, long withinMs) {
        this.core = List.copyOf(core);
        wire = shell.wire();
        time = shell.time();
        until = time.now() + withinMs;
    }

    static boolean isSuccess(HttpCaller.Answer answer) {
        return answer.status() / 100 == 2;
    }

    /** One call to one address, which is not followed. */
    HttpCaller.Answer once(String address, HttpCaller.Request request) throws IOException, InterruptedException {
        long left = until - time.now();
        if (left <= 0) {
            throw new ConnectException("not called, as the time was up");
        }
        return wire.call(address, request, Math.min(left, RESPONSE_TIMEOUT_MS + request.body().length / BYTES_PER_MS));
    }

    /** Calls until there is a clear answer or the time is up. */
    CommandOutcome call(HttpCaller.Request request) throws InterruptedException {
        Map<String, String> response = new LinkedHashMap<>();
        boolean maybe = false;
        int odd = 0;
        long pause = FIRST_PAUSE_MS;
        for (int i = 0; ; i++) {
            String address = core.get(i % core.size());
            try {
                String[] by = {address};
                HttpCaller.Answer answer = follow(by, request);
                if (isSuccess(answer)
                        || ends(answer.status())
                        || answer.status() / 100 == 4 && !isPassing(answer.status()) && ++odd >= ODD) {
                    return new CommandOutcome(answer, by[0], false, tries(response));
                }
                CoreAnswer words = CoreAnswer.of(answer);
                maybe |= answer.status() / 100 == 5 && !words.code().equals("NO_LEADER");
                response.put(by[0], answer.status() + " " + words.line());
            } catch (Hop e) {
                maybe |= !(e.getCause() instanceof ConnectException);
                response.put(e.address, e.getCause().getMessage());
            }
            if (time.now() + pause >= until) {
                return new CommandOutcome(null, null, maybe, tries(response));
            }
            time.pause(pause);
            pause = Math.min(MAX_PAUSE_MS, 2 * pause);
        }
    }

    private static List<String> tries(Map<String, String> response) {
        List<String> tries = new ArrayList<>();
        response.forEach((address, words) -> tries.add(address + ": " + words));
        return tries;
    }

    /** Whether an operator's call is at its end with this status. */
    private static boolean ends(int status) {
        return switch (status) {
            case 400, 409, 412, 413, 422 -> true;
            default -> false;
        };
    }

    private static boolean isPassing(int status) {
        return status == 408 || status == 429;
    }

    /** A call that failed, and where. */
    private static final class Hop extends Exception {

        private static final long serialVersionUID = 1;
        private final String address;

        Hop(String address, IOException cause) {
            super(null, cause, false, false);
            this.address = address;
        }
    }

    /** A call and where it is sent on to; {@code by} becomes the address that answered. */
    private HttpCaller.Answer follow(String[] by, HttpCaller.Request request) throws Hop, InterruptedException {
        HttpCaller.Request next = request;
        for (int hops = 0; ; hops++) {
            try {
                HttpCaller.Answer answer = once(by[0], next);
                if (answer.status() != 307 || hops >= HOPS) {
                    return answer;
                }
                URI to = URI.create(String.valueOf(answer.location()));
                if (!"http".equals(to.getScheme()) || to.getAuthority() == null) {
                    throw new IllegalArgumentException();
                }
                by[0] = to.getAuthority();
                next = request.at(to.getRawPath());
            } catch (IllegalArgumentException e) {
                throw new Hop(by[0], new ConnectException("sends on to a place that can't be called"));
            } catch (IOException e) {
                throw new Hop(by[0], e);
            }
        }
    }
}
