package sablehinge.dataplane.budget;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The budgets of one hop: which calls are taken in, how much each of their attempts may spend further down, and what is
 * left once it has come back. All calls that a server makes for one attempt of the tier above draw on one budget, so
 * that a fan-out does not multiply what they may spend. An attempt is granted a part of the budget, which is gone until
 * a report says what was spent of it; without a report it is spent. So the attempts at the last tier never exceed what
 * the first hop was given, whatever is lost on the way.
 */
public final class AttemptBudgets {

    /** Why a call is not taken in. */
    public enum Refusal {
        /** Its time is gone, or would be on the way. */
        DEAD,
        /** It has come back to a service on its own path. */
        LOOP,
        /** Nothing is left to spend for it. */
        SPENT,
        /** So many budgets are at work that one more can't be remembered. */
        FULL
    }

    /** What calls of one grant draw on. */
    private static final class AttemptBudget {
        final long grant;
        final double deadline;
        int left;
        int spent;
        /** Calls that are not over. */
        int open;
        /** Calls to which a first attempt is still owed, and grants that are out. */
        int owed;

        int out;

        AttemptBudget(long grant, double deadline, int left, int calls) {
            this.grant = grant;
            this.deadline = deadline;
            this.left = left;
            owed = calls;
        }
    }

    /** A call that was taken in. */
    public final class Call {
        private final AttemptBudget budget;
        private final double deadline;
        private final double value;
        private final List<Long> path;
        private boolean first = true;
        private int tries;
        private boolean again = true;
        private boolean closed;

        private Call(AttemptBudget budget, double deadline, double value, List<Long> path) {
            this.budget = budget;
            this.deadline = deadline;
            this.value = value;
            this.path = path;
        }

        /** When its answer must have begun its way back, in ms of the caller's clock. */
        public double deadline() {
            return deadline;
        }

        /** Its value within the operator's bound. */
        public double value() {
            return value;
        }

        /** The most attempts that there can be for it here, if each spends as little as it can. */
        public int maxAttempts() {
            return Math.max(1, budget.left - Math.max(0, budget.owed - 1) * terms.need());
        }

        /**
         * Attempts that may still be made for it here: a first one with whatever there is, others with what they may
         * need, once each of the calls that are still expected has its first.
         */
        public int attempts() {
            int others = budget.owed - (first ? 1 : 0);
            int free = Math.max(0, budget.left - others * terms.need());
            return !again || budget.left < 1 ? 0 : Math.max(first ? 1 : 0, free / terms.need());
        }
    }

    /** An attempt's part of a budget. */
    public final class Grant {
        private final Call call;
        private final int attempts;
        private final long id;
        private boolean settled;

        private Grant(Call call, int attempts, long id) {
            this.call = call;
            this.attempts = attempts;
            this.id = id;
        }

        /** How many attempts at the last tier it covers. */
        public int attempts() {
            return attempts;
        }

        /** The budget of the attempt, written at the given time; null if too little time is left for that. */
        public Budget budget(double now) {
            double left = call.deadline - now - terms.wire();
            return left <= 0 ? null : new Budget(id, attempts, Math.min(Budget.MAX_MS, left), call.value, call.path);
        }
    }

    /** What becomes of a call that has come: the call, or why not and what goes back with that. */
    public record Admission(Call call, Refusal refusal, List<Long> path, Report report) {}

    private final BudgetSettings terms;
    private final long service;
    private final SplittableRandom random;
    /** Those that were granted above, in the order of their last use, the longest ago first. */
    private final Map<Long, AttemptBudget> attemptBudgets = new LinkedHashMap<>();

    private final Map<HeaderText.Kind, Long> read = new LinkedHashMap<>();

    /** The budgets of a hop that stands for a service; the seed names its grants. */
    public AttemptBudgets(BudgetSettings terms, long service, long seed) {
        this.terms = terms;
        this.service = service;
        random = new SplittableRandom(seed);
    }

    /** How many grants are remembered. */
    public int size() {
        return attemptBudgets.size();
    }

    /** How many calls came with a budget that was read, and so on. */
    public Map<HeaderText.Kind, Long> read() {
        return Collections.unmodifiableMap(read);
    }

