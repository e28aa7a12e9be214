package sablehinge.tools.standin.mesh;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The commands of the deploy file, by which the mesh's daemons are started where they are deployed. */
final class DeployCommands implements SmallMesh.Commands {

    private static final Path FILE = Path.of("deploy/system.toml");
    private static final Pattern RUN = Pattern.compile("\\[roles\\.(\\w+)]\\s+run = \"java ([^\"]+)\"");
    private static final Pattern ARCHIVE = Pattern.compile("-XX:SharedArchiveFile=(\\S+)");

    private final Map<String, List<String>> commands = new HashMap<>();

    private DeployCommands(Path program) throws IOException {
        Matcher run = RUN.matcher(Files.readString(FILE));
        while (run.find()) {
            String arguments = run.group(2);
            if (program != null) {
                arguments =
                        arguments.replace("target/", program.toAbsolutePath().getParent() + "/");
            }
            Matcher archive = ARCHIVE.matcher(arguments);
            if (!archive.find() || !Files.isRegularFile(Path.of(archive.group(1)))) {
                throw new IOException("no class archive for " + run.group(1) + "; build first");
            }
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(List.of(arguments.split(" ")));
            commands.put(run.group(1), List.copyOf(command));
        }
    }

    /** Those of the program that was built here. */
    static DeployCommands ofBuild() throws IOException {
        return new DeployCommands(null);
    }

    /** Those of another build, by the path of its program, beside which its class archives lie. */
    static DeployCommands of(Path program) throws IOException {
        return new DeployCommands(program);
    }

    @Override
    public List<String> command(String role, int place, int start) {
        return commands.get(role);
    }
}
