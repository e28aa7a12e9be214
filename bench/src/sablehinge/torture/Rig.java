package sablehinge.torture;

import ch.qos.logback.classic.Level;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAdder;
import sablehinge.testing.Logs;

/** Plays one seed after another; the entry that a class loader with mutants in it calls too. */
public final class Rig {

    private static final int MAX_SHOWN = 30;

    private Rig() {}

    /**
     * What the program says of peers that misbehave, some hundred times a second, is of no use here. Begun by who plays
     * and not by each of its threads, or the last would undo it to what another had found.
     */
    private static Logs.Undo noContact() {
        return Logs.level(Level.OFF);
    }

    /** Plays a script; what was violated, empty for nothing. */
    static List<String> play(Script script) throws Exception {
        Logs.Undo noContact = noContact();
        try {
            return new World(script).play();
        } finally {
            noContact.close();
        }
    }

    /**
     * Plays the seeds from one up to another, on as many threads.
     *
     * @param enough ends it after so many seeds that violated something
     * @return a line for each of those, by seed
     */
    public static List<String> play(long from, long to, int threads, int enough) throws InterruptedException {
        AtomicLong next = new AtomicLong(from);
        List<String> found = Collections.synchronizedList(new ArrayList<>());
        List<Thread> players = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            Thread player = new Thread(() -> {
                for (long seed = next.getAndIncrement();
                        seed < to && found.size() < enough;
                        seed = next.getAndIncrement()) {
                    try {
                        List<String> violations = new World(Script.of(seed)).play();
                        if (!violations.isEmpty()) {
                            found.add(seed + ": " + violations.get(0));
                        }
                    } catch (Exception | LinkageError | AssertionError e) {
                        found.add(seed + ": " + e);
                    }
                }
            });
            players.add(player);
        }
        await(players);
        List<String> sorted = new ArrayList<>(found);
        sorted.sort(java.util.Comparator.comparingLong(line -> Long.parseLong(line.substring(0, line.indexOf(':')))));
        return sorted;
    }

    private static void await(List<Thread> players) throws InterruptedException {
        Logs.Undo noContact = noContact();
        try {
            players.forEach(Thread::start);
            for (Thread player : players) {
                player.join();
            }
        } finally {
            noContact.close();
        }
    }

    /** How many writes to the system a script makes. For mutants. */
    public static long writes(String script) throws Exception {
        World world = new World(Script.parse(script));
        Logs.Undo noContact = noContact();
        try {
            world.play();
        } finally {
            noContact.close();
        }
        return world.net.writes;
    }

    /**
     * Plays seeds with the recorder and its watch on. For mutants too.
     *
     * @param kind the only kind of alarm that is counted; null for all
     * @param enough ends it after so many plays with an alarm
     * @return how many ms of virtual time were played, and for each play with an alarm a line
     */
    public static List<String> watched(long from, long to, int threads, String kind, int enough)
            throws InterruptedException {
        AtomicLong next = new AtomicLong(from);
        DoubleAdder played = new DoubleAdder();
        List<String> found = Collections.synchronizedList(new ArrayList<>());
        List<Thread> players = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            Thread player = new Thread(() -> {
                for (long seed = next.getAndIncrement();
                        seed < to && found.size() < enough;
                        seed = next.getAndIncrement()) {
                    try {
                        World world = new World(Script.of(seed));
                        world.watch();
                        world.play();
                        played.add(world.lasted);
                        long of = seed;
                        world.alarms.stream()
                                .filter(one -> kind == null || one.kind().name().equals(kind))
                                .findFirst()
                                .ifPresent(one -> found.add(of + ": " + one));
                    } catch (Exception | LinkageError | AssertionError e) {
                        if (kind == null) {
                            found.add(seed + ": " + e);
                        }
                    }
                }
            });
            players.add(player);
        }
        await(players);
        List<String> lines = new ArrayList<>(List.of(Long.toString(Math.round(played.sum()))));
        lines.addAll(found);
        return lines;
    }

    /** The first failing seed, cut down, and what it violates; null if none of so many fails. For mutants. */
    public static String hunt(long runs, int threads) throws Exception {
        List<String> found = play(0, runs, threads, 1);
        if (found.isEmpty()) {
            return null;
        }
        Script cut = Script.of(
                        Long.parseLong(found.get(0).substring(0, found.get(0).indexOf(':'))))
                .shortened();
        List<String> violated = play(cut);
        return cut + ": " + (violated.isEmpty() ? "an exception" : violated.get(0));
    }

    /** Plays one script and cuts it down if it fails, or plays the seeds from one up to another. */
    public static void main(String[] arguments) throws Exception {
        if (arguments.length == 3) {
            watched(
                            Long.parseLong(arguments[0]),
                            Long.parseLong(arguments[1]),
                            Runtime.getRuntime().availableProcessors(),
                            null,
                            MAX_SHOWN)
                    .forEach(System.out::println);
        } else if (arguments.length == 2) {
            long from = Long.parseLong(arguments[0]);
            long to = Long.parseLong(arguments[1]);
            List<String> found = play(from, to, Runtime.getRuntime().availableProcessors(), MAX_SHOWN);
            found.forEach(System.out::println);
            System.out.println(found.size() + " of " + (to - from) + " violated");
        } else {
            Script script = Script.parse(String.join(" ", arguments));
            List<String> found = play(script);
            System.out.println(script + ": " + found);
            if (!found.isEmpty()) {
                Script cut = script.shortened();
                System.out.println(cut + ": " + play(cut));
            }
        }
    }
}
