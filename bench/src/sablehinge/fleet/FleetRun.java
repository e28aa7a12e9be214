package sablehinge.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.zip.Deflater;
import sablehinge.common.rpc.Frame;
import sablehinge.common.settings.ConfigException;
import sablehinge.dataplane.sidecar.HollowSidecar;
import sablehinge.tools.standin.mesh.TrafficLog;

/**
 * A fleet of one size through its phases: start, changes, load, replaced upstreams, calm, requests through real
 * sidecars, a lost leader, a lost zone, a lost region.
 */
final class FleetRun implements AutoCloseable {

    private static final double MS_PER_S = 1_000;
    private static final double US_PER_MS = 1_000;
    private static final double MB = 1e6;
    private static final long START_MS = 40_000;
    private static final long SETTLE_MS = 2_000;
    private static final long CALM_MS = 10_000;
    private static final long LOAD_MS = 5_000;
    private static final int CHANGES = 5;
    private static final long CHANGE_EVERY_MS = 800;
    private static final long CHANGE_MS = 10_000;
    private static final int REPLACED = 5;
    private static final long REPLACED_EVERY_MS = 400;
    private static final long LEADER_MS = 15_000;
    private static final int MAX_FAILURES = 2;
    private static final int REQUESTS = 1_500;
    private static final long LOST_MS = 20_000;
    private static final long UNDECIDED_MS = 6_000;

    private final FleetPlan plan;
    private final FleetConfiguration configuration;
    private final double callsPerSidecar;
    private final Consumer<String> progress;
    private final Processes processes;
    private final HollowFleet hollow;
    private final FleetOperator operator;
    private final List<Measurement> measurements = new ArrayList<>();
    private long edition;
    private int leader = -1;

    /** What was used and sent until some moment. */
    private record Look(double at, List<Usage> control, List<Usage> sidecars, Map<Frame.Kind, Traffic.Count> traffic) {}

    /**
     * A fleet that does not run yet.
     *
     * @param callsPerSidecar requests a second that arrive at each hollow sidecar while it is under load
     * @param progress is notified of what goes on
     */
    FleetRun(FleetPlan plan, FleetConfiguration configuration, double callsPerSidecar, Consumer<String> progress)
            throws IOException {
        this.plan = plan;
        this.configuration = configuration;
        this.callsPerSidecar = callsPerSidecar;
        this.progress = progress;
        processes = new Processes(plan);
        hollow = new HollowFleet(plan);
        List<String> control = new ArrayList<>();
        for (int i = 0; i < plan.controlNodes(); i++) {
            control.add(plan.control(i));
        }
        operator = FleetOperator.of(control);
    }

    /** Plays all phases; returns what was measured. */
    List<Measurement> play() throws IOException, ConfigException, InterruptedException {
        start();
        changes();
        load();
        replacedUpstreams();
        calm();
        addedTime();
        lostLeader();
        memory();
        lostZone();
        lostRegion();
        processes.failures(MAX_FAILURES).forEach(line -> progress.accept("log: " + line));
        return List.copyOf(measurements);
    }

    private int size() {
        return plan.hollow() + plan.sidecars();
    }

    private boolean knowsAll(HollowSidecar.View view) {
        return view.complete()
                && view.edition() > 0
                && view.roster().size() == size()
                && view.roster().values().stream()
                        .noneMatch(one -> one.upstream().isEmpty());
    }

    private void start() throws IOException, ConfigException, InterruptedException {
        hollow.prepare();
        double begun = TrafficLog.now();
        processes.start();
        hollow.start();
        hollow.await(this::knowsAll);
        byte[] body = configuration.body(1);
        if (!operator.replace(0, body, START_MS)) {
            processes.failures(MAX_FAILURES).forEach(line -> progress.accept("log: " + line));
            throw new IllegalStateException("the first configuration was not acknowledged");
        }
        progress.accept("first configuration acknowledged");
        edition = 1;
        put("start", "fleet", "first_ack", "ms", TrafficLog.now() - begun);
        put("start", "fleet", "configuration", "bytes", body.length);
        put("start", "fleet", "configuration_deflated", "bytes", deflated(body));
        Times known = hollow.awaited(begun, START_MS);
        times("start", "known_roster", known);
        leader = operator.leader();
        Map<Frame.Kind, Traffic.Count> counts = hollow.traffic().counts();
        traffic("start", counts, 0, 1);
        usage("start", processes.controlUsage(), processes.sidecarUsage(), 0);
        settle("start");
    }

    private static int deflated(byte[] body) {
        Deflater deflater = new Deflater();
        deflater.setInput(body);
        deflater.finish();
        int size = deflater.deflate(new byte[body.length]);
        deflater.end();
        return size;
    }

