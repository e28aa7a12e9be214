package sablehinge.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** What the project promises about its own files. */
class ProjectTest {

    private static final Path POLICY = Path.of("src/main/java/sablehinge/policy");

    /** Everything of the package counts, also the interface, which the deploy file need not name. */
    @Test
    void theDecisionsStayWithinTheirLimit() throws IOException {
        long count = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(POLICY, "*.java")) {
            for (Path file : files) {
                count += Files.readAllLines(file).stream()
                        .filter(line -> !line.isBlank())
                        .count();
            }
        }
        assertTrue(count > 0 && count <= 1_200, count + " lines that are not blank");
    }

    @Test
    void theDeployFileNamesWhatTheBuildMakesAndTheDecisions() throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        assertTrue(value(deploy, "policy").contains("\"" + POLICY + "/LatencyWeightedBalancer.java\""));
        for (String key : new String[] {"policy", "node"}) {
            Matcher path = Pattern.compile("\"([^\"]+)\"").matcher(value(deploy, key));
            while (path.find()) {
                assertTrue(Files.exists(Path.of(path.group(1))), path.group(1));
            }
        }
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
