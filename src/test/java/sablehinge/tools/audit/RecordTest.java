package sablehinge.tools.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.tools.audit.judge.AuditRules;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.AuditRules.Group;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.BalancerNote;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.ColdOverload;
import sablehinge.tools.audit.judge.Evidence.DuplicateAnswer;
import sablehinge.tools.audit.judge.Evidence.Echo;
import sablehinge.tools.audit.judge.Evidence.End;
import sablehinge.tools.audit.judge.Evidence.How;
import sablehinge.tools.audit.judge.Evidence.PartyEnded;
import sablehinge.tools.audit.judge.Evidence.ServerAttempt;
import sablehinge.tools.audit.judge.Evidence.ServerStateUpdate;

class RecordTest {

    private static final AuditRules RULES = new AuditRules(
            Map.of("c", new ClassTerms(Effect.KEYED, Group.ZONE, 4_000)), 70, 2_050, 100, 10_000, true, false);

    @TempDir
    private Path folder;

    /** A timestamp with microsecond precision, as the lines have it. */
    private static double timestamp(SplittableRandom random) {
        return Math.round((1.79e12 + random.nextDouble(1e6)) * 1_000) / 1_000.0;
    }

    private static Evidence random(SplittableRandom random) {
        double at = timestamp(random);
        double timeOrNaN = random.nextBoolean() ? timestamp(random) : Double.NaN;
        String text = random.nextBoolean() ? "" : "q\"\\\u00e9\n" + random.nextInt();
        return switch (random.nextInt(7)) {
            case 0 ->
                new ClientAttempt(
                        at,
                        "c",
                        text,
                        "q1",
                        "q0",
                        "t",
                        text,
                        timeOrNaN,
                        timestamp(random),
                        timeOrNaN,
                        End.values()[random.nextInt(End.values().length)],
                        random.nextInt(600),
                        Echo.values()[random.nextInt(3)]);
            case 1 ->
                new ServerAttempt(
                        at,
                        "s1",
                        "z",
                        random.nextInt(9),
                        "b",
                        "q1",
                        text,
                        "t",
                        text,
                        timestamp(random),
                        timeOrNaN,
                        How.values()[random.nextInt(How.values().length)]);
            case 2 -> new DuplicateAnswer(at, "c", "b", "q1");
            case 3 -> new ServerStateUpdate(at, "b", "s1", "draining");
            case 4 -> new ColdOverload(at, "s1", 0.7);
            case 5 -> new PartyEnded(at, "b");
            default -> new BalancerNote(at, "b", "q1", text);
        };
    }

    @Test
    void readsBackAllWrittenEvidence() throws IOException {
        SplittableRandom random = new SplittableRandom(4);
        List<Evidence> all = new ArrayList<>();
        Path file = folder.resolve("all.jsonl.gz");
        try (Recorder recorder = new Recorder(file)) {
            for (int i = 0; i < 5_000; i++) {
                all.add(random(random));
                recorder.note(all.get(i));
            }
        }
        List<Evidence> read = new ArrayList<>();
        assertEquals(0, Audit.read(file, read::add));
        assertEquals(all, read);
    }

