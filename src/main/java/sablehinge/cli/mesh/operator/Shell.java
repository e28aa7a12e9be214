package sablehinge.cli.mesh.operator;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;

/**
 * What verbs are surrounded by.
 *
 * @param core control addresses that the environment names; null for none
 */
public record Shell(PrintStream out, PrintStream err, HttpCaller wire, TimeText time, String core) {

    /** The variable of the environment that names control addresses. */
    public static final String CORE = "SABLEHINGE_CORE";

    private static final class SteadyTime implements TimeText {

        @Override
        public long now() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public void pause(long ms) throws InterruptedException {
            TimeUnit.MILLISECONDS.sleep(ms);
        }
    }

    /** The process's own. */
    public static Shell usual(PrintStream out, PrintStream err) {
        return new Shell(out, err, new JdkHttpCaller(), new SteadyTime(), System.getenv(CORE));
    }

    /** Prints a line; what a terminal would act upon is shown as a question mark. */
    void say(String line) {
        out.println(plain(line));
    }

    /** One line without control characters. */
    public static String plain(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }
}
