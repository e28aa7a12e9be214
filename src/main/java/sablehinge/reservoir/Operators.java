package sablehinge.reservoir;

import java.util.List;
import sablehinge.cistern.Cistern;
import sablehinge.headgate.Operation;
import sablehinge.headgate.Reply;

/** The operators' calls (PROTOCOL, "The operator"), and those of the client's verbs. */
final class Operators {

    private static final String PATH = "/sablehinge/";

    private Operators() {
    }

    /** All calls, settled by an authority, with what this machine sees. */
    static List<Operation<?, ?>> all(Authority authority, Sight sight) {
        return List.of(new Replace(authority),
                Inquiry.plain(PATH + "Config.Read", authority, Inquiry.Whom.CONFIRMED,
                        () -> newest(authority.cistern())),
                Inquiry.worded(PATH + "Config.History", authority, Inquiry.Whom.CONFIRMED, sight::editions),
                Inquiry.worded(PATH + "Mesh.Status", authority, Inquiry.Whom.ANYONE, sight::status),
                Inquiry.worded(PATH + "Mesh.Nodes", authority, Inquiry.Whom.LEADER, sight::nodes),
                Inquiry.worded(PATH + "Mesh.Duties", authority, Inquiry.Whom.LEADER, sight::duties));
    }

    private static Reply newest(Cistern cistern) {
        return cistern.edition() == 0 ? Reply.error(404, "NONE", "no configuration yet")
                : Reply.of(200, cistern.body());
    }
}
