package sablehinge.tools.audit.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.AuditRules.Group;
import sablehinge.tools.audit.judge.Breach.Rule;
import sablehinge.tools.audit.judge.Evidence.BalancerNote;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.ColdOverload;
import sablehinge.tools.audit.judge.Evidence.DuplicateAnswer;
import sablehinge.tools.audit.judge.Evidence.Echo;
import sablehinge.tools.audit.judge.Evidence.End;
import sablehinge.tools.audit.judge.Evidence.How;
import sablehinge.tools.audit.judge.Evidence.PartyEnded;
import sablehinge.tools.audit.judge.Evidence.ServerAttempt;
import sablehinge.tools.audit.judge.Evidence.ServerStateUpdate;

/**
 * Judges the four rules by what callers and servers saw. Evidence comes about in the order of time; what was seen of a
 * request is held until no more of it can come.
 */
public final class RuleChecker {

    /** Requests that are held at most; beyond it the oldest is judged early, and counted as such. */
    public static final int MAX_HELD = 1_000_000;

    private static final Comparator<Evidence> IN_ORDER =
            Comparator.comparingDouble(RuleChecker::begun).thenComparingDouble(Evidence::at);

    private final AuditRules terms;
    private final Consumer<Breach> breaches;
    private final int mostHeld;
    private final LinkedHashMap<String, Trace> traces = new LinkedHashMap<>();
    /** For each balancer and server what it was notified of, in order. */
    private final Map<String, Map<String, List<ServerStateUpdate>>> received = new HashMap<>();

    private final Map<String, Double> ended = new HashMap<>();
    private double newest = Double.NEGATIVE_INFINITY;
    private long requests;
    private long unexplained;
    private long early;

    /** What was seen of one request. */
    private static final class Trace {
        final List<Evidence> seen = new ArrayList<>(3);
        double last = Double.NEGATIVE_INFINITY;
    }

    /** A judge by the given terms, who hands over each breach once it is sure. */
    public RuleChecker(AuditRules terms, Consumer<Breach> breaches) {
        this(terms, breaches, MAX_HELD);
    }

    RuleChecker(AuditRules terms, Consumer<Breach> breaches, int mostHeld) {
        this.terms = terms;
        this.breaches = breaches;
        this.mostHeld = mostHeld;
    }

    /** Takes what a party saw. */
    public void take(Evidence one) {
        newest = Math.max(newest, one.at());
        if (one instanceof ServerStateUpdate now) {
            received(now);
        } else if (one instanceof PartyEnded end) {
            ended.merge(end.party(), end.at(), Math::min);
        } else if (one instanceof ColdOverload fell) {
            if (fell.informed() >= 2.0 / 3) {
                breaches.accept(new Breach(
                        Rule.COLD,
                        fell.server(),
                        "the cold server " + fell.server() + " was pushed over by balancers that knew that it was cold",
                        List.of(fell)));
            }
        } else {
            keep(txn(one), one);
        }
        expire();
    }

    private static String txn(Evidence one) {
        if (one instanceof ClientAttempt tried) {
            return tried.txn();
        }
        if (one instanceof ServerAttempt ran) {
            return ran.txn();
        }
        return one instanceof DuplicateAnswer unasked ? unasked.txn() : ((BalancerNote) one).txn();
    }

    private static double begun(Evidence one) {
        if (one instanceof ClientAttempt tried) {
            return Double.isNaN(tried.sent()) ? tried.at() : tried.sent();
        }
        return one instanceof ServerAttempt ran ? ran.begun() : one.at();
    }

    private void keep(String txn, Evidence one) {
        // At the end again: the traces are in the order of their last evidence.
        Trace trace = traces.remove(txn);
        if (trace == null) {
            trace = new Trace();
        }
        trace.seen.add(one);
        trace.last = newest;
        traces.put(txn, trace);
    }

