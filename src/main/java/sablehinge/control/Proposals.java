package sablehinge.control;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import sablehinge.state.ConfigurationState;
import sablehinge.consensus.Entry;

/** Operators' changes that are on their way through the log. */
final class Proposals {

    /** Shorter than the second after which a caller goes elsewhere: no clear answer, it calls again. */
    private static final double PATIENCE_MS = 900;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final ConfigurationState configurations;

    Proposals(ConfigurationState configurations) {
        this.configurations = configurations;
    }

    /** What became of one. */
    enum Result {
        /** A majority has it on disk. */
        TAKEN,
        /** Another version came first. */
        STALE,
        /** Its edition is not above the one in force. */
        OLD,
        /** Nothing is known of it: it may be in force later or never. */
        LOST
    }

    private record Waiting(long term, double until, Consumer<Result> then) { }

    void waits(double now, long index, long term, Consumer<Result> then) {
        waiting.put(index, new Waiting(term, now + PATIENCE_MS, then));
    }

    void applied(Entry entry, ConfigurationState.Outcome outcome) {
        Waiting one = waiting.remove(entry.index());
        if (one != null) {
            one.then.accept(one.term != entry.term() ? Result.LOST : switch (outcome) {
                case TAKEN, REPEATED -> Result.TAKEN;
                case STALE -> Result.STALE;
                case OLD -> Result.OLD;
            });
        }
    }

    /** This one leads no more. */
    void lost() {
        Map<Long, Waiting> left = new HashMap<>(waiting);
        waiting.clear();
        left.values().forEach(one -> one.then.accept(Result.LOST));
    }

    void expire(double now) {
        for (Iterator<Waiting> each = waiting.values().iterator(); each.hasNext();) {
            Waiting one = each.next();
            if (now > one.until) {
                each.remove();
                one.then.accept(Result.LOST);
            }
        }
    }

    /** The edition in force. */
    long edition() {
        return configurations.edition();
    }
}
