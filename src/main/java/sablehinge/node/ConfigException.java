package sablehinge.node;

/** The node was started with a configuration that it cannot run on; the message is for its operator. */
final class ConfigException extends Exception {

    private static final long serialVersionUID = 1;

    ConfigException(String message) {
        super(message);
    }
}
