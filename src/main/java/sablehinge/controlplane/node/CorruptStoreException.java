package sablehinge.controlplane.node;

import java.io.IOException;

/** The file has content that no store leaves behind, not even after a power loss. */
final class CorruptStoreException extends IOException {

    private static final long serialVersionUID = 1L;

    CorruptStoreException(String message) {
        super(message);
    }
}
