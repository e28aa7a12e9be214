package sablehinge.cli.mesh.operator;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;

/**
 * The environment of a command.
 *
 * @param coreEnvironment the control addresses named by the environment variable {@link #CORE}; null if it is not set
 */
public record CommandContext(
        PrintStream out, PrintStream err, HttpCaller http, MonotonicClock time, String coreEnvironment) {

    /** The environment variable that names control addresses. */
    public static final String CORE = "SABLEHINGE_CORE";

    private static final class SystemClock implements MonotonicClock {

        @Override
        public long now() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public void sleep(long ms) throws InterruptedException {
            TimeUnit.MILLISECONDS.sleep(ms);
        }
    }

    /** The environment of this process. */
    public static CommandContext ofProcess(PrintStream out, PrintStream err) {
        return new CommandContext(out, err, new NettyHttpCaller(), new SystemClock(), System.getenv(CORE));
    }

    /** Prints a line with control characters replaced by question marks. */
    void printLine(String line) {
        out.println(plain(line));
    }

    /** Replaces control characters, including line breaks, by question marks. */
    public static String plain(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }
}
