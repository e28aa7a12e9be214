package sablehinge.reservoir;

/** The store can't do what it was asked for. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** What went wrong. */
    public enum Code {
        /** Another process has the file open. */
        LOCKED,
        /** The file is there and can't be read; nothing was changed, and the store is not open. */
        UNREADABLE,
        /** The disk refused a write or a sync. The store is closed for good; the disk has old or new. */
        REFUSED,
        /** The change doesn't follow on what is held. Nothing was changed, and the store stays open. */
        ORDER,
        /** The store is closed, by its owner or by a write that was refused. */
        CLOSED
    }

    private final Code code;

    StoreException(Code code, String message, Throwable cause) {
        super(code + ": " + message, cause);
        this.code = code;
    }

    /** What went wrong. */
    public Code code() {
        return code;
    }
}
