package sablehinge.tools.standin.mesh;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How long a mesh of real processes takes to come back. In each play an operator has a configuration acknowledged,
 * within some ms a loss strikes, what was struck is started again half a second later, and the operator reads back.
 * Requests go on at a steady rate all the while.
 */
final class RecoveryBench {

    private static final double PER_SECOND = 60;
    private static final long CALM_MS = 500;
    private static final int AFTER_ACK_MS = 4;
    private static final long DOWN_MS = 500;
    private static final double STEADY_MS = 2_000;
    private static final long WITHIN_MS = 30_000;
    private static final long LOOK_MS = 10;
    private static final int UNLIKE = 2;
    /** The bench itself had no time for so long: such a play measures the machine. */
    private static final double STALL_MS = 200;

    private static final double S = 1_000;
    private static final Pattern STANDING = Pattern.compile("event=standing role=(\\w+) .*members=(\\d+)");

    /** What is lost: all processes, all power, that and one disk, one disk, one machine. */
    private enum Loss {
        KILL,
        POWER,
        POWER_WIPE,
        WIPE,
        REPLACE;

        /** Whether it takes one machine of the core and its disk, and not all processes for a while. */
        private boolean isOfOne() {
            return this == WIPE || this == REPLACE;
        }

        private boolean isOfPower() {
            return this == POWER || this == POWER_WIPE;
        }
    }

    /** What is timed; null where a play came to no end of it. */
    private enum Mark {
        FIRST,
        SERVED95,
        ACKED,
        MEMBER
    }

    /** What became of a play: times in ms, the share served since the strike, the bench's own lateness. */
    private static final class Outcome {
        private final Map<Mark, Double> times = new EnumMap<>(Mark.class);
        private double share = Double.NaN;
        private double late;
        private boolean lost;
        private String failure;
    }

    private final DeployCommands commands;
    private final Set<SmallMesh> open = ConcurrentHashMap.newKeySet();
    private final Path logs;

    private RecoveryBench(Path logs) throws IOException {
        this.logs = logs;
        commands = DeployCommands.ofBuild();
    }

