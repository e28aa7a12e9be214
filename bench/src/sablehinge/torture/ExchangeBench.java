package sablehinge.torture;

import ch.qos.logback.classic.Level;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import sablehinge.testing.Logs;
import sablehinge.torture.ExchangePlay.Event;

/**
 * Plays all orders of events on the connections of an outbound balancer and of a gate, each to a stated depth, and then
 * the same on copies of the real classes with one fault each, which must all be found.
 */
public final class ExchangeBench {

    private static final int DEPTH = 4;
    private static final int MUTANT_DEPTH = 3;
    private static final int THREADS = 4;
    private static final int MAX_SHOWN = 20;
    private static final String STATE = "dataplane/proxy/AttemptState";
    private static final String ATTEMPT = "dataplane/http1/UpstreamAttempt";
    private static final String DIALECT = "dataplane/sidecar/MeshUpstream";
    private static final String MATCH = "dataplane/http1/ResponseMatch";
    private static final String ANSWERS = "dataplane/sidecar/MeshResponses";

    /**
     * What each order begins with: a request at the upstream, one that was served, an upload, and a request that was
     * refused and is sent again.
     */
    private static final List<List<Event>> BEGINNINGS = List.of(
            List.of(Event.CALL),
            List.of(Event.CALL, Event.ANSWER),
            List.of(Event.UPLOAD_HALF),
            List.of(Event.CALL, Event.REFUSE, Event.CALL_AGAIN));

    private static final String ATTEMPT_RULES = "policy/AttemptRules";
    private static final String FRONT = "dataplane/sidecar/OutboundFront";
    /** What each order before an outbound balancer begins with. */
    private static final List<List<OutboundPlay.Event>> OUTBOUND_BEGINNINGS = List.of(
            List.of(OutboundPlay.Event.CALL),
            List.of(OutboundPlay.Event.CALL_SAFE),
            List.of(OutboundPlay.Event.CALL, OutboundPlay.Event.ANSWER),
            List.of(OutboundPlay.Event.UPLOAD_HALF));

    /** All faults that the gate's hop must show. */
    static final List<Mutant> MUTANTS = List.of(
            new Mutant(
                    "a connection that ends proves that nothing ran",
                    STATE,
                    "",
                    "case WRITE_FAILED, CONNECTION_ENDED -> mayHaveRun() ? Result.RESET : ",
                    "case WRITE_FAILED, CONNECTION_ENDED -> "),
            new Mutant(
                    "a deadline proves that nothing ran",
                    STATE,
                    "",
                    "case DEADLINE -> mayHaveRun() ? Result.TIMEOUT : ",
                    "case DEADLINE -> "),
            new Mutant(
                    "a spoilt answer proves that nothing ran",
                    STATE,
                    "",
                    "case MALFORMED_ANSWER -> mayHaveRun() ? Result.ERROR : ",
                    "case MALFORMED_ANSWER -> "),
            new Mutant(
                    "a success before the request is whole counts",
                    STATE,
                    "case SERVED_ANSWER",
                    "this == SENT || this == ANSWERING ? Result.OK : Result.ERROR",
                    "Result.OK"),
            new Mutant(
                    "what was sent whole counts as half",
                    STATE,
                    "public AttemptState fullySent()",
                    "case UNSENT, PARTLY_SENT, BODY_STARTED, SENT -> SENT;",
                    "case UNSENT, PARTLY_SENT, BODY_STARTED, SENT -> this;"),
            new Mutant(
                    "an answer to half a request proves nothing",
                    STATE,
                    "public AttemptState responseStarted()",
                    "-> ANSWERED_EARLY;",
                    "-> this;"),
            new Mutant(
                    "whatever answer comes is the one",
                    DIALECT,
                    "public boolean isResponseTo(",
                    "sentTryId != null && sentTryId.equals(answer.headers().get(MeshHeaders.TRY_ID))",
                    "true"),
            new Mutant(
                    "any 503 is a refusal",
                    DIALECT,
                    "private Result verdict(",
                    "headers.contains(MeshHeaders.NOT_RUN)",
                    "answer.status().code() == 503"),
            new Mutant(
                    "a success needs no stamp",
                    DIALECT,
                    "private Result verdict(",
                    "&& headers.contains(MeshHeaders.POSTMARK) ",
                    ""),
            new Mutant(
                    "an answer that names no request is the one",
                    MATCH,
                    "static ResponseMatch of(",
                    "if (!dialect.identifiesRequest(head)) { return UNTRUSTED;",
                    "if (!dialect.identifiesRequest(head)) { return AWAITED;"),
            new Mutant(
                    "a 503 that ran is passed on",
                    ANSWERS,
                    "private static boolean claimsNotRun(",
                    "case 408, 421, 429, 503 -> true;",
                    "case 408, 421, 429 -> true;"),
            new Mutant(
                    "the stamp stays with another status",
                    ANSWERS,
                    "static void writeHeaders(",
                    "response.headers().remove(MeshHeaders.POSTMARK).remove(MeshHeaders.NOT_RUN);",
                    ""),
            new Mutant(
                    "the gate refuses what may have run",
                    "dataplane/admission/AdmissionController",
                    "public void attemptFinished",
                    "if (outcome.result().neverRan()) {",
                    "if (outcome.result() != null) {"),
            new Mutant(
                    "every answer of our own proves that nothing ran",
                    "dataplane/sidecar/InboundFront",
                    "public void setHeaders(",
                    "answer == null || answer.kind() == Answer.Kind.REFUSED",
                    "answer == null || answer.kind() != Answer.Kind.SERVED"),
            new Mutant(
                    "a connection with bytes behind its answer is kept",
                    "dataplane/http1/UpstreamConnection",
                    "private void complete(FullHttpResponse response)",
                    "&& !decoder.hasUnreadBytes()",
                    ""),
            new Mutant(
                    "a connection carries the same request again",
                    "dataplane/http1/UpstreamTarget",
                    "private UpstreamConnection latestIdle(",
                    "!connection.hasCarried(requestId)",
                    "!connection.hasCarried(null)"),
            new Mutant(
                    "a head with a status line inside is one answer",
                    MATCH,
                    "static ResponseMatch of(",
                    "if (containsStatusLine(head)) {",
                    "if (head == null) {"),
            new Mutant(
                    "an attempt that is given up leaves its connection",
                    ATTEMPT,
                    "void abort(Event event)",
                    "channel.close();",
                    "connection.release(target);"));

