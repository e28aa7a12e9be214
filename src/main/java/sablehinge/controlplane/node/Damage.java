package sablehinge.controlplane.node;

import java.io.IOException;

/** What is in the file is not what a store leaves there, whenever the power goes. */
final class Damage extends IOException {

    private static final long serialVersionUID = 1L;

    Damage(String message) {
        super(message);
    }
}
