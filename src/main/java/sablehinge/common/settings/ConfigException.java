package sablehinge.common.settings;

/** The node was started with a configuration that it cannot run on; the message is for its operator. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1;

    public ConfigException(String message) {
        super(message);
    }
}
