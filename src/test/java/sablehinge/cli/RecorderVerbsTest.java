package sablehinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.testing.OperatorStage;
import sablehinge.testing.Stage;

/** Tests the commands that create, show and compare flight recorder dumps. */
@Timeout(60)
class RecorderVerbsTest {

    @TempDir
    private Path folder;

    private String out;
    private String err;

    private int run(String... arguments) {
        StringWriter output = new StringWriter();
        StringWriter errors = new StringWriter();
        int status = Commands.run(arguments, new PrintWriter(output), new PrintWriter(errors));
        out = output.toString();
        err = errors.toString();
        return status;
    }

    @Test
    void createsShowsAndComparesDumps() throws Exception {
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text("127.0.0.1:0", "[recorder]\ndirectory = \"flight\"\n", 0));
            assertEquals(0, run("recorder", "dump", "--operator", stage.file.toString()), err);
            String first = out.strip();
            assertEquals(200, stage.ask(Stage.get("1", "5")).status());
            assertEquals(0, run("recorder", "dump", "--operator", stage.file.toString()), err);
            String second = out.strip();

            assertEquals(0, run("recorder", "show", second, "--request", "1", "--json"), err);
            assertTrue(out.lines().allMatch(line -> line.contains("\"request\":1")), out);
            assertTrue(out.contains("\"event\":\"CHOSEN\"") && out.contains("\"event\":\"FIRST_BYTE\""), out);
            assertEquals(0, run("recorder", "show", second), err);
            assertTrue(out.contains("ASKED, an operator asked for it") && out.contains("ARRIVED"), out);

            Path page = folder.resolve("flight.html");
            assertEquals(0, run("recorder", "show", second, "--page", page.toString()), err);
            assertTrue(Files.readString(page).contains("<title>request, "), "the page has no bar for a request");

            assertEquals(0, run("recorder", "diff", first, second), err);
            assertTrue(out.lines().anyMatch(line -> line.startsWith("ARRIVED") && line.endsWith("only one")), out);
        }
    }

    @Test
    void rejectsFileThatIsNoDumpWithOffset() throws Exception {
        String file = Files.writeString(folder.resolve("x.flight"), "SHFR0002 and more bytes")
                .toString();
        assertEquals(2, run("recorder", "show", file));
        assertEquals("sablehinge: " + file + ": at offset 7: expected the magic number \"SHFR0001\"", err.strip());
        assertEquals(2, run("recorder", "diff", file, file));
        assertEquals(2, run("recorder", "show", folder.resolve("none").toString()));
    }
}
