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
import sablehinge.rig.Logs;
import sablehinge.torture.ExchangePlay.Event;

/**
 * Plays all orders of events on the connections of a gate, to a stated depth, and then the same on copies of
 * the real classes with one fault each, which must all be found.
 */
public final class ExchangeBench {

    private static final int DEPTH = 4;
    private static final int MUTANT_DEPTH = 3;
    private static final int THREADS = 4;
    private static final int MOST_SHOWN = 20;
    private static final String STATE = "core/AttemptState";
    private static final String CLIENT = "http1/UpstreamClient";
    private static final String DIALECT = "sidecar/MeshUpstream";
    private static final String ANSWERS = "sidecar/MeshAnswers";

    /** What each order begins with: a request at the upstream, one that was served, and an upload. */
    private static final List<List<Event>> BEGINNINGS = List.of(List.of(Event.CALL),
            List.of(Event.CALL, Event.ANSWER), List.of(Event.UPLOAD_HALF));

    /** All faults. */
    static final List<Mutant> MUTANTS = List.of(
            new Mutant("a connection that ends proves that nothing ran", STATE, "",
                    "case WRITE_FAILED, CONNECTION_ENDED -> mayHaveRun() ? Result.RESET : ",
                    "case WRITE_FAILED, CONNECTION_ENDED -> "),
            new Mutant("a deadline proves that nothing ran", STATE, "",
                    "case DEADLINE -> mayHaveRun() ? Result.TIMEOUT : ", "case DEADLINE -> "),
            new Mutant("a spoilt answer proves that nothing ran", STATE, "",
                    "case MALFORMED_ANSWER -> mayHaveRun() ? Result.ERROR : ", "case MALFORMED_ANSWER -> "),
            new Mutant("a success before the request is whole counts", STATE, "case SERVED_ANSWER",
                    "this == SENT || this == ANSWERING ? Result.OK : Result.ERROR", "Result.OK"),
            new Mutant("what was sent whole counts as half", STATE, "public AttemptState wholeSent()",
                    "case UNSENT, PARTLY_SENT, SENT -> SENT;", "case UNSENT, PARTLY_SENT, SENT -> this;"),
            new Mutant("an answer to half a request proves nothing", STATE,
                    "public AttemptState answerBegins()", "-> ANSWERED_EARLY;", "-> this;"),
            new Mutant("whatever answer comes is the one", DIALECT, "public boolean answers(",
                    "asked == null || given == null || asked.equals(given)", "true"),
            new Mutant("any 503 is a refusal", DIALECT, "private Result verdict(",
                    "headers.contains(MeshHeaders.NOT_RUN)", "answer.status().code() == 503"),
            new Mutant("a success needs no stamp", DIALECT, "private Result verdict(",
                    "&& headers.contains(MeshHeaders.STAMP) ", ""),
            new Mutant("an answer that names no request is the one", DIALECT, "public boolean isNamed(",
                    "answer.headers().contains(MeshHeaders.TRY)", "true"),
            new Mutant("a 503 that ran is passed on", ANSWERS, "private static boolean promises(",
                    "case 408, 421, 429, 503 -> true;", "case 408, 421, 429 -> true;"),
            new Mutant("the stamp stays with another status", ANSWERS, "static void dress(",
                    "response.headers().remove(MeshHeaders.STAMP).remove(MeshHeaders.NOT_RUN);", ""),
            new Mutant("the gate refuses what may have run", "admission/AdmissionController",
                    "public void attemptFinished", "if (outcome.result().neverRan()) {",
                    "if (outcome.result() != null) {"),
            new Mutant("every answer of our own proves that nothing ran", "sidecar/InboundFront",
                    "public void dress(", "answer == null || answer.kind() == Answer.Kind.REFUSED",
                    "answer == null || answer.kind() != Answer.Kind.SERVED"),
            new Mutant("a connection with bytes behind its answer is kept", CLIENT,
                    "private void whole(FullHttpResponse response, boolean delimited)",
                    "&& !decoder.holdsMore()", ""),
            new Mutant("an attempt that is given up leaves its connection", CLIENT,
                    "private void giveUp(Event event)", "channel.close();", "connection.park(target);"));

