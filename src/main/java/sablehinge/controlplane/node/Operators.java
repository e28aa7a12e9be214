package sablehinge.controlplane.node;

import java.util.List;
import sablehinge.controlplane.state.ConfigurationState;
import sablehinge.mesh.api.Operation;
import sablehinge.mesh.api.Reply;

/** The operators' calls (PROTOCOL, "The operator"), and those of the client's verbs. */
final class Operators {

    private Operators() {}

    /** All calls, settled by an authority, with what this machine sees. */
    static List<Operation<?, ?>> all(Authority authority, Sight sight) {
        return List.of(
                new Replace(authority),
                Inquiry.plain(authority, ControlRequest.CONFIG_READ, () -> newest(authority.configurations())),
                Inquiry.worded(authority, ControlRequest.CONFIG_HISTORY, sight::editions),
                Inquiry.worded(authority, ControlRequest.MESH_STATUS, sight::status),
                Inquiry.worded(authority, ControlRequest.MESH_NODES, sight::nodes),
                Inquiry.worded(authority, ControlRequest.MESH_DUTIES, sight::duties));
    }

    private static Reply newest(ConfigurationState configurations) {
        return configurations.edition() == 0
                ? Reply.error(404, "NONE", "no configuration yet")
                : Reply.of(200, configurations.body());
    }
}
