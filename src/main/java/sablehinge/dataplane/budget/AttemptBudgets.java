package sablehinge.dataplane.budget;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The attempt budgets of one hop. Decides which calls are admitted, how many attempts at lower tiers each of their
 * attempts may use, and what remains after its report. All calls that a server makes for one attempt of the tier above
 * share one budget, so a fan-out does not multiply the allowed attempts. An attempt is granted a share of the budget,
 * which counts as spent until a report states what was used. So the attempts at the last tier never exceed the budget
 * of the first hop, even if reports are lost.
 */
public final class AttemptBudgets {

    /** The reason why a call is refused. */
    public enum Refusal {
        /** Its time has run out, or would run out before the answer arrives. */
        DEAD,
        /** It has returned to a service on its path. */
        LOOP,
        /** Its budget has no attempts left. */
        SPENT,
        /** The table of budgets is full. */
        FULL
    }

    /** The budget shared by the calls of one grant. */
    private static final class AttemptBudget {
        final long grant;
        final double deadline;
        int remaining;
        int spent;
        /** Number of calls that are not closed. */
        int openCalls;
        /** Number of calls for which a first attempt is still reserved. */
        int reservedCalls;
        /** Number of grants whose attempts have not finished. */
        int outstandingGrants;

        AttemptBudget(long grant, double deadline, int remaining, int expectedCalls) {
            this.grant = grant;
            this.deadline = deadline;
            this.remaining = remaining;
            reservedCalls = expectedCalls;
        }
    }

    /** An admitted call. */
    public final class Call {
        private final AttemptBudget budget;
        private final double deadline;
        private final double value;
        private final List<Long> path;
        private boolean firstPending = true;
        private int attemptsMade;
        private boolean retryable = true;
        private boolean closed;

        private Call(AttemptBudget budget, double deadline, double value, List<Long> path) {
            this.budget = budget;
            this.deadline = deadline;
            this.value = value;
            this.path = path;
        }

        /** Time at which the answer must be on its way back, in milliseconds of the caller's clock. */
        public double deadline() {
            return deadline;
        }

        /** The value of the call, bounded by the operator's maximum. */
        public double value() {
            return value;
        }

        /** Maximum number of attempts for the call at this hop, if each spends as little as possible. */
        public int maxAttempts() {
            return Math.max(1, budget.remaining - Math.max(0, budget.reservedCalls - 1) * settings.attemptsPerGrant());
        }

        /**
         * Number of attempts that may still be made for the call at this hop. A first attempt may use whatever remains;
         * retries need {@link BudgetSettings#attemptsPerGrant()} each, and a first attempt stays reserved for each
         * expected call.
         */
        public int attempts() {
            int otherReservedCalls = budget.reservedCalls - (firstPending ? 1 : 0);
            int unreserved = Math.max(0, budget.remaining - otherReservedCalls * settings.attemptsPerGrant());
            return !retryable || budget.remaining < 1
                    ? 0
                    : Math.max(firstPending ? 1 : 0, unreserved / settings.attemptsPerGrant());
        }
    }

    /** An attempt's share of a budget. */
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

        /** Number of attempts at the last tier that the grant covers. */
        public int attempts() {
            return attempts;
        }

