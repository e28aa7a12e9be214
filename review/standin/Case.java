import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Runs a case and ends with its exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {

    /** A case; {@code trouble} is whether the disruption happens. Returns the exit status. */
    interface Play {
        int play(Mesh mesh, boolean trouble) throws IOException;
    }

    private Case() {}

    static void run(String record, List<String> services, Play play) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Mesh.Record lines = new Mesh.Record(Path.of(record));
                Mesh mesh = new Mesh(lines, services)) {
            lines.line("TROUBLE=%d", trouble ? 1 : 0);
            try {
                status = play.play(mesh, trouble);
            } catch (IOException | RuntimeException e) {
                lines.line("the case could not run: %s", e);
            }
        }
        System.exit(status);
    }
}
