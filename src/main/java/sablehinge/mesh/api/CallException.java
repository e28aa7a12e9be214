package sablehinge.mesh.api;

/** A call that is rejected with an error response. */
public final class CallException extends RuntimeException {

    private static final long serialVersionUID = 1;
    private final int status;
    private final String code;

    /** Creates an exception that is answered with a status, a code and a message. */
    public CallException(int status, String code, String message) {
        super(message, null, false, false);
        this.status = status;
        this.code = code;
    }

    /** The error response. */
    public ApiResponse reply() {
        return ApiResponse.error(status, code, getMessage());
    }
}
