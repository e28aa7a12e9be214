package sablehinge.cli.mesh;

import java.io.File;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sablehinge.tools.standin.mesh.MeshException;
import sablehinge.tools.standin.mesh.SmallMesh;

/** Starts daemons from the running program's jar or classes, with the class data archives next to it, if any. */
final class ChildProcesses implements SmallMesh.Commands {

    private static final List<String> JVM_FLAGS = List.of(
            "-Xms24m",
            "-Xmx128m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-XX:MaxDirectMemorySize=64m",
            "-XX:-UsePerfData",
            "-Dio.netty.jfr.enabled=false",
            "-Dio.netty.noUnsafe=false");

    @Override
    public List<String> command(String role, int place, int start) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        Path program = program();
        Path archive = program.resolveSibling(role + ".jsa");
        if (Files.isRegularFile(archive)) {
            command.add("-XX:SharedArchiveFile=" + archive);
        }
        if (Files.isDirectory(program)) {
            command.addAll(List.of("-cp", System.getProperty("java.class.path"), "sablehinge.cli.Main"));
        } else {
            command.addAll(List.of("-jar", program.toString()));
        }
        command.add(role);
        return command;
    }

    /** The jar, by the path it was started with, or the folder of classes. */
    private static Path program() {
        String path = System.getProperty("java.class.path");
        if (!path.contains(File.pathSeparator) && path.endsWith(".jar")) {
            return Path.of(path);
        }
        try {
            return Path.of(ChildProcesses.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new MeshException(MeshException.Code.DAEMON, "the program can't be found", e);
        }
    }
}
