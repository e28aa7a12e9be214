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
 * Checks the four rules against the evidence of callers and servers. Evidence must arrive approximately in time order;
 * the evidence of a request is retained until no more of it can arrive.
 */
public final class RuleChecker {

    /** Maximum number of requests retained; beyond it the oldest request is checked early and counted as such. */
    public static final int MAX_TRACES = 1_000_000;

    private static final Comparator<Evidence> BY_TIME =
            Comparator.comparingDouble(RuleChecker::startOf).thenComparingDouble(Evidence::at);

    private final AuditRules rules;
    private final Consumer<Breach> breaches;
    private final int maxTraces;
    private final LinkedHashMap<String, Trace> traces = new LinkedHashMap<>();
    /** The state updates received by each balancer for each server, in order. */
    private final Map<String, Map<String, List<ServerStateUpdate>>> stateUpdates = new HashMap<>();

    private final Map<String, Double> ended = new HashMap<>();
    private double latestAt = Double.NEGATIVE_INFINITY;
    private long requests;
    private long unexplained;
    private long checkedEarly;

    /** The evidence of one request. */
    private static final class Trace {
        final List<Evidence> evidence = new ArrayList<>(3);
        double lastAt = Double.NEGATIVE_INFINITY;
    }

    /** Creates a checker that passes each breach to the consumer once it is certain. */
    public RuleChecker(AuditRules rules, Consumer<Breach> breaches) {
        this(rules, breaches, MAX_TRACES);
    }

    RuleChecker(AuditRules rules, Consumer<Breach> breaches, int maxTraces) {
        this.rules = rules;
        this.breaches = breaches;
        this.maxTraces = maxTraces;
    }

    /** Adds the evidence of a party. */
    public void add(Evidence item) {
        latestAt = Math.max(latestAt, item.at());
        if (item instanceof ServerStateUpdate update) {
            addStateUpdate(update);
        } else if (item instanceof PartyEnded end) {
            ended.merge(end.party(), end.at(), Math::min);
        } else if (item instanceof ColdOverload overload) {
            if (overload.informed() >= 2.0 / 3) {
                breaches.accept(new Breach(
                        Rule.COLD,
                        overload.server(),
                        "the cold server " + overload.server()
                                + " was pushed over by balancers that knew that it was cold",
                        List.of(overload)));
            }
        } else {
            addToTrace(txnOf(item), item);
        }
        checkExpired();
    }

    private static String txnOf(Evidence item) {
        if (item instanceof ClientAttempt clientAttempt) {
            return clientAttempt.txn();
        }
        if (item instanceof ServerAttempt serverAttempt) {
            return serverAttempt.txn();
        }
        return item instanceof DuplicateAnswer duplicate ? duplicate.txn() : ((BalancerNote) item).txn();
    }

    private static double startOf(Evidence item) {
        if (item instanceof ClientAttempt clientAttempt) {
            return Double.isNaN(clientAttempt.sent()) ? clientAttempt.at() : clientAttempt.sent();
        }
        return item instanceof ServerAttempt serverAttempt ? serverAttempt.begun() : item.at();
    }

    private void addToTrace(String txn, Evidence item) {
        // Reinserted at the end: the traces are ordered by the arrival of their last evidence.
        Trace trace = traces.remove(txn);
        if (trace == null) {
            trace = new Trace();
        }
        trace.evidence.add(item);
        trace.lastAt = latestAt;
        traces.put(txn, trace);
    }

