package sablehinge.cli.mesh;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** The verbs about a mesh of one's own: {@code mesh demo}, {@code mesh settings}, {@code mesh upstream}. */
public final class MeshCommands {

    private static final int REFUSED = 1;
    private static final int BAD_INPUT = 2;

    private MeshCommands() {
    }

    /** What every verb is. */
    interface Verb {

        /** Does it; returns the exit status. */
        int act() throws Exception;
    }

    /** The help of the group or of a verb. */
    @com.github.rvesse.airline.annotations.Command(name = "help",
            description = "Tells what the verbs do, or one of them")
    public static final class HelpVerb extends Help<Verb> implements Verb {

        /** Made by the command line. */
        public HelpVerb() {
        }

        @Override
        public int act() {
            run();
            return 0;
        }
    }

    private static Cli<Verb> cli() {
        CliBuilder<Verb> builder = Cli.builder("sablehinge mesh");
        builder.withDescription("A small mesh on loopback: to be seen, or to be run by hand")
                .withCommand(HelpVerb.class).withCommand(DemoVerb.class).withCommand(SettingsVerb.class)
                .withCommand(UpstreamVerb.class);
        return builder.build();
    }

    /** Who says nothing, or asks for help in the way of other programs, is told what there is. */
    private static String[] usual(String[] args) {
        List<String> words = new ArrayList<>(List.of(args));
        if (words.isEmpty() || words.removeAll(List.of("--help", "-h"))) {
            words.add(0, "help");
        }
        return words.toArray(new String[0]);
    }

    /** Runs the verb that the arguments, those behind {@code mesh}, name; returns the exit status. */
    public static int run(String[] args, PrintStream err) {
        Verb verb;
        try {
            verb = cli().parse(usual(args));
        } catch (ParseException e) {
            err.println("sablehinge: " + e.getMessage() + "; see mesh help");
            return BAD_INPUT;
        }
        try {
            return verb.act();
        } catch (Exception e) {
            err.println("sablehinge: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
            return REFUSED;
        }
    }
}
