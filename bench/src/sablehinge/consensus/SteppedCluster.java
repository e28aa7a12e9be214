package sablehinge.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A valley in which nothing flows by itself: messages and writes wait until a {@link Step} moves them, and
 * time stands still between two of them. Which founders there are, how fast their clocks go and the terms
 * follow from the seed; all else is up to the steps.
 */
final class SteppedCluster extends SimulatedCluster {

    /** Most machines. */
    static final int MOST = 8;
    /** The seed of a core of three with the same terms for all, and clocks that differ little. */
    static final long PLAIN = 0;
    /** Messages on the way from one to another; the oldest is lost if there are more. */
    private static final int MOST_ON_THE_WAY = 32;
    /** Clocks go 10% wrong at most, of which a lease must take account. */
    private static final double WRONG = 0.1;
    private static final double PLAINLY_WRONG = 0.05;
    private static final double APART = 1e5;

    /** A message with who has sent it. */
    record Letter(Member from, Message message) {
    }

    private final List<Machine> byPlace = new ArrayList<>();
    private final Map<String, Integer> places = new HashMap<>();
    private final List<List<Letter>> links = new ArrayList<>();
    private final double[] rates = new double[MOST];
    /** What the last step has moved, for who reads a script. */
    private Object moved = "";
    /** Steps that did something. */
    private int done;

    SteppedCluster(long seed) {
        super(seed);
        for (int i = 0; i < MOST * MOST; i++) {
            links.add(new ArrayList<>());
        }
        Timing usual = Timing.usual();
        boolean plain = seed == PLAIN;
        for (int i = 0; i < MOST; i++) {
            rates[i] = plain ? 1 + (i % 3 - 1) * PLAINLY_WRONG : 1 + (random.nextInt(3) - 1) * WRONG;
        }
        // Few entries a message and short patience bring about what a core meets seldom.
        timing = new Timing(usual.heartbeat(), usual.electionLeast(),
                plain ? usual.electionLeast() : usual.electionMost(), usual.quorum(), 700, usual.fresh(),
                usual.stall(), usual.barrier(), plain ? 1 : 1 + random.nextInt(3), usual.bytes(),
                usual.waiting());
        int dice = random.nextInt(20);
        found(plain || dice > 2 ? 3 : dice == 0 ? 5 : 4);
    }

    int size() {
        return byPlace.size();
    }

    Machine machine(int place) {
        return byPlace.get(place);
    }

    List<Letter> link(int from, int to) {
        return links.get(from * MOST + to);
    }

    int done() {
        return done;
    }

    @Override
    Machine add(String address) {
        Machine machine = super.add(address);
        int place = byPlace.size();
        machine.rate = rates[place];
        machine.offset = (place + 1) * APART;
        places.put(address, place);
        byPlace.add(machine);
        return machine;
    }

    @Override
    long dice(Machine machine) {
        return new Random(seed * 31 + places.get(machine.address) * 1009L + machine.life).nextLong();
    }

    @Override
    void booted(Machine machine) {
        // Its ticks are steps.
    }

    @Override
    void write(Machine machine, Change change) {
        // So is what its disk does.
    }

    @Override
    boolean compactsByItself() {
        return false;
    }

    @Override
    void carry(Member from, String to, Message message) {
        Integer place = places.get(to);
        if (place != null) {
            List<Letter> link = link(places.get(from.address()), place);
            if (link.size() == MOST_ON_THE_WAY) {
                link.remove(0);
            }
            link.add(new Letter(from, message));
        }
    }

    boolean isCut(int from, int to) {
        return cuts.contains(byPlace.get(from).address + ">" + byPlace.get(to).address);
    }

    /** What the last step did. */
    String moved() {
        return moved.toString();
    }

    /** Takes a step and checks what must hold; whether it did anything. */
    boolean take(Step step) {
        moved = "";
        boolean did;
        try {
            did = move(step);
            checkLease();
        } catch (IllegalStateException | IllegalArgumentException | IndexOutOfBoundsException
                | NullPointerException e) {
            throw new AssertionError("seed " + seed + ", " + now + " ms: " + e, e);
        }
        if (did) {
            done++;
        }
        return did;
    }

    private boolean move(Step step) {
        if (step.kind() == Step.Kind.PASS) {
            now += step.n();
            byPlace.forEach(this::tick);
            return true;
        }
        if (step.kind() == Step.Kind.NEWCOMER) {
            return newcomer(step.a());
        }
        if (step.a() >= byPlace.size() || step.b() >= byPlace.size()) {
            return false;
        }
        Machine a = byPlace.get(step.a());
        return switch (step.kind()) {
            case DELIVER, DOUBLE, DROP -> carried(step);
            case TICK -> {
                now += step.n();
                tick(a);
                yield true;
            }
            case CUT -> step.a() != step.b()
                    && cuts.add(a.address + ">" + byPlace.get(step.b()).address);
            case MEND -> cuts.remove(a.address + ">" + byPlace.get(step.b()).address);
            case START -> start(a);
            case WIPE -> {
                boolean may = a.disk.self != null && isWhole();
                if (may) {
                    a.wipe();
                }
                yield may;
            }
            default -> a.up() && alive(a, step);
        };
    }

    private boolean alive(Machine a, Step step) {
        switch (step.kind()) {
            case SYNC -> {
                if (a.unsynced.isEmpty()) {
                    return false;
                }
                moved = a.unsynced.get(0);
                a.syncOne();
            }
            case PROPOSE -> {
                return a.propose();
            }
            case REPEAT -> {
                return claims.repeat(a);
            }
            case BARRIER -> a.barrier();
            case COMPACT -> {
                if (a.applied == 0) {
                    return false;
                }
                a.compact();
            }
            default -> a.end(Math.min(step.n(), a.unsynced.size()));
        }
        return true;
    }

    private void tick(Machine machine) {
        if (machine.up()) {
            machine.master.tick(machine.clock());
        }
    }

    private boolean start(Machine machine) {
        if (machine.up()) {
            return false;
        }
        if (machine.disk.self == null) {
            machine.outside();
        } else {
            machine.start();
        }
        return true;
    }

    private boolean newcomer(int place) {
        // Places are given in order, so a script that lost one newcomer has the next in its place.
        if (place < byPlace.size() || byPlace.size() == MOST) {
            return false;
        }
        add("10.0.1." + byPlace.size() + ":1").outside();
        return true;
    }

    private boolean carried(Step step) {
        List<Letter> link = link(step.a(), step.b());
        if (step.n() >= link.size()) {
            return false;
        }
        Letter letter = step.kind() == Step.Kind.DOUBLE ? link.get(step.n()) : link.remove(step.n());
        moved = letter.message();
        Machine to = byPlace.get(step.b());
        if (step.kind() != Step.Kind.DROP && to.up()) {
            to.master.message(to.clock(), letter.from(), letter.message());
        }
        return true;
    }

    /** Who is what, on a line. */
    String line() {
        StringBuilder text = new StringBuilder();
        for (Machine machine : byPlace) {
            text.append(text.isEmpty() ? "" : ", ").append(Step.letter(places.get(machine.address)));
            if (machine.up()) {
                text.append(' ').append(machine.standing == null ? "founds" : machine.standing.role() + " "
                        + machine.standing.term()).append(" applied ").append(machine.applied);
            } else {
                text.append(" down");
            }
        }
        return text.toString();
    }

    /** The settings that follow from the seed. */
    String settings() {
        return byPlace.size() + " founders, clocks " + Arrays.toString(Arrays.copyOf(rates, size() + 2))
                + ", " + timing.entries() + " entries a message";
    }
}
