package sablehinge.controlplane.node;

/** The store can't do what was requested. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** What went wrong. */
    public enum Code {
        /** Another process has the file open. Nothing was changed; it may be had later. */
        LOCKED,
        /** The file is there and can't be read; nothing was changed, and the store is not open. */
        UNREADABLE,
        /**
         * The disk refused a write, a sync or a name: it is full, can't be written, or fails. The store is closed; the
         * disk holds what it did before or all of the change, as shows when it is opened again.
         */
        REFUSED,
        /** The change doesn't follow on what is held. Nothing was changed, and the store stays open. */
        ORDER,
        /** The store is closed, by its owner or by a write that was refused. */
        CLOSED,
        /** What was reported as synced is not there when the store is opened again in the same process. */
        LOST
    }

    private final Code code;

    StoreException(Code code, String message, Throwable cause) {
        super(code + ": " + message + root(cause), cause);
        this.code = code;
    }

    /** The system's message; MVStore's names only the place. */
    private static String root(Throwable cause) {
        Throwable root = cause;
        while (root != null && root.getCause() != null) {
            root = root.getCause();
        }
        return root == cause ? "" : " (" + root.getMessage() + ")";
    }

    /** What went wrong. */
    public Code code() {
        return code;
    }
}