    private void settle(String phase) throws InterruptedException {
        put(phase, "hollow", "late", "ms", hollow.lateMs());
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        hollow.lateMs();
        leader = operator.leader();
    }

    private Look look() {
        return new Look(
                TrafficLog.now(),
                processes.controlUsage(),
                processes.sidecarUsage(),
                hollow.traffic().counts());
    }

    /** What was used and sent since a look, a second. */
    private void rates(String phase, Look before) {
        Look after = look();
        double seconds = (after.at - before.at) / MS_PER_S;
        Map<Frame.Kind, Traffic.Count> since = new EnumMap<>(Frame.Kind.class);
        after.traffic.forEach((kind, count) -> since.put(kind, count.minus(before.traffic.get(kind))));
        traffic(phase, since, seconds, seconds);
        usage(phase, since(after.control, before.control), since(after.sidecars, before.sidecars), seconds);
    }

    private static List<Usage> since(List<Usage> after, List<Usage> before) {
        List<Usage> since = new ArrayList<>();
        for (int i = 0; i < after.size(); i++) {
            boolean both = after.get(i) != null
                    && before.get(i) != null
                    && after.get(i).cpuMs() >= before.get(i).cpuMs();
            since.add(both ? after.get(i).since(before.get(i)) : null);
        }
        return since;
    }

    /** Messages of all hollow sidecars; totals where {@code seconds} is 0, else rates. */
    private void traffic(String phase, Map<Frame.Kind, Traffic.Count> counts, double seconds, double per) {
        String rate = seconds == 0 ? "" : "/s";
        Traffic.Count all = new Traffic.Count(0, 0, 0, 0);
        for (Map.Entry<Frame.Kind, Traffic.Count> entry : counts.entrySet()) {
            Traffic.Count count = entry.getValue();
            all = all.plus(count);
            if (count.sent() + count.received() > 0) {
                String kind = entry.getKey().name().toLowerCase(Locale.ROOT);
                put(phase, "fleet", kind + "_to_control", "1" + rate, count.sent() / per);
                put(phase, "fleet", kind + "_from_control", "1" + rate, count.received() / per);
                put(phase, "fleet", kind + "_from_control_bytes", "B" + rate, count.receivedBytes() / per);
            }
        }
        put(phase, "fleet", "to_control", "1" + rate, all.sent() / per);
        put(phase, "fleet", "to_control_bytes", "B" + rate, all.sentBytes() / per);
        put(phase, "fleet", "from_control", "1" + rate, all.received() / per);
        put(phase, "fleet", "from_control_bytes", "B" + rate, all.receivedBytes() / per);
        put(phase, "hollow", "in_bytes", "B" + rate, all.receivedBytes() / per / plan.hollow());
        put(phase, "hollow", "out_bytes", "B" + rate, all.sentBytes() / per / plan.hollow());
    }

    /** What processes used: totals where {@code seconds} is 0, else rates. */
    private void usage(String phase, List<Usage> control, List<Usage> sidecars, double seconds) {
        List<Usage> voters = new ArrayList<>();
        for (int i = 0; i < control.size(); i++) {
            if (control.get(i) != null && i == leader) {
                usage(phase, "leader", List.of(control.get(i)), seconds);
            } else if (control.get(i) != null) {
                voters.add(control.get(i));
            }
        }
        usage(phase, "voter", voters, seconds);
        usage(phase, "sidecar", sidecars.stream().filter(one -> one != null).toList(), seconds);
    }

    private void usage(String phase, String role, List<Usage> of, double seconds) {
        if (of.isEmpty()) {
            return;
        }
        double per = (seconds == 0 ? 1 : seconds) * of.size();
        String rate = seconds == 0 ? "" : "/s";
        put(
                phase,
                role,
                "cpu",
                "ms" + rate,
                of.stream().mapToDouble(Usage::cpuMs).sum() / per);
        put(
                phase,
                role,
                "read",
                "B" + rate,
                of.stream().mapToDouble(Usage::readBytes).sum() / per);
        put(
                phase,
                role,
                "written",
                "B" + rate,
                of.stream().mapToDouble(Usage::writtenBytes).sum() / per);
        put(
                phase,
                role,
                "reads",
                "1" + rate,
                of.stream().mapToDouble(Usage::reads).sum() / per);
        put(
                phase,
                role,
                "writes",
                "1" + rate,
                of.stream().mapToDouble(Usage::writes).sum() / per);
    }

    private void calm() throws InterruptedException {
        progress.accept("calm");
        Look before = look();
        Map<String, Double> threads = processes.threadsOfSidecars();
        TimeUnit.MILLISECONDS.sleep(CALM_MS);
        rates("calm", before);
        double per = plan.sidecars() * CALM_MS / MS_PER_S;
        processes
                .threadsOfSidecars()
                .forEach((name, ms) ->
                        put("calm", "sidecar", "cpu_of_" + name, "ms/s", (ms - threads.getOrDefault(name, 0.0)) / per));
        settle("calm");
    }

