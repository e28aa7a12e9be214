package sablehinge.core;

import java.util.logging.Logger;

/** The program's one log. */
public final class Log {

    public static final Logger LOG = Logger.getLogger("sablehinge");

    private Log() {
    }
}
