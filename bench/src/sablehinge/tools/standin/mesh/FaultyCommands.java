package sablehinge.tools.standin.mesh;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import sablehinge.torture.Mutant;
import sablehinge.torture.MutantLoader;

/**
 * The commands of balancers with a fault: the program as it was built, with the classes of a mutant before it. The
 * machines of the core have none. The mutant's classes lie in a folder of their own, which {@link #close} removes.
 */
final class FaultyCommands implements SmallMesh.Commands, AutoCloseable {

    private static final Path SOURCES = Path.of("src/main/java");
    private static final String MAIN = "sablehinge.cli.Main";

    /** Faults of a balancer that a soak run has to find. */
    static final List<Mutant> FAULTS = List.of(
            new Mutant(
                    "requests are taken until the process ends",
                    "dataplane/sidecar/GracefulShutdown",
                    "",
                    "return ShutdownDeadlines.between(signalledAt + noticeMs, signalledAt + timeMs);",
                    "double end = signalledAt + Math.max(noticeMs, timeMs);\n"
                            + "return new ShutdownDeadlines(end, end, end);"),
            new Mutant(
                    "a connection is closed under the request at work as it drains",
                    "dataplane/http1/CallerConnection",
                    "",
                    "return !hasRequests()\n                && receiver.malformed() == null",
                    "return receiver.malformed() == null"),
            new Mutant(
                    "an answer goes to another request of its connection",
                    "dataplane/http1/PipelinedRequests",
                    "",
                    "return early ? started.pollFirst() : null;",
                    "return early ? started.pollLast() : null;"),
            new Mutant(
                    "a failure is told as a refusal",
                    "dataplane/sidecar/MeshResponses",
                    "",
                    "case FAILED, LOOP -> HttpResponseStatus.BAD_GATEWAY;",
                    "case FAILED, LOOP -> HttpResponseStatus.SERVICE_UNAVAILABLE;"));

    private final SmallMesh.Commands sound;
    private final Path classes;
    private final String classPath;

    /**
     * Commands of balancers with a fault.
     *
     * @param sound those of the program as it was built
     * @param classPath where its classes are
     */
    FaultyCommands(SmallMesh.Commands sound, String classPath, Mutant fault) throws IOException {
        this.sound = sound;
        this.classPath = classPath;
        classes = Files.createTempDirectory("sablehinge-fault");
        for (Map.Entry<String, byte[]> one :
                MutantLoader.compile(fault, SOURCES).entrySet()) {
            Path file = classes.resolve(one.getKey().replace('.', '/') + ".class");
            Files.createDirectories(file.getParent());
            Files.write(file, one.getValue());
        }
    }

    @Override
    public List<String> command(String role, int place, int start) {
        List<String> whole = sound.command(role, place, start);
        if (!role.equals("sidecar")) {
            return whole;
        }
        List<String> faulty = new ArrayList<>();
        for (String argument : whole) {
            if (argument.equals("-jar") || argument.equals("-cp")) {
                break;
            }
            // An archive is of one class path only.
            if (!argument.startsWith("-XX:SharedArchiveFile")) {
                faulty.add(argument);
            }
        }
        faulty.addAll(List.of("-cp", classes + ":" + classPath, MAIN, role));
        return faulty;
    }

    @Override
    public void close() {
        try (Stream<Path> files = Files.walk(classes)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