    /** All faults that the outbound hop must show. */
    static final List<Mutant> OUTBOUND_MUTANTS = List.of(
            MUTANTS.get(0),
            MUTANTS.get(1),
            MUTANTS.get(2),
            new Mutant(
                    "what was sent whole counts as half",
                    ATTEMPT,
                    "private AttemptState currentState()",
                    "state = state.fullySent();",
                    ""),
            new Mutant(
                    "no answer but a success proves anything but that nothing ran",
                    DIALECT,
                    "private Result verdict(",
                    "MeshHeaders.VERDICT_NOT_RUN.equals(headers.get(MeshHeaders.VERDICT))",
                    "answer.status().code() >= 500"),
            new Mutant(
                    "whatever answer comes is the one",
                    DIALECT,
                    "public boolean isResponseTo(",
                    "sentTryId != null && sentTryId.equals(answer.headers().get(MeshHeaders.TRY_ID))",
                    "true"),
            new Mutant(
                    "an answer that names no request is the one",
                    MATCH,
                    "static ResponseMatch of(",
                    "if (!dialect.identifiesRequest(head)) { return UNTRUSTED;",
                    "if (!dialect.identifiesRequest(head)) { return AWAITED;"),
            new Mutant(
                    "another upstream is named",
                    DIALECT,
                    "public void setHeaders(",
                    "headers.set(MeshHeaders.DELIVER_TO, to.name());",
                    "headers.set(MeshHeaders.DELIVER_TO, \"i-0\");"),
            new Mutant(
                    "the module refuses what may have run",
                    ATTEMPT_RULES,
                    "static boolean mayRefuse(",
                    "|| call.firstMaybeRun() == null",
                    "|| call.id > 0"),
            new Mutant(
                    "the module sends again what may have run",
                    ATTEMPT_RULES,
                    "static boolean mayGoTo(",
                    "if (first == null || ",
                    "if (call.id > 0 || "),
            new Mutant(
                    "what ended proves that it never ran",
                    "policy/Call",
                    "Attempt firstMaybeRun()",
                    "attempt.result == null || !attempt.result.neverRan()",
                    "attempt.result == null"),
            new Mutant(
                    "a reset proves that nothing ran",
                    "policy/LoadBalancer",
                    "public boolean neverRan()",
                    "this == FULL ||",
                    "this == FULL || this == RESET ||"),
            new Mutant(
                    "a time-out proves that nothing ran",
                    "policy/LoadBalancer",
                    "public boolean neverRan()",
                    "this == FULL ||",
                    "this == FULL || this == TIMEOUT ||"),
            new Mutant(
                    "a try goes to more upstreams than it may",
                    "dataplane/proxy/Exchange",
                    "boolean hasReachedServerLimit()",
                    "return maxServers > 0 && ",
                    "return maxServers < 0 && "),
            new Mutant(
                    "what must not run twice is begun before its turn",
                    FRONT,
                    "public boolean isRepeatable(",
                    "match != null && match.route().kind()" + " == Configuration.Kind.SAFE",
                    "match != null"),
            new Mutant(
                    "the caller is not named",
                    FRONT,
                    "public CheckedRequest read(",
                    "headers.set(MeshHeaders.CALLER, caller);",
                    ""),
            new Mutant(
                    "a request is given more time than its route has",
                    FRONT,
                    "public CheckedRequest read(",
                    "Math.min(route.timeoutMs(),",
                    "Math.max(route.timeoutMs(),"),
            new Mutant(
                    "a 503 that ran is passed on",
                    ANSWERS,
                    "private static boolean claimsNotRun(",
                    "case 408, 421, 429, 503 -> true;",
                    "case 408, 421, 429 -> true;"),
            new Mutant(
                    "the stamp stays with another status",
                    ANSWERS,
                    "static void writeHeaders(",
                    "response.headers().remove(MeshHeaders.POSTMARK).remove(MeshHeaders.NOT_RUN);",
                    ""),
            new Mutant(
                    "the verdict reaches a caller",
                    ANSWERS,
                    "static void writeHeaders(",
                    "response.headers().remove(MeshHeaders.VERDICT);",
                    ""),
            new Mutant(
                    "an attempt that is given up leaves its connection",
                    ATTEMPT,
                    "void abort(Event event)",
                    "channel.close();",
                    "connection.release(target);"),
            new Mutant(
                    "a connection with bytes behind its answer is kept",
                    "dataplane/http1/UpstreamConnection",
                    "private void complete(FullHttpResponse response)",
                    "&& !decoder.hasUnreadBytes()",
                    ""),
            new Mutant(
                    "what was sent behind the last answer is begun",
                    "dataplane/http1/CallerConnection",
                    "private void advance()",
                    "while (!current.isInProgress() && !responses.isClosing() && ",
                    "while (!current.isInProgress() && "));