        /** The budget to send with the attempt at the given time; null if too little time is left. */
        public Budget budget(double now) {
            double remaining = call.deadline - now - settings.wireMs();
            return remaining <= 0
                    ? null
                    : new Budget(id, attempts, Math.min(Budget.MAX_MS, remaining), call.value, call.path);
        }
    }

    /** The decision on an arrived call: the call, or the refusal with the report that is sent back. */
    public record Admission(Call call, Refusal refusal, List<Long> path, Report report) {}

    private final BudgetSettings settings;
    private final long service;
    private final SplittableRandom random;
    /** Budgets granted by the tier above, in the order of last use, least recent first. */
    private final Map<Long, AttemptBudget> attemptBudgets = new LinkedHashMap<>();

    private final Map<HeaderText.Kind, Long> headerCounts = new LinkedHashMap<>();

    /** Creates the budgets of a hop in front of a service. The seed is for the random ids of its grants. */
    public AttemptBudgets(BudgetSettings settings, long service, long seed) {
        this.settings = settings;
        this.service = service;
        random = new SplittableRandom(seed);
    }

    /** Number of remembered grants. */
    public int size() {
        return attemptBudgets.size();
    }

    /** Number of calls by the kind of their budget header. */
    public Map<HeaderText.Kind, Long> headerCounts() {
        return Collections.unmodifiableMap(headerCounts);
    }

    /**
     * Decides whether an arrived call is admitted.
     *
     * @param now the time in milliseconds of a monotonic clock
     * @param header the budget header of the call
     * @param entry whether the call comes from a client, whose budget header is not trusted
     * @param remaining time in milliseconds for which the caller waits, as stated by the caller
     * @param unreadMs time in milliseconds for which the call may have waited unread during a pause of this process
     * @param value the value of its class, for a call without a budget
     */
    public Admission admit(
            double now,
            HeaderText.Found<Budget> header,
            boolean entry,
            double remaining,
            double unreadMs,
            double value) {
        headerCounts.merge(header.kind(), 1L, Long::sum);
        Budget carried = entry ? null : header.value();
        List<Long> path = carried == null ? List.of() : carried.path();
        long visits = path.stream().filter(hop -> hop == service).count();
        List<Long> extendedPath = new ArrayList<>(path);
        extendedPath.add(service);
        if (visits > settings.maxReentries() || path.size() >= Budget.MAX_HOPS) {
            return refuse(Refusal.LOOP, extendedPath, carried, null);
        }
        double timeLeft = Math.min(remaining, settings.maxRemainingMs());
        if (carried != null) {
            timeLeft = Math.min(timeLeft, carried.remaining());
        }
        double deadline = now + timeLeft - Math.max(0, unreadMs) - settings.marginMs();
        AttemptBudget budget = carried == null ? null : attemptBudgets.remove(carried.grant());
        if (budget == null) {
            if (deadline <= now) {
                return refuse(Refusal.DEAD, extendedPath, carried, null);
            }
            if (carried != null && attemptBudgets.size() >= settings.maxAttemptBudgets() && !evictOne(now)) {
                return refuse(Refusal.FULL, extendedPath, carried, null);
            }
            int grantedAttempts = entry
                    ? settings.maxAttempts()
                    : carried == null
                            ? settings.attemptsWithoutBudget()
                            : Math.min(settings.maxAttempts(), carried.attempts());
            long grant = carried == null ? random.nextLong() : carried.grant();
            // Entry calls and calls without a budget do not share a budget, so no first attempts of other calls are
            // reserved.
            budget = new AttemptBudget(
                    grant, deadline, grantedAttempts, entry || carried == null ? 1 : settings.maxCallsPerRequest());
        } else {
            deadline = Math.min(deadline, budget.deadline);
        }
        if (carried != null) {
            // Only a carried budget is shared with other calls.
            attemptBudgets.put(budget.grant, budget);
        }
        if (deadline <= now) {
            return refuse(Refusal.DEAD, extendedPath, carried, budget);
        }
        if (budget.remaining < 1) {
            return refuse(Refusal.SPENT, extendedPath, carried, budget);
        }
        budget.openCalls++;
        budget.reservedCalls = Math.max(1, budget.reservedCalls);
        double boundedValue = Math.min(settings.maxValue(), carried == null ? value : carried.value());
        return new Admission(new Call(budget, deadline, boundedValue, extendedPath), null, extendedPath, null);
    }

    private static Admission refuse(Refusal refusal, List<Long> path, Budget carried, AttemptBudget budget) {
        return new Admission(
                null,
                refusal,
                path,
                carried == null
                        ? null
                        : new Report(carried.grant(), budget == null ? 0 : budget.spent, refusal == Refusal.FULL));
    }

    /** Evicts one expired grant without open calls and outstanding attempts; false if there is none. */
    private boolean evictOne(double now) {
        Iterator<AttemptBudget> iterator = attemptBudgets.values().iterator();
        while (iterator.hasNext()) {
            AttemptBudget budget = iterator.next();
            if (budget.openCalls == 0 && budget.outstandingGrants == 0 && budget.deadline <= now) {
                iterator.remove();
                return true;
            }
        }
        return false;
    }

    /**
     * Grants a share of the budget to an attempt; null if none is left, or too little time for the attempt to succeed.
     *
     * @param mayRepeat whether another attempt may follow an attempt that may have run
     * @param minTimeMs minimum time in milliseconds that the tier below needs
     */
    public Grant grant(Call call, double now, boolean mayRepeat, double minTimeMs) {
        if (call.closed || call.attempts() < 1 || call.deadline - now - settings.wireMs() <= Math.max(0, minTimeMs)) {
            return null;
        }
        AttemptBudget budget = call.budget;
        if (call.firstPending) {
            call.firstPending = false;
            budget.reservedCalls = Math.max(0, budget.reservedCalls - 1);
        }
        int attemptsPerGrant = Math.min(settings.attemptsPerGrant(), budget.remaining);
        int unreserved =
                Math.max(attemptsPerGrant, budget.remaining - budget.reservedCalls * settings.attemptsPerGrant());
        int share = settings.lastTier()
                ? 1
                : Math.max(
                        attemptsPerGrant,
                        unreserved - (mayRepeat ? (int) (unreserved * settings.retryReserveShare()) : 0));
        call.attemptsMade++;
        budget.remaining -= share;
        budget.spent += share;
        budget.outstandingGrants++;
        return new Grant(call, share, random.nextLong());
    }

    /** The attempt never ran: its whole grant is returned. */
    public void onAttemptNeverRan(Grant grant) {
        settle(grant, 0);
    }

    /**
     * The attempt has ended or was cancelled.
     *
     * @param report the received report; null if there is no trusted one
     * @param success whether the attempt succeeded
     */
    public void onAttemptFinished(Grant grant, Report report, boolean success) {
        boolean known = report != null && report.grant() == grant.id;
        settle(grant, known ? Math.min(grant.attempts, report.spent()) : grant.attempts);
        if (known && !success && !report.retryable()) {
            grant.call.retryable = false;
        }
    }

    private void settle(Grant grant, int spent) {
        if (grant.settled) {
            return;
        }
        grant.settled = true;
        AttemptBudget budget = grant.call.budget;
        budget.outstandingGrants--;
        // At the last tier an attempt has either run or not, so no report is needed.
        int used = settings.lastTier() && spent > 0 ? 1 : spent;
        budget.remaining += grant.attempts - used;
        budget.spent -= grant.attempts - used;
    }

    /**
     * The call is answered.
     *
     * @param retryable whether a failure may be retried at all. The tier above may retry it only if this tier made no
     *     retry, so that only one tier retries
     * @return the report to send back with the answer
     */
    public Report close(Call call, boolean retryable) {
        if (!call.closed) {
            call.closed = true;
            call.budget.openCalls--;
            if (call.firstPending) {
                call.budget.reservedCalls = Math.max(0, call.budget.reservedCalls - 1);
            }
        }
        return new Report(call.budget.grant, call.budget.spent, retryable && call.retryable && call.attemptsMade < 2);
    }
}
