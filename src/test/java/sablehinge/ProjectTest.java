package sablehinge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** What the project promises about its own files. */
class ProjectTest {

    private static final Path MODULE = Path.of("src/main/java/sablehinge/LatencyWeightedBalancer.java");

    @Test
    void theModuleStaysWithinItsLimits() throws IOException {
        List<String> lines = Files.readAllLines(MODULE);
        long count = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(count <= 800, count + " lines that are not blank");
        assertTrue(lines.stream().allMatch(line -> line.length() <= 110), "a line over 110 characters");
    }

    @Test
    void theDeployFileNamesWhatTheBuildMakesAndTheModule() throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        assertEquals("[\"" + MODULE.toString().replace('\\', '/') + "\"]", value(deploy, "policy"));
        Matcher jar = Pattern.compile("-jar target/(\\S+)\\.jar wire").matcher(value(deploy, "sim"));
        assertTrue(jar.find(), "sim starts no jar");
        String pom = Files.readString(Path.of("pom.xml"));
        assertTrue(pom.contains("<finalName>" + jar.group(1) + "</finalName>"));
        assertTrue(value(deploy, "build").contains("mvn "));
    }

    private static String value(String deploy, String key) {
        Matcher line = Pattern.compile("(?m)^" + key + " = (.*)$").matcher(deploy);
        assertTrue(line.find(), key + " is missing");
        return line.group(1);
    }
}