    private ExchangeBench() {}

    /** What a search of the gate's hop has found: how many orders could be played, and those that broke. */
    public static List<String> search(int depth, int enough) throws InterruptedException {
        return new Search<>(List.of(Event.values()), events -> new ExchangePlay().play(events), depth, enough)
                .under(BEGINNINGS);
    }

    /** The same of the outbound hop. */
    public static List<String> searchOutbound(int depth, int enough) throws InterruptedException {
        return new Search<>(
                        List.of(OutboundPlay.Event.values()), events -> new OutboundPlay().play(events), depth, enough)
                .under(OUTBOUND_BEGINNINGS);
    }

    private static <E> List<E> with(List<E> events, E next) {
        List<E> longer = new ArrayList<>(events);
        longer.add(next);
        return longer;
    }

    /** All orders that can happen, one event longer each time: what can't happen is not gone on with. */
    private static final class Search<E> {
        private final List<E> all;
        private final Function<List<E>, List<String>> player;
        private final int depth;
        private final int enough;
        private final AtomicLong played = new AtomicLong();
        private final List<String> found = Collections.synchronizedList(new ArrayList<>());

        Search(List<E> all, Function<List<E>, List<String>> player, int depth, int enough) {
            this.all = all;
            this.player = player;
            this.depth = depth;
            this.enough = enough;
        }

