package sablehinge.gateway.settings;

/** Thrown for input that violates the protocol. The message describes the error and its position in one line. */
public final class MalformedInputException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception with a one-line description of the error and its position. */
    public MalformedInputException(String message) {
        super(message);
    }
}
