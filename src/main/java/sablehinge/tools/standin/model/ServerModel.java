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
 * What a server does with work: so many requests share its cores evenly, some wait, the rest are rejected. One that has
 * just started is warming up and can do a part of it, which rises evenly; sent too much in that time it falls over.
 */
public final class ServerModel {

    private static final double NEVER = Double.POSITIVE_INFINITY;
    /** Ms after which the warmth of a server that warms up is looked at anew. */
    private static final double STEP = 5;
    /** Work that counts as done: times since 1970 have steps of a quarter of that as doubles. */
    private static final double DONE = 1e-3;

    private static final int WINDOWS = 30;

    /**
     * A server. Times in ms, work in ms of one core at speed 1.
     *
     * @param slots requests in work at most, also those that wait for the tier behind
     * @param queue requests that wait for a slot at most
     * @param warmUpFrom the share of its capacity that a server has as it starts
     * @param warmUpFor until when it has all
     * @param fallMultiple of its present capacity that makes it fall over, sent for {@code fallAfter}
     */
    public record Terms(
            double cores,
            double speed,
            int slots,
            int queue,
            double warmUpFrom,
            double warmUpFor,
            double fallMultiple,
            double fallAfter) {}

    /** A request that has a slot or waits for one. */
    private static final class Job {
        final long id;
        double left;
        /** Whether it has a slot but nothing to do, as it waits for the tier behind. */
        boolean holds;

        Job(long id, double left) {
            this.id = id;
            this.left = left;
        }
    }

    /** Work that was sent in a short time. */
    private static final class Sent {
        final double from;
        double work;
        double informed;

        Sent(double from) {
            this.from = from;
        }
    }

    private final Terms terms;
    private final double startedAt;
    private final Map<Long, Job> jobs = new HashMap<>();
    /** Those that are at work on a core. */
    private final LinkedHashMap<Long, Job> running = new LinkedHashMap<>();

    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private double time;
    private double slow = 1;
    private boolean stalled;
    private int inSlots;
    private double fell = Double.NaN;
    private double informed;

    /** A model; {@code startedAt} is NaN for one that is warm. */
    public ServerModel(Terms terms, double now, double startedAt) {
        this.terms = terms;
        this.startedAt = startedAt;
        time = now;
    }

    /** The share of its capacity that it has. */
    public double warmth(double now) {
        if (Double.isNaN(startedAt) || now >= startedAt + terms.warmUpFor()) {
            return 1;
        }
        return terms.warmUpFrom() + (1 - terms.warmUpFrom()) * Math.max(0, now - startedAt) / terms.warmUpFor();
    }

    /** Ms of work that one request at work gets done in a ms. */
    private double scheduled(double now) {
        if (stalled || running.isEmpty() || !Double.isNaN(fell)) {
            return 0;
        }
        return terms.speed() * Math.min(1, terms.cores() / running.size()) * warmth(now) / slow;
    }

    /** From now on everything takes so many times as long. */
    public void slow(double factor) {
        slow = factor;
    }

    /** From now on nothing gets done, or something again. */
    public void stall(boolean stands) {
        stalled = stands;
    }

    /**
     * A request has come; whether it was taken in. All work that is sent counts for a fall, also what is rejected.
     *
     * @param work what it needs up to its first wait for the tier behind
     * @param knows whether who sends it knows that this server is warming up
     */
    public boolean arrive(double now, long id, double work, boolean knows) {
        press(now, work, knows);
        if (!Double.isNaN(fell) || jobs.size() >= terms.slots() + terms.queue()) {
            return false;
        }
        Job job = new Job(id, work);
        jobs.put(id, job);
        if (inSlots < terms.slots()) {
            inSlots++;
            running.put(id, job);
        } else {
            waiting.add(job);
        }
        return true;
    }

    private void press(double now, double work, boolean knows) {
        if (warmth(now) >= 1 || !Double.isNaN(fell)) {
            return;
        }
        double width = terms.fallAfter() / WINDOWS;
        if (sent.isEmpty() || now >= sent.peekLast().from + width) {
            sent.add(new Sent(now));
        }
        sent.peekLast().work += work;
        sent.peekLast().informed += knows ? work : 0;
        while (sent.peekFirst().from < now - terms.fallAfter()) {
            sent.poll();
        }
        double all = 0;
        double known = 0;
        for (Sent part : sent) {
            all += part.work;
            known += part.informed;
        }
        // What it can do over the complete window, also where that began before the server did.
        if (all > terms.fallMultiple() * terms.cores() * terms.speed() * warmth(now) * terms.fallAfter()) {
            fell = now;
            informed = known / all;
        }
    }

    /** When it fell over; NaN if it did not. */
    public double fell() {
        return fell;
    }

    /** The share of what pushed it over that came from senders who knew that it was warming up. */
    public double informed() {
        return informed;
    }

    /** A request that has done its part so far waits for the tier behind, and keeps its slot. */
    public void hold(long id) {
        Job job = jobs.get(id);
        if (job != null && running.remove(id) != null) {
            job.holds = true;
        }
    }

    /** A request that waited for the tier behind has more to do. */
    public void resume(long id, double work) {
        Job job = jobs.get(id);
        if (job != null && job.holds) {
            job.holds = false;
            job.left = work;
            running.put(id, job);
        }
    }

    /** A request is over, whatever of it is done. */
    public void leave(long id) {
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

    /** When the next request will have done its work, if nothing else happens; infinity for never. */
    public double next() {
        double scheduled = scheduled(time);
        if (scheduled <= 0) {
            return NEVER;
        }
        double least = NEVER;
        for (Job job : running.values()) {
            least = Math.min(least, job.left);
        }
        // One that is warming up gets faster: looked at again, it is done sooner than now seems.
        return warmth(time) < 1
                ? time + Math.min(STEP, Math.max(0, least / scheduled))
                : time + Math.max(0, least / scheduled);
    }

    /** Lets time pass; those who have done their work up to a wait or an end, in the order in which they did. */
    public List<Long> advance(double now) {
        List<Long> done = new ArrayList<>();
        while (time < now) {
            double until = Math.min(now, next());
            boolean stands = until <= time;
            double did = scheduled(time) * (until - time);
            time = until;
            Iterator<Job> all = running.values().iterator();
            boolean any = false;
            List<Job> finished = new ArrayList<>();
            while (all.hasNext()) {
                Job job = all.next();
                job.left -= did;
                if (job.left <= DONE) {
                    finished.add(job);
                    any = true;
                }
            }
            if (stands && !any) {
                // Less is left than a step of time: it is done, or this would never end.
                Job least = Collections.min(running.values(), Comparator.comparingDouble(j -> j.left));
                finished.add(least);
                any = true;
            }
            for (Job job : finished) {
                done.add(job.id);
                // It keeps its slot until it is let go on or removed.
                running.remove(job.id);
                job.holds = true;
            }
            if (any) {
                return done;
            }
        }
        return done;
    }

    /** Up to when time has passed. */
    public double time() {
        return time;
    }

    /** Requests that wait for a slot. */
    public int queued() {
        return waiting.size();
    }

    /** Requests that have a slot. */
    public int inWork() {
        return inSlots;
    }
}