        /** How many orders under these beginnings could be played, and then those that broke something. */
        List<String> under(List<List<E>> beginnings) throws InterruptedException {
            List<List<E>> firsts = new ArrayList<>();
            for (List<E> beginning : beginnings) {
                for (E event : all) {
                    firsts.add(with(beginning, event));
                }
            }
            AtomicInteger next = new AtomicInteger();
            List<Thread> players = new ArrayList<>();
            for (int i = 0; i < THREADS; i++) {
                players.add(new Thread(() -> {
                    for (int at = next.getAndIncrement(); at < firsts.size(); at = next.getAndIncrement()) {
                        below(firsts.get(at), 1);
                    }
                }));
            }
            Logs.Undo noContact = Logs.level(Level.OFF);
            try {
                players.forEach(Thread::start);
                for (Thread one : players) {
                    one.join();
                }
            } finally {
                noContact.close();
            }
            List<String> lines = new ArrayList<>(List.of(Long.toString(played.get())));
            lines.addAll(found);
            return lines;
        }

        private void below(List<E> events, int length) {
            if (found.size() >= enough || !play(events) || length >= depth) {
                return;
            }
            for (E event : all) {
                below(with(events, event), length + 1);
            }
        }

        /** Plays an order; whether it could happen and broke nothing. */
        private boolean play(List<E> events) {
            try {
                List<String> violations = player.apply(events);
                if (violations == null) {
                    return false;
                }
                played.incrementAndGet();
                if (violations.isEmpty()) {
                    return true;
                }
                found.add(events + ": " + violations.get(0));
            } catch (Exception | LinkageError | AssertionError e) {
                found.add(events + ": " + e);
            }
            return false;
        }
    }

    /** Prints what a search of the real classes has found; the number of orders that broke something. */
    private static int report(String hop, List<String> real, int depth) {
        real.stream().skip(1).limit(MAX_SHOWN).forEach(System.out::println);
        System.out.printf(
                Locale.ROOT,
                "%s: %s orders of up to %d events, %d violated%n",
                hop,
                real.get(0),
                depth + 2,
                real.size() - 1);
        return real.size() - 1;
    }

    /** How many of the faults a search finds. */
    private static int found(List<Mutant> mutants, String search, int depth) throws Exception {
        int found = 0;
        for (Mutant mutant : mutants) {
            MutantLoader loader = MutantLoader.of(mutant, Path.of("src/main/java"));
            List<?> by = (List<?>) loader.loadClass(ExchangeBench.class.getName())
                    .getMethod(search, int.class, int.class)
                    .invoke(null, depth, 1);
            found += by.size() > 1 ? 1 : 0;
            System.out.printf(
                    Locale.ROOT,
                    "%-52s %-28s %s%n",
                    mutant.name(),
                    mutant.in(),
                    by.size() > 1 ? by.get(1) : "NOT FOUND");
        }
        return found;
    }

    /** {@code [DEPTH [MUTANT-DEPTH]]}: how many events follow each beginning. */
    public static void main(String[] arguments) throws Exception {
        int depth = arguments.length > 0 ? Integer.parseInt(arguments[0]) : DEPTH;
        int mutantDepth = arguments.length > 1 ? Integer.parseInt(arguments[1]) : MUTANT_DEPTH;
        long begun = System.nanoTime();
        List<String> gate = search(depth, Integer.MAX_VALUE);
        int violations = report("gate", gate, depth);
        List<String> outbound = searchOutbound(depth, Integer.MAX_VALUE);
        violations += report("outbound", outbound, depth);
        int mutants = MUTANTS.size() + OUTBOUND_MUTANTS.size();
        int found = found(MUTANTS, "search", mutantDepth) + found(OUTBOUND_MUTANTS, "searchOutbound", mutantDepth);
        ObjectNode json = JsonMapper.builder().build().createObjectNode();
        json.put("schedules", Long.parseLong(gate.get(0)) + Long.parseLong(outbound.get(0)));
        json.put("schedules_gate", Long.parseLong(gate.get(0)));
        json.put("schedules_outbound", Long.parseLong(outbound.get(0)));
        json.put("depth", depth);
        json.put("violations", violations);
        json.put("mutants", mutants);
        json.put("mutants_found", found);
        json.put("seconds", Math.round((System.nanoTime() - begun) / 1e8) / 10.0);
        System.out.println(json);
        System.exit(violations == 0 && found == mutants ? 0 : 1);
    }
}
