package sablehinge.tools.standin.mesh;

/** A failure of a small mesh, classified by a code. */
public final class MeshException extends RuntimeException {

    private static final long serialVersionUID = 1;

    /** The kinds of failures. */
    public enum Code {
        /** A daemon failed to start or exited unexpectedly. */
        DAEMON,
        /** An expected event did not occur before the timeout. */
        TIMEOUT,
        /** A file of the mesh could not be written or deleted. */
        FILE,
        /** Binding an address failed. */
        ADDRESS
    }

    private final Code code;

    /** Creates an exception with a message for the user. */
    public MeshException(Code code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the kind of the failure. */
    public Code code() {
        return code;
    }
}
