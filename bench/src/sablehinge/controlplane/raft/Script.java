package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;

/** A seed and the steps that are taken in its {@link SteppedCluster}. */
record Script(long seed, List<Step> steps) {

    private static final String SEED = "seed ";
    /** As long as any step without its comment. */
    private static final int WIDTH = 16;

    private static final int MAX_COMMENT = 300;

    /** A script whose list can't be changed. */
    Script {
        steps = List.copyOf(steps);
    }

    /** Plays it; what broke, or null. */
    String breach() {
        return breach(new SteppedCluster(seed), steps);
    }

    private static String breach(SteppedCluster cluster, List<Step> steps) {
        try {
            steps.forEach(cluster::take);
            return null;
        } catch (AssertionError e) {
            return e.getMessage();
        }
    }

    /** A script that breaks something, cut down until no step can be left out and no two waits be one. */
    Script shortened() {
        Script best = effective();
        int before;
        do {
            before = best.steps.size();
            for (int size = before / 2; size > 0; size /= 2) {
                best = best.without(size);
            }
            best = best.waitingAtOnce();
        } while (best.steps.size() < before);
        return best;
    }

    /** Leaves out as many runs of so many steps as can be. */
    private Script without(int size) {
        Script best = this;
        int from = 0;
        while (from < best.steps.size()) {
            List<Step> less = new ArrayList<>(best.steps);
            less.subList(from, Math.min(less.size(), from + size)).clear();
            Script next = new Script(seed, less);
            if (next.breach() != null) {
                best = next.effective();
            } else {
                from += size;
            }
        }
        return best;
    }

    /** Has time pass in one step where it may. */
    private Script waitingAtOnce() {
        Script best = this;
        int from = 0;
        while (from < best.steps.size()) {
            Script next = best.steps.get(from).waits() ? best.joined(from) : null;
            if (next != null && next.breach() != null) {
                best = next;
            } else {
                from++;
            }
        }
        return best;
    }

    /** The next wait after a step is part of it; null if there is none. */
    private Script joined(int from) {
        for (int i = from + 1; i < steps.size(); i++) {
            if (steps.get(i).waits()) {
                List<Step> less = new ArrayList<>(steps);
                int ms = less.remove(i).n();
                Step first = less.get(from);
                less.set(from, new Step(first.kind(), first.a(), first.b(), first.n() + ms));
                return new Script(seed, less);
            }
        }
        return null;
    }

    /** Without steps that do nothing, and up to what breaks. */
    private Script effective() {
        SteppedCluster cluster = new SteppedCluster(seed);
        List<Step> kept = new ArrayList<>();
        for (Step step : steps) {
            try {
                if (cluster.take(step)) {
                    kept.add(step);
                }
            } catch (AssertionError e) {
                kept.add(step);
                break;
            }
        }
        return new Script(seed, kept);
    }

    /** Reads what {@link #toString} or {@link #told} has written. */
    static Script parse(List<String> lines) {
        Long seed = null;
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).replaceFirst("#.*", "").strip();
            try {
                if (line.startsWith(SEED) && seed == null) {
                    seed = Long.valueOf(line.substring(SEED.length()).strip());
                } else if (!line.isEmpty()) {
                    if (seed == null) {
                        throw new IllegalArgumentException("expected 'seed NUMBER' before the first step");
                    }
                    steps.add(Step.parse(line));
                }
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("line " + (i + 1) + ": " + e.getMessage(), e);
            }
        }
        if (seed == null) {
            throw new IllegalArgumentException("no line says 'seed NUMBER'");
        }
        return new Script(seed, steps);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(SEED).append(seed).append('\n');
        steps.forEach(step -> text.append(step).append('\n'));
        return text.toString();
    }

    /** The script with what each step moves and comes to, and what breaks at its end. */
    String describe() {
        SteppedCluster cluster = new SteppedCluster(seed);
        StringBuilder text = new StringBuilder(SEED)
                .append(seed)
                .append("  # ")
                .append(cluster.settings())
                .append('\n');
        String before = cluster.line();
        for (Step step : steps) {
            String breach = breach(cluster, List.of(step));
            String after = cluster.line();
            String comment = cluster.moved()
                            .replaceAll("Member\\[id=(-?\\d+), address=([^,]*),[^\\]]*\\]", "$2")
                            .replaceAll(", data=\\[B@\\w+|\\w+Term=0, |state=\\[B@\\w+", "")
                    + (after.equals(before) ? "" : " => " + after);
            text.append(String.format("%-" + WIDTH + "s", step))
                    .append("# ")
                    .append(comment, 0, Math.min(MAX_COMMENT, comment.length()))
                    .append('\n');
            before = after;
            if (breach != null) {
                return text.append("# BROKEN: ").append(breach).append('\n').toString();
            }
        }
        return text.append("# nothing is broken").append('\n').toString();
    }
}