    private void expire() {
        Iterator<Map.Entry<String, Trace>> oldest = traces.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Trace> entry = oldest.next();
            boolean full = traces.size() > mostHeld;
            if (!full && entry.getValue().last >= newest - terms.hold()) {
                return;
            }
            early += full ? 1 : 0;
            oldest.remove();
            judge(entry.getKey(), entry.getValue().seen);
        }
    }

    /** Judges what is held still: no more evidence comes. */
    public void end() {
        traces.forEach((txn, trace) -> judge(txn, trace.seen));
        traces.clear();
    }

    /** Tries that were judged. */
    public long requests() {
        return requests;
    }

    /** Requests of which one party has a trace and another, whose record ought to be complete, has none. */
    public long unexplained() {
        return unexplained;
    }

    /** Requests that had to be judged before all of their evidence may have come. */
    public long early() {
        return early;
    }

    int held() {
        return traces.size();
    }

    // ---- Drains ------------------------------------------------------------------------------------

    private void received(ServerStateUpdate now) {
        received.computeIfAbsent(now.balancer(), name -> new HashMap<>())
                .computeIfAbsent(now.server(), name -> new ArrayList<>())
                .add(now);
    }

    private void drain(ServerAttempt ran, List<Evidence> seen) {
        ServerStateUpdate off = null;
        for (ServerStateUpdate one :
                received.getOrDefault(ran.balancer(), Map.of()).getOrDefault(ran.server(), List.of())) {
            if (one.at() <= ran.begun()) {
                // Draining, then gone: the first counts.
                off = one.state().equals("up") ? null : off == null ? one : off;
            }
        }
        if (off != null && ran.begun() > off.at() + terms.drainGrace()) {
            List<Evidence> all = new ArrayList<>(seen);
            all.add(off);
            breach(
                    Rule.DRAIN,
                    ran.txn(),
                    String.format(
                            Locale.ROOT,
                            "%s sent to %s %.0f ms after it was told that this is %s",
                            ran.balancer(),
                            ran.server(),
                            ran.begun() - off.at(),
                            off.state()),
                    all);
        }
    }

    // ---- One request -------------------------------------------------------------------------------

    private void judge(String txn, List<Evidence> seen) {
        ClientAttempt tried = null;
        List<ServerAttempt> attempts = new ArrayList<>(2);
        for (Evidence one : seen) {
            if (one instanceof ClientAttempt last) {
                // A caller that sends once more on a new connection, as it may, leaves two: the last counts.
                tried = tried == null || last.at() >= tried.at() ? last : tried;
            } else if (one instanceof ServerAttempt ran) {
                attempts.add(ran);
            } else if (one instanceof DuplicateAnswer unasked) {
                breach(Rule.ANSWER, txn, unasked.balancer() + " answered it twice", seen);
            }
        }
        attempts.sort(Comparator.comparingDouble(ServerAttempt::begun));
        attempts.forEach(ran -> drain(ran, seen));
        if (tried == null) {
            unexplained += terms.callersComplete() && !attempts.isEmpty() ? 1 : 0;
            return;
        }
        requests++;
        answer(tried, attempts, seen);
        ClassTerms type = terms.classes().get(tried.serviceClass());
        if (type != null) {
            effect(tried, type, attempts, seen);
        }
    }

    private void answer(ClientAttempt tried, List<ServerAttempt> attempts, List<Evidence> seen) {
        String txn = tried.txn();
        double latest = tried.until() + terms.answerGrace();
        switch (tried.end()) {
            case SILENT -> {
                if (!Double.isNaN(tried.sent()) && tried.at() > latest && !endedWith(tried)) {
                    breach(Rule.ANSWER, txn, tried.balancer() + " never answered it", seen);
                }
            }
            case BROKEN -> {
                if (!Double.isNaN(tried.sent()) && !endedWith(tried)) {
                    breach(Rule.ANSWER, txn, tried.balancer() + " ended its connection without an answer", seen);
                }
            }
            case ANSWERED -> {
                if (tried.answered() > latest) {
                    breach(
                            Rule.ANSWER,
                            txn,
                            String.format(
                                    Locale.ROOT,
                                    "%s answered %.0f ms after its time was up",
                                    tried.balancer(),
                                    tried.answered() - tried.until()),
                            seen);
                }
                if (tried.status() == 200 && tried.echo() == Echo.OTHER) {
                    breach(Rule.ANSWER, txn, tried.balancer() + " served it with what no server made for it", seen);
                } else if (tried.status() == 200
                        && terms.serversComplete()
                        && attempts.stream().noneMatch(ran -> ran.how() == How.SERVED)) {
                    unexplained++;
                }
                for (ServerAttempt ran : attempts) {
                    if (ran.begun() > tried.answered() + terms.slack()) {
                        breach(
                                Rule.ANSWER,
                                txn,
                                tried.balancer() + " sent it to " + ran.server() + " after it had been answered",
                                seen);
                    }
                }
            }
            default -> {}
        }
    }

    /**
     * Whether the balancer that had it ended while it did; who is killed may lose what it holds. Its end is noted
     * before it is killed, so that one that comes later excuses nothing.
     */
    private boolean endedWith(ClientAttempt tried) {
        Double at = ended.get(tried.balancer());
        return at != null && at <= tried.at();
    }

    private void effect(ClientAttempt tried, ClassTerms type, List<ServerAttempt> attempts, List<Evidence> seen) {
        if (type.effect() == Effect.SAFE) {
            return;
        }
        for (int i = 1; i < attempts.size(); i++) {
            ServerAttempt ran = attempts.get(i);
            for (ServerAttempt before : attempts.subList(0, i)) {
                // A request whose last byte was never written can't run, which who wrote it knows at once;
                // that
                // one was rejected is known once it was.
                boolean possible =
                        before.how().mayHaveRun() || before.how() == How.TURNED_AWAY && before.at() > ran.begun();
                if (possible
                        && !(type.effect() == Effect.KEYED
                                && inGroup(type.group(), before, ran)
                                && ran.begun() <= before.begun() + type.window() + terms.slack())) {
                    breach(
                            Rule.EFFECT,
                            tried.txn(),
                            tried.balancer() + " sent it to " + ran.server()
                                    + (ran.begun() < before.at()
                                            ? " while it was out at "
                                            : " though it may have run at ")
                                    + before.server()
                                    + (type.effect() == Effect.KEYED
                                            ? ", outside the group or the window that drops repeats"
                                            : ""),
                            seen);
                    return;
                }
            }
        }
        boolean refused = tried.end() == End.ANSWERED && (tried.status() == 429 || tried.status() == 503);
        if (refused && !(type.effect() == Effect.KEYED && type.group() == Group.ALL)) {
            attempts.stream()
                    .filter(ran -> ran.how().mayHaveRun())
                    .findFirst()
                    .ifPresent(ran -> breach(
                            Rule.EFFECT,
                            tried.txn(),
                            tried.balancer() + " refused it though it may have run at " + ran.server(),
                            seen));
        }
    }

    private static boolean inGroup(Group group, ServerAttempt one, ServerAttempt other) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> one.zone().equals(other.zone());
            case CELL -> one.cell() == other.cell();
        };
    }

    private void breach(Rule rule, String txn, String what, List<Evidence> seen) {
        List<Evidence> timeline = new ArrayList<>(seen);
        timeline.sort(IN_ORDER);
        breaches.accept(new Breach(rule, txn, what, List.copyOf(timeline)));
    }
}
