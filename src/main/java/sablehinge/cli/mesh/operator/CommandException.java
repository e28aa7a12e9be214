package sablehinge.cli.mesh.operator;

/** A verb that can't be carried out. */
public final class CommandException extends RuntimeException {

    private static final long serialVersionUID = 1;

    /** How a verb ends that does not do what it was called for. */
    public enum Exit {
        /** The core refused, with a code. */
        REFUSED(1),
        /** The command line or a file is of no use; nothing was sent. */
        BAD_INPUT(2),
        /** Nobody gave a clear answer in time. */
        UNCLEAR(3);

        private final int status;

        Exit(int status) {
            this.status = status;
        }

        /** The exit status of the process. */
        public int status() {
            return status;
        }
    }

    private final Exit exit;
    private final String code;
    private final String place;

    /**
     * An error.
     *
     * @param code tells cases apart
     * @param place the file, key or pointer that it is about; empty for none
     */
    public CommandException(Exit exit, String code, String place, String message) {
        super(message, null, false, false);
        this.exit = exit;
        this.code = code;
        this.place = place;
    }

    static CommandException input(String code, String place, String message) {
        return new CommandException(Exit.BAD_INPUT, code, place, message);
    }

    /** How the verb ends. */
    public Exit exit() {
        return exit;
    }

    /** Which case it is. */
    public String code() {
        return code;
    }

    /** What it is about; empty for nothing more than the message says. */
    public String place() {
        return place;
    }

    /** The code, the place and the message in one line. */
    public String line() {
        return code + ": " + (place.isEmpty() ? "" : place + ": ") + getMessage();
    }
}