    private void checkExpired() {
        Iterator<Map.Entry<String, Trace>> oldest = traces.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Trace> entry = oldest.next();
            boolean full = traces.size() > maxTraces;
            if (!full && entry.getValue().lastAt >= latestAt - rules.hold()) {
                return;
            }
            checkedEarly += full ? 1 : 0;
            oldest.remove();
            check(entry.getKey(), entry.getValue().evidence);
        }
    }

    /** Checks all retained requests; no more evidence may be added. */
    public void end() {
        traces.forEach((txn, trace) -> check(txn, trace.evidence));
        traces.clear();
    }

    /** The number of client attempts that were checked. */
    public long requests() {
        return requests;
    }

    /** Requests that one party recorded and another party, whose record should be complete, did not. */
    public long unexplained() {
        return unexplained;
    }

    /** Requests that were checked before all of their evidence may have arrived. */
    public long checkedEarly() {
        return checkedEarly;
    }

    int traceCount() {
        return traces.size();
    }

    // ---- Draining servers ------------------------------------------------------------------------------------

    private void addStateUpdate(ServerStateUpdate update) {
        stateUpdates
                .computeIfAbsent(update.balancer(), name -> new HashMap<>())
                .computeIfAbsent(update.server(), name -> new ArrayList<>())
                .add(update);
    }

    private void checkDrain(ServerAttempt serverAttempt, List<Evidence> evidence) {
        ServerStateUpdate offline = null;
        for (ServerStateUpdate update : stateUpdates
                .getOrDefault(serverAttempt.balancer(), Map.of())
                .getOrDefault(serverAttempt.server(), List.of())) {
            if (update.at() <= serverAttempt.begun()) {
                // Of draining and a later removal, the first counts.
                offline = update.state().equals("up") ? null : offline == null ? update : offline;
            }
        }
        if (offline != null && serverAttempt.begun() > offline.at() + rules.drainGrace()) {
            List<Evidence> all = new ArrayList<>(evidence);
            all.add(offline);
            breach(
                    Rule.DRAIN,
                    serverAttempt.txn(),
                    String.format(
                            Locale.ROOT,
                            "%s sent to %s %.0f ms after it was told that this is %s",
                            serverAttempt.balancer(),
                            serverAttempt.server(),
                            serverAttempt.begun() - offline.at(),
                            offline.state()),
                    all);
        }
    }

    // ---- One request -------------------------------------------------------------------------------

    private void check(String txn, List<Evidence> evidence) {
        ClientAttempt clientAttempt = null;
        List<ServerAttempt> attempts = new ArrayList<>(2);
        for (Evidence item : evidence) {
            if (item instanceof ClientAttempt last) {
                // A caller that resends on a new connection, which is allowed, leaves two records: the last counts.
                clientAttempt = clientAttempt == null || last.at() >= clientAttempt.at() ? last : clientAttempt;
            } else if (item instanceof ServerAttempt serverAttempt) {
                attempts.add(serverAttempt);
            } else if (item instanceof DuplicateAnswer duplicate) {
                breach(Rule.ANSWER, txn, duplicate.balancer() + " answered it twice", evidence);
            }
        }
        attempts.sort(Comparator.comparingDouble(ServerAttempt::begun));
        attempts.forEach(serverAttempt -> checkDrain(serverAttempt, evidence));
        if (clientAttempt == null) {
            unexplained += rules.callersComplete() && !attempts.isEmpty() ? 1 : 0;
            return;
        }
        requests++;
        checkAnswer(clientAttempt, attempts, evidence);
        ClassTerms type = rules.classes().get(clientAttempt.serviceClass());
        if (type != null) {
            checkEffect(clientAttempt, type, attempts, evidence);
        }
    }

    private void checkAnswer(ClientAttempt clientAttempt, List<ServerAttempt> attempts, List<Evidence> evidence) {
        String txn = clientAttempt.txn();
        double latest = clientAttempt.until() + rules.answerGrace();
        switch (clientAttempt.end()) {
            case SILENT -> {
                if (!Double.isNaN(clientAttempt.sent()) && clientAttempt.at() > latest && !endedWith(clientAttempt)) {
                    breach(Rule.ANSWER, txn, clientAttempt.balancer() + " never answered it", evidence);
                }
            }
            case BROKEN -> {
                if (!Double.isNaN(clientAttempt.sent()) && !endedWith(clientAttempt)) {
                    breach(
                            Rule.ANSWER,
                            txn,
                            clientAttempt.balancer() + " ended its connection without an answer",
                            evidence);
                }
            }
            case ANSWERED -> {
                if (clientAttempt.answered() > latest) {
                    breach(
                            Rule.ANSWER,
                            txn,
                            String.format(
                                    Locale.ROOT,
                                    "%s answered %.0f ms after its time was up",
                                    clientAttempt.balancer(),
                                    clientAttempt.answered() - clientAttempt.until()),
                            evidence);
                }
                if (clientAttempt.status() == 200 && clientAttempt.echo() == Echo.OTHER) {
                    breach(
                            Rule.ANSWER,
                            txn,
                            clientAttempt.balancer() + " served it with what no server made for it",
                            evidence);
                } else if (clientAttempt.status() == 200
                        && rules.serversComplete()
                        && attempts.stream().noneMatch(serverAttempt -> serverAttempt.how() == How.SERVED)) {
                    unexplained++;
                }
                for (ServerAttempt serverAttempt : attempts) {
                    if (serverAttempt.begun() > clientAttempt.answered() + rules.slack()) {
                        breach(
                                Rule.ANSWER,
                                txn,
                                clientAttempt.balancer() + " sent it to " + serverAttempt.server()
                                        + " after it had been answered",
                                evidence);
                    }
                }
            }
            default -> {}
        }
    }

    /**
     * Whether the balancer ended before the attempt did: a killed balancer may lose its in-flight requests. The end is
     * recorded before the balancer is killed, so an end recorded after the attempt excuses nothing.
     */
    private boolean endedWith(ClientAttempt clientAttempt) {
        Double at = ended.get(clientAttempt.balancer());
        return at != null && at <= clientAttempt.at();
    }

    private void checkEffect(
            ClientAttempt clientAttempt, ClassTerms type, List<ServerAttempt> attempts, List<Evidence> evidence) {
        if (type.effect() == Effect.SAFE) {
            return;
        }
        for (int i = 1; i < attempts.size(); i++) {
            ServerAttempt serverAttempt = attempts.get(i);
            for (ServerAttempt earlier : attempts.subList(0, i)) {
                // The balancer knows at once that a request whose last byte it never wrote can't have run; it knows
                // that a request was rejected only once the rejection has arrived.
                boolean earlierMayHaveRun = earlier.how().mayHaveRun()
                        || earlier.how() == How.TURNED_AWAY && earlier.at() > serverAttempt.begun();
                if (earlierMayHaveRun
                        && !(type.effect() == Effect.KEYED
                                && inGroup(type.group(), earlier, serverAttempt)
                                && serverAttempt.begun() <= earlier.begun() + type.window() + rules.slack())) {
                    breach(
                            Rule.EFFECT,
                            clientAttempt.txn(),
                            clientAttempt.balancer() + " sent it to " + serverAttempt.server()
                                    + (serverAttempt.begun() < earlier.at()
                                            ? " while it was out at "
                                            : " though it may have run at ")
                                    + earlier.server()
                                    + (type.effect() == Effect.KEYED
                                            ? ", outside the group or the window that drops repeats"
                                            : ""),
                            evidence);
                    return;
                }
            }
        }
        boolean refused =
                clientAttempt.end() == End.ANSWERED && (clientAttempt.status() == 429 || clientAttempt.status() == 503);
        if (refused && !(type.effect() == Effect.KEYED && type.group() == Group.ALL)) {
            attempts.stream()
                    .filter(serverAttempt -> serverAttempt.how().mayHaveRun())
                    .findFirst()
                    .ifPresent(serverAttempt -> breach(
                            Rule.EFFECT,
                            clientAttempt.txn(),
                            clientAttempt.balancer() + " refused it though it may have run at "
                                    + serverAttempt.server(),
                            evidence));
        }
    }

    private static boolean inGroup(Group group, ServerAttempt first, ServerAttempt second) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> first.zone().equals(second.zone());
            case CELL -> first.cell() == second.cell();
        };
    }

    private void breach(Rule rule, String txn, String what, List<Evidence> evidence) {
        List<Evidence> timeline = new ArrayList<>(evidence);
        timeline.sort(BY_TIME);
        breaches.accept(new Breach(rule, txn, what, List.copyOf(timeline)));
    }
}
