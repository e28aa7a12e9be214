package sablehinge.gateway.node;

import java.util.Objects;
import sablehinge.gateway.config.operator.OperatorConfig;
import sablehinge.gateway.config.operator.OperatorConfig.NodePart;

/** The settings that can't change while the process runs. */
final class FixedSettings {

    /** Names of zones and machine types since the process began. */
    private static final int MAX_NAMES = 10_000;

    private FixedSettings() {}

    /**
     * What a version may not change; null if it leaves that alone.
     *
     * @param knownNames names of zones and kinds that the process has met
     */
    static String conflict(OperatorConfig running, OperatorConfig next, int knownNames) {
        if (!running.admin().equals(next.admin())) {
            return "admin can't change while the process runs";
        }
        if (!Objects.equals(running.budget(), next.budget())) {
            return "budget can't change while the process runs";
        }
        if (!Objects.equals(running.recorder(), next.recorder())) {
            return "recorder can't change while the process runs";
        }
        if (!isSameProcess(running.node(), next.node())) {
            return "node.name, state, descriptors and access-log can't change while the process runs";
        }
        long names = (long) knownNames + next.zones().size() + next.kinds().size();
        return names <= MAX_NAMES
                ? null
                : "over " + MAX_NAMES
                        + " names of zones and kinds since the process began; restart it to forget the old ones";
    }

    private static boolean isSameProcess(NodePart running, NodePart next) {
        return running.state().equals(next.state())
                && running.descriptors() == next.descriptors()
                && Objects.equals(running.accessLog(), next.accessLog())
                && running.name().equals(next.name());
    }
}
