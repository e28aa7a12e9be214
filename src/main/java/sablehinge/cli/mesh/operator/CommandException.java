package sablehinge.cli.mesh.operator;

/** Thrown by a command that can't be carried out. */
public final class CommandException extends RuntimeException {

    private static final long serialVersionUID = 1;

    /** The ways in which a command fails. */
    public enum Exit {
        /** The core refused the call with an error code. */
        REFUSED(1),
        /** The command line or a file is invalid; nothing was sent. */
        BAD_INPUT(2),
        /** No machine of the core gave a clear answer in time. */
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
     * Creates the exception.
     *
     * @param code the error code
     * @param place the file, key or JSON pointer of the error; empty if there is none
     */
    public CommandException(Exit exit, String code, String place, String message) {
        super(message, null, false, false);
        this.exit = exit;
        this.code = code;
        this.place = place;
    }

    static CommandException badInput(String code, String place, String message) {
        return new CommandException(Exit.BAD_INPUT, code, place, message);
    }

    /** How the command failed. */
    public Exit exit() {
        return exit;
    }

    /** The error code. */
    public String code() {
        return code;
    }

    /** The file, key or JSON pointer of the error; empty if there is none. */
    public String place() {
        return place;
    }

    /** The code, the place and the message in one line. */
    public String line() {
        return code + ": " + (place.isEmpty() ? "" : place + ": ") + getMessage();
    }
}
