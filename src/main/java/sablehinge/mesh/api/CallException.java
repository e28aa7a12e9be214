package sablehinge.mesh.api;

/** A call that can't be carried out as it is. */
public final class CallException extends RuntimeException {

    private static final long serialVersionUID = 1;
    private final int status;
    private final String code;

    /** A call to be answered with a status, a code and what is wrong with it. */
    public CallException(int status, String code, String message) {
        super(message, null, false, false);
        this.status = status;
        this.code = code;
    }

    /** The answer that says so. */
    public ApiResponse reply() {
        return ApiResponse.error(status, code, getMessage());
    }
}
