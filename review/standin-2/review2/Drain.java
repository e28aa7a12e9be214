package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * DRAIN: an upstream signs off, is acknowledged and serves on; the process of the sidecar beside it is killed and starts
 * again; a beat that the upstream sent before it signed off arrives late. With TROUBLE=0 the sidecar is not killed; the
 * late beat comes all the same.
 */
final class Drain {
    private static final long UNLOAD_MS = 2_500;
    private static final long CONTACT_MS = 3_000;
    private static final int CLIENTS = 8;
    /** How long the upstream serves on after it was acknowledged. */
    private static final long SERVES_ON_MS = 7_000;
    /** The mean of report-purchase in the site file. */
    private static final long WORK_MS = 210;
    private static final long BEAT_LATE_MS = 3_000;

    private Drain() {}

    private static void warm(Log log, Mesh mesh) throws IOException {
        int served = 0;
        for (int i = 0; i < 200 && served < 20; i++) {
            try (Client client = new Client(log, mesh.outbound(1))) {
                served += client.call("POST", "/buy/1", Client.newId(), 2_000, new byte[10]).success() ? 1 : 0;
            }
            Mesh.sleep(50);
        }
        if (served < 20) {
            throw new IOException("no request is served");
        }
    }

    private static boolean run(Log log, Mesh mesh) throws Exception {
        Upstream leaving = new Upstream(log, "i-basalt-1", "basalt", mesh.app(0), mesh.control(0), 12);
        new Upstream(log, "i-marl-1", "marl", mesh.app(1), mesh.control(1), 12);
        Upstream staying = new Upstream(log, "i-basalt-2", "basalt", mesh.app(2), mesh.control(2), 12);
        mesh.start(Mesh.configuration(
                1, mesh.depots, Mesh.route("r-buy", "unsafe", "/buy/", "basalt", 800, 5_000, 2)));
        warm(log, mesh);
        Mesh.sleep(CONTACT_MS + 500);
        ConcurrentHashMap<String, Double> ranAt = new ConcurrentHashMap<>();
        leaving.work = run -> {
            ranAt.put(run.tryId, log.now());
            Mesh.sleep(WORK_MS);
            return run.ok(new byte[100]);
        };
        staying.work = run -> {
            Mesh.sleep(WORK_MS);
            return run.ok(new byte[100]);
        };
        // The upstream leaves: its last beat is on its way when it signs off, and no further beat is sent.
        leaving.beating = false;
        Mesh.sleep(200);
        byte[] lateBeat = leaving.beat();
        double beatAt = log.now();
        if (!leaving.send("Servers.SignOff", new byte[0])) {
            throw new IOException("the sign-off is not acknowledged");
        }
        final double acknowledgedAt = log.now();
        log.line("the sign-off of " + leaving.id + " is acknowledged");
        double startedAt = acknowledgedAt;
        if (Mesh.trouble()) {
            Mesh.sleep(200);
            mesh.sidecarProcesses[0].destroyForcibly().waitFor();
            log.line("SIGKILL to the sidecar beside it");
            Mesh.sleep(500);
            mesh.startSidecar(0);
            startedAt = log.now();
            log.line("the sidecar is started again");
        }
        Mesh.thread("late beat", () -> {
            Mesh.sleep((long) (beatAt + BEAT_LATE_MS - log.now()));
            log.line("the late beat arrives: acknowledged " + leaving.send("Servers.Heartbeat", lateBeat));
        });
        // All machines are in touch again after contactMs.
        double from = Math.max(acknowledgedAt + UNLOAD_MS, startedAt + CONTACT_MS) + 500;
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Mesh.thread("client", () -> {
                while (log.now() < acknowledgedAt + SERVES_ON_MS + 500) {
                    try (Client client = new Client(log, mesh.outbound(1))) {
                        String id = Client.newId();
                        Client.Answer answer = client.call("POST", "/buy/" + id, id, 2_000, new byte[100]);
                        log.quiet("request " + id + ": " + answer);
                        sent.incrementAndGet();
                        served.addAndGet(answer.success() ? 1 : 0);
                    } catch (IOException e) {
                        log.quiet("no connection: " + e.getMessage());
                    }
                    Mesh.sleep(50);
                }
            }));
        }
        Mesh.sleep((long) (acknowledgedAt + SERVES_ON_MS - log.now()));
        leaving.close();
        log.line(leaving.id + " ends, " + Math.round(log.now() - acknowledgedAt) + " ms after its acknowledgement");
        for (Thread client : clients) {
            client.join();
        }
        long late = ranAt.values().stream().filter(at -> at > from).count();
        log.line(sent + " requests that can't be repeated from a machine in touch, " + (sent.get() - served.get())
                + " lost; " + ranAt.size() + " of them ran on "
                + leaving.id + " after its acknowledged sign-off, " + late + " later than " + Math.round(from
                        - acknowledgedAt) + " ms after it (unloadMs is " + UNLOAD_MS + "), with all machines in touch");
        mesh.recordLogs(".*event=(upstream|upstream-leaves|starts|health).*");
        return late > 0;
    }

    public static void main(String[] args) {
        Case.main(args, 3, List.of("basalt", "marl", "basalt"), Drain::run);
    }
}
