package sablehinge.tools.standin.mesh;

/** Something of a small mesh can't go on; the code says what, once and for all. */
public final class MeshException extends RuntimeException {

    private static final long serialVersionUID = 1;

    /** What can't go on. */
    public enum Code {
        /** A daemon can't be started or ends by itself. */
        DAEMON,
        /** What was waited for did not come in time. */
        TIMEOUT,
        /** A file of the mesh can't be written or removed. */
        FILE,
        /** An address can't be listened on. */
        ADDRESS
    }

    private final Code code;

    /** An error with words for people. */
    public MeshException(Code code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** What can't go on. */
    public Code code() {
        return code;
    }
}
