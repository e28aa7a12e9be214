package sablehinge.common.settings;

/** The node was started with a configuration that it cannot run with; the message is for its operator. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1;

    /** Creates an exception with a message that says what is wrong and where. */
    public ConfigException(String message) {
        super(message);
    }
}
