package review2;

import java.nio.file.Path;
import java.util.List;

/** Runs a case and ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
    /** Plays the case; returns whether the rule was broken. */
    interface Play {
        boolean run(Log log, Mesh mesh) throws Exception;
    }

    private Case() {}

    static void main(String[] args, int cores, List<String> depots, Play play) {
        int status = Mesh.CANNOT_RUN;
        try (Log log = new Log(Path.of(args[0]))) {
            try (Mesh mesh = new Mesh(log, cores, depots)) {
                boolean broken = play.run(log, mesh);
                log.line(broken ? "the rule is BROKEN" : "the rule held");
                status = broken ? 1 : 0;
            } catch (Exception | Error e) {
                log.line("the case could not run: " + e);
            }
        } catch (Exception e) {
            System.err.println("no record: " + e);
        }
        Runtime.getRuntime().halt(status);
    }
}