    private void changes() throws InterruptedException {
        progress.accept("changes");
        Look before = look();
        double acked = 0;
        int refused = 0;
        double[] p50 = new double[CHANGES];
        double[] p99 = new double[CHANGES];
        double[] most = new double[CHANGES];
        double real = 0;
        int missing = 0;
        for (int i = 0; i < CHANGES; i++) {
            long next = edition + 1;
            byte[] body = configuration.body(next);
            hollow.await(view -> view.edition() >= next);
            double sent = TrafficLog.now();
            double sentAt = System.currentTimeMillis();
            if (operator.replace(edition, body, CHANGE_MS)) {
                edition = next;
            } else {
                refused++;
            }
            acked += (TrafficLog.now() - sent) / CHANGES;
            Times times = hollow.awaited(sent, CHANGE_MS);
            p50[i] = times.p50();
            p99[i] = times.p99();
            most[i] = times.most();
            missing += times.missing();
            TimeUnit.MILLISECONDS.sleep(CHANGE_EVERY_MS);
            for (double at : processes.inForceAt(next)) {
                real = Double.isNaN(at) ? Double.NaN : Math.max(real, at - sentAt);
            }
        }
        rates("change", before);
        put("change", "fleet", "acknowledged", "ms", acked);
        put("change", "fleet", "refused", "1", refused);
        times("change", "in_force", new Times(mean(p50), mean(p99), greatest(most), missing));
        put("change", "sidecar", "in_force_most", "ms", real);
        settle("change");
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }

    private static double greatest(double[] values) {
        double most = values[0];
        for (double value : values) {
            most = Math.max(most, value);
        }
        return most;
    }

    private void load() throws InterruptedException {
        progress.accept("load");
        hollow.demand(callsPerSidecar);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        long granted = granted();
        long refused = refused();
        long requested = requested();
        Look before = look();
        TimeUnit.MILLISECONDS.sleep(LOAD_MS);
        rates("load", before);
        double seconds = (TrafficLog.now() - before.at) / MS_PER_S;
        put("load", "fleet", "granted", "1/s", (granted() - granted) / seconds);
        put("load", "fleet", "refused", "1/s", (refused() - refused) / seconds);
        put("load", "fleet", "waited", "1/s", (requested() - requested) / seconds);
        hollow.demand(0);
        settle("load");
    }

    private long granted() {
        return hollow.all().stream().mapToLong(HollowSidecar::granted).sum();
    }

    private long refused() {
        return hollow.all().stream().mapToLong(HollowSidecar::refused).sum();
    }

    private long requested() {
        return hollow.all().stream().mapToLong(HollowSidecar::requested).sum();
    }

    private void replacedUpstreams() throws InterruptedException {
        progress.accept("replaced upstreams");
        Look before = look();
        double[] p50 = new double[REPLACED];
        double[] p99 = new double[REPLACED];
        double[] most = new double[REPLACED];
        int missing = 0;
        for (int i = 0; i < REPLACED; i++) {
            int place = i * (plan.hollow() - 1) / REPLACED;
            double at = TrafficLog.now();
            String incarnation = hollow.replaceUpstream(place);
            String node = FleetPlan.node(place);
            hollow.await(view -> view.roster().get(node) != null
                    && view.roster().get(node).upstream().equals(incarnation));
            Times times = hollow.awaited(at, CHANGE_MS);
            p50[i] = times.p50();
            p99[i] = times.p99();
            most[i] = times.most();
            missing += times.missing();
            TimeUnit.MILLISECONDS.sleep(REPLACED_EVERY_MS);
        }
        rates("replace", before);
        times("replace", "known", new Times(mean(p50), mean(p99), greatest(most), missing));
        settle("replace");
    }

    private void lostLeader() throws IOException, InterruptedException {
        progress.accept("lost leader");
        if (leader < 0) {
            return;
        }
        long[] term = new long[1];
        hollow.await(view -> {
            term[0] = Math.max(term[0], view.term());
            return true;
        });
        hollow.awaited(0, CHANGE_MS);
        long before = term[0];
        double killed = TrafficLog.now();
        hollow.await(view -> view.term() > before && knowsAll(view));
        processes.killControl(leader);
        times("leader", "known_roster", hollow.awaited(killed, LEADER_MS));
        int struck = leader;
        settle("leader");
        processes.restartControl(struck);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
    }

