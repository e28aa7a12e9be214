package sablehinge.controlplane.node;

import java.util.List;
import sablehinge.controlplane.state.ConfigurationState;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.Operation;

/** The operations of the operator API (PROTOCOL, "The operator") and of the command-line client. */
final class OperatorApi {

    private OperatorApi() {}

    /** All operations of a node. */
    static List<Operation<?, ?>> all(CallContext context, ControlStatus status) {
        return List.of(
                new ReplaceOperation(context),
                ReadOperation.ofResponse(
                        context, ControlRequest.CONFIG_READ, () -> currentConfiguration(context.configurations())),
                ReadOperation.ofRecord(context, ControlRequest.CONFIG_HISTORY, status::editions),
                ReadOperation.ofRecord(context, ControlRequest.MESH_STATUS, status::status),
                ReadOperation.ofRecord(context, ControlRequest.MESH_NODES, status::nodes),
                ReadOperation.ofRecord(context, ControlRequest.MESH_SINGLETON_ROLES, status::singletonRoles));
    }

    private static ApiResponse currentConfiguration(ConfigurationState configurations) {
        return configurations.edition() == 0
                ? ApiResponse.error(404, "NONE", "no configuration yet")
                : ApiResponse.of(200, configurations.body());
    }
}
