package sablehinge.gateway.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import sablehinge.gateway.settings.MalformedInputException;
import sablehinge.policy.LatencyWeightedBalancer;

/** The command line: {@code wire} reads batches from standard input and writes replies to standard output. */
public final class Main {

    private static final int BUFFER_BYTES = 1 << 16;

    private Main() {}

    /** Runs the adapter and exits with its status code. */
    public static void main(String[] args) {
        InputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), BUFFER_BYTES);
        OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES);
        System.exit(run(args, in, out, System.err));
    }

    static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
        if (args.length != 1 || !args[0].equals("wire")) {
            err.println("usage: java -jar sablehinge.jar wire");
            return 2;
        }
        try {
            new WireHost(LatencyWeightedBalancer::new).serve(in, out);
            return 0;
        } catch (MalformedInputException | IOException e) {
            err.println("sablehinge: " + e.getMessage());
            return 1;
        }
    }
}
