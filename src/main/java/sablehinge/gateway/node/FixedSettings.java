package sablehinge.gateway.node;

import java.util.Objects;
import sablehinge.gateway.config.operator.OperatorConfig;
import sablehinge.gateway.config.operator.OperatorConfig.NodePart;

/** Rejects configuration changes that require a restart. */
final class FixedSettings {

    /** The maximum number of distinct names of zones and machine types since the process started. */
    private static final int MAX_NAMES = 10_000;

    private FixedSettings() {}

    /**
     * Returns why a version can't replace the running one; null if it can.
     *
     * @param knownNames the number of names of zones and kinds that the process knows
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
