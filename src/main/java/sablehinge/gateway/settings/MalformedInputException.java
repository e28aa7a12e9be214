package sablehinge.gateway.settings;

/** Input that the wire does not allow; the message says what and where, in one line. */
public final class MalformedInputException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Input that can't be taken, with what is wrong and where. */
    public MalformedInputException(String message) {
        super(message);
    }
}
