package sablehinge.gateway.config.operator;

import java.util.List;
import sablehinge.gateway.config.operator.OperatorConfig.NodePart;

/** Reads the settings of the balancer process in an operator file. */
final class NodeSection {

    private NodeSection() {}

    static NodePart read(Section s, List<String> zones) {
        String name = s.name("name", "sablehinge");
        String zone = zones == null
                ? s.name("zone", "main")
                : s.reference("zone", zones.isEmpty() ? "main" : zones.get(0), zones, "zone");
        int siblings = s.integer("siblings", 1, 1, OperatorFile.MAX_ITEMS);
        int position = s.integer("position", 0, 0, OperatorFile.MAX_ITEMS);
        if (position >= siblings) {
            s.problem("position", position + " is out of range, expected less than siblings, which is " + siblings);
        }
        NodePart node = new NodePart(
                name,
                zone,
                position,
                siblings,
                s.integer("descriptors", 4_096, 256, 1_000_000),
                s.text("state", "sablehinge-state"),
                s.flag("version-header", false),
                s.text("access-log", null));
        s.reportUnknownKeys();
        return node;
    }
}
