package sablehinge.tools.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Models how a server processes requests. A limited number of requests share its cores evenly, a limited number wait in
 * a queue, and the rest are rejected. A server that has just started has only a part of its capacity, which rises
 * linearly during the warm-up; the server crashes if it is sent too much work in that time.
 */
public final class ServerModel {

    private static final double NEVER = Double.POSITIVE_INFINITY;
    /** The interval at which the capacity of a server is recalculated during its warm-up. */
    private static final double WARM_UP_STEP_MS = 5;
    /** Remaining work that counts as none: epoch times in doubles have a resolution of a quarter of it. */
    private static final double MAX_LEFTOVER_WORK_MS = 1e-3;

    private static final int WINDOW_PARTS = 30;

    /**
     * The capacity of a server. Times are in ms, work is in ms of one core at speed 1.
     *
     * @param slots the maximum number of requests in progress, including those that wait for the next tier
     * @param queue the maximum number of requests that wait for a slot
     * @param initialShare the share of its capacity that a server has at its start
     * @param warmUpMs the time from its start until the server has its full capacity
     * @param crashMultiple the multiple of its current capacity that crashes a warming server if it is sent during
     *     {@code crashWindowMs}
     */
    public record Capacity(
            double cores,
            double speed,
            int slots,
            int queue,
            double initialShare,
            double warmUpMs,
            double crashMultiple,
            double crashWindowMs) {}

    /** A request that has a slot or waits for a slot. */
    private static final class Job {
        final long id;
        double remainingWork;
        /** Whether the request has a slot but needs no core, because it waits for the next tier. */
        boolean awaitsNextTier;

        Job(long id, double remainingWork) {
            this.id = id;
            this.remainingWork = remainingWork;
        }
    }

    /** The work that was sent to the server in a part of the crash window. */
    private static final class SentWork {
        final double from;
        double work;
        double informed;

        SentWork(double from) {
            this.from = from;
        }
    }

    private final Capacity capacity;
    private final double startedAt;
    private final Map<Long, Job> jobs = new HashMap<>();
    /** The requests that use a core. */
    private final LinkedHashMap<Long, Job> running = new LinkedHashMap<>();

    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<SentWork> sent = new ArrayDeque<>();
    private double time;
    private double slowdown = 1;
    private boolean stalled;
    private int inSlots;
    private double crashedAt = Double.NaN;
    private double informedShare;

    /** Creates a model; {@code startedAt} is NaN for a server that is warmed up. */
    public ServerModel(Capacity capacity, double now, double startedAt) {
        this.capacity = capacity;
        this.startedAt = startedAt;
        time = now;
    }

    /** Returns the share of its full capacity that the server has at a time. */
    public double capacityShare(double now) {
        if (Double.isNaN(startedAt) || now >= startedAt + capacity.warmUpMs()) {
            return 1;
        }
        return capacity.initialShare()
                + (1 - capacity.initialShare()) * Math.max(0, now - startedAt) / capacity.warmUpMs();
    }

    /** Returns the ms of work that are done for each running request in one ms. */
    private double workRate(double now) {
        if (stalled || running.isEmpty() || !Double.isNaN(crashedAt)) {
            return 0;
        }
        return capacity.speed() * Math.min(1, capacity.cores() / running.size()) * capacityShare(now) / slowdown;
    }

    /** Slows all processing from now on by a factor. */
    public void slow(double factor) {
        slowdown = factor;
    }

    /** Stops or resumes all processing. */
    public void stall(boolean isStalled) {
        stalled = isStalled;
    }

    /**
     * Offers a request to the server; returns whether it was admitted. Rejected work counts toward a crash too.
     *
     * @param work the work up to the first wait for the next tier
     * @param senderInformed whether the sender knows that this server is warming up
     */
    public boolean offer(double now, long id, double work, boolean senderInformed) {
        recordOfferedWork(now, work, senderInformed);
        if (!Double.isNaN(crashedAt) || jobs.size() >= capacity.slots() + capacity.queue()) {
            return false;
        }
        Job job = new Job(id, work);
        jobs.put(id, job);
        if (inSlots < capacity.slots()) {
            inSlots++;
            running.put(id, job);
        } else {
            waiting.add(job);
        }
        return true;
    }

