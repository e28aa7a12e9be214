package sablehinge.sidecar;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Which life of the upstream beside a balancer goes on, by the beats that the upstream sends. Calls may be
 * overtaken or doubled on their way: {@code callCount} rises with each call of a life, so that one that comes
 * late is known, and a life that has ended never goes on. It decides only.
 */
final class UpstreamLife {

    /** Ended lives that are remembered: a late call of an older one is not to be expected. */
    private static final int MOST_ENDED = 64;

    private final Set<String> ended = new LinkedHashSet<>();
    private Beats.Beat latest;
    private boolean leaving;

    /** What a beat tells. */
    enum News {
        /** Nothing: it was overtaken by another, or is of a life that has ended. */
        LATE,
        /** A life has begun. */
        BEGAN,
        /** The life goes on, with another count of berths. */
        RESIZED,
        /** The life goes on. */
        ALIVE
    }

    /** The latest beat of the present life; null where none was heard. */
    Beats.Beat latest() {
        return latest;
    }

    /** Whether the upstream has said that it leaves. */
    boolean isLeaving() {
        return leaving;
    }

    /** A beat has come. That it leaves is never taken back, so it holds even where the beat is late. */
    News heard(Beats.Beat beat) {
        if (ended.contains(beat.id())) {
            return News.LATE;
        }
        boolean begins = latest == null || !latest.id().equals(beat.id());
        if (begins) {
            if (latest != null) {
                end(latest.id());
            }
            latest = beat;
            leaving = beat.unloading();
            return News.BEGAN;
        }
        leaving |= beat.unloading();
        if (beat.count() < latest.count()) {
            return News.LATE;
        }
        boolean resized = latest.berths() != beat.berths();
        // How long it stays cold was told once, and passes by itself.
        latest = new Beats.Beat(beat.id(), beat.service(), beat.address(), beat.unloading(), beat.berths(),
                latest.coldMs(), beat.count());
        return resized ? News.RESIZED : News.ALIVE;
    }

    /**
     * A life signs off: nothing that comes of it later counts.
     *
     * @return whether it is the present one
     */
    boolean signedOff(String id) {
        end(id);
        boolean present = latest != null && latest.id().equals(id);
        leaving |= present;
        return present;
    }

    private void end(String id) {
        ended.add(id);
        if (ended.size() > MOST_ENDED) {
            ended.remove(ended.iterator().next());
        }
    }
}