    private ExchangeBench() {
    }

    /** What a search has found: how many orders could be played, and those that broke something. */
    public static List<String> search(int depth, int enough) throws InterruptedException {
        Search search = new Search(depth, enough);
        List<List<Event>> firsts = new ArrayList<>();
        for (List<Event> beginning : BEGINNINGS) {
            for (Event event : Event.values()) {
                firsts.add(with(beginning, event));
            }
        }
        AtomicInteger next = new AtomicInteger();
        List<Thread> players = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            players.add(new Thread(() -> {
                for (int at = next.getAndIncrement(); at < firsts.size(); at = next.getAndIncrement()) {
                    search.below(firsts.get(at), 1);
                }
            }));
        }
        Logs.Undo silence = Logs.level(Level.OFF);
        try {
            players.forEach(Thread::start);
            for (Thread player : players) {
                player.join();
            }
        } finally {
            silence.close();
        }
        List<String> lines = new ArrayList<>(List.of(Long.toString(search.played.get())));
        lines.addAll(search.found);
        return lines;
    }

    private static List<Event> with(List<Event> events, Event next) {
        List<Event> longer = new ArrayList<>(events);
        longer.add(next);
        return longer;
    }

    /** All orders that can happen, one event longer each time: what can't happen is not gone on with. */
    private static final class Search {
        private final int depth;
        private final int enough;
        private final AtomicLong played = new AtomicLong();
        private final List<String> found = Collections.synchronizedList(new ArrayList<>());

        Search(int depth, int enough) {
            this.depth = depth;
            this.enough = enough;
        }

        void below(List<Event> events, int length) {
            if (found.size() >= enough || !play(events) || length >= depth) {
                return;
            }
            for (Event event : Event.values()) {
                below(with(events, event), length + 1);
            }
        }

        /** Plays an order; whether it could happen and broke nothing. */
        private boolean play(List<Event> events) {
            try {
                List<String> violations = new ExchangePlay().play(events);
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

    /** {@code [DEPTH [MUTANT-DEPTH]]}: how many events follow each beginning. */
    public static void main(String[] arguments) throws Exception {
        int depth = arguments.length > 0 ? Integer.parseInt(arguments[0]) : DEPTH;
        int mutantDepth = arguments.length > 1 ? Integer.parseInt(arguments[1]) : MUTANT_DEPTH;
        long begun = System.nanoTime();
        List<String> real = search(depth, Integer.MAX_VALUE);
        long schedules = Long.parseLong(real.get(0));
        real.stream().skip(1).limit(MOST_SHOWN).forEach(System.out::println);
        System.out.printf(Locale.ROOT, "%d orders of up to %d events, %d violated%n", schedules, depth + 2,
                real.size() - 1);
        int found = 0;
        for (Mutant mutant : MUTANTS) {
            MutantLoader loader = MutantLoader.of(mutant, Path.of("src/main/java"));
            List<?> by = (List<?>) loader.loadClass(ExchangeBench.class.getName())
                    .getMethod("search", int.class, int.class).invoke(null, mutantDepth, 1);
            found += by.size() > 1 ? 1 : 0;
            System.out.printf(Locale.ROOT, "%-52s %-28s %s%n", mutant.name(), mutant.in(),
                    by.size() > 1 ? by.get(1) : "NOT FOUND");
        }
        ObjectNode json = JsonMapper.builder().build().createObjectNode();
        json.put("schedules", schedules);
        json.put("depth", depth);
        json.put("violations", real.size() - 1);
        json.put("mutants", MUTANTS.size());
        json.put("mutants_found", found);
        json.put("seconds", Math.round((System.nanoTime() - begun) / 1e8) / 10.0);
        System.out.println(json);
        System.exit(real.size() == 1 && found == MUTANTS.size() ? 0 : 1);
    }
}
