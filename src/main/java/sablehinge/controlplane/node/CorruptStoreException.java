package sablehinge.controlplane.node;

import java.io.IOException;

/** What is in the file is not what a store leaves there, whenever the power goes. */
final class CorruptStoreException extends IOException {

    private static final long serialVersionUID = 1L;

    CorruptStoreException(String message) {
        super(message);
    }
}