    /** Arguments: plays of each loss (20), how many go on side by side (2), a folder for logs (none). */
    public static void main(String[] args) throws Exception {
        int plays = args.length > 0 ? Integer.parseInt(args[0]) : 20;
        int side = args.length > 1 ? Integer.parseInt(args[1]) : 2;
        RecoveryBench bench = new RecoveryBench(args.length > 2 ? Path.of(args[2]) : null);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> bench.open.forEach(SmallMesh::close)));
        System.exit(bench.run(plays, side) ? 0 : 1);
    }

    private boolean run(int plays, int side) throws InterruptedException {
        double begun = TrafficLog.now();
        ExecutorService seats = Executors.newFixedThreadPool(side);
        Map<Loss, List<CompletableFuture<Outcome>>> outcomes = new EnumMap<>(Loss.class);
        for (int i = 0; i < plays; i++) {
            for (Loss loss : Loss.values()) {
                int number = i;
                outcomes.computeIfAbsent(loss, none -> new ArrayList<>())
                        .add(CompletableFuture.supplyAsync(() -> outcome(loss, number), seats));
            }
        }
        ObjectNode json =
                JsonNodeFactory.instance.objectNode().put("plays", plays).put("side", side);
        System.out.printf(
                Locale.ROOT,
                "%-10s %-9s %8s %8s %8s %8s   %5s %6s %7s %s%n",
                "loss",
                "s until",
                "least",
                "p50",
                "p99",
                "most",
                "lost",
                "failed",
                "stalled",
                "least served");
        int lost = 0;
        int failed = 0;
        for (Loss loss : Loss.values()) {
            List<Outcome> all =
                    outcomes.get(loss).stream().map(CompletableFuture::join).toList();
            ObjectNode of = json.putObject(loss.name().toLowerCase(Locale.ROOT));
            int gone = (int) all.stream().filter(one -> one.lost).count();
            int broken = (int) all.stream().filter(one -> one.failure != null).count();
            int stalled = (int) all.stream().filter(one -> one.late > STALL_MS).count();
            for (Mark mark : Mark.values()) {
                row(loss, mark, all, of, String.format(Locale.ROOT, "%5d %6d %7d", gone, broken, stalled));
            }
            of.put("lost", gone).put("failed", broken).put("stalled", stalled).put("plays", all.size());
            lost += gone;
            failed += broken;
        }
        seats.shutdown();
        for (Loss loss : Loss.values()) {
            for (int i = 0; i < plays; i++) {
                String failure = outcomes.get(loss).get(i).join().failure;
                if (failure != null) {
                    System.out.println(loss + " " + i + ": " + failure);
                }
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%d plays, %d side by side, in %.0f s%n",
                plays * Loss.values().length,
                side,
                (TrafficLog.now() - begun) / S);
        System.out.println(
                json.put("lost", lost).put("failed", failed).put("wall_s", Math.round((TrafficLog.now() - begun) / S)));
        return lost == 0 && failed == 0;
    }

    private static void row(Loss loss, Mark mark, List<Outcome> all, ObjectNode of, String counts) {
        // A play that came to no end of it counts with all the time that it was given.
        double[] times = all.stream()
                .mapToDouble(one -> one.times.getOrDefault(mark, one.failure == null ? Double.NaN : WITHIN_MS) / S)
                .filter(time -> !Double.isNaN(time))
                .sorted()
                .toArray();
        if (times.length == 0 || !loss.isOfOne() && mark.ordinal() > Mark.SERVED95.ordinal()) {
            return;
        }
        String share = !loss.isOfOne()
                ? ""
                : String.format(
                        Locale.ROOT,
                        "%6.1f%%",
                        100
                                * all.stream()
                                        .mapToDouble(one -> one.share)
                                        .filter(one -> !Double.isNaN(one))
                                        .min()
                                        .orElse(0));
        System.out.printf(
                Locale.ROOT,
                "%-10s %-9s %8.2f %8.2f %8.2f %8.2f   %s %s%n",
                loss.name().toLowerCase(Locale.ROOT),
                mark.name().toLowerCase(Locale.ROOT),
                times[0],
                at(times, 0.5),
                at(times, 0.99),
                times[times.length - 1],
                counts,
                share);
        of.putObject(mark.name().toLowerCase(Locale.ROOT))
                .put("p50_s", round(at(times, 0.5)))
                .put("p99_s", round(at(times, 0.99)));
    }

    /** The least of the values that so large a part does not exceed. */
    private static double at(double[] sorted, double part) {
        return sorted[(int) Math.max(0, Math.ceil(part * sorted.length) - 1)];
    }

    private static double round(double seconds) {
        return Math.round(seconds * S) / S;
    }

    private Outcome outcome(Loss loss, int number) {
        Outcome outcome = new Outcome();
        SmallMesh mesh = new SmallMesh((role, place, start) -> command(loss, role));
        open.add(mesh);
        try (mesh) {
            try {
                play(mesh, loss, number, outcome);
            } catch (MeshException | CompletionException e) {
                outcome.failure = e.getMessage();
            }
            try {
                outcome.lost = MeshJudge.lostOrder(
                                mesh.operator().orders(), mesh.operator().read(WITHIN_MS))
                        != null;
            } catch (MeshException e) {
                // Nobody can say that it is still there.
                outcome.lost = mesh.operator().orders().stream().anyMatch(one -> one.ackedAt() > 0);
                outcome.failure = "read back: " + e.getMessage();
            }
            if (logs != null) {
                mesh.keepLogs(logs.resolve(loss.name().toLowerCase(Locale.ROOT) + "-" + number));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            outcome.failure = "interrupted";
        } finally {
            open.remove(mesh);
        }
        return outcome;
    }

    private List<String> command(Loss loss, String role) {
        List<String> command = new ArrayList<>(commands.command(role, 0, 0));
        if (loss.isOfPower() && role.equals("control")) {
            // The same program but for the disk; an archive holds for its class path and what follows it.
            int jar = command.indexOf("-jar");
            String path = command.get(jar + 1) + ":target/test-classes";
            command.subList(jar, command.size()).clear();
            command.addAll(List.of("-cp", path, "sablehinge.controlplane.node.UnsyncedControlNode"));
        }
        return command;
    }

    private static void play(SmallMesh mesh, Loss loss, int number, Outcome outcome) throws InterruptedException {
        mesh.start(mesh.version(1, 0, SmallMesh.BASALT));
        List<InetSocketAddress> outbound = new ArrayList<>();
        for (int i = 0; i < mesh.plan().services().size(); i++) {
            outbound.add(ClientCall.address(mesh.plan().outbound(i)));
        }
        try (Pulse pulse =
                new Pulse(outbound, mesh.version(1, 0, SmallMesh.BASALT).routes(), PER_SECOND)) {
            double begun = TrafficLog.now();
            until("95% served before the strike", () -> !Double.isNaN(pulse.well(begun, CALM_MS)));
            int struck = Math.floorMod(
                    mesh.operator().leader() + number % UNLIKE, mesh.plan().controlNodes());
            mesh.operator().replace(mesh.version(2, 1, SmallMesh.MARL), WITHIN_MS);
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(AFTER_ACK_MS + 1));
            try {
                if (loss.isOfOne()) {
                    one(mesh, loss, struck, number, pulse, outcome);
                } else {
                    all(mesh, loss, struck, pulse, outcome);
                }
            } finally {
                outcome.late = pulse.late();
            }
        }
    }

    private static void all(SmallMesh mesh, Loss loss, int struck, Pulse pulse, Outcome outcome)
            throws InterruptedException {
        mesh.killAll();
        if (loss.isOfPower()) {
            mesh.crashUpstreams();
        }
        if (loss == Loss.POWER_WIPE) {
            mesh.wipe(struck);
        }
        TimeUnit.MILLISECONDS.sleep(DOWN_MS);
        double back = TrafficLog.now();
        if (loss.isOfPower()) {
            mesh.startUpstreams();
        }
        mesh.restartAll(1);
        served(pulse, back, outcome);
    }

    private static void served(Pulse pulse, double from, Outcome outcome) throws InterruptedException {
        until("95% served", () -> !Double.isNaN(pulse.well(from, STEADY_MS)));
        outcome.times.put(Mark.FIRST, pulse.first(from) - from);
        outcome.times.put(Mark.SERVED95, pulse.well(from, 0) - from);
    }

    private static void one(SmallMesh mesh, Loss loss, int struck, int number, Pulse pulse, Outcome outcome)
            throws InterruptedException {
        double strike = TrafficLog.now();
        mesh.controlNode(struck).kill();
        CompletableFuture<Double> acked = CompletableFuture.supplyAsync(() -> {
            replace(mesh, 3);
            return TrafficLog.now();
        });
        TimeUnit.MILLISECONDS.sleep(DOWN_MS);
        double back = TrafficLog.now();
        int newcomer = struck;
        if (loss == Loss.REPLACE) {
            newcomer = mesh.addControlNode();
        } else {
            mesh.wipe(struck);
        }
        mesh.restart(newcomer, 1);
        Daemon came = mesh.controlNode(newcomer);
        until("a member again", () -> isMember(came.output(), mesh.plan().controlNodes()));
        outcome.times.put(Mark.MEMBER, TrafficLog.now() - back);
        outcome.times.put(Mark.ACKED, acked.join() - strike);
        served(pulse, strike, outcome);
        outcome.share = pulse.share(strike);
        // The proof that the newcomer counts: with one more gone, nothing is taken without it.
        List<Integer> others = new ArrayList<>(List.of(0, 1, 2));
        others.remove(Integer.valueOf(struck));
        mesh.controlNode(others.get(number / UNLIKE % others.size())).kill();
        replace(mesh, 4);
    }

    private static void replace(SmallMesh mesh, long edition) {
        try {
            mesh.operator()
                    .replace(
                            mesh.version(edition, edition - 1, edition % 2 == 0 ? SmallMesh.MARL : SmallMesh.BASALT),
                            WITHIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isMember(String log, int members) {
        Matcher standing = STANDING.matcher(log);
        boolean is = false;
        while (standing.find()) {
            is = !standing.group(1).equals("OUTSIDER") && Integer.parseInt(standing.group(2)) == members;
        }
        return is;
    }

    private static void until(String what, BooleanSupplier holds) throws InterruptedException {
        double end = TrafficLog.now() + WITHIN_MS;
        while (!holds.getAsBoolean()) {
            if (TrafficLog.now() > end) {
                throw new MeshException(MeshException.Code.TIMEOUT, "not within " + WITHIN_MS + " ms: " + what, null);
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
    }
}