    /** A killed process leaves a truncated gzip stream. */
    @Test
    void readsTruncatedFileUpToTheTruncation() throws IOException {
        SplittableRandom random = new SplittableRandom(5);
        Path file = folder.resolve("all.jsonl.gz");
        try (Recorder recorder = new Recorder(file)) {
            for (int i = 0; i < 5_000; i++) {
                recorder.note(random(random));
            }
        }
        byte[] complete = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(complete, complete.length / 2));
        List<Evidence> read = new ArrayList<>();
        assertEquals(1, Audit.read(file, read::add));
        assertTrue(read.size() > 1_000);
    }

    @Test
    void dropsEvidenceAfterDiskFailureWithoutFailingTheCaller() {
        SplittableRandom random = new SplittableRandom(6);
        Recorder recorder = recorder(
                new OutputStream() {
                    private int left = 20_000;

                    @Override
                    public void write(int b) throws IOException {
                        if (left-- <= 0) {
                            throw new IOException("No space left on device");
                        }
                    }
                },
                1 << 16);
        for (int i = 0; i < 30_000; i++) {
            recorder.note(random(random));
        }
        recorder.close();
        assertEquals("No space left on device", recorder.failure());
        assertTrue(recorder.dropped() > 0);
    }

    @Test
    void dropsAndCountsEvidenceThatArrivesFasterThanTheDiskWrites() throws InterruptedException {
        CountDownLatch unblocked = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        boolean[] first = {true};
        OutputStream slow = new OutputStream() {
            @Override
            public void write(byte[] bytes, int from, int count) {
                // The first write is the gzip header, written when the file is opened.
                if (!first[0]) {
                    blocked.countDown();
                    try {
                        unblocked.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
                first[0] = false;
                written.write(bytes, from, count);
            }

            @Override
            public void write(int b) {
                written.write(b);
            }
        };
        Recorder recorder = recorder(slow, 100);
        SplittableRandom random = new SplittableRandom(7);
        long recorded = 0;
        // Until the disk blocks, all evidence may be accepted.
        while (blocked.getCount() > 0) {
            recorder.note(random(random));
            recorded++;
        }
        long before = recorder.dropped();
        for (int i = 0; i < 10_000; i++) {
            recorder.note(random(random));
        }
        assertTrue(recorder.dropped() - before >= 10_000 - 100);
        unblocked.countDown();
        recorder.close();
        assertTrue(recorded > 0);
    }

    private static Recorder recorder(OutputStream out, int waiting) {
        try {
            return new Recorder(out, waiting);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void countsMalformedLinesWithFileAndLine() throws IOException {
        AuditRulesFile.write(folder, RULES);
        StringWriter good = new StringWriter();
        EvidenceLines.write(
                new ClientAttempt(5, "c", "b", "q1", "q1", "c", "", 0, 100, 5, End.ANSWERED, 502, Echo.UNKNOWN), good);
        Files.writeString(
                folder.resolve("some.jsonl"),
                "nonsense\n{\"ev\":\"tried\"}\n{\"ev\":\"x\",\"at\":1}\n"
                        + "{\"ev\":\"ran\",\"at\":1,\"server\":\"s\",\"txn\":\"q\",\"begun\":0,\"how\":\"eaten\"}\n"
                        + good);
        Audit audit = Audit.of(folder);
        assertEquals(1, audit.requests());
        assertEquals(4, audit.json().get("unreadable").asInt());
        assertTrue(
                audit.json().get("first_unreadable").get(3).asText().startsWith("some.jsonl:4: expected in how one"));
        assertEquals(
                "{\"answer\":0,\"effect\":0,\"drain\":0,\"cold\":0}",
                audit.json().get("breaches").toString());
    }

    @Test
    void showsAccessLogOfBalancerInTimeline() throws IOException {
        AuditRulesFile.write(folder, RULES);
        StringWriter late = new StringWriter();
        EvidenceLines.write(
                new ClientAttempt(500, "c", "b1", "q1", "q1", "c", "", 0, 100, 500, End.ANSWERED, 502, Echo.UNKNOWN),
                late);
        Files.writeString(folder.resolve("requests.jsonl"), late.toString());
        Files.writeString(
                folder.resolve("balancer.jsonl"),
                "{\"at_ms\":499,\"request\":\"q1\",\"version\":3,"
                        + "\"class\":\"c\",\"outcome\":\"failed\",\"attempts\":2,\"ms\":480.0}\n");
        Audit audit = Audit.of(folder);
        assertEquals(1, audit.breaches());
        assertTrue(audit.shown().get(0).timeline().stream()
                .anyMatch(one -> one instanceof BalancerNote recorded
                        && recorded.text().equals("failed after 2 attempts and 480.0 ms, version 3")));
    }

    @Test
    void readsRulesAsWrittenAndRejectsBadFolder() throws IOException {
        AuditRulesFile.write(folder, RULES);
        assertEquals(RULES, AuditRulesFile.read(folder));
        assertTrue(assertThrows(IOException.class, () -> Audit.of(folder.resolve("none")))
                .getMessage()
                .contains("is no folder"));
        Files.writeString(folder.resolve(AuditRulesFile.NAME), "{\"classes\":{\"c\":{\"effect\":\"odd\"}}}");
        assertThrows(IOException.class, () -> Audit.of(folder));
        Files.delete(folder.resolve(AuditRulesFile.NAME));
        assertTrue(assertThrows(IOException.class, () -> Audit.of(folder))
                .getMessage()
                .contains("there is no such"));
    }
}