    /**
     * A call has come.
     *
     * @param now in ms of a clock that never goes back
     * @param found its header
     * @param entry whether it is a client's, which has no budget and is not trusted with one
     * @param remaining time in ms that its caller says it waits
     * @param waited for how long it may have lain here before it was read: a pause of this process makes no time
     * @param value of its class, for a call that has none
     */
    public Admission admit(
            double now, HeaderText.Found<Budget> found, boolean entry, double remaining, double waited, double value) {
        read.merge(found.kind(), 1L, Long::sum);
        Budget carried = entry ? null : found.value();
        List<Long> path = carried == null ? List.of() : carried.path();
        long passed = path.stream().filter(hop -> hop == service).count();
        List<Long> here = new ArrayList<>(path);
        here.add(service);
        if (passed > terms.reentries() || path.size() >= Budget.MAX_HOPS) {
            return refuse(Refusal.LOOP, here, carried, null);
        }
        double time = Math.min(remaining, terms.remaining());
        if (carried != null) {
            time = Math.min(time, carried.remaining());
        }
        double deadline = now + time - Math.max(0, waited) - terms.margin();
        AttemptBudget budget = carried == null ? null : attemptBudgets.remove(carried.grant());
        if (budget == null) {
            if (deadline <= now) {
                return refuse(Refusal.DEAD, here, carried, null);
            }
            if (carried != null && attemptBudgets.size() >= terms.attemptBudgets() && !forget(now)) {
                return refuse(Refusal.FULL, here, carried, null);
            }
            int given = entry
                    ? terms.attempts()
                    : carried == null ? terms.unknown() : Math.min(terms.attempts(), carried.attempts());
            long grant = carried == null ? random.nextLong() : carried.grant();
            // Whoever makes one call for each client's request owes no others their first attempt.
            budget = new AttemptBudget(grant, deadline, given, entry || carried == null ? 1 : terms.calls());
        } else {
            deadline = Math.min(deadline, budget.deadline);
        }
        if (carried != null) {
            // Of a call that has none no other can draw on its budget.
            attemptBudgets.put(budget.grant, budget);
        }
        if (deadline <= now) {
            return refuse(Refusal.DEAD, here, carried, budget);
        }
        if (budget.left < 1) {
            return refuse(Refusal.SPENT, here, carried, budget);
        }
        budget.open++;
        budget.owed = Math.max(1, budget.owed);
        double bounded = Math.min(terms.value(), carried == null ? value : carried.value());
        return new Admission(new Call(budget, deadline, bounded, here), null, here, null);
    }

    private static Admission refuse(Refusal why, List<Long> path, Budget carried, AttemptBudget budget) {
        return new Admission(
                null,
                why,
                path,
                carried == null
                        ? null
                        : new Report(carried.grant(), budget == null ? 0 : budget.spent, why == Refusal.FULL));
    }

    /** Makes room by one grant under which no call is open, those that no more can come of first. */
    private boolean forget(double now) {
        Iterator<AttemptBudget> all = attemptBudgets.values().iterator();
        while (all.hasNext()) {
            AttemptBudget budget = all.next();
            if (budget.open == 0 && budget.out == 0 && budget.deadline <= now) {
                all.remove();
                return true;
            }
        }
        return false;
    }

    /**
     * Takes a part for an attempt; null if there is none, or no time for it to be of use.
     *
     * @param resendable whether another attempt may follow one that may have run
     * @param least time in ms that the tier below needs at the least
     */
    public Grant grant(Call call, double now, boolean resendable, double least) {
        if (call.closed || call.attempts() < 1 || call.deadline - now - terms.wire() <= Math.max(0, least)) {
            return null;
        }
        AttemptBudget budget = call.budget;
        if (call.first) {
            call.first = false;
            budget.owed = Math.max(0, budget.owed - 1);
        }
        int need = Math.min(terms.need(), budget.left);
        int free = Math.max(need, budget.left - budget.owed * terms.need());
        int part = terms.last() ? 1 : Math.max(need, free - (resendable ? (int) (free * terms.kept()) : 0));
        call.tries++;
        budget.left -= part;
        budget.spent += part;
        budget.out++;
        return new Grant(call, part, random.nextLong());
    }

    /** The attempt never ran: all that it was granted comes back. */
    public void onAttemptNeverRan(Grant grant) {
        settle(grant, 0);
    }

    /**
     * The attempt is over, or given up.
     *
     * @param report what came back; null if nothing did that can be believed
     * @param served whether it served
     */
    public void onAttemptFinished(Grant grant, Report report, boolean served) {
        boolean known = report != null && report.grant() == grant.id;
        settle(grant, known ? Math.min(grant.attempts, report.spent()) : grant.attempts);
        if (known && !served && !report.again()) {
            grant.call.again = false;
        }
    }

    private void settle(Grant grant, int spent) {
        if (grant.settled) {
            return;
        }
        grant.settled = true;
        AttemptBudget budget = grant.call.budget;
        budget.out--;
        // An attempt at the last tier has run or has not: no report is requested.
        int used = terms.last() && spent > 0 ? 1 : spent;
        budget.left += grant.attempts - used;
        budget.spent -= grant.attempts - used;
    }

    /**
     * The call has its answer.
     *
     * @param again whether the failure, if it is one, may be tried again at all. It is so at the tier above if it was
     *     tried once here: where it was tried again, that one tier has done it for all
     * @return what goes back with it
     */
    public Report close(Call call, boolean again) {
        if (!call.closed) {
            call.closed = true;
            call.budget.open--;
            if (call.first) {
                call.budget.owed = Math.max(0, call.budget.owed - 1);
            }
        }
        return new Report(call.budget.grant, call.budget.spent, again && call.again && call.tries < 2);
    }
}
