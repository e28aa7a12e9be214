package sablehinge.tools.standin.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * CONFIG: many uploads at once do not use up the direct memory of a sidecar, which then answers nothing for seconds.
 */
@Timeout(120)
class UploadBurstTest {

    private static final int BODY_BYTES = 600_000;
    private static final int LEFT_MS = 12_000;
    private static final int ANSWER_MS = 30_000;
    private static final int BERTHS = 12;
    private static final int WORK_MS = 190;
    /** The machine whose upstream takes the uploads, so that both hops are in one process. */
    private static final int MACHINE = 1;
    /** How long the readiness question may wait (PROTOCOL: silence for a second is a miss). */
    private static final double READY_MS = 1_000;
    /** How long after its time a request may be without an answer (NEWS-18, CONFIG). */
    private static final double AFTER_TIMEOUT_MS = 500;

    private static List<String> command(String role, int place, int start) {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:MaxDirectMemorySize=64m",
                "-cp",
                System.getProperty("java.class.path"),
                "sablehinge.cli.Main",
                role);
    }

    /** How an upload ended: its status, or 0 for none, and how long after its last byte. */
    private record End(int status, double tookMs) {}

    private static End upload(InetSocketAddress outbound, int number, boolean chunked, CountDownLatch begin)
            throws IOException, InterruptedException {
        byte[] bytes = ClientCall.request(
                "POST",
                "/put/" + number,
                MeshVersion.headers(String.format("%016x", number + 1), LEFT_MS),
                new byte[BODY_BYTES],
                chunked);
        try (ClientCall call = new ClientCall(outbound, ANSWER_MS, false)) {
            begin.await();
            call.write(bytes, 0, bytes.length);
            double sentAt = TrafficLog.now();
            Message answer = call.receive();
            return new End(answer == null ? 0 : answer.status(), TrafficLog.now() - sentAt);
        }
    }

    /** Asks whether the sidecar is ready until the uploads are over; the longest time that an answer took. */
    private static double longestReadyMs(SmallMesh mesh, AtomicBoolean over) throws InterruptedException {
        double longest = 0;
        while (!over.get()) {
            double askedAt = TrafficLog.now();
            boolean ready = mesh.isReady(MACHINE);
            longest = Math.max(longest, ready ? TrafficLog.now() - askedAt : Double.POSITIVE_INFINITY);
            Thread.sleep(50);
        }
        return longest;
    }

    @ParameterizedTest
    @CsvSource({"50, false", "160, false", "160, true"})
    void uploadsAtOnceAreAnsweredInTime(int clients, boolean chunked) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(clients + 1);
        try (SmallMesh mesh = new SmallMesh(
                UploadBurstTest::command,
                new SmallMesh.Shape(1, List.of(SmallMesh.BASALT, SmallMesh.MARL), BERTHS, WORK_MS))) {
            mesh.start(mesh.version(1, 0, SmallMesh.BASALT));
            InetSocketAddress outbound = ClientCall.address(mesh.plan().outbound(MACHINE));
            CountDownLatch begin = new CountDownLatch(1);
            List<Callable<End>> uploads = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                int number = i;
                uploads.add(() -> upload(outbound, number, chunked, begin));
            }
            List<Future<End>> ends = uploads.stream().map(threads::submit).toList();
            AtomicBoolean over = new AtomicBoolean();
            Future<Double> longestReadyMs = threads.submit(() -> longestReadyMs(mesh, over));
            begin.countDown();
            List<String> wrong = new ArrayList<>();
            int served = 0;
            for (Future<End> one : ends) {
                End end = one.get();
                served += end.status() == 200 ? 1 : 0;
                if (end.status() == 0 || end.tookMs() > MeshVersion.TIMEOUT_MS + AFTER_TIMEOUT_MS) {
                    wrong.add(end.toString());
                }
            }
            over.set(true);
            assertEquals(List.of(), wrong);
            assertTrue(longestReadyMs.get() < READY_MS, () -> "not ready for " + longestReadyMs);
            assertTrue(served >= BERTHS, "served: " + served);
            String log = mesh.sidecar(MACHINE).output();
            assertTrue(!log.contains("OutOfMemoryError"), log);
        } finally {
            threads.shutdownNow();
        }
    }
}
