package sablehinge.torture;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one play holds: a seed, and what is left out of the play that the seed alone gives. A failing seed is cut down
 * to the shortest such script that fails still, which is the regression test to keep.
 *
 * @param callers the places of those who come; null for all
 * @param requests the most that each sends
 * @param without what does not happen
 */
record Script(long seed, Set<Integer> callers, int requests, Set<Event> without) {

    /** What may happen beside requests. */
    enum Event {
        SETTINGS,
        TOLD_OFF,
        DRAIN,
        MEMORY,
        FEW_DESCRIPTORS,
        REAL_MODULE,
        TROUBLE,
        HABITS
    }

    private static final int MAX = 4;
    /** What fails by never coming to rest takes long to cut down. */
    private static final long MAX_CUT_NANOS = 5_000_000_000L;

    private static final int MAX_CALLERS = 24;

    static Script of(long seed) {
        return new Script(seed, null, MAX, EnumSet.noneOf(Event.class));
    }

    boolean has(Event event) {
        return !without.contains(event);
    }

    boolean comes(int caller) {
        return callers == null || callers.contains(caller);
    }

    /** Reads what {@link #toString} has written. */
    static Script parse(String text) {
        long seed = 0;
        Set<Integer> callers = null;
        int requests = MAX;
        Set<Event> without = EnumSet.noneOf(Event.class);
        String[] words = text.strip().split("\\s+");
        for (int i = 0; i < words.length; i++) {
            String value = i + 1 < words.length ? words[i + 1] : "";
            switch (words[i]) {
                case "callers" -> {
                    callers = new TreeSet<>();
                    for (String one : value.split(",")) {
                        callers.add(Integer.parseInt(one));
                    }
                    i++;
                }
                case "requests" -> {
                    requests = Integer.parseInt(value);
                    i++;
                }
                case "without" -> {
                    Arrays.stream(value.split(","))
                            .map(name -> Event.valueOf(name.toUpperCase(Locale.ROOT)))
                            .forEach(without::add);
                    i++;
                }
                default -> {
                    if (i > 0) {
                        throw new IllegalArgumentException("expected callers, requests or without, not " + words[i]);
                    }
                    seed = Long.parseLong(words[i]);
                }
            }
        }
        return new Script(seed, callers, requests, without);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder().append(seed);
        if (callers != null) {
            text.append(" callers ")
                    .append(String.join(
                            ",", callers.stream().map(String::valueOf).toList()));
        }
        if (requests < MAX) {
            text.append(" requests ").append(requests);
        }
        if (!without.isEmpty()) {
            text.append(" without ")
                    .append(String.join(
                            ",",
                            without.stream()
                                    .map(event -> event.name().toLowerCase(Locale.ROOT))
                                    .toList()));
        }
        return text.toString();
    }

    /** The shortest script below this one that fails still, found by leaving out one thing after another. */
    Script shortened() throws Exception {
        Script best = this;
        boolean shorter = true;
        long end = System.nanoTime() + MAX_CUT_NANOS;
        while (shorter) {
            shorter = false;
            for (Script next : best.steps()) {
                if (System.nanoTime() > end) {
                    return best;
                }
                if (!new World(next).play().isEmpty()) {
                    best = next;
                    shorter = true;
                    break;
                }
            }
        }
        return best;
    }

    private List<Script> steps() {
        List<Script> steps = new ArrayList<>();
        Set<Integer> now = new TreeSet<>();
        for (int i = 0; i < MAX_CALLERS; i++) {
            if (comes(i)) {
                now.add(i);
            }
        }
        // Halves first, then one by one.
        List<Integer> list = new ArrayList<>(now);
        if (list.size() > 3) {
            steps.add(new Script(seed, new TreeSet<>(list.subList(0, list.size() / 2)), requests, without));
            steps.add(new Script(seed, new TreeSet<>(list.subList(list.size() / 2, list.size())), requests, without));
        }
        if (list.size() > 1) {
            for (int one : list) {
                Set<Integer> fewer = new TreeSet<>(now);
                fewer.remove(one);
                steps.add(new Script(seed, fewer, requests, without));
            }
        }
        for (Event event : Event.values()) {
            if (has(event)) {
                Set<Event> more = EnumSet.of(event);
                more.addAll(without);
                steps.add(new Script(seed, callers, requests, more));
            }
        }
        if (requests > 1) {
            steps.add(new Script(seed, callers, requests - 1, without));
        }
        steps.sort(Comparator.comparingInt(one -> one.callers == null ? MAX_CALLERS : one.callers.size()));
        return steps;
    }
}
