package sablehinge.common.settings;

/** The node was started with a configuration that it cannot run on; the message is for its operator. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1;

    /** A configuration that can't be taken, with what is wrong and where. */
    public ConfigException(String message) {
        super(message);
    }
}
