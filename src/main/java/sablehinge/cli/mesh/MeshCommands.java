package sablehinge.cli.mesh;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.model.OptionMetadata;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import sablehinge.cli.mesh.operator.CommandException;
import sablehinge.cli.mesh.operator.ConfigCheckCommand;
import sablehinge.cli.mesh.operator.ConfigGetCommand;
import sablehinge.cli.mesh.operator.ConfigHistoryCommand;
import sablehinge.cli.mesh.operator.ConfigPutCommand;
import sablehinge.cli.mesh.operator.MeshCommand;
import sablehinge.cli.mesh.operator.NodesCommand;
import sablehinge.cli.mesh.operator.OperatorCommand;
import sablehinge.cli.mesh.operator.Shell;
import sablehinge.cli.mesh.operator.SingletonRolesCommand;
import sablehinge.cli.mesh.operator.StatusCommand;
import sablehinge.mesh.api.NearestName;

/**
 * The verbs about a mesh: those of its operators, and {@code demo}, {@code settings} and {@code upstream} for one of
 * one's own. Exit status 0: done; 1: refused, or a rule was broken; 2: a bad command line or file; 3: no clear answer.
 */
public final class MeshCommands {

    private MeshCommands() {}

    /** The help of the group or of a verb. */
    @com.github.rvesse.airline.annotations.Command(
            name = "help",
            description = "Tells what the verbs do, or one of them")
    public static final class HelpCommand extends Help<MeshCommand> implements MeshCommand {

        /** Made by the command line. */
        public HelpCommand() {}

        @Override
        public int execute() {
            run();
            return 0;
        }
    }

    private static Cli<MeshCommand> cli() {
        CliBuilder<MeshCommand> builder = Cli.builder("sablehinge mesh");
        builder.withDescription("Operates a mesh; or starts a small one on loopback, to be seen or run by " + "hand")
                .withCommand(HelpCommand.class)
                .withCommand(StatusCommand.class)
                .withCommand(NodesCommand.class)
                .withCommand(SingletonRolesCommand.class)
                .withCommand(MeshDemoCommand.class)
                .withCommand(MeshSettingsCommand.class)
                .withCommand(MeshUpstreamCommand.class);
        builder.withGroup("config")
                .withDescription("The configuration that the core agrees upon")
                .withCommand(ConfigGetCommand.class)
                .withCommand(ConfigPutCommand.class)
                .withCommand(ConfigCheckCommand.class)
                .withCommand(ConfigHistoryCommand.class);
        return builder.build();
    }

    /** Without arguments, or with the help options of other programs, the help is printed. */
    private static String[] usual(String[] args) {
        List<String> words = new ArrayList<>(List.of(args));
        if (words.isEmpty() || words.removeAll(List.of("--help", "-h"))) {
            words.add(0, "help");
        }
        return words.toArray(new String[0]);
    }

    /** Says which word of the command line is none, and which one it was probably meant to be. */
    private static String hint(GlobalMetadata<MeshCommand> known, String[] args, String otherwise) {
        List<CommandMetadata> verbs = known.getDefaultGroupCommands();
        String group = "";
        int at = 0;
        if (args[0].equals("config")) {
            verbs = known.getCommandGroups().stream()
                    .map(CommandGroupMetadata::getCommands)
                    .findFirst()
                    .orElseThrow();
            group = "config ";
            at = 1;
        }
        List<String> names = Stream.concat(
                        verbs.stream().map(CommandMetadata::getName), at == 0 ? Stream.of("config") : Stream.empty())
                .sorted()
                .toList();
        if (args.length <= at) {
            return group + "needs one of " + String.join(", ", names);
        }
        String word = args[at];
        CommandMetadata verb = verbs.stream()
                .filter(one -> one.getName().equals(word))
                .findFirst()
                .orElse(null);
        if (verb == null) {
            return "\"" + group + word + "\" is no verb; the nearest one is \"" + group + NearestName.of(word, names)
                    + "\"";
        }
        List<String> options = verb.getAllOptions().stream()
                .map(OptionMetadata::getOptions)
                .flatMap(Set::stream)
                .sorted()
                .toList();
        for (String each : args) {
            String option = each.split("=", 2)[0];
            if (option.startsWith("-") && !options.contains(option)) {
                return "\"" + option + "\" is no option of " + group + word + "; the nearest one is \""
                        + NearestName.of(option, options) + "\"";
            }
        }
        return otherwise;
    }

    /** Runs the verb that the arguments, those behind {@code mesh}, name; returns the exit status. */
    public static int run(String[] args, Shell shell) {
        String[] words = usual(args);
        Cli<MeshCommand> cli = cli();
        MeshCommand verb;
        try {
            verb = cli.parse(words);
        } catch (ParseException e) {
            shell.err()
                    .println("sablehinge: " + Shell.plain(hint(cli.getMetadata(), words, e.getMessage()))
                            + "; see mesh help");
            return CommandException.Exit.BAD_INPUT.status();
        }
        try {
            if (verb instanceof OperatorCommand its) {
                its.in(shell);
            }
            return verb.execute();
        } catch (CommandException e) {
            shell.err().println("sablehinge: " + Shell.plain(e.line()));
            return e.exit().status();
        } catch (Exception e) {
            shell.err().println("sablehinge: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
            return CommandException.Exit.REFUSED.status();
        }
    }
}
