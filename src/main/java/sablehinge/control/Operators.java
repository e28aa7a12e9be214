package sablehinge.control;

import java.util.List;
import sablehinge.state.ConfigurationState;
import sablehinge.api.Operation;
import sablehinge.api.Reply;

/** The operators' calls (PROTOCOL, "The operator"), and those of the client's verbs. */
final class Operators {

    private static final String PATH = "/sablehinge/";

    private Operators() {
    }

    /** All calls, settled by an authority, with what this machine sees. */
    static List<Operation<?, ?>> all(Authority authority, Sight sight) {
        return List.of(new Replace(authority),
                Inquiry.plain(PATH + "Config.Read", authority, Inquiry.Whom.CONFIRMED,
                        () -> newest(authority.configurations())),
                Inquiry.worded(PATH + "Config.History", authority, Inquiry.Whom.CONFIRMED, sight::editions),
                Inquiry.worded(PATH + "Mesh.Status", authority, Inquiry.Whom.ANYONE, sight::status),
                Inquiry.worded(PATH + "Mesh.Nodes", authority, Inquiry.Whom.LEADER, sight::nodes),
                Inquiry.worded(PATH + "Mesh.Duties", authority, Inquiry.Whom.LEADER, sight::duties));
    }

    private static Reply newest(ConfigurationState configurations) {
        return configurations.edition() == 0 ? Reply.error(404, "NONE", "no configuration yet")
                : Reply.of(200, configurations.body());
    }
}
