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
import sablehinge.cli.mesh.operator.CommandContext;
import sablehinge.cli.mesh.operator.CommandException;
import sablehinge.cli.mesh.operator.ConfigCheckCommand;
import sablehinge.cli.mesh.operator.ConfigGetCommand;
import sablehinge.cli.mesh.operator.ConfigHistoryCommand;
import sablehinge.cli.mesh.operator.ConfigPutCommand;
import sablehinge.cli.mesh.operator.MeshCommand;
import sablehinge.cli.mesh.operator.NodesCommand;
import sablehinge.cli.mesh.operator.OperatorCommand;
import sablehinge.cli.mesh.operator.SingletonRolesCommand;
import sablehinge.cli.mesh.operator.StatusCommand;
import sablehinge.mesh.api.NearestName;

/**
 * The commands for a mesh: those of its operators, and {@code demo}, {@code settings} and {@code upstream} for running
 * a small local mesh. Exit status 0: done; 1: refused, or a rule was broken; 2: invalid command line or file; 3: no
 * clear answer.
 */
public final class MeshCommands {

    private MeshCommands() {}

    /** Prints the help of the group or of a command. */
    @com.github.rvesse.airline.annotations.Command(
            name = "help",
            description = "Tells what the verbs do, or one of them")
    public static final class HelpCommand extends Help<MeshCommand> implements MeshCommand {

        /** Called by the command line parser. */
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

    /** Replaces an empty command line, {@code --help} and {@code -h} by the help command. */
    private static String[] withDefaultCommand(String[] args) {
        List<String> words = new ArrayList<>(List.of(args));
        if (words.isEmpty() || words.removeAll(List.of("--help", "-h"))) {
            words.add(0, "help");
        }
        return words.toArray(new String[0]);
    }

    /** Names the unknown word of the command line and the nearest known one; the default hint if all are known. */
    private static String hint(GlobalMetadata<MeshCommand> metadata, String[] args, String defaultHint) {
        List<CommandMetadata> verbs = metadata.getDefaultGroupCommands();
        String group = "";
        int index = 0;
        if (args[0].equals("config")) {
            verbs = metadata.getCommandGroups().stream()
                    .map(CommandGroupMetadata::getCommands)
                    .findFirst()
                    .orElseThrow();
            group = "config ";
            index = 1;
        }
        List<String> names = Stream.concat(
                        verbs.stream().map(CommandMetadata::getName), index == 0 ? Stream.of("config") : Stream.empty())
                .sorted()
                .toList();
        if (args.length <= index) {
            return group + "needs one of " + String.join(", ", names);
        }
        String word = args[index];
        CommandMetadata verb = verbs.stream()
                .filter(command -> command.getName().equals(word))
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
        for (String argument : args) {
            String option = argument.split("=", 2)[0];
            if (option.startsWith("-") && !options.contains(option)) {
                return "\"" + option + "\" is no option of " + group + word + "; the nearest one is \""
                        + NearestName.of(option, options) + "\"";
            }
        }
        return defaultHint;
    }

    /** Runs the command that the arguments after {@code mesh} name; returns the exit status. */
    public static int run(String[] args, CommandContext context) {
        String[] words = withDefaultCommand(args);
        Cli<MeshCommand> cli = cli();
        MeshCommand verb;
        try {
            verb = cli.parse(words);
        } catch (ParseException e) {
            context.err()
                    .println("sablehinge: " + CommandContext.plain(hint(cli.getMetadata(), words, e.getMessage()))
                            + "; see mesh help");
            return CommandException.Exit.BAD_INPUT.status();
        }
        try {
            if (verb instanceof OperatorCommand command) {
                command.setContext(context);
            }
            return verb.execute();
        } catch (CommandException e) {
            context.err().println("sablehinge: " + CommandContext.plain(e.line()));
            return e.exit().status();
        } catch (Exception e) {
            context.err().println("sablehinge: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
            return CommandException.Exit.REFUSED.status();
        }
    }
}
