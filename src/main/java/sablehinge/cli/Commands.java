package sablehinge.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import sablehinge.gateway.config.operator.OperatorFile;
import sablehinge.gateway.config.operator.Problem;
import sablehinge.gateway.node.OperatorNode;

/**
 * The operators' commands. Exit status 0: done; 1: refused, with the reason; 2: invalid command line or file. The
 * platform's {@code serve} and {@code wire} bypass this class, so that they don't load the command line parser.
 */
@Command(
        name = "sablehinge",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Versions.class,
        description = "A load balancer that runs inside every caller.",
        footer = "The verbs about a mesh are told by: mesh help",
        subcommands = {
            Commands.Serve.class,
            Commands.Wire.class,
            Commands.Check.class,
            ConfigCommand.class,
            ReplayCommand.class,
            StandInCommand.class,
            AuditCommand.class,
            DemoCommand.class,
            RecorderCommand.class
        })
final class Commands implements Callable<Integer> {

    static final int REFUSED = 1;
    static final int BAD_INPUT = 2;

    @Spec
    private CommandSpec spec;

    /** Runs the command that the arguments name; returns the exit status. */
    static int run(String[] args, PrintWriter out, PrintWriter err) {
        CommandLine line = new CommandLine(new Commands());
        line.setOut(out);
        line.setErr(err);
        line.setParameterExceptionHandler(Commands::printUsageError);
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            command.getErr().println("sablehinge: " + message(e));
            command.getErr().flush();
            return REFUSED;
        });
        return line.execute(args);
    }

    /** The first line of an exception's message; the class name if there is no message. */
    static String message(Throwable e) {
        String firstLine =
                e.getMessage() == null ? "" : e.getMessage().lines().findFirst().orElse("");
        return firstLine.isEmpty() ? e.getClass().getSimpleName() : firstLine;
    }

    private static int printUsageError(ParameterException e, String[] args) {
        String verb = e.getCommandLine().getCommandSpec().qualifiedName();
        e.getCommandLine().getErr().println("sablehinge: " + message(e) + "; see " + verb + " --help");
        e.getCommandLine().getErr().flush();
        return BAD_INPUT;
    }

    @Override
    public Integer call() {
        throw new ParameterException(
                spec.commandLine(),
                "expected a verb: serve, check, config, replay, standin, audit, demo, recorder, mesh or " + "wire");
    }

    /** The version that the build wrote into the jar's manifest. */
    static final class Versions implements IVersionProvider {

        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"sablehinge " + (version == null ? "not packed" : version)};
        }
    }

    /** The base class of all commands. */
    abstract static class Verb implements Callable<Integer> {

        @Spec
        private CommandSpec spec;

        final PrintWriter out() {
            return spec.commandLine().getOut();
        }

        final PrintWriter err() {
            return spec.commandLine().getErr();
        }

        final ParameterException misuse(String message) {
            return new ParameterException(spec.commandLine(), message);
        }

        /** Prints the problems of a file, one per line. */
        final void printProblems(Path file, Iterable<Problem> problems) {
            problems.forEach(problem -> err().println(problem.in(file.toString())));
            err().flush();
        }
    }

    /** Runs one balancer. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            versionProvider = Versions.class,
            description = "Runs one balancer in the foreground: by an operator file, or, without one, by the "
                    + "platform's file that $PROXY_CONFIG names.")
    static final class Serve extends Verb {

        @Option(names = "--operator", paramLabel = "FILE", description = "The operator file.")
        private Path operator;

        @Option(
                names = "--adopt",
                description = "Serve the operator file as a new confirmed version, also where "
                        + "another one was confirmed last.")
        private boolean adopt;

        @Override
        public Integer call() throws Exception {
            if (operator == null) {
                Main.serve();
                return 0;
            }
            CompletableFuture<OperatorNode> started = new CompletableFuture<>();
            Main.onHangup(() -> started.thenAccept(OperatorNode::reload));
            OperatorNode node;
            try {
                node = OperatorNode.start(operator, adopt);
            } catch (OperatorNode.StartException e) {
                printProblems(operator, e.problems());
                if (!e.problems().isEmpty()) {
                    return BAD_INPUT;
                }
                throw e;
            }
            Main.drainAtShutdown(node::drain);
            started.complete(node);
            new CountDownLatch(1).await();
            return 0;
        }
    }

    /** Runs the simulator's wire protocol. */
    @Command(
            name = "wire",
            mixinStandardHelpOptions = true,
            versionProvider = Versions.class,
            description = "Takes the same decisions on the simulator's wire, on standard input and output.")
    static final class Wire extends Verb {

        @Override
        public Integer call() {
            sablehinge.gateway.wire.Main.main(new String[] {"wire"});
            return 0;
        }
    }

    /** Checks an operator file. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            versionProvider = Versions.class,
            description = "Checks an operator file. Exits with 0 if it can be served, else with 2 and every "
                    + "error as FILE:LINE: key: what is wrong, what was expected.")
    static final class Check extends Verb {

        @Option(names = "--operator", required = true, paramLabel = "FILE", description = "The operator file.")
        private Path operator;

        @Override
        public Integer call() {
            OperatorFile.Checked checked = OperatorFile.read(operator);
            printProblems(operator, checked.problems());
            return checked.problems().isEmpty() ? 0 : BAD_INPUT;
        }
    }
}
