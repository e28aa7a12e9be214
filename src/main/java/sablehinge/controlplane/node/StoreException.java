package sablehinge.controlplane.node;

/** An operation of the store failed. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** The kind of failure. */
    public enum Code {
        /** Another process has the file open. Nothing was changed; a later attempt may succeed. */
        LOCKED,
        /** The file exists but can't be read. Nothing was changed, and the store is not open. */
        UNREADABLE,
        /**
         * A write, a sync, a rename or another file operation failed: the disk is full, read-only or broken. The store
         * is closed. The disk holds either the previous state or all of the change; reopening the store shows which.
         */
        REFUSED,
        /** The batch doesn't follow the stored state. Nothing was changed, and the store stays open. */
        ORDER,
        /** The store was closed by its owner or by a failed write. */
        CLOSED,
        /** Data that was reported as synced is missing when the store is reopened in the same process. */
        LOST
    }

    private final Code code;

    StoreException(Code code, String message, Throwable cause) {
        super(code + ": " + message + root(cause), cause);
        this.code = code;
    }

    /** The root cause's message, because MVStore's own message names only the position. */
    private static String root(Throwable cause) {
        Throwable root = cause;
        while (root != null && root.getCause() != null) {
            root = root.getCause();
        }
        return root == cause ? "" : " (" + root.getMessage() + ")";
    }

    /** The kind of failure. */
    public Code code() {
        return code;
    }
}