    private void recordOfferedWork(double now, double work, boolean senderInformed) {
        if (capacityShare(now) >= 1 || !Double.isNaN(crashedAt)) {
            return;
        }
        double width = capacity.crashWindowMs() / WINDOW_PARTS;
        if (sent.isEmpty() || now >= sent.peekLast().from + width) {
            sent.add(new SentWork(now));
        }
        sent.peekLast().work += work;
        sent.peekLast().informed += senderInformed ? work : 0;
        while (sent.peekFirst().from < now - capacity.crashWindowMs()) {
            sent.poll();
        }
        double total = 0;
        double informedWork = 0;
        for (SentWork part : sent) {
            total += part.work;
            informedWork += part.informed;
        }
        // The capacity over the full window, even if the server started after the window began.
        if (total
                > capacity.crashMultiple()
                        * capacity.cores()
                        * capacity.speed()
                        * capacityShare(now)
                        * capacity.crashWindowMs()) {
            crashedAt = now;
            informedShare = informedWork / total;
        }
    }

    /** Returns the time of the crash; NaN if the server has not crashed. */
    public double crashedAt() {
        return crashedAt;
    }

    /** Returns the share of the work behind the crash whose senders knew that the server was warming up. */
    public double informedShare() {
        return informedShare;
    }

    /** Suspends a request while it waits for the next tier; it retains its slot. */
    public void suspend(long id) {
        Job job = jobs.get(id);
        if (job != null && running.remove(id) != null) {
            job.awaitsNextTier = true;
        }
    }

    /** Resumes a request, which waited for the next tier, with more work. */
    public void resume(long id, double work) {
        Job job = jobs.get(id);
        if (job != null && job.awaitsNextTier) {
            job.awaitsNextTier = false;
            job.remainingWork = work;
            running.put(id, job);
        }
    }

    /** Removes a request, even if it has work left. */
    public void remove(long id) {
        Job job = jobs.remove(id);
        if (job == null) {
            return;
        }
        if (waiting.remove(job)) {
            return;
        }
        running.remove(id);
        inSlots--;
        Job next = waiting.poll();
        if (next != null) {
            inSlots++;
            running.put(next.id, next);
        }
    }

    /** Returns when the next request completes its work if nothing else happens; infinity for never. */
    public double nextCompletionAt() {
        double workRate = workRate(time);
        if (workRate <= 0) {
            return NEVER;
        }
        double leastWork = NEVER;
        for (Job job : running.values()) {
            leastWork = Math.min(leastWork, job.remainingWork);
        }
        // The server gets faster during its warm-up, so the completion time is recalculated in short steps.
        return capacityShare(time) < 1
                ? time + Math.min(WARM_UP_STEP_MS, Math.max(0, leastWork / workRate))
                : time + Math.max(0, leastWork / workRate);
    }

    /** Advances time; returns the requests that completed their current work, in the order of their completion. */
    public List<Long> advance(double now) {
        List<Long> done = new ArrayList<>();
        while (time < now) {
            double nextTime = Math.min(now, nextCompletionAt());
            boolean atSameTime = nextTime <= time;
            double doneWork = workRate(time) * (nextTime - time);
            time = nextTime;
            Iterator<Job> jobsLeft = running.values().iterator();
            boolean isAnyFinished = false;
            List<Job> finished = new ArrayList<>();
            while (jobsLeft.hasNext()) {
                Job job = jobsLeft.next();
                job.remainingWork -= doneWork;
                if (job.remainingWork <= MAX_LEFTOVER_WORK_MS) {
                    finished.add(job);
                    isAnyFinished = true;
                }
            }
            if (atSameTime && !isAnyFinished) {
                // The remaining work is less than the resolution of time. Without this the loop would not end.
                Job shortest = Collections.min(running.values(), Comparator.comparingDouble(j -> j.remainingWork));
                finished.add(shortest);
                isAnyFinished = true;
            }
            for (Job job : finished) {
                done.add(job.id);
                // The request retains its slot until it is resumed or removed.
                running.remove(job.id);
                job.awaitsNextTier = true;
            }
            if (isAnyFinished) {
                return done;
            }
        }
        return done;
    }

    /** Returns the time up to which the model has advanced. */
    public double time() {
        return time;
    }

    /** Returns the number of requests that wait for a slot. */
    public int queuedRequests() {
        return waiting.size();
    }

    /** Returns the number of requests that have a slot. */
    public int inProgress() {
        return inSlots;
    }
}
