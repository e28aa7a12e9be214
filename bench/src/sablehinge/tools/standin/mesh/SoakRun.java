package sablehinge.tools.standin.mesh;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One soak run: a mesh of real processes is started, what the schedule says is done to it while clients go on, and what
 * was seen is judged. What is done to one machine comes in order; the machines don't wait for each other.
 */
final class SoakRun {

    private static final Logger LOG = LoggerFactory.getLogger(SoakRun.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern STANDING = Pattern.compile("event=standing role=(\\w+) .*members=(\\d+)");
    private static final Pattern LEAVES = Pattern.compile("at=(\\d+) .*event=drain ");
    private static final long WITHIN_MS = 30_000;
    private static final long LOOK_MS = 50;
    private static final int BERTHS = 6;
    /** A machine of the core counts as lost for so long after its start, ms. */
    private static final long ONBOARD_MS = 4_000;
    /** Requests a second of all clients together, about. */
    private static final int REQUESTS_PER_S = 500;

    private static final int CLIENTS_PER_MACHINE = 5;
    /** Of so many runs of an upstream, one fails and one is broken off. */
    private static final int FAILS_EACH = 30;

    /** How long an upstream serves on once it has signed off, ms. */
    private static final long SERVES_ON_MS = 7_000;
    /** How soon the address of an upstream that has ended is used again, ms. */
    private static final long READDRESS_MS = 2_000;
    /** How late the last heartbeat of an upstream arrives that has signed off, ms. */
    private static final long LATE_HEARTBEAT_MS = 3_000;

    private static final int MS_PER_S = 1_000;
    /** A process that is older handles its signals, ms. */
    private static final double LOADED_MS = 3_000;
    /** Who can't run for so long may break rules for that reason alone, ms. */
    private static final double BUSY_MS = 400;

    private final SoakSchedule schedule;
    private final SmallMesh mesh;
    private final SoakLives lives;
    private final List<SoakClients> clients = new ArrayList<>();
    private final List<SoakTries> tries = new ArrayList<>();
    private final List<SoakCalls> calls = new ArrayList<>();
    private final List<ExecutorService> machines = new ArrayList<>();
    private final ExecutorService core = Executors.newSingleThreadExecutor();
    private final ExecutorService operator = Executors.newSingleThreadExecutor();
    /** The machines of the core that there are now, by their places. */
    private final int[] corePlaces;

    private final AtomicInteger signals = new AtomicInteger();
    private final AtomicInteger changes = new AtomicInteger();
    private volatile String failure;
    private SoakJudge.Report report = new SoakJudge.Report(List.of(), 0, 0, 0, Map.of());
    private long edition = 1;
    private int coreStarts;

    /**
     * What one run came to.
     *
     * @param changes of the configuration that were acknowledged
     * @param longestStallMs for how long a thread of the bench could not run
     * @param findings rules that were broken, if the machine left time to judge that
     * @param report what was judged of the ends of processes
     * @param unconnectedCalls calls of upstreams that found nobody beside them
     * @param failure why it could not be played to its end; null if it was
     */
    record Result(
            long seed,
            int processes,
            int workMs,
            int requests,
            int served,
            int signals,
            int changes,
            double longestStallMs,
            List<SoakFinding> findings,
            SoakJudge.Report report,
            int unconnectedCalls,
            String failure) {

        /** Whether the machine was too busy for times to mean anything. */
        boolean isBusy() {
            return longestStallMs > BUSY_MS;
        }
    }

    private SoakRun(SoakSchedule schedule, SmallMesh.Commands commands) {
        this.schedule = schedule;
        List<String> services = new ArrayList<>();
        for (int i = 0; i < schedule.sidecars(); i++) {
            services.add(i % 3 == 2 ? SmallMesh.MARL : SmallMesh.BASALT);
            machines.add(Executors.newSingleThreadExecutor());
        }
        mesh = new SmallMesh(
                commands, new SmallMesh.Shape(schedule.controlNodes(), services, BERTHS, schedule.workMs()));
        lives = new SoakLives(schedule.sidecars());
        corePlaces = new int[schedule.controlNodes()];
        for (int i = 0; i < corePlaces.length; i++) {
            corePlaces[i] = i;
        }
    }

    /**
     * Plays a schedule.
     *
     * @param logs where the daemons' logs go if something is found; null for nowhere
     */
    static Result play(SoakSchedule schedule, SmallMesh.Commands commands, Path logs) throws InterruptedException {
        SoakRun run = new SoakRun(schedule, commands);
        Thread end = new Thread(run.mesh::close, "end");
        Runtime.getRuntime().addShutdownHook(end);
        try (StallWatch stalls = new StallWatch();
                SmallMesh mesh = run.mesh) {
            Result result = run.play(stalls);
            if (logs != null && (!result.findings().isEmpty() || result.failure() != null)) {
                mesh.keepLogs(logs.resolve("seed-" + schedule.seed()));
            }
            return result;
        } finally {
            Runtime.getRuntime().removeShutdownHook(end);
            run.machines.forEach(ExecutorService::shutdownNow);
            run.core.shutdownNow();
            run.operator.shutdownNow();
        }
    }

    private Result play(StallWatch stalls) throws InterruptedException {
        List<SoakFinding> findings = new ArrayList<>();
        try {
            mesh.start(mesh.version(edition, 0, SmallMesh.BASALT));
            for (int i = 0; i < schedule.sidecars(); i++) {
                watch(i);
            }
            stalls.begin();
            startClients();
            mesh.setUnframedInterval(schedule.runsPerUnframed());
            double begun = TrafficLog.now();
            for (SoakEvent event : schedule.events()) {
                long waitMs = (long) (begun + event.atMs() - TrafficLog.now());
                TimeUnit.MILLISECONDS.sleep(Math.max(0, waitMs));
                submit(event);
            }
            for (ExecutorService one : machines) {
                finish(one);
            }
            finish(core);
            finish(operator);
            stopAll();
            clients.forEach(SoakClients::close);
            judge(findings);
        } catch (MeshException e) {
            fail(e);
        }
        return result(stalls.longestMs(), findings);
    }

    private Result result(double longestStallMs, List<SoakFinding> findings) {
        List<SoakTry> ended = tries();
        return new Result(
                schedule.seed(),
                schedule.sidecars() + schedule.controlNodes(),
                schedule.workMs(),
                ended.size(),
                (int) ended.stream().filter(one -> one.status() / 100 == 2).count(),
                signals.get(),
                changes.get(),
                longestStallMs,
                List.copyOf(findings),
                report,
                calls.stream().mapToInt(SoakCalls::unconnected).sum(),
                failure);
    }

    private List<SoakTry> tries() {
        return tries.stream().flatMap(one -> one.ended().stream()).toList();
    }

    private void startClients() {
        SplittableRandom random = new SplittableRandom(schedule.seed());
        int pauseMs = MS_PER_S * CLIENTS_PER_MACHINE * schedule.sidecars() / REQUESTS_PER_S;
        List<MeshVersion.Route> routes = mesh.version(1, 0, SmallMesh.BASALT).routes();
        for (int i = 0; i < schedule.sidecars(); i++) {
            InetSocketAddress outbound = ClientCall.address(mesh.plan().outbound(i));
            String service = mesh.plan().services().get(i);
            SoakTries own = new SoakTries(i, mesh.trafficLog());
            tries.add(own);
            SoakCalls called = new SoakCalls(outbound, service, routes.get(0), own);
            calls.add(called);
            mesh.setUpstreamDependency(i, FAILS_EACH, called);
            SoakClients one = new SoakClients(i, outbound, service, routes, pauseMs, own);
            clients.add(one);
            one.start(random);
        }
    }

    private void judge(List<SoakFinding> findings) throws InterruptedException {
        report = new SoakJudge(lives, mesh.trafficLog()).judge(tries(), schedule.sidecars());
        findings.addAll(report.findings());
        byte[] readBack = mesh.operator().read(WITHIN_MS);
        new MeshJudge(mesh.trafficLog(), mesh.operator().orders(), MeshPlan.UNLOAD_MS, MeshPlan.EDITION_MS)
                .breaches(readBack).stream()
                        // Machines are hardly ever in touch here, which that rule is about.
                        .filter(words -> !words.contains("as only an older version has it"))
                        .forEach(words -> findings.add(new SoakFinding(words.split(":")[0], -1, Double.NaN, words)));
    }

    private void finish(ExecutorService one) throws InterruptedException {
        one.shutdown();
        if (!one.awaitTermination(WITHIN_MS * 4, TimeUnit.MILLISECONDS)) {
            throw new MeshException(MeshException.Code.TIMEOUT, "the schedule does not come to its end", null);
        }
    }

    private void fail(RuntimeException cause) {
        LOG.warn("a soak run can't go on", cause);
        failure = cause.getMessage();
    }

    // ---- What is done --------------------------------------------------------------------------------

    private interface Step {
        void run() throws InterruptedException;
    }

    private void submit(SoakEvent event) {
        ExecutorService on = event.kind() == SoakEvent.Kind.CHANGES
                ? operator
                : event.kind().isOfCore() ? core : machines.get(event.place());
        Step step = step(event);
        on.execute(() -> {
            try {
                step.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                fail(e);
            }
        });
    }

    private Step step(SoakEvent event) {
        int place = event.place();
        long delayMs = event.delayMs();
        return switch (event.kind()) {
            case STOP -> () -> stop(place, delayMs, false, false);
            case STOP_TWICE -> () -> stop(place, delayMs, true, false);
            case STOP_WITH_HANGUPS -> () -> stop(place, delayMs, false, true);
            case STOP_EARLY -> () -> stopEarly(place, delayMs);
            case KILL -> () -> kill(place, delayMs);
            case HANGUP -> () -> hangUp(place);
            case UPSTREAM_LEAVES ->
                () -> {
                    mesh.drainUpstream(place);
                    TimeUnit.MILLISECONDS.sleep(delayMs);
                    mesh.startUpstream(place);
                };
            case UPSTREAM_CRASHES ->
                () -> {
                    lives.crashes(place);
                    mesh.crashUpstream(place);
                    TimeUnit.MILLISECONDS.sleep(delayMs);
                    mesh.startUpstream(place);
                };
            case UPSTREAM_SLOWS ->
                () -> {
                    mesh.slowUpstream(place, event.count());
                    TimeUnit.MILLISECONDS.sleep(delayMs);
                    mesh.slowUpstream(place, 1);
                };
            case UPSTREAM_SIGNS_OFF -> () -> signOff(place, delayMs);
            case CHANGES -> () -> change(event.count(), delayMs);
            case CONTROL_KILL -> () -> restartControl(place, delayMs, true);
            case CONTROL_STOP -> () -> restartControl(place, delayMs, false);
            case LEADER_STOP -> () -> restartControl(leader(), delayMs, false);
            case CONTROL_REPLACE -> () -> replaceControl(place, delayMs);
        };
    }

    /** Takes down the process that was just started on a machine, until its end. */
    private void watch(int place) {
        SoakLives.Life life = lives.starts(place);
        mesh.sidecar(place).onEnd(() -> life.endedAt = TrafficLog.now());
    }

    private void start(int place) {
        mesh.restartSidecar(place, 1);
        watch(place);
    }

    private void stop(int place, long delayMs, boolean twice, boolean hangUps) throws InterruptedException {
        Daemon sidecar = mesh.sidecar(place);
        if (hangUps) {
            hangUp(place);
        }
        long stoppedAt = terminate(place);
        if (hangUps) {
            hangUp(place);
        }
        if (twice) {
            TimeUnit.MILLISECONDS.sleep(delayMs / 2);
            signals.incrementAndGet();
            sidecar.terminate();
        }
        awaitEnd(place, stoppedAt);
        TimeUnit.MILLISECONDS.sleep(delayMs);
        start(place);
    }

    /** Sends SIGTERM to the sidecar of a machine for the first time; when, ms since the epoch. */
    private long terminate(int place) {
        signals.incrementAndGet();
        long at = System.currentTimeMillis();
        lives.current(place).stoppedAt = TrafficLog.now();
        mesh.sidecar(place).terminate();
        return at;
    }

    private void awaitEnd(int place, long stoppedAt) throws InterruptedException {
        Daemon sidecar = mesh.sidecar(place);
        if (!sidecar.ends((long) (2 * SoakJudge.GRACE_MS))) {
            lives.current(place).killedAt = TrafficLog.now();
            sidecar.kill();
        }
        Matcher leaves = LEAVES.matcher(sidecar.output());
        if (leaves.find()) {
            lives.current(place).heardAfterMs = Long.parseLong(leaves.group(1)) - stoppedAt;
        }
    }

    private void stopEarly(int place, long afterStartMs) throws InterruptedException {
        stop(place, 0, false, false);
        TimeUnit.MILLISECONDS.sleep(afterStartMs / 2);
        stop(place, 0, false, false);
    }

    private void kill(int place, long delayMs) throws InterruptedException {
        lives.current(place).killedAt = TrafficLog.now();
        signals.incrementAndGet();
        mesh.sidecar(place).kill();
        TimeUnit.MILLISECONDS.sleep(delayMs);
        start(place);
    }

    /** The upstream serves on after its sign-off, while the sidecar beside it is killed and started again. */
    private void signOff(int place, long delayMs) throws InterruptedException {
        double end = TrafficLog.now() + SERVES_ON_MS;
        mesh.signOffUpstream(place, LATE_HEARTBEAT_MS);
        kill(place, delayMs);
        TimeUnit.MILLISECONDS.sleep(Math.max(0, (long) (end - TrafficLog.now())));
        lives.crashes(place);
        mesh.crashUpstream(place);
        TimeUnit.MILLISECONDS.sleep(READDRESS_MS);
        mesh.startUpstream(place);
    }

    private void hangUp(int place) throws InterruptedException {
        signals.incrementAndGet();
        SoakLives.Life life = lives.current(place);
        double at = TrafficLog.now();
        mesh.sidecar(place).hangUp();
        // A virtual machine that has not loaded its program yet has nobody who handles the signal.
        if (at - life.startedAt < LOADED_MS && mesh.sidecar(place).ends(LOOK_MS)) {
            life.killedAt = at;
            start(place);
        }
    }

    /** All sidecars are told to end at once, with their clients at work. */
    private void stopAll() throws InterruptedException {
        for (int i = 0; i < schedule.sidecars(); i++) {
            mesh.ready(i);
        }
        long[] stoppedAt = new long[schedule.sidecars()];
        for (int i = 0; i < stoppedAt.length; i++) {
            stoppedAt[i] = terminate(i);
        }
        for (int i = 0; i < stoppedAt.length; i++) {
            awaitEnd(i, stoppedAt[i]);
        }
    }

    // ---- The core ------------------------------------------------------------------------------------

    private void change(int count, long gapMs) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            long next = edition + 1;
            try {
                mesh.operator()
                        .replace(
                                mesh.version(next, edition, next % 2 == 0 ? SmallMesh.MARL : SmallMesh.BASALT),
                                WITHIN_MS);
                edition = next;
                changes.incrementAndGet();
            } catch (MeshException e) {
                // It may be in force or may not.
                edition = Math.max(edition, readEdition());
            }
            TimeUnit.MILLISECONDS.sleep(gapMs);
        }
    }

    private long readEdition() throws InterruptedException {
        try {
            return JSON.readTree(mesh.operator().read(WITHIN_MS))
                    .path("edition")
                    .asLong();
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.TIMEOUT, "what was read back is no configuration", e);
        }
    }

    private int leader() {
        int leads = mesh.operator().leader();
        for (int i = 0; i < corePlaces.length; i++) {
            if (corePlaces[i] == leads) {
                return i;
            }
        }
        return 0;
    }

    private void restartControl(int index, long delayMs, boolean kills) throws InterruptedException {
        int place = corePlaces[index];
        signals.incrementAndGet();
        if (kills || !mesh.controlNode(place).end((long) (2 * SoakJudge.GRACE_MS))) {
            mesh.controlNode(place).kill();
        }
        TimeUnit.MILLISECONDS.sleep(delayMs);
        mesh.restart(place, ++coreStarts);
        awaitMember(place);
    }

    private void replaceControl(int index, long delayMs) throws InterruptedException {
        signals.incrementAndGet();
        mesh.controlNode(corePlaces[index]).kill();
        TimeUnit.MILLISECONDS.sleep(delayMs);
        int place = mesh.addControlNode();
        mesh.restart(place, ++coreStarts);
        corePlaces[index] = place;
        awaitMember(place);
    }

    /** Returns when a machine of the core is a member again and has had its time as such. */
    private void awaitMember(int place) throws InterruptedException {
        double end = TrafficLog.now() + WITHIN_MS;
        while (!isMember(mesh.controlNode(place).output()) && TrafficLog.now() < end) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        TimeUnit.MILLISECONDS.sleep(ONBOARD_MS);
    }

    private boolean isMember(String log) {
        Matcher standing = STANDING.matcher(log);
        boolean is = false;
        while (standing.find()) {
            is = !standing.group(1).equals("OUTSIDER") && Integer.parseInt(standing.group(2)) >= corePlaces.length;
        }
        return is;
    }
}
