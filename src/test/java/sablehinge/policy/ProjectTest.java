package sablehinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks the deploy file against the source files and the build. */
class ProjectTest {

    private static final Set<String> UNLISTED_FILES = Set.of("LoadBalancer.java", "package-info.java");
    private static final Path POLICY = Path.of("src/main/java/sablehinge/policy");

    /** The deploy file lists every file of the policy package except the interface that hosts use. */
    @Test
    void deployFileListsEveryPolicyFile() throws IOException {
        String policy = value(Files.readString(Path.of("deploy/balancer.toml")), "policy");
        Set<String> missing = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(POLICY, "*.java")) {
            for (Path file : files) {
                if (!UNLISTED_FILES.contains(file.getFileName().toString()) && !policy.contains("\"" + file + "\"")) {
                    missing.add(file.toString());
                }
            }
        }
        assertEquals(Set.of(), missing, "not in deploy/balancer.toml");
    }

    @Test
    void deployFileListsExistingFilesAndBuiltJar() throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        assertTrue(value(deploy, "policy").contains("\"" + POLICY + "/LatencyWeightedBalancer.java\""));
        for (String key : new String[] {"policy", "node"}) {
            Matcher path = Pattern.compile("\"([^\"]+)\"").matcher(value(deploy, key));
            while (path.find()) {
                assertTrue(Files.exists(Path.of(path.group(1))), path.group(1));
            }
        }
        Matcher jar = Pattern.compile("-jar target/(\\S+)\\.jar wire").matcher(value(deploy, "sim"));
        assertTrue(jar.find(), "the sim command starts no jar");
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
