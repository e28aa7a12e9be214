package sablehinge.gateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.gateway.recorder.Dump;
import sablehinge.gateway.recorder.Timeline;
import sablehinge.testing.Logs;
import sablehinge.testing.OperatorStage;
import sablehinge.testing.Peer;
import sablehinge.testing.Stage;

/** Tests the flight recorder of a balancer over sockets. */
@Timeout(60)
class RecordingTest {

    private static final String SECTION = "[recorder]\ndirectory = \"flight\"\n";

    private static Dump readDump(JsonNode answer) throws Exception {
        assertEquals(200, answer.path("status").asInt(), answer.toString());
        return Dump.read(Files.readAllBytes(Path.of(answer.path("path").asText())));
    }

    @Test
    void recordsRequestFromFirstToLastByte() throws Exception {
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text("127.0.0.1:0", SECTION, 0));
            assertEquals(200, stage.ask(Stage.get("1", "5")).status());
            Dump dump = readDump(stage.admin("POST", "/recorder/dump", ""));
            assertEquals("ASKED", dump.reason());
            Timeline timeline = new Timeline(dump);
            long request = timeline.steps(0, 0).stream()
                    .filter(step -> step.event().name().equals("ARRIVED"))
                    .findFirst()
                    .orElseThrow()
                    .exchange();
            List<String> names = timeline.steps(request, 0).stream()
                    .map(step -> step.event().name())
                    .toList();
            assertEquals(
                    List.of(
                            "ARRIVED",
                            "CHOSEN",
                            "CONNECTING",
                            "CONNECTED",
                            "SENT",
                            "FIRST_BYTE",
                            "LAST_BYTE",
                            "ANSWERED",
                            "WRITTEN",
                            "ATTEMPT_ENDED"),
                    names.stream()
                            .sorted(java.util.Comparator.comparingInt(name -> List.of(
                                            "ARRIVED",
                                            "CHOSEN",
                                            "CONNECTING",
                                            "CONNECTED",
                                            "SENT",
                                            "FIRST_BYTE",
                                            "LAST_BYTE",
                                            "ANSWERED",
                                            "WRITTEN",
                                            "ATTEMPT_ENDED")
                                    .indexOf(name)))
                            .toList(),
                    names.toString());
            assertTrue(stage.status().path("recorder").path("events").asLong() > 10);
            assertEquals(0, stage.status().path("recorder").path("alarms").asInt());
        }
    }

    /** A blocked event loop causes a dump with the stack of the loop. */
    @Test
    void writesDumpOfBlockedEventLoop() throws Exception {
        CountDownLatch dumpDone = new CountDownLatch(1);
        Logs.Undo logListener = Logs.heard(line -> {
            if (line.startsWith("recorder: HUNG")) {
                dumpDone.countDown();
            }
        });
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text("127.0.0.1:0", SECTION, 0));
            stage.node.onLoop(() -> dumpDone.await(Peer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, dumpDone.getCount(), "no dump was written");
            try (Stream<Path> files = Files.list(stage.folder.resolve("flight"))) {
                Dump dump = Dump.read(Files.readAllBytes(files.findFirst().orElseThrow()));
                assertEquals("HUNG", dump.reason());
                assertTrue(dump.stack().contains("RecordingTest"), dump.stack());
            }
        } finally {
            logListener.close();
        }
    }

    @Test
    void dumpFailsWithoutRecorder() throws Exception {
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text(0));
            JsonNode answer = stage.admin("POST", "/recorder/dump", "");
            assertEquals(409, answer.path("status").asInt());
            assertEquals("this balancer has no [recorder]", answer.path("error").asText());
            assertEquals(
                    "recorder can't change while the process runs",
                    stage.admin("POST", "/config/stage", stage.text("127.0.0.1:0", SECTION, 0))
                            .path("error")
                            .asText());
        }
    }
}