    /** One request after the other, straight to an upstream and through two sidecars. */
    private void addedTime() throws InterruptedException {
        progress.accept("added time");
        Map<String, Double> threads = processes.threadsOfSidecars();
        double begun = TrafficLog.now();
        AddedTime.Result result = AddedTime.measure(plan, REQUESTS);
        put("serve", "sidecar", "seconds", "s", (TrafficLog.now() - begun) / MS_PER_S);
        // Of all sidecars, for a request that passes two of them; what they do beside is in it.
        processes
                .threadsOfSidecars()
                .forEach((name, ms) -> put(
                        "serve",
                        "sidecars",
                        "cpu_per_request_of_" + name,
                        "us",
                        (ms - threads.getOrDefault(name, 0.0)) * US_PER_MS / (REQUESTS + AddedTime.WARM_UP)));
        put("serve", "sidecar", "direct_p50", "ms", result.direct().p50());
        put("serve", "sidecar", "direct_p99", "ms", result.direct().p99());
        put("serve", "sidecar", "through_p50", "ms", result.through().p50());
        put("serve", "sidecar", "through_p99", "ms", result.through().p99());
        put(
                "serve",
                "sidecar",
                "failed",
                "1",
                result.direct().missing() + result.through().missing());
    }

    /** A zone without real sidecars goes, with its control node. */
    private void lostZone() throws InterruptedException {
        progress.accept("lost zone");
        lose("zone", zone -> zone == FleetPlan.controlZone(1));
    }

    /** The region goes that has more of the first control nodes; is a change still acknowledged elsewhere? */
    private void lostRegion() throws InterruptedException {
        progress.accept("lost region");
        processes.killSidecars();
        lose("region", zone -> zone < FleetPlan.ZONES / 2);
        double sent = TrafficLog.now();
        boolean taken = operator.replace(edition, configuration.body(edition + 1), UNDECIDED_MS);
        put("region", "fleet", "change_acknowledged", "1", taken ? 1 : 0);
        put("region", "fleet", "change_answered", "ms", TrafficLog.now() - sent);
    }

    private void lose(String phase, IntPredicate lost) throws InterruptedException {
        Set<String> zones = new HashSet<>();
        for (int i = 0; i < FleetPlan.ZONES; i++) {
            if (lost.test(i)) {
                zones.add(FleetPlan.zone(i));
            }
        }
        double at = TrafficLog.now();
        hollow.kill(sidecar -> zones.contains(sidecar.settings().zone()));
        for (int i = 0; i < plan.controlNodes(); i++) {
            if (lost.test(FleetPlan.controlZone(i))) {
                processes.killControl(i);
            }
        }
        hollow.await(
                view -> view.roster().values().stream().noneMatch(one -> one.ready() && zones.contains(one.zone())));
        times(phase, "known_roster", hollow.awaited(at, LOST_MS));
        put(phase, "hollow", "late", "ms", hollow.lateMs());
    }

    private void memory() {
        List<Usage> control = processes.controlUsage();
        double voters = 0;
        double peak = 0;
        long state = 0;
        for (int i = 0; i < control.size(); i++) {
            if (control.get(i) != null) {
                voters = Math.max(voters, control.get(i).residentBytes());
                peak = Math.max(peak, control.get(i).peakBytes());
            }
            state = Math.max(state, processes.stateBytes(i));
        }
        put("end", "voter", "members", "1", processes.members());
        put("end", "voter", "resident_most", "MB", voters / MB);
        put("end", "leader", "peak_most", "MB", peak / MB);
        put("end", "voter", "state_on_disk", "MB", state / MB);
        List<Usage> sidecars = processes.sidecarUsage();
        put(
                "end",
                "sidecar",
                "resident",
                "MB",
                sidecars.stream()
                                .filter(one -> one != null)
                                .mapToDouble(Usage::residentBytes)
                                .average()
                                .orElse(Double.NaN)
                        / MB);
        put(
                "end",
                "sidecar",
                "peak_most",
                "MB",
                sidecars.stream()
                                .filter(one -> one != null)
                                .mapToDouble(Usage::peakBytes)
                                .max()
                                .orElse(Double.NaN)
                        / MB);
        put(
                "end",
                "hollow",
                "resident_of_process",
                "MB",
                Usage.of(ProcessHandle.current().pid()).residentBytes() / MB);
    }

    private void times(String phase, String metric, Times times) {
        put(phase, "fleet", metric + "_p50", "ms", times.p50());
        put(phase, "fleet", metric + "_p99", "ms", times.p99());
        put(phase, "fleet", metric + "_most", "ms", times.most());
        put(phase, "fleet", metric + "_missing", "1", times.missing());
    }

    private void put(String phase, String role, String metric, String unit, double value) {
        measurements.add(new Measurement(size(), phase, role, metric, unit, value));
    }

    @Override
    public void close() {
        hollow.close();
        processes.close();
    }
}
